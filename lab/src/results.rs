//! What came of an experiment: figures, tables, a chart, and the verdict.

use crate::experiment::Experiment;
use hdrhistogram::Histogram;
use marllink_emulator::checker::{Verdict, check};
use marllink_emulator::model::{Entry, Note};
use plotters::prelude::*;
use std::collections::HashMap;
use std::error::Error;
use std::io::Write;
use std::path::Path;

/// What is seen once a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Which second.
    pub second: u32,
    /// Drafters whose connection stands.
    pub working: usize,
    /// Connections to form hosts.
    pub connections: usize,
    /// Sessions that form hosts hold.
    pub held: usize,
}

/// What came of an experiment.
pub struct Results {
    experiment: Experiment,
    entries: Vec<Entry>,
    samples: Vec<Sample>,
    /// What the judge has found.
    pub verdict: Verdict,
    /// Names and values.
    pub figures: Vec<(&'static str, f64)>,
    /// What went wrong with the run itself.
    pub errors: Vec<String>,
}

impl Results {
    /// Judges a run that has ended.
    #[must_use]
    pub fn new(
        experiment: &Experiment,
        entries: Vec<Entry>,
        samples: Vec<Sample>,
        unsettled: usize,
        errors: Vec<String>,
        cut: impl Fn(usize, f64, f64) -> bool,
    ) -> Self {
        let verdict = check(&entries, cut);
        let (back, cut_off) = resume_times(&entries);
        let service = service(experiment, &samples);
        let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64;
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
            ("unsettled", unsettled as f64),
        ];
        figures.extend([
            ("back_p50_ms", at(&back, 0.5)),
            ("back_p99_ms", at(&back, 0.99)),
            ("back_most_ms", back.max() as f64),
            ("cut_off_p50_ms", at(&cut_off, 0.5)),
            ("cut_off_p99_ms", at(&cut_off, 0.99)),
            ("cut_off_most_ms", cut_off.max() as f64),
            ("service_after", service),
        ]);
        Self { experiment: experiment.clone(), entries, samples, verdict, figures, errors }
    }

    /// Everything that speaks against the run, in words; nothing if it is sound.
    #[must_use]
    pub fn against(&self) -> Vec<String> {
        let mut against: Vec<_> = self.errors.clone();
        let broken = [
            ("missing", "lost-field"),
            ("applied_twice", "double-apply"),
            ("out_of_order", "out-of-order"),
            ("held_twice", "held-twice"),
            ("let_in", "forged-token"),
            ("answered_twice", "answered-twice"),
            ("unanswered", "unanswered"),
        ];
        for (name, rule) in broken {
            let count = self.figure(name).unwrap_or(f64::NAN);
            if count != 0.0 {
                against.push(format!("{rule}: {name} is {count}"));
            }
        }
        for bound in &self.experiment.verdict {
            match self.figure(&bound.figure) {
                None => against.push(format!("there is no figure \"{}\"", bound.figure)),
                Some(figure) if !bound.holds(figure) => {
                    against.push(format!(
                        "{} is {figure:.2}, bound {:?} {}",
                        bound.figure, bound.is, bound.bound
                    ));
                }
                Some(_) => {}
            }
        }
        against
    }

    fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|(n, _)| *n == name).map(|(_, value)| *value)
    }

    /// Writes the experiment as run, what was written down, the tables, the chart and the verdict.
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
        for Sample { second, working, connections, held } in &self.samples {
            let row = [*second as usize, *working, *connections, *held].map(|n| n.to_string());
            seconds.write_record(row)?;
        }
        seconds.flush()?;
        let against = self.against();
        let verdict = if against.is_empty() { "kept".into() } else { against.join("\n") };
        std::fs::write(folder.join("verdict.txt"), verdict + "\n" + &self.verdict.findings.join("\n"))?;
        self.chart(&folder.join("working.svg"))
    }

    /// Who works, over time, with the faults.
    fn chart(&self, file: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(file, (960, 400)).into_drawing_area();
        root.fill(&WHITE)?;
        let most = self.experiment.load.drafters.max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .margin(16)
            .caption(format!("{}: drafters at work", self.experiment.name), ("sans-serif", 16))
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..f64::from(self.experiment.seconds), 0.0..most * 1.05)?;
        chart.configure_mesh().x_desc("seconds").y_desc("drafters").draw()?;
        for fault in &self.experiment.faults {
            let line = [(fault.at_s, 0.0), (fault.at_s, most)];
            chart.draw_series(LineSeries::new(line, RED.mix(0.35)))?;
        }
        let line = self.samples.iter().map(|s| (f64::from(s.second), s.working as f64));
        chart.draw_series(LineSeries::new(line, BLUE.stroke_width(2)))?;
        root.present()?;
        Ok(())
    }
}

/// How long it took until a drafter that was cut off had its session again: from when it was back, and
/// from when it was cut off. In milliseconds.
fn resume_times(entries: &[Entry]) -> (Histogram<u64>, Histogram<u64>) {
    let histogram = || Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("the bounds are sound");
    let (mut back, mut cut_off) = (histogram(), histogram());
    let mut since: HashMap<&str, (f64, Option<f64>)> = HashMap::new();
    for entry in entries {
        let by = entry.by.as_str();
        match &entry.note {
            Note::ConnectionEnded { .. } => _ = since.insert(by, (entry.at, None)),
            Note::OpenSent { .. } => {
                if let Some((_, asked)) = since.get_mut(by) {
                    asked.get_or_insert(entry.at);
                }
            }
            Note::Answered { word, .. } if word == "UP" => {
                if let Some((ended, Some(asked))) = since.remove(by) {
                    // What is longer than the bounds counts as the bound.
                    back.saturating_record((entry.at - asked).ceil() as u64);
                    cut_off.saturating_record((entry.at - ended).ceil() as u64);
                }
            }
            _ => {}
        }
    }
    (back, cut_off)
}

/// Drafters at work in the last fifth of the run, over those before the first fault.
fn service(experiment: &Experiment, samples: &[Sample]) -> f64 {
    let first = experiment.faults.iter().map(|f| f.at_s).fold(f64::from(experiment.seconds), f64::min);
    let mean = |wanted: &dyn Fn(&Sample) -> bool| {
        let all: Vec<_> = samples.iter().filter(|s| wanted(s)).map(|s| s.working as f64).collect();
        all.iter().sum::<f64>() / all.len().max(1) as f64
    };
    let before = mean(&|s| f64::from(s.second) <= first && f64::from(s.second) > first - 3.0);
    let after = mean(&|s| f64::from(s.second) > f64::from(experiment.seconds) * 0.8);
    after / before.max(1.0)
}
