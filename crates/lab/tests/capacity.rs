//! The capacity page has the computed tables and names only files and runs that exist.
//!
//! Guards against a page that no longer matches the measurements or the code, against figures that are extrapolated or
//! interpolated but not marked as such, and against an upper bound that is judged as if it were the figure.

use std::path::{Path, PathBuf};

use juniperrail_lab::capacity::assumptions::Assumption;
use juniperrail_lab::capacity::checks;
use juniperrail_lab::capacity::figure::{Basis, Bound, Figure};
use juniperrail_lab::capacity::markdown::{rewrite, Block, PageError};
use juniperrail_lab::capacity::page::Page;
use juniperrail_lab::capacity::point::{Conditions, Point};
use juniperrail_lab::capacity::quantity::{Quantity, Unit};
use juniperrail_lab::capacity::row::{Limit, Mechanism, Role, Row, Scenario, Verdict};
use juniperrail_lab::capacity::series::Series;
use juniperrail_lab::measured::{Measurements, Reading, Slope};

const MEMORY: Series =
    Series { role: "manager", figure: "peak memory", against: "workers listed", unit: Unit::Bytes };

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn measured() -> Measurements {
    let text = std::fs::read_to_string(repository_root().join("docs/capacity/measured.json")).unwrap();
    serde_json::from_str(&text).unwrap()
}

fn page_text() -> String {
    std::fs::read_to_string(repository_root().join("docs/CAPACITY.md")).unwrap()
}

fn faults(text: &str, measured: &Measurements) -> Vec<String> {
    let page = Page::new(measured);
    checks::all(&repository_root(), text, &page, measured)
        .into_iter()
        .flat_map(|check| check.faults)
        .collect()
}

/// A slope of [`MEMORY`]: 9 MB and 1,000 bytes for each worker.
fn slope(straight: bool) -> Slope {
    Slope {
        role: "manager".into(),
        figure: "peak memory".into(),
        against: "workers listed".into(),
        unit: "B".into(),
        fixed: 9e6,
        each: 1000.0,
        r_squared: 1.0,
        worst_residual: 0.0,
        straight,
        sizes: vec![1000.0, 10_000.0],
        means: vec![1e7, 1.9e7],
        plays: 3,
        run: "a run".into(),
    }
}

fn with_slope(straight: bool) -> Measurements {
    Measurements { slopes: vec![slope(straight)], ..Measurements::default() }
}

fn reading(at: &str, value: f64) -> Reading {
    let (role, figure, unit, run) = ("manager".into(), "peak memory".into(), "B".into(), "a run".into());
    Reading { role, figure, at: at.into(), unit, value, run }
}

/// Two readings of [`MEMORY`], and one against another size.
fn with_readings() -> Measurements {
    let readings = vec![
        reading("1,000 workers listed, one change a second", 1e7),
        reading("3,000 workers listed, one change a second", 4e7),
        reading("2,000 proxies joined", 9e9),
    ];
    Measurements { readings, ..Measurements::default() }
}

#[test]
fn page_holds_the_computed_tables_and_every_check_passes() {
    let faults = faults(&page_text(), &measured());
    assert!(
        faults.is_empty(),
        "{faults:#?}\nto rewrite the page: cargo run -p juniperrail-lab -- capacity --write"
    );
}

#[test]
fn manually_edited_figure_is_detected() {
    let text = page_text();
    let row = text
        .lines()
        .find(|line| line.starts_with("| steady state | workers of the manager's services |"))
        .unwrap();
    let changed = text.replace(row, &row.replace("(assumed)", "(measured)"));
    assert_ne!(text, changed);
    let faults = faults(&changed, &measured());
    assert!(faults[0].contains("(measured)"), "{faults:?}");
}

#[test]
fn changed_measurement_is_detected() {
    let mut measured = measured();
    let run = measured.runs[0].id.clone();
    measured.slopes.insert(0, Slope { run, ..slope(true) });
    let faults = faults(&page_text(), &measured);
    assert!(faults[0].starts_with("line "), "{faults:?}");
}

