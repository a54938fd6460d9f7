//! XML: a small tree of elements, read within bounds and without document types, and the model's data in it.

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use quick_xml::escape::{escape, partial_escape};
use quick_xml::events::attributes::Attribute;
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::{PrefixDeclaration, ResolveResult};
use quick_xml::{NsReader, XmlVersion};

use crate::data::{Content, Data};
use crate::edit_node::{EditNode, EditOperation};
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::quoted;

/// NETCONF's own namespace, RFC 6241, of the `operation` attribute among others.
pub const NETCONF_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// The namespace of `xml:lang`, always bound to that prefix.
pub const XML_NAMESPACE: &str = "http://www.w3.org/XML/1998/namespace";

/// Elements nested deeper are refused: the modules need eight, and what nests ten thousand deep is an attack.
pub const MAX_DEPTH: usize = 64;
/// An element has no more attributes and namespaces of its own.
const MAX_ATTRIBUTES: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Attr {
    pub ns: Arc<str>,
    pub name: String,
    pub value: String,
}

/// An element with its text, if it has no elements below it. Comments and instructions are passed over.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    pub ns: Arc<str>,
    pub name: String,
    pub attrs: Vec<Attr>,
    /// Namespaces that it binds to prefixes, which the values below it may use.
    pub prefixes: Vec<(String, String)>,
    pub text: String,
    pub children: Vec<Element>,
    pub line: u32,
}

impl Element {
    pub fn new(ns: &str, name: &str) -> Element {
        Element { ns: ns.into(), name: name.into(), ..Element::default() }
    }

    pub fn with_text(ns: &str, name: &str, text: impl Into<String>) -> Element {
        Element { text: text.into(), ..Element::new(ns, name) }
    }

    pub fn with_child(mut self, child: Element) -> Element {
        self.children.push(child);
        self
    }

    pub fn with_children(mut self, children: impl IntoIterator<Item = Element>) -> Element {
        self.children.extend(children);
        self
    }

    pub fn is(&self, ns: &str, name: &str) -> bool {
        &*self.ns == ns && self.name == name
    }

    pub fn child(&self, ns: &str, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.is(ns, name))
    }

    pub fn attr(&self, ns: &str, name: &str) -> Option<&str> {
        self.attrs.iter().find(|attr| &*attr.ns == ns && attr.name == name).map(|attr| &*attr.value)
    }

    /// The element's text without white space around it.
    pub fn trimmed_text(&self) -> &str {
        self.text.trim()
    }
}

/// Why text is no XML: the line and the reason.
#[derive(Clone, Debug, PartialEq)]
pub struct XmlError {
    pub line: u32,
    pub message: String,
}

impl XmlError {
    pub fn to_model_error(&self) -> ModelError {
        ModelError::new(ErrorKind::Malformed, "", "", self.message.clone()).at_line(self.line)
    }
}

