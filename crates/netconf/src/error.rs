//! `rpc-error`, exact as RFC 6241 section 4.3 and appendix A have it, and what of ours becomes which.

use juniperrail_intent::{DatastoreError, Refusal, Session};
use juniperrail_model::xml::{Attr, Element, NETCONF, XML};
use juniperrail_model::{Fault, Rule};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Rpc,
    Protocol,
    Application,
}

/// One error of a reply.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcError {
    pub kind: Kind,
    pub tag: &'static str,
    pub app_tag: Option<&'static str>,
    pub path: Option<String>,
    pub message: String,
    /// The elements of `error-info`, by name.
    pub info: Vec<(&'static str, String)>,
}

impl RpcError {
    pub fn new(kind: Kind, tag: &'static str, message: impl Into<String>) -> RpcError {
        RpcError { kind, tag, app_tag: None, path: None, message: message.into(), info: Vec::new() }
    }

    pub fn at(self, path: impl Into<String>) -> RpcError {
        RpcError { path: Some(path.into()), ..self }
    }

    pub fn about(mut self, name: &'static str, value: impl Into<String>) -> RpcError {
        self.info.push((name, value.into()));
        self
    }

    /// Its element. `prefixes`: what the paths of the model stand on.
    pub fn element(&self, prefixes: &[(String, String)]) -> Element {
        let leaf = |name: &str, text: &str| Element::with_text(NETCONF, name, text);
        let kind = match self.kind {
            Kind::Rpc => "rpc",
            Kind::Protocol => "protocol",
            Kind::Application => "application",
        };
        let mut error = Element::new(NETCONF, "rpc-error")
            .with(leaf("error-type", kind))
            .with(leaf("error-tag", self.tag))
            .with(leaf("error-severity", "error"));
        error.children.extend(self.app_tag.map(|tag| leaf("error-app-tag", tag)));
        if let Some(path) = &self.path {
            let used = prefixes.iter().filter(|(prefix, _)| path.contains(&format!("{prefix}:")));
            error.children.push(Element { prefixes: used.cloned().collect(), ..leaf("error-path", path) });
        }
        let lang = Attr { ns: XML.into(), name: "lang".into(), value: "en".into() };
        error.children.push(Element { attrs: vec![lang], ..leaf("error-message", &self.message) });
        if !self.info.is_empty() {
            let info = self.info.iter().map(|(name, value)| leaf(name, value));
            error.children.push(Element::new(NETCONF, "error-info").with_all(info));
        }
        error
    }
}

/// What does not fit the model.
pub fn of_fault(fault: &Fault) -> RpcError {
    let message = match fault.line {
        0 => fault.what.clone(),
        line => format!("line {line} of the message: {}", fault.what),
    };
    let app = |tag| RpcError::new(Kind::Application, tag, message.clone());
    let element = |error: RpcError| error.about("bad-element", &*fault.name);
    let error = match fault.rule {
        Rule::Malformed => RpcError::new(Kind::Rpc, "malformed-message", message.clone()),
        Rule::UnknownElement | Rule::NotConfiguration => element(app("unknown-element")),
        Rule::UnknownNamespace => {
            element(app("unknown-namespace")).about("bad-namespace", namespace(&fault.what))
        }
        Rule::UnknownAttribute => attribute(app("unknown-attribute"), fault),
        Rule::BadAttribute => attribute(app("bad-attribute"), fault),
        Rule::BadValue => app("invalid-value"),
        Rule::MissingElement => element(app("missing-element")),
        Rule::Repeated => element(app("bad-element")),
        Rule::DataExists => app("data-exists"),
        Rule::DataMissing => app("data-missing"),
    };
    match fault.path.is_empty() {
        true => error,
        false => error.at(&*fault.path),
    }
}

fn attribute(error: RpcError, fault: &Fault) -> RpcError {
    let element = fault.path.rsplit('/').next().unwrap_or_default();
    let element = element.split('[').next().unwrap_or_default();
    let element = element.rsplit(':').next().unwrap_or_default();
    error.about("bad-attribute", &*fault.name).about("bad-element", element)
}

/// The namespace that the fault's text quotes last.
fn namespace(what: &str) -> String {
    what.rsplit('"').nth(1).unwrap_or_default().to_string()
}

fn of_refusal(refusal: &Refusal) -> RpcError {
    let error = RpcError::new(Kind::Application, "operation-failed", refusal.to_string()).at(refusal.path());
    RpcError { app_tag: Some(refusal.error_app_tag()), ..error }
}

