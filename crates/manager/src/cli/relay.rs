//! The command that relays the list of workers to managers, each the part it asks for.

use std::net::SocketAddr;

use clap::Args;
use juniperrail_relay::{Options, Relay};
use tokio::signal::unix::{signal, SignalKind};

use super::Trouble;

#[derive(Args)]
pub struct RelayArgs {
    /// Where managers find it, as 127.0.0.1:7070.
    #[arg(long, value_name = "ADDRESS")]
    listen: SocketAddr,
    /// Whose list is relayed: discovery, or another relay.
    #[arg(long, value_name = "ADDRESS")]
    source: SocketAddr,
    /// Managers served at a time; fewer if the process may not open as many sockets.
    #[arg(long, value_name = "COUNT", default_value_t = 1_024)]
    subscribers: usize,
    /// Workers remembered after they left, so that managers that were away can be told.
    #[arg(long, value_name = "COUNT", default_value_t = 65_536)]
    tombstones: usize,
    /// The longest entry of one worker, in KiB.
    #[arg(long, value_name = "KIB", default_value_t = 63, value_parser = clap::value_parser!(u32).range(1..=63))]
    entry_kib: u32,
    /// What is written to one manager at a time, in KiB.
    #[arg(long, value_name = "KIB", default_value_t = 64, value_parser = clap::value_parser!(u32).range(4..=65_536))]
    chunk_kib: u32,
}

impl RelayArgs {
    fn options(&self) -> Options {
        let mut options = Options::new(self.listen, self.source);
        options.limits.subscribers = self.subscribers;
        options.limits.list.tombstones = self.tombstones;
        options.limits.line.entry = bytes_of(self.entry_kib);
        options.limits.cursor.chunk = bytes_of(self.chunk_kib);
        options
    }
}

fn bytes_of(kib: u32) -> usize {
    kib as usize * 1024
}

/// Serves until SIGTERM.
pub async fn run(args: RelayArgs) -> Result<(), Trouble> {
    let mut ended = signal(SignalKind::terminate()).map_err(|why| Trouble::Fault(why.to_string()))?;
    let listen = args.listen;
    let bound = Relay::bind(args.options()).await;
    let relay = bound.map_err(|why| Trouble::Fault(format!("{listen} can't be listened on: {why}")))?;
    tokio::select! {
        () = relay.serve() => {}
        _ = ended.recv() => tracing::info!("told to end"),
    }
    Ok(())
}
