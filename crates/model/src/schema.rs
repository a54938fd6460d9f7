//! Schema nodes, parsed from the text of YANG modules. Statements that the built-in modules do not use (choice,
//! augment, groupings, must, when) are rejected by name, so that no statement is silently ignored.

use std::collections::HashMap;

use regex::Regex;

use crate::value::{parse_decimal, Ranges, Type, Value};
use crate::yang::{self, Statement};

/// Identifies a node by its index in its [`Schema`]. Ids are ordered as the nodes are defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(u32);

/// A YANG module.
#[derive(Clone, Debug)]
pub struct Module {
    pub name: String,
    pub namespace: String,
    pub prefix: String,
    /// The date of the first `revision` statement, by convention that of the latest revision.
    pub revision: String,
    pub description: String,
    /// The unchanged text of the module.
    pub text: String,
}

/// The kind of a schema node with its properties.
#[derive(Clone, Debug)]
pub enum NodeKind {
    Container {
        /// Whether its existence carries meaning (RFC 7950 section 7.5.1).
        presence: bool,
    },
    List {
        /// The key leaves, in the order of the `key` statement.
        keys: Vec<NodeId>,
    },
    Leaf {
        ty: Type,
        default: Option<Value>,
        /// Whether the leaf must exist wherever its parent exists.
        mandatory: bool,
    },
    /// Its values are unique and ordered.
    LeafList { ty: Type },
}

/// A schema node.
#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    /// The index of its module in [`Schema::modules`].
    pub module: usize,
    /// `None` for a top-level node, a notification or an input parameter of an RPC.
    pub parent: Option<NodeId>,
    pub kind: NodeKind,
    /// Whether the node is configuration; otherwise it is state, which is read-only.
    pub config: bool,
    pub description: String,
    pub children: Vec<NodeId>,
}

impl Node {
    /// The key leaves of a list; empty for other nodes.
    pub fn keys(&self) -> &[NodeId] {
        match &self.kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }
}

/// YANG modules and their schema nodes.
#[derive(Clone, Debug)]
pub struct Schema {
    pub modules: Vec<Module>,
    nodes: Vec<Node>,
    /// The top-level data nodes of all modules, in the order of the modules.
    pub roots: Vec<NodeId>,
    /// Notifications, which are not data nodes and so not among the roots.
    pub notifications: Vec<NodeId>,
}

/// The supported data definition statements.
const DATA_DEFINITIONS: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Statements that are only documentation.
const DOCUMENTATION: [&str; 6] = ["description", "reference", "units", "status", "organization", "contact"];

/// Derived types by the index of the module that defines them and by name.
type Typedefs = HashMap<(usize, String), Type>;

/// Builds a schema from the statements of its modules.
struct SchemaBuilder {
    schema: Schema,
    typedefs: Typedefs,
    /// For each module, the module indices that its prefixes refer to.
    prefixes: Vec<HashMap<String, usize>>,
}

impl Schema {
    /// Parses modules from their names and texts. Each module must come after those that it imports. The error names
    /// the module, the line and the statement.
    pub fn parse(modules: &[(&str, &str)]) -> Result<Schema, String> {
        let empty = Schema { modules: vec![], nodes: vec![], roots: vec![], notifications: vec![] };
        let mut builder = SchemaBuilder { schema: empty, typedefs: HashMap::new(), prefixes: Vec::new() };
        for (name, text) in modules {
            builder.add_module(text).map_err(|error| format!("{name}: {error}"))?;
        }
        Ok(builder.schema)
    }

    /// The node with this id, which must be of this schema.
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.0 as usize]
    }

    /// The ids of all nodes, including those of notifications and of the input of RPCs.
    pub fn node_ids(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len() as u32).map(NodeId)
    }

    /// The module that defines a node.
    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.node(id).module]
    }

    /// The index of the module of this name in [`Schema::modules`].
    pub fn module_index(&self, name: &str) -> Option<usize> {
        self.modules.iter().position(|module| module.name == name)
    }

    /// The children of a node, or the top-level nodes for `None`.
    pub fn children_of(&self, parent: Option<NodeId>) -> &[NodeId] {
        parent.map_or(&self.roots, |parent| &self.node(parent).children)
    }

    /// The child of a node, or the top-level node for `None`, with this name. Names may clash between modules: without
    /// a module, the first node of the name is returned.
    pub fn child(&self, parent: Option<NodeId>, name: &str, module: Option<usize>) -> Option<NodeId> {
        let matches = |id: &&NodeId| {
            let node = self.node(**id);
            node.name == name && module.is_none_or(|module| node.module == module)
        };
        self.children_of(parent).iter().find(matches).copied()
    }

    /// The node at a path of names from the root. In the built-in modules the name of each node is unique among its
    /// siblings.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        names.iter().try_fold(None, |parent, name| self.child(parent, name, None).map(Some)).flatten()
    }

    /// Whether the name of the node must be qualified with its module, because it is a top-level node or its parent is
    /// defined in another module (RFC 7951 section 4).
    pub fn is_namespace_qualified(&self, id: NodeId) -> bool {
        let node = self.node(id);
        node.parent.is_none_or(|parent| self.node(parent).module != node.module)
    }
}

