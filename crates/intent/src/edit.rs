//! The edit-config operation (RFC 6241 section 7.2) on edit nodes, independent of the protocol that they came by.

use juniperrail_model::{
    Content, Data, EditNode, EditOperation, ErrorKind, ModelError, NodeKind, Path, Schema,
};

/// What is done with nodes that name no operation (RFC 6241's `default-operation`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DefaultOperation {
    #[default]
    Merge,
    Replace,
    /// Nothing is changed, but the node must exist.
    None,
}

/// How an edit with faults is handled (RFC 6241's `error-option`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    /// The edit changes nothing. RFC 6241's `stop-on-error` and `rollback-on-error` are the same here, since an edit
    /// is applied completely or not at all.
    #[default]
    RollbackOnError,
    /// The valid parts are applied, and every fault is returned.
    ContinueOnError,
}

/// The operation in effect at a node, its own or inherited from an ancestor.
#[derive(Clone, Copy, PartialEq)]
enum EffectiveOperation {
    Op(EditOperation),
    None,
}

struct Editor<'a> {
    schema: &'a Schema,
    errors: ErrorOption,
    faults: Vec<ModelError>,
}

/// Returns the data after the edit and the faults found. With [`ErrorOption::RollbackOnError`], data with a fault is
/// returned unchanged.
pub fn edit_config(
    schema: &Schema,
    data: &Data,
    edit_nodes: &[EditNode],
    default: DefaultOperation,
    errors: ErrorOption,
) -> (Data, Vec<ModelError>) {
    let mut editor = Editor { schema, errors, faults: Vec::new() };
    let operation = match default {
        DefaultOperation::Merge => EffectiveOperation::Op(EditOperation::Merge),
        DefaultOperation::Replace => EffectiveOperation::Op(EditOperation::Replace),
        DefaultOperation::None => EffectiveOperation::None,
    };
    // A default operation of replace replaces the whole datastore, not just the nodes named (section 7.2).
    let mut edited = if default == DefaultOperation::Replace { Data::default() } else { data.clone() };
    let operation = if default == DefaultOperation::Replace {
        EffectiveOperation::Op(EditOperation::Merge)
    } else {
        operation
    };
    editor.apply_all(&mut edited, edit_nodes, &Path::default(), operation);
    edited.prune_empty(schema);
    if errors == ErrorOption::RollbackOnError && !editor.faults.is_empty() {
        return (data.clone(), editor.faults);
    }
    (edited, editor.faults)
}

