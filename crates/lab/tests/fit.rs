//! Linear fits of samples, the test for lack of fit, and the bounds on growth.

use juniperrail_lab::scale::fit::{Fit, Sample};
use juniperrail_lab::scale::judge::Growth;

/// Three samples of each size, at 99%, 100% and 101% of the value.
fn samples(sizes: &[f64], value: impl Fn(f64) -> f64) -> Vec<Sample> {
    let sample = |size: f64, noise: f64| Sample { size, value: value(size) * noise };
    sizes.iter().flat_map(|size| [0.99, 1.0, 1.01].map(|noise| sample(*size, noise))).collect()
}

const SIZES: [f64; 5] = [500.0, 1000.0, 2000.0, 4000.0, 8000.0];

#[test]
fn an_exact_line_is_fitted() {
    let exact: Vec<Sample> =
        SIZES.iter().map(|size| Sample { size: *size, value: 7.0 + 0.5 * size }).collect();
    let fit = Fit::from_samples(&exact).unwrap();
    assert!((fit.intercept - 7.0).abs() < 1e-6 && (fit.slope - 0.5).abs() < 1e-9, "{fit:?}");
    assert!(fit.r_squared > 0.999_999 && fit.worst_residual < 1e-9 && fit.is_straight(), "{fit:?}");
    assert!((fit.slope_ratio().unwrap() - 1.0).abs() < 1e-6);
}

#[test]
fn a_noisy_line_is_straight() {
    let fit = Fit::from_samples(&samples(&SIZES, |size| 1e7 + 2000.0 * size)).unwrap();
    assert!(fit.is_straight() && fit.r_squared > 0.99, "{fit:?}");
    assert_eq!(fit.sizes, SIZES);
}

#[test]
fn a_change_of_slope_is_not_straight() {
    let kinked = |size: f64| if size <= 2000.0 { 1e6 + 1000.0 * size } else { -3e6 + 3000.0 * size };
    let fit = Fit::from_samples(&samples(&SIZES, kinked)).unwrap();
    assert!(!fit.is_straight(), "{fit:?}");
    assert!((fit.slope_ratio().unwrap() - 3.0).abs() < 0.2, "{fit:?}");
}

#[test]
fn a_quadratic_is_not_straight() {
    let fit = Fit::from_samples(&samples(&SIZES, |size| size * size)).unwrap();
    assert!(!fit.is_straight(), "{fit:?}");
}

#[test]
fn a_constant_is_straight() {
    let fit = Fit::from_samples(&samples(&SIZES, |_| 42.0)).unwrap();
    assert!(fit.is_straight() && fit.slope.abs() < 1e-6, "{fit:?}");
    let zero = Fit::from_samples(&samples(&SIZES, |_| 0.0)).unwrap();
    assert!(zero.is_straight() && zero.worst_residual == 0.0, "{zero:?}");
}

#[test]
fn one_size_gives_no_fit() {
    assert!(Fit::from_samples(&samples(&[500.0], |size| size)).is_none());
    assert!(Fit::from_samples(&[]).is_none());
}

/// The growth of a figure with this unit, without noise in its samples.
fn growth_of(unit: &str, value: impl Fn(f64) -> f64) -> Growth {
    let exact: Vec<Sample> = SIZES.iter().map(|size| Sample { size: *size, value: value(*size) }).collect();
    Growth::from_fit(&Fit::from_samples(&exact).unwrap(), unit)
}

#[test]
fn memory_per_worker_that_doubles_above_the_middle_breaks_its_bound() {
    let base = 10e6;
    let doubling = |size: f64| base + 1500.0 * size.min(2000.0) + 3000.0 * (size - 2000.0).max(0.0);
    let growth = growth_of("B", doubling);
    assert!(matches!(growth, Growth::SlopeRatio(ratio) if (ratio - 2.0).abs() < 1e-6), "{growth:?}");
    assert!(!growth.is_within_limit());
    assert!(growth_of("B", |size| base + 1500.0 * size).is_within_limit());
}

#[test]
fn memory_that_grows_only_above_the_middle_breaks_its_bound() {
    let growth = growth_of("B", |size| 10e6 + 3000.0 * (size - 2000.0).max(0.0));
    assert!(!growth.is_within_limit(), "{growth:?}");
}

#[test]
fn processor_time_that_grows_with_the_square_of_the_size_breaks_its_bound() {
    let growth = growth_of("cores", |size| 0.003 + 1e-8 * size * size);
    assert!(matches!(growth, Growth::RatioToExpected(_)) && !growth.is_within_limit(), "{growth:?}");
    assert!(growth_of("cores", |size| 0.003 + 5e-6 * size).is_within_limit());
}

#[test]
fn one_more_change_in_a_window_keeps_the_bound_on_bytes() {
    // Half of the plays of the largest size have seven changed entries in their windows instead of six.
    let growth = growth_of("B/s", |size| if size < 8000.0 { 237.0 } else { 273.0 });
    assert!(growth.is_within_limit(), "{growth:?}");
    assert!(!growth_of("B/s", |size| 237.0 + 0.001 * size * size).is_within_limit());
    assert!(!growth_of("B/s", |size| if size < 8000.0 { 0.0 } else { 1.0 }).is_within_limit());
}

#[test]
fn negligible_growth_keeps_its_bound() {
    assert_eq!(growth_of("B", |size| 10e6 + 50.0 * size), Growth::None);
    assert_eq!(growth_of("cores", |size| 0.03 - 1e-6 * size), Growth::None);
}
