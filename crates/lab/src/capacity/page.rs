//! The blocks of `docs/CAPACITY.md`, computed from what was measured.

use super::assumptions::Sizes;
use super::figure::Basis;
use super::gaps::{self, Placed};
use super::markdown::{paragraph, table, Block};
use super::quantity::{number, Quantity, Unit};
use super::row::{Failure, Role, Row, Verdict, When};
use super::sensitivity::{self, Sensitivity};
use super::{requests, requirements};
use crate::measured::Measurements;

const ROW_HEAD: [&str; 7] =
    ["when", "figure", "slope as measured", "at size", "limit", "carries", "mechanism"];

/// All that the page prints.
pub struct Page {
    pub rows: Vec<Row>,
    pub sensitivities: Vec<Sensitivity>,
    pub blocks: Vec<Block>,
}

impl Page {
    /// The page for these measurements.
    pub fn new(measured: &Measurements) -> Page {
        let sizes = Sizes::default();
        let mut rows = sensitivity::all_rows(sizes, measured);
        let sensitivities = sensitivity::of_all(&rows, measured);
        sensitivity::mark_assumed(&mut rows, &sensitivities);
        let blocks = blocks(&sizes, &rows, &sensitivities, measured);
        Page { rows, sensitivities, blocks }
    }

    /// The gaps in their order, each with the row that puts it there.
    pub fn gaps(&self) -> Vec<Placed<'_>> {
        gaps::placed(&self.rows)
    }

    /// The slopes that the page wants and that no run gave.
    pub fn not_measured(&self) -> Vec<&str> {
        not_measured(&self.rows)
    }
}

fn blocks(sizes: &Sizes, rows: &[Row], sensitivities: &[Sensitivity], measured: &Measurements) -> Vec<Block> {
    let (of_roles, of_requests) = rows.split_at(rows.len() - requests::rows(sizes).len());
    let block = |name, text| Block { name, text };
    let mut blocks = vec![
        block("verdicts", verdicts(rows)),
        block("fleet", fleet(sizes)),
        block("assumptions", assumptions(rows, sensitivities)),
    ];
    for role in Role::ALL {
        let own: Vec<&Row> = of_roles.iter().filter(|row| row.role == role).collect();
        blocks.push(block(role.block(), rows_table(&own)));
    }
    blocks.push(block("requests", rows_table(&of_requests.iter().collect::<Vec<_>>())));
    blocks.push(block("worst-minutes", worst_minutes(of_roles)));
    blocks.push(block("runs", runs(measured)));
    blocks.push(block("not-measured", not_measured_list(rows)));
    blocks.push(block("missing", missing(rows)));
    blocks
}

/// Each figure that is kept, met every day or judged has a line, each failure has one for all others.
fn rows_table(rows: &[&Row]) -> String {
    let lines = rows.iter().filter(|row| !is_joined(row)).map(|row| row.cells());
    let failures = Failure::ALL.iter().filter_map(|failure| failure_line(rows, *failure));
    let cells: Vec<Vec<String>> = lines.chain(failures).collect();
    table(&ROW_HEAD, &cells)
}

fn is_joined(row: &Row) -> bool {
    matches!(row.when, When::Worst(_)) && row.limit.is_none()
}

fn failure_line(rows: &[&Row], failure: Failure) -> Option<Vec<String>> {
    let concerned = || rows.iter().filter(|row| row.when == When::Worst(failure) && is_joined(row));
    let mut mechanisms: Vec<String> = Vec::new();
    for row in concerned() {
        let mechanism = row.mechanism.cell();
        if !mechanisms.contains(&mechanism) {
            mechanisms.push(mechanism);
        }
    }
    let (asked, none) = (asked(concerned().copied())?, || "-".to_string());
    Some(vec![failure.title().into(), asked, none(), none(), none(), none(), mechanisms.join(", ")])
}