impl Editor<'_> {
    fn apply_all(
        &mut self,
        data: &mut Data,
        edit_nodes: &[EditNode],
        parent: &Path,
        inherited: EffectiveOperation,
    ) {
        for edit_node in edit_nodes {
            if let Err(fault) = self.apply_one(data, edit_node, parent, inherited) {
                self.faults.push(fault);
                if self.errors == ErrorOption::RollbackOnError {
                    return;
                }
            }
        }
    }

    fn apply_one(
        &mut self,
        data: &mut Data,
        edit_node: &EditNode,
        parent: &Path,
        inherited: EffectiveOperation,
    ) -> Result<(), ModelError> {
        let operation = edit_node.operation.map_or(inherited, EffectiveOperation::Op);
        let exists = contains(data, edit_node);
        match operation {
            EffectiveOperation::Op(EditOperation::Delete) if !exists => {
                return Err(edit_node.error(
                    self.schema,
                    parent,
                    ErrorKind::DataMissing,
                    "does not exist and cannot be deleted",
                ));
            }
            EffectiveOperation::Op(EditOperation::Delete | EditOperation::Remove) => {
                remove_node(data, edit_node);
                return Ok(());
            }
            EffectiveOperation::Op(EditOperation::Create) if exists && edit_node.operation.is_some() => {
                return Err(edit_node.error(self.schema, parent, ErrorKind::DataExists, "exists already"));
            }
            _ => {}
        }
        let path = parent.child(edit_node.step());
        let inner = match &self.schema.node(edit_node.node).kind {
            NodeKind::Leaf { .. } => {
                // The list entry sets its keys; without an operation nothing is changed.
                if let (EffectiveOperation::Op(_), Some(value)) = (operation, &edit_node.value) {
                    data.set(edit_node.node, Content::Leaf(value.clone()));
                }
                return Ok(());
            }
            NodeKind::LeafList { .. } => {
                if let (EffectiveOperation::Op(_), Some(value)) = (operation, &edit_node.value) {
                    if edit_node.operation == Some(EditOperation::Replace) {
                        remove_node(data, edit_node);
                    }
                    data.leaf_list(edit_node.node).insert(value.clone());
                }
                return Ok(());
            }
            _ if operation == EffectiveOperation::None && !exists => {
                return self.apply_below_absent(data, edit_node, parent);
            }
            NodeKind::Container { .. } => data.container(edit_node.node),
            NodeKind::List { .. } => data.list_entry(self.schema, edit_node.node, &edit_node.keys),
        };
        if edit_node.operation == Some(EditOperation::Replace)
            || operation == EffectiveOperation::Op(EditOperation::Replace) && edit_node.operation.is_none()
        {
            *inner = Data::default();
        }
        // A node that was just replaced or created has no existing content below it, so the rest is merged.
        let below =
            if matches!(operation, EffectiveOperation::Op(EditOperation::Replace | EditOperation::Create)) {
                EffectiveOperation::Op(EditOperation::Merge)
            } else {
                operation
            };
        self.apply_all(inner, &edit_node.children, &path, below);
        Ok(())
    }

    /// Applies the edits below a node that has no operation and does not exist. Only a non-presence container may be
    /// absent, and only if a descendant names an operation.
    fn apply_below_absent(
        &mut self,
        data: &mut Data,
        edit_node: &EditNode,
        parent: &Path,
    ) -> Result<(), ModelError> {
        if !edit_node.children.iter().any(names_operation) {
            return Err(edit_node.error(self.schema, parent, ErrorKind::DataMissing, "does not exist"));
        }
        let non_presence =
            matches!(self.schema.node(edit_node.node).kind, NodeKind::Container { presence: false });
        if !non_presence {
            return Err(edit_node.error(
                self.schema,
                parent,
                ErrorKind::DataMissing,
                "does not exist and cannot contain the nodes below it",
            ));
        }
        // A non-presence container exists implicitly.
        let mut inner = Data::default();
        self.apply_all(
            &mut inner,
            &edit_node.children,
            &parent.child(edit_node.step()),
            EffectiveOperation::None,
        );
        if !inner.is_empty() {
            *data.container(edit_node.node) = inner;
        }
        Ok(())
    }
}

/// Whether the edit node or a descendant names an operation.
fn names_operation(edit_node: &EditNode) -> bool {
    edit_node.operation.is_some() || edit_node.children.iter().any(names_operation)
}

fn contains(data: &Data, edit_node: &EditNode) -> bool {
    match data.get(edit_node.node) {
        Some(Content::List(entries)) => entries.contains_key(&edit_node.keys),
        Some(Content::LeafList(values)) => {
            edit_node.value.as_ref().is_some_and(|value| values.contains(value))
        }
        Some(_) => true,
        None => false,
    }
}

