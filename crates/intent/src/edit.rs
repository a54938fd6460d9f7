//! The edit-config operation (RFC 6241 section 7.2), applied to [`EditNode`]s. It does not depend on the management
//! protocol or on the encoding that the edit was parsed from.

use juniperrail_model::{
    Content, Data, EditNode, EditOperation, ErrorKind, ModelError, NodeKind, Path, Schema,
};

/// The operation for edit nodes that neither specify one nor inherit one from an ancestor (RFC 6241's
/// `default-operation`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DefaultOperation {
    #[default]
    Merge,
    Replace,
    /// A node without an operation is not changed, but must exist.
    None,
}

/// How an edit is handled if a part of it fails (RFC 6241's `error-option`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ErrorOption {
    /// The edit changes nothing. RFC 6241's `stop-on-error` and `rollback-on-error` are the same here, since an edit
    /// is applied completely or not at all.
    #[default]
    RollbackOnError,
    /// The valid parts are applied, and every error is returned.
    ContinueOnError,
}

/// The operation in effect at a node: its own, or the one inherited from an ancestor or from the default operation.
#[derive(Clone, Copy, PartialEq)]
enum EffectiveOperation {
    Edit(EditOperation),
    /// The node is not changed.
    None,
}

/// Applies one edit and collects its errors.
struct Editor<'a> {
    schema: &'a Schema,
    error_option: ErrorOption,
    errors: Vec<ModelError>,
}

