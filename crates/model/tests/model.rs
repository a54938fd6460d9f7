//! Stories of the model: what is read from XML and JSON, what is refused and how, and the file's schema.

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

fn file(text: &str) -> Data {
    xml::parse_config(&schema(), text.as_bytes()).unwrap()
}

#[test]
fn a_file_is_read_whole_and_written_so_that_it_reads_alike() {
    let (schema, data) = (schema(), file(FILE));
    let top = View::new(&schema, &data);
    let workers = top.container("workers").entries("worker");
    let word = |place: usize, name: &str| workers[place].leaf(name).map(Value::to_string);
    assert_eq!(word(0, "wanted").as_deref(), Some("draining"));
    assert_eq!((word(1, "wanted").as_deref(), word(1, "weight").as_deref()), (Some("follow"), Some("0.5")));
    assert_eq!(word(0, "weight"), None, "without a default nothing is said");
    assert_eq!(top.container("figures").number("drain-grace"), Some(2500.0));
    let user = &top.container("northbound").entries("user")[0];
    assert_eq!(user.leaf_list("ssh-key"), [&Value::text("ssh-ed25519 AAAA<A> ann")]);
    let written = xml::write_config(&schema, &data);
    assert_eq!(file(&written), data, "{written}");
    let text = json::write(&schema, &data);
    assert_eq!(text["juniperrail-manager:figures"]["drain-grace"], "2500.0");
    let drafts = json::to_edit_nodes(&schema, None, &text).unwrap();
    assert_eq!(Data::from_edit_nodes(&schema, &drafts).unwrap(), data);
    assert_eq!(
        json::from_elements(&schema, &xml::to_elements(&schema, &data)),
        text,
        "as a client words what it got"
    );
    assert_eq!(Data::from_edit_nodes(&schema, &data.to_edit_nodes()).unwrap(), data);
}

#[test]
fn the_empty_file_that_comes_with_the_program_says_nothing() {
    assert!(file(include_str!("../../../deploy/juniperrail.xml")).is_empty());
}

#[test]
fn a_fault_names_line_path_and_rule() {
    let schema = schema();
    for (old, new, rule, line, path, why) in [
        ("0.50", "x", ErrorKind::BadValue, 6, "/jrm:workers/worker[name='s-2']/weight", "\"x\" is no figure"),
        (
            "0.50",
            "1000.5",
            ErrorKind::BadValue,
            6,
            "/jrm:workers/worker[name='s-2']/weight",
            "not within 0.0..1000.0",
        ),
        ("0.50", "NaN", ErrorKind::BadValue, 6, "/jrm:workers/worker[name='s-2']/weight", "no figure"),
        (
            "<wanted>",
            "<wanted a='1'>",
            ErrorKind::UnknownAttribute,
            4,
            "/jrm:workers/worker[name='s-1']",
            "the attribute",
        ),
        (
            "draining",
            "asleep",
            ErrorKind::BadValue,
            4,
            "/jrm:workers/worker[name='s-1']/wanted",
            "none of follow",
        ),
        (
            "<name>s-1</name>",
            "",
            ErrorKind::MissingElement,
            4,
            "/jrm:workers/worker",
            "the key name is missing",
        ),
        ("s-2<", "s-1<", ErrorKind::Duplicate, 6, "/jrm:workers/worker[name='s-1']", "twice"),
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
            "\"quick\" has no place",
        ),
        (
            "</config>",
            "<state xmlns='tag:juniperrail.example,2026:yang:state'/></config>",
            ErrorKind::NotConfiguration,
            16,
            "/",
            "read only",
        ),
        ("<config ", "<other ", ErrorKind::Malformed, 16, "", ""),
        ("</workers>", "words</workers>", ErrorKind::Malformed, 7, "", "text beside elements"),
    ] {
        let text = FILE.replace(old, new);
        assert_ne!(text, FILE, "{old}");
        let fault = xml::parse_config(&schema, text.as_bytes()).unwrap_err();
        assert_eq!((fault.kind, fault.line), (rule, line), "{fault}");
        assert!(fault.path == path && fault.message.contains(why), "{fault}");
    }
}

