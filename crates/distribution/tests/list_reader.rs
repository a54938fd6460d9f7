//! Lists read out of pieces: the same as serde_json reads out of the whole, and an error wherever a line is broken.

use juniperrail_distribution::{ListEnd, ListError, ListEvent, ListLimits, ListReader};
use proptest::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Read {
    Entry(String),
    Heartbeat,
    End(ListEnd),
}

/// A list as serde_json reads it whole.
#[derive(Deserialize)]
struct Whole {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Box<RawValue>>,
}

const LIMITS: ListLimits = ListLimits { entry_bytes: 1024, envelope_bytes: 1024 };

fn read_pieces(pieces: &[&[u8]], limits: ListLimits) -> Result<Vec<Read>, ListError> {
    let mut reader = ListReader::new(limits);
    let mut events = Vec::new();
    for mut bytes in pieces.iter().copied() {
        while let Some(event) = reader.next(&mut bytes)? {
            events.push(match event {
                ListEvent::Entry(entry) => Read::Entry(String::from_utf8(entry.to_vec()).unwrap()),
                ListEvent::Heartbeat => Read::Heartbeat,
                ListEvent::End(end) => Read::End(end),
            });
        }
    }
    reader.finish()?;
    Ok(events)
}

fn read(text: &str) -> Result<Vec<Read>, ListError> {
    read_pieces(&[text.as_bytes()], LIMITS)
}

fn read_whole(line: &str) -> Option<Vec<Read>> {
    let whole: Whole = serde_json::from_str(line).ok()?;
    let end = ListEnd { version: whole.generation, reset: whole.reset, entries: whole.instances.len() };
    let entries = whole.instances.iter().map(|raw| Read::Entry(raw.get().to_string()));
    Some(entries.chain([Read::End(end)]).collect())
}

#[test]
fn entries_may_stand_before_the_version_and_unknown_fields_are_passed_over() {
    let line =
        r#"{"instances" : [ {"a":"]}\"["} , 5 ,"x,]", [[]],null],"more":{"instances":[1]},"generation":7}"#;
    assert_eq!(read(&format!("{line}\r\n")).ok(), read_whole(line));
    assert_eq!(read_whole(line).unwrap().len(), 6);
}

#[test]
fn only_the_outermost_list_counts_and_its_name_may_be_escaped() {
    let line = r#"{"x":["instances"],"y":"instances","inst\u0061nces":[{}],"generation":1,"reset":true}"#;
    assert_eq!(read(&format!("{line}\n")).ok(), read_whole(line));
}

#[test]
fn an_empty_line_is_a_heartbeat() {
    assert_eq!(read("\n\r\n  \n"), Ok(vec![Read::Heartbeat; 3]));
}

