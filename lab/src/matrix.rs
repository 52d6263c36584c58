//! `marllink-lab model`: days x strategies x seeds of the fleet in virtual time, over all cores.

use marllink_fleet::{ConfidenceInterval, Matrix, Metric, RunResults, Scenario, Strategy, simulate};
use plotters::prelude::*;
use std::error::Error;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

/// RunResults shown for each day and strategy, with their heads.
const SHOWN: [(Metric, &str); 20] = [
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

/// One run of the matrix.
struct Cell<'a> {
    day: &'a Scenario,
    strategy: &'a Strategy,
    runs: Vec<RunResults>,
}

impl Cell<'_> {
    fn interval(&self, figure: Metric) -> ConfidenceInterval {
        let of = |run: &RunResults| run.values.get(&figure).copied().unwrap_or_default();
        ConfidenceInterval::of(&self.runs.iter().map(of).collect::<Vec<_>>())
    }
}

/// Runs a matrix and prints its table; what speaks against the first strategy, in words.
///
/// # Errors
/// Fails if the results can't be written.
pub fn run(matrix: &Matrix, folder: &Path, quiet: bool) -> Result<Vec<String>, Box<dyn Error>> {
    let cells = play_all(matrix);
    let table = table(&cells);
    if !quiet {
        print!("{table}");
    }
    std::fs::write(folder.join("matrix.json"), serde_json::to_string_pretty(matrix)?)?;
    std::fs::write(folder.join("table.txt"), table)?;
    write_figures(&folder.join("figures.csv"), &cells)?;
    draw(&folder.join("seconds.svg"), matrix, &cells)?;
    Ok(against(matrix, &cells))
}

/// Plays all of it. Which core plays what is left to chance; what comes of each run is not.
fn play_all(matrix: &Matrix) -> Vec<Cell<'_>> {
    let each = |day| matrix.strategies.iter().map(move |strategy| (day, strategy));
    let kinds: Vec<(&Scenario, &Strategy)> = matrix.scenarios.iter().flat_map(each).collect();
    let seeds = matrix.seeds as usize;
    let next = AtomicUsize::new(0);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut done: Vec<(usize, RunResults)> = std::thread::scope(|scope| {
        let work = || {
            let mut done = Vec::new();
            loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some((day, strategy)) = kinds.get(at / seeds) else { return done };
                done.push((at, simulate(&matrix.shape, day, strategy, (at % seeds) as u64 + 1)));
            }
        };
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|w| w.join().expect("a run has panicked")).collect()
    });
    done.sort_by_key(|(at, _)| *at);
    let mut done = done.into_iter().map(|(_, figures)| figures);
    let cell = |(day, strategy)| Cell { day, strategy, runs: done.by_ref().take(seeds).collect() };
    kinds.into_iter().map(cell).collect()
}

