//! Numbered fault-injection points. Each point marks a step where a failure matters, and has a name and a list of faults
//! that can be injected there. In a program built with the feature `points`, environment variables select which fault
//! occurs at which pass of which point, and every pass is recorded in a file. A trial can thus inject each fault in turn
//! and name the points that were never reached. Without the feature, [`Point::pass`] does nothing.
//!
//! The crate `fail` is not used: its points are selected by name and act by probability or count, but it records no
//! passes, can't ask a caller to lose, repeat or tear a step, and has no abort action.

use std::fmt;

/// A fault to inject. [`Point::pass`] performs aborts and stalls itself; the caller performs the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends at once, as with SIGKILL.
    Abort,
    /// The caller acts as if the step had failed, without performing any of it.
    Error,
    /// The thread is blocked for a fixed time.
    Stall,
    /// The caller acts as if the step had succeeded, without performing it.
    Lose,
    /// The caller performs the step twice.
    Repeat,
    /// The caller performs part of the step and acts as if the step had failed.
    Tear,
}

impl Fault {
    /// Every fault with its name in the environment variable.
    pub const ALL: [(&'static str, Fault); 6] = [
        ("abort", Fault::Abort),
        ("error", Fault::Error),
        ("stall", Fault::Stall),
        ("lose", Fault::Lose),
        ("repeat", Fault::Repeat),
        ("tear", Fault::Tear),
    ];

    /// The name of the fault in the environment variable.
    pub fn name(self) -> &'static str {
        Fault::ALL.iter().find(|(_, fault)| *fault == self).map_or("", |(name, _)| name)
    }
}

/// A fault-injection point, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Point(pub u16);

/// The description of a point.
#[derive(Clone, Copy, Debug)]
pub struct PointInfo {
    pub point: Point,
    pub name: &'static str,
    /// The faults that can be injected here.
    pub faults: &'static [Fault],
}

macro_rules! points {
    ($($number:literal $constant:ident $name:literal [$($fault:ident)*];)*) => {
        impl Point {
            $(pub const $constant: Point = Point($number);)*
        }

        /// Every point. Numbers never change and are not reused when a point is removed.
        pub const POINTS: &[PointInfo] =
            &[$(PointInfo { point: Point::$constant, name: $name, faults: &[$(Fault::$fault),*] }),*];
    };
}

points! {
    10 STORE_APPEND "before records are appended to the store" [Abort Error Stall Tear];
    11 STORE_APPENDED "after records are appended, before they are synced" [Abort Stall];
    12 STORE_SYNC "before the store is synced" [Abort Error Stall];
    13 STORE_SYNCED "after the store is synced, before anybody knows" [Abort Stall];
    14 STORE_ROTATE "before a new file of the store is made" [Abort Error];
    15 STORE_MANIFEST_REPLACED "after the manifest is replaced" [Abort];
    16 STORE_REMOVE "before an old file of the store is removed" [Abort Error];
    20 LINK_SEND "before a message to another manager is written" [Abort Stall Lose Repeat Tear];
    21 LINK_SENT "after a message to another manager is written" [Abort];
    22 LINK_RECEIVED "after a message of another manager is read" [Abort Stall Lose Repeat];
    23 LINK_DIAL "before another manager is dialled" [Abort Error Stall];
    24 LINK_ACCEPT "after another manager's connection is taken" [Abort Error];
    30 CONSENSUS_WRITE "before the council's records go to the store" [Abort];
    31 CONSENSUS_DURABLE "after the council is told what is durable" [Abort];
    32 CONSENSUS_BECOME_LEADER "as this manager begins to lead" [Abort Stall];
    33 CONSENSUS_APPLY "before what was agreed is taken over" [Abort Stall];
    34 CONSENSUS_APPLIED "after what was agreed is taken over" [Abort];
    35 CONSENSUS_COMPACT "before the council's state is compacted" [Abort];
    36 CONSENSUS_TRANSFER_LEADERSHIP "as the leader hands its office over" [Abort Stall];
    40 SCHEDULE_CLAIM "before a claim is proposed" [Abort Lose Repeat];
    41 SCHEDULE_CLAIMED "after a claim is proposed" [Abort];
    42 SCHEDULE_CLAIM_GRANTED "as the owner learns of its claim" [Abort Stall Lose];
    43 SCHEDULE_STARTED "after the beginning is agreed, before the effect" [Abort Stall];
    44 EFFECT_DIAL "before an effect's worker is dialled" [Abort Error Stall];
    45 EFFECT_SEND "before an effect is sent" [Abort Stall];
    46 EFFECT_SENT "after an effect is sent, before its answer is read" [Abort Error Stall];
    47 EFFECT_ANSWERED "after an effect is answered, before that is told" [Abort Stall Lose];
    48 SCHEDULE_FINISH "before an end is proposed" [Abort Lose Repeat];
    49 SCHEDULE_FINISHED "as an end is taken over" [Abort];
    60 EVIDENCE_SENT "before evidence goes to the leader" [Abort Lose Repeat];
    61 PLAN_PROPOSE "before a plan is proposed" [Abort Lose Repeat];
    62 PLAN_APPLY "as a plan is taken over" [Abort Stall];
    63 PLAN_DELIVER "before a plan is handed to the decisions" [Abort Lose Repeat];
    64 PLAN_LEASE_EXPIRED "as a plan's lease is over" [Abort];
}