#[test]
fn a_line_cut_within_an_entry_names_it() {
    let cut = r#"{"generation":2,"instances":[{"instanceId":"s-1"},{"instanceId":"s-2""#;
    let expected = Err(ListError::EntryCut(r#"{"instanceId":"s-2""#.into()));
    assert_eq!(read(&format!("{cut}\n")), expected);
    assert_eq!(read(cut), expected, "the connection ends there");
    let within_string = r#"{"generation":2,"instances":[{"instanceId":"s-"#;
    assert_eq!(read(&format!("{within_string}\n")), Err(ListError::EntryCut(r#"{"instanceId":"s-"#.into())));
}

#[test]
fn a_line_that_is_no_list_is_an_error() {
    let broken = [
        "{\"generation\":2,\"instances\":[{},{}\n",
        "{\"generation\":2,\"instances\":[{},,{}]}\n",
        "{\"generation\":2,\"instances\":[{},]}\n",
        "{\"generation\":2,\"instances\":[{} {}]}\n",
        "{\"generation\":2,\"instances\":[{\"a\":[}]]}\n",
        "{\"generation\":2,\"instances\":[tru]}\n",
        "{\"generation\":2,\"instances\":5}\n",
        "{\"generation\":2,\"instances\":[],\"instances\":[]}\n",
        "{\"generation\":-2,\"instances\":[]}\n",
        "{\"instances\":[]}\n",
        "[2,true,[{}]]\n",
        "{\"generation\":2}{}\n",
        "}\n",
        "{\"generation\":2",
        "{\"generation\":2,\"instances\":[{}",
    ];
    for line in broken {
        assert!(read(line).is_err(), "{line}");
    }
    let not_text = b"{\"generation\":2,\"instances\":[\"\xff\"]}\n".as_slice();
    assert!(matches!(read_pieces(&[not_text], LIMITS), Err(ListError::EntryUnsound { .. })));
}

#[test]
fn what_is_held_is_bounded() {
    let limits = ListLimits { entry_bytes: 10, envelope_bytes: 40 };
    let read =
        |text: &str| read_pieces(&text.bytes().collect::<Vec<_>>().chunks(3).collect::<Vec<_>>(), limits);
    let entries = vec!["[12345678]"; 1000].join(",");
    let events = read(&format!("{{\"generation\":2,\"instances\":[{entries}]}}\n")).unwrap();
    assert_eq!(events.last(), Some(&Read::End(ListEnd { version: 2, reset: false, entries: 1000 })));
    let long = read("{\"generation\":2,\"instances\":[[123456789]]}\n");
    assert_eq!(long, Err(ListError::EntryTooLong("[123456789]".into())));
    assert_eq!(read(&" ".repeat(41)), Err(ListError::EnvelopeTooLong));
}

fn value() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        any::<i32>().prop_map(serde_json::Value::from),
        any::<bool>().prop_map(serde_json::Value::from),
        Just(serde_json::Value::Null),
        r#"[a-c"\\{}\[\],:\n]{0,6}"#.prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(3, 12, 3, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..3).prop_map(serde_json::Value::from),
            prop::collection::hash_map("[a-c\"]{0,3}", inner, 0..3)
                .prop_map(|fields| serde_json::Value::Object(fields.into_iter().collect())),
        ]
    })
}

fn line() -> impl Strategy<Value = String> {
    let entries = prop::collection::vec(value(), 0..6);
    let parts = (any::<u64>(), any::<bool>(), entries, prop::option::of(value()));
    let ordered = parts.prop_flat_map(|(version, reset, entries, more)| {
        let mut fields = vec![format!("\"generation\":{version}")];
        if reset {
            fields.push("\"reset\": true".into());
        }
        let entries: Vec<String> = entries.iter().map(|entry| entry.to_string()).collect();
        fields.push(format!("\"instances\" :[{}]", entries.join(" ,")));
        fields.extend(more.map(|more| format!("\"more\":{more}")));
        Just(fields).prop_shuffle()
    });
    ordered.prop_map(|fields| format!("{{{}}}", fields.join(", ")))
}

fn cut<'a>(bytes: &'a [u8], lengths: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    let (mut rest, mut lengths) = (bytes, lengths.iter().cycle());
    while !rest.is_empty() {
        let length = lengths.next().map_or(rest.len(), |length| *length.min(&rest.len()));
        let (piece, after) = rest.split_at(length);
        pieces.push(piece);
        rest = after;
    }
    pieces
}

proptest! {
    #[test]
    fn pieces_give_what_serde_json_gives_for_the_whole(
        lines in prop::collection::vec(prop_oneof![4 => line(), 1 => Just(String::new())], 1..4),
        lengths in prop::collection::vec(1..40_usize, 1..8),
    ) {
        let expected: Vec<Read> = lines
            .iter()
            .flat_map(|line| if line.is_empty() { vec![Read::Heartbeat] } else { read_whole(line).unwrap() })
            .collect();
        let text = format!("{}\n", lines.join("\n"));
        prop_assert_eq!(read_pieces(&cut(text.as_bytes(), &lengths), LIMITS), Ok(expected));
    }

    #[test]
    fn a_line_spoilt_anywhere_is_read_as_serde_json_reads_it(
        line in line(),
        at in any::<prop::sample::Index>(),
        byte in prop::sample::select(b"{}[],:\"\\ 0at".to_vec()),
    ) {
        let mut bytes = line.into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let line = String::from_utf8_lossy(&bytes).into_owned();
        let read = read(&format!("{line}\n")).ok();
        prop_assert_eq!(read, read_whole(&line), "{}", line);
    }

    #[test]
    fn no_bytes_break_it(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6)) {
        let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        _ = read_pieces(&pieces, LIMITS);
    }
}
