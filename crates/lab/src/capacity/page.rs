//! The generated blocks of `docs/CAPACITY.md`, computed from the measurements.

use super::assumptions::Sizes;
use super::figure::Basis;
use super::gaps::{self, RankedGap};
use super::markdown::{paragraph, table, Block};
use super::quantity::{format_number, Quantity, Unit};
use super::row::{Failure, Role, Row, Scenario, Verdict};
use super::sensitivity::{self, Sensitivity};
use super::{requests, requirements};
use crate::measured::Measurements;

const ROW_HEADINGS: [&str; 7] = [
    "scenario",
    "figure",
    "measured slope or reading",
    "at the required size",
    "limit",
    "meets the limit",
    "mechanism",
];
/// Ratios that differ by at most this factor count as equal, since rounding alone can make them differ.
const EQUAL_RATIO_TOLERANCE: f64 = 1.001;

/// The computed content of the page.
pub struct Page {
    pub rows: Vec<Row>,
    pub sensitivities: Vec<Sensitivity>,
    pub blocks: Vec<Block>,
}

impl Page {
    /// Computes the page from these measurements.
    pub fn new(measured: &Measurements) -> Page {
        let sizes = Sizes::default();
        let mut rows = sensitivity::all_rows(sizes, measured);
        let sensitivities = sensitivity::analyze_all(&rows, measured);
        sensitivity::mark_assumed(&mut rows, &sensitivities);
        let blocks = blocks(&sizes, &rows, &sensitivities, measured);
        Page { rows, sensitivities, blocks }
    }

    /// The open gaps in the order in which to close them, each with the row that ranks it.
    pub fn gaps(&self) -> Vec<RankedGap<'_>> {
        gaps::ranked(&self.rows)
    }

    /// The names of the slopes and readings that the page needs and that no run has measured.
    pub fn missing_measurements(&self) -> Vec<&str> {
        missing_measurements(&self.rows)
    }
}

fn blocks(sizes: &Sizes, rows: &[Row], sensitivities: &[Sensitivity], measured: &Measurements) -> Vec<Block> {
    let (role_rows, request_rows) = rows.split_at(rows.len() - requests::rows(sizes).len());
    let block = |name, text| Block { name, text };
    let mut blocks = vec![
        block("verdicts", verdicts(rows)),
        block("fleet", fleet(sizes)),
        block("assumptions", assumptions(rows, sensitivities)),
    ];
    for role in Role::ALL {
        let rows_of_role: Vec<&Row> = role_rows.iter().filter(|row| row.role == role).collect();
        blocks.push(block(role.block(), rows_table(&rows_of_role)));
    }
    blocks.push(block("requests", rows_table(&request_rows.iter().collect::<Vec<_>>())));
    blocks.push(block("worst-minutes", worst_cases(role_rows)));
    blocks.push(block("runs", runs(measured)));
    blocks.push(block("not-measured", missing_measurements_text(rows)));
    blocks.push(block("missing", gaps_text(rows)));
    blocks
}

/// A table with a line for each row. The rows without a limit that belong to the same failure share one line.
fn rows_table(rows: &[&Row]) -> String {
    let lines = rows.iter().filter(|row| !shares_failure_line(row)).map(|row| row.cells());
    let failures = Failure::ALL.iter().filter_map(|failure| failure_line(rows, *failure));
    let cells: Vec<Vec<String>> = lines.chain(failures).collect();
    table(&ROW_HEADINGS, &cells)
}

fn shares_failure_line(row: &Row) -> bool {
    matches!(row.scenario, Scenario::WorstCase(_)) && row.limit.is_none()
}

fn failure_line(rows: &[&Row], failure: Failure) -> Option<Vec<String>> {
    let sharing =
        || rows.iter().filter(|row| row.scenario == Scenario::WorstCase(failure) && shares_failure_line(row));
    let mut mechanisms: Vec<String> = Vec::new();
    for row in sharing() {
        let mechanism = row.mechanism.cell();
        if !mechanisms.contains(&mechanism) {
            mechanisms.push(mechanism);
        }
    }
    let figures = figures_text(sharing().copied())?;
    let none = || "-".to_string();
    Some(vec![failure.title().into(), figures, none(), none(), none(), none(), mechanisms.join(", ")])
}

/// The names and figures of these rows as one cell, if there are any rows.
fn figures_text<'a>(rows: impl Iterator<Item = &'a Row>) -> Option<String> {
    let parts: Vec<String> = rows.map(|row| format!("{}: {}", row.name, quantity_text(row))).collect();
    (!parts.is_empty()).then(|| parts.join("; "))
}

