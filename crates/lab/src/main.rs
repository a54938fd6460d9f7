//! Measurements, each with its bounds: a small table, and `N passed, N failed` alone on the last line. Managers run in
//! processes of their own, everybody else is a stand-in of ours; all stays on the loopback.

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
#[command(about = "Measures a juniperrail manager among stand-ins")]
struct Line {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// Commits until all proxies hold them, turns under a flood of sessions, memory of sessions.
    Netconf {
        /// Commits that are timed.
        #[arg(long, default_value_t = 100)]
        commits: u32,
        /// Rounds of turns, quiet and under the flood.
        #[arg(long, default_value_t = 16)]
        rounds: u32,
    },
    /// Changes drawn from a seed, valid and invalid mixed, at two managers under the eyes of the checker.
    Changes {
        #[arg(long, default_value_t = 1000)]
        count: u32,
        #[arg(long, default_value_t = 17)]
        seed: u64,
    },
    /// Every numbered point in turn, in towns of real processes.
    Trials {
        /// Towns at once.
        #[arg(long, default_value_t = 6)]
        at_once: usize,
        /// First passings alone, as CI plays them.
        #[arg(long)]
        short: bool,
    },
    /// Commits by members and syncs, and how long nobody leads as the leader fails.
    Council {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Stragglers on drawn gangs, and sums a second by threads.
    Gangs {
        #[arg(long, default_value_t = 140)]
        seeds: u64,
    },
    /// Many schedules at five replicas that lose their leader again and again.
    Schedule {
        #[arg(long, default_value_t = 10_000)]
        count: usize,
        #[arg(long, default_value_t = 130)]
        seconds: u64,
    },
    /// What a turn of the decisions costs as workers and proxies grow.
    Turns,
    /// The tables of the capacity page, from the measured slopes, and whether the page holds them.
    Capacity {
        /// Writes the tables into docs/CAPACITY.md.
        #[arg(long)]
        write: bool,
    },
    /// Processor time, memory and bytes of real processes among hollow peers, as each size grows.
    Scale(scale::Options),
    /// One manager, for the other experiments.
    #[command(hide = true)]
    Serve { config: PathBuf, operator_file: PathBuf },
}

fn main() -> ExitCode {
    let mut report = Report::default();
    match Line::parse().experiment {
        Experiment::Serve { config, operator_file } => return child::serve(&config, &operator_file),
        Experiment::Trials { at_once, short } => trials::run(&mut report, at_once, !short),
        Experiment::Gangs { seeds } => gangs::run(&mut report, seeds),
        Experiment::Council { rounds } => council::run(&mut report, rounds),
        Experiment::Schedule { count, seconds } => schedule::run(&mut report, count, seconds),
        Experiment::Capacity { write } => capacity_command::run(&mut report, write),
        Experiment::Turns => turns::run(&mut report),
        Experiment::Scale(options) => {
            if let Err(why) = scale::run(&mut report, &options) {
                eprintln!("scale: {why}");
                return ExitCode::FAILURE;
            }
        }
        Experiment::Netconf { commits, rounds } => netconf::run(&mut report, commits, rounds),
        Experiment::Changes { count, seed } => changes::run(&mut report, count, seed),
    }
    report.close()
}
