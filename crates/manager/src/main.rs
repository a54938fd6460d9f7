mod logs;

use std::process::ExitCode;

use juniperrail_manager::{Launch, Manager};
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    logs::start(logs::Form::Text);
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("juniperrail: {why}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let told = |kind| signal(kind).map_err(|why| why.to_string());
    let (mut ended, mut replaced) = (told(SignalKind::terminate())?, told(SignalKind::hangup())?);
    let manager = Manager::bind(Launch::from_env()?).await?;
    let reloader = manager.reloader();
    let reloading = async {
        while replaced.recv().await.is_some() {
            reloader.reload(Launch::anew_from_env());
        }
    };
    tokio::select! {
        _ = async { tokio::join!(manager.serve(), reloading) } => {}
        _ = ended.recv() => tracing::info!("told to end"),
    }
    Ok(())
}