/// A table of how many rows of each role meet and miss their limits, with the names of those that miss.
fn verdicts(rows: &[Row]) -> String {
    let names_with = |role: Role, verdict| {
        let judged = rows.iter().filter(|row| row.role == role && row.verdict() == verdict);
        judged.map(|row| row.name).collect::<Vec<&str>>()
    };
    let line = |role: &Role| {
        let meeting = names_with(*role, Verdict::MeetsLimit);
        let missing = names_with(*role, Verdict::MissesLimit);
        let names = if missing.is_empty() { "-".into() } else { missing.join("; ") };
        vec![role.title().into(), meeting.len().to_string(), missing.len().to_string(), names]
    };
    let lines: Vec<Vec<String>> = Role::ALL.iter().map(line).collect();
    table(
        &[
            "role",
            "figures that meet their limit",
            "figures that miss it",
            "names of the figures that miss it",
        ],
        &lines,
    )
}

fn fleet(sizes: &Sizes) -> String {
    let part = |name: &str, value: f64, unit| format!("{name}: {}", Quantity::new(value, unit));
    let regions = requirements::REGIONS;
    let parts = [
        part("managers per control machine", sizes.managers_per_control_machine(), Unit::Count),
        part("control machines per region", requirements::CONTROL_MACHINES / regions, Unit::Count),
        part("managers per zone", sizes.managers_per_zone(), Unit::Count),
        part("workers per zone", sizes.workers_per_zone(), Unit::Count),
        part("managers per region", requirements::MANAGERS / regions, Unit::Count),
        part("workers per region", sizes.workers_per_region(), Unit::Count),
        part("workers per service", requirements::WORKERS / requirements::SERVICES, Unit::Count),
        part("managers per service", sizes.managers_per_service(), Unit::Count),
        part("routes per service", requirements::ROUTES / requirements::SERVICES, Unit::Count),
        part("tenants per service", requirements::TENANTS / requirements::SERVICES, Unit::Count),
        part("proxies in total", sizes.proxies(), Unit::Count),
        part("proxies per manager", sizes.proxies_per_manager(), Unit::Count),
        part("changed list entries", sizes.entries_per_second(), Unit::PerSecond),
        part("configuration changes", sizes.changes_per_second(), Unit::PerSecond),
        part("size of the complete list", sizes.list_bytes(), Unit::Bytes),
    ];
    paragraph(&format!("Averages: {}.", parts.join("; ")))
}

fn assumptions(rows: &[Row], sensitivities: &[Sensitivity]) -> String {
    let lines: Vec<Vec<String>> =
        sensitivities.iter().map(|sensitivity| sensitivity_line(rows, sensitivity)).collect();
    let headings = [
        "assumption",
        "value",
        "reason",
        "number of figures that change, and the one that changes most: at half, as assumed, at double",
        "changed verdicts",
    ];
    table(&headings, &lines)
}

fn sensitivity_line(rows: &[Row], sensitivity: &Sensitivity) -> Vec<String> {
    let has_verdict_change = |index: &&usize| {
        let verdict = rows[**index].verdict();
        sensitivity.rows_at_half[**index].verdict() != verdict
            || sensitivity.rows_at_double[**index].verdict() != verdict
    };
    let changed_verdicts: Vec<String> = sensitivity
        .changed_rows
        .iter()
        .filter(has_verdict_change)
        .map(|index| verdict_change_text(rows, sensitivity, *index))
        .collect();
    let largest_change = most_sensitive_row(sensitivity)
        .map_or_else(|| "-".into(), |index| figure_change_text(rows, sensitivity, index));
    let changed_verdicts =
        if changed_verdicts.is_empty() { "none".into() } else { changed_verdicts.join("; ") };
    let details = sensitivity.assumption.details();
    let changed_figures = format!("{}; {largest_change}", sensitivity.changed_rows.len());
    vec![
        details.name.into(),
        format_number(details.value),
        details.reason.into(),
        changed_figures,
        changed_verdicts,
    ]
}

