//! What `scale` measures and `capacity` reads: slopes and readings, as kept in `docs/capacity/measured.json`.

use serde::{Deserialize, Serialize};

/// All that was measured, each figure with the run that gave it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurements {
    pub runs: Vec<Run>,
    pub slopes: Vec<Slope>,
    pub readings: Vec<Reading>,
}

/// One run of the lab.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Short and unique among the runs; slopes and readings name it.
    pub id: String,
    /// The commit that was measured.
    pub commit: String,
    /// When, in RFC 3339.
    pub at: String,
    /// The command that was run.
    pub command: String,
    /// Processors and memory of the machine, and what else ran there.
    pub machine: String,
}

/// A figure measured at several sizes, fitted by a straight line: `fixed + each * size`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The role measured, as `manager` or `relay`.
    pub role: String,
    /// The figure, as `peak memory`.
    pub figure: String,
    /// What it grows with, as `workers listed`.
    pub against: String,
    /// The figure's unit, as `B`, `B/s`, `cores` or `ms`.
    pub unit: String,
    pub fixed: f64,
    pub each: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// The largest distance of a sample from the line, as a share of the largest sample.
    pub worst_residual: f64,
    /// Whether the line may be used beyond what was measured; false where the residuals show a bend.
    pub straight: bool,
    /// The sizes, and the mean of the plays at each.
    pub sizes: Vec<f64>,
    pub means: Vec<f64>,
    pub plays: usize,
    pub run: String,
}

/// A figure measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    pub role: String,
    pub figure: String,
    /// Under which conditions, in a few words.
    pub at: String,
    pub unit: String,
    pub value: f64,
    pub run: String,
}
