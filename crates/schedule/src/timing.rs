//! When a schedule is due: cron fields in a time zone, policies for civil times that a clock change skips or repeats, a
//! time window, quiet times and jitter. `croner` evaluates the fields on civil times, and `jiff` converts these to
//! instants in the zone.

use std::fmt;
use std::str::FromStr;

use croner::parser::{CronParser, Seconds};
use croner::Cron;
use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{SignedDuration, Timestamp};
use juniperrail_interface::Ms;
use xxhash_rust::xxh3::xxh3_64;

/// What happens to a civil time that a clock change skips.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum GapPolicy {
    /// It is due when the gap ends.
    #[default]
    AtGapEnd,
    Skip,
}

/// At which of its two instants a civil time that a clock change repeats is due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FoldPolicy {
    #[default]
    First,
    Second,
    Both,
}

/// What happens to an occurrence that is due in a quiet time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuietPolicy {
    /// It is skipped.
    #[default]
    Skip,
    /// It runs when the quiet time ends.
    Defer,
}

/// One time at which a schedule is due, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledTime {
    /// The time by the cron fields; it names the occurrence.
    pub due: Ms,
    /// The time to run at, with deferral by quiet times and jitter added.
    pub run_at: Ms,
    /// Whether it falls in a quiet time and is skipped.
    pub in_quiet_time: bool,
}

/// Why a timing is invalid: the invalid part, and the reason with a hint at the correct form.
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

/// When a schedule is due.
#[derive(Clone, Debug)]
pub struct Timing {
    name: String,
    cron: Cron,
    zone: TimeZone,
    gap: GapPolicy,
    fold: FoldPolicy,
    jitter: Ms,
    window: Window,
    /// Each quiet time begins at its first civil time and ends before its second.
    quiet_times: Vec<(DateTime, DateTime)>,
    quiet_policy: QuietPolicy,
}

/// The schedule is due only at civil times from `from` and before `until`; `None` sets no limit.
#[derive(Clone, Debug)]
struct Window {
    from: Option<DateTime>,
    until: Option<DateTime>,
}

/// How far ahead to search. Five years suffice for a schedule that is due only on 29 February, except around 2100.
const SEARCH_LIMIT: SignedDuration = SignedDuration::from_hours(24 * 366 * 5);
/// Number of instants, or all if there are fewer, that are collected before the earliest is returned.
const COLLECTED_INSTANTS: usize = 8;
/// How many adjoining quiet times can defer an occurrence, each into the next.
const MAX_CHAINED_QUIET_TIMES: usize = 64;

fn unix_ms(instant: Timestamp) -> Ms {
    instant.as_millisecond() as f64
}

impl Timing {
    /// Parses a cron pattern of five fields, or six with seconds first. `name` is the schedule's name, which seeds the
    /// jitter.
    pub fn parse(name: &str, cron: &str, zone: &str) -> Result<Timing, TimingError> {
        let timing_error = |part, reason: String| TimingError { part, reason };
        let parser = CronParser::builder().seconds(Seconds::Optional).build();
        let pattern = parser
            .parse(cron)
            .map_err(|error| timing_error("cron", format!("{cron:?} is not a cron pattern: {error}")))?;
        let zone = TimeZone::get(zone).map_err(|_| {
            timing_error(
                "time-zone",
                format!("{zone:?} is not a known time zone; use a name such as \"Asia/Karachi\" or \"UTC\""),
            )
        })?;
        Ok(Timing {
            name: name.into(),
            cron: pattern,
            zone,
            gap: GapPolicy::default(),
            fold: FoldPolicy::default(),
            jitter: 0.0,
            window: Window { from: None, until: None },
            quiet_times: Vec::new(),
            quiet_policy: QuietPolicy::default(),
        })
    }

    /// Sets the policies for civil times that a clock change skips or repeats.
    pub fn with_clock_changes(self, gap: GapPolicy, fold: FoldPolicy) -> Timing {
        Timing { gap, fold, ..self }
    }

    /// Adds a pseudo-random delay of at most `jitter` ms, which is the same at every manager.
    pub fn with_jitter(self, jitter: Ms) -> Timing {
        Timing { jitter: jitter.max(0.0), ..self }
    }

    /// Limits the schedule to civil times from `from` and before `until`, written as `2027-02-01T08:00`.
    pub fn with_window(self, from: Option<&str>, until: Option<&str>) -> Result<Timing, TimingError> {
        let window =
            Window { from: from.map(parse_civil).transpose()?, until: until.map(parse_civil).transpose()? };
        Ok(Timing { window, ..self })
    }

