//! Schema nodes, read from the text of YANG modules. What these modules do not use (choice, augment, groupings,
//! must, when) is refused by name, so that nothing in a module is silently without effect.

use std::collections::HashMap;

use regex::Regex;

use crate::value::{decimal, Ranges, Type, Value};
use crate::yang::{self, Statement};

/// A schema node by its place in its [`Schema`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(u32);

#[derive(Clone, Debug)]
pub struct Module {
    pub name: String,
    pub namespace: String,
    pub prefix: String,
    pub revision: String,
    pub description: String,
    /// The text it was read from, as it came.
    pub text: String,
}

#[derive(Clone, Debug)]
pub enum NodeKind {
    Container {
        /// Its being there says something by itself.
        presence: bool,
    },
    List {
        keys: Vec<NodeId>,
    },
    Leaf {
        ty: Type,
        default: Option<Value>,
        mandatory: bool,
    },
    /// Without an order of its own, each value once.
    LeafList {
        ty: Type,
    },
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    /// The place of its module in [`Schema::modules`].
    pub module: usize,
    pub parent: Option<NodeId>,
    pub kind: NodeKind,
    /// Configuration, or state that can be read only.
    pub config: bool,
    pub description: String,
    pub children: Vec<NodeId>,
}

impl Node {
    pub fn keys(&self) -> &[NodeId] {
        match &self.kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }
}

/// Modules and their nodes.
#[derive(Clone, Debug)]
pub struct Schema {
    pub modules: Vec<Module>,
    nodes: Vec<Node>,
    /// The nodes at the top, of all modules in their order.
    pub roots: Vec<NodeId>,
    /// Notifications are no data, so they are not among the roots.
    pub notifications: Vec<NodeId>,
}

const DATA: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Statements that say something to a reader only.
const TOLD: [&str; 6] = ["description", "reference", "units", "status", "organization", "contact"];

/// Types by their module and name.
type Typedefs = HashMap<(usize, String), Type>;

struct Reader {
    schema: Schema,
    typedefs: Typedefs,
    /// What each module's prefixes stand for.
    prefixes: Vec<HashMap<String, usize>>,
}

impl Schema {
    /// Reads modules, each after those it imports. The error names the module, the line and the statement.
    pub fn parse(modules: &[(&str, &str)]) -> Result<Schema, String> {
        let empty = Schema { modules: vec![], nodes: vec![], roots: vec![], notifications: vec![] };
        let mut reader = Reader { schema: empty, typedefs: HashMap::new(), prefixes: Vec::new() };
        for (name, text) in modules {
            reader.module(text).map_err(|why| format!("{name}: {why}"))?;
        }
        Ok(reader.schema)
    }

    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.0 as usize]
    }

    pub fn node_ids(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len() as u32).map(NodeId)
    }

    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.node(id).module]
    }

    pub fn module_index(&self, name: &str) -> Option<usize> {
        self.modules.iter().position(|module| module.name == name)
    }

    /// The nodes below one, or at the top.
    pub fn children_of(&self, parent: Option<NodeId>) -> &[NodeId] {
        parent.map_or(&self.roots, |parent| &self.node(parent).children)
    }

    /// The node of that name below another, or at the top. Names are told apart by module there.
    pub fn child(&self, parent: Option<NodeId>, name: &str, module: Option<usize>) -> Option<NodeId> {
        let fits = |id: &&NodeId| {
            let node = self.node(**id);
            node.name == name && module.is_none_or(|module| node.module == module)
        };
        self.children_of(parent).iter().find(fits).copied()
    }

    /// A node by names from the top, each of which is unique at its place in our modules.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        names.iter().try_fold(None, |at, name| self.child(at, name, None).map(Some)).flatten()
    }

    /// Whether the node starts a module's own part of the tree: names are then spelled with the module.
    pub fn is_namespace_qualified(&self, id: NodeId) -> bool {
        let node = self.node(id);
        node.parent.is_none_or(|parent| self.node(parent).module != node.module)
    }
}

