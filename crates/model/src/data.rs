//! Data under a schema: one tree, whose order is the schema's and the keys', so that equal data are equal.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// What stands at one schema node.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    Container(Data),
    /// Entries by the values of their keys, which stand in the entries as well.
    List(BTreeMap<Vec<Value>, Data>),
    Leaf(Value),
    LeafList(BTreeSet<Value>),
}

/// What stands below one place: the top, a container or an entry of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Data(BTreeMap<NodeId, Content>);

impl Data {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn get(&self, id: NodeId) -> Option<&Content> {
        self.0.get(&id)
    }

    pub fn set(&mut self, id: NodeId, content: Content) {
        self.0.insert(id, content);
    }

    pub fn remove(&mut self, id: NodeId) -> Option<Content> {
        self.0.remove(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Content)> {
        self.0.iter().map(|(id, content)| (*id, content))
    }

    /// Keeps what is told to be kept, node by node.
    pub fn retain(&mut self, keep: impl FnMut(&NodeId, &mut Content) -> bool) {
        self.0.retain(keep);
    }

    /// The container there, made if it is missing.
    pub fn container(&mut self, id: NodeId) -> &mut Data {
        match self.0.entry(id).or_insert_with(|| Content::Container(Data::default())) {
            Content::Container(data) => data,
            _ => unreachable!("the schema says that a container stands here"),
        }
    }

    pub fn list(&mut self, id: NodeId) -> &mut BTreeMap<Vec<Value>, Data> {
        match self.0.entry(id).or_insert_with(|| Content::List(BTreeMap::new())) {
            Content::List(entries) => entries,
            _ => unreachable!("the schema says that a list stands here"),
        }
    }

    pub fn leaf_list(&mut self, id: NodeId) -> &mut BTreeSet<Value> {
        match self.0.entry(id).or_insert_with(|| Content::LeafList(BTreeSet::new())) {
            Content::LeafList(values) => values,
            _ => unreachable!("the schema says that a leaf-list stands here"),
        }
    }

    /// The list's entry of these keys, made with its key leaves if it is missing.
    pub fn list_entry(&mut self, schema: &Schema, id: NodeId, keys: &[Value]) -> &mut Data {
        let names = schema.node(id).keys();
        self.list(id).entry(keys.to_vec()).or_insert_with(|| {
            let leaves = names.iter().zip(keys).map(|(id, key)| (*id, Content::Leaf(key.clone())));
            Data(leaves.collect())
        })
    }

    /// Takes out containers without presence, lists and leaf-lists that hold nothing: they say nothing.
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

    /// Finds each mandatory leaf that is missing below something that is there.
    pub fn check_mandatory(&self, schema: &Schema) -> Result<(), ModelError> {
        self.complete_below(schema, None, &Path::default())
    }

    fn complete_below(&self, schema: &Schema, parent: Option<NodeId>, at: &Path) -> Result<(), ModelError> {
        for id in schema.children_of(parent) {
            let node = schema.node(*id);
            match (self.get(*id), &node.kind) {
                (None, NodeKind::Leaf { mandatory: true, .. }) if parent.is_some() => {
                    let what = format!("{} is missing", node.name);
                    return Err(ModelError::new(
                        ErrorKind::MissingElement,
                        at.format(schema),
                        &node.name,
                        what,
                    ));
                }
                (Some(Content::Container(data)), _) => {
                    data.complete_below(schema, Some(*id), &at.child(Step::without_keys(*id)))?;
                }
                (Some(Content::List(entries)), _) => {
                    for (keys, entry) in entries {
                        entry.complete_below(schema, Some(*id), &at.child(Step::with_keys(*id, keys)))?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The same with every default written out, RFC 6243 `report-all`.
    pub fn with_defaults(&self, schema: &Schema) -> Data {
        self.defaults_below(schema, None)
    }

    fn defaults_below(&self, schema: &Schema, parent: Option<NodeId>) -> Data {
        let mut all = Data::default();
        for id in schema.children_of(parent) {
            match (self.get(*id), &schema.node(*id).kind) {
                (Some(Content::Container(data)), _) => {
                    all.set(*id, Content::Container(data.defaults_below(schema, Some(*id))));
                }
                (Some(Content::List(entries)), _) => {
                    let entry = |(keys, entry): (&Vec<Value>, &Data)| {
                        (keys.clone(), entry.defaults_below(schema, Some(*id)))
                    };
                    all.set(*id, Content::List(entries.iter().map(entry).collect()));
                }
                (Some(content), _) => all.set(*id, content.clone()),
                (None, NodeKind::Leaf { default: Some(default), .. }) => {
                    all.set(*id, Content::Leaf(default.clone()));
                }
                (None, NodeKind::Container { presence: false }) if schema.node(*id).config => {
                    let below = Data::default().defaults_below(schema, Some(*id));
                    if !below.is_empty() {
                        all.set(*id, Content::Container(below));
                    }
                }
                _ => {}
            }
        }
        all
    }

    /// The data of one part only: that at the roots of which `keep` holds.
    pub fn filter_roots(&self, keep: impl Fn(NodeId) -> bool) -> Data {
        Data(self.0.iter().filter(|(id, _)| keep(**id)).map(|(id, of)| (*id, of.clone())).collect())
    }

    /// What of it lies at a path, as a tree from the top; nothing where nothing is there.
    pub fn subtree(&self, schema: &Schema, path: &Path) -> Data {
        fn below(schema: &Schema, steps: &[Step], data: &Data) -> Data {
            let Some((step, rest)) = steps.split_first() else { return data.clone() };
            let mut cut = Data::default();
            match data.get(step.node) {
                Some(Content::Container(inner)) => {
                    let inner = below(schema, rest, inner);
                    let presence =
                        matches!(schema.node(step.node).kind, NodeKind::Container { presence: true });
                    if !inner.is_empty() || presence && rest.is_empty() {
                        cut.set(step.node, Content::Container(inner));
                    }
                }
                Some(Content::List(entries)) => {
                    for (keys, entry) in
                        entries.iter().filter(|(keys, _)| step.keys.is_empty() || **keys == step.keys)
                    {
                        let inner = below(schema, rest, entry);
                        if !inner.is_empty() {
                            // Its keys say which entry it is.
                            let kept = cut.list_entry(schema, step.node, keys);
                            *kept = std::mem::take(kept).merged(inner);
                        }
                    }
                }
                Some(Content::LeafList(values)) if !step.keys.is_empty() => {
                    if let Some(value) = values.get(&step.keys[0]) {
                        cut.leaf_list(step.node).insert(value.clone());
                    }
                }
                Some(content) if rest.is_empty() => cut.set(step.node, content.clone()),
                _ => {}
            }
            cut
        }
        below(schema, &path.0, self)
    }

    /// Both together, of which no node stands in both.
    pub fn merged(mut self, other: Data) -> Data {
        self.0.extend(other.0);
        self
    }
}

/// A place in data, for reading by name: what is absent reads as nothing or as its default.
#[derive(Clone, Copy)]
pub struct View<'a> {
    pub schema: &'a Schema,
    at: Option<NodeId>,
    data: Option<&'a Data>,
}

impl<'a> View<'a> {
    pub fn new(schema: &'a Schema, data: &'a Data) -> View<'a> {
        View { schema, at: None, data: Some(data) }
    }

    fn id(&self, name: &str) -> NodeId {
        let id = self.schema.child(self.at, name, None);
        // A test reads every name that the program asks for.
        id.unwrap_or_else(|| panic!("the modules have no {name} here"))
    }

    pub fn container(&self, name: &str) -> View<'a> {
        let id = self.id(name);
        let data = match self.data.and_then(|data| data.get(id)) {
            Some(Content::Container(data)) => Some(data),
            _ => None,
        };
        View { schema: self.schema, at: Some(id), data }
    }

    pub fn exists(&self) -> bool {
        self.data.is_some()
    }

    pub fn entries(&self, name: &str) -> Vec<View<'a>> {
        let id = self.id(name);
        match self.data.and_then(|data| data.get(id)) {
            Some(Content::List(entries)) => entries
                .values()
                .map(|data| View { schema: self.schema, at: Some(id), data: Some(data) })
                .collect(),
            _ => Vec::new(),
        }
    }

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

    pub fn leaf_list(&self, name: &str) -> Vec<&'a Value> {
        let id = self.id(name);
        match self.data.and_then(|data| data.get(id)) {
            Some(Content::LeafList(values)) => values.iter().collect(),
            _ => Vec::new(),
        }
    }

    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.leaf(name).and_then(Value::as_str)
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.leaf(name).and_then(Value::as_f64)
    }
}
