//! What is different between two trees, leaf by leaf.

use std::collections::BTreeSet;

use crate::data::{Content, Data};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// One place that differs. A list's entry, a container with presence and a value of a leaf-list read as `Empty`.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: Path,
    pub old: Option<Value>,
    pub new: Option<Value>,
}

/// The places that differ, in the order of the tree.
pub fn diff(schema: &Schema, old: &Data, new: &Data) -> Vec<Difference> {
    let mut found = Vec::new();
    below(schema, &Path::default(), old, new, &mut found);
    found
}

fn below(schema: &Schema, at: &Path, old: &Data, new: &Data, found: &mut Vec<Difference>) {
    let ids: BTreeSet<NodeId> = old.iter().chain(new.iter()).map(|(id, _)| id).collect();
    let none = Data::default();
    let there = |is: bool| is.then_some(Value::Empty);
    for id in ids {
        match (old.get(id), new.get(id)) {
            (Some(Content::Leaf(a)), Some(Content::Leaf(b))) if a == b => {}
            (a @ (Some(Content::Leaf(_)) | None), b @ (Some(Content::Leaf(_)) | None)) => {
                let value = |content: Option<&Content>| match content {
                    Some(Content::Leaf(value)) => Some(value.clone()),
                    _ => None,
                };
                found.push(Difference {
                    path: at.child(Step::without_keys(id)),
                    old: value(a),
                    new: value(b),
                });
            }
            (a, b) => {
                if let (Some(Content::LeafList(_)), _) | (_, Some(Content::LeafList(_))) = (a, b) {
                    let values = |content: Option<&Content>| match content {
                        Some(Content::LeafList(values)) => values.clone(),
                        _ => BTreeSet::new(),
                    };
                    let (a, b) = (values(a), values(b));
                    for value in a.symmetric_difference(&b) {
                        let path = at.child(Step::with_keys(id, std::slice::from_ref(value)));
                        let (old, new) = (there(a.contains(value)), there(b.contains(value)));
                        found.push(Difference { path, old, new });
                    }
                } else if let NodeKind::List { .. } = schema.node(id).kind {
                    let entries = |content: Option<&'_ Content>| match content {
                        Some(Content::List(entries)) => entries.clone(),
                        _ => Default::default(),
                    };
                    let (a, b) = (entries(a), entries(b));
                    let keys: BTreeSet<&Vec<Value>> = a.keys().chain(b.keys()).collect();
                    for keys in keys {
                        let path = at.child(Step::with_keys(id, keys));
                        let (was, is) = (a.get(keys), b.get(keys));
                        if was.is_some() != is.is_some() {
                            let (old, new) = (there(was.is_some()), there(is.is_some()));
                            found.push(Difference { path: path.clone(), old, new });
                        }
                        below(schema, &path, was.unwrap_or(&none), is.unwrap_or(&none), found);
                    }
                } else {
                    let inner = |content: Option<&'_ Content>| match content {
                        Some(Content::Container(data)) => Some(data.clone()),
                        _ => None,
                    };
                    let (a, b) = (inner(a), inner(b));
                    let path = at.child(Step::without_keys(id));
                    if let (NodeKind::Container { presence: true }, true) =
                        (&schema.node(id).kind, a.is_some() != b.is_some())
                    {
                        let (old, new) = (there(a.is_some()), there(b.is_some()));
                        found.push(Difference { path: path.clone(), old, new });
                    }
                    let (a, b) = (a.unwrap_or_default(), b.unwrap_or_default());
                    below(schema, &path, &a, &b, found);
                }
            }
        }
    }
}
