//! When things are due: changes of the clock, quiet times, windows, jitter.

use jiff::Timestamp;
use juniperrail_schedule::*;

fn ms(at: &str) -> f64 {
    at.parse::<Timestamp>().unwrap().as_millisecond() as f64
}

fn shown(at: f64) -> String {
    Timestamp::from_millisecond(at as i64).unwrap().to_string()
}

fn dues(timing: &Timing, after: &str, most: usize) -> Vec<String> {
    timing.after(ms(after)).take(most).map(|when| shown(when.due)).collect()
}

#[test]
fn plain_fields_in_a_zone() {
    let daily = Timing::parse("warm", "30 7 * * MON-FRI", "Asia/Karachi").unwrap();
    let some = dues(&daily, "2026-12-04T00:00:00Z", 3);
    assert_eq!(some, ["2026-12-04T02:30:00Z", "2026-12-07T02:30:00Z", "2026-12-08T02:30:00Z"]);
    assert_eq!(dues(&daily, "2026-12-04T02:30:00Z", 1), ["2026-12-07T02:30:00Z"], "after means after");
    let seconds = Timing::parse("tick", "*/2 * * * * *", "UTC").unwrap();
    assert_eq!(dues(&seconds, "2026-12-04T00:00:01Z", 2), ["2026-12-04T00:00:02Z", "2026-12-04T00:00:04Z"]);
    let leap = Timing::parse("leap", "0 0 29 2 *", "UTC").unwrap();
    assert_eq!(dues(&leap, "2026-12-04T00:00:00Z", 1), ["2028-02-29T00:00:00Z"]);
    let never = Timing::parse("never", "0 0 31 2 *", "UTC").unwrap();
    assert_eq!(dues(&never, "2026-12-04T00:00:00Z", 1), Vec::<String>::new());
}

#[test]
fn bad_input_names_the_part_and_the_way_out() {
    let fault = Timing::parse("x", "61 * * * *", "UTC").unwrap_err();
    assert!(fault.part == "cron" && fault.to_string().contains("61 * * * *"), "{fault}");
    let fault = Timing::parse("x", "* * * * *", "Mars/Base").unwrap_err();
    assert!(fault.to_string().contains("\"Mars/Base\" is no time zone; name one as"), "{fault}");
    let timing = Timing::parse("x", "* * * * *", "UTC").unwrap();
    assert!(timing.clone().with_window(Some("soon"), None).unwrap_err().to_string().contains("write it as"));
    let fault =
        timing.with_quiet_times([("2026-01-02T00:00", "2026-01-01T00:00")], QuietPolicy::Skip).unwrap_err();
    assert!(fault.to_string().contains("is not before"), "{fault}");
}

#[test]
fn a_time_that_the_clock_leaves_out() {
    // 2027-03-28 in Berlin: 02:00 becomes 03:00 at 01:00 UTC.
    let read = |gap| {
        Timing::parse("x", "30 2 * * *", "Europe/Berlin").unwrap().with_clock_changes(gap, FoldPolicy::First)
    };
    let after = "2027-03-27T12:00:00Z";
    assert_eq!(dues(&read(GapPolicy::AtGapEnd), after, 2), ["2027-03-28T01:00:00Z", "2027-03-29T00:30:00Z"]);
    assert_eq!(dues(&read(GapPolicy::Skip), after, 1), ["2027-03-29T00:30:00Z"]);
    let many = Timing::parse("x", "*/20 * * * *", "Europe/Berlin").unwrap();
    let some = dues(&many, "2027-03-28T00:30:00Z", 4);
    let around =
        ["2027-03-28T00:40:00Z", "2027-03-28T01:00:00Z", "2027-03-28T01:20:00Z", "2027-03-28T01:40:00Z"];
    assert_eq!(some, around, "three left out fall on the one at the change");
}