#[test]
fn missing_section_or_block_is_detected() {
    for role in Role::ALL {
        let heading = format!("## {}\n", role.title());
        let without = page_text().replace(&heading, "");
        let expected = format!("missing section {:?}", role.title());
        assert!(faults(&without, &measured()).contains(&expected), "{expected}");
        let block_start = format!("<!-- capacity: {} -->\n", role.block());
        let without = page_text().replace(&block_start, "");
        assert!(!faults(&without, &measured()).is_empty(), "{block_start}");
    }
}

#[test]
fn each_mechanism_file_exists() {
    for row in Page::new(&measured()).rows {
        if let Mechanism::File(path) = row.mechanism {
            assert!(repository_root().join(path).is_file(), "{path}");
        }
    }
}

#[test]
fn missing_mechanism_file_is_detected() {
    let wrong_root = repository_root().join("docs");
    let (text, measured) = (page_text(), measured());
    let checks = checks::all(&wrong_root, &text, &Page::new(&measured), &measured);
    let faults: Vec<String> = checks.into_iter().flat_map(|check| check.faults).collect();
    assert!(faults.contains(&"missing file src/lib.rs".to_string()), "{faults:?}");
}

#[test]
fn each_assumption_affects_a_figure_and_has_a_reason() {
    let page = Page::new(&measured());
    assert_eq!(page.sensitivities.len(), Assumption::ALL.len());
    for sensitivity in page.sensitivities {
        let details = sensitivity.assumption.details();
        assert!(!sensitivity.changed_rows.is_empty(), "{}", details.name);
        assert!(!details.reason.is_empty(), "{}", details.name);
    }
}

#[test]
fn reading_of_an_unrecorded_run_is_detected() {
    let mut measured = measured();
    measured.readings[0].run = "unrecorded run".into();
    assert!(faults(&page_text(), &measured).iter().any(|fault| fault.contains("unrecorded run")));
}

#[test]
fn slope_is_extrapolated_beyond_twice_its_largest_size_or_if_it_bends() {
    let at_trusted_size = MEMORY.at(&with_slope(true), 20_000.0);
    assert_eq!(at_trusted_size.basis, Basis::Measured);
    assert_eq!(at_trusted_size.quantity, Some(Quantity::new(2.9e7, Unit::Bytes)));
    let beyond = MEMORY.at(&with_slope(true), 20_001.0);
    assert!(matches!(beyond.basis, Basis::Extrapolated(_)));
    assert!(beyond.cell().contains("extrapolated"));
    let beyond_bent = MEMORY.at(&with_slope(false), 10_001.0);
    assert!(matches!(beyond_bent.basis, Basis::Extrapolated(_)));
    let size_at_limit = MEMORY.size_at_limit(&with_slope(true), 2.4e7);
    assert_eq!(size_at_limit.quantity, Some(Quantity::new(15_000.0, Unit::Count)));
    let below = MEMORY.at(&with_slope(true), 45.0);
    assert_eq!((below.bound, below.quantity), (Bound::AtMost, Some(Quantity::new(1e7, Unit::Bytes))));
    let unreachable = MEMORY.size_at_limit(&with_slope(true), 1e6);
    assert_eq!(
        unreachable.quantity,
        Some(Quantity::new(0.0, Unit::Count)),
        "the fixed part of 9 MB already exceeds the limit"
    );
}

#[test]
fn bending_slope_is_interpolated_between_its_means() {
    let mut measured = with_slope(false);
    measured.slopes[0].means = vec![1e7, 3e7];
    let at_measured_size = MEMORY.at(&measured, 10_000.0);
    assert_eq!(at_measured_size.quantity, Some(Quantity::new(3e7, Unit::Bytes)));
    assert_eq!(at_measured_size.basis, Basis::Measured);
    let between = MEMORY.at(&measured, 5500.0);
    assert_eq!(between.quantity, Some(Quantity::new(2e7, Unit::Bytes)));
    assert_eq!(between.basis, Basis::Interpolated);
    let size_at_limit = MEMORY.size_at_limit(&measured, 2e7);
    assert_eq!(size_at_limit.quantity, Some(Quantity::new(5500.0, Unit::Count)));
    assert_eq!(MEMORY.size_at_limit(&measured, 4e7).quantity, None);
}