/// Returns the data after the edit and the errors found. With [`ErrorOption::RollbackOnError`], data with an error is
/// returned unchanged.
pub fn edit_config(
    schema: &Schema,
    data: &Data,
    edit_nodes: &[EditNode],
    default_operation: DefaultOperation,
    error_option: ErrorOption,
) -> (Data, Vec<ModelError>) {
    let mut editor = Editor { schema, error_option, errors: Vec::new() };
    let operation = match default_operation {
        DefaultOperation::Merge => EffectiveOperation::Edit(EditOperation::Merge),
        DefaultOperation::Replace => EffectiveOperation::Edit(EditOperation::Replace),
        DefaultOperation::None => EffectiveOperation::None,
    };
    // A default operation of replace replaces the entire datastore, not only the nodes in the edit (section 7.2).
    let mut edited =
        if default_operation == DefaultOperation::Replace { Data::default() } else { data.clone() };
    let operation = if default_operation == DefaultOperation::Replace {
        EffectiveOperation::Edit(EditOperation::Merge)
    } else {
        operation
    };
    editor.apply_all(&mut edited, edit_nodes, &Path::default(), operation);
    edited.prune_empty(schema);
    if error_option == ErrorOption::RollbackOnError && !editor.errors.is_empty() {
        return (data.clone(), editor.errors);
    }
    (edited, editor.errors)
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
            if let Err(error) = self.apply_one(data, edit_node, parent, inherited) {
                self.errors.push(error);
                if self.error_option == ErrorOption::RollbackOnError {
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
        let operation = edit_node.operation.map_or(inherited, EffectiveOperation::Edit);
        let exists = contains(data, edit_node);
        match operation {
            EffectiveOperation::Edit(EditOperation::Delete) if !exists => {
                return Err(edit_node.error(
                    self.schema,
                    parent,
                    ErrorKind::DataMissing,
                    "does not exist and cannot be deleted",
                ));
            }
            EffectiveOperation::Edit(EditOperation::Delete | EditOperation::Remove) => {
                remove_node(data, edit_node);
                return Ok(());
            }
            EffectiveOperation::Edit(EditOperation::Create) if exists && edit_node.operation.is_some() => {
                return Err(edit_node.error(self.schema, parent, ErrorKind::DataExists, "exists already"));
            }
            _ => {}
        }
        let path = parent.child(edit_node.step());
        let node_data = match &self.schema.node(edit_node.node).kind {
            NodeKind::Leaf { .. } => {
                // Without an operation the leaf stays unchanged. Key leaves are already set by `Data::list_entry`.
                if let (EffectiveOperation::Edit(_), Some(value)) = (operation, &edit_node.value) {
                    data.set(edit_node.node, Content::Leaf(value.clone()));
                }
                return Ok(());
            }
            NodeKind::LeafList { .. } => {
                if let (EffectiveOperation::Edit(_), Some(value)) = (operation, &edit_node.value) {
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
            || operation == EffectiveOperation::Edit(EditOperation::Replace) && edit_node.operation.is_none()
        {
            *node_data = Data::default();
        }
        // A node that was just replaced or created has no earlier content, so its descendants are merged.
        let operation_below = if matches!(
            operation,
            EffectiveOperation::Edit(EditOperation::Replace | EditOperation::Create)
        ) {
            EffectiveOperation::Edit(EditOperation::Merge)
        } else {
            operation
        };
        self.apply_all(node_data, &edit_node.children, &path, operation_below);
        Ok(())
    }

    /// Applies the edits below a node that has no operation and does not exist. Only a non-presence container may be
    /// absent, and only if a descendant specifies an operation.
    fn apply_below_absent(
        &mut self,
        data: &mut Data,
        edit_node: &EditNode,
        parent: &Path,
    ) -> Result<(), ModelError> {
        if !edit_node.children.iter().any(specifies_operation) {
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
        let mut container_data = Data::default();
        self.apply_all(
            &mut container_data,
            &edit_node.children,
            &parent.child(edit_node.step()),
            EffectiveOperation::None,
        );
        if !container_data.is_empty() {
            *data.container(edit_node.node) = container_data;
        }
        Ok(())
    }
}

/// Whether the edit node or a descendant specifies an operation.
fn specifies_operation(edit_node: &EditNode) -> bool {
    edit_node.operation.is_some() || edit_node.children.iter().any(specifies_operation)
}

/// Whether the data contains the node, list entry or leaf-list value that the edit node names.
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

/// Removes the node, list entry or leaf-list value that the edit node names. A list or leaf-list that becomes empty is
/// removed too.
fn remove_node(data: &mut Data, edit_node: &EditNode) {
    let none_left = match data.get(edit_node.node) {
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
    if none_left {
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

    /// Applies an edit to the data of the two workers. Asserts that an edit with an error changes nothing.
    fn edited(body: &str, default: DefaultOperation) -> Result<Data, ModelError> {
        let before = data(TWO_WORKERS);
        let (after, mut errors) =
            edit_config(&schema(), &before, &edit_nodes(body), default, ErrorOption::RollbackOnError);
        if let Some(error) = errors.pop() {
            assert_eq!(
                (after, errors.len()),
                (before, 0),
                "nothing is changed, and the first error is returned"
            );
            return Err(error);
        }
        Ok(after)
    }

    #[test]
    fn each_operation_follows_rfc_6241() {
        use DefaultOperation::*;
        let a = |rest: &str| format!("<worker><name>a</name>{rest}</worker>");
        let with_operation = |operation: &str, name: &str, rest: &str| {
            format!("<worker n:operation=\"{operation}\"><name>{name}</name>{rest}</worker>")
        };
        let b = "<worker><name>b</name><wanted>out</wanted></worker>";
        let weight = "<weight>2</weight>";
        let old_weight = "<weight>1</weight>";
        for (body, default, expected) in [
            (
                a("<wanted>out</wanted>"),
                Merge,
                format!("{}{b}", a(&format!("<wanted>out</wanted>{old_weight}"))),
            ),
            (a(weight), Merge, format!("{}{b}", a(weight))),
            (a(weight), Replace, a(weight)),
            (
                with_operation("replace", "a", "<wanted>ready</wanted>"),
                Merge,
                format!("{}{b}", a("<wanted>ready</wanted>")),
            ),
            (
                with_operation("create", "c", ""),
                Merge,
                format!("{TWO_WORKERS}<worker><name>c</name></worker>"),
            ),
            (
                with_operation("create", "c", ""),
                None,
                format!("{TWO_WORKERS}<worker><name>c</name></worker>"),
            ),
            (with_operation("delete", "a", ""), Merge, b.to_string()),
            (with_operation("remove", "c", ""), Merge, TWO_WORKERS.to_string()),
            (with_operation("remove", "b", ""), None, a(old_weight)),
            (a("<weight n:operation=\"delete\"/>"), None, format!("{}{b}", a(""))),
            (a("<weight n:operation=\"replace\">2</weight>"), None, format!("{}{b}", a(weight))),
            (a(weight), None, TWO_WORKERS.to_string()),
            (
                with_operation("merge", "c", weight),
                None,
                format!("{TWO_WORKERS}<worker><name>c</name>{weight}</worker>"),
            ),
        ] {
            assert_eq!(edited(&body, default), Ok(data(&expected)), "{body}");
        }
    }

    #[test]
    fn an_edit_with_an_error_changes_nothing() {
        use DefaultOperation::*;
        let create = "<worker n:operation=\"create\"><name>a</name></worker>";
        let valid = "<worker><name>a</name><weight>9</weight></worker>";
        for (body, default, kind) in [
            (format!("{valid}{create}"), Merge, ErrorKind::DataExists),
            (format!("{valid}<worker n:operation=\"delete\"><name>c</name></worker>"), Merge, ErrorKind::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"delete\"/></worker>".into(), Merge, ErrorKind::DataMissing),
            ("<worker><name>b</name><weight n:operation=\"create\">1</weight><wanted n:operation=\"create\">out</wanted></worker>".into(), Merge, ErrorKind::DataExists),
            ("<worker><name>c</name></worker>".into(), None, ErrorKind::DataMissing),
            ("<worker><name>c</name><weight n:operation=\"create\">1</weight></worker>".into(), None, ErrorKind::DataMissing),
        ] {
            assert_eq!(edited(&body, default).unwrap_err().kind, kind, "{body}");
        }
    }

    #[test]
    fn continue_on_error_applies_the_valid_parts_and_returns_every_error() {
        let body = "<worker n:operation=\"create\"><name>a</name></worker>\
                    <worker><name>a</name><weight>9</weight></worker>\
                    <worker n:operation=\"delete\"><name>c</name></worker>";
        let (after, errors) = edit_config(
            &schema(),
            &data(TWO_WORKERS),
            &edit_nodes(body),
            DefaultOperation::Merge,
            ErrorOption::ContinueOnError,
        );
        assert_eq!(
            errors.iter().map(|error| error.kind).collect::<Vec<_>>(),
            [ErrorKind::DataExists, ErrorKind::DataMissing]
        );
        assert_eq!(after, data(&TWO_WORKERS.replace("<weight>1", "<weight>9")));
    }
}
