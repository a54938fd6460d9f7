//! What the lab's experiments share with its tests: what an experiment prints, the form in which measured figures are
//! kept, and the scale run.

pub mod measured;
pub mod report;
pub mod scale;
