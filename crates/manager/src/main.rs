mod cli;
mod logs;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use juniperrail_manager::{Launch, Manager};
use tokio::signal::unix::{signal, SignalKind};

use crate::cli::{Line, Trouble};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let line = Line::parse();
    let done = match line.command {
        None => {
            logs::start(line.log);
            serve(line.operator_file).await.map_err(Trouble::Fault)
        }
        Some(command) => {
            if command.serves() {
                logs::start(line.log);
            }
            command.run(line.operator_file).await
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("juniperrail: {trouble}");
            trouble.code()
        }
    }
}

/// What is led in common is handed over within this time; the platform's SIGKILL follows SIGTERM no sooner than 0.7 s.
const LEAVING: Duration = Duration::from_millis(400);

/// The launch with what the operator's file says; a file that is named has to be there.
fn launched(operator_file: Option<PathBuf>) -> Result<Launch, String> {
    let must = operator_file.is_some();
    let path = operator_file.unwrap_or_else(|| cli::OPERATOR_FILE.into());
    Launch::from_env()?.with_operator_file(path, must)
}

async fn serve(operator_file: Option<PathBuf>) -> Result<(), String> {
    let told = |kind| signal(kind).map_err(|why| why.to_string());
    let (mut ended, mut replaced) = (told(SignalKind::terminate())?, told(SignalKind::hangup())?);
    let manager = Manager::bind(launched(operator_file)?).await?;
    let (reloader, leaver) = (manager.reloader(), manager.leaver());
    let reloading = async {
        while replaced.recv().await.is_some() {
            reloader.reload(Launch::anew_from_env());
        }
    };
    tokio::select! {
        _ = async { tokio::join!(manager.serve(), reloading) } => {}
        _ = ended.recv() => {
            tracing::info!("told to end");
            leaver.leave(LEAVING).await;
        }
    }
    Ok(())
}
