//! When a schedule is due: cron fields in a time zone, with what becomes of times that a change of the clock leaves out or
//! brings twice, windows, quiet times and jitter. Fields are read by `croner` on civil times, and `jiff` places those in
//! the zone.

use std::fmt;
use std::str::FromStr;

use croner::parser::{CronParser, Seconds};
use croner::Cron;
use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{SignedDuration, Timestamp};
use juniperrail_interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

/// What becomes of a civil time that the clock jumps over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GapPolicy {
    /// It is due as the gap ends.
    #[default]
    AtGapEnd,
    Skip,
}

/// What becomes of a civil time that comes twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FoldPolicy {
    #[default]
    First,
    Second,
    Both,
}

/// What becomes of what is due in a quiet time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuietPolicy {
    /// It is passed over.
    #[default]
    Skip,
    /// It is due as the quiet time ends.
    Defer,
}

/// One time at which a schedule is due, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledTime {
    /// By the fields: it names the occurrence.
    pub due: Ms,
    /// With what quiet times and jitter add.
    pub run_at: Ms,
    /// It falls in a quiet time and is passed over.
    pub in_quiet_time: bool,
}

/// Why a timing cannot be read: the part, and the way out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimingError {
    pub part: &'static str,
    pub reason: String,
}

impl fmt::Display for TimingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.part, self.reason)
    }
}

#[derive(Clone, Debug)]
pub struct Timing {
    name: String,
    cron: Cron,
    zone: TimeZone,
    gap: GapPolicy,
    fold: FoldPolicy,
    jitter: Ms,
    /// Civil times from and up to which it is due at all.
    window: (Option<DateTime>, Option<DateTime>),
    quiet: Vec<(DateTime, DateTime)>,
    in_quiet: QuietPolicy,
}

/// Further than this nothing is looked for: what is due once in a leap year is found.
const AHEAD: SignedDuration = SignedDuration::from_hours(24 * 366 * 5);
/// QuietPolicy times may follow on each other so often.
const CHAINED: usize = 64;

fn millis(at: Timestamp) -> Ms {
    at.as_millisecond() as f64
}

impl Timing {
    /// `name` is that of the schedule: jitter spreads by it. `cron` has five fields, or six with seconds first.
    pub fn parse(name: &str, cron: &str, zone: &str) -> Result<Timing, TimingError> {
        let fault = |part, why: String| TimingError { part, reason: why };
        let parser = CronParser::builder().seconds(Seconds::Optional).build();
        let read =
            parser.parse(cron).map_err(|why| fault("cron", format!("{cron:?} is no cron pattern: {why}")))?;
        let zone = TimeZone::get(zone).map_err(|_| {
            fault("time-zone", format!("{zone:?} is no time zone; name one as \"Asia/Karachi\" or \"UTC\""))
        })?;
        Ok(Timing {
            name: name.into(),
            cron: read,
            zone,
            gap: GapPolicy::default(),
            fold: FoldPolicy::default(),
            jitter: 0.0,
            window: (None, None),
            quiet: Vec::new(),
            in_quiet: QuietPolicy::default(),
        })
    }

    pub fn with_clock_changes(self, gap: GapPolicy, fold: FoldPolicy) -> Timing {
        Timing { gap, fold, ..self }
    }

    /// At most so many milliseconds later, by chance that is the same at every manager.
    pub fn with_jitter(self, jitter: Ms) -> Timing {
        Timing { jitter: jitter.max(0.0), ..self }
    }

    /// Civil times as `2027-02-01T08:00`, from and up to which it is due.
    pub fn with_window(self, from: Option<&str>, until: Option<&str>) -> Result<Timing, TimingError> {
        let window = (from.map(civil).transpose()?, until.map(civil).transpose()?);
        Ok(Timing { window, ..self })
    }

