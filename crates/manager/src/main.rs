use juniperrail_manager::{serve, Launch};
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), String> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let mut ended = signal(SignalKind::terminate()).map_err(|why| why.to_string())?;
    tokio::select! {
        end = serve(Launch::from_env()?) => end,
        _ = ended.recv() => Ok(()),
    }
}
