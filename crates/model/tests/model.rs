//! Tests of the data model: parsing and writing XML and JSON, the errors for invalid input, differences, subtrees and
//! the generated XML Schema.

use juniperrail_model::{diff, json, schema, xml, xsd, Data, ErrorKind, Path, Value, View};

const FILE: &str = r#"<?xml version="1.0"?>
<config xmlns="urn:ietf:params:xml:ns:netconf:base:1.0">
  <workers xmlns="tag:juniperrail.example,2026:yang:manager">
    <worker><name>s-1</name><wanted>draining</wanted></worker>
    <!-- half of it -->
    <worker><weight>0.50</weight><name>s-2</name></worker>
  </workers>
  <m:figures xmlns:m="tag:juniperrail.example,2026:yang:manager">
    <m:drain-grace>2500</m:drain-grace>
    <m:operation><m:name>lookup</m:name><m:latency-objective>400.5</m:latency-objective></m:operation>
  </m:figures>
  <northbound xmlns="tag:juniperrail.example,2026:yang:manager">
    <netconf><ssh><listen>127.0.0.1:830</listen><host-key>host</host-key></ssh></netconf>
    <user><name>ann</name><role>admin</role><ssh-key>ssh-ed25519 AAAA&lt;&#65;&gt; ann</ssh-key></user>
  </northbound>
</config>"#;

fn parse_file(text: &str) -> Data {
    xml::parse_config(&schema(), text.as_bytes()).unwrap()
}

#[test]
fn data_survives_a_round_trip_through_xml_json_and_edit_nodes() {
    let (schema, data) = (schema(), parse_file(FILE));
    let root = View::new(&schema, &data);
    let workers = root.container("workers").entries("worker");
    let leaf_text = |index: usize, name: &str| workers[index].leaf(name).map(Value::to_string);
    assert_eq!(leaf_text(0, "wanted").as_deref(), Some("draining"));
    assert_eq!(
        (leaf_text(1, "wanted").as_deref(), leaf_text(1, "weight").as_deref()),
        (Some("follow"), Some("0.5"))
    );
    assert_eq!(leaf_text(0, "weight"), None, "an absent leaf without a default has no value");
    assert_eq!(root.container("figures").number("drain-grace"), Some(2500.0));
    let user = &root.container("northbound").entries("user")[0];
    assert_eq!(user.leaf_list("ssh-key"), [&Value::text("ssh-ed25519 AAAA<A> ann")]);
    let written = xml::write_config(&schema, &data);
    assert_eq!(parse_file(&written), data, "{written}");
    let json = json::write(&schema, &data);
    assert_eq!(json["juniperrail-manager:figures"]["drain-grace"], "2500.0");
    let edit_nodes = json::to_edit_nodes(&schema, None, &json).unwrap();
    assert_eq!(Data::from_edit_nodes(&schema, &edit_nodes).unwrap(), data);
    assert_eq!(
        json::from_elements(&schema, &xml::to_elements(&schema, &data)),
        json,
        "a client must convert the elements of a reply to the same JSON"
    );
    assert_eq!(Data::from_edit_nodes(&schema, &data.to_edit_nodes()).unwrap(), data);
}

#[test]
fn the_operator_file_in_deploy_contains_no_configuration() {
    assert!(parse_file(include_str!("../../../deploy/juniperrail.xml")).is_empty());
}

