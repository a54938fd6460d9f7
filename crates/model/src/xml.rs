//! XML: a tree of elements, parsed within limits and without document type declarations, and the XML encoding of data
//! (RFC 7950).

use std::collections::HashMap;
use std::fmt::Write;
use std::sync::Arc;

use quick_xml::escape::{escape, partial_escape};
use quick_xml::events::attributes::Attribute as ParsedAttribute;
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::{PrefixDeclaration, ResolveResult};
use quick_xml::{NsReader, XmlVersion};

use crate::data::{Content, Data};
use crate::edit_node::{EditNode, EditOperation};
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::quoted;

/// The NETCONF base namespace (RFC 6241), which also contains the `operation` attribute.
pub const NETCONF_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// The namespace of `xml:lang`, to which the prefix `xml` is always bound.
pub const XML_NAMESPACE: &str = "http://www.w3.org/XML/1998/namespace";

/// The deepest nesting of elements that is accepted. The built-in modules need eight levels; a document that is nested
/// ten thousand levels deep is an attack.
pub const MAX_DEPTH: usize = 64;
/// The most attributes and namespace declarations that are accepted on one element.
const MAX_ATTRIBUTES: usize = 64;

/// An attribute that is not a namespace declaration.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// The namespace, empty for an attribute without a prefix.
    pub namespace: Arc<str>,
    pub name: String,
    pub value: String,
}

/// An element with its child elements or its text. Comments and processing instructions are skipped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    pub namespace: Arc<str>,
    pub name: String,
    pub attributes: Vec<Attribute>,
    /// The prefixes and namespaces that this element declares, which values below it may use. The prefix of a default
    /// namespace is empty.
    pub prefixes: Vec<(String, String)>,
    pub text: String,
    pub children: Vec<Element>,
    /// The line of the start tag, or 0 if the element was not parsed.
    pub line: u32,
}

impl Element {
    /// An empty element.
    pub fn new(namespace: &str, name: &str) -> Element {
        Element { namespace: namespace.into(), name: name.into(), ..Element::default() }
    }

    /// An element that contains text.
    pub fn with_text(namespace: &str, name: &str, text: impl Into<String>) -> Element {
        Element { text: text.into(), ..Element::new(namespace, name) }
    }

    /// Adds a child element.
    pub fn with_child(mut self, child: Element) -> Element {
        self.children.push(child);
        self
    }

    /// Adds child elements.
    pub fn with_children(mut self, children: impl IntoIterator<Item = Element>) -> Element {
        self.children.extend(children);
        self
    }

    /// Whether the element has this namespace and name.
    pub fn is(&self, namespace: &str, name: &str) -> bool {
        &*self.namespace == namespace && self.name == name
    }

    /// The first child element with this namespace and name.
    pub fn child(&self, namespace: &str, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.is(namespace, name))
    }

    /// The value of an attribute.
    pub fn attribute(&self, namespace: &str, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|attribute| &*attribute.namespace == namespace && attribute.name == name)
            .map(|attribute| &*attribute.value)
    }

    /// The element with its attributes and declarations, but without its children.
    fn node_count(&self) -> usize {
        1 + self.attributes.len() + self.prefixes.len()
    }

    /// The text without leading and trailing white space.
    pub fn trimmed_text(&self) -> &str {
        self.text.trim()
    }
}

/// A document that is not well-formed XML or exceeds a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct XmlError {
    pub line: u32,
    pub message: String,
}

impl XmlError {
    /// Converts the error to one of the data model.
    pub fn to_model_error(&self) -> ModelError {
        ModelError::new(ErrorKind::Malformed, "", "", self.message.clone()).at_line(self.line)
    }
}

/// Parses a document and returns its root element. The caller limits the size of the text.
pub fn parse(text: &[u8]) -> Result<Element, XmlError> {
    parse_limited(text, usize::MAX)
}

