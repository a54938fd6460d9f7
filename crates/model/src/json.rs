//! The JSON encoding of RFC 7951. Member names are qualified with the module name at the top level and where the module
//! changes, and 64-bit integers and decimals are strings.

use serde_json::{Map, Value as Json};

use crate::data::{Content, Data};
use crate::edit_node::EditNode;
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::{Type, Value};
use crate::xml::Element;

/// Writes data as a JSON object.
pub fn write(schema: &Schema, data: &Data) -> Json {
    let mut object = Map::new();
    for (id, content) in data.iter() {
        let node = schema.node(id);
        let name = match schema.is_namespace_qualified(id) {
            true => format!("{}:{}", schema.modules[node.module].name, node.name),
            false => node.name.clone(),
        };
        let json = match content {
            Content::Container(data) => write(schema, data),
            Content::List(entries) => entries.values().map(|entry| write(schema, entry)).collect(),
            Content::Leaf(value) => write_value(value, &node.kind),
            Content::LeafList(values) => values.iter().map(|value| write_value(value, &node.kind)).collect(),
        };
        object.insert(name, json);
    }
    Json::Object(object)
}

/// Writes one value (RFC 7951 section 6). `kind` is the kind of its leaf or leaf-list.
pub fn write_value(value: &Value, kind: &NodeKind) -> Json {
    let is_64_bit = matches!(
        kind,
        NodeKind::Leaf { ty: Type::Integer { is_64_bit: true, .. }, .. }
            | NodeKind::LeafList { ty: Type::Integer { is_64_bit: true, .. } }
    );
    match value {
        Value::Integer(number) if is_64_bit => number.to_string().into(),
        Value::Integer(number) => i64::try_from(*number).map_or(Json::Null, Json::from),
        Value::Decimal(..) => value.to_string().into(),
        Value::Boolean(boolean) => (*boolean).into(),
        Value::Text(text) => text.clone().into(),
        Value::Empty => Json::Array(vec![Json::Null]),
    }
}

/// Converts the elements of a server's reply, which may include state, to a JSON object. Elements that are not in the
/// schema are omitted, since their types, and so their encoding, are unknown.
pub fn from_elements(schema: &Schema, elements: &[Element]) -> Json {
    from_elements_below(schema, None, elements)
}

fn from_elements_below(schema: &Schema, parent: Option<NodeId>, elements: &[Element]) -> Json {
    let mut object = Map::new();
    for element in elements {
        let module = schema.modules.iter().position(|module| module.namespace == *element.namespace);
        let Some(id) = module.and_then(|module| schema.child(parent, &element.name, Some(module))) else {
            continue;
        };
        let node = schema.node(id);
        let name = match schema.is_namespace_qualified(id) {
            true => format!("{}:{}", schema.modules[node.module].name, node.name),
            false => node.name.clone(),
        };
        let value =
            |ty: &Type| ty.parse(&element.text).map_or(Json::Null, |value| write_value(&value, &node.kind));
        let json = match &node.kind {
            NodeKind::Leaf { ty, .. } | NodeKind::LeafList { ty } => value(ty),
            _ => from_elements_below(schema, Some(id), &element.children),
        };
        match &node.kind {
            NodeKind::List { .. } | NodeKind::LeafList { .. } => {
                match object.entry(name).or_insert(Json::Array(vec![])) {
                    Json::Array(entries) => entries.push(json),
                    _ => unreachable!("the schema node is a list or a leaf-list"),
                }
            }
            _ => _ = object.insert(name, json),
        }
    }
    Json::Object(object)
}

/// Checks a JSON object with the configuration below a node (`None`: the root) against the schema and converts it to
/// edit nodes.
pub fn to_edit_nodes(
    schema: &Schema,
    parent: Option<NodeId>,
    json: &Json,
) -> Result<Vec<EditNode>, ModelError> {
    to_edit_nodes_below(schema, parent, &Path::default(), json)
}

