//! A manager in a separate process that records the lateness of its turns and reports it on request over standard
//! input.

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;

use hdrhistogram::Histogram;
use juniperrail_manager::{Launch, Manager, TURN_TARGET};
use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Histogram of the lateness of turns, in microseconds.
type Lateness = Arc<Mutex<Histogram<u64>>>;

/// A tracing layer that records the lateness from the events that the manager emits at each turn.
struct TurnRecorder(Lateness);

/// The value of the `late` field of an event, in milliseconds.
struct LateField(Option<f64>);

impl Visit for LateField {
    fn record_f64(&mut self, field: &Field, value: f64) {
        if field.name() == "late" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}

impl<S: Subscriber> Layer<S> for TurnRecorder {
    fn enabled(&self, metadata: &Metadata<'_>, _: Context<'_, S>) -> bool {
        metadata.target() == TURN_TARGET
    }

    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut late_field = LateField(None);
        event.record(&mut late_field);
        if let (Some(late_ms), Ok(mut histogram)) = (late_field.0, self.0.lock()) {
            histogram.saturating_record((late_ms * 1000.0) as u64);
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Runs the manager until standard input ends. The first line of output has the address of the manager, and the address
/// of its NETCONF server over SSH if it has one.
///
/// Each line on standard input is a command, which also resets the current histogram of the lateness of turns: `drop`
/// discards it, `keep NAME` adds it to the saved histogram of that name, and `tell NAME` prints the count, and in
/// microseconds the median, the 99th percentile and the maximum, of the saved histogram of that name.
pub fn serve(config: &Path, operator_file: &Path) -> ExitCode {
    let lateness: Lateness = Arc::new(Mutex::new(new_histogram()));
    tracing_subscriber::registry().with(TurnRecorder(lateness.clone())).init();
    let start = || -> Result<(tokio::runtime::Runtime, Manager), String> {
        let text = fs::read_to_string(config).map_err(|error| error.to_string())?;
        let launch = Launch::new(&text, |_| None)?.with_operator_file(operator_file, true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
        let manager = runtime.block_on(Manager::bind(launch))?;
        Ok((runtime, manager))
    };
    let (runtime, manager) = match start() {
        Ok(started) => started,
        Err(error) => {
            eprintln!("cannot start the manager: {error}");
            return ExitCode::FAILURE;
        }
    };
    let (ssh_address, _) = manager.netconf_addresses();
    println!("{} {}", manager.address(), ssh_address.map(|address| address.to_string()).unwrap_or_default());
    thread::spawn(move || {
        let mut saved: HashMap<String, Histogram<u64>> = HashMap::new();
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(mut current) = lateness.lock() else { break };
            match line.split_once(' ') {
                Some(("keep", name)) => {
                    _ = saved.entry(name.into()).or_insert_with(new_histogram).add(&*current);
                }
                Some(("tell", name)) => {
                    let histogram = saved.entry(name.into()).or_insert_with(new_histogram);
                    let quantile = |share| histogram.value_at_quantile(share);
                    println!("{} {} {} {}", histogram.len(), quantile(0.5), quantile(0.99), histogram.max());
                    _ = io::stdout().flush();
                }
                _ => {}
            }
            current.reset();
        }
        std::process::exit(0);
    });
    runtime.block_on(manager.serve());
    ExitCode::SUCCESS
}