fn table(cells: &[Cell<'_>]) -> String {
    let mut text = format!("{:<16}{:<16}", "day", "strategy");
    for (_, head) in SHOWN {
        let _ = write!(text, "{head:>14}");
    }
    text.push('\n');
    for cell in cells {
        let _ = write!(text, "{:<16}{:<16}", cell.day.name, cell.strategy.name());
        for (figure, _) in SHOWN {
            let ConfidenceInterval { mean, half_width, .. } = cell.interval(figure);
            let digits = if mean >= 100.0 { 0 } else { 3 };
            let shown = format!("{mean:.digits$}+-{half_width:.digits$}");
            let _ = write!(text, "{shown:>14}");
        }
        text.push('\n');
    }
    text
}

fn write_figures(path: &Path, cells: &[Cell<'_>]) -> Result<(), Box<dyn Error>> {
    let mut out = csv::Writer::from_path(path)?;
    out.write_record(["day", "strategy", "seed", "figure", "value"])?;
    for cell in cells {
        for (seed, run) in cell.runs.iter().enumerate() {
            for (figure, value) in &run.values {
                let figure = serde_json::to_value(figure)?;
                let figure = figure.as_str().unwrap_or_default().to_owned();
                let seed = (seed + 1).to_string();
                let record =
                    [cell.day.name.clone(), cell.strategy.name(), seed, figure, format!("{value:.6}")];
                out.write_record(record)?;
            }
        }
    }
    out.flush()?;
    Ok(())
}

/// Worth served second by second on the first seed of each day, a panel a day.
fn draw(path: &Path, matrix: &Matrix, cells: &[Cell<'_>]) -> Result<(), Box<dyn Error>> {
    let rows = matrix.scenarios.len();
    let root = SVGBackend::new(path, (900, 170 * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, day) in root.split_evenly((rows, 1)).iter().zip(&matrix.scenarios) {
        let mut chart = ChartBuilder::on(panel)
            .margin(8)
            .x_label_area_size(20)
            .y_label_area_size(36)
            .build_cartesian_2d(0.0..matrix.shape.duration_s, 0.0..1.05)?;
        chart.configure_mesh().y_labels(3).draw()?;
        for (nth, cell) in cells.iter().filter(|c| c.day.name == day.name).enumerate() {
            let Some(run) = cell.runs.first() else { continue };
            let points = run.served_ratio_by_second.iter().enumerate().map(|(s, v)| (s as f64, *v));
            chart.draw_series(LineSeries::new(points, &Palette99::pick(nth)))?;
        }
    }
    root.present()?;
    Ok(())
}

/// What speaks against the first strategy: rules broken, and bounds that do not hold on the mean.
fn against(matrix: &Matrix, cells: &[Cell<'_>]) -> Vec<String> {
    let first = matrix.strategies.first().map(Strategy::name);
    let mut all = Vec::new();
    for cell in cells.iter().filter(|c| Some(c.strategy.name()) == first) {
        for (seed, run) in cell.runs.iter().enumerate() {
            if let Some(broken) = run.violations.first() {
                let count = run.values.get(&Metric::Violations).copied().unwrap_or_default();
                all.push(format!(
                    "{} seed {}: {count} rules broken, first {broken}",
                    cell.day.name,
                    seed + 1
                ));
            }
        }
        for bound in matrix.bounds.iter().filter(|b| b.applies_to(&cell.day.name)) {
            let value = cell.interval(bound.metric).mean;
            if !bound.holds(value) {
                let (figure, is) =
                    (serde_json::to_value(bound.metric), serde_json::to_value(bound.comparison));
                let word = |v: Result<serde_json::Value, _>| {
                    v.ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
                };
                let (figure, is, day) = (word(figure), word(is), &cell.day.name);
                all.push(format!("{day}: {figure} is {value:.3}, wanted {is} {}", bound.limit));
            }
        }
    }
    all
}

/// The schema of matrix files.
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Matrix).to_value()
}

/// Checks that what the days name is there.
///
/// # Errors
/// Names the first that is not.
pub fn sound(name: &str, matrix: &Matrix) -> Result<(), String> {
    for (at, day) in matrix.scenarios.iter().enumerate() {
        let zones = day.zones.unwrap_or(matrix.shape.zones);
        if day.traffic_shares.len() > zones || day.server_shares.len() > zones {
            return Err(format!("{name}: /days/{at}: shares for more than the {zones} zones of that day"));
        }
        for (nth, fault) in day.faults.iter().enumerate() {
            use marllink_fleet::FaultKind;
            if let FaultKind::LoseZone { zone, .. }
            | FaultKind::UnresponsiveZone { zone, .. }
            | FaultKind::PartitionZone { zone, .. } = fault.kind
                && zone >= zones
            {
                return Err(format!(
                    "{name}: /days/{at}/faults/{nth}/what: there is no zone {zone}; wanted: one under {zones}"
                ));
            }
        }
    }
    for (at, bound) in matrix.bounds.iter().enumerate() {
        if let Some(day) =
            bound.scenarios.iter().find(|d| !matrix.scenarios.iter().any(|day| day.name == **d))
        {
            return Err(format!("{name}: /verdict/{at}/days: there is no day \"{day}\""));
        }
    }
    Ok(())
}
