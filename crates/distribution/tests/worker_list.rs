//! The worker list: what it accepts, what it remembers of workers that are gone, and how much memory it takes.

use juniperrail_distribution::{
    Applied, ApplyError, Cursor, CursorLimits, EntryError, Scope, Step, WorkerList, WorkerListLimits,
};

fn entry(id: &str, zone: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"10.1.0.18:5000","zone":"{zone}","machineType":"m2","cell":3,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

fn apply(list: &mut WorkerList, version: u64, reset: bool, entries: &[String]) -> Applied {
    entries.iter().for_each(|entry| list.stage(entry.as_bytes()).unwrap());
    list.apply(version, reset).unwrap()
}

fn list_of(ids: &[&str]) -> WorkerList {
    let mut list = WorkerList::default();
    let entries: Vec<String> = ids.iter().map(|id| entry(id, "a", "ready")).collect();
    apply(&mut list, 1, true, &entries);
    list
}

/// All lines that a new subscriber of this zone receives, from `index` on if it is given.
fn lines_from(list: &WorkerList, zone: &str, index: Option<u64>) -> String {
    let scope = Scope::new([zone.to_string()], []);
    let mut cursor = Cursor::new(scope, index, list, CursorLimits::default());
    pending_lines(&mut cursor, list)
}

fn pending_lines(cursor: &mut Cursor, list: &WorkerList) -> String {
    let mut out = Vec::new();
    while cursor.next(list, &mut out) != Step::UpToDate {}
    String::from_utf8(out).unwrap()
}

fn line(version: u64, reset: bool, entries: &[String]) -> String {
    format!("{{\"generation\":{version},\"reset\":{reset},\"instances\":[{}]}}\n", entries.join(","))
}

#[test]
fn changes_without_a_full_list_and_older_lists_are_rejected_and_have_no_effect() {
    let mut list = WorkerList::default();
    list.stage(entry("s-1", "a", "ready").as_bytes()).unwrap();
    assert_eq!(list.apply(5, false), Err(ApplyError::NoFullList));
    assert_eq!((list.version(), list.worker_count()), (None, 0));
    let mut list = list_of(&["s-1"]);
    list.stage(entry("s-1", "a", "gone").as_bytes()).unwrap();
    assert_eq!(list.apply(0, true), Err(ApplyError::Behind { version: 0, current: 1 }));
    assert_eq!(apply(&mut list, 2, false, &[]), Applied::default());
    assert_eq!(lines_from(&list, "a", None), line(2, true, &[entry("s-1", "a", "ready")]));
}

#[test]
fn a_full_list_leaves_unchanged_workers_at_their_version_and_makes_missing_ones_gone() {
    let mut list = list_of(&["s-1", "s-2", "s-3"]);
    let full_list = [entry("s-1", "a", "ready"), entry("s-3", "a", "draining")];
    assert_eq!(apply(&mut list, 2, true, &full_list), Applied { changed: 2, rejected: 0 });
    let changes = [entry("s-3", "a", "draining"), entry("s-2", "a", "gone")];
    assert_eq!(lines_from(&list, "a", Some(1)), line(2, false, &changes));
    assert_eq!((list.worker_count(), list.tombstone_count()), (2, 1));
    assert_eq!(apply(&mut list, 3, true, &full_list), Applied::default());
}

#[test]
fn of_several_entries_of_a_worker_in_one_line_the_last_counts() {
    let mut list = list_of(&["s-1"]);
    let reverted = [entry("s-1", "a", "draining"), entry("s-1", "a", "ready")];
    assert_eq!(apply(&mut list, 2, false, &reverted).changed, 0);
    let new = [entry("s-2", "a", "gone"), entry("s-2", "a", "ready"), entry("s-2", "a", "draining")];
    apply(&mut list, 3, false, &new);
    let both = [entry("s-1", "a", "ready"), entry("s-2", "a", "draining")];
    assert_eq!(lines_from(&list, "a", None), line(3, true, &both));
    let mut first = WorkerList::default();
    apply(&mut first, 1, true, &new);
    assert_eq!((first.worker_count(), first.tombstone_count()), (1, 0));
}

#[test]
fn an_id_with_escapes_equals_the_id_without_them() {
    let mut list = list_of(&["s-1"]);
    apply(&mut list, 2, false, &[entry(r"s-\u0031", "a", "draining")]);
    assert_eq!(list.worker_count(), 1);
    assert_eq!(lines_from(&list, "a", Some(1)), line(2, false, &[entry(r"s-\u0031", "a", "draining")]));
}

#[test]
fn an_entry_without_an_id_is_rejected_and_one_with_an_invalid_zone_keeps_the_former_location() {
    let mut list = list_of(&["s-1", "s-2"]);
    for without_id in ["5", "{}", r#"{"instanceId":7}"#, r#"{"instanceId":""}"#] {
        assert!(matches!(list.stage(without_id.as_bytes()), Err(EntryError::NoWorkerId(_))), "{without_id}");
    }
    let too_long = entry(&"s".repeat(70_000), "a", "ready");
    assert_eq!(list.stage(too_long.as_bytes()), Err(EntryError::TooLong));
    // The rejected entries may be those of workers in the list, so no missing worker is gone.
    assert_eq!(apply(&mut list, 2, true, &[]), Applied { changed: 0, rejected: 5 });
    let invalid_zone = r#"{"instanceId":"s-1","zone":7,"lifecycle":"draining"}"#.to_string();
    apply(&mut list, 3, false, std::slice::from_ref(&invalid_zone));
    assert_eq!(lines_from(&list, "a", Some(2)), line(3, false, &[invalid_zone]));
}

#[test]
fn changes_under_the_current_version_are_sent_again_to_a_subscriber_that_resumes_from_it() {
    let mut list = list_of(&["s-1", "s-2"]);
    let scope = Scope::default();
    let mut follower = Cursor::new(scope.clone(), Some(1), &list, CursorLimits::default());
    assert_eq!(pending_lines(&mut follower, &list), line(1, false, &[]));
    apply(&mut list, 1, false, &[entry("s-1", "a", "draining")]);
    let part = line(1, false, &[entry("s-1", "a", "draining")]);
    assert_eq!(pending_lines(&mut follower, &list), part);
    assert_eq!(lines_from(&list, "a", Some(1)), part);
    apply(&mut list, 5, false, &[entry("s-2", "a", "draining")]);
    let both = [entry("s-1", "a", "draining"), entry("s-2", "a", "draining")];
    assert_eq!(lines_from(&list, "a", Some(1)), line(5, false, &both));
    assert!(!list.can_resume(3), "a version that the list skipped");
    assert_eq!(lines_from(&list, "a", Some(3)), line(5, true, &both));
    assert_eq!(lines_from(&list, "a", Some(5)), line(5, false, &[]));
}

#[test]
fn pending_changes_are_sent_once_with_departures_first() {
    let mut list = list_of(&["s-1", "s-2"]);
    let mut cursor = Cursor::new(Scope::default(), Some(1), &list, CursorLimits::default());
    pending_lines(&mut cursor, &list);
    for version in 2..500 {
        let lifecycle = if version % 2 == 0 { "ready" } else { "warm" };
        apply(&mut list, version, false, &[entry("s-1", "a", lifecycle)]);
    }
    apply(&mut list, 500, false, &[entry("s-2", "a", "gone"), entry("s-3", "a", "ready")]);
    let pending = [entry("s-2", "a", "gone"), entry("s-1", "a", "warm"), entry("s-3", "a", "ready")];
    assert_eq!(pending_lines(&mut cursor, &list), line(500, false, &pending));
}

#[test]
fn tombstones_are_evicted_oldest_first_and_raise_the_floor() {
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 2 });
    apply(&mut list, 1, true, &["s-1", "s-2", "s-3", "s-4"].map(|id| entry(id, "a", "ready")));
    for (version, id) in [(2, "s-1"), (3, "s-2"), (4, "s-3")] {
        apply(&mut list, version, false, &[entry(id, "a", "gone")]);
    }
    assert_eq!((list.worker_count(), list.tombstone_count(), list.floor()), (1, 2, 2));
    assert!(list.can_resume(2) && !list.can_resume(1));
    // A worker that comes back is no longer a tombstone, so there is room for another.
    apply(&mut list, 5, false, &[entry("s-2", "a", "ready")]);
    apply(&mut list, 6, false, &[entry("s-4", "a", "gone")]);
    assert_eq!((list.worker_count(), list.tombstone_count(), list.floor()), (1, 2, 2));
    let changes = [entry("s-3", "a", "gone"), entry("s-4", "a", "gone"), entry("s-2", "a", "ready")];
    assert_eq!(lines_from(&list, "a", Some(2)), line(6, false, &changes));
}