impl SchemaBuilder {
    /// Parses a module and adds its types and nodes.
    fn add_module(&mut self, text: &str) -> Result<(), String> {
        let module = yang::parse(text)?;
        if module.keyword != "module" {
            return Err(format!("line {}: expected a module, found {}", module.line, module.keyword));
        }
        let required = |keyword: &str| {
            let text = module.argument_of(keyword).ok_or_else(|| format!("{keyword} is missing"))?;
            Ok::<String, String>(text.to_string())
        };
        let module_index = self.schema.modules.len();
        let prefix = required("prefix")?;
        let mut prefixes = HashMap::from([(prefix.clone(), module_index)]);
        for import in module.all("import") {
            let imported = self.schema.module_index(&import.argument);
            let imported = imported
                .ok_or_else(|| format!("line {}: unknown module {}", import.line, import.argument))?;
            let prefix = import.argument_of("prefix");
            let prefix = prefix.ok_or_else(|| format!("line {}: the import has no prefix", import.line))?;
            prefixes.insert(prefix.to_string(), imported);
        }
        self.prefixes.push(prefixes);
        self.schema.modules.push(Module {
            name: module.argument.clone(),
            namespace: required("namespace")?,
            prefix,
            revision: required("revision")?,
            description: module.argument_of("description").unwrap_or_default().to_string(),
            text: text.to_string(),
        });
        for typedef in module.all("typedef") {
            check_substatements(typedef, &["type", "default"])?;
            let ty = self.resolve_type(typedef, module_index)?;
            self.typedefs.insert((module_index, typedef.argument.clone()), ty);
        }
        for statement in &module.substatements {
            match statement.keyword.as_str() {
                "yang-version" | "namespace" | "prefix" | "import" | "revision" | "typedef" => {}
                keyword if DOCUMENTATION.contains(&keyword) => {}
                keyword if DATA_DEFINITIONS.contains(&keyword) => {
                    let node = self.add_node(statement, module_index, None, true)?;
                    self.schema.roots.push(node);
                }
                "notification" => {
                    let node = self.add_node(statement, module_index, None, false)?;
                    self.schema.notifications.push(node);
                }
                // The front ends parse the parameters of RPCs. Here only their definitions are checked.
                "rpc" => {
                    check_substatements(statement, &["input"])?;
                    for input in statement.all("input") {
                        check_substatements(input, &DATA_DEFINITIONS)?;
                        for parameter in &input.substatements {
                            self.add_node(parameter, module_index, None, false)?;
                        }
                    }
                }
                other => return Err(format!("line {}: {other} is not supported", statement.line)),
            }
        }
        Ok(())
    }

