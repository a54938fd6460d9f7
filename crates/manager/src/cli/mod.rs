//! The command line. Without a command the manager serves.

mod relay;
mod remote;

use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use juniperrail_client::{ClientError, ErrorKind};
use juniperrail_manager::Launch;
use juniperrail_model::{json, schema, xsd};
use juniperrail_northbound::OperatorFile;

use crate::logs::Form;

/// Where the operator's file is if nothing else is said.
pub const OPERATOR_FILE: &str = "deploy/juniperrail.xml";

/// A central planner for a layer of plain proxies.
///
/// Without a command it serves, as PROXY_CONFIG and the operator's file say.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 1 a fault here or on the way, 2 a wrong command line, 3 refused by the manager."
)]
pub struct Line {
    /// What operators want beside the settings; `deploy/juniperrail.xml` is taken if it is there.
    #[arg(long, env = "JUNIPERRAIL_FILE", value_name = "FILE", global = true)]
    pub operator_file: Option<PathBuf>,

    /// How the log is written to standard error.
    #[arg(long, env = "JUNIPERRAIL_LOG", value_enum, default_value_t, value_name = "FORM")]
    pub log: Form,

    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Reads the operator's file, and the settings if PROXY_CONFIG names them, and says what is wrong.
    Check,
    /// Writes the model: its YANG modules, or an XML schema of the operator's file.
    Schema(SchemaArgs),
    /// Reads or changes the configuration of a running manager over NETCONF.
    Config {
        #[command(flatten)]
        to: remote::To,
        #[command(subcommand)]
        what: remote::ConfigCommand,
    },
    /// Prints the state of a running manager: what the proxies were really told, and how far changes have come.
    State {
        #[command(flatten)]
        to: remote::To,
        #[command(flatten)]
        shown: remote::Shown,
    },
    /// Prints what happens at a running manager, one event a line as JSON, until it is ended.
    Watch {
        #[command(flatten)]
        to: remote::To,
        /// Ends after so many events.
        #[arg(long, value_name = "COUNT")]
        events: Option<u64>,
    },
    /// Relays the list of workers: holds it whole and serves each manager its part, until it is ended.
    Relay(relay::RelayArgs),
    /// Writes completions for a shell to standard output.
    Completions { shell: Shell },
}

#[derive(Args)]
pub struct SchemaArgs {
    /// An XML schema (XSD 1.0), in one document for each namespace.
    #[arg(long, conflicts_with = "yang")]
    xsd: bool,
    /// The YANG modules; this is what is written if nothing is said.
    #[arg(long)]
    yang: bool,
    /// The folder to write to, one file a document; without it all goes to standard output.
    #[arg(short, long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

/// Why a command was not done.
#[derive(Debug)]
pub enum Trouble {
    Fault(String),
    Remote(ClientError),
}

impl Trouble {
    pub fn code(&self) -> ExitCode {
        match self {
            Trouble::Remote(ClientError { kind: ErrorKind::RpcErrors(_), .. }) => ExitCode::from(3),
            _ => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Trouble::Fault(what) => f.write_str(what),
            Trouble::Remote(failed) => failed.fmt(f),
        }
    }
}

impl From<ClientError> for Trouble {
    fn from(failed: ClientError) -> Self {
        Trouble::Remote(failed)
    }
}

impl Command {
    /// Whether it serves until it is ended, and logs meanwhile.
    pub fn serves(&self) -> bool {
        matches!(self, Command::Relay(_))
    }

    pub async fn run(self, operator_file: Option<PathBuf>) -> Result<(), Trouble> {
        match self {
            Command::Check => check(operator_file).map_err(Trouble::Fault),
            Command::Schema(args) => written(&args).map_err(Trouble::Fault),
            Command::Config { to, what } => what.run(&to).await,
            Command::State { to, shown } => remote::state(&to, &shown).await,
            Command::Watch { to, events } => remote::watch(&to, events).await,
            Command::Relay(args) => relay::run(args).await,
            Command::Completions { shell } => {
                clap_complete::generate(shell, &mut Line::command(), "juniperrail", &mut io::stdout());
                Ok(())
            }
        }
    }
}

/// Prints, unless whoever reads has gone away: that is no fault.
pub fn print(text: &str) -> Result<(), Trouble> {
    match io::stdout().write_all(text.as_bytes()).and_then(|()| io::stdout().flush()) {
        Err(why) if why.kind() != io::ErrorKind::BrokenPipe => Err(Trouble::Fault(why.to_string())),
        _ => Ok(()),
    }
}

fn check(operator_file: Option<PathBuf>) -> Result<(), String> {
    if std::env::var("PROXY_CONFIG").is_ok_and(|path| !path.is_empty()) {
        crate::launched(operator_file).map(drop)?;
        println!("the settings and the operator's file are sound");
        return Ok(());
    }
    let file = OperatorFile::new(operator_file.unwrap_or_else(|| OPERATOR_FILE.into()));
    let shown = file.path().display();
    let data = file.read(&schema())?.ok_or_else(|| format!("{shown} is not there"))?;
    Launch::check_operator_data(&data).map_err(|why| format!("{shown}: {why}"))?;
    println!("{shown} is sound by itself; with PROXY_CONFIG it is held against the settings too");
    Ok(())
}

fn written(args: &SchemaArgs) -> Result<(), String> {
    let schema = schema();
    let documents: Vec<(String, String)> = match args.xsd {
        true => xsd::documents(&schema),
        false => schema.modules.iter().map(|of| (format!("{}.yang", of.name), of.text.clone())).collect(),
    };
    for (name, text) in documents {
        match &args.out {
            None => print(&text).map_err(|trouble| trouble.to_string())?,
            Some(folder) => {
                let path = folder.join(name);
                let failed = |why: io::Error| format!("{} cannot be written: {why}", path.display());
                std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text)).map_err(failed)?;
            }
        }
    }
    Ok(())
}

/// A file's text, or standard input's for `-`.
pub fn text_of(path: &Path) -> Result<String, Trouble> {
    let read = match path == Path::new("-") {
        true => io::read_to_string(io::stdin()),
        false => std::fs::read_to_string(path),
    };
    read.map_err(|why| Trouble::Fault(format!("{} cannot be read: {why}", path.display())))
}

/// JSON as the commands print it.
pub fn print_json(value: &serde_json::Value) -> Result<(), Trouble> {
    print(&format!("{value:#}\n"))
}

/// Elements as JSON of the model.
pub fn as_json(elements: &[juniperrail_model::xml::Element]) -> serde_json::Value {
    json::from_xml(&schema(), elements)
}