impl Reader {
    fn module(&mut self, text: &str) -> Result<(), String> {
        let module = yang::read(text)?;
        if module.keyword != "module" {
            return Err(format!("line {}: {} is no module", module.line, module.keyword));
        }
        let told = |keyword: &str| {
            let text = module.text(keyword).ok_or_else(|| format!("{keyword} is missing"))?;
            Ok::<String, String>(text.to_string())
        };
        let (here, prefix) = (self.schema.modules.len(), told("prefix")?);
        let mut prefixes = HashMap::from([(prefix.clone(), here)]);
        for import in module.all("import") {
            let known = self.schema.module_index(&import.argument);
            let known =
                known.ok_or_else(|| format!("line {}: no module {}", import.line, import.argument))?;
            let prefix = import.text("prefix").ok_or_else(|| format!("line {}: no prefix", import.line))?;
            prefixes.insert(prefix.to_string(), known);
        }
        self.prefixes.push(prefixes);
        self.schema.modules.push(Module {
            name: module.argument.clone(),
            namespace: told("namespace")?,
            prefix,
            revision: told("revision")?,
            description: module.text("description").unwrap_or_default().to_string(),
            text: text.to_string(),
        });
        for typedef in module.all("typedef") {
            allowed(typedef, &["type", "default"])?;
            let ty = self.ty(typedef, here)?;
            self.typedefs.insert((here, typedef.argument.clone()), ty);
        }
        for statement in &module.below {
            match statement.keyword.as_str() {
                "yang-version" | "namespace" | "prefix" | "import" | "revision" | "typedef" => {}
                keyword if TOLD.contains(&keyword) => {}
                keyword if DATA.contains(&keyword) => {
                    let node = self.node(statement, here, None, true)?;
                    self.schema.roots.push(node);
                }
                "notification" => {
                    let node = self.node(statement, here, None, false)?;
                    self.schema.notifications.push(node);
                }
                // The fronts read what an operation takes; here it only has to be sound.
                "rpc" => {
                    allowed(statement, &["input"])?;
                    for input in statement.all("input") {
                        allowed(input, &DATA)?;
                        for below in &input.below {
                            self.node(below, here, None, false)?;
                        }
                    }
                }
                other => return Err(format!("line {}: {other} is not supported", statement.line)),
            }
        }
        Ok(())
    }

    fn node(
        &mut self,
        statement: &Statement,
        module: usize,
        parent: Option<NodeId>,
        config: bool,
    ) -> Result<NodeId, String> {
        let config = config && statement.text("config") != Some("false");
        let (name, line) = (statement.argument.clone(), statement.line);
        if self.schema.child(parent, &name, Some(module)).is_some() {
            return Err(format!("line {line}: {name} stands here twice"));
        }
        let mandatory = statement.text("mandatory") == Some("true");
        let mut names = Vec::new();
        let kind = match statement.keyword.as_str() {
            "container" | "notification" => {
                allowed(statement, &["container", "list", "leaf", "leaf-list", "presence", "config"])?;
                NodeKind::Container { presence: statement.get("presence").is_some() }
            }
            "list" => {
                allowed(statement, &["container", "list", "leaf", "leaf-list", "key", "config"])?;
                let keys = statement.text("key").ok_or_else(|| format!("line {line}: no key"))?;
                names = keys.split_whitespace().map(str::to_string).collect();
                NodeKind::List { keys: Vec::new() }
            }
            "leaf" => {
                allowed(statement, &["type", "default", "mandatory", "config"])?;
                let ty = self.ty(statement, module)?;
                let default = statement.text("default").map(|text| ty.parse(text)).transpose();
                let default = default.map_err(|why| format!("line {line}: the default {why}"))?;
                NodeKind::Leaf { ty, default, mandatory }
            }
            "leaf-list" => {
                allowed(statement, &["type", "config"])?;
                NodeKind::LeafList { ty: self.ty(statement, module)? }
            }
            other => return Err(format!("line {line}: {other} is no data")),
        };
        let id = NodeId(self.schema.nodes.len() as u32);
        let description = statement.text("description").unwrap_or_default().to_string();
        self.schema.nodes.push(Node { name, module, parent, kind, config, description, children: vec![] });
        for below in statement.below.iter().filter(|below| DATA.contains(&below.keyword.as_str())) {
            let child = self.node(below, module, Some(id), config)?;
            self.schema.nodes[id.0 as usize].children.push(child);
        }
        let key = |name: &String| {
            let found = self.schema.child(Some(id), name, Some(module));
            let leaf = found.filter(|id| matches!(self.schema.node(*id).kind, NodeKind::Leaf { .. }));
            leaf.ok_or_else(|| format!("line {line}: the key {name} is no leaf"))
        };
        let found = names.iter().map(key).collect::<Result<Vec<NodeId>, String>>()?;
        if let NodeKind::List { keys } = &mut self.schema.nodes[id.0 as usize].kind {
            *keys = found;
        }
        Ok(id)
    }

