//! The `rpc-error` element (RFC 6241 section 4.3 and appendix A), and the conversion of model errors and datastore
//! errors to it.

use juniperrail_intent::{DatastoreError, Refusal, Session};
use juniperrail_model::xml::{Attribute, Element, NETCONF_NAMESPACE, XML_NAMESPACE};
use juniperrail_model::{ErrorKind, ModelError};

/// The `error-type` of an error: the layer at which it occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorType {
    Rpc,
    Protocol,
    Application,
}

/// One `rpc-error` of a reply.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    pub error_type: ErrorType,
    /// The `error-tag`.
    pub tag: &'static str,
    /// The `error-app-tag`.
    pub app_tag: Option<&'static str>,
    /// The `error-path`.
    pub path: Option<String>,
    /// The `error-message`.
    pub message: String,
    /// The elements of `error-info` as names and values.
    pub info: Vec<(&'static str, String)>,
}

impl RpcError {
    /// An error with this `error-type`, `error-tag` and `error-message`.
    pub fn new(error_type: ErrorType, tag: &'static str, message: impl Into<String>) -> RpcError {
        RpcError { error_type, tag, app_tag: None, path: None, message: message.into(), info: Vec::new() }
    }

    /// Sets the `error-path`.
    pub fn with_path(self, path: impl Into<String>) -> RpcError {
        RpcError { path: Some(path.into()), ..self }
    }

    /// Adds an element to `error-info`.
    pub fn with_info(mut self, name: &'static str, value: impl Into<String>) -> RpcError {
        self.info.push((name, value.into()));
        self
    }

    /// Builds the `rpc-error` element. `prefixes` are the prefixes of model paths and their namespaces; the
    /// `error-path` declares those that it uses.
    pub fn to_element(&self, prefixes: &[(String, String)]) -> Element {
        let leaf = |name: &str, text: &str| Element::with_text(NETCONF_NAMESPACE, name, text);
        let error_type = match self.error_type {
            ErrorType::Rpc => "rpc",
            ErrorType::Protocol => "protocol",
            ErrorType::Application => "application",
        };
        let mut error = Element::new(NETCONF_NAMESPACE, "rpc-error")
            .with_child(leaf("error-type", error_type))
            .with_child(leaf("error-tag", self.tag))
            .with_child(leaf("error-severity", "error"));
        error.children.extend(self.app_tag.map(|tag| leaf("error-app-tag", tag)));
        if let Some(path) = &self.path {
            let used_prefixes = prefixes.iter().filter(|(prefix, _)| path.contains(&format!("{prefix}:")));
            error
                .children
                .push(Element { prefixes: used_prefixes.cloned().collect(), ..leaf("error-path", path) });
        }
        let language = Attribute { namespace: XML_NAMESPACE.into(), name: "lang".into(), value: "en".into() };
        error.children.push(Element { attributes: vec![language], ..leaf("error-message", &self.message) });
        if !self.info.is_empty() {
            let info = self.info.iter().map(|(name, value)| leaf(name, value));
            error.children.push(Element::new(NETCONF_NAMESPACE, "error-info").with_children(info));
        }
        error
    }
}

/// Converts an error of the data model, such as an unknown element.
pub fn from_model_error(model_error: &ModelError) -> RpcError {
    let message = match model_error.line {
        // The error is not about a particular line.
        0 => model_error.message.clone(),
        line => format!("line {line} of the message: {}", model_error.message),
    };
    let application_error = |tag| RpcError::new(ErrorType::Application, tag, message.clone());
    let with_bad_element = |error: RpcError| error.with_info("bad-element", &*model_error.name);
    let error = match model_error.kind {
        ErrorKind::Malformed => RpcError::new(ErrorType::Rpc, "malformed-message", message.clone()),
        ErrorKind::UnknownElement | ErrorKind::NotConfiguration => {
            with_bad_element(application_error("unknown-element"))
        }
        ErrorKind::UnknownNamespace => with_bad_element(application_error("unknown-namespace"))
            .with_info("bad-namespace", quoted_namespace(&model_error.message)),
        ErrorKind::UnknownAttribute => {
            with_bad_attribute(application_error("unknown-attribute"), model_error)
        }
        ErrorKind::BadAttribute => with_bad_attribute(application_error("bad-attribute"), model_error),
        ErrorKind::BadValue => application_error("invalid-value"),
        ErrorKind::MissingElement => with_bad_element(application_error("missing-element")),
        ErrorKind::Duplicate => with_bad_element(application_error("bad-element")),
        ErrorKind::DataExists => application_error("data-exists"),
        ErrorKind::DataMissing => application_error("data-missing"),
    };
    match model_error.path.is_empty() {
        true => error,
        false => error.with_path(&*model_error.path),
    }
}

/// Adds the attribute and its element, the last node of the path, to `error-info`.
fn with_bad_attribute(error: RpcError, model_error: &ModelError) -> RpcError {
    let element = model_error.path.rsplit('/').next().unwrap_or_default();
    let element = element.split('[').next().unwrap_or_default();
    let element = element.rsplit(':').next().unwrap_or_default();
    error.with_info("bad-attribute", &*model_error.name).with_info("bad-element", element)
}

/// The unknown namespace: the last quoted part of the message of the model error.
fn quoted_namespace(message: &str) -> String {
    message.rsplit('"').nth(1).unwrap_or_default().to_string()
}

fn from_refusal(refusal: &Refusal) -> RpcError {
    let error = RpcError::new(ErrorType::Application, "operation-failed", refusal.to_string())
        .with_path(refusal.path());
    RpcError { app_tag: Some(refusal.error_app_tag()), ..error }
}

