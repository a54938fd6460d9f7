//! Commands that speak with a running manager over NETCONF.

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};
use juniperrail_client::{Client, Commit, Data as Got, Datastore, Endpoint};
use juniperrail_model::xml::{self, Element, NETCONF};
use juniperrail_model::{diff, schema, Data, Difference, Path, Schema, Value};

use super::{as_json, print, print_json, text_of, Trouble};

/// Where the manager is and who asks. Nothing is trusted that is not named.
#[derive(Args)]
#[group(skip)]
pub struct To {
    /// The manager's address for NETCONF over SSH.
    #[arg(long, env = "JUNIPERRAIL_SSH", value_name = "ADDRESS", conflicts_with = "tls", required_unless_present = "tls", requires_all = ["user", "key", "host_key"])]
    ssh: Option<String>,
    /// The manager's address for NETCONF over TLS.
    #[arg(long, env = "JUNIPERRAIL_TLS", value_name = "ADDRESS", requires_all = ["name", "authorities", "certificate", "key"])]
    tls: Option<String>,
    /// The user to be, with SSH.
    #[arg(long, env = "JUNIPERRAIL_USER", value_name = "NAME")]
    user: Option<String>,
    /// The private key: in OpenSSH form with SSH, in PEM with TLS.
    #[arg(long, env = "JUNIPERRAIL_KEY", value_name = "FILE")]
    key: Option<PathBuf>,
    /// The manager's public host key, one line in OpenSSH form.
    #[arg(long, env = "JUNIPERRAIL_HOST_KEY", value_name = "FILE")]
    host_key: Option<PathBuf>,
    /// The name that the manager's certificate holds.
    #[arg(long, env = "JUNIPERRAIL_NAME", value_name = "NAME")]
    name: Option<String>,
    /// Who vouches for the manager, in PEM.
    #[arg(long, env = "JUNIPERRAIL_AUTHORITIES", value_name = "FILE")]
    authorities: Option<PathBuf>,
    /// The certificate to come with, in PEM.
    #[arg(long, env = "JUNIPERRAIL_CERTIFICATE", value_name = "FILE")]
    certificate: Option<PathBuf>,
}

impl To {
    async fn dial(&self) -> Result<Client, Trouble> {
        let text = |of: &Option<String>| of.clone().unwrap_or_default();
        let file = |of: &Option<PathBuf>| of.clone().unwrap_or_default();
        let dial = match (&self.ssh, &self.tls) {
            (Some(address), _) => {
                Endpoint::ssh(address, text(&self.user), file(&self.key)).with_host_key(file(&self.host_key))
            }
            (None, address) => {
                let (authorities, certificate) = (file(&self.authorities), file(&self.certificate));
                Endpoint::tls(text(address), text(&self.name), authorities, certificate, file(&self.key))
            }
        };
        Ok(Client::connect(&dial).await?)
    }
}

#[derive(Args)]
pub struct Shown {
    /// Only what lies at this path, as `/workers/worker[name='s-1']`.
    path: Option<String>,
    /// As JSON (RFC 7951) in place of XML.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Which {
    Running,
    Candidate,
    Startup,
}

impl Which {
    fn store(self) -> Datastore {
        match self {
            Which::Running => Datastore::Running,
            Which::Candidate => Datastore::Candidate,
            Which::Startup => Datastore::Startup,
        }
    }
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Default {
    Merge,
    Replace,
    None,
}

impl Default {
    fn name(self) -> &'static str {
        match self {
            Default::Merge => "merge",
            Default::Replace => "replace",
            Default::None => "none",
        }
    }
}

