//! The operations of one session: takes an `rpc` and returns an `rpc-reply`. The datastore manager executes the
//! operations; this module only checks the parameters and translates the results.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use juniperrail_intent::{Commit, Datastore, DatastoreError, DefaultOperation, ErrorOption, Session};
use juniperrail_limits::{HoldLimits, LongMessageLimiter};
use juniperrail_model::xml::{self, Element, NETCONF_NAMESPACE};
use juniperrail_model::{Data, NodeKind, Path, Schema};
use juniperrail_northbound::{Caller, DatastoreManager, Source, TestOption};
use tokio::sync::Semaphore;

use crate::capabilities::{
    self, MONITORING_NAMESPACE, NMDA_NAMESPACE, NOTIFICATION_NAMESPACE, WITH_DEFAULTS_NAMESPACE,
    YANG_LIBRARY_NAMESPACE,
};
use crate::error::{from_datastore_error, ErrorType, RpcError};
use crate::filter;
use crate::session::LONG_MESSAGE_BYTES;

/// Elements and attributes that a message may have. The most workers that a change may name, with all their leaves, are
/// less than half of it.
pub const MAX_MESSAGE_NODES: usize = 65_536;

/// Clients that send a long message at a time, of at most [`juniperrail_framing::MAX_MESSAGE_BYTES`] each.
const MAX_LONG_MESSAGES: usize = 2;

/// How long such a client may take for its message while others wait.
const LONG_MESSAGE_LIMITS: HoldLimits =
    HoldLimits { max_pause: Duration::from_secs(1), max_hold: Duration::from_secs(10) };

/// Requests that are held as a tree of elements at a time, if all are short.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// State that all sessions of the server share.
pub struct ServerContext {
    pub datastore_manager: DatastoreManager,
    /// The capabilities for the server's hello.
    pub capabilities: Vec<String>,
    /// The prefixes of the YANG modules and their namespaces.
    pub prefixes: Vec<(String, String)>,
    /// Limits the clients that send a long message.
    pub long_messages: Arc<LongMessageLimiter>,
    /// Limits the requests that are executed at a time, since each is held as a tree of elements meanwhile.
    requests: Semaphore,
    /// The key names of lists, by namespace and name of the list.
    list_keys: HashMap<(String, String), Vec<String>>,
}

impl ServerContext {
    /// Collects the capabilities, prefixes and list keys of the schema.
    pub fn new(datastore_manager: DatastoreManager) -> ServerContext {
        let schema = datastore_manager.schema().clone();
        let mut list_keys: HashMap<(String, String), Vec<String>> = HashMap::new();
        for id in schema.node_ids() {
            let node = schema.node(id);
            let list_name = (schema.modules[node.module].namespace.clone(), node.name.clone());
            if let NodeKind::List { keys: key_ids } = &node.kind {
                list_keys
                    .entry(list_name)
                    .or_default()
                    .extend(key_ids.iter().map(|key| schema.node(*key).name.clone()));
            }
        }
        // The lists of `netconf-state`, which is not part of the schema.
        for (list, key) in [("session", "session-id"), ("datastore", "name"), ("schema", "identifier")] {
            list_keys.insert((MONITORING_NAMESPACE.into(), list.into()), vec![key.into()]);
        }
        let capabilities = capabilities::capabilities(&schema);
        let prefixes =
            schema.modules.iter().map(|module| (module.prefix.clone(), module.namespace.clone())).collect();
        let long_messages = LongMessageLimiter::new(MAX_LONG_MESSAGES, LONG_MESSAGE_LIMITS);
        let requests = Semaphore::new(MAX_CONCURRENT_REQUESTS);
        ServerContext { datastore_manager, capabilities, prefixes, long_messages, requests, list_keys }
    }

    /// The key names of a list entry; empty for other elements.
    fn key_names(&self, element: &Element) -> Vec<String> {
        self.list_keys
            .get(&(element.namespace.to_string(), element.name.clone()))
            .cloned()
            .unwrap_or_default()
    }

    /// The parts of the elements that the filter selects, or all of them without a filter.
    pub fn apply_filter(&self, filter: Option<&Element>, elements: Vec<Element>) -> Vec<Element> {
        match filter {
            Some(filter) => filter::select(filter, &elements, &|element| self.key_names(element)),
            None => elements,
        }
    }
}

