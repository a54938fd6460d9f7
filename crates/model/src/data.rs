//! Data trees that conform to a schema. Nodes are ordered by schema node and list entries by their keys, so that two
//! trees with the same data compare equal.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// The instances of one schema node below one parent.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    Container(Data),
    /// The list entries by the values of their keys. Each entry contains its key leaves as well.
    List(BTreeMap<Vec<Value>, Data>),
    Leaf(Value),
    LeafList(BTreeSet<Value>),
}

/// The child nodes of the root, of a container or of a list entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Data(BTreeMap<NodeId, Content>);

impl Data {
    /// Whether there is no child node.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The content of a child node.
    pub fn get(&self, id: NodeId) -> Option<&Content> {
        self.0.get(&id)
    }

    /// Adds or replaces the content of a child node.
    pub fn set(&mut self, id: NodeId, content: Content) {
        self.0.insert(id, content);
    }

    /// Removes a child node and returns its content.
    pub fn remove(&mut self, id: NodeId) -> Option<Content> {
        self.0.remove(&id)
    }

    /// The child nodes in the order of the schema.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Content)> {
        self.0.iter().map(|(id, content)| (*id, content))
    }

    /// Keeps only the child nodes for which `keep` returns true.
    pub fn retain(&mut self, keep: impl FnMut(&NodeId, &mut Content) -> bool) {
        self.0.retain(keep);
    }

    /// Returns the container, which is created if it is absent.
    pub fn container(&mut self, id: NodeId) -> &mut Data {
        match self.0.entry(id).or_insert_with(|| Content::Container(Data::default())) {
            Content::Container(data) => data,
            _ => unreachable!("the schema node is a container"),
        }
    }

    /// Returns the entries of the list, which is created if it is absent.
    pub fn list(&mut self, id: NodeId) -> &mut BTreeMap<Vec<Value>, Data> {
        match self.0.entry(id).or_insert_with(|| Content::List(BTreeMap::new())) {
            Content::List(entries) => entries,
            _ => unreachable!("the schema node is a list"),
        }
    }

    /// Returns the values of the leaf-list, which is created if it is absent.
    pub fn leaf_list(&mut self, id: NodeId) -> &mut BTreeSet<Value> {
        match self.0.entry(id).or_insert_with(|| Content::LeafList(BTreeSet::new())) {
            Content::LeafList(values) => values,
            _ => unreachable!("the schema node is a leaf-list"),
        }
    }

    /// Returns the list entry with these keys. If it is absent, it is created with its key leaves.
    pub fn list_entry(&mut self, schema: &Schema, id: NodeId, keys: &[Value]) -> &mut Data {
        let key_ids = schema.node(id).keys();
        self.list(id).entry(keys.to_vec()).or_insert_with(|| {
            let key_leaves = key_ids.iter().zip(keys).map(|(id, key)| (*id, Content::Leaf(key.clone())));
            Data(key_leaves.collect())
        })
    }

    /// Removes empty non-presence containers, lists and leaf-lists, which carry no information.
    pub fn prune_empty(&mut self, schema: &Schema) {
        self.0.retain(|id, content| match content {
            Content::Container(data) => {
                data.prune_empty(schema);
                !data.is_empty() || matches!(schema.node(*id).kind, NodeKind::Container { presence: true })
            }
            Content::List(entries) => {
                entries.values_mut().for_each(|entry| entry.prune_empty(schema));
                !entries.is_empty()
            }
            Content::LeafList(values) => !values.is_empty(),
            Content::Leaf(_) => true,
        });
    }

    /// Checks that no mandatory leaf is missing below a node that exists. The error names the first that is missing.
    pub fn check_mandatory(&self, schema: &Schema) -> Result<(), ModelError> {
        self.check_mandatory_below(schema, None, &Path::default())
    }

    fn check_mandatory_below(
        &self,
        schema: &Schema,
        parent: Option<NodeId>,
        path: &Path,
    ) -> Result<(), ModelError> {
        for id in schema.children_of(parent) {
            let node = schema.node(*id);
            match (self.get(*id), &node.kind) {
                (None, NodeKind::Leaf { mandatory: true, .. }) if parent.is_some() => {
                    let message = format!("{} is missing", node.name);
                    return Err(ModelError::new(
                        ErrorKind::MissingElement,
                        path.format(schema),
                        &node.name,
                        message,
                    ));
                }
                (Some(Content::Container(data)), _) => {
                    data.check_mandatory_below(schema, Some(*id), &path.child(Step::without_keys(*id)))?;
                }
                (Some(Content::List(entries)), _) => {
                    for (keys, entry) in entries {
                        entry.check_mandatory_below(
                            schema,
                            Some(*id),
                            &path.child(Step::with_keys(*id, keys)),
                        )?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns the data with all default values filled in (RFC 6243 `report-all`). Absent presence containers and
    /// absent state containers are not created.
    pub fn with_defaults(&self, schema: &Schema) -> Data {
        self.with_defaults_below(schema, None)
    }

    fn with_defaults_below(&self, schema: &Schema, parent: Option<NodeId>) -> Data {
        let mut data = Data::default();
        for id in schema.children_of(parent) {
            match (self.get(*id), &schema.node(*id).kind) {
                (Some(Content::Container(children)), _) => {
                    data.set(*id, Content::Container(children.with_defaults_below(schema, Some(*id))));
                }
                (Some(Content::List(entries)), _) => {
                    let entry = |(keys, entry): (&Vec<Value>, &Data)| {
                        (keys.clone(), entry.with_defaults_below(schema, Some(*id)))
                    };
                    data.set(*id, Content::List(entries.iter().map(entry).collect()));
                }
                (Some(content), _) => data.set(*id, content.clone()),
                (None, NodeKind::Leaf { default: Some(default), .. }) => {
                    data.set(*id, Content::Leaf(default.clone()));
                }
                (None, NodeKind::Container { presence: false }) if schema.node(*id).config => {
                    let defaults = Data::default().with_defaults_below(schema, Some(*id));
                    if !defaults.is_empty() {
                        data.set(*id, Content::Container(defaults));
                    }
                }
                _ => {}
            }
        }
        data
    }

    /// Returns the top-level nodes for which `keep` returns true, with their descendants.
    pub fn filter_roots(&self, keep: impl Fn(NodeId) -> bool) -> Data {
        Data(self.0.iter().filter(|(id, _)| keep(**id)).map(|(id, content)| (*id, content.clone())).collect())
    }

    /// Returns the subtree at a path, with its ancestors up to the root and the keys of the list entries on the way. It
    /// is empty if there is no node at the path.
    pub fn subtree(&self, schema: &Schema, path: &Path) -> Data {
        fn select(schema: &Schema, steps: &[Step], data: &Data) -> Data {
            let Some((step, rest)) = steps.split_first() else { return data.clone() };
            let mut selected = Data::default();
            match data.get(step.node) {
                Some(Content::Container(inner)) => {
                    let inner = select(schema, rest, inner);
                    let presence =
                        matches!(schema.node(step.node).kind, NodeKind::Container { presence: true });
                    if !inner.is_empty() || presence && rest.is_empty() {
                        selected.set(step.node, Content::Container(inner));
                    }
                }
                Some(Content::List(entries)) => {
                    for (keys, entry) in
                        entries.iter().filter(|(keys, _)| step.keys.is_empty() || **keys == step.keys)
                    {
                        let inner = select(schema, rest, entry);
                        if !inner.is_empty() {
                            // The key leaves identify the entry, so they are always included.
                            let selected_entry = selected.list_entry(schema, step.node, keys);
                            *selected_entry = std::mem::take(selected_entry).merged(inner);
                        }
                    }
                }
                Some(Content::LeafList(values)) if !step.keys.is_empty() => {
                    if let Some(value) = values.get(&step.keys[0]) {
                        selected.leaf_list(step.node).insert(value.clone());
                    }
                }
                Some(content) if rest.is_empty() => selected.set(step.node, content.clone()),
                _ => {}
            }
            selected
        }
        select(schema, &path.0, self)
    }

    /// Returns the child nodes of both. Those that are in both are taken from `other`.
    pub fn merged(mut self, other: Data) -> Data {
        self.0.extend(other.0);
        self
    }
}

/// A position in a data tree from which child nodes are read by name. Absent leaves read as their default, and absent
/// containers, lists and leaf-lists as empty.
#[derive(Clone, Copy)]
pub struct View<'a> {
    pub schema: &'a Schema,
    /// The schema node of this position, or `None` for the root.
    node: Option<NodeId>,
    /// The data below this position, or `None` if the node is absent.
    data: Option<&'a Data>,
}

impl<'a> View<'a> {
    /// A view of the root.
    pub fn new(schema: &'a Schema, data: &'a Data) -> View<'a> {
        View { schema, node: None, data: Some(data) }
    }

    fn id(&self, name: &str) -> NodeId {
        let id = self.schema.child(self.node, name, None);
        // Cannot panic in operation: callers pass constant names, and tests read each of them.
        id.unwrap_or_else(|| panic!("the schema has no node {name} here"))
    }

    /// The view of a child container, which need not exist.
    pub fn container(&self, name: &str) -> View<'a> {
        let id = self.id(name);
        let data = match self.data.and_then(|data| data.get(id)) {
            Some(Content::Container(data)) => Some(data),
            _ => None,
        };
        View { schema: self.schema, node: Some(id), data }
    }

    /// Whether the node of this position exists in the data.
    pub fn exists(&self) -> bool {
        self.data.is_some()
    }

    /// The views of the entries of a child list.
    pub fn entries(&self, name: &str) -> Vec<View<'a>> {
        let id = self.id(name);
        match self.data.and_then(|data| data.get(id)) {
            Some(Content::List(entries)) => entries
                .values()
                .map(|data| View { schema: self.schema, node: Some(id), data: Some(data) })
                .collect(),
            _ => Vec::new(),
        }
    }

    /// The value of a child leaf, or its default if it is absent.
    pub fn leaf(&self, name: &str) -> Option<&'a Value> {
        let id = self.id(name);
        match self.data.and_then(|data| data.get(id)) {
            Some(Content::Leaf(value)) => Some(value),
            _ => match &self.schema.node(id).kind {
                NodeKind::Leaf { default, .. } => default.as_ref(),
                _ => None,
            },
        }
    }

    /// The values of a child leaf-list.
    pub fn leaf_list(&self, name: &str) -> Vec<&'a Value> {
        let id = self.id(name);
        match self.data.and_then(|data| data.get(id)) {
            Some(Content::LeafList(values)) => values.iter().collect(),
            _ => Vec::new(),
        }
    }

    /// The value of a child leaf of a string or enumeration type.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.leaf(name).and_then(Value::as_str)
    }

    /// The value of a child leaf of a numeric type.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.leaf(name).and_then(Value::as_f64)
    }
}
