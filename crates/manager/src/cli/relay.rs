//! The `relay` command: a server that relays the list of workers, to each manager the part that it needs.

use std::net::SocketAddr;

use clap::Args;
use juniperrail_relay::{Options, Relay};
use tokio::signal::unix::{signal, SignalKind};

use super::CommandError;

/// Arguments of the `relay` command.
#[derive(Args)]
pub struct RelayArgs {
    /// Address to listen on for managers, such as 127.0.0.1:7070.
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Address of the source of the list: discovery or another relay.
    #[arg(long, value_name = "ADDRESS")]
    source: SocketAddr,
    /// Maximum number of managers served at a time; lower if the process may not open as many sockets.
    #[arg(long, value_name = "COUNT", default_value_t = 1_024)]
    subscribers: usize,
    /// Number of removed workers that are remembered, so that managers that reconnect learn of the removal.
    #[arg(long, value_name = "COUNT", default_value_t = 65_536)]
    tombstones: usize,
    /// Maximum size of the entry of one worker, in KiB.
    #[arg(long, value_name = "KIB", default_value_t = 63, value_parser = clap::value_parser!(u32).range(1..=63))]
    entry_kib: u32,
    /// Maximum size of a single write to one manager, in KiB.
    #[arg(long, value_name = "KIB", default_value_t = 64, value_parser = clap::value_parser!(u32).range(4..=65_536))]
    chunk_kib: u32,
}

impl RelayArgs {
    fn options(&self) -> Options {
        let mut options = Options::new(self.listen, self.source);
        options.limits.subscribers = self.subscribers;
        options.limits.list.tombstones = self.tombstones;
        options.limits.line.entry_bytes = kib_to_bytes(self.entry_kib);
        options.limits.cursor.chunk_bytes = kib_to_bytes(self.chunk_kib);
        options
    }
}

fn kib_to_bytes(kib: u32) -> usize {
    kib as usize * 1024
}

/// Serves until SIGTERM.
pub async fn run(args: RelayArgs) -> Result<(), CommandError> {
    let mut sigterm =
        signal(SignalKind::terminate()).map_err(|error| CommandError::Local(error.to_string()))?;
    let listen = args.listen;
    let bind_result = Relay::bind(args.options()).await;
    let relay =
        bind_result.map_err(|error| CommandError::Local(format!("cannot listen on {listen}: {error}")))?;
    tokio::select! {
        () = relay.serve() => {}
        _ = sigterm.recv() => tracing::info!("received SIGTERM, shutting down"),
    }
    Ok(())
}