#[test]
fn what_is_no_xml_or_an_attack_is_refused_within_bounds() {
    let deep = "<a>".repeat(10_000);
    let wide = format!("<a {}/>", (0..100).map(|n| format!("b{n}='' ")).collect::<String>());
    let bomb = "<!DOCTYPE a [<!ENTITY b \"bbbb\"><!ENTITY c \"&b;&b;&b;\">]><a>&c;</a>";
    let outside = "<!DOCTYPE a [<!ENTITY b SYSTEM \"file:///etc/hostname\">]><a>&b;</a>";
    for (text, why) in [
        ("", "there is no element"),
        ("words", "text outside"),
        ("<a><b></a></b>", "expected"),
        ("<a>", "it ends within a"),
        ("<a/><b/>", "something follows"),
        ("<a>&b;</a>", "an unknown entity"),
        ("<a>&#0;</a>", ""),
        ("<a>\u{1}</a>", "has no place in XML"),
        ("<a:b/>", "bound to no namespace"),
        ("<a b='1' b='2'/>", "duplicate"),
        ("<a b=1/>", ""),
        ("<a><?xml version='1.0'?></a>", "declaration"),
        ("<?xml version='1.0' encoding='latin1'?><a/>", "not UTF-8"),
        (&deep, "more than 64 deep"),
        (&wide, "more than 64 attributes"),
        (bomb, "a document type has no place here"),
        (outside, "a document type has no place here"),
    ] {
        let malformed = xml::parse(text.as_bytes()).unwrap_err();
        assert!(malformed.message.contains(why), "{text:.40}: {malformed:?}");
    }
    assert_eq!(xml::parse(b"<a>\n\xff</a>").unwrap_err().line, 2);
    let odd = "<a>\n &lt;&#x41;<![CDATA[<&]]>&gt;\r\n</a>";
    assert_eq!(xml::parse(odd.as_bytes()).unwrap().trimmed_text(), "<A<&>");
}

#[test]
fn no_byte_changed_anywhere_makes_the_reader_panic_or_lie() {
    let (schema, sound) = (schema(), file(FILE));
    let seed = 0x17_2026;
    println!("seed {seed:#x}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut refused, mut taken) = (0, 0);
    for _ in 0..4_000 {
        let mut bytes = FILE.as_bytes().to_vec();
        for _ in 0..rng.usize(1..4) {
            let place = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => _ = bytes.remove(place),
                1 => bytes.insert(place, rng.u8(..)),
                2 => bytes.truncate(place.max(1)),
                _ => bytes[place] = b"<>&;'\"/! \0\xff0a"[rng.usize(..13)],
            }
        }
        match xml::parse_config(&schema, &bytes) {
            Err(fault) => {
                assert!(!fault.message.is_empty() && fault.to_string().len() < 600, "{fault}");
                refused += 1;
            }
            // What is still taken is data of the model: it can be written and read again.
            Ok(data) => {
                assert_eq!(file(&xml::write_config(&schema, &data)), data);
                taken += 1;
            }
        }
    }
    assert!(refused > 2_000 && taken > 100 && !sound.is_empty(), "{refused} refused, {taken} taken");
}