/// An error whose `error-info` contains the session that holds the lock.
fn lock_holder_error(
    error_type: ErrorType,
    tag: &'static str,
    error: &DatastoreError,
    holder: Session,
) -> RpcError {
    RpcError::new(error_type, tag, error.to_string()).with_info("session-id", holder.0.to_string())
}

/// The `error-app-tag` where another session's lock on a datastore prevents the operation; it may succeed later.
const LOCKED_TAG: &str = "datastore-locked";

/// Converts a datastore error to one or more `rpc-error`s.
pub fn from_datastore_error(error: &DatastoreError) -> Vec<RpcError> {
    let single_error = |error_type, tag| RpcError::new(error_type, tag, error.to_string());
    vec![match error {
        DatastoreError::Invalid(model_errors) => return model_errors.iter().map(from_model_error).collect(),
        DatastoreError::NotAdmitted(refusals) => return refusals.iter().map(from_refusal).collect(),
        DatastoreError::LockDenied(holder) => {
            let error = lock_holder_error(ErrorType::Protocol, "lock-denied", error, *holder);
            RpcError { app_tag: Some(LOCKED_TAG), ..error }
        }
        // RFC 6241 section 7.5: session-id 0 means that no NETCONF session holds the lock.
        DatastoreError::CandidateChanged => {
            lock_holder_error(ErrorType::Protocol, "lock-denied", error, Session(0))
        }
        DatastoreError::InUse(_) => {
            RpcError { app_tag: Some(LOCKED_TAG), ..single_error(ErrorType::Protocol, "in-use") }
        }
        DatastoreError::ConfirmedCommitPending(_) => single_error(ErrorType::Protocol, "in-use"),
        DatastoreError::EditsUndone(_) => {
            let error = single_error(ErrorType::Application, "operation-failed");
            RpcError { app_tag: Some("edits-undone"), ..error }
        }
        DatastoreError::NotLocked => single_error(ErrorType::Protocol, "operation-failed"),
        DatastoreError::NoConfirmedCommitPending => single_error(ErrorType::Protocol, "operation-failed"),
        DatastoreError::WrongPersistId => single_error(ErrorType::Protocol, "invalid-value"),
        DatastoreError::UnknownVersion(_) => single_error(ErrorType::Application, "invalid-value"),
        DatastoreError::AccessDenied(path) if path.starts_with('/') => {
            single_error(ErrorType::Application, "access-denied").with_path(&**path)
        }
        DatastoreError::AccessDenied(_) => single_error(ErrorType::Application, "access-denied"),
        DatastoreError::Unsupported(_) => single_error(ErrorType::Application, "operation-not-supported"),
    }]
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::{schema, xml};

    #[test]
    fn model_errors_convert_to_tag_path_and_info() {
        let schema = schema();
        let namespace = "xmlns='tag:juniperrail.example,2026:yang:manager'";
        let convert_error = |text: String| {
            let element = xml::parse(text.as_bytes()).unwrap();
            from_model_error(&xml::to_edit_nodes(&schema, &[element], true).unwrap_err())
        };
        let unknown_namespace = convert_error("<workers xmlns='urn:none'/>".into());
        assert_eq!((unknown_namespace.tag, unknown_namespace.info.len()), ("unknown-namespace", 2));
        assert_eq!(unknown_namespace.info[1], ("bad-namespace", "urn:none".to_string()));
        let unknown_attribute = convert_error(format!(
            "<workers {namespace}><worker hue='red'><name>a</name></worker></workers>"
        ));
        assert_eq!(unknown_attribute.tag, "unknown-attribute");
        assert_eq!(unknown_attribute.info[0], ("bad-attribute", "hue".to_string()));
        let missing_key =
            convert_error(format!("<workers {namespace}><worker><weight>1</weight></worker></workers>"));
        assert_eq!((missing_key.tag, &missing_key.info[0].1), ("missing-element", &"name".to_string()));
        let invalid_value = convert_error(format!(
            "<workers {namespace}><worker><name>a</name><weight>x</weight></worker></workers>"
        ));
        assert_eq!(invalid_value.path.as_deref(), Some("/jrm:workers/worker[name='a']/weight"));
        let prefixes =
            vec![("jrm".to_string(), "tag:x".to_string()), ("jrs".to_string(), "tag:y".to_string())];
        let text = xml::write(&invalid_value.to_element(&prefixes), false);
        assert!(text.contains("<error-path xmlns:jrm=\"tag:x\">/jrm:workers"), "{text}");
        assert!(text.contains(" xml:lang=\"en\">"), "{text}");
        assert!(xml::parse(text.as_bytes()).is_ok(), "{text}");
    }

    #[test]
    fn lock_errors_name_the_holder_and_refusals_have_app_tags() {
        let errors = from_datastore_error(&DatastoreError::LockDenied(Session(7)));
        assert_eq!(
            (errors[0].tag, errors[0].info.clone()),
            ("lock-denied", vec![("session-id", "7".to_string())])
        );
        assert_eq!(from_datastore_error(&DatastoreError::CandidateChanged)[0].info[0].1, "0");
        let refusals =
            vec![Refusal::TooManyWorkers { requested: 5000 }, Refusal::NoSecondMessage { max_messages: 1.0 }];
        let tags: Vec<_> = from_datastore_error(&DatastoreError::NotAdmitted(refusals))
            .iter()
            .map(|error| error.app_tag)
            .collect();
        assert_eq!(tags, [Some("too-many-workers"), Some("no-second-message")]);
    }
}