    /// Sets the quiet times, each from its first civil time and before its second.
    pub fn with_quiet_times<'a>(
        self,
        times: impl IntoIterator<Item = (&'a str, &'a str)>,
        quiet_policy: QuietPolicy,
    ) -> Result<Timing, TimingError> {
        let parse = |(from, until): (&str, &str)| {
            let (from, until) = (parse_civil(from)?, parse_civil(until)?);
            match from < until {
                true => Ok((from, until)),
                false => Err(TimingError { part: "quiet", reason: format!("{from} is not before {until}") }),
            }
        };
        let quiet_times = times.into_iter().map(parse).collect::<Result<Vec<_>, TimingError>>()?;
        Ok(Timing { quiet_times, quiet_policy, ..self })
    }

    /// The times due after `after`, in ascending order. The iterator ends when nothing more is due within the five
    /// years after `after`.
    pub fn after(&self, after: Ms) -> impl Iterator<Item = ScheduledTime> + '_ {
        let start = Timestamp::from_millisecond(after as i64).unwrap_or(Timestamp::MIN);
        let local_start = self.zone.to_datetime(start);
        // Within a repeated hour, a civil time that has passed may come again: start the search that much earlier.
        let repeated_secs = match self.zone.to_ambiguous_timestamp(local_start).offset() {
            AmbiguousOffset::Fold { before, after } => i64::from(before.seconds() - after.seconds()) + 1,
            _ => 0,
        };
        let mut next_civil = Some(local_start.saturating_sub(SignedDuration::from_secs(repeated_secs)));
        let mut pending: Vec<Timestamp> = Vec::new();
        let mut last_due = None;
        std::iter::from_fn(move || loop {
            // Around a clock change the instants may come out of order, so several are collected before one is returned.
            while let Some(civil) = next_civil.filter(|_| pending.len() < COLLECTED_INSTANTS) {
                next_civil = self.cron.find_next_occurrence(&civil, false).ok().filter(|next| {
                    let limit = self.zone.to_datetime(start).saturating_add(SEARCH_LIMIT);
                    *next <= limit && self.window.until.is_none_or(|until| *next < until)
                });
                next_civil.iter().for_each(|civil| pending.extend(self.instants(*civil)));
                pending.sort();
                pending.retain(|instant| *instant > start);
            }
            let due = if pending.is_empty() { return None } else { pending.remove(0) };
            if last_due == Some(due) {
                continue;
            }
            last_due = Some(due);
            let next = pending.iter().find(|instant| **instant > due).copied();
            return Some(self.scheduled_time(due, next));
        })
        .filter(|time| self.window.from.is_none_or(|from| self.civil_time(time.due) >= from))
    }

    fn civil_time(&self, unix: Ms) -> DateTime {
        self.zone.to_datetime(Timestamp::from_millisecond(unix as i64).unwrap_or(Timestamp::MIN))
    }

    /// The instants of a civil time in the zone, by the policies for clock changes: none, one or two.
    fn instants(&self, civil: DateTime) -> Vec<Timestamp> {
        let ambiguous = self.zone.to_ambiguous_timestamp(civil);
        match ambiguous.offset() {
            AmbiguousOffset::Unambiguous { .. } => ambiguous.compatible().into_iter().collect(),
            AmbiguousOffset::Gap { before, .. } => match self.gap {
                GapPolicy::Skip => Vec::new(),
                // The gap ends at the clock change. By the offset before the change, a skipped civil time lies at or
                // after the change. The nanosecond is added because `preceding` excludes the given instant itself.
                GapPolicy::AtGapEnd => {
                    let by_offset_before = before.to_timestamp(civil).ok();
                    let change = by_offset_before.and_then(|instant| {
                        let just_after =
                            instant.saturating_add(SignedDuration::from_nanos(1)).unwrap_or(instant);
                        self.zone.preceding(just_after).next().map(|change| change.timestamp())
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

    /// Applies quiet times and jitter. `next` is the next due time.
    fn scheduled_time(&self, due: Timestamp, next: Option<Timestamp>) -> ScheduledTime {
        let mut run_at = due;
        for _ in 0..MAX_CHAINED_QUIET_TIMES {
            let civil = self.zone.to_datetime(run_at);
            let Some((_, until)) =
                self.quiet_times.iter().find(|(from, until)| *from <= civil && civil < *until)
            else {
                break;
            };
            if self.quiet_policy == QuietPolicy::Skip {
                return ScheduledTime { due: unix_ms(due), run_at: unix_ms(due), in_quiet_time: true };
            }
            run_at = self.zone.to_ambiguous_timestamp(*until).compatible().unwrap_or(run_at).max(run_at);
        }
        let (due, run_at) = (unix_ms(due), unix_ms(run_at));
        // Jitter must not reach the next due time, the end of the window or a quiet time.
        let window_end =
            self.window.until.and_then(|until| self.zone.to_ambiguous_timestamp(until).compatible().ok());
        let quiet_starts = self
            .quiet_times
            .iter()
            .filter_map(|(from, _)| self.zone.to_ambiguous_timestamp(*from).compatible().ok());
        let bounds = next
            .into_iter()
            .chain(window_end)
            .chain(quiet_starts)
            .map(unix_ms)
            .filter(|bound| *bound > run_at);
        let max_delay =
            bounds.fold(self.jitter, |max_delay, bound| max_delay.min(bound - run_at - 1.0)).max(0.0);
        ScheduledTime {
            due,
            run_at: (run_at + self.jitter_ratio(due) * max_delay).floor(),
            in_quiet_time: false,
        }
    }

    /// A hash of the schedule's name and the due time, scaled to 0..1: the same at every manager, and evenly distributed.
    fn jitter_ratio(&self, due: Ms) -> f64 {
        let text = format!("{}\0{due}", self.name);
        (xxh3_64(text.as_bytes()) >> 11) as f64 / (1u64 << 53) as f64
    }
}

fn parse_civil(text: &str) -> Result<DateTime, TimingError> {
    let reason = || format!("{text:?} is not a civil time; write it as \"2027-02-01T08:00\"");
    DateTime::from_str(text).map_err(|_| TimingError { part: "time", reason: reason() })
}