/// The description of a point.
pub fn info(point: Point) -> Option<&'static PointInfo> {
    POINTS.iter().find(|info| info.point == point)
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "point {} ({})", self.0, info(*self).map_or("unknown", |info| info.name))
    }
}

impl Point {
    /// Does nothing without the feature `points`. With it, returns the fault that the caller has to perform, if any.
    #[cfg(not(feature = "points"))]
    #[inline(always)]
    pub fn pass(self) -> Option<Fault> {
        None
    }

    /// Records that this point was reached, and injects the fault that is selected for this pass. Returns the fault if
    /// the caller has to perform it.
    #[cfg(feature = "points")]
    pub fn pass(self) -> Option<Fault> {
        injection::pass(self)
    }
}

/// How far the clock of this process is ahead of the machine's, in milliseconds.
#[cfg(not(feature = "points"))]
#[inline(always)]
pub fn clock_ahead() -> f64 {
    0.0
}

#[cfg(feature = "points")]
pub use injection::clock_ahead;

#[cfg(feature = "points")]
mod injection {
    use std::collections::BTreeMap;
    use std::fs::{self, File, OpenOptions};
    use std::io::Write;
    use std::sync::{Mutex, OnceLock};
    use std::time::Duration;

    use super::{Fault, Point};

    /// The faults to inject: `POINT:PASS:FAULT`, separated by commas. PASS is the number of the pass, from 1, or `*` for
    /// each pass.
    const FAULTS_VARIABLE: &str = "JUNIPERRAIL_POINTS";
    /// The path of a file that only one process can create. That process injects the fault, once; the others inject none.
    const ONCE_FILE_VARIABLE: &str = "JUNIPERRAIL_POINTS_ONCE";
    /// The path of the file to record passes in, one point number per line.
    const PASSED_FILE_VARIABLE: &str = "JUNIPERRAIL_POINTS_PASSED";
    /// The path of a file with the offset of the clock in milliseconds; it is read again at each use of the clock.
    const CLOCK_FILE_VARIABLE: &str = "JUNIPERRAIL_CLOCK";
    /// Limit on the recorded passes of each point, and so on the size of the file. Trials inject faults only at recorded
    /// passes.
    const MAX_RECORDED_PASSES: u64 = 200;
    /// Longer than a lease and an election in the trials, but shorter than their wait timeouts.
    const STALL_DURATION: Duration = Duration::from_millis(2500);

    /// A fault to inject, from [`FAULTS_VARIABLE`].
    struct SelectedFault {
        point: Point,
        /// The number of the pass at which to inject the fault, from 1; `None` for each pass.
        pass_number: Option<u64>,
        fault: Fault,
    }

    struct Injector {
        faults: Vec<SelectedFault>,
        passed_file: Option<File>,
        pass_counts: BTreeMap<Point, u64>,
    }

