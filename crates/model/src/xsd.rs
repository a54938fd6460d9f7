//! Generates an XML Schema (XSD 1.0) of the operator's file from the data model.

use std::fmt::Write;

use quick_xml::escape::escape;

use crate::schema::{Node, NodeId, NodeKind, Schema};
use crate::value::{Ranges, Type, Value};
use crate::xml::NETCONF_NAMESPACE;

/// Generates a schema document for each namespace that the file may contain. Returns their file names and texts. The
/// first defines the root element and imports the others.
pub fn documents(schema: &Schema) -> Vec<(String, String)> {
    let configuration_roots = |module: usize| -> Vec<NodeId> {
        let is_own_config = |id: &&NodeId| schema.node(**id).module == module && schema.node(**id).config;
        schema.roots.iter().filter(is_own_config).copied().collect()
    };
    let mut root = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    let schema_attributes = "xmlns:xs=\"http://www.w3.org/2001/XMLSchema\" elementFormDefault=\"qualified\"";
    let mut documents = Vec::new();
    let (mut imports, mut references, mut prefixes) = (String::new(), String::new(), String::new());
    for (index, module) in
        schema.modules.iter().enumerate().filter(|(index, _)| !configuration_roots(*index).is_empty())
    {
        let (name, namespace, prefix) =
            (format!("{}.xsd", module.name), escape(&*module.namespace), &module.prefix);
        _ = writeln!(imports, "  <xs:import namespace=\"{namespace}\" schemaLocation=\"{name}\"/>");
        _ = write!(prefixes, " xmlns:{prefix}=\"{namespace}\"");
        let mut text = format!(
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<xs:schema {schema_attributes} targetNamespace=\"{namespace}\">\n"
        );
        for id in configuration_roots(index) {
            _ = writeln!(
                references,
                "        <xs:element ref=\"{prefix}:{}\" minOccurs=\"0\"/>",
                schema.node(id).name
            );
            write_element(schema, id, 1, true, &mut text);
        }
        text.push_str("</xs:schema>\n");
        documents.push((name, text));
    }
    _ = writeln!(root, "<xs:schema {schema_attributes} targetNamespace=\"{NETCONF_NAMESPACE}\"{prefixes}>");
    _ = write!(
        root,
        "{imports}  <xs:element name=\"config\">\n    <xs:complexType>\n      <xs:all>\n{references}"
    );
    root.push_str("      </xs:all>\n    </xs:complexType>\n  </xs:element>\n</xs:schema>\n");
    documents.insert(0, ("juniperrail.xsd".into(), root));
    documents
}

/// Writes the element declaration of a node and its descendants.
fn write_element(schema: &Schema, id: NodeId, depth: usize, is_root: bool, text: &mut String) {
    let node = schema.node(id);
    let indent = "  ".repeat(depth);
    let occurs = match (&node.kind, is_root) {
        (_, true) => "",
        (NodeKind::Leaf { mandatory: true, .. }, _) => "",
        (NodeKind::Leaf { .. }, _) if is_key(schema, id) => "",
        (NodeKind::Leaf { .. } | NodeKind::Container { .. }, _) => " minOccurs=\"0\"",
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, _) => " minOccurs=\"0\" maxOccurs=\"unbounded\"",
    };
    let documentation = annotation(node, &indent);
    match &node.kind {
        NodeKind::Leaf { ty, default, .. } => {
            let default = default.as_ref().map(|value| format!(" default=\"{}\"", escape(value.to_string())));
            _ = writeln!(
                text,
                "{indent}<xs:element name=\"{}\"{occurs}{}>",
                node.name,
                default.unwrap_or_default()
            );
            text.push_str(&documentation);
            write_simple_type(ty, depth + 1, text);
        }
        NodeKind::LeafList { ty } => {
            _ = writeln!(text, "{indent}<xs:element name=\"{}\"{occurs}>", node.name);
            text.push_str(&documentation);
            write_simple_type(ty, depth + 1, text);
        }
        NodeKind::Container { .. } | NodeKind::List { .. } => {
            _ = writeln!(text, "{indent}<xs:element name=\"{}\"{occurs}>", node.name);
            text.push_str(&documentation);
            // Nodes other than keys may be in any order. Where some may occur more than once, XSD 1.0 can express this
            // only as a repeated choice, which does not limit how often each occurs; the program's parser checks that.
            let occurs_repeatedly = |id: &&NodeId| {
                matches!(schema.node(**id).kind, NodeKind::List { .. } | NodeKind::LeafList { .. })
            };
            let (open, close) = match node.children.iter().any(|id| occurs_repeatedly(&id)) {
                true => ("<xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">", "</xs:choice>"),
                false => ("<xs:all>", "</xs:all>"),
            };
            _ = writeln!(text, "{indent}  <xs:complexType>\n{indent}    {open}");
            for child in &node.children {
                write_element(schema, *child, depth + 3, false, text);
            }
            _ = writeln!(text, "{indent}    {close}\n{indent}  </xs:complexType>");
            for child in &node.children {
                write_unique(schema, *child, depth + 1, text);
            }
        }
    }
    _ = writeln!(text, "{indent}</xs:element>");
}

