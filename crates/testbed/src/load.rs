//! Load generator: a seeded mix of completions of three classes and service calls, with a report of the outcomes.

use crate::{
    caller::{CallResult, CallerClient, CompletionCall},
    site::{BATCH_TOKEN, NORMAL_TOKEN, TestSite, URGENT_TOKEN, adapter_name},
};
use hoplanding_standins::engine::expected_completion;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Zipf};
use std::{
    fmt,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time::sleep};

/// Priority classes and their caller tokens, in the order of the report.
const CLASSES: [(&str, &str); 3] = [
    ("urgent", URGENT_TOKEN),
    ("normal", NORMAL_TOKEN),
    ("batch", BATCH_TOKEN),
];
/// Attempts per request; only a request refused as `not_run` is sent again.
const MAX_ATTEMPTS: usize = 20;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Number of requests.
    pub requests: usize,
    /// Requests in flight at once.
    pub concurrency: usize,
    /// Zipf exponent of the adapters' popularity; must be positive.
    pub skew: f64,
    /// Random seed of the mix.
    pub seed: u64,
    /// Whether to print progress to standard output.
    pub progress: bool,
}

/// Outcomes of a load run.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: usize,
    /// Complete and correct answers.
    pub answered: usize,
    /// Answers from another adapter or version, or with unexpected text.
    pub wrong: usize,
    /// Requests with neither a complete answer nor an error.
    pub lost: usize,
    /// Requests that were refused as not run on every attempt.
    pub not_run: usize,
    /// Code and message of requests that failed or whose outcome is unknown.
    pub failed: Vec<String>,
    /// Number of service calls that ran more than once.
    pub repeated: usize,
    /// Contract violations that the stand-ins recorded.
    pub violations: Vec<String>,
    /// Times to first token of each class, in microseconds, ascending.
    pub first_token_us: [Vec<u64>; 3],
    /// Load stalls of all answers, in milliseconds, ascending.
    pub load_stalls_ms: Vec<u64>,
    /// Share of the engines' batch slots that were in use, over all steps of the run; 0 to 1.
    pub batch_efficiency: f64,
}

impl LoadReport {
    /// Whether no request was wrong, lost, repeated or failed, and no contract was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.wrong == 0
            && self.lost == 0
            && self.repeated == 0
            && self.failed.is_empty()
            && self.violations.is_empty()
    }
}

/// Returns the value at `share` (0 to 1) of a list in ascending order; 0 if the list is empty.
#[must_use]
pub fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(0)
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests            {:>9}", self.requests)?;
        writeln!(f, "answered            {:>9}", self.answered)?;
        writeln!(f, "not run             {:>9}", self.not_run)?;
        writeln!(f, "failed or unknown   {:>9}", self.failed.len())?;
        writeln!(f, "wrong adapter       {:>9}", self.wrong)?;
        writeln!(f, "lost                {:>9}", self.lost)?;
        writeln!(f, "repeated            {:>9}", self.repeated)?;
        writeln!(f, "violations          {:>9}", self.violations.len())?;
        for ((class, _), times) in CLASSES.iter().zip(&self.first_token_us) {
            let p50 = percentile(times, 0.5) as f64 / 1000.0;
            let p99 = percentile(times, 0.99) as f64 / 1000.0;
            writeln!(
                f,
                "first token {class:<8} p50 {p50:>8.1} ms  p99 {p99:>8.1} ms  ({} answers)",
                times.len()
            )?;
        }
        let stalled = self
            .load_stalls_ms
            .iter()
            .filter(|stall| **stall > 0)
            .count();
        let mean = self.load_stalls_ms.iter().sum::<u64>() as f64
            / self.load_stalls_ms.len().max(1) as f64;
        let p99 = percentile(&self.load_stalls_ms, 0.99);
        writeln!(
            f,
            "load stalls         {stalled:>9}  mean {mean:.1} ms  p99 {p99} ms"
        )?;
        write!(f, "batch efficiency    {:>9.3}", self.batch_efficiency)
    }
}

#[derive(Clone, Debug)]
enum PlannedCall {
    Completion(usize, CompletionCall),
    Scan(String),
}