/// Reads one element with all below it. Its size is bounded by whoever has the text.
pub fn parse(text: &[u8]) -> Result<Element, XmlError> {
    let text = std::str::from_utf8(text).map_err(|cause| {
        let line = 1 + text[..cause.valid_up_to()].iter().filter(|byte| **byte == b'\n').count() as u32;
        XmlError { line, message: "the text is no UTF-8".into() }
    })?;
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_comments = true;
    // Positions only grow, so each line end is counted once.
    let (mut seen, mut line) = (0, 1);
    let mut open: Vec<Element> = Vec::new();
    let mut spaces: HashMap<String, Arc<str>> = HashMap::new();
    loop {
        let start = (reader.buffer_position() as usize).min(text.len());
        line += text.as_bytes()[seen..start].iter().filter(|byte| **byte == b'\n').count() as u32;
        seen = start;
        let bad = |what: String| XmlError { line, message: what };
        let event = reader.read_event().map_err(|cause| bad(cause.to_string()))?;
        match event {
            Event::Start(tag) => {
                if open.len() >= MAX_DEPTH {
                    return Err(bad(format!("elements are nested more than {MAX_DEPTH} deep")));
                }
                open.push(element(&reader, &tag, line, &mut spaces).map_err(bad)?);
            }
            Event::Empty(tag) => {
                let element = element(&reader, &tag, line, &mut spaces).map_err(bad)?;
                match open.last_mut() {
                    Some(parent) => parent.children.push(element),
                    None => return rest(&mut reader, line).map(|()| element),
                }
            }
            Event::End(_) => {
                let element = open.pop().ok_or_else(|| bad("an end without a start".into()))?;
                if !element.children.is_empty() && !element.text.trim().is_empty() {
                    return Err(bad(format!("{} has text beside elements", element.name)));
                }
                match open.last_mut() {
                    Some(parent) => parent.children.push(element),
                    None => return rest(&mut reader, line).map(|()| element),
                }
            }
            Event::Text(piece) => {
                let piece = piece.xml10_content();
                match open.last_mut() {
                    Some(parent) => parent.text.push_str(checked(&piece).map_err(bad)?),
                    None if piece.trim_matches(['\u{feff}', ' ', '\t', '\r', '\n']).is_empty() => {}
                    None => return Err(bad("text outside of any element".into())),
                }
            }
            Event::CData(piece) => {
                let piece = piece.xml10_content();
                let parent = open.last_mut().ok_or_else(|| bad("text outside of any element".into()))?;
                parent.text.push_str(checked(&piece).map_err(bad)?);
            }
            Event::GeneralRef(name) => {
                let parent = open.last_mut().ok_or_else(|| bad("text outside of any element".into()))?;
                let c = match name.resolve_char_ref() {
                    Ok(Some(c)) => c,
                    Ok(None) => {
                        predefined(&name.xml10_content()).ok_or_else(|| bad("an unknown entity".into()))?
                    }
                    Err(cause) => return Err(bad(cause.to_string())),
                };
                parent.text.push_str(checked(c.encode_utf8(&mut [0; 4])).map_err(bad)?);
            }
            // Guards against entities that grow without end, and against files read by a message.
            Event::DocType(_) => return Err(bad("a document type has no place here".into())),
            Event::Decl(declared) if open.is_empty() => {
                let utf8 = |name: &str| name.eq_ignore_ascii_case("utf-8");
                match declared.encoding() {
                    Some(Ok(name)) if !utf8(&name) => {
                        return Err(bad(format!("the encoding {name:?} is not UTF-8")))
                    }
                    _ => {}
                }
            }
            Event::Decl(_) => return Err(bad("a declaration within an element".into())),
            Event::Comment(_) | Event::PI(_) => {}
            Event::Eof => {
                let what = match open.last() {
                    Some(element) => format!("it ends within {}", element.name),
                    None => "there is no element".into(),
                };
                return Err(bad(what));
            }
        }
    }
}

/// Nothing but comments and white space follows the one element.
fn rest(reader: &mut NsReader<&[u8]>, line: u32) -> Result<(), XmlError> {
    loop {
        let what = match reader.read_event() {
            Ok(Event::Eof) => return Ok(()),
            Ok(Event::Comment(_) | Event::PI(_)) => continue,
            Ok(Event::Text(text)) if text.xml10_content().trim().is_empty() => continue,
            Ok(_) => "something follows the element".to_string(),
            Err(cause) => cause.to_string(),
        };
        return Err(XmlError { line, message: what });
    }
}

/// The characters of XML 1.0 section 2.2: no other can be written back.
fn checked(text: &str) -> Result<&str, String> {
    match text
        .chars()
        .find(|c| *c < ' ' && !matches!(c, '\t' | '\n' | '\r') || matches!(c, '\u{fffe}' | '\u{ffff}'))
    {
        Some(c) => Err(format!("the character {c:?} has no place in XML")),
        None => Ok(text),
    }
}

fn predefined(name: &str) -> Option<char> {
    Some(match name {
        "lt" => '<',
        "gt" => '>',
        "amp" => '&',
        "quot" => '"',
        "apos" => '\'',
        _ => return None,
    })
}