/// What the session does after it has sent the reply.
#[derive(Debug, PartialEq)]
pub enum SessionAction {
    Continue,
    Close,
    /// Sends notifications from now on: those that the filter selects, or all without a filter.
    Subscribe(Option<Element>),
}

/// The content of a successful `rpc-reply`.
enum ReplyBody {
    Ok,
    Data(Element),
}

/// Executes the operations of one session.
pub struct RpcHandler {
    pub context: Arc<ServerContext>,
    pub caller: Caller,
    /// Whether the session has a notification subscription.
    pub subscribed: bool,
}

/// The reply to an operation and what follows it, or the errors that the reply lists.
type OperationResult = Result<(ReplyBody, SessionAction), Vec<RpcError>>;

fn datastore_error(error: DatastoreError) -> Vec<RpcError> {
    from_datastore_error(&error)
}

fn rpc_error(error_type: ErrorType, tag: &'static str, message: impl Into<String>) -> Vec<RpcError> {
    vec![RpcError::new(error_type, tag, message)]
}

fn missing_element(name: &str, parent: &str) -> Vec<RpcError> {
    vec![RpcError::new(ErrorType::Protocol, "missing-element", format!("{name} is missing in {parent}"))
        .with_info("bad-element", name)]
}

fn unknown_element(element: &Element) -> Vec<RpcError> {
    let message = format!("element {:.60} is not allowed here", element.name);
    vec![RpcError::new(ErrorType::Protocol, "unknown-element", message)
        .with_info("bad-element", element.name.clone())]
}

fn invalid_value(name: &str, message: impl Into<String>) -> Vec<RpcError> {
    vec![RpcError::new(ErrorType::Protocol, "invalid-value", message).with_info("bad-element", name)]
}

fn reply_with(body: ReplyBody) -> OperationResult {
    Ok((body, SessionAction::Continue))
}

/// The datastore that a parameter such as `<target>` names.
fn datastore_parameter(operation: &Element, name: &str) -> Result<Datastore, Vec<RpcError>> {
    let parameter =
        operation.child(&operation.namespace, name).ok_or_else(|| missing_element(name, &operation.name))?;
    let [datastore] = &parameter.children[..] else { return Err(missing_element("a datastore", name)) };
    match (&*datastore.namespace == NETCONF_NAMESPACE, datastore.name.as_str()) {
        (true, "running") => Ok(Datastore::Running),
        (true, "candidate") => Ok(Datastore::Candidate),
        (true, "startup") => Ok(Datastore::Startup),
        (true, "url") => {
            Err(rpc_error(ErrorType::Protocol, "operation-not-supported", "URLs are not supported"))
        }
        _ => Err(unknown_element(datastore)),
    }
}

/// The value of an enumeration parameter, or the default if the parameter is absent.
fn enum_parameter<T: Copy>(
    operation: &Element,
    name: &str,
    default: T,
    values: &[(&str, T)],
) -> Result<T, Vec<RpcError>> {
    let Some(parameter) = operation.child(&operation.namespace, name) else { return Ok(default) };
    let value = values.iter().find(|(text, _)| *text == parameter.trimmed_text()).map(|(_, value)| *value);
    value.ok_or_else(|| {
        invalid_value(name, format!("{:.60?} is not a valid {name}", parameter.trimmed_text()))
    })
}

/// The value of an unsigned integer parameter; `None` if the parameter is absent.
fn number_parameter(operation: &Element, name: &str) -> Result<Option<u64>, Vec<RpcError>> {
    let Some(parameter) = operation.child(&operation.namespace, name) else { return Ok(None) };
    let number = parameter.trimmed_text().parse();
    number.map(Some).map_err(|_| {
        invalid_value(name, format!("{:.60?} is not an unsigned integer", parameter.trimmed_text()))
    })
}

/// The text of a parameter; `None` if the parameter is absent.
fn text_parameter<'a>(operation: &'a Element, name: &str) -> Option<&'a str> {
    operation.child(&operation.namespace, name).map(Element::trimmed_text)
}

