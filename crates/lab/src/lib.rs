//! What the lab's experiments share with its tests: what an experiment prints, the form in which measured figures are
//! kept, the scale run, and the capacity page.

pub mod capacity;
pub mod measured;
pub mod report;
pub mod scale;