    fn ty(&self, of: &Statement, module: usize) -> Result<Type, String> {
        let ty = of.get("type").ok_or_else(|| format!("line {}: no type", of.line))?;
        let (prefix, name) = ty.argument.split_once(':').unwrap_or(("", &ty.argument));
        let at = |why: String| format!("line {}: {why}", ty.line);
        let home = match prefix {
            "" => module,
            prefix => *self.prefixes[module].get(prefix).ok_or_else(|| at(format!("no prefix {prefix}")))?,
        };
        let typedef = || self.typedefs.get(&(home, name.to_string())).cloned();
        let builtin = Type::builtin(name).filter(|_| prefix.is_empty());
        let base = builtin.or_else(typedef).ok_or_else(|| at(format!("no type {}", ty.argument)))?;
        restricted(base, ty).map_err(at)
    }
}

fn allowed(statement: &Statement, keywords: &[&str]) -> Result<(), String> {
    let known = |s: &&Statement| !keywords.contains(&&*s.keyword) && !TOLD.contains(&&*s.keyword);
    match statement.below.iter().find(known) {
        Some(other) => {
            Err(format!("line {}: {} is not supported in {}", other.line, other.keyword, statement.keyword))
        }
        None => Ok(()),
    }
}

fn restricted(base: Type, by: &Statement) -> Result<Type, String> {
    let kinds = match &base {
        Type::Integer { .. } => &["range"][..],
        Type::Decimal { .. } => &["range", "fraction-digits"],
        Type::Text { .. } => &["length", "pattern"],
        Type::Enumeration(_) => &["enum"],
        Type::Boolean | Type::Empty => &[],
    };
    allowed(by, kinds)?;
    Ok(match base {
        Type::Integer { is_64_bit, ranges } => {
            Type::Integer { is_64_bit, ranges: narrowed(ranges, by.text("range"), |text| text.parse().ok())? }
        }
        Type::Decimal { digits, mut ranges } => {
            let digits = match by.text("fraction-digits") {
                Some(text) => text.parse().ok().filter(|digits| (1..=18).contains(digits)),
                None => Some(digits),
            };
            let digits = digits.ok_or("fraction-digits is none of 1..18")?;
            ranges = narrowed(ranges, by.text("range"), |text| decimal(text, digits))?;
            Type::Decimal { digits, ranges }
        }
        Type::Text { lengths, mut patterns } => {
            for pattern in by.all("pattern") {
                // Patterns are XSD's, which are anchored; ours keep to what both dialects read alike.
                let pattern = Regex::new(&format!("^(?:{})$", pattern.argument));
                patterns.push(pattern.map_err(|why| why.to_string())?);
            }
            let lengths = narrowed(lengths, by.text("length"), |text| text.parse().ok())?;
            Type::Text { lengths, patterns }
        }
        Type::Enumeration(names) => {
            let named: Vec<String> = by.all("enum").map(|name| name.argument.clone()).collect();
            Type::Enumeration(if named.is_empty() { names } else { named })
        }
        other => other,
    })
}