    fn injector() -> &'static Mutex<Injector> {
        static INJECTOR: OnceLock<Mutex<Injector>> = OnceLock::new();
        INJECTOR.get_or_init(|| {
            let selection = std::env::var(FAULTS_VARIABLE).unwrap_or_default();
            let entries = selection.split(',').filter(|entry| !entry.is_empty());
            let passed_path = std::env::var_os(PASSED_FILE_VARIABLE);
            let open_file = |path| OpenOptions::new().append(true).create(true).open(path).ok();
            Mutex::new(Injector {
                faults: entries.map(parse_fault).collect(),
                passed_file: passed_path.and_then(open_file),
                pass_counts: <_>::default(),
            })
        })
    }

    /// Parses `POINT:PASS:FAULT`; exits the process if the text is invalid.
    fn parse_fault(entry: &str) -> SelectedFault {
        let parse = || {
            let mut parts = entry.split(':');
            let point = Point(parts.next()?.parse().ok()?);
            let pass_number = match parts.next()? {
                "*" => None,
                text => Some(text.parse().ok()?),
            };
            let name = parts.next()?;
            let fault = Fault::ALL.iter().find(|(fault_name, _)| *fault_name == name)?.1;
            Some(SelectedFault { point, pass_number, fault })
        };
        // Without this check, a trial that selects an unknown fault would pass without testing anything.
        parse().unwrap_or_else(|| {
            eprintln!("{FAULTS_VARIABLE} contains an invalid POINT:PASS:FAULT: {entry:?}");
            std::process::exit(2)
        })
    }

    pub fn pass(point: Point) -> Option<Fault> {
        let fault = {
            let mut injector = injector().lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let Injector { faults, passed_file, pass_counts } = &mut *injector;
            let count = pass_counts.entry(point).or_default();
            *count += 1;
            if let Some(file) = passed_file.as_mut().filter(|_| *count <= MAX_RECORDED_PASSES) {
                // If this fails, the trial reports the point as not reached.
                _ = writeln!(file, "{}", point.0);
            }
            let matches_pass = |selected: &&SelectedFault| {
                selected.point == point && selected.pass_number.is_none_or(|number| number == *count)
            };
            faults.iter().find(matches_pass).map(|selected| selected.fault).filter(|_| claim_once_file())
        };
        match fault {
            Some(Fault::Abort) => {
                eprintln!("{point}: abort");
                std::process::abort()
            }
            Some(Fault::Stall) => {
                eprintln!("{point}: stall");
                std::thread::sleep(STALL_DURATION);
                None
            }
            other => {
                other.iter().for_each(|fault| eprintln!("{point}: {}", fault.name()));
                other
            }
        }
    }

    /// Returns whether this process may inject the fault: it has just created the file, or no file is configured.
    fn claim_once_file() -> bool {
        std::env::var_os(ONCE_FILE_VARIABLE).is_none_or(|path| File::create_new(path).is_ok())
    }

    /// How far the clock of this process is ahead of the machine's, in milliseconds.
    pub fn clock_ahead() -> f64 {
        static PATH: OnceLock<Option<std::ffi::OsString>> = OnceLock::new();
        let path = PATH.get_or_init(|| std::env::var_os(CLOCK_FILE_VARIABLE));
        let text = path.as_ref().and_then(|path| fs::read_to_string(path).ok());
        text.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn points_have_unique_numbers_and_names_and_at_least_one_fault() {
        for (index, info) in POINTS.iter().enumerate() {
            let is_same = |other: &&PointInfo| other.point == info.point || other.name == info.name;
            assert_eq!(POINTS.iter().filter(is_same).count(), 1, "{}", info.name);
            assert!(!info.faults.is_empty(), "{}", info.point);
            assert!(index == 0 || POINTS[index - 1].point < info.point, "points are sorted by number");
            assert_eq!(super::info(info.point).map(|found| found.name), Some(info.name));
        }
    }

    #[test]
    #[cfg(not(feature = "points"))]
    fn without_the_feature_points_do_nothing() {
        assert!(POINTS.iter().all(|info| info.point.pass().is_none()));
        assert_eq!(clock_ahead(), 0.0);
    }
}
