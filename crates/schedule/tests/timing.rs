//! When schedules are due: cron fields, clock changes, windows, quiet times and jitter.
//!
//! Guards against occurrences that are lost, doubled or out of order around a clock change, and against jitter that moves
//! an occurrence past the next one, out of its window or into a quiet time.

use jiff::Timestamp;
use juniperrail_schedule::*;

fn unix_ms(text: &str) -> f64 {
    text.parse::<Timestamp>().unwrap().as_millisecond() as f64
}

fn utc(unix_ms: f64) -> String {
    Timestamp::from_millisecond(unix_ms as i64).unwrap().to_string()
}

fn due_times(timing: &Timing, after: &str, limit: usize) -> Vec<String> {
    timing.after(unix_ms(after)).take(limit).map(|time| utc(time.due)).collect()
}

#[test]
fn cron_fields_are_civil_times_of_the_time_zone() {
    let daily = Timing::parse("warm", "30 7 * * MON-FRI", "Asia/Karachi").unwrap();
    let due = due_times(&daily, "2026-12-04T00:00:00Z", 3);
    assert_eq!(due, ["2026-12-04T02:30:00Z", "2026-12-07T02:30:00Z", "2026-12-08T02:30:00Z"]);
    assert_eq!(
        due_times(&daily, "2026-12-04T02:30:00Z", 1),
        ["2026-12-07T02:30:00Z"],
        "the start itself is excluded"
    );
    let seconds = Timing::parse("tick", "*/2 * * * * *", "UTC").unwrap();
    assert_eq!(
        due_times(&seconds, "2026-12-04T00:00:01Z", 2),
        ["2026-12-04T00:00:02Z", "2026-12-04T00:00:04Z"]
    );
    let leap = Timing::parse("leap", "0 0 29 2 *", "UTC").unwrap();
    assert_eq!(due_times(&leap, "2026-12-04T00:00:00Z", 1), ["2028-02-29T00:00:00Z"]);
    let never = Timing::parse("never", "0 0 31 2 *", "UTC").unwrap();
    assert_eq!(due_times(&never, "2026-12-04T00:00:00Z", 1), Vec::<String>::new());
}

#[test]
fn errors_name_the_invalid_part_and_the_expected_form() {
    let error = Timing::parse("x", "61 * * * *", "UTC").unwrap_err();
    assert!(error.part == "cron" && error.to_string().contains("61 * * * *"), "{error}");
    let error = Timing::parse("x", "* * * * *", "Mars/Base").unwrap_err();
    assert!(
        error.to_string().contains("\"Mars/Base\" is not a known time zone; use a name such as"),
        "{error}"
    );
    let timing = Timing::parse("x", "* * * * *", "UTC").unwrap();
    assert!(timing.clone().with_window(Some("soon"), None).unwrap_err().to_string().contains("write it as"));
    let error =
        timing.with_quiet_times([("2026-01-02T00:00", "2026-01-01T00:00")], QuietPolicy::Skip).unwrap_err();
    assert!(error.to_string().contains("is not before"), "{error}");
}

#[test]
fn a_civil_time_skipped_by_a_clock_change_is_due_by_the_gap_policy() {
    // 2027-03-28 in Berlin: 02:00 becomes 03:00 at 01:00 UTC.
    let with_gap_policy = |gap| {
        Timing::parse("x", "30 2 * * *", "Europe/Berlin").unwrap().with_clock_changes(gap, FoldPolicy::First)
    };
    let after = "2027-03-27T12:00:00Z";
    assert_eq!(
        due_times(&with_gap_policy(GapPolicy::AtGapEnd), after, 2),
        ["2027-03-28T01:00:00Z", "2027-03-29T00:30:00Z"]
    );
    assert_eq!(due_times(&with_gap_policy(GapPolicy::Skip), after, 1), ["2027-03-29T00:30:00Z"]);
    let every_20_minutes = Timing::parse("x", "*/20 * * * *", "Europe/Berlin").unwrap();
    let due = due_times(&every_20_minutes, "2027-03-28T00:30:00Z", 4);
    let expected =
        ["2027-03-28T00:40:00Z", "2027-03-28T01:00:00Z", "2027-03-28T01:20:00Z", "2027-03-28T01:40:00Z"];
    assert_eq!(due, expected, "the three skipped times coincide with the one at the clock change");
}

