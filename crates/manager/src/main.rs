mod cli;
mod logs;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use juniperrail_manager::{Launch, Manager};
use tokio::signal::unix::{signal, SignalKind};

use crate::cli::{CommandError, CommandLine};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let result = match command_line.command {
        None => {
            logs::start(command_line.log);
            serve(command_line.operator_file).await.map_err(CommandError::Local)
        }
        Some(command) => {
            if command.serves() {
                logs::start(command_line.log);
            }
            command.run(command_line.operator_file).await
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("juniperrail: {error}");
            error.exit_code()
        }
    }
}

/// Limit for the transfer of leadership on SIGTERM. The platform sends SIGKILL no sooner than 0.7 s after SIGTERM.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the settings and the operator's file. A file that is named explicitly must exist; the default one may be absent.
fn read_launch(operator_file: Option<PathBuf>) -> Result<Launch, String> {
    let required = operator_file.is_some();
    let path = operator_file.unwrap_or_else(|| cli::OPERATOR_FILE.into());
    Launch::from_env()?.with_operator_file(path, required)
}

/// Runs a manager until SIGTERM, and reloads its configuration on SIGHUP.
async fn serve(operator_file: Option<PathBuf>) -> Result<(), String> {
    let listen_for = |kind| signal(kind).map_err(|error| error.to_string());
    let mut sigterm = listen_for(SignalKind::terminate())?;
    let mut sighup = listen_for(SignalKind::hangup())?;
    let manager = Manager::bind(read_launch(operator_file)?).await?;
    let reloader = manager.reloader();
    let shutdown_handle = manager.shutdown_handle();
    let reload_on_sighup = async {
        while sighup.recv().await.is_some() {
            reloader.reload(Launch::reloaded_from_env());
        }
    };
    tokio::select! {
        _ = async { tokio::join!(manager.serve(), reload_on_sighup) } => {}
        _ = sigterm.recv() => {
            tracing::info!("received SIGTERM, shutting down");
            shutdown_handle.hand_over_leadership(HANDOVER_TIMEOUT).await;
        }
    }
    Ok(())
}
