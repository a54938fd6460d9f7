//! The list by itself: what it takes over, what it remembers of those who left, and what it costs.

use juniperrail_distribution::{
    Applied, ApplyError, Cursor, CursorLimits, EntryError, Scope, Step, WorkerList, WorkerListLimits,
};

fn entry(id: &str, zone: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"10.1.0.18:5000","zone":"{zone}","machineType":"m2","cell":3,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

fn applied(list: &mut WorkerList, version: u64, reset: bool, entries: &[String]) -> Applied {
    entries.iter().for_each(|entry| list.stage(entry.as_bytes()).unwrap());
    list.apply(version, reset).unwrap()
}

fn list_of(ids: &[&str]) -> WorkerList {
    let mut list = WorkerList::default();
    let entries: Vec<String> = ids.iter().map(|id| entry(id, "a", "ready")).collect();
    applied(&mut list, 1, true, &entries);
    list
}

/// All lines that a subscriber of this zone is told next.
fn told(list: &WorkerList, zone: &str, index: Option<u64>) -> String {
    let scope = Scope::new([zone.to_string()], []);
    let mut cursor = Cursor::new(scope, index, list, CursorLimits::default());
    rest(&mut cursor, list)
}

fn rest(cursor: &mut Cursor, list: &WorkerList) -> String {
    let mut out = Vec::new();
    while cursor.next(list, &mut out) != Step::UpToDate {}
    String::from_utf8(out).unwrap()
}

fn line(version: u64, reset: bool, entries: &[String]) -> String {
    format!("{{\"generation\":{version},\"reset\":{reset},\"instances\":[{}]}}\n", entries.join(","))
}

#[test]
fn changes_without_a_whole_list_and_older_lists_are_refused_and_change_nothing() {
    let mut list = WorkerList::default();
    list.stage(entry("s-1", "a", "ready").as_bytes()).unwrap();
    assert_eq!(list.apply(5, false), Err(ApplyError::NoWholeList));
    assert_eq!((list.version(), list.workers()), (None, 0));
    let mut list = list_of(&["s-1"]);
    list.stage(entry("s-1", "a", "gone").as_bytes()).unwrap();
    assert_eq!(list.apply(0, true), Err(ApplyError::Behind { version: 0, held: 1 }));
    assert_eq!(applied(&mut list, 2, false, &[]), Applied::default());
    assert_eq!(told(&list, "a", None), line(2, true, &[entry("s-1", "a", "ready")]));
}

#[test]
fn a_whole_list_leaves_unchanged_workers_at_their_version_and_makes_absent_ones_gone() {
    let mut list = list_of(&["s-1", "s-2", "s-3"]);
    let whole = [entry("s-1", "a", "ready"), entry("s-3", "a", "draining")];
    assert_eq!(applied(&mut list, 2, true, &whole), Applied { changed: 2, unreadable: 0 });
    let changes = [entry("s-3", "a", "draining"), entry("s-2", "a", "gone")];
    assert_eq!(told(&list, "a", Some(1)), line(2, false, &changes));
    assert_eq!((list.workers(), list.tombstones()), (2, 1));
    assert_eq!(applied(&mut list, 3, true, &whole), Applied::default());
}

#[test]
fn of_several_entries_about_a_worker_in_one_line_the_last_counts() {
    let mut list = list_of(&["s-1"]);
    let back = [entry("s-1", "a", "draining"), entry("s-1", "a", "ready")];
    assert_eq!(applied(&mut list, 2, false, &back).changed, 0);
    let new = [entry("s-2", "a", "gone"), entry("s-2", "a", "ready"), entry("s-2", "a", "draining")];
    applied(&mut list, 3, false, &new);
    let both = [entry("s-1", "a", "ready"), entry("s-2", "a", "draining")];
    assert_eq!(told(&list, "a", None), line(3, true, &both));
    let mut first = WorkerList::default();
    applied(&mut first, 1, true, &new);
    assert_eq!((first.workers(), first.tombstones()), (1, 0));
}

#[test]
fn a_name_with_escapes_is_the_same_name() {
    let mut list = list_of(&["s-1"]);
    applied(&mut list, 2, false, &[entry(r"s-\u0031", "a", "draining")]);
    assert_eq!(list.workers(), 1);
    assert_eq!(told(&list, "a", Some(1)), line(2, false, &[entry(r"s-\u0031", "a", "draining")]));
}

#[test]
fn an_entry_that_names_no_worker_is_refused_and_one_with_an_odd_place_stays_where_it_was() {
    let mut list = list_of(&["s-1", "s-2"]);
    for odd in ["5", "{}", r#"{"instanceId":7}"#, r#"{"instanceId":""}"#] {
        assert!(matches!(list.stage(odd.as_bytes()), Err(EntryError::NoWorker(_))), "{odd}");
    }
    let long = entry(&"s".repeat(70_000), "a", "ready");
    assert_eq!(list.stage(long.as_bytes()), Err(EntryError::TooLong));
    // Whom the odd entries are about is not known, so nobody is gone.
    assert_eq!(applied(&mut list, 2, true, &[]), Applied { changed: 0, unreadable: 5 });
    let odd_place = r#"{"instanceId":"s-1","zone":7,"lifecycle":"draining"}"#.to_string();
    applied(&mut list, 3, false, std::slice::from_ref(&odd_place));
    assert_eq!(told(&list, "a", Some(2)), line(3, false, &[odd_place]));
}

#[test]
fn a_line_with_the_version_held_is_a_part_that_is_told_again_to_who_resumes_from_it() {
    let mut list = list_of(&["s-1", "s-2"]);
    let scope = Scope::default();
    let mut follows = Cursor::new(scope.clone(), Some(1), &list, CursorLimits::default());
    assert_eq!(rest(&mut follows, &list), line(1, false, &[]));
    applied(&mut list, 1, false, &[entry("s-1", "a", "draining")]);
    let part = line(1, false, &[entry("s-1", "a", "draining")]);
    assert_eq!(rest(&mut follows, &list), part);
    assert_eq!(told(&list, "a", Some(1)), part);
    applied(&mut list, 5, false, &[entry("s-2", "a", "draining")]);
    let both = [entry("s-1", "a", "draining"), entry("s-2", "a", "draining")];
    assert_eq!(told(&list, "a", Some(1)), line(5, false, &both));
    assert!(!list.can_resume(3), "a version that was passed over");
    assert_eq!(told(&list, "a", Some(3)), line(5, true, &both));
    assert_eq!(told(&list, "a", Some(5)), line(5, false, &[]));
}

#[test]
fn what_is_pending_is_told_once_with_departures_first() {
    let mut list = list_of(&["s-1", "s-2"]);
    let mut cursor = Cursor::new(Scope::default(), Some(1), &list, CursorLimits::default());
    rest(&mut cursor, &list);
    for version in 2..500 {
        let lifecycle = if version % 2 == 0 { "ready" } else { "warm" };
        applied(&mut list, version, false, &[entry("s-1", "a", lifecycle)]);
    }
    applied(&mut list, 500, false, &[entry("s-2", "a", "gone"), entry("s-3", "a", "ready")]);
    let pending = [entry("s-2", "a", "gone"), entry("s-1", "a", "warm"), entry("s-3", "a", "ready")];
    assert_eq!(rest(&mut cursor, &list), line(500, false, &pending));
}

#[test]
fn those_who_left_are_forgotten_oldest_first_and_raise_the_floor() {
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 2 });
    applied(&mut list, 1, true, &["s-1", "s-2", "s-3", "s-4"].map(|id| entry(id, "a", "ready")));
    for (version, id) in [(2, "s-1"), (3, "s-2"), (4, "s-3")] {
        applied(&mut list, version, false, &[entry(id, "a", "gone")]);
    }
    assert_eq!((list.workers(), list.tombstones(), list.floor()), (1, 2, 2));
    assert!(list.can_resume(2) && !list.can_resume(1));
    // One that comes back is no tombstone any more, and its place among them is free.
    applied(&mut list, 5, false, &[entry("s-2", "a", "ready")]);
    applied(&mut list, 6, false, &[entry("s-4", "a", "gone")]);
    assert_eq!((list.workers(), list.tombstones(), list.floor()), (1, 2, 2));
    let changes = [entry("s-3", "a", "gone"), entry("s-4", "a", "gone"), entry("s-2", "a", "ready")];
    assert_eq!(told(&list, "a", Some(2)), line(6, false, &changes));
}