#[test]
fn figure_warns_if_a_reading_beyond_the_line_contradicts_it() {
    let mut measured = with_slope(true);
    let line_at_50_000 = 5.9e7;
    measured.readings = vec![reading("50,000 workers listed", 1.1 * line_at_50_000)];
    assert!(!MEMORY.at(&measured, 200_000.0).cell().contains("a reading"));
    measured.readings = vec![reading("50,000 workers listed", 2.0 * line_at_50_000)];
    let contradicted = MEMORY.at(&measured, 200_000.0);
    assert!(contradicted.cell().contains("20 times the largest fitted size; a reading at 50,000 is 2 times"));
    assert_eq!(MEMORY.at(&measured, 20_000.0).basis, Basis::Measured);
}

#[test]
fn flat_slope_adds_nothing() {
    let mut measured = with_slope(true);
    measured.slopes[0].means = vec![1e7, 0.95e7];
    measured.slopes[0].each = -50.0;
    assert_eq!(MEMORY.growth_per_unit(&measured).quantity, Some(Quantity::new(0.0, Unit::Bytes)));
    assert!(MEMORY.growth_per_unit(&measured).source.unwrap().contains("no growth seen"));
}

#[test]
fn growth_of_a_bending_slope_from_size_0_follows_its_means() {
    let mut measured = with_slope(false);
    measured.slopes[0].sizes = vec![0.0, 100.0, 1000.0];
    measured.slopes[0].means = vec![1e7, 2e7, 2.1e7];
    let growth = MEMORY.growth(&measured, 50.0);
    assert_eq!(growth.quantity, Some(Quantity::new(5e6, Unit::Bytes)));
    assert_eq!(growth.basis, Basis::Interpolated);
    assert!(matches!(MEMORY.growth(&measured, 1001.0).basis, Basis::Extrapolated(_)));
}

#[test]
fn reading_at_the_required_size_is_used_unchanged() {
    let point = Point {
        role: "relay",
        figure: "a delay",
        conditions: Conditions { prefix: "ordinary day", suffix: " subscribers" },
        unit: Unit::Seconds,
        bound: Bound::Exact,
    };
    assert_eq!(point.look_up(&with_readings()).quantity, None);
    let mut measured = with_readings();
    let (role, figure, unit) = ("relay".into(), "a delay".into(), "ms".into());
    let at = "ordinary day, 333 subscribers".into();
    measured.readings.push(Reading { role, figure, at, unit, value: 250.0, run: "a run".into() });
    let found = point.look_up(&measured);
    assert_eq!(found.quantity, Some(Quantity::new(0.25, Unit::Seconds)));
    assert_eq!(found.basis, Basis::Measured);
}

#[test]
fn sum_has_the_basis_of_its_least_certain_part() {
    let measured = MEMORY.at(&with_slope(true), 2000.0);
    let computed = Figure::computed(1.0, Unit::Bytes);
    assert_eq!(measured.clone().plus(computed.clone()).basis, Basis::Computed);
    let extrapolated = MEMORY.at(&with_slope(true), 1e6);
    assert!(matches!(computed.plus(extrapolated).basis, Basis::Extrapolated(_)));
    let at_most = MEMORY.at(&with_slope(true), 45.0);
    assert_eq!(measured.plus(at_most).bound, Bound::AtMost);
}

#[test]
fn growth_excludes_the_value_at_size_0() {
    let per_worker = MEMORY.growth_per_unit(&with_slope(true));
    assert_eq!(per_worker.quantity, Some(Quantity::new(1000.0, Unit::Bytes)));
    let growth = MEMORY.growth(&with_slope(true), 12.0);
    assert_eq!(growth.quantity, Some(Quantity::new(12_000.0, Unit::Bytes)));
    assert_eq!(MEMORY.growth_per_unit(&with_readings()).quantity, None);
    let sum = MEMORY.at(&with_slope(true), 1000.0).plus(growth);
    assert_eq!(sum.quantity, Some(Quantity::new(10_012_000.0, Unit::Bytes)));
    let not_measured = MEMORY.at(&with_slope(true), 1000.0).plus(MEMORY.growth_per_unit(&with_readings()));
    assert_eq!(not_measured.basis, Basis::NotMeasured(vec![MEMORY.slope_name()]));
}