    /// Adds a node and its descendants.
    fn add_node(
        &mut self,
        statement: &Statement,
        module: usize,
        parent: Option<NodeId>,
        config: bool,
    ) -> Result<NodeId, String> {
        let config = config && statement.argument_of("config") != Some("false");
        let (name, line) = (statement.argument.clone(), statement.line);
        if self.schema.child(parent, &name, Some(module)).is_some() {
            return Err(format!("line {line}: {name} is defined twice"));
        }
        let mandatory = statement.argument_of("mandatory") == Some("true");
        let mut key_names = Vec::new();
        let kind = match statement.keyword.as_str() {
            "container" | "notification" => {
                check_substatements(
                    statement,
                    &["container", "list", "leaf", "leaf-list", "presence", "config"],
                )?;
                NodeKind::Container { presence: statement.get("presence").is_some() }
            }
            "list" => {
                check_substatements(statement, &["container", "list", "leaf", "leaf-list", "key", "config"])?;
                let keys = statement
                    .argument_of("key")
                    .ok_or_else(|| format!("line {line}: the list has no key"))?;
                key_names = keys.split_whitespace().map(str::to_string).collect();
                NodeKind::List { keys: Vec::new() }
            }
            "leaf" => {
                check_substatements(statement, &["type", "default", "mandatory", "config"])?;
                let ty = self.resolve_type(statement, module)?;
                let default = statement.argument_of("default").map(|text| ty.parse(text)).transpose();
                let default = default.map_err(|error| format!("line {line}: the default {error}"))?;
                NodeKind::Leaf { ty, default, mandatory }
            }
            "leaf-list" => {
                check_substatements(statement, &["type", "config"])?;
                NodeKind::LeafList { ty: self.resolve_type(statement, module)? }
            }
            other => return Err(format!("line {line}: {other} is not a data definition")),
        };
        let id = NodeId(self.schema.nodes.len() as u32);
        let description = statement.argument_of("description").unwrap_or_default().to_string();
        self.schema.nodes.push(Node { name, module, parent, kind, config, description, children: vec![] });
        for child in
            statement.substatements.iter().filter(|child| DATA_DEFINITIONS.contains(&child.keyword.as_str()))
        {
            let child_id = self.add_node(child, module, Some(id), config)?;
            self.schema.nodes[id.0 as usize].children.push(child_id);
        }
        let key_leaf = |name: &String| {
            let node = self.schema.child(Some(id), name, Some(module));
            let leaf = node.filter(|id| matches!(self.schema.node(*id).kind, NodeKind::Leaf { .. }));
            leaf.ok_or_else(|| format!("line {line}: the key {name} is not a leaf"))
        };
        let key_ids = key_names.iter().map(key_leaf).collect::<Result<Vec<NodeId>, String>>()?;
        if let NodeKind::List { keys } = &mut self.schema.nodes[id.0 as usize].kind {
            *keys = key_ids;
        }
        Ok(id)
    }

    /// The type of a typedef, leaf or leaf-list with its restrictions.
    fn resolve_type(&self, parent: &Statement, module: usize) -> Result<Type, String> {
        let ty = parent
            .get("type")
            .ok_or_else(|| format!("line {}: {} has no type", parent.line, parent.keyword))?;
        let (prefix, name) = ty.argument.split_once(':').unwrap_or(("", &ty.argument));
        let at_line = |error: String| format!("line {}: {error}", ty.line);
        let defining_module = match prefix {
            "" => module,
            prefix => *self.prefixes[module]
                .get(prefix)
                .ok_or_else(|| at_line(format!("unknown prefix {prefix}")))?,
        };
        let typedef = || self.typedefs.get(&(defining_module, name.to_string())).cloned();
        let builtin = Type::builtin(name).filter(|_| prefix.is_empty());
        let base =
            builtin.or_else(typedef).ok_or_else(|| at_line(format!("unknown type {}", ty.argument)))?;
        restrict(base, ty).map_err(at_line)
    }
}

/// Checks that a statement has no substatements other than those with the given keywords and documentation.
fn check_substatements(statement: &Statement, keywords: &[&str]) -> Result<(), String> {
    let is_unsupported =
        |s: &&Statement| !keywords.contains(&&*s.keyword) && !DOCUMENTATION.contains(&&*s.keyword);
    match statement.substatements.iter().find(is_unsupported) {
        Some(other) => {
            Err(format!("line {}: {} is not supported in {}", other.line, other.keyword, statement.keyword))
        }
        None => Ok(()),
    }
}

/// Applies the substatements of a `type` statement to its base type.
fn restrict(base: Type, restrictions: &Statement) -> Result<Type, String> {
    let keywords = match &base {
        Type::Integer { .. } => &["range"][..],
        Type::Decimal { .. } => &["range", "fraction-digits"],
        Type::Text { .. } => &["length", "pattern"],
        Type::Enumeration(_) => &["enum"],
        Type::Boolean | Type::Empty => &[],
    };
    check_substatements(restrictions, keywords)?;
    Ok(match base {
        Type::Integer { is_64_bit, ranges } => Type::Integer {
            is_64_bit,
            ranges: narrow(ranges, restrictions.argument_of("range"), |text| text.parse().ok())?,
        },
        Type::Decimal { fraction_digits, mut ranges } => {
            let fraction_digits = match restrictions.argument_of("fraction-digits") {
                Some(text) => text.parse().ok().filter(|fraction_digits| (1..=18).contains(fraction_digits)),
                None => Some(fraction_digits),
            };
            let fraction_digits = fraction_digits.ok_or("fraction-digits must be within 1..18")?;
            ranges = narrow(ranges, restrictions.argument_of("range"), |text| {
                parse_decimal(text, fraction_digits)
            })?;
            Type::Decimal { fraction_digits, ranges }
        }
        Type::Text { lengths, mut patterns } => {
            for pattern in restrictions.all("pattern") {
                // YANG patterns are XSD regular expressions, which are implicitly anchored. The built-in modules use
                // only syntax that has the same meaning in both dialects.
                let pattern = Regex::new(&format!("^(?:{})$", pattern.argument));
                patterns.push(pattern.map_err(|error| error.to_string())?);
            }
            let lengths = narrow(lengths, restrictions.argument_of("length"), |text| text.parse().ok())?;
            Type::Text { lengths, patterns }
        }
        Type::Enumeration(names) => {
            let given: Vec<String> = restrictions.all("enum").map(|name| name.argument.clone()).collect();
            Type::Enumeration(if given.is_empty() { names } else { given })
        }
        other => other,
    })
}

