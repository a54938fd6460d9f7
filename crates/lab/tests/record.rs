//! The file of measurements as several runs write it.

use juniperrail_lab::measured::{Measurements, Reading, Run, Slope};
use juniperrail_lab::scale::record::merged;

fn run(id: &str) -> Run {
    let text = String::new;
    Run { id: id.into(), commit: text(), at: text(), command: text(), machine: text() }
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
fn a_newer_run_replaces_what_it_measured_again_and_keeps_the_rest() {
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
    let merged = merged(older, newer);
    assert_eq!(merged.runs, [run("first"), run("second")]);
    assert_eq!(merged.slopes, [slope("bytes in", "first"), slope("peak memory", "second")]);
    assert_eq!(merged.readings, [reading("ordinary day", "first"), reading("neighbour died", "second")]);
}

#[test]
fn a_run_that_gave_nothing_that_is_left_goes() {
    let of = |id: &str| Measurements {
        runs: vec![run(id)],
        slopes: vec![slope("peak memory", id)],
        readings: Vec::new(),
    };
    assert_eq!(merged(of("first"), of("second")), of("second"));
}