/// Rejects an operation with a parameter that is not among `names`. A parameter is in the namespace of its operation or
/// in that of `ietf-netconf-with-defaults`.
fn check_parameters(operation: &Element, names: &[&str]) -> Result<(), Vec<RpcError>> {
    let is_unknown = |child: &&Element| {
        let is_named = names.contains(&child.name.as_str());
        !(is_named
            && (child.namespace == operation.namespace || &*child.namespace == WITH_DEFAULTS_NAMESPACE))
    };
    operation.children.iter().find(is_unknown).map_or(Ok(()), |child| Err(unknown_element(child)))
}

impl RpcHandler {
    /// Executes the operation of one message and returns the reply. The reply repeats all attributes of the `rpc`
    /// (RFC 6241 section 4.1). A long message is executed while no other one is.
    pub async fn reply(&self, message: &[u8]) -> (String, SessionAction) {
        let permits = if message.len() > LONG_MESSAGE_BYTES { MAX_CONCURRENT_REQUESTS } else { 1 };
        // The semaphore is never closed.
        let _permits = self.context.requests.acquire_many(permits as u32).await.ok();
        let reply = Element::new(NETCONF_NAMESPACE, "rpc-reply");
        let rpc = match xml::parse_limited(message, MAX_MESSAGE_NODES) {
            Ok(rpc) => rpc,
            Err(parse_error) => {
                let message = format!("line {} of the message: {}", parse_error.line, parse_error.message);
                let error = RpcError::new(ErrorType::Rpc, "malformed-message", message);
                return (self.write_reply(reply, Err(vec![error])), SessionAction::Continue);
            }
        };
        let mut reply = Element { attributes: rpc.attributes.clone(), ..reply };
        reply.prefixes = rpc.prefixes.iter().filter(|(prefix, _)| !prefix.is_empty()).cloned().collect();
        let (body, action) = match self.dispatch(&rpc).await {
            Ok((body, action)) => (Ok(body), action),
            Err(errors) => (Err(errors), SessionAction::Continue),
        };
        (self.write_reply(reply, body), action)
    }

    /// The complete `rpc-reply` as XML.
    fn write_reply(&self, reply: Element, body: Result<ReplyBody, Vec<RpcError>>) -> String {
        let reply = match body {
            Ok(ReplyBody::Ok) => reply.with_child(Element::new(NETCONF_NAMESPACE, "ok")),
            Ok(ReplyBody::Data(data)) => reply.with_child(data),
            Err(errors) => {
                reply.with_children(errors.iter().map(|error| error.to_element(&self.context.prefixes)))
            }
        };
        xml::write(&reply, false)
    }

