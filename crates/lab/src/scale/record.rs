//! The results of a run: raw samples as JSON lines, and slopes and readings in the form of [`crate::measured`].

use std::fs;
use std::path::Path;
use std::process::Command;

use serde::Serialize;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::error::ScaleError;
use super::fit::{Fit, Sample};
use crate::measured::{Measurements, Reading, Run, Slope};

/// The role, figure and unit that a value belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subject<'a> {
    pub role: &'a str,
    pub figure: &'a str,
    pub unit: &'a str,
}

/// One value of one play: a line of the samples file.
#[derive(Clone, Debug, Serialize)]
struct RawSample {
    run: String,
    role: String,
    figure: String,
    unit: String,
    /// What the size counts, or the conditions of a reading without a size.
    against: String,
    size: Option<f64>,
    play: usize,
    value: f64,
}

/// Collects the results of a run.
pub struct Recorder {
    measurements: Measurements,
    raw_samples: Vec<RawSample>,
    run_id: String,
}

impl Recorder {
    /// Starts the record of a run at the current time. `beside` describes other load on the machine.
    pub fn new(beside: &str) -> Recorder {
        let now = OffsetDateTime::now_utc();
        let at = now.replace_nanosecond(0).unwrap_or(now).format(&Rfc3339).unwrap_or_default();
        let id = format!("scale-{}", at.replace(['-', ':'], ""));
        let run = Run {
            id: id.clone(),
            commit: commit(),
            at,
            command: command_line(),
            machine: format!("{}, {beside}", machine()),
        };
        let measurements = Measurements { runs: vec![run], ..Measurements::default() };
        Recorder { measurements, raw_samples: Vec::new(), run_id: id }
    }

    /// The run's id, commit, time, command and machine.
    pub fn run(&self) -> &Run {
        &self.measurements.runs[0]
    }

    /// Adds the samples of several sizes and the line fitted to them.
    pub fn add_slope(&mut self, subject: Subject, against: &str, samples: &[Sample], fit: &Fit) {
        let plays = samples.len() / fit.sizes.len();
        for (number, sample) in samples.iter().enumerate() {
            self.add_raw_sample(subject, against, Some(sample.size), number % plays, sample.value);
        }
        self.measurements.slopes.push(Slope {
            role: subject.role.into(),
            figure: subject.figure.into(),
            against: against.into(),
            unit: subject.unit.into(),
            fixed: fit.intercept,
            each: fit.slope,
            r_squared: fit.r_squared,
            worst_residual: fit.worst_residual,
            straight: fit.is_straight(),
            sizes: fit.sizes.clone(),
            means: fit.means.clone(),
            plays,
            run: self.run_id.clone(),
        });
    }

    /// Adds a figure measured under one set of conditions.
    pub fn add_reading(&mut self, subject: Subject, at: &str, value: f64) {
        self.add_raw_sample(subject, at, None, 0, value);
        self.measurements.readings.push(Reading {
            role: subject.role.into(),
            figure: subject.figure.into(),
            at: at.into(),
            unit: subject.unit.into(),
            value,
            run: self.run_id.clone(),
        });
    }

    fn add_raw_sample(
        &mut self,
        subject: Subject,
        against: &str,
        size: Option<f64>,
        play: usize,
        value: f64,
    ) {
        self.raw_samples.push(RawSample {
            run: self.run_id.clone(),
            role: subject.role.into(),
            figure: subject.figure.into(),
            unit: subject.unit.into(),
            against: against.into(),
            size,
            play,
            value,
        });
    }

    /// Writes the raw samples, one JSON object per line.
    pub fn write_samples(&self, path: &Path) -> Result<(), ScaleError> {
        let mut text = String::new();
        for sample in &self.raw_samples {
            text += &serde_json::to_string(sample).map_err(json_error(path))?;
            text.push('\n');
        }
        fs::write(path, text).map_err(ScaleError::io(path.display().to_string()))
    }

    /// Merges the results into a measurements file, whose other entries stay.
    pub fn merge_into(&self, path: &Path) -> Result<(), ScaleError> {
        let existing = match fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(json_error(path))?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Measurements::default(),
            Err(error) => return Err(ScaleError::io(path.display().to_string())(error)),
        };
        let merged = merge(existing, self.measurements.clone());
        let text = serde_json::to_string_pretty(&merged).map_err(json_error(path))?;
        if let Some(directory) = path.parent() {
            fs::create_dir_all(directory).map_err(ScaleError::io(directory.display().to_string()))?;
        }
        fs::write(path, text + "\n").map_err(ScaleError::io(path.display().to_string()))
    }
}

/// Returns a function for `map_err` that adds the path to a JSON error.
fn json_error(path: &Path) -> impl FnOnce(serde_json::Error) -> ScaleError {
    let path = path.to_path_buf();
    move |cause| ScaleError::Json { path, cause }
}

/// Merges two sets of measurements. Newer slopes and readings replace older ones of the same key, and older runs that
/// no slope or reading refers to any more are removed.
pub fn merge(older: Measurements, newer: Measurements) -> Measurements {
    let mut merged = newer;
    let slope_key = |slope: &Slope| (slope.role.clone(), slope.figure.clone(), slope.against.clone());
    let reading_key = |reading: &Reading| (reading.role.clone(), reading.figure.clone(), reading.at.clone());
    let new_slopes: Vec<_> = merged.slopes.iter().map(slope_key).collect();
    let new_readings: Vec<_> = merged.readings.iter().map(reading_key).collect();
    let slopes = older.slopes.into_iter().filter(|slope| !new_slopes.contains(&slope_key(slope)));
    let readings = older.readings.into_iter().filter(|reading| !new_readings.contains(&reading_key(reading)));
    merged.slopes = slopes.chain(merged.slopes).collect();
    merged.readings = readings.chain(merged.readings).collect();
    let new_runs: Vec<String> = merged.runs.iter().map(|run| run.id.clone()).collect();
    let is_referenced = |run: &Run| {
        merged.slopes.iter().any(|slope| slope.run == run.id)
            || merged.readings.iter().any(|reading| reading.run == run.id)
    };
    let runs = older.runs.into_iter().filter(|run| !new_runs.contains(&run.id) && is_referenced(run));
    merged.runs = runs.chain(merged.runs.clone()).collect();
    merged
}

/// The abbreviated hash of the checked-out commit, with a note if tracked files have changes.
fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").arg("-C").arg(env!("CARGO_MANIFEST_DIR")).args(arguments).output();
        let output = output.ok().filter(|output| output.status.success())?;
        Some(String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let Some(hash) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let has_changes =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|text| !text.is_empty());
    if has_changes {
        return format!("{hash} with changes");
    }
    hash
}

/// The command line, with paths shortened to their file names.
fn command_line() -> String {
    let file_name = |argument: String| match Path::new(&argument).file_name() {
        Some(name) => name.to_string_lossy().into_owned(),
        None => argument,
    };
    let arguments: Vec<String> = std::env::args().map(file_name).collect();
    arguments.join(" ")
}

/// The number of processors and the memory of the machine.
fn machine() -> String {
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kib = memory.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = kib.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    format!("{processors} processors, {} GiB", kib >> 20)
}
