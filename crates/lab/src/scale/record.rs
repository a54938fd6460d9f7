//! What a run found: raw samples as JSON lines, and slopes and readings in the form of [`crate::measured`].

use std::fs;
use std::path::Path;
use std::process::Command;

use serde::Serialize;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

use super::error::ScaleError;
use super::fit::{Fit, Sample};
use crate::measured::{Measurements, Reading, Run, Slope};

/// What a value is of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Subject<'a> {
    pub role: &'a str,
    pub figure: &'a str,
    pub unit: &'a str,
}

/// One value of one play, as a line of the file of samples.
#[derive(Clone, Debug, Serialize)]
struct RawSample {
    run: String,
    role: String,
    figure: String,
    unit: String,
    /// What the size counts, or the conditions where there is no size.
    against: String,
    size: Option<f64>,
    play: usize,
    value: f64,
}

/// Gathers all that a run finds.
pub struct Recorder {
    found: Measurements,
    raw: Vec<RawSample>,
    run: String,
}

impl Recorder {
    /// `beside`: what else runs on the machine.
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
        let found = Measurements { runs: vec![run], ..Measurements::default() };
        Recorder { found, raw: Vec::new(), run: id }
    }

    /// The run, for its heading.
    pub fn run(&self) -> &Run {
        &self.found.runs[0]
    }

    /// Samples of several sizes and the line through them.
    pub fn slope(&mut self, subject: Subject, against: &str, samples: &[Sample], fit: &Fit) {
        let plays = samples.len() / fit.sizes.len();
        for (number, sample) in samples.iter().enumerate() {
            self.raw(subject, against, Some(sample.size), number % plays, sample.value);
        }
        self.found.slopes.push(Slope {
            role: subject.role.into(),
            figure: subject.figure.into(),
            against: against.into(),
            unit: subject.unit.into(),
            fixed: fit.fixed,
            each: fit.each,
            r_squared: fit.r_squared,
            worst_residual: fit.worst_residual,
            straight: fit.straight(),
            sizes: fit.sizes.clone(),
            means: fit.means.clone(),
            plays,
            run: self.run.clone(),
        });
    }

    /// A figure at one size.
    pub fn reading(&mut self, subject: Subject, at: &str, value: f64) {
        self.raw(subject, at, None, 0, value);
        self.found.readings.push(Reading {
            role: subject.role.into(),
            figure: subject.figure.into(),
            at: at.into(),
            unit: subject.unit.into(),
            value,
            run: self.run.clone(),
        });
    }

    fn raw(&mut self, subject: Subject, against: &str, size: Option<f64>, play: usize, value: f64) {
        self.raw.push(RawSample {
            run: self.run.clone(),
            role: subject.role.into(),
            figure: subject.figure.into(),
            unit: subject.unit.into(),
            against: against.into(),
            size,
            play,
            value,
        });
    }

    /// Writes the raw samples, one JSON object a line.
    pub fn write_samples(&self, path: &Path) -> Result<(), ScaleError> {
        let mut text = String::new();
        for sample in &self.raw {
            text += &serde_json::to_string(sample).map_err(json(path))?;
            text.push('\n');
        }
        fs::write(path, text).map_err(ScaleError::io(path.display().to_string()))
    }

    /// Puts what was found into a file of measurements, which keeps all else that it has.
    pub fn merge_into(&self, path: &Path) -> Result<(), ScaleError> {
        let kept = match fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(json(path))?,
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => Measurements::default(),
            Err(why) => return Err(ScaleError::io(path.display().to_string())(why)),
        };
        let merged = merged(kept, self.found.clone());
        let text = serde_json::to_string_pretty(&merged).map_err(json(path))?;
        if let Some(folder) = path.parent() {
            fs::create_dir_all(folder).map_err(ScaleError::io(folder.display().to_string()))?;
        }
        fs::write(path, text + "\n").map_err(ScaleError::io(path.display().to_string()))
    }
}

fn json(path: &Path) -> impl FnOnce(serde_json::Error) -> ScaleError {
    let path = path.to_path_buf();
    move |cause| ScaleError::Json { path, cause }
}

/// Newer slopes and readings take the place of older ones of the same key; runs that nothing names any more go.
pub fn merged(older: Measurements, newer: Measurements) -> Measurements {
    let mut all = newer;
    let slope = |of: &Slope| (of.role.clone(), of.figure.clone(), of.against.clone());
    let reading = |of: &Reading| (of.role.clone(), of.figure.clone(), of.at.clone());
    let new_slopes: Vec<_> = all.slopes.iter().map(slope).collect();
    let new_readings: Vec<_> = all.readings.iter().map(reading).collect();
    let slopes = older.slopes.into_iter().filter(|of| !new_slopes.contains(&slope(of)));
    let readings = older.readings.into_iter().filter(|of| !new_readings.contains(&reading(of)));
    all.slopes = slopes.chain(all.slopes).collect();
    all.readings = readings.chain(all.readings).collect();
    let own: Vec<String> = all.runs.iter().map(|run| run.id.clone()).collect();
    let named = |run: &Run| {
        all.slopes.iter().any(|of| of.run == run.id) || all.readings.iter().any(|of| of.run == run.id)
    };
    let runs = older.runs.into_iter().filter(|run| !own.contains(&run.id) && named(run));
    all.runs = runs.chain(all.runs.clone()).collect();
    all
}

/// The commit that is measured, as git names it; a dirty tree says so.
fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").arg("-C").arg(env!("CARGO_MANIFEST_DIR")).args(arguments).output();
        let output = output.ok().filter(|output| output.status.success())?;
        Some(String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let Some(hash) = git(&["rev-parse", "--short", "HEAD"]) else { return "unknown".into() };
    let changed =
        git(&["status", "--porcelain", "--untracked-files=no"]).is_some_and(|text| !text.is_empty());
    if changed {
        return format!("{hash} with changes");
    }
    hash
}

/// The command, of whose files only the names are told.
fn command_line() -> String {
    let name = |argument: String| match Path::new(&argument).file_name() {
        Some(name) => name.to_string_lossy().into_owned(),
        None => argument,
    };
    let arguments: Vec<String> = std::env::args().map(name).collect();
    arguments.join(" ")
}

fn machine() -> String {
    let processors = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let kib = memory.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = kib.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    format!("{processors} processors, {} GiB", kib >> 20)
}
