//! An XML schema (XSD 1.0) of the operators' file, written from the model.

use std::fmt::Write;

use quick_xml::escape::escape;

use crate::schema::{Node, NodeId, NodeKind, Schema};
use crate::value::{Ranges, Type, Value};
use crate::xml::NETCONF_NAMESPACE;

/// One schema document for each namespace that the file may hold, by file name. The first is the one to start
/// from; it names the others.
pub fn documents(schema: &Schema) -> Vec<(String, String)> {
    let configured = |module: usize| -> Vec<NodeId> {
        let ours = |id: &&NodeId| schema.node(**id).module == module && schema.node(**id).config;
        schema.roots.iter().filter(ours).copied().collect()
    };
    let mut root = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    let head = "xmlns:xs=\"http://www.w3.org/2001/XMLSchema\" elementFormDefault=\"qualified\"";
    let mut documents = Vec::new();
    let (mut imports, mut refs, mut spaces) = (String::new(), String::new(), String::new());
    for (place, module) in
        schema.modules.iter().enumerate().filter(|(place, _)| !configured(*place).is_empty())
    {
        let (name, ns, prefix) = (format!("{}.xsd", module.name), escape(&*module.namespace), &module.prefix);
        _ = writeln!(imports, "  <xs:import namespace=\"{ns}\" schemaLocation=\"{name}\"/>");
        _ = write!(spaces, " xmlns:{prefix}=\"{ns}\"");
        let mut text = format!(
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<xs:schema {head} targetNamespace=\"{ns}\">\n"
        );
        for id in configured(place) {
            _ = writeln!(
                refs,
                "        <xs:element ref=\"{prefix}:{}\" minOccurs=\"0\"/>",
                schema.node(id).name
            );
            node(schema, id, 1, true, &mut text);
        }
        text.push_str("</xs:schema>\n");
        documents.push((name, text));
    }
    _ = writeln!(root, "<xs:schema {head} targetNamespace=\"{NETCONF_NAMESPACE}\"{spaces}>");
    _ = write!(root, "{imports}  <xs:element name=\"config\">\n    <xs:complexType>\n      <xs:all>\n{refs}");
    root.push_str("      </xs:all>\n    </xs:complexType>\n  </xs:element>\n</xs:schema>\n");
    documents.insert(0, ("juniperrail.xsd".into(), root));
    documents
}

fn node(schema: &Schema, id: NodeId, depth: usize, top: bool, text: &mut String) {
    let of = schema.node(id);
    let pad = "  ".repeat(depth);
    let occurs = match (&of.kind, top) {
        (_, true) => "",
        (NodeKind::Leaf { mandatory: true, .. }, _) => "",
        (NodeKind::Leaf { .. }, _) if is_key(schema, id) => "",
        (NodeKind::Leaf { .. } | NodeKind::Container { .. }, _) => " minOccurs=\"0\"",
        (NodeKind::List { .. } | NodeKind::LeafList { .. }, _) => " minOccurs=\"0\" maxOccurs=\"unbounded\"",
    };
    let told = documented(of, &pad);
    match &of.kind {
        NodeKind::Leaf { ty, default, .. } => {
            let default = default.as_ref().map(|value| format!(" default=\"{}\"", escape(value.to_string())));
            _ = writeln!(
                text,
                "{pad}<xs:element name=\"{}\"{occurs}{}>",
                of.name,
                default.unwrap_or_default()
            );
            text.push_str(&told);
            simple(ty, depth + 1, text);
        }
        NodeKind::LeafList { ty } => {
            _ = writeln!(text, "{pad}<xs:element name=\"{}\"{occurs}>", of.name);
            text.push_str(&told);
            simple(ty, depth + 1, text);
        }
        NodeKind::Container { .. } | NodeKind::List { .. } => {
            _ = writeln!(text, "{pad}<xs:element name=\"{}\"{occurs}>", of.name);
            text.push_str(&told);
            // YANG lets other nodes come in any order, which XSD 1.0 says only by a choice over and over where
            // some come more than once; how often each comes the program checks itself.
            let many = |id: &&NodeId| {
                matches!(schema.node(**id).kind, NodeKind::List { .. } | NodeKind::LeafList { .. })
            };
            let (open, close) = match of.children.iter().any(|id| many(&id)) {
                true => ("<xs:choice minOccurs=\"0\" maxOccurs=\"unbounded\">", "</xs:choice>"),
                false => ("<xs:all>", "</xs:all>"),
            };
            _ = writeln!(text, "{pad}  <xs:complexType>\n{pad}    {open}");
            for child in &of.children {
                node(schema, *child, depth + 3, false, text);
            }
            _ = writeln!(text, "{pad}    {close}\n{pad}  </xs:complexType>");
            for child in &of.children {
                unique(schema, *child, depth + 1, text);
            }
        }
    }
    _ = writeln!(text, "{pad}</xs:element>");
}

