//! JSON, RFC 7951: names with their module at the top and where it changes, wide figures as strings.

use serde_json::{Map, Value as Json};

use crate::data::{Content, Data};
use crate::edit_node::EditNode;
use crate::error::{ErrorKind, ModelError};
use crate::path::{Path, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::value::{Type, Value};
use crate::xml::Element;

/// Data as one JSON object.
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

/// One value, RFC 7951 section 6.
pub fn write_value(value: &Value, kind: &NodeKind) -> Json {
    let wide = matches!(
        kind,
        NodeKind::Leaf { ty: Type::Integer { is_64_bit: true, .. }, .. }
            | NodeKind::LeafList { ty: Type::Integer { is_64_bit: true, .. } }
    );
    match value {
        Value::Integer(number) if wide => number.to_string().into(),
        Value::Integer(number) => i64::try_from(*number).map_or(Json::Null, Json::from),
        Value::Decimal(..) => value.to_string().into(),
        Value::Boolean(yes) => (*yes).into(),
        Value::Text(text) => text.clone().into(),
        Value::Empty => Json::Array(vec![Json::Null]),
    }
}

/// Elements as they came from a server, state among them, as one JSON object. What the modules don't know is left
/// out: other namespaces are not ours to word.
pub fn from_elements(schema: &Schema, elements: &[Element]) -> Json {
    from_xml_below(schema, None, elements)
}

fn from_xml_below(schema: &Schema, parent: Option<NodeId>, elements: &[Element]) -> Json {
    let mut object = Map::new();
    for element in elements {
        let module = schema.modules.iter().position(|of| of.namespace == *element.ns);
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
            _ => from_xml_below(schema, Some(id), &element.children),
        };
        match &node.kind {
            NodeKind::List { .. } | NodeKind::LeafList { .. } => {
                match object.entry(name).or_insert(Json::Array(vec![])) {
                    Json::Array(entries) => entries.push(json),
                    _ => unreachable!("the schema says that a list stands here"),
                }
            }
            _ => _ = object.insert(name, json),
        }
    }
    Json::Object(object)
}

/// A JSON object as drafts of configuration, below a place (`None`: the top).
pub fn to_edit_nodes(
    schema: &Schema,
    parent: Option<NodeId>,
    json: &Json,
) -> Result<Vec<EditNode>, ModelError> {
    drafts_below(schema, parent, &Path::default(), json)
}

fn drafts_below(
    schema: &Schema,
    parent: Option<NodeId>,
    at: &Path,
    json: &Json,
) -> Result<Vec<EditNode>, ModelError> {
    let place = || at.format(schema);
    let object = json.as_object();
    let object = object
        .ok_or_else(|| ModelError::new(ErrorKind::BadValue, place(), "", "an object should stand here"))?;
    let mut drafts = Vec::new();
    for (name, json) in object {
        let (module, bare) = match name.split_once(':') {
            Some((module, bare)) => {
                let unknown = || {
                    ModelError::new(
                        ErrorKind::UnknownNamespace,
                        place(),
                        name,
                        format!("no module {module:?}"),
                    )
                };
                (Some(schema.module_index(module).ok_or_else(unknown)?), bare)
            }
            None => (parent.map(|parent| schema.node(parent).module), name.as_str()),
        };
        let unknown = || {
            ModelError::new(ErrorKind::UnknownElement, place(), name, format!("{name:?} has no place here"))
        };
        // RFC 7951 section 4: at the top a name without its module says nothing.
        let id = module.and_then(|module| schema.child(parent, bare, Some(module))).ok_or_else(unknown)?;
        let node = schema.node(id);
        if !node.config {
            let what = format!("{name} is state, which can be read only");
            return Err(ModelError::new(ErrorKind::NotConfiguration, place(), name, what));
        }
        let array = || {
            let what = format!("{name} should be an array");
            json.as_array().ok_or_else(|| ModelError::new(ErrorKind::BadValue, place(), name, what))
        };
        let leaf = |ty: &Type, json: &Json| {
            let value = parse_value(ty, json).map_err(|why| {
                ModelError::new(
                    ErrorKind::BadValue,
                    at.child(Step::without_keys(id)).format(schema),
                    name,
                    why,
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
            NodeKind::Leaf { ty, .. } => drafts.push(leaf(ty, json)?),
            NodeKind::LeafList { ty } => {
                for json in array()? {
                    drafts.push(leaf(ty, json)?);
                }
            }
            NodeKind::Container { .. } => {
                let below = drafts_below(schema, Some(id), &at.child(Step::without_keys(id)), json)?;
                drafts.push(EditNode {
                    node: id,
                    keys: vec![],
                    value: None,
                    operation: None,
                    line: 0,
                    children: below,
                });
            }
            NodeKind::List { keys } => {
                for json in array()? {
                    let below = drafts_below(schema, Some(id), &at.child(Step::without_keys(id)), json)?;
                    let mut values = Vec::new();
                    for key in keys {
                        let found = below.iter().find(|draft| draft.node == *key);
                        let key = &schema.node(*key).name;
                        let missing = || {
                            let at = at.child(Step::without_keys(id)).format(schema);
                            ModelError::new(
                                ErrorKind::MissingElement,
                                at,
                                key,
                                format!("the key {key} is missing"),
                            )
                        };
                        values.push(found.and_then(|draft| draft.value.clone()).ok_or_else(missing)?);
                    }
                    drafts.push(EditNode {
                        node: id,
                        keys: values,
                        value: None,
                        operation: None,
                        line: 0,
                        children: below,
                    });
                }
            }
        }
    }
    Ok(drafts)
}

/// One value of a type.
pub fn parse_value(ty: &Type, json: &Json) -> Result<Value, String> {
    match (ty, json) {
        (Type::Empty, Json::Array(one)) if one[..] == [Json::Null] => Ok(Value::Empty),
        (Type::Boolean, Json::Bool(yes)) => Ok(Value::Boolean(*yes)),
        (Type::Integer { is_64_bit: false, .. }, Json::Number(number)) => ty.parse(&number.to_string()),
        (Type::Integer { is_64_bit: true, .. } | Type::Decimal { .. }, Json::String(text)) => ty.parse(text),
        (Type::Text { .. } | Type::Enumeration(_), Json::String(text)) => ty.parse(text),
        (Type::Integer { is_64_bit: true, .. } | Type::Decimal { .. }, Json::Number(_)) => {
            Err(format!("{json} should be a string"))
        }
        _ => Err(format!("{} is not of this type", crate::value::quoted(&json.to_string()))),
    }
}
