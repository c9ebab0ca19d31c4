//! The outcome of runs, as text and as a page with a plot.

use crate::{
    history::{CallAnswer, HistoryEvent, TimedEntry},
    run::RunOutcome,
};
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, RED, Rectangle, SVGBackend, WHITE,
};
use std::{collections::BTreeMap, fmt::Write, time::Duration};

/// Width of one point of the plot.
const STEP: Duration = Duration::from_millis(500);
/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 300);
/// Longest latency that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// Counts of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunFigures {
    /// Requests sent.
    pub sent: usize,
    /// Answered with a success.
    pub answered: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Everything else.
    pub failed: usize,
    /// Prompts of which an engine took parts from another one.
    pub cache_fetches: usize,
    /// Median and 99th percentile of the time to a whole answer, in milliseconds.
    pub latency_ms: (u64, u64),
}

/// Counts what callers got.
#[must_use]
pub fn figures(history: &[TimedEntry]) -> RunFigures {
    let mut figures = RunFigures::default();
    let mut sent = BTreeMap::new();
    let mut latencies = Histogram::<u64>::new_with_max(LONGEST_MS, 3).expect("valid bounds");
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::Sent { id, .. } => {
                figures.sent += 1;
                sent.insert(id, *at);
            }
            HistoryEvent::Answered { id, answer } => match answer {
                CallAnswer::Complete(200..=299, _) => {
                    figures.answered += 1;
                    let held = sent.get(id).map_or(Duration::ZERO, |from| *at - *from);
                    latencies.saturating_record(u64::try_from(held.as_millis()).unwrap_or(0));
                }
                CallAnswer::Complete(408 | 421 | 429 | 503, _) => figures.refused += 1,
                _ => figures.failed += 1,
            },
            HistoryEvent::CacheFetched { .. } => figures.cache_fetches += 1,
            _ => {}
        }
    }
    figures.latency_ms = (
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
    figures
}

/// A run in a few lines.
#[must_use]
pub fn text(outcome: &RunOutcome) -> String {
    let RunFigures {
        sent,
        answered,
        refused,
        failed,
        cache_fetches,
        latency_ms: (median, high),
    } = figures(&outcome.history);
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for fault in &outcome.faults {
        *kinds.entry(fault.kind.to_string()).or_default() += 1;
    }
    let mut text = format!(
        "seed {}: {sent} sent, {answered} answered, {refused} refused as not run, {failed} failed; \
         {cache_fetches} prompts moved; {median} ms median, {high} ms p99; faults {kinds:?}; {} broken promises",
        outcome.seed,
        outcome.violations.len()
    );
    for violation in &outcome.violations {
        // Writing to a string does not fail.
        let _ = write!(text, "\n  {violation}");
    }
    text
}

/// Runs on one page: a line each, and a plot of what was served beside the faults.
///
/// # Errors
/// The library's words when a plot can't be drawn.
pub fn page(outcomes: &[RunOutcome]) -> Result<String, String> {
    let mut page =
        String::from("<!doctype html><meta charset=utf-8><title>hoplanding soak</title>");
    for outcome in outcomes {
        let text = text(outcome).replace('&', "&amp;").replace('<', "&lt;");
        let plot = plot(outcome).map_err(|error| error.to_string())?;
        let _ = write!(page, "<pre>{text}</pre>{plot}");
    }
    Ok(page)
}

/// Answers a second in blue, and the faults as bars in red.
fn plot(outcome: &RunOutcome) -> Result<String, Box<dyn std::error::Error>> {
    let mut served: BTreeMap<u64, f64> = BTreeMap::new();
    let mut end = 1.0_f64;
    for TimedEntry { at, event } in &outcome.history {
        end = end.max(at.as_secs_f64());
        let step = u64::try_from(at.as_millis() / STEP.as_millis()).unwrap_or(0);
        let count = served.entry(step).or_default();
        if let HistoryEvent::Answered {
            answer: CallAnswer::Complete(200..=299, _),
            ..
        } = event
        {
            *count += 1.0 / STEP.as_secs_f64();
        }
    }
    let top = served.values().copied().fold(1.0, f64::max);
    let first = first_call(&outcome.history).as_secs_f64();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .build_cartesian_2d(0.0..end, 0.0..top)?;
        chart.draw_series(outcome.faults.iter().map(|fault| {
            let from = first + fault.at().as_secs_f64();
            let to = from + fault.duration().as_secs_f64();
            Rectangle::new([(from, 0.0), (to, top)], RED.mix(0.12).filled())
        }))?;
        let points = served
            .iter()
            .map(|(step, rate)| (*step as f64 * STEP.as_secs_f64(), *rate));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        area.present()?;
    }
    Ok(svg)
}

fn first_call(history: &[TimedEntry]) -> Duration {
    history
        .iter()
        .find(|entry| matches!(entry.event, HistoryEvent::Sent { .. }))
        .map_or(Duration::ZERO, |entry| entry.at)
}