/// The index of the row with the largest ratio between its figures at half and at double the assumption; the first one
/// if several are equal.
fn most_sensitive_row(sensitivity: &Sensitivity) -> Option<usize> {
    let value = |row: &Row| row.figure.quantity.map_or(0.0, |quantity| quantity.value);
    let ratio = |index: usize| {
        let half = value(&sensitivity.rows_at_half[index]);
        let double = value(&sensitivity.rows_at_double[index]);
        half.max(double) / half.min(double).max(f64::MIN_POSITIVE)
    };
    let mut most_sensitive: Option<usize> = None;
    for index in sensitivity.changed_rows.iter().copied() {
        if most_sensitive.is_none_or(|most| ratio(index) > ratio(most) * EQUAL_RATIO_TOLERANCE) {
            most_sensitive = Some(index);
        }
    }
    most_sensitive
}

fn quantity_text(row: &Row) -> String {
    row.figure.quantity.map_or_else(|| "not measured".into(), |quantity| quantity.to_string())
}

fn figure_change_text(rows: &[Row], sensitivity: &Sensitivity, index: usize) -> String {
    let row = &rows[index];
    let values =
        [&sensitivity.rows_at_half[index], row, &sensitivity.rows_at_double[index]].map(quantity_text);
    format!("{}, {}: {}", row.role.title(), row.name, values.join(", "))
}

fn verdict_change_text(rows: &[Row], sensitivity: &Sensitivity, index: usize) -> String {
    let row = &rows[index];
    let verdict_text = |row: &Row| match row.verdict() {
        Verdict::MeetsLimit => "meets the limit",
        Verdict::MissesLimit => "misses the limit",
        Verdict::NotJudged => "is not judged",
    };
    let scaled_rows =
        [("half", &sensitivity.rows_at_half[index]), ("double", &sensitivity.rows_at_double[index])];
    let differing = scaled_rows.iter().filter(|(_, scaled)| scaled.verdict() != row.verdict());
    let changes: Vec<String> =
        differing.map(|(name, scaled)| format!("{} at {name}", verdict_text(scaled))).collect();
    format!("{}, {}: {}", row.role.title(), row.name, changes.join(", "))
}

fn worst_cases(rows: &[Row]) -> String {
    let line = |failure: &Failure| {
        let figures_of_role = |role: &Role| {
            let affected =
                rows.iter().filter(|row| row.role == *role && row.scenario == Scenario::WorstCase(*failure));
            figures_text(affected).map(|figures| format!("**{}**: {figures}", role.title()))
        };
        let by_role: Vec<String> = Role::ALL.iter().filter_map(figures_of_role).collect();
        vec![failure.title().into(), by_role.join(". ")]
    };
    let lines: Vec<Vec<String>> = Failure::ALL.iter().map(line).collect();
    table(&["failure", "figures by role"], &lines)
}

fn runs(measured: &Measurements) -> String {
    let line = |run: &crate::measured::Run| {
        let id = format!("`{}`", run.id);
        vec![id, run.commit.clone(), run.at.clone(), run.command.clone(), run.machine.clone()]
    };
    let lines: Vec<Vec<String>> = measured.runs.iter().map(line).collect();
    table(&["run", "commit", "when", "command", "machine"], &lines)
}

fn missing_measurements(rows: &[Row]) -> Vec<&str> {
    let missing = rows.iter().flat_map(|row| match &row.figure.basis {
        Basis::NotMeasured(names) => names.as_slice(),
        _ => &[],
    });
    let mut distinct: Vec<&str> = Vec::new();
    for name in missing {
        if !distinct.contains(&name.as_str()) {
            distinct.push(name);
        }
    }
    distinct
}

fn missing_measurements_text(rows: &[Row]) -> String {
    let missing = missing_measurements(rows);
    match missing.is_empty() {
        true => paragraph("Every slope and reading that the page needs was measured."),
        false => paragraph(&format!("Needed by the page, but not measured: {}.", missing.join("; "))),
    }
}

fn gaps_text(rows: &[Row]) -> String {
    let mut text = String::new();
    for (index, RankedGap { gap, row }) in gaps::ranked(rows).iter().enumerate() {
        let figure = row.map_or_else(|| "no row".into(), ranking_figure_text);
        let number = index + 1;
        let item = format!("{number}. {} ({}): {figure}.", gap.title, gap.stage.title());
        text.push_str(&paragraph(&item));
    }
    text
}

/// The figure that ranks a gap, with its ratio to the limit if it misses the limit.
fn ranking_figure_text(row: &Row) -> String {
    let figure = format!("{}: {}", row.name, row.figure.cell());
    match (row.limit, row.limit_ratio()) {
        (Some(limit), Some(ratio)) if ratio > 1.0 => {
            format!("{figure}, {} times the limit of {}", format_number(ratio), limit.quantity)
        }
        _ => figure,
    }
}