fn plan_calls(config: &LoadConfig, adapters: usize) -> Vec<PlannedCall> {
    let mut random = StdRng::seed_from_u64(config.seed);
    let zipf = Zipf::new(adapters as f64, config.skew).expect("the skew is a positive number");
    let calls = (0..config.requests).map(|number| {
        let pick: f64 = random.random();
        let adapter = zipf.sample(&mut random) as usize - 1;
        // 10% service calls, 20% urgent, 50% normal and 20% batch completions.
        let (class, tokens) = match pick {
            pick if pick < 0.1 => {
                return PlannedCall::Scan(format!("scan {} {number}", config.seed));
            }
            pick if pick < 0.3 => (0, random.random_range(8..24)),
            pick if pick < 0.8 => (1, random.random_range(8..32)),
            _ => (2, random.random_range(64..160)),
        };
        PlannedCall::Completion(
            class,
            CompletionCall {
                model: adapter_name(adapter),
                prompt: format!("reel {number} history since {}", number % 17),
                tokens,
                stream: number % 2 == 0,
            },
        )
    });
    calls.collect()
}

/// Sends a mix of requests to all daemons of a site, in turn, and reports the outcomes.
pub async fn run_load(site: &TestSite, config: &LoadConfig) -> LoadReport {
    let calls = Arc::new(plan_calls(config, site.config.adapters.max(1)));
    let bases: Arc<Vec<String>> = Arc::new(site.daemons.keys().map(|vm| site.url(vm)).collect());
    let next = Arc::new(AtomicUsize::new(0));
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let before = step_totals(site);
    let client = CallerClient::new(&bases[0], "");
    let mut workers = JoinSet::new();
    for _ in 0..config.concurrency {
        let (calls, bases, next, report) = (
            Arc::clone(&calls),
            Arc::clone(&bases),
            Arc::clone(&next),
            Arc::clone(&report),
        );
        let (client, progress) = (client.clone(), config.progress);
        workers.spawn(async move {
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(call) = calls.get(number) else {
                    return;
                };
                send_until_run(&client, &bases, number, call, &report).await;
                if progress && (number + 1) % (calls.len() / 10).max(1) == 0 {
                    println!("  {:>6} of {} requests", number + 1, calls.len());
                }
            }
        });
    }
    while workers.join_next().await.is_some() {}
    let mut report = std::mem::take(
        &mut *report
            .lock()
            .expect("no thread panics while it holds the lock"),
    );
    let after = step_totals(site);
    let seats = (after.0 - before.0) * site.config.model.batch as u64;
    report.batch_efficiency = (after.1 - before.1) as f64 / seats.max(1) as f64;
    report.violations = site.violations();
    report.repeated = site.repeated_calls().len();
    report
        .first_token_us
        .iter_mut()
        .for_each(|times| times.sort_unstable());
    report.load_stalls_ms.sort_unstable();
    report
}

fn step_totals(site: &TestSite) -> (u64, u64) {
    let stats = site
        .engines
        .values()
        .map(hoplanding_standins::engine::EngineStandin::stats);
    stats.fold((0, 0), |sum, engine| {
        (sum.0 + engine.steps, sum.1 + engine.step_sequences)
    })
}

async fn send_until_run(
    client: &CallerClient,
    bases: &[String],
    number: usize,
    call: &PlannedCall,
    report: &Mutex<LoadReport>,
) {
    let base = &bases[number % bases.len()];
    let mut result = CallResult::default();
    for attempt in 0..MAX_ATTEMPTS {
        result = match call {
            PlannedCall::Completion(class, call) => {
                client
                    .with_endpoint(base, CLASSES[*class].1)
                    .complete(call)
                    .await
            }
            PlannedCall::Scan(body) => {
                let caller = client.with_endpoint(base, URGENT_TOKEN);
                let token = caller.issue_token().await;
                caller.post_scan(body, token.as_deref()).await
            }
        };
        if result.error.as_deref() != Some("not_run") {
            break;
        }
        sleep(Duration::from_millis(50 * (attempt as u64 + 1).min(10))).await;
    }
    record_result(
        &mut report
            .lock()
            .expect("no thread panics while it holds the lock"),
        call,
        &result,
    );
}

fn record_result(report: &mut LoadReport, call: &PlannedCall, result: &CallResult) {
    report.requests += 1;
    match result.error.as_deref() {
        Some("not_run") => {
            report.not_run += 1;
            return;
        }
        Some(code) => {
            report.failed.push(format!("{code}: {}", result.message));
            return;
        }
        None if !result.is_complete => {
            report.lost += 1;
            return;
        }
        None => {}
    }
    if let PlannedCall::Completion(class, call) = call {
        let expected =
            expected_completion(&format!("{}@v1", call.model), &call.prompt, call.tokens);
        if result.text != expected || result.model != format!("{}@v1", call.model) {
            report.wrong += 1;
            return;
        }
        report.first_token_us[*class].push(result.time_to_first_token.as_micros() as u64);
        report.load_stalls_ms.push(result.load_stall_ms);
    }
    report.answered += 1;
}
