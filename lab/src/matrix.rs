//! `marllink-lab model`: simulates the fleet in virtual time for each scenario, strategy and seed, on all cores.

use marllink_fleet::{ConfidenceInterval, Matrix, Metric, RunResults, Scenario, Strategy, simulate};
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Metrics in the table of results, with their column headings.
const TABLE_COLUMNS: [(Metric, &str); 20] = [
    (Metric::ServedRatio, "served"),
    (Metric::NetServedRatio, "net"),
    (Metric::WorstServedRatio, "worst 5s"),
    (Metric::WorstTenantServedRatio, "tenant"),
    (Metric::Skew, "skew"),
    (Metric::WastedAttempts, "vain 5s"),
    (Metric::Attempts, "attempts"),
    (Metric::Dropped, "dropped"),
    (Metric::CrossZone, "crossed"),
    (Metric::Probes, "probes"),
    (Metric::DiscoveryCalls, "calls"),
    (Metric::SlowStartCollapses, "cold"),
    (Metric::Moves, "moves"),
    (Metric::MoveBurst, "at once"),
    (Metric::Rejected, "refused"),
    (Metric::StaleAttempts, "stale"),
    (Metric::RecoveryTime, "back s"),
    (Metric::PeakDiscoveryCalls, "calls/s"),
    (Metric::AttemptBurst, "wave"),
    (Metric::WaitP99, "wait99"),
];

/// The runs of one scenario under one strategy, one for each seed.
struct Cell<'a> {
    scenario: &'a Scenario,
    strategy: &'a Strategy,
    runs: Vec<RunResults>,
}

impl Cell<'_> {
    fn interval(&self, metric: Metric) -> ConfidenceInterval {
        let value_in = |run: &RunResults| run.values.get(&metric).copied().unwrap_or_default();
        ConfidenceInterval::of(&self.runs.iter().map(value_in).collect::<Vec<_>>())
    }
}

/// Runs a matrix, prints its table and writes the results. Returns the failures of the first strategy.
///
/// # Errors
/// Fails if the results can't be written.
pub fn run(matrix: &Matrix, folder: &Path, quiet: bool) -> Result<Vec<String>, Box<dyn Error>> {
    let cells = run_all(matrix);
    let table = table(&cells);
    if !quiet {
        print!("{table}");
    }
    std::fs::write(folder.join("matrix.json"), serde_json::to_string_pretty(matrix)?)?;
    std::fs::write(folder.join("table.txt"), table)?;
    write_figures(&folder.join("figures.csv"), &cells)?;
    write_chart(&folder.join("seconds.svg"), matrix, &cells)?;
    Ok(failures(matrix, &cells))
}

/// Runs the simulations of all cells, in parallel. The results of a run don't depend on the core or the order.
fn run_all(matrix: &Matrix) -> Vec<Cell<'_>> {
    let with_strategies = |scenario| matrix.strategies.iter().map(move |strategy| (scenario, strategy));
    let cells: Vec<(&Scenario, &Strategy)> = matrix.scenarios.iter().flat_map(with_strategies).collect();
    let seeds = matrix.seeds as usize;
    let next_run = AtomicUsize::new(0);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut finished: Vec<(usize, RunResults)> = std::thread::scope(|scope| {
        let run_remaining = || {
            let mut finished = Vec::new();
            loop {
                let index = next_run.fetch_add(1, Ordering::Relaxed);
                let Some((scenario, strategy)) = cells.get(index / seeds) else { return finished };
                finished
                    .push((index, simulate(&matrix.shape, scenario, strategy, (index % seeds) as u64 + 1)));
            }
        };
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(run_remaining)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("a simulation panicked")).collect()
    });
    finished.sort_by_key(|(index, _)| *index);
    let mut finished = finished.into_iter().map(|(_, results)| results);
    let cell =
        |(scenario, strategy)| Cell { scenario, strategy, runs: finished.by_ref().take(seeds).collect() };
    cells.into_iter().map(cell).collect()
}

