//! The command line. Without a command the program runs a manager.

mod candidate;
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

use crate::logs::LogFormat;

/// Path of the operator's file where neither a flag nor an environment variable names one.
pub const OPERATOR_FILE: &str = "deploy/juniperrail.xml";

/// A central planner for a layer of plain proxies.
///
/// Without a command it runs a manager, configured by the file that PROXY_CONFIG names and by the operator's file.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 done, 1 local error or connection error, 2 invalid command line, 3 refused by the manager."
)]
pub struct CommandLine {
    /// File with the operator's configuration, read in addition to the settings that PROXY_CONFIG names
    /// [default: `deploy/juniperrail.xml`, if it exists].
    #[arg(long, env = "JUNIPERRAIL_FILE", value_name = "FILE", global = true)]
    pub operator_file: Option<PathBuf>,

    /// Format of the log on standard error.
    #[arg(long, env = "JUNIPERRAIL_LOG", value_enum, default_value_t, value_name = "FORM")]
    pub log: LogFormat,

    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Subcommands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Validates the operator's file, and the settings if PROXY_CONFIG names them, and prints the first error.
    Check,
    /// Prints the data model: its YANG modules, or an XML schema of the operator's file.
    Schema(SchemaArgs),
    /// Reads or changes the configuration of a running manager over NETCONF.
    Config {
        #[command(flatten)]
        connection: remote::ConnectionArgs,
        #[command(subcommand)]
        command: remote::ConfigCommand,
    },
    /// Prints the state of a running manager: what it sent to the proxies, and the progress of changes.
    State {
        #[command(flatten)]
        connection: remote::ConnectionArgs,
        #[command(flatten)]
        output: remote::OutputArgs,
    },
    /// Prints the notifications of a running manager as JSON, one event per line, until interrupted.
    Watch {
        #[command(flatten)]
        connection: remote::ConnectionArgs,
        /// Exits after this number of events.
        #[arg(long, value_name = "COUNT")]
        events: Option<u64>,
    },
    /// Runs a relay of the list of workers, which keeps the full list and serves each manager its part of it, until SIGTERM.
    Relay(relay::RelayArgs),
    /// Prints a completion script for a shell.
    Completions { shell: Shell },
}

/// Arguments of the `schema` command.
#[derive(Args)]
pub struct SchemaArgs {
    /// Prints an XML schema (XSD 1.0), one document for each namespace.
    #[arg(long, conflicts_with = "yang")]
    xsd: bool,
    /// Prints the YANG modules; this is the default.
    #[arg(long)]
    yang: bool,
    /// Directory to write to, one file per document, instead of standard output.
    #[arg(short, long, value_name = "FOLDER")]
    out: Option<PathBuf>,
}

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// An error of this process: arguments, files, settings.
    Local(String),
    /// An error of the connection to a manager, or a refusal by it.
    Remote(ClientError),
}

impl CommandError {
    /// The exit code of the process: 3 where the manager refused the request, else 1.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Remote(ClientError { kind: ErrorKind::RpcErrors(_), .. }) => ExitCode::from(3),
            _ => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Local(message) => f.write_str(message),
            CommandError::Remote(error) => error.fmt(f),
        }
    }
}

impl From<ClientError> for CommandError {
    fn from(error: ClientError) -> Self {
        CommandError::Remote(error)
    }
}

impl Command {
    /// Whether the command is a server, which logs while it runs.
    pub fn serves(&self) -> bool {
        matches!(self, Command::Relay(_))
    }

    /// Runs the command to its end.
    pub async fn run(self, operator_file: Option<PathBuf>) -> Result<(), CommandError> {
        match self {
            Command::Check => check(operator_file).map_err(CommandError::Local),
            Command::Schema(args) => write_schema(&args).map_err(CommandError::Local),
            Command::Config { connection, command } => command.run(&connection).await,
            Command::State { connection, output } => remote::print_state(&connection, &output).await,
            Command::Watch { connection, events } => remote::watch(&connection, events).await,
            Command::Relay(args) => relay::run(args).await,
            Command::Completions { shell } => {
                clap_complete::generate(shell, &mut CommandLine::command(), "juniperrail", &mut io::stdout());
                Ok(())
            }
        }
    }
}

/// Writes to standard output. A closed pipe is not an error.
pub fn print(text: &str) -> Result<(), CommandError> {
    match io::stdout().write_all(text.as_bytes()).and_then(|()| io::stdout().flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(CommandError::Local(error.to_string()))
        }
        _ => Ok(()),
    }
}

fn check(operator_file: Option<PathBuf>) -> Result<(), String> {
    if std::env::var("PROXY_CONFIG").is_ok_and(|path| !path.is_empty()) {
        crate::read_launch(operator_file).map(drop)?;
        println!("the settings and the operator's file are valid");
        return Ok(());
    }
    let file = OperatorFile::new(operator_file.unwrap_or_else(|| OPERATOR_FILE.into()));
    let path = file.path().display();
    let data = file.read(&schema())?.ok_or_else(|| format!("{path} does not exist"))?;
    Launch::check_operator_data(&data).map_err(|error| format!("{path}: {error}"))?;
    println!("{path} is valid; set PROXY_CONFIG to check it against the settings too");
    Ok(())
}

fn write_schema(args: &SchemaArgs) -> Result<(), String> {
    let schema = schema();
    let documents: Vec<(String, String)> = match args.xsd {
        true => xsd::documents(&schema),
        false => schema
            .modules
            .iter()
            .map(|module| (format!("{}.yang", module.name), module.text.clone()))
            .collect(),
    };
    for (name, text) in documents {
        match &args.out {
            None => print(&text).map_err(|error| error.to_string())?,
            Some(directory) => {
                let path = directory.join(name);
                let write_error = |error: io::Error| format!("cannot write {}: {error}", path.display());
                std::fs::create_dir_all(directory)
                    .and_then(|()| std::fs::write(&path, text))
                    .map_err(write_error)?;
            }
        }
    }
    Ok(())
}

/// Reads a file, or standard input if the path is `-`.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    let text = match path == Path::new("-") {
        true => io::read_to_string(io::stdin()),
        false => std::fs::read_to_string(path),
    };
    text.map_err(|error| CommandError::Local(format!("{} cannot be read: {error}", path.display())))
}

/// Prints JSON, indented.
pub fn print_json(value: &serde_json::Value) -> Result<(), CommandError> {
    print(&format!("{value:#}\n"))
}

/// Converts XML elements of the model to JSON (RFC 7951).
pub fn as_json(elements: &[juniperrail_model::xml::Element]) -> serde_json::Value {
    json::from_elements(&schema(), elements)
}