/// Like [`parse`], for a document with at most `max_nodes` elements and attributes: each takes many times the memory of
/// the shortest text for it.
pub fn parse_limited(text: &[u8], max_nodes: usize) -> Result<Element, XmlError> {
    let text = std::str::from_utf8(text).map_err(|cause| {
        let line = 1 + text[..cause.valid_up_to()].iter().filter(|byte| **byte == b'\n').count() as u32;
        XmlError { line, message: "the text is not UTF-8".into() }
    })?;
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_comments = true;
    // The reader's position only increases, so each line end is counted once, up to the byte `counted_to`.
    let (mut counted_to, mut line) = (0, 1);
    let mut open_elements: Vec<Element> = Vec::new();
    let mut namespaces: HashMap<String, Arc<str>> = HashMap::new();
    let mut nodes = 0;
    loop {
        if nodes > max_nodes {
            let message = format!("the text has more than {max_nodes} elements and attributes");
            return Err(XmlError { line, message });
        }
        let start = (reader.buffer_position() as usize).min(text.len());
        line += text.as_bytes()[counted_to..start].iter().filter(|byte| **byte == b'\n').count() as u32;
        counted_to = start;
        let malformed = |message: String| XmlError { line, message };
        let event = reader.read_event().map_err(|cause| malformed(cause.to_string()))?;
        match event {
            Event::Start(tag) => {
                if open_elements.len() >= MAX_DEPTH {
                    return Err(malformed(format!("elements are nested more than {MAX_DEPTH} levels deep")));
                }
                let element = parse_tag(&reader, &tag, line, &mut namespaces).map_err(malformed)?;
                nodes += element.node_count();
                open_elements.push(element);
            }
            Event::Empty(tag) => {
                let element = parse_tag(&reader, &tag, line, &mut namespaces).map_err(malformed)?;
                nodes += element.node_count();
                match open_elements.last_mut() {
                    Some(parent) => parent.children.push(element),
                    None => return check_end(&mut reader, line).map(|()| element),
                }
            }
            Event::End(_) => {
                let element =
                    open_elements.pop().ok_or_else(|| malformed("an end tag without a start tag".into()))?;
                if !element.children.is_empty() && !element.text.trim().is_empty() {
                    return Err(malformed(format!("{} contains both text and elements", element.name)));
                }
                match open_elements.last_mut() {
                    Some(parent) => parent.children.push(element),
                    None => return check_end(&mut reader, line).map(|()| element),
                }
            }
            Event::Text(piece) => {
                let piece = piece.xml10_content();
                match open_elements.last_mut() {
                    Some(parent) => parent.text.push_str(check_characters(&piece).map_err(malformed)?),
                    None if piece.trim_matches(['\u{feff}', ' ', '\t', '\r', '\n']).is_empty() => {}
                    None => return Err(malformed("text outside the root element".into())),
                }
            }
            Event::CData(piece) => {
                let piece = piece.xml10_content();
                let parent = open_elements
                    .last_mut()
                    .ok_or_else(|| malformed("text outside the root element".into()))?;
                parent.text.push_str(check_characters(&piece).map_err(malformed)?);
            }
            Event::GeneralRef(name) => {
                let parent = open_elements
                    .last_mut()
                    .ok_or_else(|| malformed("text outside the root element".into()))?;
                let c = match name.resolve_char_ref() {
                    Ok(Some(c)) => c,
                    Ok(None) => predefined_entity(&name.xml10_content())
                        .ok_or_else(|| malformed("unknown entity".into()))?,
                    Err(cause) => return Err(malformed(cause.to_string())),
                };
                parent.text.push_str(check_characters(c.encode_utf8(&mut [0; 4])).map_err(malformed)?);
            }
            // Entities declared in a document type could expand without bound or include files.
            Event::DocType(_) => return Err(malformed("document type declarations are not allowed".into())),
            Event::Decl(declaration) if open_elements.is_empty() => {
                let is_utf8 = |name: &str| name.eq_ignore_ascii_case("utf-8");
                match declaration.encoding() {
                    Some(Ok(name)) if !is_utf8(&name) => {
                        return Err(malformed(format!("the encoding {name:?} is not UTF-8")))
                    }
                    _ => {}
                }
            }
            Event::Decl(_) => return Err(malformed("an XML declaration within an element".into())),
            Event::Comment(_) | Event::PI(_) => {}
            Event::Eof => {
                let message = match open_elements.last() {
                    Some(element) => format!("the text ends within the element {}", element.name),
                    None => "the text contains no element".into(),
                };
                return Err(malformed(message));
            }
        }
    }
}

/// Checks that only comments, processing instructions and white space follow the root element.
fn check_end(reader: &mut NsReader<&[u8]>, line: u32) -> Result<(), XmlError> {
    loop {
        let message = match reader.read_event() {
            Ok(Event::Eof) => return Ok(()),
            Ok(Event::Comment(_) | Event::PI(_)) => continue,
            Ok(Event::Text(text)) if text.xml10_content().trim().is_empty() => continue,
            Ok(_) => "unexpected content after the root element".to_string(),
            Err(cause) => cause.to_string(),
        };
        return Err(XmlError { line, message });
    }
}