#[test]
fn readings_are_an_upper_bound_below_their_sizes_and_not_measured_beyond() {
    let below = MEMORY.at(&with_readings(), 45.0);
    assert_eq!((below.bound, below.quantity), (Bound::AtMost, Some(Quantity::new(1e7, Unit::Bytes))));
    let between = MEMORY.at(&with_readings(), 2000.0);
    assert_eq!((between.bound, between.quantity), (Bound::Exact, Some(Quantity::new(2.5e7, Unit::Bytes))));
    assert_eq!(between.basis, Basis::Interpolated);
    let beyond = MEMORY.at(&with_readings(), 3001.0);
    assert_eq!(beyond.cell(), "not measured");
    assert_eq!(beyond.basis, Basis::NotMeasured(vec![MEMORY.slope_name()]));
    assert_eq!(MEMORY.at(&Measurements::default(), 45.0).cell(), "not measured");
    let size_at_limit = MEMORY.size_at_limit(&with_readings(), 2.5e7);
    assert_eq!(size_at_limit.quantity, Some(Quantity::new(2000.0, Unit::Count)));
    assert_eq!(MEMORY.size_at_limit(&with_readings(), 5e7).quantity, None);
    let rounded_down = MEMORY.size_at_limit(&with_readings(), 2.6e7);
    assert_eq!(
        rounded_down.quantity,
        Some(Quantity::new(2000.0, Unit::Count)),
        "2,066 rounded down to two digits"
    );
}

#[test]
fn upper_bound_above_the_limit_is_not_judged() {
    let row = |size, limit| Row {
        role: Role::Manager,
        scenario: Scenario::SteadyState,
        name: "memory",
        figure: MEMORY.at(&with_readings(), size),
        limit: Some(Limit::required(limit, Unit::Bytes)),
        mechanism: Mechanism::None,
    };
    assert_eq!(row(45.0, 1e7).verdict(), Verdict::MeetsLimit);
    assert_eq!(row(45.0, 9e6).verdict(), Verdict::NotJudged);
    assert_eq!(row(2000.0, 9e6).verdict(), Verdict::MissesLimit);
    assert_eq!(row(9000.0, 9e9).verdict(), Verdict::NotJudged);
}

#[test]
fn blocks_are_replaced_exactly_once_and_other_text_is_unchanged() {
    let blocks = [Block { name: "one", text: "new\n".into() }];
    let page = "before\n<!-- capacity: one -->\nold\n<!-- end -->\nafter\n";
    let rewritten = "before\n<!-- capacity: one -->\nnew\n<!-- end -->\nafter\n";
    assert_eq!(rewrite(page, &blocks), Ok(rewritten.to_string()));
    assert_eq!(rewrite("", &blocks), Err(PageError::NotExactlyOnce("one")));
    assert_eq!(rewrite(&format!("{page}{page}"), &blocks), Err(PageError::NotExactlyOnce("one")));
    let other = "<!-- capacity: other -->\n<!-- end -->\n";
    assert_eq!(rewrite(other, &blocks), Err(PageError::UnknownBlock("other".into())));
    assert_eq!(rewrite("<!-- capacity: one -->\n", &blocks), Err(PageError::UnclosedBlock("one".into())));
}

#[test]
fn quantities_are_formatted_with_their_units() {
    let cases = [
        (6638.0, Unit::Bytes, "6.64 KB"),
        (29.2e6, Unit::Bytes, "29.2 MB"),
        (0.1505, Unit::PerSecond, "0.15/s"),
        (288_983_000.0, Unit::Count, "288,983,000"),
        (0.013, Unit::Cores, "1.3% of a core"),
        (5840.0, Unit::Seconds, "97.3 min"),
        (0.005, Unit::Seconds, "5 ms"),
        (0.000_28, Unit::PerSecond, "0.00028/s"),
        (0.0, Unit::Count, "0"),
        (100.0, Unit::Count, "100"),
    ];
    for (value, unit, expected) in cases {
        assert_eq!(Quantity::new(value, unit).to_string(), expected);
    }
}