    /// Civil times, each from and up to which it is quiet.
    pub fn with_quiet_times<'a>(
        self,
        times: impl IntoIterator<Item = (&'a str, &'a str)>,
        in_quiet: QuietPolicy,
    ) -> Result<Timing, TimingError> {
        let read = |(from, until): (&str, &str)| {
            let (from, until) = (civil(from)?, civil(until)?);
            match from < until {
                true => Ok((from, until)),
                false => Err(TimingError { part: "quiet", reason: format!("{from} is not before {until}") }),
            }
        };
        let quiet = times.into_iter().map(read).collect::<Result<Vec<_>, TimingError>>()?;
        Ok(Timing { quiet, in_quiet, ..self })
    }

    /// The times due after one, in their order. They end where nothing is due for five years.
    pub fn after(&self, after: Ms) -> impl Iterator<Item = ScheduledTime> + '_ {
        let start = Timestamp::from_millisecond(after as i64).unwrap_or(Timestamp::MIN);
        let here = self.zone.to_datetime(start);
        // In a time that comes twice, one that the clock has shown already may come again.
        let twice = match self.zone.to_ambiguous_timestamp(here).offset() {
            AmbiguousOffset::Fold { before, after } => i64::from(before.seconds() - after.seconds()) + 1,
            _ => 0,
        };
        let mut civil = Some(here.saturating_sub(SignedDuration::from_secs(twice)));
        let mut waiting: Vec<Timestamp> = Vec::new();
        let mut last = None;
        std::iter::from_fn(move || loop {
            // What is found may come out of order around a change of the clock: one more is read before one is told.
            while let Some(at) = civil.filter(|_| waiting.len() < 8) {
                civil = self.cron.find_next_occurrence(&at, false).ok().filter(|next| {
                    let far = self.zone.to_datetime(start).saturating_add(AHEAD);
                    *next <= far && self.window.1.is_none_or(|until| *next < until)
                });
                civil.iter().for_each(|civil| waiting.extend(self.place(*civil)));
                waiting.sort();
                waiting.retain(|at| *at > start);
            }
            let due = if waiting.is_empty() { return None } else { waiting.remove(0) };
            if last == Some(due) {
                continue;
            }
            last = Some(due);
            let next = waiting.iter().find(|at| **at > due).copied();
            return Some(self.when(due, next));
        })
        .filter(|when| self.window.0.is_none_or(|from| self.civil(when.due) >= from))
    }

    fn civil(&self, at: Ms) -> DateTime {
        self.zone.to_datetime(Timestamp::from_millisecond(at as i64).unwrap_or(Timestamp::MIN))
    }

    /// Where a civil time lies in the zone: nowhere, once or twice.
    fn place(&self, civil: DateTime) -> Vec<Timestamp> {
        let ambiguous = self.zone.to_ambiguous_timestamp(civil);
        match ambiguous.offset() {
            AmbiguousOffset::Unambiguous { .. } => ambiguous.compatible().into_iter().collect(),
            AmbiguousOffset::Gap { before, .. } => match self.gap {
                GapPolicy::Skip => Vec::new(),
                // The gap ends at the change: the first moment after it that the clock shows.
                GapPolicy::AtGapEnd => {
                    let inside = before.to_timestamp(civil).ok();
                    let change = inside.and_then(|at| {
                        let at = at.saturating_add(SignedDuration::from_nanos(1)).unwrap_or(at);
                        self.zone.preceding(at).next().map(|change| change.timestamp())
                    });
                    change.into_iter().collect()
                }
            },
            AmbiguousOffset::Fold { before, after } => {
                let (first, second) = (before.to_timestamp(civil).ok(), after.to_timestamp(civil).ok());
                match self.fold {
                    FoldPolicy::First => first.into_iter().collect(),
                    FoldPolicy::Second => second.into_iter().collect(),
                    FoldPolicy::Both => first.into_iter().chain(second).collect(),
                }
            }
        }
    }

    fn when(&self, due: Timestamp, next: Option<Timestamp>) -> ScheduledTime {
        let mut at = due;
        for _ in 0..CHAINED {
            let civil = self.zone.to_datetime(at);
            let Some((_, until)) = self.quiet.iter().find(|(from, until)| *from <= civil && civil < *until)
            else {
                break;
            };
            if self.in_quiet == QuietPolicy::Skip {
                return ScheduledTime { due: millis(due), run_at: millis(due), in_quiet_time: true };
            }
            at = self.zone.to_ambiguous_timestamp(*until).compatible().unwrap_or(at).max(at);
        }
        let (due, at) = (millis(due), millis(at));
        // Never past the next one or the end of the window, nor into a quiet time.
        let end = self.window.1.and_then(|until| self.zone.to_ambiguous_timestamp(until).compatible().ok());
        let quiets = self
            .quiet
            .iter()
            .filter_map(|(from, _)| self.zone.to_ambiguous_timestamp(*from).compatible().ok());
        let bounds = next.into_iter().chain(end).chain(quiets).map(millis).filter(|bound| *bound > at);
        let room = bounds.fold(self.jitter, |room, bound| room.min(bound - at - 1.0)).max(0.0);
        ScheduledTime { due, run_at: (at + self.spread(due) * room).floor(), in_quiet_time: false }
    }

    /// By chance in 0..1, the same wherever it is asked, and spread evenly over schedules and occurrences.
    fn spread(&self, due: Ms) -> f64 {
        let text = format!("{}\0{due}", self.name);
        (xxh3_64(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn civil(text: &str) -> Result<DateTime, TimingError> {
    let why = || format!("{text:?} is no civil time; write it as \"2027-02-01T08:00\"");
    DateTime::from_str(text).map_err(|_| TimingError { part: "time", reason: why() })
}