/// Ranges within those of the base type.
fn narrowed(
    base: Ranges<i128>,
    told: Option<&str>,
    read: impl Fn(&str) -> Option<i128>,
) -> Result<Ranges<i128>, String> {
    let Some(told) = told else { return Ok(base) };
    let (least, most) = (base[0].0, base[base.len() - 1].1);
    let bound = |text: &str| match text.trim() {
        "min" => Some(least),
        "max" => Some(most),
        text => read(text),
    };
    let range = |part: &str| {
        let (low, high) = part.split_once("..").unwrap_or((part, part));
        let range = (bound(low)?, bound(high)?);
        (least <= range.0 && range.0 <= range.1 && range.1 <= most).then_some(range)
    };
    let ranges: Option<Ranges<i128>> = told.split('|').map(range).collect();
    ranges.ok_or_else(|| format!("the range {told:?} does not fit its type"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn module(body: &str) -> Result<Schema, String> {
        let head = "module m { yang-version 1.1; namespace \"urn:m\"; prefix m; revision 2026-01-01;";
        Schema::parse(&[("m", &format!("{head}\n{body} }}"))])
    }

    #[test]
    fn our_modules_are_read_with_their_types_and_keys() {
        let schema = crate::schema();
        let worker = schema.find(&["workers", "worker"]).unwrap();
        assert_eq!(schema.node(schema.node(worker).keys()[0]).name, "name");
        let weight = schema.find(&["workers", "worker", "weight"]).unwrap();
        let NodeKind::Leaf { ty, .. } = &schema.node(weight).kind else { panic!("a leaf") };
        assert_eq!(ty.parse("0.5").unwrap(), Value::Decimal(5000, 4));
        assert!(ty.parse("1000.1").unwrap_err().contains("not within 0.0..1000.0"));
        let grace = schema.find(&["figures", "drain-grace"]).unwrap();
        let NodeKind::Leaf { ty, .. } = &schema.node(grace).kind else { panic!("a leaf") };
        assert!(ty.parse("0").unwrap_err().contains("within 1.0..3600000.0"), "narrowed where it is used");
        let state = schema.find(&["state", "proxies", "proxy", "operation", "level"]).unwrap();
        assert!(!schema.node(state).config && schema.node(worker).config);
        assert_eq!(schema.notifications.len(), 1);
        for id in schema.node_ids() {
            assert!(!schema.node(id).description.is_empty(), "{} says what it is", schema.node(id).name);
        }
    }

    #[test]
    fn what_is_not_supported_or_does_not_fit_is_refused_by_name() {
        for (body, why) in [
            ("choice a;", "line 2: choice is not supported"),
            ("container a { must \"b\"; }", "must is not supported in container"),
            ("leaf a;", "line 2: no type"),
            ("leaf a { type b; }", "no type b"),
            ("leaf a { type c:b; }", "no prefix c"),
            ("leaf a { type uint8 { range \"0..256\"; } }", "the range \"0..256\" does not fit"),
            ("leaf a { type uint8 { pattern b; } }", "pattern is not supported in type"),
            ("leaf a { type uint8; default 256; }", "the default 256 is not within 0..255"),
            ("leaf a { type string { pattern \"(\"; } }", "unclosed group"),
            ("leaf a { type decimal64 { fraction-digits 19; } }", "fraction-digits"),
            ("list a { leaf b { type string; } }", "no key"),
            ("list a { key b; container b; }", "the key b is no leaf"),
            ("leaf a { type string; } leaf a { type string; }", "stands here twice"),
            ("import n { prefix n; }", "no module n"),
        ] {
            let fault = module(body).unwrap_err();
            assert!(fault.contains(why), "{body}: {fault}");
        }
        assert!(module("leaf a { type string { pattern \"[a-z]\"; } }").is_ok());
    }
}
