use std::process::ExitCode;

use juniperrail_manager::{Launch, Manager};
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("juniperrail: {why}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let mut ended = signal(SignalKind::terminate()).map_err(|why| why.to_string())?;
    let manager = Manager::bind(Launch::from_env()?).await?;
    tokio::select! {
        () = manager.serve() => {}
        _ = ended.recv() => log::info!("told to end"),
    }
    Ok(())
}
