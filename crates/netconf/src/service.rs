//! One session's operations: an `rpc` element in, an `rpc-reply` out. Each operation is one call to the keeper; what
//! it says is only put into the protocol's words here.

use std::collections::HashMap;
use std::sync::Arc;

use juniperrail_intent::{Commit, Datastore, DatastoreError, DefaultOperation, ErrorOption, Session};
use juniperrail_model::xml::{self, Element, NETCONF};
use juniperrail_model::{Data, Kind as NodeKind, Path, Schema};
use juniperrail_northbound::{Caller, DatastoreManager, Source, TestOption};

use crate::error::{of_refused, Kind, RpcError};
use crate::filter;
use crate::names::{self, DEFAULTS, LIBRARY, MONITORING, NMDA, NOTIFICATION};

/// What is the same for all sessions of a server.
pub struct Shared {
    pub keeper: DatastoreManager,
    pub capabilities: Vec<String>,
    /// The prefixes of the model's paths.
    pub prefixes: Vec<(String, String)>,
    /// The keys of lists, by namespace and name of their entries.
    keys: HashMap<(String, String), Vec<String>>,
}

impl Shared {
    pub fn new(keeper: DatastoreManager) -> Shared {
        let schema = keeper.schema().clone();
        let mut keys: HashMap<(String, String), Vec<String>> = HashMap::new();
        for id in schema.ids() {
            let node = schema.node(id);
            let of = (schema.modules[node.module].namespace.clone(), node.name.clone());
            if let NodeKind::List { keys: ids } = &node.kind {
                keys.entry(of).or_default().extend(ids.iter().map(|key| schema.node(*key).name.clone()));
            }
        }
        for (entry, key) in [("session", "session-id"), ("datastore", "name"), ("schema", "identifier")] {
            keys.insert((MONITORING.into(), entry.into()), vec![key.into()]);
        }
        let capabilities = names::capabilities(&schema);
        let prefixes = schema.modules.iter().map(|of| (of.prefix.clone(), of.namespace.clone())).collect();
        Shared { keeper, capabilities, prefixes, keys }
    }

    fn keys(&self, element: &Element) -> Vec<String> {
        self.keys.get(&(element.ns.to_string(), element.name.clone())).cloned().unwrap_or_default()
    }

    pub fn selected(&self, filter: Option<&Element>, all: Vec<Element>) -> Vec<Element> {
        match filter {
            Some(filter) => filter::select(filter, &all, &|element| self.keys(element)),
            None => all,
        }
    }
}

/// What a session has to do besides sending the reply.
#[derive(Debug, PartialEq)]
pub enum Then {
    GoOn,
    Close,
    /// To be told notifications from now on, of which the filter selects.
    Subscribe(Option<Element>),
}

enum Answer {
    Ok,
    Data(Element),
}

pub struct Service {
    pub shared: Arc<Shared>,
    pub caller: Caller,
    pub subscribed: bool,
}

type Replied = Result<(Answer, Then), Vec<RpcError>>;

fn refused(refused: DatastoreError) -> Vec<RpcError> {
    of_refused(&refused)
}

fn fault(kind: Kind, tag: &'static str, message: impl Into<String>) -> Vec<RpcError> {
    vec![RpcError::new(kind, tag, message)]
}

fn missing(name: &str, of: &str) -> Vec<RpcError> {
    vec![RpcError::new(Kind::Protocol, "missing-element", format!("{name} is missing in {of}"))
        .about("bad-element", name)]
}

fn unknown(element: &Element) -> Vec<RpcError> {
    let what = format!("{:.60} has no place here", element.name);
    vec![RpcError::new(Kind::Protocol, "unknown-element", what).about("bad-element", element.name.clone())]
}

fn invalid(name: &str, what: impl Into<String>) -> Vec<RpcError> {
    vec![RpcError::new(Kind::Protocol, "invalid-value", what).about("bad-element", name)]
}

fn done(answer: Answer) -> Replied {
    Ok((answer, Then::GoOn))
}

/// The datastore that an element such as `<target>` names.
fn store(operation: &Element, name: &str) -> Result<Datastore, Vec<RpcError>> {
    let around = operation.get(&operation.ns, name).ok_or_else(|| missing(name, &operation.name))?;
    let [named] = &around.children[..] else { return Err(missing("a datastore", name)) };
    match (&*named.ns == NETCONF, named.name.as_str()) {
        (true, "running") => Ok(Datastore::Running),
        (true, "candidate") => Ok(Datastore::Candidate),
        (true, "startup") => Ok(Datastore::Startup),
        (true, "url") => Err(fault(Kind::Protocol, "operation-not-supported", "URLs are not supported")),
        _ => Err(unknown(named)),
    }
}