#[test]
fn the_log_is_bounded_by_the_workers_whatever_changes() {
    let ids: Vec<String> = (0..500).map(|id| format!("s-{id}")).collect();
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 1_024 });
    let all = |lifecycle: &str| ids.iter().map(|id| entry(id, "a", lifecycle)).collect::<Vec<_>>();
    applied(&mut list, 1, true, &all("ready"));
    let mut most = 0;
    for version in 2..300 {
        let lifecycle = ["gone", "ready", "draining"][version as usize % 3];
        applied(&mut list, version, false, &all(lifecycle));
        most = most.max(list.heap_bytes());
    }
    // Of 150,000 changes in 16 bytes each, hardly more than the workers themselves is held.
    let held = 500 * (entry("s-100", "a", "draining").len() + 100);
    assert!(most < held + 400_000, "{most} bytes");
    let back = told(&list, "a", Some(297));
    assert_eq!(back.matches("instanceId").count(), 500);
}

#[test]
fn workers_that_come_and_go_leave_nothing_behind() {
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 100 });
    applied(&mut list, 1, true, &[]);
    let mut after_a_while = 0;
    for version in 2..400 {
        let of = |version: u64, lifecycle: &str| {
            (0..100).map(|id| entry(&format!("s-{version}-{id}"), "a", lifecycle)).collect::<Vec<_>>()
        };
        applied(&mut list, version, false, &[of(version - 1, "gone"), of(version, "ready")].concat());
        assert_eq!((list.workers(), list.tombstones()), (100, 100));
        if version == 100 {
            after_a_while = list.heap_bytes();
        }
    }
    assert!(list.heap_bytes() <= after_a_while + 40_000, "{after_a_while} before, {} now", list.heap_bytes());
}