/// Parses the argument of a `range` or `length` statement, whose bounds must lie within those of the base type. Without
/// the statement the ranges of the base type apply.
fn narrow(
    base: Ranges<i128>,
    argument: Option<&str>,
    parse: impl Fn(&str) -> Option<i128>,
) -> Result<Ranges<i128>, String> {
    let Some(argument) = argument else { return Ok(base) };
    let (min, max) = (base[0].0, base[base.len() - 1].1);
    let bound = |text: &str| match text.trim() {
        "min" => Some(min),
        "max" => Some(max),
        text => parse(text),
    };
    let range = |part: &str| {
        let (low, high) = part.split_once("..").unwrap_or((part, part));
        let range = (bound(low)?, bound(high)?);
        (min <= range.0 && range.0 <= range.1 && range.1 <= max).then_some(range)
    };
    let ranges: Option<Ranges<i128>> = argument.split('|').map(range).collect();
    ranges.ok_or_else(|| format!("the range {argument:?} is not valid for its type"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn module(body: &str) -> Result<Schema, String> {
        let head = "module m { yang-version 1.1; namespace \"urn:m\"; prefix m; revision 2026-01-01;";
        Schema::parse(&[("m", &format!("{head}\n{body} }}"))])
    }

    #[test]
    fn the_built_in_modules_have_their_types_and_keys() {
        let schema = crate::schema();
        let worker = schema.find(&["workers", "worker"]).unwrap();
        assert_eq!(schema.node(schema.node(worker).keys()[0]).name, "name");
        let weight = schema.find(&["workers", "worker", "weight"]).unwrap();
        let NodeKind::Leaf { ty, .. } = &schema.node(weight).kind else { panic!("expected a leaf") };
        assert_eq!(ty.parse("0.5").unwrap(), Value::Decimal(5000, 4));
        assert!(ty.parse("1000.1").unwrap_err().contains("not within 0.0..1000.0"));
        let grace = schema.find(&["figures", "drain-grace"]).unwrap();
        let NodeKind::Leaf { ty, .. } = &schema.node(grace).kind else { panic!("expected a leaf") };
        assert!(
            ty.parse("0").unwrap_err().contains("within 1.0..3600000.0"),
            "the leaf must narrow the range of its derived type"
        );
        let state = schema.find(&["state", "proxies", "proxy", "operation", "level"]).unwrap();
        assert!(!schema.node(state).config && schema.node(worker).config);
        assert_eq!(schema.notifications.len(), 1);
        for id in schema.node_ids() {
            assert!(!schema.node(id).description.is_empty(), "{} has no description", schema.node(id).name);
        }
    }

    #[test]
    fn unsupported_or_invalid_statements_are_rejected_by_name() {
        for (body, expected) in [
            ("choice a;", "line 2: choice is not supported"),
            ("container a { must \"b\"; }", "must is not supported in container"),
            ("leaf a;", "line 2: leaf has no type"),
            ("leaf a { type b; }", "unknown type b"),
            ("leaf a { type c:b; }", "unknown prefix c"),
            ("leaf a { type uint8 { range \"0..256\"; } }", "the range \"0..256\" is not valid for its type"),
            ("leaf a { type uint8 { pattern b; } }", "pattern is not supported in type"),
            ("leaf a { type uint8; default 256; }", "the default 256 is not within 0..255"),
            ("leaf a { type string { pattern \"(\"; } }", "unclosed group"),
            ("leaf a { type decimal64 { fraction-digits 19; } }", "fraction-digits"),
            ("list a { leaf b { type string; } }", "the list has no key"),
            ("list a { key b; container b; }", "the key b is not a leaf"),
            ("leaf a { type string; } leaf a { type string; }", "a is defined twice"),
            ("import n { prefix n; }", "unknown module n"),
        ] {
            let error = module(body).unwrap_err();
            assert!(error.contains(expected), "{body}: {error}");
        }
        assert!(module("leaf a { type string { pattern \"[a-z]\"; } }").is_ok());
    }
}