#[derive(Args)]
pub struct Confirmed {
    /// It is undone after so many seconds unless it is confirmed.
    #[arg(long, value_name = "SECONDS")]
    confirm: Option<u32>,
    /// The name by which any session may confirm it. A commit that is to outlive this command needs one.
    #[arg(long, value_name = "NAME", requires = "confirm")]
    persist: Option<String>,
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Prints a datastore.
    Get {
        #[arg(long, value_enum, default_value = "running")]
        store: Which,
        #[command(flatten)]
        shown: Shown,
    },
    /// Lays XML over the candidate and commits it, whole or not at all.
    Edit {
        /// The operator's form: a <config> with what is to change. `-` is standard input.
        file: PathBuf,
        /// What is done with elements that say nothing themselves.
        #[arg(long, value_enum, default_value = "merge")]
        default_operation: Default,
        /// Leaves it in the candidate.
        #[arg(long)]
        no_commit: bool,
        #[command(flatten)]
        confirmed: Confirmed,
    },
    /// Prints what is different between two datastores, a line a leaf.
    Diff {
        #[arg(long, value_enum, default_value = "running")]
        from: Which,
        #[arg(long, value_enum, default_value = "candidate")]
        to: Which,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Makes the candidate running, or confirms a commit.
    Commit {
        #[command(flatten)]
        confirmed: Confirmed,
        /// The name of the commit to confirm.
        #[arg(long, value_name = "NAME")]
        persist_id: Option<String>,
    },
    /// Takes back a commit that waits for its confirmation.
    Cancel {
        /// Its name.
        #[arg(long, value_name = "NAME")]
        persist_id: Option<String>,
    },
    /// Drops what the candidate holds.
    Discard,
    /// Goes back to an older version of running; `state /state/versions` names them.
    Rollback {
        version: u64,
        /// Leaves it in the candidate.
        #[arg(long)]
        no_commit: bool,
    },
    /// Copies running to startup, which is the operator's file.
    Save,
}

impl ConfigCommand {
    pub async fn run(self, to: &To) -> Result<(), Trouble> {
        // What is given is read before anybody is dialled.
        let edits = match &self {
            ConfigCommand::Edit { file, .. } => Some(config_of(&text_of(file)?)?),
            _ => None,
        };
        let mut client = to.dial().await?;
        match self {
            ConfigCommand::Get { store, shown } => {
                let got = client.get_config(store.store(), None).await?;
                print_data(got, &shown)?;
            }
            ConfigCommand::Edit { default_operation, no_commit, confirmed, .. } => {
                let edits = edits.unwrap_or_default();
                client.edit_with(&edits, default_operation.name(), "test-then-set").await?;
                if !no_commit {
                    commit(&mut client, confirmed, None).await?;
                }
            }
            ConfigCommand::Diff { from, to, json } => {
                let from = config(&mut client, from).await?;
                let to = config(&mut client, to).await?;
                print_differences(&schema(), &diff(&schema(), &from, &to), json)?;
            }
            ConfigCommand::Commit { confirmed, persist_id } => {
                commit(&mut client, confirmed, persist_id).await?;
            }
            ConfigCommand::Cancel { persist_id } => client.cancel_commit(persist_id.as_deref()).await?,
            ConfigCommand::Discard => client.discard().await?,
            ConfigCommand::Rollback { version, no_commit } => {
                client.rollback(version).await?;
                if !no_commit {
                    commit(&mut client, Confirmed { confirm: None, persist: None }, None).await?;
                }
            }
            ConfigCommand::Save => client.copy(Datastore::Running, Datastore::Startup).await?,
        }
        Ok(client.close().await?)
    }
}

/// A commit that is refused leaves nothing in the candidate that the next one would trip over.
async fn commit(
    client: &mut Client,
    confirmed: Confirmed,
    persist_id: Option<String>,
) -> Result<(), Trouble> {
    let Confirmed { confirm, persist } = confirmed;
    let done = client.commit(&Commit { confirm_timeout_s: confirm, persist, persist_id }).await;
    if let Err(failed) = done {
        if !failed.rpc_errors().is_empty() {
            _ = client.discard().await;
        }
        return Err(failed.into());
    }
    Ok(())
}

/// The elements within a file's <config>, as text for an edit.
fn config_of(text: &str) -> Result<String, Trouble> {
    let bad = |what: String| Trouble::Fault(what);
    let root = xml::read(text.as_bytes()).map_err(|why| bad(format!("line {}: {}", why.line, why.what)))?;
    if !root.is(NETCONF, "config") {
        return Err(bad(format!("<{}> is no <config xmlns=\"{NETCONF}\">", root.name)));
    }
    Ok(root.children.iter().map(|child| xml::write(child, false)).collect())
}

async fn config(client: &mut Client, which: Which) -> Result<Data, Trouble> {
    let got = client.get_config(which.store(), None).await?;
    let schema = schema();
    let drafts = xml::drafts(&schema, &got.0, false).and_then(|drafts| Data::from_drafts(&schema, &drafts));
    drafts.map_err(|fault| Trouble::Fault(format!("the manager speaks another model: {fault}")))
}

fn print_differences(schema: &Schema, found: &[Difference], json: bool) -> Result<(), Trouble> {
    let text = |value: &Option<Value>| value.as_ref().map(Value::to_string);
    if json {
        let each = |d: &Difference| serde_json::json!({"path": d.path.spelled(schema), "old": text(&d.old), "new": text(&d.new)});
        return print_json(&found.iter().map(each).collect());
    }
    for d in found {
        let path = d.path.spelled(schema);
        let line = match (&d.old, &d.new) {
            (Some(old), Some(new)) => format!("~ {path} {old} -> {new}\n"),
            (Some(old), None) => format!("- {path} {old}\n"),
            (None, new) => format!("+ {path} {}\n", text(new).unwrap_or_default()),
        };
        print(&line)?;
    }
    Ok(())
}

fn print_data(got: Got, shown: &Shown) -> Result<(), Trouble> {
    let elements = match &shown.path {
        None => got.0,
        Some(path) => {
            let path = Path::read(&schema(), path).map_err(|fault| Trouble::Fault(fault.to_string()))?;
            cut(&schema(), &got.0, &path)
        }
    };
    match shown.json {
        true => print_json(&as_json(&elements)),
        false => print(&Got(elements).text()),
    }
}

/// The elements at a path, with those that lead to them and the keys on the way.
fn cut(schema: &Schema, elements: &[Element], path: &Path) -> Vec<Element> {
    let Some((step, rest)) = path.0.split_first() else { return elements.to_vec() };
    let node = schema.node(step.node);
    let names = |of: &&Element| of.name == node.name && *of.ns == *schema.modules[node.module].namespace;
    let key_names: Vec<&str> = node.keys().iter().map(|key| schema.node(*key).name.as_str()).collect();
    let is_key = |child: &&Element| key_names.contains(&child.name.as_str());
    let fits = |of: &&Element| {
        step.keys.iter().zip(&key_names).all(|(value, name)| {
            of.children.iter().any(|child| child.name == *name && child.text == value.to_string())
        })
    };
    let mut found = Vec::new();
    for element in elements.iter().filter(names).filter(fits) {
        if rest.is_empty() {
            found.push(element.clone());
            continue;
        }
        let below = cut(schema, &element.children, &Path(rest.to_vec()));
        if !below.is_empty() {
            let keys = element.children.iter().filter(is_key).filter(|key| !below.contains(key)).cloned();
            let children = keys.chain(below.iter().cloned()).collect();
            found.push(Element { children, ..element.clone() });
        }
    }
    found
}

pub async fn state(to: &To, shown: &Shown) -> Result<(), Trouble> {
    let mut client = to.dial().await?;
    let got = client.get(Some("<state xmlns=\"tag:juniperrail.example,2026:yang:state\"/>")).await?;
    print_data(got, shown)?;
    Ok(client.close().await?)
}

pub async fn watch(to: &To, events: Option<u64>) -> Result<(), Trouble> {
    let mut client = to.dial().await?;
    client.subscribe(None).await?;
    for _ in 0..events.unwrap_or(u64::MAX) {
        let told = client.next_notification().await?;
        let mut line = serde_json::Map::new();
        for child in &told.children {
            line.insert(child.name.clone(), plain(child));
        }
        print(&format!("{}\n", serde_json::Value::Object(line)))?;
    }
    Ok(client.close().await?)
}

/// An event's elements as JSON; those of one name become an array.
fn plain(element: &Element) -> serde_json::Value {
    if element.children.is_empty() {
        return element.text.clone().into();
    }
    let mut object = serde_json::Map::new();
    for child in &element.children {
        let value = plain(child);
        match object.remove(&child.name) {
            None => _ = object.insert(child.name.clone(), value),
            Some(serde_json::Value::Array(mut all)) => {
                all.push(value);
                object.insert(child.name.clone(), all.into());
            }
            Some(first) => _ = object.insert(child.name.clone(), vec![first, value].into()),
        }
    }
    object.into()
}