#[test]
fn a_time_that_comes_twice() {
    // 2026-10-25 in Berlin: 03:00 becomes 02:00 at 01:00 UTC.
    let read = |fold| {
        Timing::parse("x", "30 2 * * *", "Europe/Berlin")
            .unwrap()
            .with_clock_changes(GapPolicy::AtGapEnd, fold)
    };
    let after = "2026-10-24T12:00:00Z";
    assert_eq!(dues(&read(FoldPolicy::First), after, 2), ["2026-10-25T00:30:00Z", "2026-10-26T01:30:00Z"]);
    assert_eq!(dues(&read(FoldPolicy::Second), after, 1), ["2026-10-25T01:30:00Z"]);
    assert_eq!(dues(&read(FoldPolicy::Both), after, 2), ["2026-10-25T00:30:00Z", "2026-10-25T01:30:00Z"]);
    // Asked from between the two.
    assert_eq!(dues(&read(FoldPolicy::Both), "2026-10-25T00:45:00Z", 1), ["2026-10-25T01:30:00Z"]);
    assert_eq!(dues(&read(FoldPolicy::First), "2026-10-25T00:45:00Z", 1), ["2026-10-26T01:30:00Z"]);
    let order = Timing::parse("x", "*/15 * * * *", "Europe/Berlin")
        .unwrap()
        .with_clock_changes(GapPolicy::AtGapEnd, FoldPolicy::Both);
    let some = dues(&order, "2026-10-24T23:50:00Z", 12);
    assert!(some.windows(2).all(|pair| pair[0] < pair[1]), "{some:?}");
    assert_eq!((some.len(), some[11].as_str()), (12, "2026-10-25T02:45:00Z"), "none twice and none left out");
}

#[test]
fn windows_and_quiet_times() {
    let timing = Timing::parse("x", "0 * * * *", "Asia/Karachi").unwrap();
    let within = timing.clone().with_window(Some("2027-02-01T08:00"), Some("2027-02-01T10:00")).unwrap();
    assert_eq!(dues(&within, "2026-01-01T00:00:00Z", 9), ["2027-02-01T03:00:00Z", "2027-02-01T04:00:00Z"]);
    let times = [("2027-02-01T07:30", "2027-02-01T09:15"), ("2027-02-01T09:15", "2027-02-01T09:30")];
    let skipped = timing.clone().with_quiet_times(times, QuietPolicy::Skip).unwrap();
    let whens: Vec<ScheduledTime> = skipped.after(ms("2027-02-01T01:30:00Z")).take(4).collect();
    assert_eq!(whens.iter().map(|when| when.in_quiet_time).collect::<Vec<_>>(), [false, true, true, false]);
    let deferred = timing.with_quiet_times(times, QuietPolicy::Defer).unwrap();
    let when = deferred.after(ms("2027-02-01T02:30:00Z")).next().unwrap();
    assert_eq!(
        (shown(when.due), shown(when.run_at)),
        ("2027-02-01T03:00:00Z".into(), "2027-02-01T04:30:00Z".into())
    );
}

#[test]
fn jitter_is_the_same_everywhere_spread_evenly_and_bounded() {
    let read = |name: &str| Timing::parse(name, "*/5 * * * *", "UTC").unwrap().with_jitter(120_000.0);
    let whens = |name: &str| read(name).after(ms("2026-12-01T00:00:00Z")).take(400).collect::<Vec<_>>();
    assert_eq!(whens("a"), whens("a"));
    let late: Vec<f64> =
        (0..10).flat_map(|n| whens(&format!("s-{n}"))).map(|when| when.run_at - when.due).collect();
    assert!(late.iter().all(|late| (0.0..=120_000.0).contains(late)));
    let mut tenths = [0usize; 10];
    late.iter().for_each(|late| tenths[(late / 12_000.1) as usize] += 1);
    // Of 4,000 in ten equal parts 400 are expected each; five standard deviations are 95.
    assert!(tenths.iter().all(|count| count.abs_diff(400) < 95), "{tenths:?}");
    // Never past the next one, nor the window's end, nor into a quiet time.
    let wide = Timing::parse("w", "* * * * *", "UTC").unwrap().with_jitter(600_000.0);
    let all: Vec<ScheduledTime> = wide.after(ms("2026-12-01T00:00:00Z")).take(300).collect();
    assert!(all.windows(2).all(|pair| pair[0].run_at < pair[1].due));
    let ends = wide.clone().with_window(None, Some("2026-12-01T01:00:20")).unwrap();
    let last = ends.after(ms("2026-12-01T00:59:30Z")).last().unwrap();
    assert!(last.run_at < ms("2026-12-01T01:00:20Z"));
    let quiet =
        wide.with_quiet_times([("2026-12-01T00:10:30", "2026-12-01T00:20")], QuietPolicy::Skip).unwrap();
    let before = quiet.after(ms("2026-12-01T00:09:30Z")).next().unwrap();
    assert!(before.run_at < ms("2026-12-01T00:10:30Z"));
}