/// What these rows ask, in one cell.
fn asked<'a>(rows: impl Iterator<Item = &'a Row>) -> Option<String> {
    let parts: Vec<String> = rows.map(|row| format!("{}: {}", row.name, quantity_text(row))).collect();
    (!parts.is_empty()).then(|| parts.join("; "))
}

/// How many rows carry, by role.
fn verdicts(rows: &[Row]) -> String {
    let judged = |role: Role, verdict| {
        let of = rows.iter().filter(|row| row.role == role && row.verdict() == verdict);
        of.map(|row| row.name).collect::<Vec<&str>>()
    };
    let line = |role: &Role| {
        let carries = judged(*role, Verdict::Carries);
        let does_not = judged(*role, Verdict::DoesNotCarry);
        let names = if does_not.is_empty() { "-".into() } else { does_not.join("; ") };
        vec![role.title().into(), carries.len().to_string(), does_not.len().to_string(), names]
    };
    let lines: Vec<Vec<String>> = Role::ALL.iter().map(line).collect();
    table(&["role", "rows that carry", "that do not", "which"], &lines)
}

fn fleet(sizes: &Sizes) -> String {
    let part = |name: &str, value: f64, unit| format!("{name} {}", Quantity::new(value, unit));
    let regions = requirements::REGIONS;
    let parts = [
        part("managers of one control machine", sizes.managers_per_control_machine(), Unit::Count),
        part("control machines of a region", requirements::CONTROL_MACHINES / regions, Unit::Count),
        part("managers of a zone", sizes.managers_per_zone(), Unit::Count),
        part("workers of a zone", sizes.workers_per_zone(), Unit::Count),
        part("managers of a region", requirements::MANAGERS / regions, Unit::Count),
        part("workers of a region", sizes.workers_per_region(), Unit::Count),
        part("workers of a service", requirements::WORKERS / requirements::SERVICES, Unit::Count),
        part("managers that need one service's workers", sizes.managers_per_service(), Unit::Count),
        part("routes of a service", requirements::ROUTES / requirements::SERVICES, Unit::Count),
        part("tenants of a service", requirements::TENANTS / requirements::SERVICES, Unit::Count),
        part("proxies in all", sizes.proxies(), Unit::Count),
        part("proxies of a manager", sizes.proxies_per_manager(), Unit::Count),
        part("changed entries of the list", sizes.entries_per_second(), Unit::PerSecond),
        part("changes of configuration", sizes.changes_per_second(), Unit::PerSecond),
        part("the whole list", sizes.list_bytes(), Unit::Bytes),
    ];
    paragraph(&format!("On average: {}.", parts.join("; ")))
}

fn assumptions(rows: &[Row], sensitivities: &[Sensitivity]) -> String {
    let lines: Vec<Vec<String>> = sensitivities.iter().map(|one| sensitivity_line(rows, one)).collect();
    let head = [
        "assumed",
        "value",
        "why",
        "figures that move, and the one that moves most: at half, as assumed, at double",
        "verdicts that turn",
    ];
    table(&head, &lines)
}

fn sensitivity_line(rows: &[Row], one: &Sensitivity) -> Vec<String> {
    let turns = |place: &&usize| {
        let verdict = rows[**place].verdict();
        one.half[**place].verdict() != verdict || one.double[**place].verdict() != verdict
    };
    let turned: Vec<String> = one.moved.iter().filter(turns).map(|place| turned(rows, one, *place)).collect();
    let most = most_moved(one).map_or_else(|| "-".into(), |place| movement(rows, one, place));
    let turned = if turned.is_empty() { "none".into() } else { turned.join("; ") };
    let details = one.assumption.details();
    let moved = format!("{}; {most}", one.moved.len());
    vec![details.name.into(), number(details.value), details.reason.into(), moved, turned]
}