fn element(
    reader: &NsReader<&[u8]>,
    tag: &BytesStart<'_>,
    line: u32,
    spaces: &mut HashMap<String, Arc<str>>,
) -> Result<Element, String> {
    let mut interned =
        |name: &str| -> Arc<str> { spaces.entry(name.to_string()).or_insert_with(|| name.into()).clone() };
    let mut space = |resolved: ResolveResult<'_>| match resolved {
        ResolveResult::Bound(ns) => Ok(interned(ns.as_ref())),
        ResolveResult::Unbound => Ok(interned("")),
        ResolveResult::Unknown(prefix) => Err(format!("the prefix {prefix:?} is bound to no namespace")),
    };
    let (resolved, name) = reader.resolver().resolve_element(tag.name());
    let mut element = Element { ns: space(resolved)?, line, ..Element::new("", name.as_ref()) };
    for (place, attr) in tag.attributes().enumerate() {
        if place >= MAX_ATTRIBUTES {
            return Err(format!("{} has more than {MAX_ATTRIBUTES} attributes", element.name));
        }
        let attr: Attribute<'_> = attr.map_err(|cause| cause.to_string())?;
        let value = attr.normalized_value(XmlVersion::Implicit1_0).map_err(|cause| cause.to_string())?;
        let value = checked(&value)?.to_string();
        match attr.key.as_namespace_binding() {
            Some(PrefixDeclaration::Named(prefix)) => element.prefixes.push((prefix.to_string(), value)),
            Some(PrefixDeclaration::Default) => element.prefixes.push((String::new(), value)),
            None => {
                let (resolved, name) = reader.resolver().resolve_attribute(attr.key);
                element.attrs.push(Attr { ns: space(resolved)?, name: name.as_ref().to_string(), value });
            }
        }
    }
    Ok(element)
}

/// Writes an element, its namespaces as defaults wherever they change. `indent`: one line an element.
pub fn write(element: &Element, indent: bool) -> String {
    let mut text = String::new();
    put(&mut text, element, "", indent.then_some(0));
    // It may wait long for a peer that reads slowly; growing left it up to twice as large.
    text.shrink_to_fit();
    text
}

fn put(text: &mut String, element: &Element, around: &str, depth: Option<usize>) {
    let pad = |text: &mut String, depth: Option<usize>| {
        depth.into_iter().for_each(|depth| text.extend(std::iter::repeat_n("  ", depth)));
    };
    let line = |text: &mut String| _ = depth.is_some().then(|| text.push('\n'));
    pad(text, depth);
    _ = write!(text, "<{}", element.name);
    if &*element.ns != around {
        _ = write!(text, " xmlns=\"{}\"", escape(&*element.ns));
    }
    for (prefix, ns) in element.prefixes.iter().filter(|(prefix, _)| !prefix.is_empty()) {
        _ = write!(text, " xmlns:{prefix}=\"{}\"", escape(ns.as_str()));
    }
    for (place, attr) in element.attrs.iter().enumerate() {
        if &*attr.ns == XML_NAMESPACE {
            // No other prefix may be bound to it.
            _ = write!(text, " xml:{}=\"{}\"", attr.name, attribute(&attr.value));
        } else if attr.ns.is_empty() {
            _ = write!(text, " {}=\"{}\"", attr.name, attribute(&attr.value));
        } else {
            let (name, ns, value) = (&attr.name, escape(&*attr.ns), attribute(&attr.value));
            _ = write!(text, " xmlns:a{place}=\"{ns}\" a{place}:{name}=\"{value}\"");
        }
    }
    if element.children.is_empty() && element.text.is_empty() {
        text.push_str("/>");
    } else if element.children.is_empty() {
        // A carriage return that is written plain is read as a line end.
        // The greater-than sign is escaped too: `]]>` would end a message in NETCONF's older framing.
        _ = write!(
            text,
            ">{}</{}>",
            partial_escape(element.text.as_str()).replace('\r', "&#13;"),
            element.name
        );
    } else {
        text.push('>');
        line(text);
        for child in &element.children {
            put(text, child, &element.ns, depth.map(|depth| depth + 1));
        }
        pad(text, depth);
        _ = write!(text, "</{}>", element.name);
    }
    line(text);
}

