//! Asks a daemon in direct mode where a request would go now, and prints the answer.

use hoplanding_core::direct::call_explanation::{CallExplanation, TargetOutlook};
use reqwest::Client;
use std::time::Duration;

/// An explanation takes a few milliseconds; a daemon without processor time may need longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Targets of a zone that are printed by name.
const MAX_PRINTED_TARGETS: usize = 8;

/// Failure to get an explanation.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ExplainError {
    /// The words after `explain call` are no request.
    #[error(
        "explain call takes HOST PATH [MODEL [TOKENS]], as in: explain call api.example /plan/1 base/a1 400"
    )]
    Usage,
    /// The daemon could not be reached, or its answer could not be read.
    #[error(
        "{url}/explain can't be read ({cause}): name the metrics address of a daemon in direct mode with --url"
    )]
    Unreachable {
        /// URL of the daemon.
        url: String,
        /// Error of the HTTP client.
        cause: String,
    },
    /// The daemon has no explanation.
    #[error("{0}")]
    Refused(String),
}

/// Fetches the explanations of a request, one for each service of its route. `words` are host, path, and optionally
/// model and tokens.
///
/// # Errors
/// Returns whether the words are wrong, or why the daemon has no explanation.
pub async fn fetch_explanations(
    url: &str,
    words: &[String],
) -> Result<Vec<CallExplanation>, ExplainError> {
    let fields = ["host", "path", "model", "tokens"];
    if !(2..=fields.len()).contains(&words.len()) {
        return Err(ExplainError::Usage);
    }
    let url = url.trim_end_matches('/');
    let unreachable = |error: reqwest::Error| ExplainError::Unreachable {
        url: url.to_owned(),
        cause: error.to_string(),
    };
    let mut page = reqwest::Url::parse(&format!("{url}/explain")).map_err(|error| {
        ExplainError::Unreachable {
            url: url.to_owned(),
            cause: error.to_string(),
        }
    })?;
    page.query_pairs_mut()
        .extend_pairs(fields.iter().zip(words));
    let request = Client::new().get(page).timeout(ANSWER_TIMEOUT);
    let response = request.send().await.map_err(unreachable)?;
    if response.status().is_success() {
        return response.json().await.map_err(unreachable);
    }
    let status = response.status();
    let text = response.text().await.map_err(unreachable)?;
    Err(ExplainError::Refused(if text.is_empty() {
        format!("{url} answers {status}: name the metrics address of a daemon in direct mode")
    } else {
        text
    }))
}

/// Formats an explanation as text: the questions in their order, then the targets.
#[must_use]
pub fn format_explanation(explanation: &CallExplanation) -> String {
    let mut lines = vec![format!(
        "route {}, service {}, rank {}",
        explanation.route, explanation.service, explanation.rank
    )];
    if let Some(refusal) = &explanation.refusal {
        lines.push(format!("refused: {refusal}"));
    }
    lines.extend(explanation.note.iter().map(|note| format!("note: {note}")));
    for (number, step) in (1..).zip(&explanation.steps) {
        let holder = step.holder.as_ref();
        let holder = holder.map_or("no holder".to_owned(), |vm| format!("holder {vm}"));
        lines.push(format!(
            "{number}. {} ({holder}): {}; {}",
            step.zone, step.terms, step.reason
        ));
    }
    for zone in &explanation.zones {
        let shown = zone.targets.iter().take(MAX_PRINTED_TARGETS);
        let mut targets: Vec<_> = shown.map(format_target).collect();
        if zone.targets.len() > MAX_PRINTED_TARGETS {
            let rest = zone.targets.len() - MAX_PRINTED_TARGETS;
            targets.push(format!("and {rest} more"));
        }
        if targets.is_empty() {
            targets.push("none".to_owned());
        }
        lines.push(format!("targets in {}: {}", zone.zone, targets.join(", ")));
    }
    lines.join("\n")
}

fn format_target(target: &TargetOutlook) -> String {
    let mut notes = vec![format!("{} calls of this VM", target.in_flight)];
    if target.has_subject {
        notes.insert(0, "has the adapter".to_owned());
    }
    if let Some(obstacle) = &target.obstacle {
        notes.push(obstacle.to_string());
    }
    format!("{} ({})", target.name, notes.join(", "))
}