#[test]
fn an_error_has_the_line_the_path_and_the_kind() {
    let schema = schema();
    for (old, new, kind, line, path, expected) in [
        (
            "0.50",
            "x",
            ErrorKind::BadValue,
            6,
            "/jrm:workers/worker[name='s-2']/weight",
            "\"x\" is not a decimal number",
        ),
        (
            "0.50",
            "1000.5",
            ErrorKind::BadValue,
            6,
            "/jrm:workers/worker[name='s-2']/weight",
            "not within 0.0..1000.0",
        ),
        (
            "0.50",
            "NaN",
            ErrorKind::BadValue,
            6,
            "/jrm:workers/worker[name='s-2']/weight",
            "not a decimal number",
        ),
        (
            "<wanted>",
            "<wanted a='1'>",
            ErrorKind::UnknownAttribute,
            4,
            "/jrm:workers/worker[name='s-1']",
            "unexpected attribute \"a\"",
        ),
        (
            "draining",
            "asleep",
            ErrorKind::BadValue,
            4,
            "/jrm:workers/worker[name='s-1']/wanted",
            "\"asleep\" is none of follow",
        ),
        (
            "<name>s-1</name>",
            "",
            ErrorKind::MissingElement,
            4,
            "/jrm:workers/worker",
            "the key name is missing",
        ),
        ("s-2<", "s-1<", ErrorKind::Duplicate, 6, "/jrm:workers/worker[name='s-1']", "more than once"),
        (
            "<listen>127.0.0.1:830</listen>",
            "",
            ErrorKind::MissingElement,
            0,
            "/jrm:northbound/netconf/ssh",
            "listen is missing",
        ),
        (
            "127.0.0.1:830",
            "anywhere:830",
            ErrorKind::BadValue,
            13,
            "/jrm:northbound/netconf/ssh/listen",
            "does not match",
        ),
        (
            "manager\">\n    <worker>",
            "mangler\">\n    <worker>",
            ErrorKind::UnknownNamespace,
            3,
            "/",
            "unknown namespace",
        ),
        (
            "<netconf>",
            "<netconf><quick/>",
            ErrorKind::UnknownElement,
            13,
            "/jrm:northbound/netconf",
            "unexpected element \"quick\"",
        ),
        (
            "</config>",
            "<state xmlns='tag:juniperrail.example,2026:yang:state'/></config>",
            ErrorKind::NotConfiguration,
            16,
            "/",
            "read-only",
        ),
        ("<config ", "<other ", ErrorKind::Malformed, 16, "", ""),
        ("</workers>", "words</workers>", ErrorKind::Malformed, 7, "", "both text and elements"),
    ] {
        let text = FILE.replace(old, new);
        assert_ne!(text, FILE, "{old}");
        let error = xml::parse_config(&schema, text.as_bytes()).unwrap_err();
        assert_eq!((error.kind, error.line), (kind, line), "{error}");
        assert!(error.path == path && error.message.contains(expected), "{error}");
    }
}

#[test]
fn malformed_xml_and_documents_beyond_the_limits_are_rejected() {
    let deeply_nested = "<a>".repeat(10_000);
    let many_attributes = format!("<a {}/>", (0..100).map(|n| format!("b{n}='' ")).collect::<String>());
    let entity_expansion = "<!DOCTYPE a [<!ENTITY b \"bbbb\"><!ENTITY c \"&b;&b;&b;\">]><a>&c;</a>";
    let external_entity = "<!DOCTYPE a [<!ENTITY b SYSTEM \"file:///etc/hostname\">]><a>&b;</a>";
    for (text, expected) in [
        ("", "contains no element"),
        ("words", "text outside the root element"),
        ("<a><b></a></b>", "expected"),
        ("<a>", "the text ends within the element a"),
        ("<a/><b/>", "content after the root element"),
        ("<a>&b;</a>", "unknown entity"),
        ("<a>&#0;</a>", ""),
        ("<a>\u{1}</a>", "is not allowed in XML"),
        ("<a:b/>", "not bound to a namespace"),
        ("<a b='1' b='2'/>", "duplicate"),
        ("<a b=1/>", ""),
        ("<a><?xml version='1.0'?></a>", "declaration"),
        ("<?xml version='1.0' encoding='latin1'?><a/>", "not UTF-8"),
        (&deeply_nested, "more than 64 levels deep"),
        (&many_attributes, "more than 64 attributes"),
        (entity_expansion, "document type declarations are not allowed"),
        (external_entity, "document type declarations are not allowed"),
    ] {
        let error = xml::parse(text.as_bytes()).unwrap_err();
        assert!(error.message.contains(expected), "{text:.40}: {error:?}");
    }
    assert_eq!(xml::parse(b"<a>\n\xff</a>").unwrap_err().line, 2);
    let escaped = "<a>\n &lt;&#x41;<![CDATA[<&]]>&gt;\r\n</a>";
    assert_eq!(xml::parse(escaped.as_bytes()).unwrap().trimmed_text(), "<A<&>");
}

