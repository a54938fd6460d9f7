//! Nodes of an edit: data that is parsed and checked against the schema but not yet applied to a data tree. Each node
//! may have an edit operation of its own.

use crate::data::{Content, Data};
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::Value;

/// The values of the `operation` attribute of RFC 6241 section 7.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOperation {
    /// Merges the node into the data.
    Merge,
    /// Replaces the existing node.
    Replace,
    /// Creates the node; an error if it exists.
    Create,
    /// Deletes the node; an error if it does not exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
}

/// A node of an edit with its descendants.
#[derive(Clone, Debug, PartialEq)]
pub struct EditNode {
    pub node: NodeId,
    /// The keys of a list entry, in the order of the schema.
    pub keys: Vec<Value>,
    /// The value of a leaf or of a leaf-list entry. A leaf that is to be deleted may have none.
    pub value: Option<Value>,
    /// The operation given for this node itself; `None` if it inherits that of its parent.
    pub operation: Option<EditOperation>,
    /// The line in the parsed text, or 0 if there is none.
    pub line: u32,
    pub children: Vec<EditNode>,
}

impl EditNode {
    /// The step of a path that leads to this node.
    pub fn step(&self) -> Step {
        Step::with_keys(self.node, &self.keys)
    }

    /// An error about this node. `message` follows the name of the node.
    pub fn error(&self, schema: &Schema, parent: &Path, kind: ErrorKind, message: &str) -> ModelError {
        let name = &schema.node(self.node).name;
        ModelError::new(kind, parent.child(self.step()).format(schema), name, format!("{name} {message}"))
            .at_line(self.line)
    }

    /// Builds the chain of edit nodes from the root to the node at a path, which gets the given operation, value and
    /// children. List entries get their key leaves unless these are among the children. If the path leads to a
    /// leaf-list entry and no value is given, the value is that in the path. For the path of the root, returns the
    /// children.
    pub fn at_path(
        schema: &Schema,
        path: &Path,
        operation: Option<EditOperation>,
        value: Option<Value>,
        children: Vec<EditNode>,
    ) -> Vec<EditNode> {
        let Some((last, ancestors)) = path.0.split_last() else { return children };
        let edit_node = |step: &Step, operation, value, children: Vec<EditNode>| {
            let keys = schema.node(step.node).keys().iter().zip(&step.keys);
            let key_leaf = |(id, key): (&NodeId, &Value)| EditNode {
                node: *id,
                keys: vec![],
                value: Some(key.clone()),
                operation: None,
                line: 0,
                children: vec![],
            };
            let is_given = |id: &NodeId| children.iter().any(|child: &EditNode| child.node == *id);
            let mut all_children: Vec<EditNode> =
                keys.filter(|(id, _)| !is_given(id)).map(key_leaf).collect();
            all_children.extend(children);
            let is_list = matches!(schema.node(step.node).kind, NodeKind::List { .. });
            let keys = if is_list { step.keys.clone() } else { vec![] };
            EditNode { node: step.node, keys, value, operation, line: 0, children: all_children }
        };
        let target = edit_node(last, operation, value.or_else(|| leaf_list_value(schema, last)), children);
        ancestors
            .iter()
            .rev()
            .fold(vec![target], |children, step| vec![edit_node(step, None, None, children)])
    }
}

/// The value in the path step of a leaf-list entry.
fn leaf_list_value(schema: &Schema, step: &Step) -> Option<Value> {
    matches!(schema.node(step.node).kind, NodeKind::LeafList { .. })
        .then(|| step.keys.first().cloned())
        .flatten()
}

impl Data {
    /// Converts the data to edit nodes without operations, in the same order.
    pub fn to_edit_nodes(&self) -> Vec<EditNode> {
        let leaf = |node, value: &Value| EditNode {
            node,
            keys: vec![],
            value: Some(value.clone()),
            operation: None,
            line: 0,
            children: vec![],
        };
        let interior = |node, keys: &[Value], data: &Data| EditNode {
            node,
            keys: keys.to_vec(),
            value: None,
            operation: None,
            line: 0,
            children: data.to_edit_nodes(),
        };
        let mut edit_nodes = Vec::new();
        for (id, content) in self.iter() {
            match content {
                Content::Container(data) => edit_nodes.push(interior(id, &[], data)),
                Content::List(entries) => {
                    edit_nodes.extend(entries.iter().map(|(keys, entry)| interior(id, keys, entry)))
                }
                Content::Leaf(value) => edit_nodes.push(leaf(id, value)),
                Content::LeafList(values) => edit_nodes.extend(values.iter().map(|value| leaf(id, value))),
            }
        }
        edit_nodes
    }

    /// Builds data from edit nodes. A node that has an operation or is given more than once is an error.
    pub fn from_edit_nodes(schema: &Schema, edit_nodes: &[EditNode]) -> Result<Data, ModelError> {
        from_edit_nodes_below(schema, edit_nodes, &Path::default())
    }
}

fn from_edit_nodes_below(
    schema: &Schema,
    edit_nodes: &[EditNode],
    parent: &Path,
) -> Result<Data, ModelError> {
    let mut data = Data::default();
    for edit_node in edit_nodes {
        let rejected = |kind, message: &str| Err(edit_node.error(schema, parent, kind, message));
        if edit_node.operation.is_some() {
            return rejected(ErrorKind::UnknownAttribute, "has an operation, which is not allowed here");
        }
        match &schema.node(edit_node.node).kind {
            NodeKind::Container { .. } => {
                if data.get(edit_node.node).is_some() {
                    return rejected(ErrorKind::Duplicate, "is given more than once");
                }
                let inner =
                    from_edit_nodes_below(schema, &edit_node.children, &parent.child(edit_node.step()))?;
                data.set(edit_node.node, Content::Container(inner));
            }
            NodeKind::List { .. } => {
                let entry =
                    from_edit_nodes_below(schema, &edit_node.children, &parent.child(edit_node.step()))?;
                if data.list(edit_node.node).insert(edit_node.keys.clone(), entry).is_some() {
                    return rejected(ErrorKind::Duplicate, "is given more than once with these keys");
                }
            }
            NodeKind::Leaf { .. } => {
                let Some(value) = &edit_node.value else {
                    return rejected(ErrorKind::BadValue, "has no value");
                };
                if data.get(edit_node.node).is_some() {
                    return rejected(ErrorKind::Duplicate, "is given more than once");
                }
                data.set(edit_node.node, Content::Leaf(value.clone()));
            }
            NodeKind::LeafList { .. } => {
                let Some(value) = &edit_node.value else {
                    return rejected(ErrorKind::BadValue, "has no value");
                };
                if !data.leaf_list(edit_node.node).insert(value.clone()) {
                    return rejected(ErrorKind::Duplicate, "is given more than once with this value");
                }
            }
        }
    }
    Ok(data)
}
