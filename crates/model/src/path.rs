//! Paths to nodes, as RFC 7950 section 9.13 spells instance-identifiers: `/jrm:workers/worker[name='s-1']`.

use crate::error::{ErrorKind, ModelError};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub node: NodeId,
    /// The keys of a list's entry, or the value of a leaf-list's; empty means all of them.
    pub keys: Vec<Value>,
}

impl Step {
    pub fn without_keys(node: NodeId) -> Step {
        Step { node, keys: Vec::new() }
    }

    pub fn with_keys(node: NodeId, keys: &[Value]) -> Step {
        Step { node, keys: keys.to_vec() }
    }
}

/// A place in data, from the top.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path(pub Vec<Step>);

impl Path {
    pub fn child(&self, step: Step) -> Path {
        let mut steps = self.0.clone();
        steps.push(step);
        Path(steps)
    }

    /// Whether the other lies at this place or below it; a list without keys covers all its entries.
    pub fn covers(&self, other: &Path) -> bool {
        let fits = |(a, b): (&Step, &Step)| a.node == b.node && (a.keys.is_empty() || a.keys == b.keys);
        self.0.len() <= other.0.len() && self.0.iter().zip(&other.0).all(fits)
    }

    /// With the module's prefix wherever the module changes.
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
            for (place, key) in step.keys.iter().enumerate() {
                let name = node.keys().get(place).map_or(".", |id| &schema.node(*id).name);
                let quote = if key.to_string().contains('\'') { '"' } else { '\'' };
                text.push_str(&format!("[{name}={quote}{key}{quote}]"));
            }
        }
        if text.is_empty() {
            text.push('/');
        }
        text
    }

    /// Reads such a path. A prefix or a module's name may stand before each name, and must before the first
    /// only where names clash. A list may stand without keys.
    pub fn parse(schema: &Schema, text: &str) -> Result<Path, ModelError> {
        let bad = |what: String| ModelError::new(ErrorKind::Malformed, text, "path", what);
        let mut rest = text.strip_prefix('/').ok_or_else(|| bad("a path starts with /".into()))?;
        let (mut path, mut at) = (Path::default(), None);
        while !rest.is_empty() {
            let end = rest.find(['/', '[']).unwrap_or(rest.len());
            let (module, name) = match rest[..end].split_once(':') {
                Some((module, name)) => {
                    let fits = |known: &crate::Module| known.prefix == module || known.name == module;
                    let known = schema.modules.iter().position(fits);
                    (Some(known.ok_or_else(|| bad(format!("no module is called {module:?}")))?), name)
                }
                None => (None, &rest[..end]),
            };
            let id = schema.child(at, name, module).ok_or_else(|| bad(format!("there is no {name:?}")))?;
            rest = &rest[end..];
            let mut told: Vec<(&str, &str)> = Vec::new();
            while let Some(predicate) = rest.strip_prefix('[') {
                let open = || bad("a key reads [name='value']".into());
                let (name, value) = predicate.split_once('=').ok_or_else(open)?;
                let quote = value.chars().next().filter(|c| matches!(c, '\'' | '"')).ok_or_else(open)?;
                let end = value[1..].find(quote).ok_or_else(open)?;
                told.push((name.trim(), &value[1..=end]));
                rest = value[end + 2..].strip_prefix(']').ok_or_else(open)?;
            }
            path.0.push(Step { node: id, keys: keys(schema, id, &told).map_err(bad)? });
            at = Some(id);
            match rest.strip_prefix('/') {
                Some(more) if !more.is_empty() => rest = more,
                Some(_) => return Err(bad("a path does not end with /".into())),
                None if rest.is_empty() => {}
                None => return Err(bad(format!("{rest:?} is not understood"))),
            }
        }
        Ok(path)
    }
}

fn keys(schema: &Schema, id: NodeId, told: &[(&str, &str)]) -> Result<Vec<Value>, String> {
    let node = schema.node(id);
    if told.is_empty() {
        return Ok(Vec::new());
    }
    let read = |id: NodeId, text: &str| match &schema.node(id).kind {
        NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => ty.parse(text),
        _ => Err(format!("{} has no value", schema.node(id).name)),
    };
    if let (NodeKind::LeafList { .. }, [(".", value)]) = (&node.kind, told) {
        return Ok(vec![read(id, value)?]);
    }
    if node.keys().len() != told.len() {
        let names: Vec<&str> = node.keys().iter().map(|id| schema.node(*id).name.as_str()).collect();
        return Err(format!("{} has the keys {names:?}", node.name));
    }
    let key = |id: &NodeId| {
        let name = &schema.node(*id).name;
        let bare = |told: &str| told.rsplit(':').next() == Some(name);
        let (_, value) =
            told.iter().find(|(told, _)| bare(told)).ok_or(format!("the key {name} is missing"))?;
        read(*id, value)
    };
    node.keys().iter().map(key).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paths_are_read_and_spelled_alike() {
        let schema = crate::schema();
        for text in [
            "/jrm:workers/worker[name='s-1']/weight",
            "/jrm:workers/worker",
            "/jrm:northbound/user[name='ann']/ssh-key[.='ssh-ed25519 AAAAC3NzaC1=']",
            "/jrs:state/proxies/proxy[number='7']/operation[name=\"it's\"]",
        ] {
            assert_eq!(Path::parse(&schema, text).unwrap().format(&schema), text);
        }
        let long = Path::parse(&schema, "/juniperrail-manager:workers/jrm:worker[jrm:name=\"s-1\"]").unwrap();
        assert_eq!(long.format(&schema), "/jrm:workers/worker[name='s-1']");
        assert!(Path::parse(&schema, "/workers/worker").unwrap().covers(&long));
        assert!(!long.covers(&Path::parse(&schema, "/workers/worker[name='s-2']/weight").unwrap()));
        for (text, why) in [
            ("workers", "starts with /"),
            ("/nothing", "there is no \"nothing\""),
            ("/x:workers", "no module is called \"x\""),
            ("/workers/", "does not end with /"),
            ("/workers/worker[name=s-1]", "a key reads"),
            ("/workers/worker[name='s-1'", "a key reads"),
            ("/workers/worker[cell='1']", "the key name is missing"),
            ("/workers/worker[name='a,b']", "does not match"),
            ("/workers[name='a']", "has the keys []"),
        ] {
            let fault = Path::parse(&schema, text).unwrap_err();
            assert!(fault.message.contains(why), "{text}: {fault}");
        }
    }
}
