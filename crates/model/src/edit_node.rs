//! What somebody wrote, read against the schema but not yet put anywhere: typed nodes, each with what is to be
//! done with it if that was said.

use crate::data::{Content, Data};
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// What is to be done with a node, RFC 6241 section 7.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOperation {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EditNode {
    pub node: NodeId,
    /// A list entry's keys, in the schema's order.
    pub keys: Vec<Value>,
    /// A leaf's value; one that is only to be deleted may have none.
    pub value: Option<Value>,
    pub operation: Option<EditOperation>,
    /// The line that it was read from; 0 where there is none.
    pub line: u32,
    pub children: Vec<EditNode>,
}

impl EditNode {
    pub fn step(&self) -> Step {
        Step::with_keys(self.node, &self.keys)
    }

    pub fn error(&self, schema: &Schema, at: &Path, rule: ErrorKind, what: &str) -> ModelError {
        let name = &schema.node(self.node).name;
        ModelError::new(rule, at.child(self.step()).format(schema), name, format!("{name} {what}"))
            .at_line(self.line)
    }

    /// A draft for one value or for the whole part at a path, with what stands below it.
    pub fn at_path(
        schema: &Schema,
        path: &Path,
        op: Option<EditOperation>,
        value: Option<Value>,
        below: Vec<EditNode>,
    ) -> Vec<EditNode> {
        let Some((last, before)) = path.0.split_last() else { return below };
        let node = |step: &Step, op, value, below: Vec<EditNode>| {
            let keys = schema.node(step.node).keys().iter().zip(&step.keys);
            let key = |(id, key): (&NodeId, &Value)| EditNode {
                node: *id,
                keys: vec![],
                value: Some(key.clone()),
                operation: None,
                line: 0,
                children: vec![],
            };
            let told = |id: &NodeId| below.iter().any(|draft: &EditNode| draft.node == *id);
            let mut all: Vec<EditNode> = keys.filter(|(id, _)| !told(id)).map(key).collect();
            all.extend(below);
            let list = matches!(schema.node(step.node).kind, NodeKind::List { .. });
            let keys = if list { step.keys.clone() } else { vec![] };
            EditNode { node: step.node, keys, value, operation: op, line: 0, children: all }
        };
        let leaf = node(last, op, value.or_else(|| last_value(schema, last)), below);
        before.iter().rev().fold(vec![leaf], |below, step| vec![node(step, None, None, below)])
    }
}

fn last_value(schema: &Schema, step: &Step) -> Option<Value> {
    matches!(schema.node(step.node).kind, NodeKind::LeafList { .. })
        .then(|| step.keys.first().cloned())
        .flatten()
}

impl Data {
    /// Data as drafts, in its order.
    pub fn to_edit_nodes(&self) -> Vec<EditNode> {
        let leaf = |node, value: &Value| EditNode {
            node,
            keys: vec![],
            value: Some(value.clone()),
            operation: None,
            line: 0,
            children: vec![],
        };
        let inner = |node, keys: &[Value], below: &Data| EditNode {
            node,
            keys: keys.to_vec(),
            value: None,
            operation: None,
            line: 0,
            children: below.to_edit_nodes(),
        };
        let mut drafts = Vec::new();
        for (id, content) in self.iter() {
            match content {
                Content::Container(data) => drafts.push(inner(id, &[], data)),
                Content::List(entries) => drafts.extend(entries.iter().map(|(keys, of)| inner(id, keys, of))),
                Content::Leaf(value) => drafts.push(leaf(id, value)),
                Content::LeafList(values) => drafts.extend(values.iter().map(|value| leaf(id, value))),
            }
        }
        drafts
    }

    /// Drafts without operations as data. Nothing may be said twice.
    pub fn from_edit_nodes(schema: &Schema, drafts: &[EditNode]) -> Result<Data, ModelError> {
        gather(schema, drafts, &Path::default())
    }
}

fn gather(schema: &Schema, drafts: &[EditNode], at: &Path) -> Result<Data, ModelError> {
    let mut data = Data::default();
    for draft in drafts {
        let refused = |rule, what: &str| Err(draft.error(schema, at, rule, what));
        if draft.operation.is_some() {
            return refused(ErrorKind::UnknownAttribute, "has an operation, which has no place here");
        }
        match &schema.node(draft.node).kind {
            NodeKind::Container { .. } => {
                if data.get(draft.node).is_some() {
                    return refused(ErrorKind::Duplicate, "stands here twice");
                }
                let inner = gather(schema, &draft.children, &at.child(draft.step()))?;
                data.set(draft.node, Content::Container(inner));
            }
            NodeKind::List { .. } => {
                let entry = gather(schema, &draft.children, &at.child(draft.step()))?;
                if data.list(draft.node).insert(draft.keys.clone(), entry).is_some() {
                    return refused(ErrorKind::Duplicate, "stands here twice with these keys");
                }
            }
            NodeKind::Leaf { .. } => {
                let Some(value) = &draft.value else { return refused(ErrorKind::BadValue, "has no value") };
                if data.get(draft.node).is_some() {
                    return refused(ErrorKind::Duplicate, "stands here twice");
                }
                data.set(draft.node, Content::Leaf(value.clone()));
            }
            NodeKind::LeafList { .. } => {
                let Some(value) = &draft.value else { return refused(ErrorKind::BadValue, "has no value") };
                if !data.leaf_list(draft.node).insert(value.clone()) {
                    return refused(ErrorKind::Duplicate, "stands here twice with this value");
                }
            }
        }
    }
    Ok(data)
}
