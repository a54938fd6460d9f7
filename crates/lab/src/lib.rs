//! What the lab's experiments share with its tests: the form in which measured figures are kept.

pub mod measured;
