//! A juniperrail manager: the decision module behind real sockets. Tell it what a [`Launch`] says and
//! [`serve`] until it is dropped:
//!
//! ```no_run
//! # async fn started() -> Result<(), String> {
//! let launch = juniperrail_manager::Launch::from_env()?;
//! juniperrail_manager::serve(launch).await
//! # }
//! ```

mod decider;
mod discovery;
mod fault;
mod http;
mod launch;
mod plane;
mod probes;
mod streams;
mod text;

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

pub use launch::Launch;

/// News that may wait for the next turn; who brings more has to wait.
const INBOX: usize = 4096;

/// Serves for good on the runtime of one thread that calls it. Dropping the future ends all connections.
pub async fn serve(mut launch: Launch) -> Result<(), String> {
    let listener = TcpListener::bind(launch.listen).await;
    let listener = listener.map_err(|why| format!("{} cannot be listened on: {why}", launch.listen))?;
    let (news, inbox) = mpsc::channel(INBOX);
    let afresh = Rc::new(Notify::new());
    let objectives = launch.start.operations.iter().map(|op| op.latency_objective);
    let answer_within = objectives.fold(f64::INFINITY, f64::min).clamp(1.0, 60_000.0);
    let probes = probes::probes(
        launch.dial_within,
        std::time::Duration::from_secs_f64(answer_within / 1000.0),
        launch.sockets / 16,
    );
    let watch = discovery::Watch {
        discovery: launch.discovery,
        held: launch.known.as_ref().map(|known| known.version),
        rng: fastrand::Rng::with_seed(launch.seed),
        news: news.clone(),
    };
    let doors = Rc::new(streams::Doors {
        news: news.clone(),
        proxies: launch.start.proxies as u16,
        strangers: Default::default(),
        strangers_most: launch.sockets / 4,
        last: Default::default(),
    });
    let clock = decider::Clock::start();
    let decider = decider::Decider::new(&mut launch, clock, probes, &news, afresh.clone());
    log::info!("{} serves on {}", launch.name, launch.listen);
    let tasks = async {
        tokio::join!(decider.run(inbox), watch.run(&afresh), streams::accept(listener, doors, launch.tick),);
    };
    LocalSet::new().run_until(tasks).await;
    Ok(())
}