/// Mutates a valid file at random. The parser must return an error or data that can be written and parsed again.
#[test]
fn mutated_files_are_rejected_or_survive_a_round_trip() {
    let (schema, original) = (schema(), parse_file(FILE));
    let seed = 0x17_2026;
    println!("seed {seed:#x}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut rejected, mut accepted) = (0, 0);
    for _ in 0..4_000 {
        let mut bytes = FILE.as_bytes().to_vec();
        for _ in 0..rng.usize(1..4) {
            let index = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => _ = bytes.remove(index),
                1 => bytes.insert(index, rng.u8(..)),
                2 => bytes.truncate(index.max(1)),
                _ => bytes[index] = b"<>&;'\"/! \0\xff0a"[rng.usize(..13)],
            }
        }
        match xml::parse_config(&schema, &bytes) {
            Err(error) => {
                assert!(!error.message.is_empty() && error.to_string().len() < 600, "{error}");
                rejected += 1;
            }
            // Accepted data conforms to the model, so it can be written and parsed again.
            Ok(data) => {
                assert_eq!(parse_file(&xml::write_config(&schema, &data)), data);
                accepted += 1;
            }
        }
    }
    assert!(
        rejected > 2_000 && accepted > 100 && !original.is_empty(),
        "{rejected} rejected, {accepted} accepted"
    );
}