/// Removes the node that the edit node names, and its list or leaf-list if that becomes empty.
fn remove_node(data: &mut Data, edit_node: &EditNode) {
    let is_empty = match data.get(edit_node.node) {
        Some(Content::List(_)) => {
            let entries = data.list(edit_node.node);
            entries.remove(&edit_node.keys);
            entries.is_empty()
        }
        Some(Content::LeafList(_)) => {
            let values = data.leaf_list(edit_node.node);
            edit_node.value.iter().for_each(|value| _ = values.remove(value));
            values.is_empty()
        }
        _ => true,
    };
    if is_empty {
        data.remove(edit_node.node);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::{schema, xml};

    const START_TAG: &str = "<workers xmlns=\"tag:juniperrail.example,2026:yang:manager\" \
                             xmlns:n=\"urn:ietf:params:xml:ns:netconf:base:1.0\">";

    fn edit_nodes(body: &str) -> Vec<EditNode> {
        let text = format!("{START_TAG}{body}</workers>");
        xml::to_edit_nodes(&schema(), &[xml::parse(text.as_bytes()).unwrap()], true).unwrap()
    }

    fn data(body: &str) -> Data {
        Data::from_edit_nodes(&schema(), &edit_nodes(body)).unwrap()
    }

    const TWO_WORKERS: &str = "<worker><name>a</name><weight>1</weight></worker>\
                               <worker><name>b</name><wanted>out</wanted></worker>";

    /// Edits a datastore with the two workers; a fault must leave it unchanged.
    fn edited(body: &str, default: DefaultOperation) -> Result<Data, ModelError> {
        let before = data(TWO_WORKERS);
        let (after, mut faults) =
            edit_config(&schema(), &before, &edit_nodes(body), default, ErrorOption::RollbackOnError);
        if let Some(fault) = faults.pop() {
            assert_eq!(
                (after, faults.len()),
                (before, 0),
                "nothing is changed, and the first fault is returned"
            );
            return Err(fault);
        }
        Ok(after)
    }

    #[test]
    fn each_operation_follows_rfc_6241() {
        use DefaultOperation::*;
        let a = |rest: &str| format!("<worker><name>a</name>{rest}</worker>");
        let op = |op: &str, name: &str, rest: &str| {
            format!("<worker n:operation=\"{op}\"><name>{name}</name>{rest}</worker>")
        };
        let b = "<worker><name>b</name><wanted>out</wanted></worker>";
        let weight = "<weight>2</weight>";
        let old = "<weight>1</weight>";
        for (body, default, expected) in [
            (a("<wanted>out</wanted>"), Merge, format!("{}{b}", a(&format!("<wanted>out</wanted>{old}")))),
            (a(weight), Merge, format!("{}{b}", a(weight))),
            (a(weight), Replace, a(weight)),
            (
                op("replace", "a", "<wanted>ready</wanted>"),
                Merge,
                format!("{}{b}", a("<wanted>ready</wanted>")),
            ),
            (op("create", "c", ""), Merge, format!("{TWO_WORKERS}<worker><name>c</name></worker>")),
            (op("create", "c", ""), None, format!("{TWO_WORKERS}<worker><name>c</name></worker>")),
            (op("delete", "a", ""), Merge, b.to_string()),
            (op("remove", "c", ""), Merge, TWO_WORKERS.to_string()),
            (op("remove", "b", ""), None, a(old)),
            (a("<weight n:operation=\"delete\"/>"), None, format!("{}{b}", a(""))),
            (a("<weight n:operation=\"replace\">2</weight>"), None, format!("{}{b}", a(weight))),
            (a(weight), None, TWO_WORKERS.to_string()),
            (op("merge", "c", weight), None, format!("{TWO_WORKERS}<worker><name>c</name>{weight}</worker>")),
        ] {
            assert_eq!(edited(&body, default), Ok(data(&expected)), "{body}");
        }
    }

    #[test]
    fn an_edit_with_a_fault_is_rejected_as_a_whole() {
        use DefaultOperation::*;
        let create = "<worker n:operation=\"create\"><name>a</name></worker>";
        let valid = "<worker><name>a</name><weight>9</weight></worker>";
        for (body, default, rule) in [
            (format!("{valid}{create}"), Merge, ErrorKind::DataExists),
            (format!("{valid}<worker n:operation=\"delete\"><name>c</name></worker>"), Merge, ErrorKind::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"delete\"/></worker>".into(), Merge, ErrorKind::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"create\">1</weight><wanted n:operation=\"create\">out</wanted></worker>".into(), Merge, ErrorKind::DataExists),
            ("<worker><name>c</name></worker>".into(), None, ErrorKind::DataMissing),
            ("<worker><name>c</name><weight n:operation=\"create\">1</weight></worker>".into(), None, ErrorKind::DataMissing),
        ] {
            assert_eq!(edited(&body, default).unwrap_err().kind, rule, "{body}");
        }
    }

    #[test]
    fn continue_on_error_applies_the_valid_parts_and_returns_every_fault() {
        let body = "<worker n:operation=\"create\"><name>a</name></worker>\
                    <worker><name>a</name><weight>9</weight></worker>\
                    <worker n:operation=\"delete\"><name>c</name></worker>";
        let (after, faults) = edit_config(
            &schema(),
            &data(TWO_WORKERS),
            &edit_nodes(body),
            DefaultOperation::Merge,
            ErrorOption::ContinueOnError,
        );
        assert_eq!(
            faults.iter().map(|fault| fault.kind).collect::<Vec<_>>(),
            [ErrorKind::DataExists, ErrorKind::DataMissing]
        );
        assert_eq!(after, data(&TWO_WORKERS.replace("<weight>1", "<weight>9")));
    }
}
