//! What the lab's experiments share with its tests: the form in which measured figures are kept, and the capacity page.

pub mod capacity;
pub mod measured;
