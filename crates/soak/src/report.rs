//! Reports on runs: a text summary, and an HTML page with a plot for each run.

use crate::{
    history::{CallAnswer, HistoryEvent, TimedEntry},
    run::RunOutcome,
};
use hdrhistogram::Histogram;
use plotters::prelude::{
    BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, RED, Rectangle, SVGBackend, WHITE,
};
use std::{collections::BTreeMap, fmt::Write, time::Duration};

/// Time that one point of the plot covers.
const PLOT_STEP: Duration = Duration::from_millis(500);
/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 300);
/// Highest latency that the histogram distinguishes, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;

/// Counts and latencies of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunFigures {
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests with a complete 2xx answer.
    pub answered: usize,
    /// Requests refused as not executed, by status.
    pub refused: usize,
    /// Requests with any other outcome.
    pub failed: usize,
    /// Prompts with parts that an engine fetched from another engine.
    pub cache_fetches: usize,
    /// Median and 99th percentile of the time to a complete 2xx answer, in milliseconds.
    pub latency_ms: (u64, u64),
}

/// Computes the figures of a history.
#[must_use]
pub fn figures(history: &[TimedEntry]) -> RunFigures {
    let mut figures = RunFigures::default();
    let mut sent = BTreeMap::new();
    let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MS, 3).expect("valid bounds");
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::Sent { id, .. } => {
                figures.sent += 1;
                sent.insert(id, *at);
            }
            HistoryEvent::Answered { id, answer } => match answer {
                CallAnswer::Complete(200..=299, _) => {
                    figures.answered += 1;
                    let latency = sent.get(id).map_or(Duration::ZERO, |from| *at - *from);
                    latencies.saturating_record(u64::try_from(latency.as_millis()).unwrap_or(0));
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

/// Formats a run as one line, followed by one line for each violation.
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
        "seed {}: {sent} sent, {answered} answered, {refused} refused as not executed, {failed} failed; \
         {cache_fetches} prompts with fetched parts; {median} ms median, {high} ms p99; faults {kinds:?}; {} violations",
        outcome.seed,
        outcome.violations.len()
    );
    for violation in &outcome.violations {
        // Writing to a string never fails.
        let _ = write!(text, "\n  {violation}");
    }
    text
}

/// Renders an HTML page with the text and the plot of each run.
///
/// # Errors
/// Returns the plotting library's message if a plot can't be drawn.
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

/// Draws successful answers per second in blue, and faults as red bars.
fn plot(outcome: &RunOutcome) -> Result<String, Box<dyn std::error::Error>> {
    let mut served: BTreeMap<u64, f64> = BTreeMap::new();
    let mut end = 1.0_f64;
    for TimedEntry { at, event } in &outcome.history {
        end = end.max(at.as_secs_f64());
        let step = u64::try_from(at.as_millis() / PLOT_STEP.as_millis()).unwrap_or(0);
        let count = served.entry(step).or_default();
        if let HistoryEvent::Answered {
            answer: CallAnswer::Complete(200..=299, _),
            ..
        } = event
        {
            *count += 1.0 / PLOT_STEP.as_secs_f64();
        }
    }
    let top = served.values().copied().fold(1.0, f64::max);
    let first = first_call_time(&outcome.history).as_secs_f64();
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
            .map(|(step, rate)| (*step as f64 * PLOT_STEP.as_secs_f64(), *rate));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        area.present()?;
    }
    Ok(svg)
}

fn first_call_time(history: &[TimedEntry]) -> Duration {
    history
        .iter()
        .find(|entry| matches!(entry.event, HistoryEvent::Sent { .. }))
        .map_or(Duration::ZERO, |entry| entry.at)
}
