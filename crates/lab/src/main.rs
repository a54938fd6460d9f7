//! The experiments of the lab, one per subcommand. Each prints figures and bounds, one per line. The last line is
//! `N passed, N failed` alone.
//!
//! Managers and relays under test run in processes of their own, and the roles around them are stand-ins. All traffic
//! stays on the loopback interface.

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
#[command(about = "Measures juniperrail managers and relays against stand-ins of the other roles")]
struct CommandLine {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Measure the time from a NETCONF commit until all proxies hold it, the lateness of planner turns under a flood of
    /// sessions, and the memory that sessions take.
    Netconf {
        /// Number of timed commits.
        #[arg(long, default_value_t = 100)]
        commits: u32,
        /// Number of rounds, each of which measures the turns once without and once with the flood.
        #[arg(long, default_value_t = 16)]
        rounds: u32,
    },
    /// Apply random valid and invalid configuration changes at two managers, and check the protocol rules throughout.
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
    /// Measure the commit rate of consensus groups of several sizes with and without file syncs, and the time without a
    /// leader after the leader fails.
    Council {
        /// Number of leader failures of each kind.
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Measure the detection of stragglers in random gangs, and the progress reports per second by number of threads.
    Gangs {
        /// Number of random gangs.
        #[arg(long, default_value_t = 140)]
        seeds: u64,
    },
    /// Run many schedules on five managers whose leader is killed repeatedly.
    Schedule {
        /// Number of schedules, each due once a minute.
        #[arg(long, default_value_t = 10_000)]
        count: usize,
        /// Duration of the run, in seconds.
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
    /// Measure processor time, memory and traffic of real processes with simulated peers, as the load grows.
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