fn of_holder(kind: Kind, tag: &'static str, refused: &DatastoreError, holder: Session) -> RpcError {
    RpcError::new(kind, tag, refused.to_string()).about("session-id", holder.0.to_string())
}

/// Why something is not done, as one or more errors.
pub fn of_refused(refused: &DatastoreError) -> Vec<RpcError> {
    let one = |kind, tag| RpcError::new(kind, tag, refused.to_string());
    vec![match refused {
        DatastoreError::Faults(faults) => return faults.iter().map(of_fault).collect(),
        DatastoreError::NotAdmitted(refusals) => return refusals.iter().map(of_refusal).collect(),
        DatastoreError::LockDenied(holder) => of_holder(Kind::Protocol, "lock-denied", refused, *holder),
        // Section 7.5: held by no session of NETCONF.
        DatastoreError::CandidateChanged => of_holder(Kind::Protocol, "lock-denied", refused, Session(0)),
        DatastoreError::InUse(_) | DatastoreError::ConfirmedCommitPending(_) => one(Kind::Protocol, "in-use"),
        DatastoreError::NotLocked => one(Kind::Protocol, "operation-failed"),
        DatastoreError::NoConfirmedCommitPending => one(Kind::Protocol, "operation-failed"),
        DatastoreError::WrongPersistId => one(Kind::Protocol, "invalid-value"),
        DatastoreError::UnknownVersion(_) => one(Kind::Application, "invalid-value"),
        DatastoreError::AccessDenied(path) if path.starts_with('/') => {
            one(Kind::Application, "access-denied").at(&**path)
        }
        DatastoreError::AccessDenied(_) => one(Kind::Application, "access-denied"),
        DatastoreError::Unsupported(_) => one(Kind::Application, "operation-not-supported"),
    }]
}

#[cfg(test)]
mod tests {
    use super::*;
    use juniperrail_model::{schema, xml};

    #[test]
    fn each_fault_becomes_the_error_that_the_protocol_names() {
        let schema = schema();
        let head = "xmlns='tag:juniperrail.example,2026:yang:manager'";
        let error = |text: String| {
            let element = xml::read(text.as_bytes()).unwrap();
            of_fault(&xml::drafts(&schema, &[element], true).unwrap_err())
        };
        let unknown = error("<workers xmlns='urn:none'/>".into());
        assert_eq!((unknown.tag, unknown.info.len()), ("unknown-namespace", 2));
        assert_eq!(unknown.info[1], ("bad-namespace", "urn:none".to_string()));
        let attribute = error(format!("<workers {head}><worker hue='red'><name>a</name></worker></workers>"));
        assert_eq!(attribute.tag, "unknown-attribute");
        assert_eq!(attribute.info[0], ("bad-attribute", "hue".to_string()));
        let missing = error(format!("<workers {head}><worker><weight>1</weight></worker></workers>"));
        assert_eq!((missing.tag, &missing.info[0].1), ("missing-element", &"name".to_string()));
        let value =
            error(format!("<workers {head}><worker><name>a</name><weight>x</weight></worker></workers>"));
        assert_eq!(value.path.as_deref(), Some("/jrm:workers/worker[name='a']/weight"));
        let prefixes =
            vec![("jrm".to_string(), "tag:x".to_string()), ("jrs".to_string(), "tag:y".to_string())];
        let text = xml::write(&value.element(&prefixes), false);
        assert!(text.contains("<error-path xmlns:jrm=\"tag:x\">/jrm:workers"), "{text}");
        assert!(text.contains(" xml:lang=\"en\">"), "{text}");
        assert!(xml::read(text.as_bytes()).is_ok(), "{text}");
    }

    #[test]
    fn a_lock_that_is_held_tells_by_whom() {
        let errors = of_refused(&DatastoreError::LockDenied(Session(7)));
        assert_eq!(
            (errors[0].tag, errors[0].info.clone()),
            ("lock-denied", vec![("session-id", "7".to_string())])
        );
        assert_eq!(of_refused(&DatastoreError::CandidateChanged)[0].info[0].1, "0");
        let refusals =
            vec![Refusal::TooManyWorkers { requested: 5000 }, Refusal::NoSecondMessage { max_messages: 1.0 }];
        let tags: Vec<_> =
            of_refused(&DatastoreError::NotAdmitted(refusals)).iter().map(|error| error.app_tag).collect();
        assert_eq!(tags, [Some("too-many-workers"), Some("no-second-message")]);
    }
}