/// A word out of a few, or the default where the element is not there.
fn choice<T: Copy>(
    operation: &Element,
    name: &str,
    default: T,
    of: &[(&str, T)],
) -> Result<T, Vec<RpcError>> {
    let Some(told) = operation.get(&operation.ns, name) else { return Ok(default) };
    let found = of.iter().find(|(word, _)| *word == told.word()).map(|(_, value)| *value);
    found.ok_or_else(|| invalid(name, format!("{:.60?} is no {name}", told.word())))
}

fn number(operation: &Element, name: &str) -> Result<Option<u64>, Vec<RpcError>> {
    let Some(told) = operation.get(&operation.ns, name) else { return Ok(None) };
    let number = told.word().parse();
    number.map(Some).map_err(|_| invalid(name, format!("{:.60?} is no whole number", told.word())))
}

fn text<'a>(operation: &'a Element, name: &str) -> Option<&'a str> {
    operation.get(&operation.ns, name).map(Element::word)
}

/// Nothing but these elements may stand in an operation.
fn only(operation: &Element, names: &[&str]) -> Result<(), Vec<RpcError>> {
    let known = |child: &&Element| {
        let fits = names.contains(&child.name.as_str());
        !(fits && (child.ns == operation.ns || &*child.ns == DEFAULTS))
    };
    operation.children.iter().find(known).map_or(Ok(()), |child| Err(unknown(child)))
}

impl Service {
    /// Does what one message asks. The reply carries the attributes of the `rpc`, whatever they are.
    pub async fn reply(&self, message: &[u8]) -> (String, Then) {
        let reply = Element::new(NETCONF, "rpc-reply");
        let rpc = match xml::read(message) {
            Ok(rpc) => rpc,
            Err(malformed) => {
                let what = format!("line {} of the message: {}", malformed.line, malformed.what);
                let error = RpcError::new(Kind::Rpc, "malformed-message", what);
                return (self.written(reply, Err(vec![error])), Then::GoOn);
            }
        };
        let mut reply = Element { attrs: rpc.attrs.clone(), ..reply };
        reply.prefixes = rpc.prefixes.iter().filter(|(prefix, _)| !prefix.is_empty()).cloned().collect();
        let (answer, then) = match self.asked(&rpc).await {
            Ok((answer, then)) => (Ok(answer), then),
            Err(errors) => (Err(errors), Then::GoOn),
        };
        (self.written(reply, answer), then)
    }

    fn written(&self, reply: Element, answer: Result<Answer, Vec<RpcError>>) -> String {
        let reply = match answer {
            Ok(Answer::Ok) => reply.with(Element::new(NETCONF, "ok")),
            Ok(Answer::Data(data)) => reply.with(data),
            Err(errors) => reply.with_all(errors.iter().map(|error| error.element(&self.shared.prefixes))),
        };
        xml::write(&reply, false)
    }

