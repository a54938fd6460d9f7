//! The measurements that `scale` writes and `capacity` reads: slopes and readings, in the format of
//! `docs/capacity/measured.json`.

use serde::{Deserialize, Serialize};

/// All measurements, each with a reference to the run that produced it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measurements {
    pub runs: Vec<Run>,
    pub slopes: Vec<Slope>,
    pub readings: Vec<Reading>,
}

/// One run of the lab.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Short identifier, unique among the runs; slopes and readings refer to it.
    pub id: String,
    /// The commit that was measured.
    pub commit: String,
    /// Time of the run, in RFC 3339.
    pub at: String,
    /// The command line of the run.
    pub command: String,
    /// Processors and memory of the machine, and other load on it during the run.
    pub machine: String,
}

/// A figure measured at several sizes and fitted by a straight line: `fixed + each * size`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The measured role, for example `manager` or `relay`.
    pub role: String,
    /// The name of the figure, for example `peak memory`.
    pub figure: String,
    /// The size that the figure is measured against, for example `workers listed`.
    pub against: String,
    /// The unit of the figure, for example `B`, `B/s`, `cores` or `ms`.
    pub unit: String,
    /// The value of the line at size 0.
    pub fixed: f64,
    /// The increase of the line per unit of the size.
    pub each: f64,
    /// The coefficient of determination: the share of the variance that the line explains.
    pub r_squared: f64,
    /// The largest distance of a sample from the line, as a share of the largest sample.
    pub worst_residual: f64,
    /// Whether the line may be used beyond the measured sizes; false if the samples show a bend.
    pub straight: bool,
    /// The measured sizes.
    pub sizes: Vec<f64>,
    /// The mean of the repetitions at each of the sizes.
    pub means: Vec<f64>,
    /// The number of repetitions at each size.
    pub plays: usize,
    /// The identifier of the run.
    pub run: String,
}

/// A figure measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reading {
    pub role: String,
    pub figure: String,
    /// A short description of the conditions, which may start with the size.
    pub at: String,
    pub unit: String,
    pub value: f64,
    /// The identifier of the run.
    pub run: String,
}