/// Rejects characters that XML 1.0 section 2.2 does not allow, since they could not be written back.
fn check_characters(text: &str) -> Result<&str, String> {
    match text
        .chars()
        .find(|c| *c < ' ' && !matches!(c, '\t' | '\n' | '\r') || matches!(c, '\u{fffe}' | '\u{ffff}'))
    {
        Some(c) => Err(format!("the character {c:?} is not allowed in XML")),
        None => Ok(text),
    }
}

/// The character of a predefined entity (XML 1.0 section 4.6).
fn predefined_entity(name: &str) -> Option<char> {
    Some(match name {
        "lt" => '<',
        "gt" => '>',
        "amp" => '&',
        "quot" => '"',
        "apos" => '\'',
        _ => return None,
    })
}

/// Converts a start tag to an element without content. `namespaces` interns the names of namespaces, so that elements
/// share them.
fn parse_tag(
    reader: &NsReader<&[u8]>,
    tag: &BytesStart<'_>,
    line: u32,
    namespaces: &mut HashMap<String, Arc<str>>,
) -> Result<Element, String> {
    let mut intern = |name: &str| -> Arc<str> {
        namespaces.entry(name.to_string()).or_insert_with(|| name.into()).clone()
    };
    let mut namespace_of = |resolved: ResolveResult<'_>| match resolved {
        ResolveResult::Bound(namespace) => Ok(intern(namespace.as_ref())),
        ResolveResult::Unbound => Ok(intern("")),
        ResolveResult::Unknown(prefix) => Err(format!("the prefix {prefix:?} is not bound to a namespace")),
    };
    let (resolved, name) = reader.resolver().resolve_element(tag.name());
    let mut element = Element { namespace: namespace_of(resolved)?, line, ..Element::new("", name.as_ref()) };
    for (index, attribute) in tag.attributes().enumerate() {
        if index >= MAX_ATTRIBUTES {
            return Err(format!("{} has more than {MAX_ATTRIBUTES} attributes", element.name));
        }
        let attribute: ParsedAttribute<'_> = attribute.map_err(|cause| cause.to_string())?;
        let value = attribute.normalized_value(XmlVersion::Implicit1_0).map_err(|cause| cause.to_string())?;
        let value = check_characters(&value)?.to_string();
        match attribute.key.as_namespace_binding() {
            Some(PrefixDeclaration::Named(prefix)) => element.prefixes.push((prefix.to_string(), value)),
            Some(PrefixDeclaration::Default) => element.prefixes.push((String::new(), value)),
            None => {
                let (resolved, name) = reader.resolver().resolve_attribute(attribute.key);
                element.attributes.push(Attribute {
                    namespace: namespace_of(resolved)?,
                    name: name.as_ref().to_string(),
                    value,
                });
            }
        }
    }
    Ok(element)
}

/// Writes an element. Where the namespace changes, it is declared as the default namespace. With `indent`, each tag is
/// on an indented line of its own, except that an element with text takes a single line.
pub fn write(element: &Element, indent: bool) -> String {
    let mut text = String::new();
    write_element(&mut text, element, "", indent.then_some(0));
    // The text may stay queued for a long time if the peer reads slowly, and growth may have doubled its capacity.
    text.shrink_to_fit();
    text
}

fn write_element(text: &mut String, element: &Element, parent_namespace: &str, depth: Option<usize>) {
    let indent = |text: &mut String, depth: Option<usize>| {
        depth.into_iter().for_each(|depth| text.extend(std::iter::repeat_n("  ", depth)));
    };
    let end_line = |text: &mut String| _ = depth.is_some().then(|| text.push('\n'));
    indent(text, depth);
    _ = write!(text, "<{}", element.name);
    if &*element.namespace != parent_namespace {
        _ = write!(text, " xmlns=\"{}\"", escape(&*element.namespace));
    }
    for (prefix, namespace) in element.prefixes.iter().filter(|(prefix, _)| !prefix.is_empty()) {
        _ = write!(text, " xmlns:{prefix}=\"{}\"", escape(namespace.as_str()));
    }
    for (index, attribute) in element.attributes.iter().enumerate() {
        if &*attribute.namespace == XML_NAMESPACE {
            // No other prefix may be bound to this namespace.
            _ = write!(text, " xml:{}=\"{}\"", attribute.name, escape_attribute(&attribute.value));
        } else if attribute.namespace.is_empty() {
            _ = write!(text, " {}=\"{}\"", attribute.name, escape_attribute(&attribute.value));
        } else {
            let (name, namespace, value) =
                (&attribute.name, escape(&*attribute.namespace), escape_attribute(&attribute.value));
            _ = write!(text, " xmlns:a{index}=\"{namespace}\" a{index}:{name}=\"{value}\"");
        }
    }
    if element.children.is_empty() && element.text.is_empty() {
        text.push_str("/>");
    } else if element.children.is_empty() {
        // A carriage return that is not escaped would be parsed as a line end.
        // The greater-than sign is escaped as well, since `]]>]]>` ends a message in the framing of NETCONF 1.0.
        _ = write!(
            text,
            ">{}</{}>",
            partial_escape(element.text.as_str()).replace('\r', "&#13;"),
            element.name
        );
    } else {
        text.push('>');
        end_line(text);
        for child in &element.children {
            write_element(text, child, &element.namespace, depth.map(|depth| depth + 1));
        }
        indent(text, depth);
        _ = write!(text, "</{}>", element.name);
    }
    end_line(text);
}

