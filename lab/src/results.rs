//! Results of an experiment: figures, tables, a chart and the verdict.

use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use marllink_emulator::checker::{Verdict, check};
use marllink_emulator::model::{Entry, Note};
use plotters::prelude::*;
use std::collections::HashMap;
use std::error::Error;
use std::io::Write;
use std::path::Path;

/// A sample of the running experiment, taken once a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Second of the run, counted from 1.
    pub second: u32,
    /// Number of clients with an established connection.
    pub connected_clients: usize,
    /// Number of connections to servers.
    pub connections: usize,
    /// Number of sessions that servers hold.
    pub held_sessions: usize,
}

/// Results of an experiment.
pub struct Results {
    experiment: Experiment,
    entries: Vec<Entry>,
    samples: Vec<Sample>,
    /// Result of the checker.
    pub verdict: Verdict,
    /// Names and values of the figures.
    pub figures: Vec<(&'static str, f64)>,
    /// Failures of the run itself, such as a balancer that didn't start.
    pub errors: Vec<String>,
}

impl Results {
    /// Evaluates a run that has ended. `was_interrupted` returns true if a balancer was killed or suspended in an
    /// interval.
    #[must_use]
    pub fn new(
        experiment: &Experiment,
        entries: Vec<Entry>,
        samples: Vec<Sample>,
        unsettled_clients: usize,
        errors: Vec<String>,
        was_interrupted: impl Fn(usize, f64, f64) -> bool,
    ) -> Self {
        let verdict = check(&entries, was_interrupted);
        let (from_reconnect, from_disconnect) = resume_times(&entries);
        let service_ratio = service_ratio(experiment, &samples);
        let quantile = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64;
        let mut figures = vec![
            ("sessions", verdict.sessions as f64),
            ("resumed", verdict.resumed as f64),
            ("saved", verdict.confirmed_saves as f64),
            ("missing", verdict.missing_saves as f64),
            ("applied_twice", verdict.applied_twice as f64),
            ("out_of_order", verdict.out_of_order as f64),
            ("held_twice", verdict.held_twice as f64),
            ("let_in", verdict.unauthorized_opens as f64),
            ("answered_twice", verdict.answered_twice as f64),
            ("unanswered", verdict.unanswered as f64),
            ("given_up", verdict.abandoned_sessions as f64),
            ("unsettled", unsettled_clients as f64),
        ];
        figures.extend([
            ("back_p50_ms", quantile(&from_reconnect, 0.5)),
            ("back_p99_ms", quantile(&from_reconnect, 0.99)),
            ("back_most_ms", from_reconnect.max() as f64),
            ("cut_off_p50_ms", quantile(&from_disconnect, 0.5)),
            ("cut_off_p99_ms", quantile(&from_disconnect, 0.99)),
            ("cut_off_most_ms", from_disconnect.max() as f64),
            ("service_after", service_ratio),
        ]);
        Self { experiment: experiment.clone(), entries, samples, verdict, figures, errors }
    }

    /// Returns a message for each reason why the run fails; none if it passes.
    #[must_use]
    pub fn failures(&self) -> Vec<String> {
        let mut failures: Vec<_> = self.errors.clone();
        let rules = [
            ("missing", "lost-field"),
            ("applied_twice", "double-apply"),
            ("out_of_order", "out-of-order"),
            ("held_twice", "held-twice"),
            ("let_in", "forged-token"),
            ("answered_twice", "answered-twice"),
            ("unanswered", "unanswered"),
        ];
        for (name, rule) in rules {
            let count = self.figure(name).unwrap_or(f64::NAN);
            if count != 0.0 {
                failures.push(format!("{rule}: {name} is {count}"));
            }
        }
        for bound in &self.experiment.bounds {
            match self.figure(&bound.figure) {
                None => failures.push(format!("unknown figure \"{}\" in a bound", bound.figure)),
                Some(figure) if !bound.holds(figure) => {
                    failures.push(format!(
                        "{} is {figure:.2}, required: {:?} {}",
                        bound.figure, bound.comparison, bound.limit
                    ));
                }
                Some(_) => {}
            }
        }
        failures
    }

    fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// Writes the experiment, the recorded events, the tables, the chart and the verdict.
    ///
    /// # Errors
    /// Fails if a file can't be written.
    pub fn write(&self, folder: &Path) -> Result<(), Box<dyn Error>> {
        let text = serde_json::to_string_pretty(&self.experiment)?;
        std::fs::write(folder.join("experiment.json"), text)?;
        let mut events = std::io::BufWriter::new(std::fs::File::create(folder.join("events.jsonl"))?);
        for entry in &self.entries {
            serde_json::to_writer(&mut events, entry)?;
            events.write_all(b"\n")?;
        }
        events.flush()?;
        let mut figures = csv::Writer::from_path(folder.join("figures.csv"))?;
        figures.write_record(["figure", "value"])?;
        for (name, value) in &self.figures {
            figures.write_record([*name, &value.to_string()])?;
        }
        figures.flush()?;
        let mut seconds = csv::Writer::from_path(folder.join("seconds.csv"))?;
        seconds.write_record(["second", "working", "connections", "held"])?;
        for Sample { second, connected_clients, connections, held_sessions } in &self.samples {
            let row =
                [*second as usize, *connected_clients, *connections, *held_sessions].map(|n| n.to_string());
            seconds.write_record(row)?;
        }
        seconds.flush()?;
        let failures = self.failures();
        let verdict = if failures.is_empty() { "kept".into() } else { failures.join("\n") };
        std::fs::write(folder.join("verdict.txt"), verdict + "\n" + &self.verdict.findings.join("\n"))?;
        self.chart(&folder.join("working.svg"))
    }

    /// Draws the number of connected clients over time, with the faults.
    fn chart(&self, file: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(file, (960, 400)).into_drawing_area();
        root.fill(&WHITE)?;
        let client_count = self.experiment.load.clients.max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(16)
            .caption(format!("{}: connected clients", self.experiment.name), ("sans-serif", 16))
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..f64::from(self.experiment.duration_s), 0.0..client_count * 1.05)?;
        chart.configure_mesh().x_desc("seconds").y_desc("clients").draw()?;
        for fault in &self.experiment.faults {
            let line = [(fault.at_s, 0.0), (fault.at_s, client_count)];
            chart.draw_series(LineSeries::new(line, RED.mix(0.35)))?;
        }
        let line =
            self.samples.iter().map(|sample| (f64::from(sample.second), sample.connected_clients as f64));
        chart.draw_series(LineSeries::new(line, BLUE.stroke_width(2)))?;
        root.present()?;
        Ok(())
    }
}

/// Returns how long disconnected clients took to resume their sessions, in milliseconds: from the reconnect, and
/// from the end of the old connection.
fn resume_times(entries: &[Entry]) -> (Histogram<u64>, Histogram<u64>) {
    let histogram = || Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("the bounds are valid");
    let (mut from_reconnect, mut from_disconnect) = (histogram(), histogram());
    let mut disconnects: HashMap<&str, (f64, Option<f64>)> = HashMap::new();
    for entry in entries {
        let client = entry.by.as_str();
        match &entry.note {
            Note::ConnectionEnded { .. } => _ = disconnects.insert(client, (entry.at, None)),
            Note::OpenSent { .. } => {
                if let Some((_, reconnected_at)) = disconnects.get_mut(client) {
                    reconnected_at.get_or_insert(entry.at);
                }
            }
            Note::Answered { word, .. } if word == "UP" => {
                if let Some((ended_at, Some(reconnected_at))) = disconnects.remove(client) {
                    // Values above the histogram's bounds count as the upper bound.
                    from_reconnect.saturating_record((entry.at - reconnected_at).ceil() as u64);
                    from_disconnect.saturating_record((entry.at - ended_at).ceil() as u64);
                }
            }
            _ => {}
        }
    }
    (from_reconnect, from_disconnect)
}

/// Returns the mean number of connected clients in the last fifth of the run, as a ratio to the mean of the 3 s
/// before the first fault.
fn service_ratio(experiment: &Experiment, samples: &[Sample]) -> f64 {
    let first_fault_s =
        experiment.faults.iter().map(|fault| fault.at_s).fold(f64::from(experiment.duration_s), f64::min);
    let mean = |selects: &dyn Fn(&Sample) -> bool| {
        let values: Vec<_> = samples
            .iter()
            .filter(|sample| selects(sample))
            .map(|sample| sample.connected_clients as f64)
            .collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    let before = mean(&|sample| {
        f64::from(sample.second) <= first_fault_s && f64::from(sample.second) > first_fault_s - 3.0
    });
    let after = mean(&|sample| f64::from(sample.second) > f64::from(experiment.duration_s) * 0.8);
    after / before.max(1.0)
}