fn attribute(value: &str) -> String {
    escape(value).replace('\n', "&#10;").replace('\r', "&#13;").replace('\t', "&#9;")
}

/// Data as elements.
pub fn to_elements(schema: &Schema, data: &Data) -> Vec<Element> {
    let mut elements = Vec::new();
    for (id, content) in data.iter() {
        let node = schema.node(id);
        let ns = &*schema.modules[node.module].namespace;
        let entry = |data: &Data| {
            let mut below = self::to_elements(schema, data);
            // RFC 7950 section 7.8.5: the keys come first, in their order.
            let rank = |element: &Element| {
                node.keys()
                    .iter()
                    .position(|key| schema.node(*key).name == element.name)
                    .unwrap_or(usize::MAX)
            };
            below.sort_by_key(rank);
            Element::new(ns, &node.name).with_children(below)
        };
        match content {
            Content::Container(data) => {
                elements.push(Element::new(ns, &node.name).with_children(self::to_elements(schema, data)))
            }
            Content::List(entries) => elements.extend(entries.values().map(entry)),
            Content::Leaf(value) => elements.push(Element::with_text(ns, &node.name, value.to_string())),
            Content::LeafList(values) => {
                elements
                    .extend(values.iter().map(|value| Element::with_text(ns, &node.name, value.to_string())));
            }
        }
    }
    elements
}

/// Elements as drafts. Only configuration may stand there; `operation` attributes only where they are `allowed`.
pub fn to_edit_nodes(
    schema: &Schema,
    elements: &[Element],
    allowed: bool,
) -> Result<Vec<EditNode>, ModelError> {
    drafts_below(schema, None, &Path::default(), elements, allowed)
}

fn drafts_below(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Path,
    elements: &[Element],
    allowed: bool,
) -> Result<Vec<EditNode>, ModelError> {
    elements.iter().map(|element| draft(schema, parent, at, element, allowed)).collect()
}