#[test]
fn the_number_of_workers_bounds_the_log_however_many_changes_there_are() {
    let ids: Vec<String> = (0..500).map(|id| format!("s-{id}")).collect();
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 1_024 });
    let all = |lifecycle: &str| ids.iter().map(|id| entry(id, "a", lifecycle)).collect::<Vec<_>>();
    apply(&mut list, 1, true, &all("ready"));
    let mut max_bytes = 0;
    for version in 2..300 {
        let lifecycle = ["gone", "ready", "draining"][version as usize % 3];
        apply(&mut list, version, false, &all(lifecycle));
        max_bytes = max_bytes.max(list.heap_bytes());
    }
    // There are 150,000 changes of 16 bytes each, of which hardly more than one for each worker may be stored.
    let worker_bytes = 500 * (entry("s-100", "a", "draining").len() + 100);
    assert!(max_bytes < worker_bytes + 400_000, "{max_bytes} bytes");
    let differences = lines_from(&list, "a", Some(297));
    assert_eq!(differences.matches("instanceId").count(), 500);
}

#[test]
fn workers_that_come_and_go_do_not_increase_the_memory() {
    let mut list = WorkerList::new(WorkerListLimits { tombstones: 100 });
    apply(&mut list, 1, true, &[]);
    let mut steady_bytes = 0;
    for version in 2..400 {
        let entries_of = |version: u64, lifecycle: &str| {
            (0..100).map(|id| entry(&format!("s-{version}-{id}"), "a", lifecycle)).collect::<Vec<_>>()
        };
        apply(
            &mut list,
            version,
            false,
            &[entries_of(version - 1, "gone"), entries_of(version, "ready")].concat(),
        );
        assert_eq!((list.worker_count(), list.tombstone_count()), (100, 100));
        if version == 100 {
            steady_bytes = list.heap_bytes();
        }
    }
    assert!(list.heap_bytes() <= steady_bytes + 40_000, "{steady_bytes} before, {} now", list.heap_bytes());
}

