//! Measurements of a juniperrail manager, each with its bounds. An experiment prints a table of figures and bounds, and
//! `N passed, N failed` alone on the last line. Managers run in separate processes, all other roles are stand-ins, and all
//! traffic stays on the loopback interface.

mod capacity_command;
mod changes;
mod child;
mod cluster;
mod council;
mod gangs;
mod netconf;
mod schedule;
mod trials;
mod turns;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use juniperrail_lab::report::{self, Report};
use juniperrail_lab::scale;

#[derive(Parser)]
#[command(about = "Measures juniperrail managers against stand-ins of the other roles")]
struct CommandLine {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Measure the time from a commit until all proxies hold it, the lateness of turns under a flood of sessions, and the
    /// memory of sessions.
    Netconf {
        /// Number of timed commits.
        #[arg(long, default_value_t = 100)]
        commits: u32,
        /// Rounds of turns, each without and with the flood.
        #[arg(long, default_value_t = 16)]
        rounds: u32,
    },
    /// Apply random valid and invalid configuration changes at two managers, and check the rules throughout.
    Changes {
        /// Number of changes.
        #[arg(long, default_value_t = 1000)]
        count: u32,
        /// Seed of the random changes.
        #[arg(long, default_value_t = 17)]
        seed: u64,
    },
    /// Inject faults at every numbered fault point, in test fleets of real processes.
    Trials {
        /// Test fleets that run concurrently.
        #[arg(long, default_value_t = 6)]
        at_once: usize,
        /// Inject each fault only at the first pass through its point, as in CI.
        #[arg(long)]
        short: bool,
    },
    /// Measure commits by group size and disk synchronization, and the time without a leader after the leader fails.
    Council {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Measure the detection of stragglers in random gangs, and the sums per second by number of threads.
    Gangs {
        #[arg(long, default_value_t = 140)]
        seeds: u64,
    },
    /// Run many schedules on five replicas that repeatedly lose their leader.
    Schedule {
        #[arg(long, default_value_t = 10_000)]
        count: usize,
        #[arg(long, default_value_t = 130)]
        seconds: u64,
    },
    /// Measure the cost of a planner turn as the numbers of workers and proxies grow.
    Turns,
    /// Print the tables of the capacity page, computed from the measured slopes, and check that the page contains them.
    Capacity {
        /// Write the tables into docs/CAPACITY.md first.
        #[arg(long)]
        write: bool,
    },
    /// Measure processor time, memory and traffic of real processes among simulated peers, as each size grows.
    Scale(scale::Options),
    /// Run one manager for the other experiments.
    #[command(hide = true)]
    Serve { config: PathBuf, operator_file: PathBuf },
}

fn main() -> ExitCode {
    let mut report = Report::default();
    match CommandLine::parse().experiment {
        Experiment::Serve { config, operator_file } => return child::serve(&config, &operator_file),
        Experiment::Trials { at_once, short } => trials::run(&mut report, at_once, !short),
        Experiment::Gangs { seeds } => gangs::run(&mut report, seeds),
        Experiment::Council { rounds } => council::run(&mut report, rounds),
        Experiment::Schedule { count, seconds } => schedule::run(&mut report, count, seconds),
        Experiment::Capacity { write } => capacity_command::run(&mut report, write),
        Experiment::Turns => turns::run(&mut report),
        Experiment::Scale(options) => {
            if let Err(error) = scale::run(&mut report, &options) {
                eprintln!("scale: {error}");
                return ExitCode::FAILURE;
            }
        }
        Experiment::Netconf { commits, rounds } => netconf::run(&mut report, commits, rounds),
        Experiment::Changes { count, seed } => changes::run(&mut report, count, seed),
    }
    report.close()
}
