//! Commands that connect to a running manager over NETCONF.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};
use juniperrail_client::{Client, Commit, Data as XmlData, Datastore, Endpoint};
use juniperrail_model::xml::{self, Element, NETCONF_NAMESPACE};
use juniperrail_model::{diff, schema, Data, Difference, Path, Schema, Value};

use super::candidate::{self, CandidateChange};
use super::{as_json, print, print_json, read_text, CommandError};

/// Address and credentials of a connection to a manager. Only the keys and authorities given here are trusted.
#[derive(Args)]
#[group(skip)]
pub struct ConnectionArgs {
    /// Address of the manager's NETCONF server over SSH.
    #[arg(long, env = "JUNIPERRAIL_SSH", value_name = "ADDRESS", conflicts_with = "tls", required_unless_present = "tls", requires_all = ["user", "key", "host_key"])]
    ssh: Option<String>,
    /// Address of the manager's NETCONF server over TLS.
    #[arg(long, env = "JUNIPERRAIL_TLS", value_name = "ADDRESS", requires_all = ["name", "authorities", "certificate", "key"])]
    tls: Option<String>,
    /// User name, for SSH.
    #[arg(long, env = "JUNIPERRAIL_USER", value_name = "NAME")]
    user: Option<String>,
    /// Private key, in OpenSSH format for SSH and in PEM format for TLS.
    #[arg(long, env = "JUNIPERRAIL_KEY", value_name = "FILE")]
    key: Option<PathBuf>,
    /// The manager's public host key, one line in OpenSSH format.
    #[arg(long, env = "JUNIPERRAIL_HOST_KEY", value_name = "FILE")]
    host_key: Option<PathBuf>,
    /// Name that the manager's certificate must contain, for TLS.
    #[arg(long, env = "JUNIPERRAIL_NAME", value_name = "NAME")]
    name: Option<String>,
    /// Certificate authorities trusted to have issued the manager's certificate, in PEM format.
    #[arg(long, env = "JUNIPERRAIL_AUTHORITIES", value_name = "FILE")]
    authorities: Option<PathBuf>,
    /// Client certificate, in PEM format.
    #[arg(long, env = "JUNIPERRAIL_CERTIFICATE", value_name = "FILE")]
    certificate: Option<PathBuf>,
}

impl ConnectionArgs {
    async fn connect(&self) -> Result<Client, CommandError> {
        let text = |value: &Option<String>| value.clone().unwrap_or_default();
        let file = |path: &Option<PathBuf>| path.clone().unwrap_or_default();
        let endpoint = match (&self.ssh, &self.tls) {
            (Some(address), _) => {
                Endpoint::ssh(address, text(&self.user), file(&self.key)).with_host_key(file(&self.host_key))
            }
            (None, address) => {
                let authorities = file(&self.authorities);
                let certificate = file(&self.certificate);
                Endpoint::tls(text(address), text(&self.name), authorities, certificate, file(&self.key))
            }
        };
        Ok(Client::connect(&endpoint).await?)
    }
}

/// Which part of the data is printed, and in which format.
#[derive(Args)]
pub struct OutputArgs {
    /// Prints only the data at this path, such as `/workers/worker[name='s-1']`.
    path: Option<String>,
    /// Prints JSON (RFC 7951) instead of XML.
    #[arg(long)]
    json: bool,
}

/// A NETCONF datastore.
#[derive(Clone, Copy, ValueEnum)]
pub enum DatastoreArg {
    Running,
    Candidate,
    Startup,
}

impl DatastoreArg {
    fn to_datastore(self) -> Datastore {
        match self {
            DatastoreArg::Running => Datastore::Running,
            DatastoreArg::Candidate => Datastore::Candidate,
            DatastoreArg::Startup => Datastore::Startup,
        }
    }
}

/// Value of `default-operation` in an `edit-config` (RFC 6241).
#[derive(Clone, Copy, ValueEnum)]
pub enum DefaultOperation {
    Merge,
    Replace,
    None,
}

impl DefaultOperation {
    fn as_str(self) -> &'static str {
        match self {
            DefaultOperation::Merge => "merge",
            DefaultOperation::Replace => "replace",
            DefaultOperation::None => "none",
        }
    }
}

/// Arguments of a confirmed commit (RFC 6241).
#[derive(Args, Default)]
pub struct ConfirmedCommitArgs {
    /// Reverts the commit after this number of seconds unless it is confirmed.
    #[arg(long, value_name = "SECONDS")]
    confirm: Option<u32>,
    /// Name by which any session can confirm the commit. Without one it is reverted when this command exits.
    #[arg(long, value_name = "NAME", requires = "confirm")]
    persist: Option<String>,
}