#[test]
fn json_that_violates_the_model_is_rejected_with_its_kind() {
    let schema = schema();
    let worker = |body: &str| format!(r#"{{"juniperrail-manager:workers":{{"worker":[{body}]}}}}"#);
    for (text, kind, expected) in [
        ("[]".to_string(), ErrorKind::BadValue, "expected an object"),
        (r#"{"workers":{}}"#.into(), ErrorKind::UnknownElement, "unexpected member \"workers\""),
        (r#"{"other:workers":{}}"#.into(), ErrorKind::UnknownNamespace, "unknown module \"other\""),
        (r#"{"juniperrail-state:state":{}}"#.into(), ErrorKind::NotConfiguration, "read-only"),
        (worker("{}"), ErrorKind::MissingElement, "the key name"),
        (worker(r#"{"name":"s","weight":1}"#), ErrorKind::BadValue, "must be a string"),
        (worker(r#"{"name":"s","weight":"1e3"}"#), ErrorKind::BadValue, "not a decimal number"),
        (worker(r#"{"name":5}"#), ErrorKind::BadValue, "not a value of this type"),
        (worker("5"), ErrorKind::BadValue, "expected an object"),
        (r#"{"juniperrail-manager:workers":{"worker":{}}}"#.into(), ErrorKind::BadValue, "must be an array"),
    ] {
        let error = json::to_edit_nodes(&schema, None, &serde_json::from_str(&text).unwrap()).unwrap_err();
        assert!(error.kind == kind && error.message.contains(expected), "{text}: {error:?}");
    }
}

#[test]
fn differences_are_listed_leaf_by_leaf() {
    let schema = schema();
    let old = parse_file(FILE);
    let changed = FILE.replace("0.50", "0.75").replace("<wanted>draining</wanted>", "");
    let changed = changed.replace("<worker><weight>", "<worker><name>s-3</name></worker><worker><weight>");
    let changed = changed.replace("AAAA", "BBBB").replace("<ssh>", "<tls>").replace("</ssh>", "</tls>");
    let changed = changed.replace("<listen>127.0.0.1:830</listen><host-key>host</host-key>",
        "<listen>127.0.0.1:6513</listen><certificate>c</certificate><key>k</key><client-authorities>a</client-authorities>");
    let new = parse_file(&changed);
    let lines: Vec<String> = diff(&schema, &old, &new)
        .iter()
        .map(|difference| {
            format!(
                "{} {:?} {:?}",
                difference.path.format(&schema),
                difference.old.is_some(),
                difference.new.as_ref().map(Value::to_string)
            )
        })
        .collect();
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    assert!(lines.contains(&"/jrm:workers/worker[name='s-1']/wanted true None"), "{lines:#?}");
    assert!(lines.contains(&"/jrm:workers/worker[name='s-2']/weight true Some(\"0.75\")"), "{lines:#?}");
    assert!(lines.contains(&"/jrm:workers/worker[name='s-3'] false Some(\"\")"), "{lines:#?}");
    assert!(lines.contains(&"/jrm:northbound/netconf/ssh true None"), "{lines:#?}");
    assert!(lines.contains(&"/jrm:northbound/netconf/tls false Some(\"\")"), "{lines:#?}");
    assert_eq!(
        lines.iter().filter(|line| line.contains("ssh-key")).count(),
        2,
        "one key is removed and one added: {lines:#?}"
    );
    assert!(diff(&schema, &old, &old).is_empty());
}

#[test]
fn a_subtree_contains_the_data_at_its_path_and_the_keys() {
    let (schema, data) = (schema(), parse_file(FILE));
    let subtree =
        |path: &str| xml::write_config(&schema, &data.subtree(&schema, &Path::parse(&schema, path).unwrap()));
    let weight = subtree("/workers/worker[name='s-2']/weight");
    assert!(
        weight.contains("<name>s-2</name>") && weight.contains("0.5") && !weight.contains("s-1"),
        "{weight}"
    );
    let all = subtree("/workers/worker/wanted");
    assert!(
        all.contains("s-1") && !all.contains("s-2"),
        "only the entry that has the leaf is included: {all}"
    );
    assert!(subtree("/workers/worker[name='s-9']")
        .contains("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"/>"));
    assert_eq!(data.subtree(&schema, &Path::default()), data);
}

#[test]
fn the_xml_schema_accepts_and_rejects_the_same_files_as_the_program() {
    let schema = schema();
    let documents = xsd::documents(&schema);
    assert_eq!(
        documents.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["juniperrail.xsd", "juniperrail-manager.xsd"]
    );
    let directory = std::env::temp_dir().join(format!("juniperrail-xsd-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    for (name, text) in &documents {
        std::fs::write(directory.join(name), text).unwrap();
    }
    let root = uppsala::parse(&documents[0].1).unwrap();
    let validator = uppsala::XsdValidator::from_schema_with_base_path(&root, Some(&directory)).unwrap();
    let errors = |text: &str| validator.validate(&uppsala::parse(text).unwrap());
    let written = xml::write_config(&schema, &parse_file(FILE));
    assert!(errors(&written).is_empty(), "{:?}", errors(&written));
    assert!(errors(FILE).is_empty(), "{:?}", errors(FILE));
    for (old, new) in [
        ("0.50", "x"),
        ("0.50", "1000.5"),
        ("0.50", "0.12345"),
        ("draining", "asleep"),
        ("s-1<", "s 1<"),
        ("<netconf>", "<netconf><quick/>"),
        ("127.0.0.1:830", "anywhere:830"),
        ("s-2<", "s-1<"),
    ] {
        let text = FILE.replace(old, new);
        assert!(xml::parse_config(&schema, text.as_bytes()).is_err(), "{new}");
        assert!(!errors(&text).is_empty(), "the XML Schema accepts {new:?} in place of {old:?}");
    }
    std::fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn a_document_with_more_elements_and_attributes_than_allowed_is_rejected() {
    let text = "<a x='1' xmlns='urn:a'><b/><c>text</c></a>";
    assert!(xml::parse_limited(text.as_bytes(), 5).is_ok());
    let error = xml::parse_limited(text.as_bytes(), 4).unwrap_err();
    assert_eq!(error.message, "the text has more than 4 elements and attributes");
}