    async fn asked(&self, rpc: &Element) -> Replied {
        if !rpc.is(NETCONF, "rpc") {
            return Err(fault(Kind::Rpc, "malformed-message", format!("<{:.60}> is no <rpc>", rpc.name)));
        }
        if rpc.attr("", "message-id").is_none() {
            let error = RpcError::new(Kind::Rpc, "missing-attribute", "the rpc has no message-id");
            return Err(vec![error.about("bad-attribute", "message-id").about("bad-element", "rpc")]);
        }
        let [operation] = &rpc.children[..] else {
            return Err(fault(Kind::Rpc, "malformed-message", "an rpc holds one operation"));
        };
        let name = operation.name.as_str();
        if let Some(attr) = operation.attrs.first() {
            let error =
                RpcError::new(Kind::Protocol, "unknown-attribute", format!("{:.60} has no place", attr.name));
            return Err(vec![error.about("bad-attribute", attr.name.clone()).about("bad-element", name)]);
        }
        tracing::debug!(session = self.caller.session.0, operation = name, "asked");
        let ours = self.shared.keeper.schema().modules.iter().any(|of| of.namespace == *operation.ns);
        match (&*operation.ns, name) {
            (NETCONF, "get") => self.get(operation).await,
            (NETCONF, "get-config") => self.get_config(operation).await,
            (NETCONF, "edit-config") => self.edit_config(operation).await,
            (NETCONF, "copy-config") => self.copy_config(operation).await,
            (NETCONF, "delete-config") => self.delete_config(operation).await,
            (NETCONF, "lock" | "unlock") => self.locking(operation).await,
            (NETCONF, "validate") => self.validate(operation).await,
            (NETCONF, "commit") => self.commit(operation).await,
            (NETCONF, "cancel-commit") => self.cancel_commit(operation).await,
            (NETCONF, "discard-changes") => {
                only(operation, &[])?;
                self.shared.keeper.discard(&self.caller).await.map_err(refused)?;
                done(Answer::Ok)
            }
            (NETCONF, "close-session") => {
                only(operation, &[])?;
                Ok((Answer::Ok, Then::Close))
            }
            (NETCONF, "kill-session") => self.kill_session(operation).await,
            (NMDA, "get-data") => self.get_data(operation).await,
            (MONITORING, "get-schema") => self.get_schema(operation),
            (NOTIFICATION, "create-subscription") => self.create_subscription(operation),
            (_, "rollback") if ours => self.rollback(operation).await,
            _ => {
                let what = format!("there is no operation <{name:.60}> in {:.120?}", operation.ns);
                let error = RpcError::new(Kind::Protocol, "operation-not-supported", what);
                Err(vec![error.about("bad-element", name)])
            }
        }
    }

    fn elements(&self, data: &Data, defaults: bool) -> Vec<Element> {
        let schema = self.shared.keeper.schema();
        match defaults {
            true => xml::elements(schema, &data.with_defaults(schema)),
            false => xml::elements(schema, data),
        }
    }

    fn data(&self, ns: &str, elements: Vec<Element>) -> Answer {
        Answer::Data(Element::new(ns, "data").with_all(elements))
    }