/// Escapes the value of an attribute. Line ends and tabs would otherwise be normalized to spaces when it is parsed.
fn escape_attribute(value: &str) -> String {
    escape(value).replace('\n', "&#10;").replace('\r', "&#13;").replace('\t', "&#9;")
}

/// Writes data as elements.
pub fn to_elements(schema: &Schema, data: &Data) -> Vec<Element> {
    let mut elements = Vec::new();
    for (id, content) in data.iter() {
        let node = schema.node(id);
        let namespace = &*schema.modules[node.module].namespace;
        let entry = |data: &Data| {
            let mut children = self::to_elements(schema, data);
            // RFC 7950 section 7.8.5: the keys come first, in the order of the `key` statement.
            let key_position = |element: &Element| {
                node.keys()
                    .iter()
                    .position(|key| schema.node(*key).name == element.name)
                    .unwrap_or(usize::MAX)
            };
            children.sort_by_key(key_position);
            Element::new(namespace, &node.name).with_children(children)
        };
        match content {
            Content::Container(data) => elements
                .push(Element::new(namespace, &node.name).with_children(self::to_elements(schema, data))),
            Content::List(entries) => elements.extend(entries.values().map(entry)),
            Content::Leaf(value) => {
                elements.push(Element::with_text(namespace, &node.name, value.to_string()))
            }
            Content::LeafList(values) => {
                elements.extend(
                    values.iter().map(|value| Element::with_text(namespace, &node.name, value.to_string())),
                );
            }
        }
    }
    elements
}

/// Checks elements against the schema and converts them to edit nodes. Only configuration is accepted, and `operation`
/// attributes only if `operations_allowed` is true.
pub fn to_edit_nodes(
    schema: &Schema,
    elements: &[Element],
    operations_allowed: bool,
) -> Result<Vec<EditNode>, ModelError> {
    to_edit_nodes_below(schema, None, &Path::default(), elements, operations_allowed)
}

fn to_edit_nodes_below(
    schema: &Schema,
    parent: Option<NodeId>,
    parent_path: &Path,
    elements: &[Element],
    operations_allowed: bool,
) -> Result<Vec<EditNode>, ModelError> {
    elements
        .iter()
        .map(|element| to_edit_node(schema, parent, parent_path, element, operations_allowed))
        .collect()
}