fn is_key(schema: &Schema, id: NodeId) -> bool {
    schema.node(id).parent.is_some_and(|parent| schema.node(parent).keys().contains(&id))
}

/// The annotation with the description of a node, which is joined into one line.
fn annotation(node: &Node, indent: &str) -> String {
    let words: Vec<&str> = node.description.split_whitespace().collect();
    let description = escape(words.join(" "));
    format!("{indent}  <xs:annotation>\n{indent}    <xs:documentation>{description}</xs:documentation>\n{indent}  </xs:annotation>\n")
}

/// Writes the constraint that no two entries of a list have the same keys. Writes nothing for other nodes.
fn write_unique(schema: &Schema, id: NodeId, depth: usize, text: &mut String) {
    let node = schema.node(id);
    if node.keys().is_empty() {
        return;
    }
    let (indent, prefix) = ("  ".repeat(depth), "of");
    let namespace = escape(&*schema.modules[node.module].namespace);
    _ = writeln!(text, "{indent}<xs:unique name=\"{}-{}\" xmlns:{prefix}=\"{namespace}\">", node.name, depth);
    _ = writeln!(text, "{indent}  <xs:selector xpath=\"{prefix}:{}\"/>", node.name);
    for key in node.keys() {
        _ = writeln!(text, "{indent}  <xs:field xpath=\"{prefix}:{}\"/>", schema.node(*key).name);
    }
    _ = writeln!(text, "{indent}</xs:unique>");
}

/// Writes the simple type of a leaf with its restrictions as facets.
fn write_simple_type(ty: &Type, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let mut facets = Vec::new();
    // XSD facets cannot express several ranges, so only the outermost bounds are written. The program's parser checks
    // the ranges themselves.
    let bounds = |ranges: &Ranges<i128>, bound_text: &dyn Fn(i128) -> String| {
        let (min, max) = (ranges[0].0, ranges[ranges.len() - 1].1);
        [("minInclusive", bound_text(min)), ("maxInclusive", bound_text(max))]
    };
    let base = match ty {
        Type::Integer { ranges, .. } => {
            facets.extend(bounds(ranges, &|bound| bound.to_string()));
            "xs:integer"
        }
        Type::Decimal { fraction_digits, ranges } => {
            facets
                .extend(bounds(ranges, &|bound| Value::Decimal(bound as i64, *fraction_digits).to_string()));
            facets.push(("fractionDigits", fraction_digits.to_string()));
            "xs:decimal"
        }
        Type::Text { lengths, patterns } => {
            let (min, max) = (lengths[0].0, lengths[lengths.len() - 1].1);
            facets.push(("minLength", min.to_string()));
            if max <= i128::from(u32::MAX) {
                facets.push(("maxLength", max.to_string()));
            }
            for pattern in patterns {
                let unanchored = pattern.as_str().strip_prefix("^(?:").and_then(|p| p.strip_suffix(")$"));
                facets.push(("pattern", unanchored.unwrap_or_default().to_string()));
            }
            "xs:string"
        }
        Type::Boolean => "xs:boolean",
        Type::Enumeration(names) => {
            facets.extend(names.iter().map(|name| ("enumeration", name.clone())));
            "xs:string"
        }
        Type::Empty => {
            facets.push(("length", "0".into()));
            "xs:string"
        }
    };
    _ = writeln!(text, "{indent}<xs:simpleType>\n{indent}  <xs:restriction base=\"{base}\">");
    for (facet, value) in facets {
        _ = writeln!(text, "{indent}    <xs:{facet} value=\"{}\"/>", escape(value));
    }
    _ = writeln!(text, "{indent}  </xs:restriction>\n{indent}</xs:simpleType>");
}