    /// Checks the `rpc` element and executes its operation.
    async fn dispatch(&self, rpc: &Element) -> OperationResult {
        if !rpc.is(NETCONF_NAMESPACE, "rpc") {
            return Err(rpc_error(
                ErrorType::Rpc,
                "malformed-message",
                format!("expected <rpc>, got <{:.60}>", rpc.name),
            ));
        }
        if rpc.attribute("", "message-id").is_none() {
            let error = RpcError::new(ErrorType::Rpc, "missing-attribute", "the rpc has no message-id");
            return Err(vec![error.with_info("bad-attribute", "message-id").with_info("bad-element", "rpc")]);
        }
        let [operation] = &rpc.children[..] else {
            return Err(rpc_error(
                ErrorType::Rpc,
                "malformed-message",
                "an rpc must contain exactly one operation",
            ));
        };
        let name = operation.name.as_str();
        if let Some(attribute) = operation.attributes.first() {
            let error = RpcError::new(
                ErrorType::Protocol,
                "unknown-attribute",
                format!("attribute {:.60} is not allowed here", attribute.name),
            );
            return Err(vec![error
                .with_info("bad-attribute", attribute.name.clone())
                .with_info("bad-element", name)]);
        }
        tracing::debug!(session = self.caller.session.0, operation = name, "operation received");
        let is_own_namespace = self
            .context
            .datastore_manager
            .schema()
            .modules
            .iter()
            .any(|module| module.namespace == *operation.namespace);
        match (&*operation.namespace, name) {
            (NETCONF_NAMESPACE, "get") => self.get(operation).await,
            (NETCONF_NAMESPACE, "get-config") => self.get_config(operation).await,
            (NETCONF_NAMESPACE, "edit-config") => self.edit_config(operation).await,
            (NETCONF_NAMESPACE, "copy-config") => self.copy_config(operation).await,
            (NETCONF_NAMESPACE, "delete-config") => self.delete_config(operation).await,
            (NETCONF_NAMESPACE, "lock" | "unlock") => self.lock_or_unlock(operation).await,
            (NETCONF_NAMESPACE, "validate") => self.validate(operation).await,
            (NETCONF_NAMESPACE, "commit") => self.commit(operation).await,
            (NETCONF_NAMESPACE, "cancel-commit") => self.cancel_commit(operation).await,
            (NETCONF_NAMESPACE, "discard-changes") => {
                check_parameters(operation, &[])?;
                self.context.datastore_manager.discard(&self.caller).await.map_err(datastore_error)?;
                reply_with(ReplyBody::Ok)
            }
            (NETCONF_NAMESPACE, "close-session") => {
                check_parameters(operation, &[])?;
                Ok((ReplyBody::Ok, SessionAction::Close))
            }
            (NETCONF_NAMESPACE, "kill-session") => self.kill_session(operation).await,
            (NMDA_NAMESPACE, "get-data") => self.get_data(operation).await,
            (MONITORING_NAMESPACE, "get-schema") => self.get_schema(operation),
            (NOTIFICATION_NAMESPACE, "create-subscription") => self.create_subscription(operation),
            (_, "rollback") if is_own_namespace => self.rollback(operation).await,
            _ => {
                let message = format!("there is no operation <{name:.60}> in {:.120?}", operation.namespace);
                let error = RpcError::new(ErrorType::Protocol, "operation-not-supported", message);
                Err(vec![error.with_info("bad-element", name)])
            }
        }
    }

    /// The data as XML elements, with default values if `with_defaults` is set.
    fn elements(&self, data: &Data, with_defaults: bool) -> Vec<Element> {
        let schema = self.context.datastore_manager.schema();
        match with_defaults {
            true => xml::to_elements(schema, &data.with_defaults(schema)),
            false => xml::to_elements(schema, data),
        }
    }

    fn data_body(&self, namespace: &str, elements: Vec<Element>) -> ReplyBody {
        ReplyBody::Data(Element::new(namespace, "data").with_children(elements))
    }