fn to_edit_node(
    schema: &Schema,
    parent: Option<NodeId>,
    parent_path: &Path,
    element: &Element,
    operations_allowed: bool,
) -> Result<EditNode, ModelError> {
    let parent_text = parent_path.format(schema);
    let rejected = |kind, message: String| {
        Err(ModelError::new(kind, &*parent_text, &element.name, message).at_line(element.line))
    };
    let name = quoted(&element.name);
    let Some(module) = schema.modules.iter().position(|module| module.namespace == *element.namespace) else {
        return rejected(
            ErrorKind::UnknownNamespace,
            format!("{name} is in the unknown namespace {}", quoted(&element.namespace)),
        );
    };
    let Some(id) = schema.child(parent, &element.name, Some(module)) else {
        return rejected(ErrorKind::UnknownElement, format!("unexpected element {name}"));
    };
    let node = schema.node(id);
    if !node.config {
        return rejected(ErrorKind::NotConfiguration, format!("{name} is state data, which is read-only"));
    }
    let mut operation = None;
    for attribute in &element.attributes {
        if &*attribute.namespace != NETCONF_NAMESPACE || attribute.name != "operation" || !operations_allowed
        {
            let message = format!("unexpected attribute {}", quoted(&attribute.name));
            return Err(ModelError::new(
                ErrorKind::UnknownAttribute,
                &*parent_text,
                &attribute.name,
                message,
            )
            .at_line(element.line));
        }
        operation = Some(match attribute.value.as_str() {
            "merge" => EditOperation::Merge,
            "replace" => EditOperation::Replace,
            "create" => EditOperation::Create,
            "delete" => EditOperation::Delete,
            "remove" => EditOperation::Remove,
            other => {
                let message = format!("{} is not an edit operation", quoted(other));
                return Err(ModelError::new(ErrorKind::BadAttribute, &*parent_text, "operation", message)
                    .at_line(element.line));
            }
        });
    }
    let removes = matches!(operation, Some(EditOperation::Delete | EditOperation::Remove));
    let mut edit_node =
        EditNode { node: id, keys: vec![], value: None, operation, line: element.line, children: vec![] };
    match &node.kind {
        NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => {
            if let Some(child) = element.children.first() {
                return rejected(
                    ErrorKind::UnknownElement,
                    format!("unexpected element {} in the leaf {name}", quoted(&child.name)),
                );
            }
            // A leaf that is to be deleted may be given without its value.
            let needs_no_value =
                removes && element.text.is_empty() && matches!(node.kind, NodeKind::Leaf { .. });
            edit_node.value = match ty.parse(&element.text) {
                Ok(value) => Some(value),
                Err(_) if needs_no_value => None,
                Err(message) => {
                    let path = parent_path.child(Step::without_keys(id)).format(schema);
                    return Err(ModelError::new(ErrorKind::BadValue, path, &element.name, message)
                        .at_line(element.line));
                }
            };
        }
        NodeKind::Container { .. } | NodeKind::List { .. } => {
            if !element.text.trim().is_empty() {
                return rejected(ErrorKind::BadValue, format!("{name} must contain elements, not text"));
            }
            let mut step = Step::without_keys(id);
            for key in node.keys() {
                let key = schema.node(*key);
                let Some(key_element) = element
                    .children
                    .iter()
                    .find(|child| child.name == key.name && child.namespace == element.namespace)
                else {
                    let message = format!("the key {} is missing", key.name);
                    let path = parent_path.child(step).format(schema);
                    return Err(ModelError::new(ErrorKind::MissingElement, path, &key.name, message)
                        .at_line(element.line));
                };
                if let NodeKind::Leaf { ty, .. } = &key.kind {
                    let value = ty.parse(&key_element.text).map_err(|message| {
                        ModelError::new(
                            ErrorKind::BadValue,
                            parent_path.child(step.clone()).format(schema),
                            &key.name,
                            message,
                        )
                        .at_line(key_element.line)
                    })?;
                    edit_node.keys.push(value);
                }
            }
            step.keys = edit_node.keys.clone();
            edit_node.children = to_edit_nodes_below(
                schema,
                Some(id),
                &parent_path.child(step),
                &element.children,
                operations_allowed,
            )?;
            let is_key = |child: &&EditNode| node.keys().contains(&child.node);
            if let Some(key) =
                edit_node.children.iter().filter(is_key).find(|child| child.operation.is_some())
            {
                let path = parent_path.child(edit_node.step());
                return Err(key.error(
                    schema,
                    &path,
                    ErrorKind::BadAttribute,
                    "is a key, which must not have an operation",
                ));
            }
            if edit_node.children.iter().filter(is_key).count() > node.keys().len() {
                return Err(edit_node.error(
                    schema,
                    parent_path,
                    ErrorKind::Duplicate,
                    "has a key more than once",
                ));
            }
        }
    }
    Ok(edit_node)
}

/// Parses the text of an operator's file, whose root element is `config`. Only configuration is accepted, and no
/// mandatory leaf may be missing below a node that exists. Empty containers that carry no information are removed.
pub fn parse_config(schema: &Schema, text: &[u8]) -> Result<Data, ModelError> {
    let root = parse(text).map_err(|error| error.to_model_error())?;
    if !root.is(NETCONF_NAMESPACE, "config") {
        let message = format!("expected <config xmlns=\"{NETCONF_NAMESPACE}\">, found <{}>", root.name);
        return Err(ModelError::new(ErrorKind::UnknownElement, "", &root.name, message).at_line(root.line));
    }
    if let Some(attribute) = root.attributes.first() {
        let message = format!("unexpected attribute {}", quoted(&attribute.name));
        return Err(
            ModelError::new(ErrorKind::UnknownAttribute, "", &attribute.name, message).at_line(root.line)
        );
    }
    let edit_nodes = to_edit_nodes(schema, &root.children, false)?;
    let mut data = Data::from_edit_nodes(schema, &edit_nodes)?;
    data.check_mandatory(schema)?;
    data.prune_empty(schema);
    Ok(data)
}

/// Writes the text of an operator's file.
pub fn write_config(schema: &Schema, data: &Data) -> String {
    let root = Element::new(NETCONF_NAMESPACE, "config").with_children(to_elements(schema, data));
    format!("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n{}", write(&root, true))
}