#[test]
fn a_large_list_takes_little_memory_besides_its_entries() {
    const WORKERS: usize = 200_000;
    let mut list = WorkerList::default();
    let mut entry_bytes = 0;
    for worker in 0..WORKERS {
        let entry = entry(&format!("s-{worker:08x}"), &format!("zone-{}", worker % 73), "ready");
        entry_bytes += entry.len();
        list.stage(entry.as_bytes()).unwrap();
    }
    list.apply(1, true).unwrap();
    let overhead = (list.heap_bytes() - entry_bytes) / WORKERS;
    println!("{} bytes per worker, {overhead} besides its entry", list.heap_bytes() / WORKERS);
    assert!(overhead <= 64, "{overhead} bytes per worker besides its entry");
}

#[test]
fn the_cost_of_a_new_watch_depends_on_the_number_of_names_and_not_of_locations() {
    // With 200 zones and 200 services nearly every worker has a location of its own.
    let entries = |zones: usize, services: usize| {
        let numbered = move |number: usize| {
            let (zone, service) = (number % zones, number / zones % services);
            format!(r#"{{"instanceId":"s-{number}","zone":"z-{zone}","service":"q-{service}"}}"#)
        };
        (0..40_000).map(numbered)
    };
    let time_of = |zones: usize, services: usize| {
        let mut list = WorkerList::new(WorkerListLimits { tombstones: 10 });
        entries(zones, services).for_each(|entry| list.stage(entry.as_bytes()).unwrap());
        list.apply(1, true).unwrap();
        let scope = Scope::new(["z-1".to_string()], ["q-1".to_string()]);
        let started = std::time::Instant::now();
        for _ in 0..50 {
            let mut cursor = Cursor::new(scope.clone(), Some(1), &list, CursorLimits::default());
            assert_eq!(cursor.next(&list, &mut Vec::new()), Step::Send);
        }
        started.elapsed()
    };
    // There are about 400 names in both cases, but 400 locations in the first and 40,000 in the second.
    let (few, many) = (time_of(1, 400), time_of(200, 200));
    assert!(
        many < few * 10 + std::time::Duration::from_millis(5),
        "{few:?} with few locations, {many:?} with many"
    );
}