#[test]
fn a_civil_time_repeated_by_a_clock_change_is_due_by_the_fold_policy() {
    // 2026-10-25 in Berlin: 03:00 becomes 02:00 at 01:00 UTC.
    let with_fold_policy = |fold| {
        Timing::parse("x", "30 2 * * *", "Europe/Berlin")
            .unwrap()
            .with_clock_changes(GapPolicy::AtGapEnd, fold)
    };
    let after = "2026-10-24T12:00:00Z";
    assert_eq!(
        due_times(&with_fold_policy(FoldPolicy::First), after, 2),
        ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"]
    );
    assert_eq!(due_times(&with_fold_policy(FoldPolicy::Second), after, 1), ["2026-10-25T01:30:00Z"]);
    assert_eq!(
        due_times(&with_fold_policy(FoldPolicy::Both), after, 2),
        ["2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z"]
    );
    // Starting between the two instants.
    assert_eq!(
        due_times(&with_fold_policy(FoldPolicy::Both), "2026-10-25T00:45:00Z", 1),
        ["2026-10-25T01:30:00Z"]
    );
    assert_eq!(
        due_times(&with_fold_policy(FoldPolicy::First), "2026-10-25T00:45:00Z", 1),
        ["2026-10-26T01:30:00Z"]
    );
    let every_15_minutes = Timing::parse("x", "*/15 * * * *", "Europe/Berlin")
        .unwrap()
        .with_clock_changes(GapPolicy::AtGapEnd, FoldPolicy::Both);
    let due = due_times(&every_15_minutes, "2026-10-24T23:50:00Z", 12);
    assert!(due.windows(2).all(|pair| pair[0] < pair[1]), "{due:?}");
    assert_eq!(
        (due.len(), due[11].as_str()),
        (12, "2026-10-25T02:45:00Z"),
        "none is doubled and none is missing"
    );
}

#[test]
fn windows_limit_and_quiet_times_skip_or_defer_occurrences() {
    let timing = Timing::parse("x", "0 * * * *", "Asia/Karachi").unwrap();
    let within = timing.clone().with_window(Some("2027-02-01T08:00"), Some("2027-02-01T10:00")).unwrap();
    assert_eq!(
        due_times(&within, "2026-01-01T00:00:00Z", 9),
        ["2027-02-01T03:00:00Z", "2027-02-01T04:00:00Z"]
    );
    let times = [("2027-02-01T07:30", "2027-02-01T09:15"), ("2027-02-01T09:15", "2027-02-01T09:30")];
    let skipped = timing.clone().with_quiet_times(times, QuietPolicy::Skip).unwrap();
    let times_due: Vec<ScheduledTime> = skipped.after(unix_ms("2027-02-01T01:30:00Z")).take(4).collect();
    assert_eq!(
        times_due.iter().map(|time| time.in_quiet_time).collect::<Vec<_>>(),
        [false, true, true, false]
    );
    let deferred = timing.with_quiet_times(times, QuietPolicy::Defer).unwrap();
    let deferred_time = deferred.after(unix_ms("2027-02-01T02:30:00Z")).next().unwrap();
    assert_eq!(
        (utc(deferred_time.due), utc(deferred_time.run_at)),
        ("2027-02-01T03:00:00Z".into(), "2027-02-01T04:30:00Z".into())
    );
}

#[test]
fn jitter_is_deterministic_evenly_distributed_and_bounded() {
    let timing = |name: &str| Timing::parse(name, "*/5 * * * *", "UTC").unwrap().with_jitter(120_000.0);
    let scheduled_times =
        |name: &str| timing(name).after(unix_ms("2026-12-01T00:00:00Z")).take(400).collect::<Vec<_>>();
    assert_eq!(scheduled_times("a"), scheduled_times("a"));
    let delays: Vec<f64> =
        (0..10).flat_map(|n| scheduled_times(&format!("s-{n}"))).map(|time| time.run_at - time.due).collect();
    assert!(delays.iter().all(|delay| (0.0..=120_000.0).contains(delay)));
    let mut tenths = [0usize; 10];
    delays.iter().for_each(|delay| tenths[(delay / 12_000.1) as usize] += 1);
    // Of 4,000 delays 400 are expected in each tenth; five standard deviations are 95.
    assert!(tenths.iter().all(|count| count.abs_diff(400) < 95), "{tenths:?}");
    // Jitter never reaches the next due time, the end of the window or a quiet time.
    let long_jitter = Timing::parse("w", "* * * * *", "UTC").unwrap().with_jitter(600_000.0);
    let all: Vec<ScheduledTime> = long_jitter.after(unix_ms("2026-12-01T00:00:00Z")).take(300).collect();
    assert!(all.windows(2).all(|pair| pair[0].run_at < pair[1].due));
    let ends = long_jitter.clone().with_window(None, Some("2026-12-01T01:00:20")).unwrap();
    let last = ends.after(unix_ms("2026-12-01T00:59:30Z")).last().unwrap();
    assert!(last.run_at < unix_ms("2026-12-01T01:00:20Z"));
    let quiet = long_jitter
        .with_quiet_times([("2026-12-01T00:10:30", "2026-12-01T00:20")], QuietPolicy::Skip)
        .unwrap();
    let before = quiet.after(unix_ms("2026-12-01T00:09:30Z")).next().unwrap();
    assert!(before.run_at < unix_ms("2026-12-01T00:10:30Z"));
}
