//! Merging the results of several runs into one measurements file.

use juniperrail_lab::measured::{Measurements, Reading, Run, Slope};
use juniperrail_lab::scale::record::merge;

fn run(id: &str) -> Run {
    let empty = String::new;
    Run { id: id.into(), commit: empty(), at: empty(), command: empty(), machine: empty() }
}

fn slope(figure: &str, run: &str) -> Slope {
    Slope {
        role: "manager".into(),
        figure: figure.into(),
        against: "workers listed".into(),
        unit: "B".into(),
        fixed: 1.0,
        each: 2.0,
        r_squared: 1.0,
        worst_residual: 0.0,
        straight: true,
        sizes: vec![1.0, 2.0],
        means: vec![3.0, 5.0],
        plays: 1,
        run: run.into(),
    }
}

fn reading(at: &str, run: &str) -> Reading {
    let [role, figure, unit] = ["relay", "peak memory", "B"].map(String::from);
    Reading { role, figure, unit, at: at.into(), value: 1.0, run: run.into() }
}

#[test]
fn a_newer_run_replaces_only_the_figures_that_it_measured_again() {
    let older = Measurements {
        runs: vec![run("first")],
        slopes: vec![slope("peak memory", "first"), slope("bytes in", "first")],
        readings: vec![reading("ordinary day", "first")],
    };
    let newer = Measurements {
        runs: vec![run("second")],
        slopes: vec![slope("peak memory", "second")],
        readings: vec![reading("neighbour died", "second")],
    };
    let merged = merge(older, newer);
    assert_eq!(merged.runs, [run("first"), run("second")]);
    assert_eq!(merged.slopes, [slope("bytes in", "first"), slope("peak memory", "second")]);
    assert_eq!(merged.readings, [reading("ordinary day", "first"), reading("neighbour died", "second")]);
}

#[test]
fn a_run_without_any_remaining_figure_is_removed() {
    let measured_by = |id: &str| Measurements {
        runs: vec![run(id)],
        slopes: vec![slope("peak memory", id)],
        readings: Vec::new(),
    };
    assert_eq!(merge(measured_by("first"), measured_by("second")), measured_by("second"));
}