fn to_edit_nodes_below(
    schema: &Schema,
    parent: Option<NodeId>,
    parent_path: &Path,
    json: &Json,
) -> Result<Vec<EditNode>, ModelError> {
    let parent_text = || parent_path.format(schema);
    let object = json.as_object();
    let object = object
        .ok_or_else(|| ModelError::new(ErrorKind::BadValue, parent_text(), "", "expected an object"))?;
    let mut edit_nodes = Vec::new();
    for (name, json) in object {
        let (module, local_name) = match name.split_once(':') {
            Some((module, local_name)) => {
                let unknown = || {
                    ModelError::new(
                        ErrorKind::UnknownNamespace,
                        parent_text(),
                        name,
                        format!("unknown module {module:?}"),
                    )
                };
                (Some(schema.module_index(module).ok_or_else(unknown)?), local_name)
            }
            None => (parent.map(|parent| schema.node(parent).module), name.as_str()),
        };
        let unknown = || {
            ModelError::new(
                ErrorKind::UnknownElement,
                parent_text(),
                name,
                format!("unexpected member {name:?}"),
            )
        };
        // RFC 7951 section 4: a name at the top level must have the name of its module.
        let id =
            module.and_then(|module| schema.child(parent, local_name, Some(module))).ok_or_else(unknown)?;
        let node = schema.node(id);
        if !node.config {
            let message = format!("{name} is state data, which is read-only");
            return Err(ModelError::new(ErrorKind::NotConfiguration, parent_text(), name, message));
        }
        let array = || {
            let message = format!("{name} must be an array");
            json.as_array().ok_or_else(|| ModelError::new(ErrorKind::BadValue, parent_text(), name, message))
        };
        let leaf = |ty: &Type, json: &Json| {
            let value = parse_value(ty, json).map_err(|message| {
                ModelError::new(
                    ErrorKind::BadValue,
                    parent_path.child(Step::without_keys(id)).format(schema),
                    name,
                    message,
                )
            })?;
            Ok(EditNode {
                node: id,
                keys: vec![],
                value: Some(value),
                operation: None,
                line: 0,
                children: vec![],
            })
        };
        match &node.kind {
            NodeKind::Leaf { ty, .. } => edit_nodes.push(leaf(ty, json)?),
            NodeKind::LeafList { ty } => {
                for json in array()? {
                    edit_nodes.push(leaf(ty, json)?);
                }
            }
            NodeKind::Container { .. } => {
                let children =
                    to_edit_nodes_below(schema, Some(id), &parent_path.child(Step::without_keys(id)), json)?;
                edit_nodes.push(EditNode {
                    node: id,
                    keys: vec![],
                    value: None,
                    operation: None,
                    line: 0,
                    children,
                });
            }
            NodeKind::List { keys } => {
                for json in array()? {
                    let children = to_edit_nodes_below(
                        schema,
                        Some(id),
                        &parent_path.child(Step::without_keys(id)),
                        json,
                    )?;
                    let mut key_values = Vec::new();
                    for key in keys {
                        let key_leaf = children.iter().find(|child| child.node == *key);
                        let key = &schema.node(*key).name;
                        let missing = || {
                            let path = parent_path.child(Step::without_keys(id)).format(schema);
                            ModelError::new(
                                ErrorKind::MissingElement,
                                path,
                                key,
                                format!("the key {key} is missing"),
                            )
                        };
                        key_values.push(key_leaf.and_then(|leaf| leaf.value.clone()).ok_or_else(missing)?);
                    }
                    edit_nodes.push(EditNode {
                        node: id,
                        keys: key_values,
                        value: None,
                        operation: None,
                        line: 0,
                        children,
                    });
                }
            }
        }
    }
    Ok(edit_nodes)
}

/// Parses the value of a leaf or of a leaf-list entry. The error says why it is not valid.
pub fn parse_value(ty: &Type, json: &Json) -> Result<Value, String> {
    match (ty, json) {
        (Type::Empty, Json::Array(items)) if items[..] == [Json::Null] => Ok(Value::Empty),
        (Type::Boolean, Json::Bool(boolean)) => Ok(Value::Boolean(*boolean)),
        (Type::Integer { is_64_bit: false, .. }, Json::Number(number)) => ty.parse(&number.to_string()),
        (Type::Integer { is_64_bit: true, .. } | Type::Decimal { .. }, Json::String(text)) => ty.parse(text),
        (Type::Text { .. } | Type::Enumeration(_), Json::String(text)) => ty.parse(text),
        (Type::Integer { is_64_bit: true, .. } | Type::Decimal { .. }, Json::Number(_)) => {
            Err(format!("{json} must be a string"))
        }
        _ => Err(format!("{} is not a value of this type", crate::value::quoted(&json.to_string()))),
    }
}
