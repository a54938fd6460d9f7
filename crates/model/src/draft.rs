//! What somebody wrote, read against the schema but not yet put anywhere: typed nodes, each with what is to be
//! done with it if that was said.

use crate::data::{Content, Data};
use crate::fault::{Fault, Rule};
use crate::path::{Path, Step};
use crate::schema::{Kind, NodeId, Schema};
use crate::value::Value;

/// What is to be done with a node, RFC 6241 section 7.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    pub node: NodeId,
    /// A list entry's keys, in the schema's order.
    pub keys: Vec<Value>,
    /// A leaf's value; one that is only to be deleted may have none.
    pub value: Option<Value>,
    pub op: Option<Op>,
    /// The line that it was read from; 0 where there is none.
    pub line: u32,
    pub below: Vec<Draft>,
}

impl Draft {
    pub fn step(&self) -> Step {
        Step::entry(self.node, &self.keys)
    }

    pub fn fault(&self, schema: &Schema, at: &Path, rule: Rule, what: &str) -> Fault {
        let name = &schema.node(self.node).name;
        Fault::new(rule, at.with(self.step()).spelled(schema), name, format!("{name} {what}")).on(self.line)
    }

    /// A draft for one value or for the whole part at a path, with what stands below it.
    pub fn at(
        schema: &Schema,
        path: &Path,
        op: Option<Op>,
        value: Option<Value>,
        below: Vec<Draft>,
    ) -> Vec<Draft> {
        let Some((last, before)) = path.0.split_last() else { return below };
        let node = |step: &Step, op, value, below: Vec<Draft>| {
            let keys = schema.node(step.node).keys().iter().zip(&step.keys);
            let key = |(id, key): (&NodeId, &Value)| Draft {
                node: *id,
                keys: vec![],
                value: Some(key.clone()),
                op: None,
                line: 0,
                below: vec![],
            };
            let told = |id: &NodeId| below.iter().any(|draft: &Draft| draft.node == *id);
            let mut all: Vec<Draft> = keys.filter(|(id, _)| !told(id)).map(key).collect();
            all.extend(below);
            let list = matches!(schema.node(step.node).kind, Kind::List { .. });
            let keys = if list { step.keys.clone() } else { vec![] };
            Draft { node: step.node, keys, value, op, line: 0, below: all }
        };
        let leaf = node(last, op, value.or_else(|| last_value(schema, last)), below);
        before.iter().rev().fold(vec![leaf], |below, step| vec![node(step, None, None, below)])
    }
}

fn last_value(schema: &Schema, step: &Step) -> Option<Value> {
    matches!(schema.node(step.node).kind, Kind::LeafList { .. }).then(|| step.keys.first().cloned()).flatten()
}

impl Data {
    /// Data as drafts, in its order.
    pub fn drafts(&self) -> Vec<Draft> {
        let leaf = |node, value: &Value| Draft {
            node,
            keys: vec![],
            value: Some(value.clone()),
            op: None,
            line: 0,
            below: vec![],
        };
        let inner = |node, keys: &[Value], below: &Data| Draft {
            node,
            keys: keys.to_vec(),
            value: None,
            op: None,
            line: 0,
            below: below.drafts(),
        };
        let mut drafts = Vec::new();
        for (id, content) in self.iter() {
            match content {
                Content::Inner(data) => drafts.push(inner(id, &[], data)),
                Content::List(entries) => drafts.extend(entries.iter().map(|(keys, of)| inner(id, keys, of))),
                Content::Leaf(value) => drafts.push(leaf(id, value)),
                Content::Leaves(values) => drafts.extend(values.iter().map(|value| leaf(id, value))),
            }
        }
        drafts
    }

    /// Drafts without operations as data. Nothing may be said twice.
    pub fn from_drafts(schema: &Schema, drafts: &[Draft]) -> Result<Data, Fault> {
        gather(schema, drafts, &Path::default())
    }
}

fn gather(schema: &Schema, drafts: &[Draft], at: &Path) -> Result<Data, Fault> {
    let mut data = Data::default();
    for draft in drafts {
        let refused = |rule, what: &str| Err(draft.fault(schema, at, rule, what));
        if draft.op.is_some() {
            return refused(Rule::UnknownAttribute, "has an operation, which has no place here");
        }
        match &schema.node(draft.node).kind {
            Kind::Container { .. } => {
                if data.get(draft.node).is_some() {
                    return refused(Rule::Repeated, "stands here twice");
                }
                let inner = gather(schema, &draft.below, &at.with(draft.step()))?;
                data.set(draft.node, Content::Inner(inner));
            }
            Kind::List { .. } => {
                let entry = gather(schema, &draft.below, &at.with(draft.step()))?;
                if data.list(draft.node).insert(draft.keys.clone(), entry).is_some() {
                    return refused(Rule::Repeated, "stands here twice with these keys");
                }
            }
            Kind::Leaf { .. } => {
                let Some(value) = &draft.value else { return refused(Rule::BadValue, "has no value") };
                if data.get(draft.node).is_some() {
                    return refused(Rule::Repeated, "stands here twice");
                }
                data.set(draft.node, Content::Leaf(value.clone()));
            }
            Kind::LeafList { .. } => {
                let Some(value) = &draft.value else { return refused(Rule::BadValue, "has no value") };
                if !data.leaves(draft.node).insert(value.clone()) {
                    return refused(Rule::Repeated, "stands here twice with this value");
                }
            }
        }
    }
    Ok(data)
}
