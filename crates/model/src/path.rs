//! Paths to nodes of a data tree in the syntax of the instance-identifier type (RFC 7950 section 9.13):
//! `/jrm:workers/worker[name='s-1']`.

use crate::error::{ErrorKind, ModelError};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// One node of a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub node: NodeId,
    /// The keys of a list entry, or the value of a leaf-list entry. If empty, the step selects all entries.
    pub keys: Vec<Value>,
}

impl Step {
    /// A step to a container or leaf, or to all entries of a list or leaf-list.
    pub fn without_keys(node: NodeId) -> Step {
        Step { node, keys: Vec::new() }
    }

    /// A step to the entry of a list with these keys, or to that of a leaf-list with this value.
    pub fn with_keys(node: NodeId, keys: &[Value]) -> Step {
        Step { node, keys: keys.to_vec() }
    }
}

/// The steps from the root to a node of a data tree. Without steps it is the path of the root.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(pub Vec<Step>);

impl Path {
    /// The path extended by a step.
    pub fn child(&self, step: Step) -> Path {
        let mut steps = self.0.clone();
        steps.push(step);
        Path(steps)
    }

    /// Whether the other path is this one or lies below it. A step without keys covers all entries.
    pub fn covers(&self, other: &Path) -> bool {
        let matches = |(own, other): (&Step, &Step)| {
            own.node == other.node && (own.keys.is_empty() || own.keys == other.keys)
        };
        self.0.len() <= other.0.len() && self.0.iter().zip(&other.0).all(matches)
    }

    /// The text of the path. A node name has its module's prefix at the top level and where the module changes.
    pub fn format(&self, schema: &Schema) -> String {
        let mut text = String::new();
        for step in &self.0 {
            let node = schema.node(step.node);
            text.push('/');
            if schema.is_namespace_qualified(step.node) {
                text.push_str(&schema.modules[node.module].prefix);
                text.push(':');
            }
            text.push_str(&node.name);
            for (index, key) in step.keys.iter().enumerate() {
                let name = node.keys().get(index).map_or(".", |id| &schema.node(*id).name);
                let quote = if key.to_string().contains('\'') { '"' } else { '\'' };
                text.push_str(&format!("[{name}={quote}{key}{quote}]"));
            }
        }
        if text.is_empty() {
            text.push('/');
        }
        text
    }

    /// Parses the text of a path. Each node name may be preceded by the prefix or the name of its module. This is
    /// needed only where several modules have a node of that name: without it, the first of them is taken. A list may
    /// be given without keys; the step then selects all its entries.
    pub fn parse(schema: &Schema, text: &str) -> Result<Path, ModelError> {
        let malformed = |message: String| ModelError::new(ErrorKind::Malformed, text, "path", message);
        let mut rest = text.strip_prefix('/').ok_or_else(|| malformed("a path must start with /".into()))?;
        let (mut path, mut parent) = (Path::default(), None);
        while !rest.is_empty() {
            let end = rest.find(['/', '[']).unwrap_or(rest.len());
            let (module, name) = match rest[..end].split_once(':') {
                Some((module, name)) => {
                    let matches = |known: &crate::Module| known.prefix == module || known.name == module;
                    let index = schema.modules.iter().position(matches);
                    (Some(index.ok_or_else(|| malformed(format!("unknown module {module:?}")))?), name)
                }
                None => (None, &rest[..end]),
            };
            let id = schema
                .child(parent, name, module)
                .ok_or_else(|| malformed(format!("there is no {name:?}")))?;
            rest = &rest[end..];
            let mut predicates: Vec<(&str, &str)> = Vec::new();
            while let Some(predicate) = rest.strip_prefix('[') {
                let bad_predicate = || malformed("a predicate must have the form [name='value']".into());
                let (name, value) = predicate.split_once('=').ok_or_else(bad_predicate)?;
                let quote =
                    value.chars().next().filter(|c| matches!(c, '\'' | '"')).ok_or_else(bad_predicate)?;
                let end = value[1..].find(quote).ok_or_else(bad_predicate)?;
                predicates.push((name.trim(), &value[1..=end]));
                rest = value[end + 2..].strip_prefix(']').ok_or_else(bad_predicate)?;
            }
            path.0.push(Step { node: id, keys: parse_keys(schema, id, &predicates).map_err(malformed)? });
            parent = Some(id);
            match rest.strip_prefix('/') {
                Some(remainder) if !remainder.is_empty() => rest = remainder,
                Some(_) => return Err(malformed("a path must not end with /".into())),
                None if rest.is_empty() => {}
                None => return Err(malformed(format!("unexpected {rest:?}"))),
            }
        }
        Ok(path)
    }
}

/// Parses the names and values of the predicates of a node as its keys, in the order of the schema.
fn parse_keys(schema: &Schema, id: NodeId, predicates: &[(&str, &str)]) -> Result<Vec<Value>, String> {
    let node = schema.node(id);
    if predicates.is_empty() {
        return Ok(Vec::new());
    }
    let parse = |id: NodeId, text: &str| match &schema.node(id).kind {
        NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => ty.parse(text),
        _ => Err(format!("{} has no value", schema.node(id).name)),
    };
    if let (NodeKind::LeafList { .. }, [(".", value)]) = (&node.kind, predicates) {
        return Ok(vec![parse(id, value)?]);
    }
    if node.keys().len() != predicates.len() {
        let names: Vec<&str> = node.keys().iter().map(|id| schema.node(*id).name.as_str()).collect();
        return Err(format!("{} has the keys {names:?}", node.name));
    }
    let key = |id: &NodeId| {
        let name = &schema.node(*id).name;
        let is_key = |predicate_name: &str| predicate_name.rsplit(':').next() == Some(name);
        let (_, value) = predicates
            .iter()
            .find(|(predicate_name, _)| is_key(predicate_name))
            .ok_or(format!("the key {name} is missing"))?;
        parse(*id, value)
    };
    node.keys().iter().map(key).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_parsed_formatted_and_matched_and_invalid_ones_are_rejected() {
        let schema = crate::schema();
        for text in [
            "/jrm:workers/worker[name='s-1']/weight",
            "/jrm:workers/worker",
            "/jrm:northbound/user[name='ann']/ssh-key[.='ssh-ed25519 AAAAC3NzaC1=']",
            "/jrs:state/proxies/proxy[number='7']/operation[name=\"it's\"]",
        ] {
            assert_eq!(Path::parse(&schema, text).unwrap().format(&schema), text);
        }
        let with_module_name =
            Path::parse(&schema, "/juniperrail-manager:workers/jrm:worker[jrm:name=\"s-1\"]").unwrap();
        assert_eq!(with_module_name.format(&schema), "/jrm:workers/worker[name='s-1']");
        assert!(Path::parse(&schema, "/workers/worker").unwrap().covers(&with_module_name));
        assert!(
            !with_module_name.covers(&Path::parse(&schema, "/workers/worker[name='s-2']/weight").unwrap())
        );
        for (text, expected) in [
            ("workers", "must start with /"),
            ("/nothing", "there is no \"nothing\""),
            ("/x:workers", "unknown module \"x\""),
            ("/workers/", "must not end with /"),
            ("/workers/worker[name=s-1]", "a predicate must have the form"),
            ("/workers/worker[name='s-1'", "a predicate must have the form"),
            ("/workers/worker[cell='1']", "the key name is missing"),
            ("/workers/worker[name='a,b']", "does not match"),
            ("/workers[name='a']", "has the keys []"),
        ] {
            let error = Path::parse(&schema, text).unwrap_err();
            assert!(error.message.contains(expected), "{text}: {error}");
        }
    }
}
