//! A manager in a process of its own, which tells how late its turns are when it is asked on standard input.

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

/// How late turns were, in microseconds.
type Late = Arc<Mutex<Histogram<u64>>>;

/// Takes the lateness out of the manager's own events on its turns.
struct Turns(Late);

struct Found(Option<f64>);

impl Visit for Found {
    fn record_f64(&mut self, field: &Field, value: f64) {
        if field.name() == "late" {
            self.0 = Some(value);
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}

impl<S: Subscriber> Layer<S> for Turns {
    fn enabled(&self, about: &Metadata<'_>, _: Context<'_, S>) -> bool {
        about.target() == TURN_TARGET
    }

    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut found = Found(None);
        event.record(&mut found);
        if let (Some(late), Ok(mut histogram)) = (found.0, self.0.lock()) {
            histogram.saturating_record((late * 1000.0) as u64);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are sound")
}

/// Serves until standard input ends. `drop` there forgets how late turns were since the last word, `keep NAME` adds
/// it to what is kept under that name, and `tell NAME` says what that is.
pub fn serve(config: &Path, operator_file: &Path) -> ExitCode {
    let late: Late = Arc::new(Mutex::new(histogram()));
    tracing_subscriber::registry().with(Turns(late.clone())).init();
    let started = || -> Result<(tokio::runtime::Runtime, Manager), String> {
        let text = fs::read_to_string(config).map_err(|why| why.to_string())?;
        let launch = Launch::new(&text, |_| None)?.with_operator_file(operator_file, true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|why| why.to_string())?;
        let manager = runtime.block_on(Manager::bind(launch))?;
        Ok((runtime, manager))
    };
    let (runtime, manager) = match started() {
        Ok(started) => started,
        Err(why) => {
            eprintln!("the manager does not start: {why}");
            return ExitCode::FAILURE;
        }
    };
    let (ssh, _) = manager.netconf_addresses();
    println!("{} {}", manager.address(), ssh.map(|at| at.to_string()).unwrap_or_default());
    thread::spawn(move || {
        let mut kept: HashMap<String, Histogram<u64>> = HashMap::new();
        for line in io::stdin().lock().lines().map_while(Result::ok) {
            let Ok(mut current) = late.lock() else { break };
            match line.split_once(' ') {
                Some(("keep", name)) => {
                    _ = kept.entry(name.into()).or_insert_with(histogram).add(&*current);
                }
                Some(("tell", name)) => {
                    let of = kept.entry(name.into()).or_insert_with(histogram);
                    let at = |quantile| of.value_at_quantile(quantile);
                    println!("{} {} {} {}", of.len(), at(0.5), at(0.99), of.max());
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