#[test]
fn json_that_does_not_fit_is_refused_with_its_place() {
    let schema = schema();
    let worker = |body: &str| format!(r#"{{"juniperrail-manager:workers":{{"worker":[{body}]}}}}"#);
    for (text, rule, why) in [
        ("[]".to_string(), ErrorKind::BadValue, "an object"),
        (r#"{"workers":{}}"#.into(), ErrorKind::UnknownElement, "has no place"),
        (r#"{"other:workers":{}}"#.into(), ErrorKind::UnknownNamespace, "no module"),
        (r#"{"juniperrail-state:state":{}}"#.into(), ErrorKind::NotConfiguration, "read only"),
        (worker("{}"), ErrorKind::MissingElement, "the key name"),
        (worker(r#"{"name":"s","weight":1}"#), ErrorKind::BadValue, "should be a string"),
        (worker(r#"{"name":"s","weight":"1e3"}"#), ErrorKind::BadValue, "no figure"),
        (worker(r#"{"name":5}"#), ErrorKind::BadValue, "not of this type"),
        (worker("5"), ErrorKind::BadValue, "an object"),
        (r#"{"juniperrail-manager:workers":{"worker":{}}}"#.into(), ErrorKind::BadValue, "an array"),
    ] {
        let fault = json::to_edit_nodes(&schema, None, &serde_json::from_str(&text).unwrap()).unwrap_err();
        assert!(fault.kind == rule && fault.message.contains(why), "{text}: {fault:?}");
    }
}

#[test]
fn differences_are_told_leaf_by_leaf() {
    let schema = schema();
    let old = file(FILE);
    let changed = FILE.replace("0.50", "0.75").replace("<wanted>draining</wanted>", "");
    let changed = changed.replace("<worker><weight>", "<worker><name>s-3</name></worker><worker><weight>");
    let changed = changed.replace("AAAA", "BBBB").replace("<ssh>", "<tls>").replace("</ssh>", "</tls>");
    let changed = changed.replace("<listen>127.0.0.1:830</listen><host-key>host</host-key>", 
        "<listen>127.0.0.1:6513</listen><certificate>c</certificate><key>k</key><client-authorities>a</client-authorities>");
    let new = file(&changed);
    let told: Vec<String> = diff(&schema, &old, &new)
        .iter()
        .map(|d| {
            format!(
                "{} {:?} {:?}",
                d.path.format(&schema),
                d.old.is_some(),
                d.new.as_ref().map(Value::to_string)
            )
        })
        .collect();
    let told: Vec<&str> = told.iter().map(String::as_str).collect();
    assert!(told.contains(&"/jrm:workers/worker[name='s-1']/wanted true None"), "{told:#?}");
    assert!(told.contains(&"/jrm:workers/worker[name='s-2']/weight true Some(\"0.75\")"), "{told:#?}");
    assert!(told.contains(&"/jrm:workers/worker[name='s-3'] false Some(\"\")"), "{told:#?}");
    assert!(told.contains(&"/jrm:northbound/netconf/ssh true None"), "{told:#?}");
    assert!(told.contains(&"/jrm:northbound/netconf/tls false Some(\"\")"), "{told:#?}");
    assert_eq!(
        told.iter().filter(|told| told.contains("ssh-key")).count(),
        2,
        "one gone, one come: {told:#?}"
    );
    assert!(diff(&schema, &old, &old).is_empty());
}

#[test]
fn a_path_cuts_out_what_lies_there_with_its_keys() {
    let (schema, data) = (schema(), file(FILE));
    let cut =
        |path: &str| xml::write_config(&schema, &data.subtree(&schema, &Path::parse(&schema, path).unwrap()));
    let weight = cut("/workers/worker[name='s-2']/weight");
    assert!(
        weight.contains("<name>s-2</name>") && weight.contains("0.5") && !weight.contains("s-1"),
        "{weight}"
    );
    let all = cut("/workers/worker/wanted");
    assert!(all.contains("s-1") && !all.contains("s-2"), "only where it is: {all}");
    assert!(cut("/workers/worker[name='s-9']")
        .contains("<config xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"/>"));
    assert_eq!(data.subtree(&schema, &Path::default()), data);
}

#[test]
fn the_xml_schema_takes_what_the_program_takes() {
    let schema = schema();
    let documents = xsd::documents(&schema);
    assert_eq!(
        documents.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["juniperrail.xsd", "juniperrail-manager.xsd"]
    );
    let folder = std::env::temp_dir().join(format!("juniperrail-xsd-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    for (name, text) in &documents {
        std::fs::write(folder.join(name), text).unwrap();
    }
    let root = uppsala::parse(&documents[0].1).unwrap();
    let validator = uppsala::XsdValidator::from_schema_with_base_path(&root, Some(&folder)).unwrap();
    let faults = |text: &str| validator.validate(&uppsala::parse(text).unwrap());
    let written = xml::write_config(&schema, &file(FILE));
    assert!(faults(&written).is_empty(), "{:?}", faults(&written));
    assert!(faults(FILE).is_empty(), "{:?}", faults(FILE));
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
        assert!(!faults(&text).is_empty(), "the schema takes {new:?} for {old:?}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