fn table(cells: &[Cell<'_>]) -> String {
    let mut text = format!("{:<16}{:<16}", "day", "strategy");
    for (_, heading) in TABLE_COLUMNS {
        let _ = write!(text, "{heading:>14}");
    }
    text.push('\n');
    for cell in cells {
        let _ = write!(text, "{:<16}{:<16}", cell.scenario.name, cell.strategy.name());
        for (metric, _) in TABLE_COLUMNS {
            let ConfidenceInterval { mean, half_width, .. } = cell.interval(metric);
            let digits = if mean >= 100.0 { 0 } else { 3 };
            let value = format!("{mean:.digits$}+-{half_width:.digits$}");
            let _ = write!(text, "{value:>14}");
        }
        text.push('\n');
    }
    text
}

fn write_figures(path: &Path, cells: &[Cell<'_>]) -> Result<(), Box<dyn Error>> {
    let mut writer = csv::Writer::from_path(path)?;
    writer.write_record(["day", "strategy", "seed", "figure", "value"])?;
    for cell in cells {
        for (seed, run) in cell.runs.iter().enumerate() {
            for (metric, value) in &run.values {
                let metric = serde_json::to_value(metric)?;
                let metric = metric.as_str().unwrap_or_default().to_owned();
                let seed = (seed + 1).to_string();
                let record =
                    [cell.scenario.name.clone(), cell.strategy.name(), seed, metric, format!("{value:.6}")];
                writer.write_record(record)?;
            }
        }
    }
    writer.flush()?;
    Ok(())
}

/// Draws the served ratio over time for the first seed of each scenario, in one panel for each scenario.
fn write_chart(path: &Path, matrix: &Matrix, cells: &[Cell<'_>]) -> Result<(), Box<dyn Error>> {
    let rows = matrix.scenarios.len();
    let root = SVGBackend::new(path, (900, 170 * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, scenario) in root.split_evenly((rows, 1)).iter().zip(&matrix.scenarios) {
        let mut chart = ChartBuilder::on(panel)
            .margin(8)
            .x_label_area_size(20)
            .y_label_area_size(36)
            .build_cartesian_2d(0.0..matrix.shape.duration_s, 0.0..1.05)?;
        chart.configure_mesh().y_labels(3).draw()?;
        for (position, cell) in cells.iter().filter(|cell| cell.scenario.name == scenario.name).enumerate() {
            let Some(run) = cell.runs.first() else { continue };
            let points =
                run.served_ratio_by_second.iter().enumerate().map(|(second, value)| (second as f64, *value));
            chart.draw_series(LineSeries::new(points, &Palette99::pick(position)))?;
        }
    }
    root.present()?;
    Ok(())
}

/// Returns the failures of the first strategy: violated invariants, and bounds that the mean over the seeds
/// doesn't satisfy.
fn failures(matrix: &Matrix, cells: &[Cell<'_>]) -> Vec<String> {
    let first_strategy = matrix.strategies.first().map(Strategy::name);
    let mut failures = Vec::new();
    for cell in cells.iter().filter(|cell| Some(cell.strategy.name()) == first_strategy) {
        for (seed, run) in cell.runs.iter().enumerate() {
            if let Some(violation) = run.violations.first() {
                let count = run.values.get(&Metric::Violations).copied().unwrap_or_default();
                failures.push(format!(
                    "{} seed {}: {count} invariant violations; first: {violation}",
                    cell.scenario.name,
                    seed + 1
                ));
            }
        }
        for bound in matrix.bounds.iter().filter(|bound| bound.applies_to(&cell.scenario.name)) {
            let value = cell.interval(bound.metric).mean;
            if !bound.holds(value) {
                let (metric, comparison) =
                    (serde_json::to_value(bound.metric), serde_json::to_value(bound.comparison));
                let outer_name = |value: Result<serde_json::Value, _>| {
                    value.ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
                };
                let (metric, comparison, scenario) =
                    (outer_name(metric), outer_name(comparison), &cell.scenario.name);
                failures.push(format!(
                    "{scenario}: {metric} is {value:.3}, required: {comparison} {}",
                    bound.limit
                ));
            }
        }
    }
    failures
}

/// Returns the JSON schema of matrix files.
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Matrix).to_value()
}

/// Checks that all zones and scenarios that the file refers to exist.
///
/// # Errors
/// Returns the path of the first invalid reference, with a description.
pub fn validate(name: &str, matrix: &Matrix) -> Result<(), String> {
    for (index, scenario) in matrix.scenarios.iter().enumerate() {
        let zones = scenario.zones.unwrap_or(matrix.shape.zones);
        if scenario.traffic_shares.len() > zones || scenario.server_shares.len() > zones {
            return Err(format!("{name}: /days/{index}: more shares than the scenario's {zones} zones"));
        }
        for (position, fault) in scenario.faults.iter().enumerate() {
            use marllink_fleet::FaultKind;
            if let FaultKind::LoseZone { zone, .. }
            | FaultKind::UnresponsiveZone { zone, .. }
            | FaultKind::PartitionZone { zone, .. } = fault.kind
                && zone >= zones
            {
                return Err(format!(
                    "{name}: /days/{index}/faults/{position}/what: zone {zone} doesn't exist; it must be less than {zones}"
                ));
            }
        }
    }
    for (index, bound) in matrix.bounds.iter().enumerate() {
        if let Some(scenario) = bound
            .scenarios
            .iter()
            .find(|name| !matrix.scenarios.iter().any(|scenario| scenario.name == **name))
        {
            return Err(format!("{name}: /verdict/{index}/days: unknown scenario \"{scenario}\""));
        }
    }
    Ok(())
}
