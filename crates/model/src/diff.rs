//! The differences between two data trees, leaf by leaf.

use std::collections::BTreeSet;

use crate::data::{Content, Data};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// A node that exists in only one of the trees, or a leaf whose value differs. The value of a list entry, of a presence
/// container and of a leaf-list entry is `Value::Empty`; `None` means that the node is absent.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: Path,
    pub old: Option<Value>,
    pub new: Option<Value>,
}

/// Returns the differences in the order of the data trees.
pub fn diff(schema: &Schema, old: &Data, new: &Data) -> Vec<Difference> {
    let mut differences = Vec::new();
    diff_below(schema, &Path::default(), old, new, &mut differences);
    differences
}

fn diff_below(schema: &Schema, parent: &Path, old: &Data, new: &Data, differences: &mut Vec<Difference>) {
    let ids: BTreeSet<NodeId> = old.iter().chain(new.iter()).map(|(id, _)| id).collect();
    let empty = Data::default();
    let existence = |exists: bool| exists.then_some(Value::Empty);
    for id in ids {
        match (old.get(id), new.get(id)) {
            (Some(Content::Leaf(old)), Some(Content::Leaf(new))) if old == new => {}
            (old @ (Some(Content::Leaf(_)) | None), new @ (Some(Content::Leaf(_)) | None)) => {
                let value = |content: Option<&Content>| match content {
                    Some(Content::Leaf(value)) => Some(value.clone()),
                    _ => None,
                };
                let path = parent.child(Step::without_keys(id));
                differences.push(Difference { path, old: value(old), new: value(new) });
            }
            (old, new) => {
                if let (Some(Content::LeafList(_)), _) | (_, Some(Content::LeafList(_))) = (old, new) {
                    let values = |content: Option<&Content>| match content {
                        Some(Content::LeafList(values)) => values.clone(),
                        _ => BTreeSet::new(),
                    };
                    let (old_values, new_values) = (values(old), values(new));
                    for value in old_values.symmetric_difference(&new_values) {
                        let path = parent.child(Step::with_keys(id, std::slice::from_ref(value)));
                        let old = existence(old_values.contains(value));
                        let new = existence(new_values.contains(value));
                        differences.push(Difference { path, old, new });
                    }
                } else if let NodeKind::List { .. } = schema.node(id).kind {
                    let entries = |content: Option<&'_ Content>| match content {
                        Some(Content::List(entries)) => entries.clone(),
                        _ => Default::default(),
                    };
                    let (old_entries, new_entries) = (entries(old), entries(new));
                    let all_keys: BTreeSet<&Vec<Value>> =
                        old_entries.keys().chain(new_entries.keys()).collect();
                    for keys in all_keys {
                        let path = parent.child(Step::with_keys(id, keys));
                        let (old_entry, new_entry) = (old_entries.get(keys), new_entries.get(keys));
                        if old_entry.is_some() != new_entry.is_some() {
                            let old = existence(old_entry.is_some());
                            let new = existence(new_entry.is_some());
                            differences.push(Difference { path: path.clone(), old, new });
                        }
                        diff_below(
                            schema,
                            &path,
                            old_entry.unwrap_or(&empty),
                            new_entry.unwrap_or(&empty),
                            differences,
                        );
                    }
                } else {
                    let container = |content: Option<&'_ Content>| match content {
                        Some(Content::Container(data)) => Some(data.clone()),
                        _ => None,
                    };
                    let (old_container, new_container) = (container(old), container(new));
                    let path = parent.child(Step::without_keys(id));
                    if let (NodeKind::Container { presence: true }, true) =
                        (&schema.node(id).kind, old_container.is_some() != new_container.is_some())
                    {
                        let old = existence(old_container.is_some());
                        let new = existence(new_container.is_some());
                        differences.push(Difference { path: path.clone(), old, new });
                    }
                    let old_data = old_container.unwrap_or_default();
                    let new_data = new_container.unwrap_or_default();
                    diff_below(schema, &path, &old_data, &new_data, differences);
                }
            }
        }
    }
}