fn is_key(schema: &Schema, id: NodeId) -> bool {
    schema.node(id).parent.is_some_and(|parent| schema.node(parent).keys().contains(&id))
}

fn documented(of: &Node, pad: &str) -> String {
    let words: Vec<&str> = of.description.split_whitespace().collect();
    let told = escape(words.join(" "));
    format!("{pad}  <xs:annotation>\n{pad}    <xs:documentation>{told}</xs:documentation>\n{pad}  </xs:annotation>\n")
}

/// No two entries of a list have the same keys.
fn unique(schema: &Schema, id: NodeId, depth: usize, text: &mut String) {
    let of = schema.node(id);
    if of.keys().is_empty() {
        return;
    }
    let (pad, prefix) = ("  ".repeat(depth), "of");
    let ns = escape(&*schema.modules[of.module].namespace);
    _ = writeln!(text, "{pad}<xs:unique name=\"{}-{}\" xmlns:{prefix}=\"{ns}\">", of.name, depth);
    _ = writeln!(text, "{pad}  <xs:selector xpath=\"{prefix}:{}\"/>", of.name);
    for key in of.keys() {
        _ = writeln!(text, "{pad}  <xs:field xpath=\"{prefix}:{}\"/>", schema.node(*key).name);
    }
    _ = writeln!(text, "{pad}</xs:unique>");
}

fn simple(ty: &Type, depth: usize, text: &mut String) {
    let pad = "  ".repeat(depth);
    let mut facets = Vec::new();
    let bounds = |ranges: &Ranges<i128>, plain: &dyn Fn(i128) -> String| {
        let (least, most) = (ranges[0].0, ranges[ranges.len() - 1].1);
        [("minInclusive", plain(least)), ("maxInclusive", plain(most))]
    };
    let base = match ty {
        Type::Integer { ranges, .. } => {
            facets.extend(bounds(ranges, &|bound| bound.to_string()));
            "xs:integer"
        }
        Type::Decimal { digits, ranges } => {
            facets.extend(bounds(ranges, &|bound| Value::Decimal(bound as i64, *digits).to_string()));
            facets.push(("fractionDigits", digits.to_string()));
            "xs:decimal"
        }
        Type::Text { lengths, patterns } => {
            let (least, most) = (lengths[0].0, lengths[lengths.len() - 1].1);
            facets.push(("minLength", least.to_string()));
            if most <= i128::from(u32::MAX) {
                facets.push(("maxLength", most.to_string()));
            }
            for pattern in patterns {
                let plain = pattern.as_str().strip_prefix("^(?:").and_then(|p| p.strip_suffix(")$"));
                facets.push(("pattern", plain.unwrap_or_default().to_string()));
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
    _ = writeln!(text, "{pad}<xs:simpleType>\n{pad}  <xs:restriction base=\"{base}\">");
    for (facet, value) in facets {
        _ = writeln!(text, "{pad}    <xs:{facet} value=\"{}\"/>", escape(value));
    }
    _ = writeln!(text, "{pad}  </xs:restriction>\n{pad}</xs:simpleType>");
}