fn draft(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Path,
    element: &Element,
    allowed: bool,
) -> Result<EditNode, ModelError> {
    let place = at.format(schema);
    let refused =
        |rule, what: String| Err(ModelError::new(rule, &*place, &element.name, what).at_line(element.line));
    let name = quoted(&element.name);
    let Some(module) = schema.modules.iter().position(|module| module.namespace == *element.ns) else {
        return refused(
            ErrorKind::UnknownNamespace,
            format!("{name} is in the unknown namespace {}", quoted(&element.ns)),
        );
    };
    let Some(id) = schema.child(parent, &element.name, Some(module)) else {
        return refused(ErrorKind::UnknownElement, format!("{name} has no place here"));
    };
    let node = schema.node(id);
    if !node.config {
        return refused(ErrorKind::NotConfiguration, format!("{name} is state, which can be read only"));
    }
    let mut op = None;
    for attr in &element.attrs {
        if &*attr.ns != NETCONF_NAMESPACE || attr.name != "operation" || !allowed {
            let what = format!("the attribute {} has no place here", quoted(&attr.name));
            return Err(
                ModelError::new(ErrorKind::UnknownAttribute, &*place, &attr.name, what).at_line(element.line)
            );
        }
        op = Some(match attr.value.as_str() {
            "merge" => EditOperation::Merge,
            "replace" => EditOperation::Replace,
            "create" => EditOperation::Create,
            "delete" => EditOperation::Delete,
            "remove" => EditOperation::Remove,
            other => {
                let what = format!("{} is no operation", quoted(other));
                return Err(ModelError::new(ErrorKind::BadAttribute, &*place, "operation", what)
                    .at_line(element.line));
            }
        });
    }
    let leaves = matches!(op, Some(EditOperation::Delete | EditOperation::Remove));
    let mut draft =
        EditNode { node: id, keys: vec![], value: None, operation: op, line: element.line, children: vec![] };
    match &node.kind {
        NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => {
            if let Some(child) = element.children.first() {
                return refused(
                    ErrorKind::UnknownElement,
                    format!("{} has no place in {name}", quoted(&child.name)),
                );
            }
            let empties = leaves && element.text.is_empty() && matches!(node.kind, NodeKind::Leaf { .. });
            draft.value = match ty.parse(&element.text) {
                Ok(value) => Some(value),
                Err(_) if empties => None,
                Err(why) => {
                    let place = at.child(Step::without_keys(id)).format(schema);
                    return Err(
                        ModelError::new(ErrorKind::BadValue, place, &element.name, why).at_line(element.line)
                    );
                }
            };
        }
        NodeKind::Container { .. } | NodeKind::List { .. } => {
            if !element.text.trim().is_empty() {
                return refused(ErrorKind::BadValue, format!("{name} holds elements and no text"));
            }
            let mut step = Step::without_keys(id);
            for key in node.keys() {
                let key = schema.node(*key);
                let Some(found) =
                    element.children.iter().find(|child| child.name == key.name && child.ns == element.ns)
                else {
                    let what = format!("the key {} is missing", key.name);
                    let place = at.child(step).format(schema);
                    return Err(ModelError::new(ErrorKind::MissingElement, place, &key.name, what)
                        .at_line(element.line));
                };
                if let NodeKind::Leaf { ty, .. } = &key.kind {
                    let value = ty.parse(&found.text).map_err(|why| {
                        ModelError::new(
                            ErrorKind::BadValue,
                            at.child(step.clone()).format(schema),
                            &key.name,
                            why,
                        )
                        .at_line(found.line)
                    })?;
                    draft.keys.push(value);
                }
            }
            step.keys = draft.keys.clone();
            draft.children = drafts_below(schema, Some(id), &at.child(step), &element.children, allowed)?;
            let is_key = |below: &&EditNode| node.keys().contains(&below.node);
            if let Some(key) = draft.children.iter().filter(is_key).find(|below| below.operation.is_some()) {
                let here = at.child(draft.step());
                return Err(key.error(
                    schema,
                    &here,
                    ErrorKind::BadAttribute,
                    "is a key and has no operation of its own",
                ));
            }
            if draft.children.iter().filter(is_key).count() > node.keys().len() {
                return Err(draft.error(schema, at, ErrorKind::Duplicate, "names a key twice"));
            }
        }
    }
    Ok(draft)
}

/// A file of configuration: the element `config`, or any of ours, with data below it.
pub fn parse_config(schema: &Schema, text: &[u8]) -> Result<Data, ModelError> {
    let root = parse(text).map_err(|malformed| malformed.to_model_error())?;
    if !root.is(NETCONF_NAMESPACE, "config") {
        let what =
            format!("the file holds <{}> and should hold <config xmlns=\"{NETCONF_NAMESPACE}\">", root.name);
        return Err(ModelError::new(ErrorKind::UnknownElement, "", &root.name, what).at_line(root.line));
    }
    if let Some(attr) = root.attrs.first() {
        let what = format!("the attribute {} has no place here", quoted(&attr.name));
        return Err(ModelError::new(ErrorKind::UnknownAttribute, "", &attr.name, what).at_line(root.line));
    }
    let drafts = to_edit_nodes(schema, &root.children, false)?;
    let mut data = Data::from_edit_nodes(schema, &drafts)?;
    data.check_mandatory(schema)?;
    data.prune_empty(schema);
    Ok(data)
}

/// Such a file's text.
pub fn write_config(schema: &Schema, data: &Data) -> String {
    let root = Element::new(NETCONF_NAMESPACE, "config").with_children(to_elements(schema, data));
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{}", write(&root, true))
}