impl ConfirmedCommitArgs {
    /// The parameters of the commit; `persist_id` names the confirmed commit that it confirms.
    fn into_commit(self, persist_id: Option<String>) -> Commit {
        Commit { confirm_timeout_s: self.confirm, persist: self.persist, persist_id }
    }
}

/// Subcommands of `config`.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Prints a datastore.
    Get {
        #[arg(long, value_enum, default_value = "running")]
        store: DatastoreArg,
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Applies XML to the candidate and commits it, all or nothing. Refused if the candidate has uncommitted changes.
    Edit {
        /// File with a <config> element that holds the changes, or `-` for standard input.
        file: PathBuf,
        /// Operation for elements without an operation attribute.
        #[arg(long, value_enum, default_value = "merge")]
        default_operation: DefaultOperation,
        /// Leaves the change in the candidate.
        #[arg(long)]
        no_commit: bool,
        #[command(flatten)]
        confirmed: ConfirmedCommitArgs,
    },
    /// Prints the differences between two datastores, one line per leaf.
    Diff {
        #[arg(long, value_enum, default_value = "running")]
        from: DatastoreArg,
        #[arg(long, value_enum, default_value = "candidate")]
        to: DatastoreArg,
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Commits the candidate to running, or confirms a commit.
    Commit {
        #[command(flatten)]
        confirmed: ConfirmedCommitArgs,
        /// Name of the commit to confirm.
        #[arg(long, value_name = "NAME")]
        persist_id: Option<String>,
    },
    /// Cancels a commit that awaits confirmation.
    Cancel {
        /// Name of the commit to cancel.
        #[arg(long, value_name = "NAME")]
        persist_id: Option<String>,
    },
    /// Discards the changes in the candidate.
    Discard,
    /// Restores an older version of running; `state /state/versions` lists them.
    Rollback {
        version: u64,
        /// Leaves the change in the candidate.
        #[arg(long)]
        no_commit: bool,
    },
    /// Copies running to startup, which is stored in the operator's file.
    Save,
}

impl ConfigCommand {
    /// Runs the command in a session of its own.
    pub async fn run(self, connection: &ConnectionArgs) -> Result<(), CommandError> {
        // Reads the input first, so that the command fails on an invalid file before it opens a connection.
        let content = match &self {
            ConfigCommand::Edit { file, .. } => edit_content(&read_text(file)?)?,
            _ => String::new(),
        };
        let mut client = connection.connect().await?;
        match self {
            ConfigCommand::Get { store, output } => {
                let reply = client.get_config(store.to_datastore(), None).await?;
                print_data(reply, &output)?;
            }
            ConfigCommand::Edit { default_operation, no_commit, confirmed, .. } => {
                let change = CandidateChange::Edit { content, default_operation: default_operation.as_str() };
                apply_change(&mut client, &change, no_commit, confirmed).await?;
            }
            ConfigCommand::Diff { from, to, json } => {
                let from = read_datastore(&mut client, from).await?;
                let to = read_datastore(&mut client, to).await?;
                print_differences(&schema(), &diff(&schema(), &from, &to), json)?;
            }
            ConfigCommand::Commit { confirmed, persist_id } => {
                candidate::commit(&mut client, &confirmed.into_commit(persist_id)).await?;
            }
            ConfigCommand::Cancel { persist_id } => client.cancel_commit(persist_id.as_deref()).await?,
            ConfigCommand::Discard => candidate::discard(&mut client).await?,
            ConfigCommand::Rollback { version, no_commit } => {
                let change = CandidateChange::Restore { version };
                apply_change(&mut client, &change, no_commit, ConfirmedCommitArgs::default()).await?;
            }
            ConfigCommand::Save => client.copy(Datastore::Running, Datastore::Startup).await?,
        }
        Ok(client.close().await?)
    }
}

/// Makes a change in the candidate, and commits it unless `no_commit` is set.
async fn apply_change(
    client: &mut Client,
    change: &CandidateChange,
    no_commit: bool,
    confirmed: ConfirmedCommitArgs,
) -> Result<(), CommandError> {
    match no_commit {
        true => candidate::prepare(client, change).await?,
        false => candidate::change_and_commit(client, change, &confirmed.into_commit(None)).await?,
    }
    Ok(())
}

/// The child elements of a file's <config> element, as XML text for an `edit-config`.
fn edit_content(text: &str) -> Result<String, CommandError> {
    let local_error = |message: String| CommandError::Local(message);
    let root = xml::parse(text.as_bytes())
        .map_err(|error| local_error(format!("line {}: {}", error.line, error.message)))?;
    if !root.is(NETCONF_NAMESPACE, "config") {
        return Err(local_error(format!(
            "expected <config xmlns=\"{NETCONF_NAMESPACE}\">, found <{}>",
            root.name
        )));
    }
    Ok(root.children.iter().map(|child| xml::write(child, false)).collect())
}

async fn read_datastore(client: &mut Client, datastore: DatastoreArg) -> Result<Data, CommandError> {
    let reply = client.get_config(datastore.to_datastore(), None).await?;
    let schema = schema();
    let data = xml::to_edit_nodes(&schema, &reply.0, false)
        .and_then(|edit_nodes| Data::from_edit_nodes(&schema, &edit_nodes));
    data.map_err(|error| {
        CommandError::Local(format!(
            "the manager's configuration does not fit the model of this program: {error}"
        ))
    })
}

fn print_differences(schema: &Schema, differences: &[Difference], json: bool) -> Result<(), CommandError> {
    let text = |value: &Option<Value>| value.as_ref().map(Value::to_string);
    if json {
        let to_json = |difference: &Difference| serde_json::json!({"path": difference.path.format(schema), "old": text(&difference.old), "new": text(&difference.new)});
        return print_json(&differences.iter().map(to_json).collect());
    }
    for difference in differences {
        let path = difference.path.format(schema);
        let line = match (&difference.old, &difference.new) {
            (Some(old), Some(new)) => format!("~ {path} {old} -> {new}\n"),
            (Some(old), None) => format!("- {path} {old}\n"),
            (None, new) => format!("+ {path} {}\n", text(new).unwrap_or_default()),
        };
        print(&line)?;
    }
    Ok(())
}

fn print_data(reply: XmlData, output: &OutputArgs) -> Result<(), CommandError> {
    let elements = match &output.path {
        None => reply.0,
        Some(path) => {
            let path =
                Path::parse(&schema(), path).map_err(|error| CommandError::Local(error.to_string()))?;
            select(&schema(), &reply.0, &path)
        }
    };
    match output.json {
        true => print_json(&as_json(&elements)),
        false => print(&XmlData(elements).text()),
    }
}

/// The elements at a path, with their ancestors and the keys of those ancestors.
fn select(schema: &Schema, elements: &[Element], path: &Path) -> Vec<Element> {
    let Some((step, rest)) = path.0.split_first() else { return elements.to_vec() };
    let node = schema.node(step.node);
    let is_node = |element: &&Element| {
        element.name == node.name && *element.namespace == *schema.modules[node.module].namespace
    };
    let key_names: Vec<&str> = node.keys().iter().map(|key| schema.node(*key).name.as_str()).collect();
    let is_key = |child: &&Element| key_names.contains(&child.name.as_str());
    let has_keys = |element: &&Element| {
        step.keys.iter().zip(&key_names).all(|(value, name)| {
            element.children.iter().any(|child| child.name == *name && child.text == value.to_string())
        })
    };
    let mut found = Vec::new();
    for element in elements.iter().filter(is_node).filter(has_keys) {
        if rest.is_empty() {
            found.push(element.clone());
            continue;
        }
        let selected = select(schema, &element.children, &Path(rest.to_vec()));
        if !selected.is_empty() {
            let keys = element.children.iter().filter(is_key).filter(|key| !selected.contains(key)).cloned();
            let children = keys.chain(selected.iter().cloned()).collect();
            found.push(Element { children, ..element.clone() });
        }
    }
    found
}

/// Prints the state of a running manager.
pub async fn print_state(connection: &ConnectionArgs, output: &OutputArgs) -> Result<(), CommandError> {
    let mut client = connection.connect().await?;
    let reply = client.get(Some("<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>")).await?;
    print_data(reply, output)?;
    Ok(client.close().await?)
}

/// Prints notifications of a running manager, one JSON object per line.
pub async fn watch(connection: &ConnectionArgs, events: Option<u64>) -> Result<(), CommandError> {
    let mut client = connection.connect().await?;
    client.subscribe(None).await?;
    for _ in 0..events.unwrap_or(u64::MAX) {
        let notification = client.next_notification().await?;
        let mut line = serde_json::Map::new();
        for child in &notification.children {
            line.insert(child.name.clone(), element_to_json(child));
        }
        print(&format!("{}\n", serde_json::Value::Object(line)))?;
    }
    Ok(client.close().await?)
}

/// Converts an element of a notification to JSON; elements of the same name become an array.
fn element_to_json(element: &Element) -> serde_json::Value {
    if element.children.is_empty() {
        return element.text.clone().into();
    }
    let mut object = serde_json::Map::new();
    for child in &element.children {
        let value = element_to_json(child);
        match object.remove(&child.name) {
            None => _ = object.insert(child.name.clone(), value),
            Some(serde_json::Value::Array(mut values)) => {
                values.push(value);
                object.insert(child.name.clone(), values.into());
            }
            Some(first) => _ = object.insert(child.name.clone(), vec![first, value].into()),
        }
    }
    object.into()
}
