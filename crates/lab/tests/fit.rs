//! Lines through samples: what is straight, what bends, and what noise may do.

use juniperrail_lab::scale::fit::{Fit, Sample};
use juniperrail_lab::scale::judge::Growth;

/// Three plays of each size, which differ by a hundredth of the value.
fn samples(sizes: &[f64], value: impl Fn(f64) -> f64) -> Vec<Sample> {
    let play = |size: f64, noise: f64| Sample { size, value: value(size) * noise };
    sizes.iter().flat_map(|size| [0.99, 1.0, 1.01].map(|noise| play(*size, noise))).collect()
}

const SIZES: [f64; 5] = [500.0, 1000.0, 2000.0, 4000.0, 8000.0];

#[test]
fn an_exact_line_is_found() {
    let exact: Vec<Sample> =
        SIZES.iter().map(|size| Sample { size: *size, value: 7.0 + 0.5 * size }).collect();
    let fit = Fit::of(&exact).unwrap();
    assert!((fit.fixed - 7.0).abs() < 1e-6 && (fit.each - 0.5).abs() < 1e-9, "{fit:?}");
    assert!(fit.r_squared > 0.999_999 && fit.worst_residual < 1e-9 && fit.straight(), "{fit:?}");
    assert!((fit.steepening().unwrap() - 1.0).abs() < 1e-6);
}

#[test]
fn a_noisy_line_is_straight() {
    let fit = Fit::of(&samples(&SIZES, |size| 1e7 + 2000.0 * size)).unwrap();
    assert!(fit.straight() && fit.r_squared > 0.99, "{fit:?}");
    assert_eq!(fit.sizes, SIZES);
}

#[test]
fn a_turn_is_no_line() {
    let turn = |size: f64| if size <= 2000.0 { 1e6 + 1000.0 * size } else { -3e6 + 3000.0 * size };
    let fit = Fit::of(&samples(&SIZES, turn)).unwrap();
    assert!(!fit.straight(), "{fit:?}");
    assert!((fit.steepening().unwrap() - 3.0).abs() < 0.2, "{fit:?}");
}

#[test]
fn a_square_is_no_line() {
    let fit = Fit::of(&samples(&SIZES, |size| size * size)).unwrap();
    assert!(!fit.straight(), "{fit:?}");
}

#[test]
fn what_does_not_grow_is_straight() {
    let fit = Fit::of(&samples(&SIZES, |_| 42.0)).unwrap();
    assert!(fit.straight() && fit.each.abs() < 1e-6, "{fit:?}");
    let nothing = Fit::of(&samples(&SIZES, |_| 0.0)).unwrap();
    assert!(nothing.straight() && nothing.worst_residual == 0.0, "{nothing:?}");
}

#[test]
fn one_size_gives_no_line() {
    assert!(Fit::of(&samples(&[500.0], |size| size)).is_none());
    assert!(Fit::of(&[]).is_none());
}

/// What a figure is judged as, by its unit.
fn judged(unit: &str, value: impl Fn(f64) -> f64) -> Growth {
    let exact: Vec<Sample> = SIZES.iter().map(|size| Sample { size: *size, value: value(*size) }).collect();
    Growth::of(&Fit::of(&exact).unwrap(), unit)
}

#[test]
fn memory_that_a_worker_takes_twice_of_above_the_middle_breaks_its_bound() {
    let fixed = 10e6;
    let doubles = |size: f64| fixed + 1500.0 * size.min(2000.0) + 3000.0 * (size - 2000.0).max(0.0);
    let growth = judged("B", doubles);
    assert!(matches!(growth, Growth::Steepening(times) if (times - 2.0).abs() < 1e-6), "{growth:?}");
    assert!(!growth.holds());
    assert!(judged("B", |size| fixed + 1500.0 * size).holds());
}

#[test]
fn memory_that_grows_only_above_the_middle_breaks_its_bound() {
    let growth = judged("B", |size| 10e6 + 3000.0 * (size - 2000.0).max(0.0));
    assert!(!growth.holds(), "{growth:?}");
}

#[test]
fn processor_time_by_the_square_of_the_size_breaks_its_bound() {
    let growth = judged("cores", |size| 0.003 + 1e-8 * size * size);
    assert!(matches!(growth, Growth::BeyondExpected(_)) && !growth.holds(), "{growth:?}");
    assert!(judged("cores", |size| 0.003 + 5e-6 * size).holds());
}

#[test]
fn a_change_more_in_a_window_is_no_growth_of_bytes() {
    // One entry more than six, in half of the plays of the largest size.
    let growth = judged("B/s", |size| if size < 8000.0 { 237.0 } else { 273.0 });
    assert!(growth.holds(), "{growth:?}");
    assert!(!judged("B/s", |size| 237.0 + 0.001 * size * size).holds());
    assert!(!judged("B/s", |size| if size < 8000.0 { 0.0 } else { 1.0 }).holds());
}

#[test]
fn what_hardly_grows_keeps_its_bound() {
    assert_eq!(judged("B", |size| 10e6 + 50.0 * size), Growth::None);
    assert_eq!(judged("cores", |size| 0.03 - 1e-6 * size), Growth::None);
}