#[test]
fn a_large_list_takes_little_beside_its_entries() {
    const WORKERS: usize = 200_000;
    let mut list = WorkerList::default();
    let mut text = 0;
    for worker in 0..WORKERS {
        let entry = entry(&format!("s-{worker:08x}"), &format!("zone-{}", worker % 73), "ready");
        text += entry.len();
        list.stage(entry.as_bytes()).unwrap();
    }
    list.apply(1, true).unwrap();
    let beside = (list.heap_bytes() - text) / WORKERS;
    println!("{} bytes a worker, {beside} beside its entry", list.heap_bytes() / WORKERS);
    assert!(beside <= 64, "{beside} bytes a worker beside its entry");
}

#[test]
fn a_new_watch_costs_by_the_names_and_not_by_the_places() {
    // As many places as workers: nearly each has a zone and service of its own.
    let entries = |zones: usize, services: usize| {
        let one = move |number: usize| {
            let (zone, service) = (number % zones, number / zones % services);
            format!(r#"{{"instanceId":"s-{number}","zone":"z-{zone}","service":"q-{service}"}}"#)
        };
        (0..40_000).map(one)
    };
    let time_of = |zones: usize, services: usize| {
        let mut list = WorkerList::new(WorkerListLimits { tombstones: 10 });
        entries(zones, services).for_each(|entry| list.stage(entry.as_bytes()).unwrap());
        list.apply(1, true).unwrap();
        let scope = Scope::new(["z-1".to_string()], ["q-1".to_string()]);
        let begun = std::time::Instant::now();
        for _ in 0..50 {
            let mut cursor = Cursor::new(scope.clone(), Some(1), &list, CursorLimits::default());
            assert_eq!(cursor.next(&list, &mut Vec::new()), Step::Send);
        }
        begun.elapsed()
    };
    // 400 names in both, 400 places in the first and 40,000 in the second.
    let (few, many) = (time_of(1, 400), time_of(200, 200));
    assert!(
        many < few * 10 + std::time::Duration::from_millis(5),
        "{few:?} with few places, {many:?} with many"
    );
}
