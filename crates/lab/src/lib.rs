//! The parts of the lab that its experiments share with its tests: the printed report, the format of stored
//! measurements, the scale run, and the model of the capacity page.

pub mod capacity;
pub mod measured;
pub mod report;
pub mod scale;
