//! The incremental parser of lists gives the same result as serde_json for the full line, however the bytes are split,
//! and an error for every invalid line.

use juniperrail_distribution::{ListEnd, ListError, ListEvent, ListLimits, ListReader};
use proptest::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Entry(String),
    Heartbeat,
    End(ListEnd),
}

/// A list as serde_json parses it.
#[derive(Deserialize)]
struct ParsedList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Box<RawValue>>,
}

const LIMITS: ListLimits = ListLimits { entry_bytes: 1024, envelope_bytes: 1024 };

fn read_pieces(pieces: &[&[u8]], limits: ListLimits) -> Result<Vec<Event>, ListError> {
    let mut reader = ListReader::new(limits);
    let mut events = Vec::new();
    for mut bytes in pieces.iter().copied() {
        while let Some(event) = reader.next(&mut bytes)? {
            events.push(match event {
                ListEvent::Entry(entry) => Event::Entry(String::from_utf8(entry.to_vec()).unwrap()),
                ListEvent::Heartbeat => Event::Heartbeat,
                ListEvent::End(end) => Event::End(end),
            });
        }
    }
    reader.finish()?;
    Ok(events)
}

fn read(text: &str) -> Result<Vec<Event>, ListError> {
    read_pieces(&[text.as_bytes()], LIMITS)
}

fn parse_with_serde(line: &str) -> Option<Vec<Event>> {
    let list: ParsedList = serde_json::from_str(line).ok()?;
    let end = ListEnd { version: list.generation, reset: list.reset, entry_count: list.instances.len() };
    let entries = list.instances.iter().map(|raw| Event::Entry(raw.get().to_string()));
    Some(entries.chain([Event::End(end)]).collect())
}

#[test]
fn entries_may_come_before_the_version_and_unknown_fields_are_ignored() {
    let line =
        r#"{"instances" : [ {"a":"]}\"["} , 5 ,"x,]", [[]],null],"more":{"instances":[1]},"generation":7}"#;
    assert_eq!(read(&format!("{line}\r\n")).ok(), parse_with_serde(line));
    assert_eq!(parse_with_serde(line).unwrap().len(), 6);
}

#[test]
fn only_the_instances_of_the_outermost_object_count_and_their_key_may_have_escapes() {
    let line = r#"{"x":["instances"],"y":"instances","inst\u0061nces":[{}],"generation":1,"reset":true}"#;
    assert_eq!(read(&format!("{line}\n")).ok(), parse_with_serde(line));
}

#[test]
fn an_empty_line_is_a_heartbeat() {
    assert_eq!(read("\n\r\n  \n"), Ok(vec![Event::Heartbeat; 3]));
}

#[test]
fn the_error_of_a_line_truncated_within_an_entry_quotes_it() {
    let truncated = r#"{"generation":2,"instances":[{"instanceId":"s-1"},{"instanceId":"s-2""#;
    let expected = Err(ListError::EntryTruncated(r#"{"instanceId":"s-2""#.into()));
    assert_eq!(read(&format!("{truncated}\n")), expected);
    assert_eq!(read(truncated), expected, "the connection ends there");
    let within_string = r#"{"generation":2,"instances":[{"instanceId":"s-"#;
    assert_eq!(
        read(&format!("{within_string}\n")),
        Err(ListError::EntryTruncated(r#"{"instanceId":"s-"#.into()))
    );
}

#[test]
fn a_line_that_is_not_a_list_is_an_error() {
    let invalid_lines = [
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
    for line in invalid_lines {
        assert!(read(line).is_err(), "{line}");
    }
    let not_utf8 = b"{\"generation\":2,\"instances\":[\"\xff\"]}\n".as_slice();
    assert!(matches!(read_pieces(&[not_utf8], LIMITS), Err(ListError::EntryNotJson { .. })));
}

#[test]
fn entries_and_other_fields_are_limited_in_size() {
    let limits = ListLimits { entry_bytes: 10, envelope_bytes: 40 };
    let read =
        |text: &str| read_pieces(&text.bytes().collect::<Vec<_>>().chunks(3).collect::<Vec<_>>(), limits);
    let entries = vec!["[12345678]"; 1000].join(",");
    let events = read(&format!("{{\"generation\":2,\"instances\":[{entries}]}}\n")).unwrap();
    assert_eq!(events.last(), Some(&Event::End(ListEnd { version: 2, reset: false, entry_count: 1000 })));
    let too_long = read("{\"generation\":2,\"instances\":[[123456789]]}\n");
    assert_eq!(too_long, Err(ListError::EntryTooLong("[123456789]".into())));
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

fn split<'a>(bytes: &'a [u8], lengths: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    let (mut rest, mut lengths) = (bytes, lengths.iter().cycle());
    while !rest.is_empty() {
        let length = lengths.next().map_or(rest.len(), |length| *length.min(&rest.len()));
        let (piece, remaining) = rest.split_at(length);
        pieces.push(piece);
        rest = remaining;
    }
    pieces
}

proptest! {
    #[test]
    fn split_input_gives_the_same_result_as_serde_json_for_the_full_line(
        lines in prop::collection::vec(prop_oneof![4 => line(), 1 => Just(String::new())], 1..4),
        lengths in prop::collection::vec(1..40_usize, 1..8),
    ) {
        let expected: Vec<Event> = lines
            .iter()
            .flat_map(|line| if line.is_empty() { vec![Event::Heartbeat] } else { parse_with_serde(line).unwrap() })
            .collect();
        let text = format!("{}\n", lines.join("\n"));
        prop_assert_eq!(read_pieces(&split(text.as_bytes(), &lengths), LIMITS), Ok(expected));
    }

    #[test]
    fn a_line_with_one_byte_replaced_gives_the_same_result_as_serde_json(
        line in line(),
        at in any::<prop::sample::Index>(),
        byte in prop::sample::select(b"{}[],:\"\\ 0at".to_vec()),
    ) {
        let mut bytes = line.into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let line = String::from_utf8_lossy(&bytes).into_owned();
        let read = read(&format!("{line}\n")).ok();
        prop_assert_eq!(read, parse_with_serde(&line), "{}", line);
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
    ) {
        let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        _ = read_pieces(&pieces, LIMITS);
    }
}