/// The place of the row that moves most from half to double, the first of several.
fn most_moved(one: &Sensitivity) -> Option<usize> {
    let value = |row: &Row| row.figure.quantity.map_or(0.0, |quantity| quantity.value);
    let times = |place: usize| {
        let (half, double) = (value(&one.half[place]), value(&one.double[place]));
        half.max(double) / half.min(double).max(f64::MIN_POSITIVE)
    };
    let mut most: Option<usize> = None;
    for place in one.moved.iter().copied() {
        // Equal but for rounding is equal: the first stays.
        if most.is_none_or(|most| times(place) > times(most) * 1.001) {
            most = Some(place);
        }
    }
    most
}

fn quantity_text(row: &Row) -> String {
    row.figure.quantity.map_or_else(|| "not measured".into(), |quantity| quantity.to_string())
}

fn movement(rows: &[Row], one: &Sensitivity, place: usize) -> String {
    let values = [&one.half[place], &rows[place], &one.double[place]].map(quantity_text);
    let row = &rows[place];
    format!("{}, {}: {}", row.role.title(), row.name, values.join(", "))
}

fn turned(rows: &[Row], one: &Sensitivity, place: usize) -> String {
    let row = &rows[place];
    let word = |row: &Row| match row.verdict() {
        Verdict::Carries => "carries",
        Verdict::DoesNotCarry => "does not carry",
        Verdict::NotJudged => "is not judged",
    };
    let sides = [("half", &one.half[place]), ("double", &one.double[place])];
    let differing = sides.iter().filter(|(_, side)| side.verdict() != row.verdict());
    let told: Vec<String> = differing.map(|(name, side)| format!("{} at {name}", word(side))).collect();
    format!("{}, {}: {}", row.role.title(), row.name, told.join(", "))
}

fn worst_minutes(rows: &[Row]) -> String {
    let line = |failure: &Failure| {
        let of = |role: &Role| {
            let concerned = rows.iter().filter(|row| row.role == *role && row.when == When::Worst(*failure));
            asked(concerned).map(|asked| format!("**{}**: {asked}", role.title()))
        };
        let of_whom: Vec<String> = Role::ALL.iter().filter_map(of).collect();
        vec![failure.title().into(), of_whom.join(". ")]
    };
    let lines: Vec<Vec<String>> = Failure::ALL.iter().map(line).collect();
    table(&["what happens", "what is asked of whom"], &lines)
}

fn runs(measured: &Measurements) -> String {
    let line = |run: &crate::measured::Run| {
        let id = format!("`{}`", run.id);
        vec![id, run.commit.clone(), run.at.clone(), run.command.clone(), run.machine.clone()]
    };
    let lines: Vec<Vec<String>> = measured.runs.iter().map(line).collect();
    table(&["run", "commit", "when", "command", "machine"], &lines)
}

fn not_measured(rows: &[Row]) -> Vec<&str> {
    let wanted = rows.iter().flat_map(|row| match &row.figure.basis {
        Basis::NotMeasured(slopes) => slopes.as_slice(),
        _ => &[],
    });
    let mut each: Vec<&str> = Vec::new();
    for slope in wanted {
        if !each.contains(&slope.as_str()) {
            each.push(slope);
        }
    }
    each
}

fn not_measured_list(rows: &[Row]) -> String {
    let wanted = not_measured(rows);
    match wanted.is_empty() {
        true => paragraph("Every slope that the page wants was measured."),
        false => paragraph(&format!("Wanted and not measured: {}.", wanted.join("; "))),
    }
}

fn missing(rows: &[Row]) -> String {
    let mut text = String::new();
    for (place, (gap, row)) in gaps::placed(rows).iter().enumerate() {
        let figure = row.map_or_else(|| "no row".into(), placing);
        let number = place + 1;
        let item = format!("{number}. {} ({}): {figure}.", gap.title, gap.stage.title());
        text.push_str(&paragraph(&item));
    }
    text
}

/// The figure that puts a gap in its place.
fn placing(row: &Row) -> String {
    let figure = format!("{}: {}", row.name, row.figure.cell());
    match (row.limit, row.times_over()) {
        (Some(limit), Some(times)) if times > 1.0 => {
            format!("{figure}, {} times the limit of {}", number(times), limit.quantity)
        }
        _ => figure,
    }
}