    /// The filter, if there is one, of the kind that is supported.
    fn filter<'a>(&self, operation: &'a Element, name: &str) -> Result<Option<&'a Element>, Vec<RpcError>> {
        let Some(filter) = operation.get(&operation.ns, name) else { return Ok(None) };
        match filter.attr("", "type").or(filter.attr(NETCONF, "type")) {
            None | Some("subtree") => Ok(Some(filter)),
            Some(other) => {
                let error = RpcError::new(
                    Kind::Protocol,
                    "bad-attribute",
                    format!("filters are of type subtree and not {other:.60}"),
                );
                Err(vec![error.about("bad-attribute", "type").about("bad-element", name)])
            }
        }
    }

    fn defaults(&self, operation: &Element) -> Result<bool, Vec<RpcError>> {
        let told = operation.get(DEFAULTS, "with-defaults").or(operation.get(&operation.ns, "with-defaults"));
        match told.map(Element::word) {
            None | Some("explicit") => Ok(false),
            Some("report-all") => Ok(true),
            Some(other) => {
                Err(invalid("with-defaults", format!("{other:.60?} is neither explicit nor report-all")))
            }
        }
    }

    /// Configuration and state. The state is asked for only where the filter leaves room for it.
    async fn get(&self, operation: &Element) -> Replied {
        only(operation, &["filter", "with-defaults"])?;
        let (filter, defaults) = (self.filter(operation, "filter")?, self.defaults(operation)?);
        let running = self.shared.keeper.get(&self.caller, Datastore::Running).await;
        let mut all = self.elements(&running, defaults);
        all.extend(self.state(filter).await?);
        done(self.data(NETCONF, self.shared.selected(filter, all)))
    }

    async fn state(&self, filter: Option<&Element>) -> Result<Vec<Element>, Vec<RpcError>> {
        let keeper = &self.shared.keeper;
        let wants = |ns: &str| {
            filter.is_none_or(|filter| filter.children.iter().any(|of| of.ns.is_empty() || &*of.ns == ns))
        };
        let mut all = Vec::new();
        let state = &keeper.schema().module("juniperrail-state").map(|at| &keeper.schema().modules[at]);
        if state.is_some_and(|of| wants(&of.namespace)) {
            all.extend(self.elements(&keeper.state(&self.caller).await.map_err(refused)?, false));
        }
        if wants(MONITORING) {
            all.push(self.monitoring().await);
        }
        if wants(LIBRARY) {
            all.push(self.library());
        }
        Ok(all)
    }

    /// RFC 6022.
    async fn monitoring(&self) -> Element {
        let (keeper, schema) = (&self.shared.keeper, self.shared.keeper.schema());
        let new = |name: &str| Element::new(MONITORING, name);
        let leaf = |name: &str, text: &str| Element::with_text(MONITORING, name, text);
        let capabilities = self.shared.capabilities.iter().map(|of| leaf("capability", of));
        let locks = keeper.locks().await;
        let datastore = |(store, name): (Datastore, &str)| {
            let held = locks.iter().find(|(of, _)| *of == store);
            let lock = held.map(|(_, by)| {
                let by = leaf("locked-by-session", &by.0.to_string());
                new("locks").with(new("global-lock").with(by))
            });
            new("datastore").with(leaf("name", name)).with_all(lock)
        };
        let stores = [
            (Datastore::Running, "running"),
            (Datastore::Candidate, "candidate"),
            (Datastore::Startup, "startup"),
        ];
        let module = |of: &juniperrail_model::Module| {
            new("schema")
                .with(leaf("identifier", &of.name))
                .with(leaf("version", &of.revision))
                .with(leaf("format", "yang"))
                .with(leaf("namespace", &of.namespace))
                .with(leaf("location", "NETCONF"))
        };
        let sessions = keeper.sessions().await;
        let session = |(id, user, from): (Session, String, String)| {
            let transport = if from.starts_with("tls") { "netconf-tls" } else { "netconf-ssh" };
            new("session")
                .with(leaf("session-id", &id.0.to_string()))
                .with(leaf("transport", transport))
                .with(leaf("username", &user))
                .with(leaf("source-host", from.split(' ').nth(1).unwrap_or_default()))
        };
        new("netconf-state")
            .with(new("capabilities").with_all(capabilities))
            .with(new("datastores").with_all(stores.map(datastore)))
            .with(new("schemas").with_all(schema.modules.iter().map(module)))
            .with(new("sessions").with_all(sessions.into_iter().map(session)))
    }

    /// RFC 8525.
    fn library(&self) -> Element {
        let schema = self.shared.keeper.schema();
        let new = |name: &str| Element::new(LIBRARY, name);
        let leaf = |name: &str, text: &str| Element::with_text(LIBRARY, name, text);
        let module = |of: &juniperrail_model::Module| {
            let imported = schema.roots.iter().all(|id| schema.module_of(*id).name != of.name);
            let name = if imported { "import-only-module" } else { "module" };
            new(name)
                .with(leaf("name", &of.name))
                .with(leaf("revision", &of.revision))
                .with(leaf("namespace", &of.namespace))
        };
        let set = new("module-set").with(leaf("name", "all")).with_all(schema.modules.iter().map(module));
        let datastores = ["running", "candidate", "startup", "operational"].map(|name| {
            let prefixes =
                vec![("ds".to_string(), "urn:ietf:params:xml:ns:yang:ietf-datastores".to_string())];
            let named = Element { prefixes, ..leaf("name", &format!("ds:{name}")) };
            new("datastore").with(named).with(leaf("schema", "all"))
        });
        new("yang-library")
            .with(set)
            .with(new("schema").with(leaf("name", "all")).with(leaf("module-set", "all")))
            .with_all(datastores)
            .with(leaf("content-id", &names::content_id(schema)))
    }

    async fn get_config(&self, operation: &Element) -> Replied {
        only(operation, &["source", "filter", "with-defaults"])?;
        let store = store(operation, "source")?;
        let (filter, defaults) = (self.filter(operation, "filter")?, self.defaults(operation)?);
        let data = self.shared.keeper.get(&self.caller, store).await;
        done(self.data(NETCONF, self.shared.selected(filter, self.elements(&data, defaults))))
    }

    /// RFC 8526 section 3.1.1, by subtree.
    async fn get_data(&self, operation: &Element) -> Replied {
        only(operation, &["datastore", "subtree-filter", "config-filter", "max-depth", "with-defaults"])?;
        let told = text(operation, "datastore").ok_or_else(|| missing("datastore", "get-data"))?;
        let filter = self.filter(operation, "subtree-filter")?;
        let defaults = self.defaults(operation)?;
        let yes_no = [("true", Some(true)), ("false", Some(false))];
        let config = choice(operation, "config-filter", None, &yes_no)?;
        let depth = match text(operation, "max-depth") {
            None | Some("unbounded") => usize::MAX,
            Some(_) => {
                number(operation, "max-depth")?.filter(|depth| *depth > 0).map_or(1, |depth| depth as usize)
            }
        };
        let keeper = &self.shared.keeper;
        let configured =
            |store| async move { self.elements(&keeper.get(&self.caller, store).await, defaults) };
        let mut all = match told.rsplit(':').next() {
            Some("running") => configured(Datastore::Running).await,
            Some("candidate") => configured(Datastore::Candidate).await,
            Some("startup") => configured(Datastore::Startup).await,
            Some("operational") => {
                let mut all = match config {
                    Some(false) => Vec::new(),
                    _ => configured(Datastore::Running).await,
                };
                if config != Some(true) {
                    all.extend(self.state(filter).await?);
                }
                all
            }
            _ => return Err(invalid("datastore", format!("{told:.60?} is no datastore here"))),
        };
        if config == Some(false) && !told.ends_with("operational") {
            all.clear();
        }
        let mut selected = self.shared.selected(filter, all);
        selected.iter_mut().for_each(|element| cut(element, depth));
        done(self.data(NMDA, selected))
    }

    async fn edit_config(&self, operation: &Element) -> Replied {
        only(operation, &["target", "default-operation", "test-option", "error-option", "config"])?;
        match store(operation, "target")? {
            Datastore::Candidate => {}
            _ => {
                let what = "edits go to the candidate, and from there by a commit";
                return Err(fault(Kind::Protocol, "operation-not-supported", what));
            }
        }
        let default = [
            ("merge", DefaultOperation::Merge),
            ("replace", DefaultOperation::Replace),
            ("none", DefaultOperation::None),
        ];
        let default = choice(operation, "default-operation", DefaultOperation::Merge, &default)?;
        let check = [
            ("test-then-set", TestOption::TestThenSet),
            ("set", TestOption::Set),
            ("test-only", TestOption::TestOnly),
        ];
        let check = choice(operation, "test-option", TestOption::TestThenSet, &check)?;
        let errors = [
            ("stop-on-error", ErrorOption::RollbackOnError),
            ("rollback-on-error", ErrorOption::RollbackOnError),
            ("continue-on-error", ErrorOption::ContinueOnError),
        ];
        let errors = choice(operation, "error-option", ErrorOption::RollbackOnError, &errors)?;
        let config = operation.get(NETCONF, "config").ok_or_else(|| missing("config", "edit-config"))?;
        let keeper = &self.shared.keeper;
        let drafts = xml::drafts(keeper.schema(), &config.children, true);
        let drafts = drafts.map_err(|fault| refused(DatastoreError::Faults(vec![fault])))?;
        let faults = keeper.edit(&self.caller, &drafts, default, errors, check).await.map_err(refused)?;
        match faults.is_empty() {
            true => done(Answer::Ok),
            false => Err(refused(DatastoreError::Faults(faults))),
        }
    }

    fn source(&self, operation: &Element) -> Result<Source, Vec<RpcError>> {
        let source =
            operation.get(&operation.ns, "source").ok_or_else(|| missing("source", &operation.name))?;
        let Some(config) = source.get(NETCONF, "config") else {
            return store(operation, "source").map(Source::Store);
        };
        let drafts = xml::drafts(self.shared.keeper.schema(), &config.children, false);
        drafts.map(Source::Inline).map_err(|fault| refused(DatastoreError::Faults(vec![fault])))
    }

    async fn copy_config(&self, operation: &Element) -> Replied {
        only(operation, &["target", "source", "with-defaults"])?;
        let (target, source) = (store(operation, "target")?, self.source(operation)?);
        if matches!(source, Source::Store(store) if store == target) {
            return Err(invalid("source", "source and target are the same datastore"));
        }
        self.shared.keeper.copy(&self.caller, source, target).await.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn delete_config(&self, operation: &Element) -> Replied {
        only(operation, &["target"])?;
        let target = store(operation, "target")?;
        self.shared.keeper.delete(&self.caller, target).await.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn locking(&self, operation: &Element) -> Replied {
        only(operation, &["target"])?;
        let target = store(operation, "target")?;
        let done_so = match operation.name.as_str() {
            "lock" => self.shared.keeper.lock(&self.caller, target).await,
            _ => self.shared.keeper.unlock(&self.caller, target).await,
        };
        done_so.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn validate(&self, operation: &Element) -> Replied {
        only(operation, &["source"])?;
        let source = self.source(operation)?;
        self.shared.keeper.validate(&self.caller, source).await.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn commit(&self, operation: &Element) -> Replied {
        only(operation, &["confirmed", "confirm-timeout", "persist", "persist-id"])?;
        let named = |name: &str| text(operation, name).map(str::to_string);
        let within = match number(operation, "confirm-timeout")? {
            Some(0) => return Err(invalid("confirm-timeout", "a time-out is 1 second at least")),
            seconds => seconds.map(|seconds| seconds as f64 * 1000.0),
        };
        let commit = Commit {
            confirmed: operation.get(NETCONF, "confirmed").is_some(),
            confirm_timeout: within,
            persist: named("persist"),
            persist_id: named("persist-id"),
        };
        if !commit.confirmed && (commit.confirm_timeout.is_some() || commit.persist.is_some()) {
            return Err(missing("confirmed", "commit"));
        }
        self.shared.keeper.commit(&self.caller, commit).await.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn cancel_commit(&self, operation: &Element) -> Replied {
        only(operation, &["persist-id"])?;
        let named = text(operation, "persist-id");
        self.shared.keeper.cancel_commit(&self.caller, named).await.map_err(refused)?;
        done(Answer::Ok)
    }

    async fn kill_session(&self, operation: &Element) -> Replied {
        only(operation, &["session-id"])?;
        let id = number(operation, "session-id")?.ok_or_else(|| missing("session-id", "kill-session"))?;
        let session = u32::try_from(id).map_err(|_| invalid("session-id", "there is no such session"))?;
        let killed = self.shared.keeper.kill_session(&self.caller, Session(session)).await;
        killed.map_err(|why| match why {
            DatastoreError::Unsupported(what) => invalid("session-id", what),
            other => refused(other),
        })?;
        done(Answer::Ok)
    }

    /// RFC 6022 section 3.1.
    fn get_schema(&self, operation: &Element) -> Replied {
        only(operation, &["identifier", "version", "format"])?;
        let name = text(operation, "identifier").ok_or_else(|| missing("identifier", "get-schema"))?;
        let format = text(operation, "format").unwrap_or("yang");
        let version = text(operation, "version");
        let schema: &Schema = self.shared.keeper.schema();
        let fits = |of: &&juniperrail_model::Module| {
            of.name == name && version.is_none_or(|version| version.is_empty() || version == of.revision)
        };
        match schema.modules.iter().find(fits).filter(|_| format.rsplit(':').next() == Some("yang")) {
            Some(of) => done(Answer::Data(Element::with_text(MONITORING, "data", &*of.text))),
            None => Err(invalid(
                "identifier",
                format!("there is no schema {name:.60} of this version and format"),
            )),
        }
    }

    /// RFC 5277 section 2.1.1. Nothing is kept to be replayed.
    fn create_subscription(&self, operation: &Element) -> Replied {
        only(operation, &["stream", "filter", "startTime", "stopTime"])?;
        if self.subscribed {
            return Err(fault(
                Kind::Protocol,
                "operation-failed",
                "this session is told notifications already",
            ));
        }
        if let Some(stream) = text(operation, "stream").filter(|stream| *stream != "NETCONF") {
            return Err(invalid("stream", format!("there is no stream {stream:.60?}, only NETCONF")));
        }
        if operation.get(NOTIFICATION, "startTime").is_some()
            || operation.get(NOTIFICATION, "stopTime").is_some()
        {
            let what = "nothing is kept to be replayed, so that there is no startTime and no stopTime";
            return Err(fault(Kind::Protocol, "operation-not-supported", what));
        }
        let filter = self.filter(operation, "filter")?.cloned();
        Ok((Answer::Ok, Then::Subscribe(filter)))
    }

    async fn rollback(&self, operation: &Element) -> Replied {
        only(operation, &["version"])?;
        let version = number(operation, "version")?.ok_or_else(|| missing("version", "rollback"))?;
        self.shared.keeper.restore_version(&self.caller, version).await.map_err(refused)?;
        done(Answer::Ok)
    }

    /// Whether the user may be told of something at that path.
    pub async fn may_read(&self, path: &str) -> bool {
        match Path::read(self.shared.keeper.schema(), path) {
            Ok(path) => self.shared.keeper.may_read(&self.caller, &path).await,
            Err(_) => false,
        }
    }
}

/// Leaves so many levels.
fn cut(element: &mut Element, depth: usize) {
    if depth <= 1 {
        element.children.clear();
    }
    element.children.iter_mut().for_each(|child| cut(child, depth - 1));
}