    /// The filter of an operation; `None` if the parameter is absent. Filters other than subtree filters are rejected.
    fn filter_parameter<'a>(
        &self,
        operation: &'a Element,
        name: &str,
    ) -> Result<Option<&'a Element>, Vec<RpcError>> {
        let Some(filter) = operation.child(&operation.namespace, name) else { return Ok(None) };
        match filter.attribute("", "type").or(filter.attribute(NETCONF_NAMESPACE, "type")) {
            None | Some("subtree") => Ok(Some(filter)),
            Some(other) => {
                let error = RpcError::new(
                    ErrorType::Protocol,
                    "bad-attribute",
                    format!("filter type {other:.60} is not supported, only subtree"),
                );
                Err(vec![error.with_info("bad-attribute", "type").with_info("bad-element", name)])
            }
        }
    }

    /// Whether the reply includes default values (RFC 6243).
    fn with_defaults_parameter(&self, operation: &Element) -> Result<bool, Vec<RpcError>> {
        let mode = operation
            .child(WITH_DEFAULTS_NAMESPACE, "with-defaults")
            .or(operation.child(&operation.namespace, "with-defaults"));
        match mode.map(Element::trimmed_text) {
            None | Some("explicit") => Ok(false),
            Some("report-all") => Ok(true),
            Some(other) => Err(invalid_value(
                "with-defaults",
                format!("{other:.60?} is neither explicit nor report-all"),
            )),
        }
    }

    /// Replies with configuration and state. State is only collected where the filter can select any of it.
    async fn get(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["filter", "with-defaults"])?;
        let (filter, with_defaults) =
            (self.filter_parameter(operation, "filter")?, self.with_defaults_parameter(operation)?);
        let running = self.context.datastore_manager.get(&self.caller, Datastore::Running).await;
        let mut elements = self.elements(&running, with_defaults);
        elements.extend(self.state_elements(filter).await?);
        reply_with(self.data_body(NETCONF_NAMESPACE, self.context.apply_filter(filter, elements)))
    }

    /// The operational state that the filter can select.
    async fn state_elements(&self, filter: Option<&Element>) -> Result<Vec<Element>, Vec<RpcError>> {
        let datastore_manager = &self.context.datastore_manager;
        let can_select = |namespace: &str| {
            filter.is_none_or(|filter| {
                filter
                    .children
                    .iter()
                    .any(|child| child.namespace.is_empty() || &*child.namespace == namespace)
            })
        };
        let mut elements = Vec::new();
        let state_module = &datastore_manager
            .schema()
            .module_index("juniperrail-state")
            .map(|index| &datastore_manager.schema().modules[index]);
        if state_module.is_some_and(|module| can_select(&module.namespace)) {
            elements.extend(
                self.elements(&datastore_manager.state(&self.caller).await.map_err(datastore_error)?, false),
            );
        }
        if can_select(MONITORING_NAMESPACE) {
            elements.push(self.netconf_state().await);
        }
        if can_select(YANG_LIBRARY_NAMESPACE) {
            elements.push(self.yang_library());
        }
        Ok(elements)
    }

    /// The `netconf-state` of RFC 6022.
    async fn netconf_state(&self) -> Element {
        let (datastore_manager, schema) =
            (&self.context.datastore_manager, self.context.datastore_manager.schema());
        let element = |name: &str| Element::new(MONITORING_NAMESPACE, name);
        let leaf = |name: &str, text: &str| Element::with_text(MONITORING_NAMESPACE, name, text);
        let capabilities = self.context.capabilities.iter().map(|uri| leaf("capability", uri));
        let locks = datastore_manager.locks().await;
        let datastore_element = |(datastore, name): (Datastore, &str)| {
            let global_lock = locks.iter().find(|(locked, _)| *locked == datastore);
            let lock = global_lock.map(|(_, session)| {
                let locked_by = leaf("locked-by-session", &session.0.to_string());
                element("locks").with_child(element("global-lock").with_child(locked_by))
            });
            element("datastore").with_child(leaf("name", name)).with_children(lock)
        };
        let datastores = [
            (Datastore::Running, "running"),
            (Datastore::Candidate, "candidate"),
            (Datastore::Startup, "startup"),
        ];
        let schema_element = |module: &juniperrail_model::Module| {
            element("schema")
                .with_child(leaf("identifier", &module.name))
                .with_child(leaf("version", &module.revision))
                .with_child(leaf("format", "yang"))
                .with_child(leaf("namespace", &module.namespace))
                .with_child(leaf("location", "NETCONF"))
        };
        let sessions = datastore_manager.sessions().await;
        let session_element = |(session, user, client_origin): (Session, String, String)| {
            let transport = if client_origin.starts_with("tls") { "netconf-tls" } else { "netconf-ssh" };
            element("session")
                .with_child(leaf("session-id", &session.0.to_string()))
                .with_child(leaf("transport", transport))
                .with_child(leaf("username", &user))
                .with_child(leaf("source-host", client_origin.split(' ').nth(1).unwrap_or_default()))
        };
        element("netconf-state")
            .with_child(element("capabilities").with_children(capabilities))
            .with_child(element("datastores").with_children(datastores.map(datastore_element)))
            .with_child(element("schemas").with_children(schema.modules.iter().map(schema_element)))
            .with_child(element("sessions").with_children(sessions.into_iter().map(session_element)))
    }

    /// The `yang-library` of RFC 8525.
    fn yang_library(&self) -> Element {
        let schema = self.context.datastore_manager.schema();
        let element = |name: &str| Element::new(YANG_LIBRARY_NAMESPACE, name);
        let leaf = |name: &str, text: &str| Element::with_text(YANG_LIBRARY_NAMESPACE, name, text);
        let module_element = |module: &juniperrail_model::Module| {
            let import_only = schema.roots.iter().all(|id| schema.module_of(*id).name != module.name);
            let element_name = if import_only { "import-only-module" } else { "module" };
            element(element_name)
                .with_child(leaf("name", &module.name))
                .with_child(leaf("revision", &module.revision))
                .with_child(leaf("namespace", &module.namespace))
        };
        let module_set = element("module-set")
            .with_child(leaf("name", "all"))
            .with_children(schema.modules.iter().map(module_element));
        let datastores = ["running", "candidate", "startup", "operational"].map(|name| {
            let prefixes =
                vec![("ds".to_string(), "urn:ietf:params:xml:ns:yang:ietf-datastores".to_string())];
            let name_leaf = Element { prefixes, ..leaf("name", &format!("ds:{name}")) };
            element("datastore").with_child(name_leaf).with_child(leaf("schema", "all"))
        });
        element("yang-library")
            .with_child(module_set)
            .with_child(
                element("schema").with_child(leaf("name", "all")).with_child(leaf("module-set", "all")),
            )
            .with_children(datastores)
            .with_child(leaf("content-id", &capabilities::content_id(schema)))
    }

    async fn get_config(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["source", "filter", "with-defaults"])?;
        let datastore = datastore_parameter(operation, "source")?;
        let (filter, with_defaults) =
            (self.filter_parameter(operation, "filter")?, self.with_defaults_parameter(operation)?);
        let data = self.context.datastore_manager.get(&self.caller, datastore).await;
        reply_with(self.data_body(
            NETCONF_NAMESPACE,
            self.context.apply_filter(filter, self.elements(&data, with_defaults)),
        ))
    }

    /// `get-data` of RFC 8526 section 3.1.1, with subtree filters only.
    async fn get_data(&self, operation: &Element) -> OperationResult {
        check_parameters(
            operation,
            &["datastore", "subtree-filter", "config-filter", "max-depth", "with-defaults"],
        )?;
        let identity =
            text_parameter(operation, "datastore").ok_or_else(|| missing_element("datastore", "get-data"))?;
        let filter = self.filter_parameter(operation, "subtree-filter")?;
        let with_defaults = self.with_defaults_parameter(operation)?;
        let config_filters = [("true", Some(true)), ("false", Some(false))];
        // `true` selects only configuration, `false` only state.
        let config_filter = enum_parameter(operation, "config-filter", None, &config_filters)?;
        let max_depth = match text_parameter(operation, "max-depth") {
            None | Some("unbounded") => usize::MAX,
            Some(_) => number_parameter(operation, "max-depth")?
                .filter(|depth| *depth > 0)
                .map_or(1, |depth| depth as usize),
        };
        let datastore_manager = &self.context.datastore_manager;
        let read_config = |datastore| async move {
            self.elements(&datastore_manager.get(&self.caller, datastore).await, with_defaults)
        };
        let mut elements = match identity.rsplit(':').next() {
            Some("running") => read_config(Datastore::Running).await,
            Some("candidate") => read_config(Datastore::Candidate).await,
            Some("startup") => read_config(Datastore::Startup).await,
            Some("operational") => {
                let mut elements = match config_filter {
                    Some(false) => Vec::new(),
                    _ => read_config(Datastore::Running).await,
                };
                if config_filter != Some(true) {
                    elements.extend(self.state_elements(filter).await?);
                }
                elements
            }
            _ => {
                return Err(invalid_value(
                    "datastore",
                    format!("{identity:.60?} is not a supported datastore"),
                ))
            }
        };
        if config_filter == Some(false) && !identity.ends_with("operational") {
            elements.clear();
        }
        let mut selected = self.context.apply_filter(filter, elements);
        selected.iter_mut().for_each(|element| limit_depth(element, max_depth));
        reply_with(self.data_body(NMDA_NAMESPACE, selected))
    }

    async fn edit_config(&self, operation: &Element) -> OperationResult {
        check_parameters(
            operation,
            &["target", "default-operation", "test-option", "error-option", "config"],
        )?;
        match datastore_parameter(operation, "target")? {
            Datastore::Candidate => {}
            _ => {
                let message = "only the candidate can be edited; a commit applies it to running";
                return Err(rpc_error(ErrorType::Protocol, "operation-not-supported", message));
            }
        }
        let default_operations = [
            ("merge", DefaultOperation::Merge),
            ("replace", DefaultOperation::Replace),
            ("none", DefaultOperation::None),
        ];
        let default_operation =
            enum_parameter(operation, "default-operation", DefaultOperation::Merge, &default_operations)?;
        let test_options = [
            ("test-then-set", TestOption::TestThenSet),
            ("set", TestOption::Set),
            ("test-only", TestOption::TestOnly),
        ];
        let test_option = enum_parameter(operation, "test-option", TestOption::TestThenSet, &test_options)?;
        let error_options = [
            ("stop-on-error", ErrorOption::RollbackOnError),
            ("rollback-on-error", ErrorOption::RollbackOnError),
            ("continue-on-error", ErrorOption::ContinueOnError),
        ];
        let error_option =
            enum_parameter(operation, "error-option", ErrorOption::RollbackOnError, &error_options)?;
        let config = operation
            .child(NETCONF_NAMESPACE, "config")
            .ok_or_else(|| missing_element("config", "edit-config"))?;
        let datastore_manager = &self.context.datastore_manager;
        let edit_nodes = xml::to_edit_nodes(datastore_manager.schema(), &config.children, true);
        let edit_nodes =
            edit_nodes.map_err(|model_error| datastore_error(DatastoreError::Invalid(vec![model_error])))?;
        let model_errors = datastore_manager
            .edit(&self.caller, &edit_nodes, default_operation, error_option, test_option)
            .await
            .map_err(datastore_error)?;
        match model_errors.is_empty() {
            true => reply_with(ReplyBody::Ok),
            false => Err(datastore_error(DatastoreError::Invalid(model_errors))),
        }
    }

    /// The `source` parameter: a datastore or an inline configuration.
    fn source_parameter(&self, operation: &Element) -> Result<Source, Vec<RpcError>> {
        let source = operation
            .child(&operation.namespace, "source")
            .ok_or_else(|| missing_element("source", &operation.name))?;
        let Some(config) = source.child(NETCONF_NAMESPACE, "config") else {
            return datastore_parameter(operation, "source").map(Source::Datastore);
        };
        let edit_nodes = xml::to_edit_nodes(self.context.datastore_manager.schema(), &config.children, false);
        edit_nodes
            .map(Source::Inline)
            .map_err(|model_error| datastore_error(DatastoreError::Invalid(vec![model_error])))
    }

    async fn copy_config(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["target", "source", "with-defaults"])?;
        let (target, source) = (datastore_parameter(operation, "target")?, self.source_parameter(operation)?);
        if matches!(source, Source::Datastore(datastore) if datastore == target) {
            return Err(invalid_value("source", "source and target are the same datastore"));
        }
        self.context.datastore_manager.copy(&self.caller, source, target).await.map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    async fn delete_config(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["target"])?;
        let target = datastore_parameter(operation, "target")?;
        self.context.datastore_manager.delete(&self.caller, target).await.map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    /// `lock` and `unlock`.
    async fn lock_or_unlock(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["target"])?;
        let target = datastore_parameter(operation, "target")?;
        let result = match operation.name.as_str() {
            "lock" => self.context.datastore_manager.lock(&self.caller, target).await,
            _ => self.context.datastore_manager.unlock(&self.caller, target).await,
        };
        result.map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    async fn validate(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["source"])?;
        let source = self.source_parameter(operation)?;
        self.context.datastore_manager.validate(&self.caller, source).await.map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    async fn commit(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["confirmed", "confirm-timeout", "persist", "persist-id"])?;
        let string_parameter = |name: &str| text_parameter(operation, name).map(str::to_string);
        let confirm_timeout = match number_parameter(operation, "confirm-timeout")? {
            Some(0) => return Err(invalid_value("confirm-timeout", "the timeout must be at least 1 second")),
            seconds => seconds.map(|seconds| seconds as f64 * 1000.0),
        };
        let commit = Commit {
            confirmed: operation.child(NETCONF_NAMESPACE, "confirmed").is_some(),
            confirm_timeout,
            persist: string_parameter("persist"),
            persist_id: string_parameter("persist-id"),
        };
        if !commit.confirmed && (commit.confirm_timeout.is_some() || commit.persist.is_some()) {
            return Err(missing_element("confirmed", "commit"));
        }
        self.context.datastore_manager.commit(&self.caller, commit).await.map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    async fn cancel_commit(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["persist-id"])?;
        let persist_id = text_parameter(operation, "persist-id");
        self.context
            .datastore_manager
            .cancel_commit(&self.caller, persist_id)
            .await
            .map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    async fn kill_session(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["session-id"])?;
        let session_id = number_parameter(operation, "session-id")?
            .ok_or_else(|| missing_element("session-id", "kill-session"))?;
        let session =
            u32::try_from(session_id).map_err(|_| invalid_value("session-id", "there is no such session"))?;
        let killed = self.context.datastore_manager.kill_session(&self.caller, Session(session)).await;
        killed.map_err(|error| match error {
            DatastoreError::Unsupported(message) => invalid_value("session-id", message),
            other => datastore_error(other),
        })?;
        reply_with(ReplyBody::Ok)
    }

    /// `get-schema` of RFC 6022 section 3.1.
    fn get_schema(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["identifier", "version", "format"])?;
        let name = text_parameter(operation, "identifier")
            .ok_or_else(|| missing_element("identifier", "get-schema"))?;
        let format = text_parameter(operation, "format").unwrap_or("yang");
        let version = text_parameter(operation, "version");
        let schema: &Schema = self.context.datastore_manager.schema();
        let is_requested = |module: &&juniperrail_model::Module| {
            module.name == name
                && version.is_none_or(|version| version.is_empty() || version == module.revision)
        };
        match schema.modules.iter().find(is_requested).filter(|_| format.rsplit(':').next() == Some("yang")) {
            Some(module) => {
                reply_with(ReplyBody::Data(Element::with_text(MONITORING_NAMESPACE, "data", &*module.text)))
            }
            None => Err(invalid_value(
                "identifier",
                format!("there is no schema {name:.60} with this version and format"),
            )),
        }
    }

    /// `create-subscription` of RFC 5277 section 2.1.1, without replay.
    fn create_subscription(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["stream", "filter", "startTime", "stopTime"])?;
        if self.subscribed {
            return Err(rpc_error(
                ErrorType::Protocol,
                "operation-failed",
                "this session already has a subscription",
            ));
        }
        if let Some(stream) = text_parameter(operation, "stream").filter(|stream| *stream != "NETCONF") {
            return Err(invalid_value("stream", format!("there is no stream {stream:.60?}, only NETCONF")));
        }
        if operation.child(NOTIFICATION_NAMESPACE, "startTime").is_some()
            || operation.child(NOTIFICATION_NAMESPACE, "stopTime").is_some()
        {
            let message = "replay is not supported, so startTime and stopTime are not accepted";
            return Err(rpc_error(ErrorType::Protocol, "operation-not-supported", message));
        }
        let filter = self.filter_parameter(operation, "filter")?.cloned();
        Ok((ReplyBody::Ok, SessionAction::Subscribe(filter)))
    }

    /// The `rollback` operation of the manager's own module: loads an earlier version of running into the candidate.
    async fn rollback(&self, operation: &Element) -> OperationResult {
        check_parameters(operation, &["version"])?;
        let version =
            number_parameter(operation, "version")?.ok_or_else(|| missing_element("version", "rollback"))?;
        self.context
            .datastore_manager
            .restore_version(&self.caller, version)
            .await
            .map_err(datastore_error)?;
        reply_with(ReplyBody::Ok)
    }

    /// Whether the user may read the path. False for a path that the schema does not have.
    pub async fn may_read(&self, path: &str) -> bool {
        match Path::parse(self.context.datastore_manager.schema(), path) {
            Ok(path) => self.context.datastore_manager.may_read(&self.caller, &path).await,
            Err(_) => false,
        }
    }
}

/// Removes the descendants below the first `depth` levels; the element itself is the first level.
fn limit_depth(element: &mut Element, depth: usize) {
    if depth <= 1 {
        element.children.clear();
    }
    element.children.iter_mut().for_each(|child| limit_depth(child, depth - 1));
}
