//! Numbered points: every place where a failure matters, each with a name and what may happen there. A program built with
//! the feature `points` is told by its environment at which passing of which point what happens, and writes down each
//! passing, so that a trial can play each in turn and name those that were never reached. Without the feature
//! [`Point::pass`] is nothing at all.
//!
//! The crate `fail` was weighed: its points act by name and by chance or count, but it neither writes down what was
//! passed nor tells a caller to lose, repeat or tear, and an abort is not among its actions.

use std::fmt;

/// What happens at a point. What is not for the caller is done before [`Point::pass`] comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is gone at once, as with SIGKILL.
    Abort,
    /// The caller takes it that the step failed, before anything of it was done.
    Error,
    /// The thread stands still for a while.
    Stall,
    /// The caller takes it that the step was done; it was not.
    Lose,
    /// The caller does it twice.
    Repeat,
    /// The caller does part of it and takes it for failed.
    Tear,
}

impl Fault {
    pub const ALL: [(&'static str, Fault); 6] = [
        ("abort", Fault::Abort),
        ("error", Fault::Error),
        ("stall", Fault::Stall),
        ("lose", Fault::Lose),
        ("repeat", Fault::Repeat),
        ("tear", Fault::Tear),
    ];

    pub fn name(self) -> &'static str {
        Fault::ALL.iter().find(|(_, fault)| *fault == self).map_or("", |(name, _)| name)
    }
}

/// One place, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Point(pub u16);

/// What is known of a point.
#[derive(Clone, Copy, Debug)]
pub struct PointInfo {
    pub point: Point,
    pub name: &'static str,
    pub faults: &'static [Fault],
}

macro_rules! points {
    ($($number:literal $constant:ident $name:literal [$($fault:ident)*];)*) => {
        impl Point {
            $(pub const $constant: Point = Point($number);)*
        }

        /// Every point. Numbers stay as they are, also where one is removed.
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

/// What is known of the point of that number.
pub fn info(point: Point) -> Option<&'static PointInfo> {
    POINTS.iter().find(|told| told.point == point)
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "point {} ({})", self.0, info(*self).map_or("unknown", |told| told.name))
    }
}

impl Point {
    /// Passes the point: what the caller is to do amiss, if anything.
    #[cfg(not(feature = "points"))]
    #[inline(always)]
    pub fn pass(self) -> Option<Fault> {
        None
    }

    #[cfg(feature = "points")]
    pub fn pass(self) -> Option<Fault> {
        played::pass(self)
    }
}

/// How far the clock that a process is told runs ahead of the machine's, in milliseconds.
#[cfg(not(feature = "points"))]
#[inline(always)]
pub fn clock_ahead() -> f64 {
    0.0
}

#[cfg(feature = "points")]
pub use played::clock_ahead;

#[cfg(feature = "points")]
mod played {
    use std::collections::BTreeMap;
    use std::fs::{self, File, OpenOptions};
    use std::io::Write;
    use std::sync::{Mutex, OnceLock};
    use std::time::Duration;

    use super::{Fault, Point};

    /// `POINT:PASSING:FAULT` words, divided by commas; a passing of `*` is each.
    const PLAYED: &str = "JUNIPERRAIL_POINTS";
    /// A file that only one process makes: whoever makes it plays the fault, the others go on.
    const ONCE: &str = "JUNIPERRAIL_POINTS_ONCE";
    /// Where each passing is written down, a number a line.
    const PASSED: &str = "JUNIPERRAIL_POINTS_PASSED";
    /// A file that holds how far the clock is ahead, read at each look.
    const CLOCK: &str = "JUNIPERRAIL_CLOCK";
    /// Passings of one point that are written down.
    const MOST: u64 = 200;
    /// Longer than a lease and an election of the trials, shorter than what they wait for.
    const STALL: Duration = Duration::from_millis(2500);

    struct Played {
        faults: Vec<(Point, Option<u64>, Fault)>,
        passed: Option<File>,
        counts: BTreeMap<Point, u64>,
    }

    fn played() -> &'static Mutex<Played> {
        static PLAY: OnceLock<Mutex<Played>> = OnceLock::new();
        PLAY.get_or_init(|| {
            let told = std::env::var(PLAYED).unwrap_or_default();
            let words = told.split(',').filter(|word| !word.is_empty());
            let passed = std::env::var_os(PASSED);
            let open = |path| OpenOptions::new().append(true).create(true).open(path).ok();
            Mutex::new(Played {
                faults: words.map(fault).collect(),
                passed: passed.and_then(open),
                counts: <_>::default(),
            })
        })
    }

    fn fault(word: &str) -> (Point, Option<u64>, Fault) {
        let read = || {
            let mut parts = word.split(':');
            let point = Point(parts.next()?.parse().ok()?);
            let passing = match parts.next()? {
                "*" => None,
                passing => Some(passing.parse().ok()?),
            };
            let name = parts.next()?;
            let fault = Fault::ALL.iter().find(|(known, _)| *known == name)?.1;
            Some((point, passing, fault))
        };
        // A trial that asks for what is not there would else pass for nothing.
        read().unwrap_or_else(|| {
            eprintln!("{PLAYED} has a word that is no POINT:PASSING:FAULT: {word:?}");
            std::process::exit(2)
        })
    }

    pub fn pass(point: Point) -> Option<Fault> {
        let fault = {
            let mut played = played().lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let Played { faults, passed, counts } = &mut *played;
            let count = counts.entry(point).or_default();
            *count += 1;
            if let Some(file) = passed.as_mut().filter(|_| *count <= MOST) {
                // A passing that could not be written down shows as a point that was not reached.
                _ = writeln!(file, "{}", point.0);
            }
            let here = |(at, passing, _): &&(Point, Option<u64>, Fault)| {
                *at == point && passing.is_none_or(|passing| passing == *count)
            };
            faults.iter().find(here).map(|(_, _, fault)| *fault).filter(|_| first())
        };
        match fault {
            Some(Fault::Abort) => {
                eprintln!("{point}: abort");
                std::process::abort()
            }
            Some(Fault::Stall) => {
                eprintln!("{point}: stall");
                std::thread::sleep(STALL);
                None
            }
            other => {
                other.iter().for_each(|fault| eprintln!("{point}: {}", fault.name()));
                other
            }
        }
    }

    fn first() -> bool {
        std::env::var_os(ONCE).is_none_or(|path| File::create_new(path).is_ok())
    }

    pub fn clock_ahead() -> f64 {
        static PATH: OnceLock<Option<std::ffi::OsString>> = OnceLock::new();
        let path = PATH.get_or_init(|| std::env::var_os(CLOCK));
        let text = path.as_ref().and_then(|path| fs::read_to_string(path).ok());
        text.and_then(|text| text.trim().parse().ok()).unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_point_has_a_number_and_a_name_of_its_own_and_may_do_something() {
        for (place, told) in POINTS.iter().enumerate() {
            let other = |other: &&PointInfo| other.point == told.point || other.name == told.name;
            assert_eq!(POINTS.iter().filter(other).count(), 1, "{}", told.name);
            assert!(!told.faults.is_empty(), "{}", told.point);
            assert!(place == 0 || POINTS[place - 1].point < told.point, "in their order");
            assert_eq!(super::info(told.point).map(|told| told.name), Some(told.name));
        }
    }

    #[test]
    #[cfg(not(feature = "points"))]
    fn without_the_feature_nothing_happens_at_any_point() {
        assert!(POINTS.iter().all(|told| told.point.pass().is_none()));
        assert_eq!(clock_ahead(), 0.0);
    }
}
