//! Regression bounds of the scheduling policy.
//!
//! The simulation of the policy bench runs in virtual time, so its figures are the same on every machine. The bounds
//! are read from `benches/policy/bounds.json`.

#[path = "../benches/policy/adaptive.rs"]
mod adaptive;
#[path = "../benches/policy/baselines.rs"]
mod baselines;
#[path = "../benches/policy/model.rs"]
mod model;
#[path = "../benches/policy/report.rs"]
mod report;
#[path = "../benches/policy/sim.rs"]
mod sim;
#[path = "../benches/policy/workload.rs"]
mod workload;

use model::EngineModel;
use report::{PolicyName, run};
use serde::Deserialize;
use workload::{Fault, Site};

#[derive(Deserialize)]
struct BoundsFile {
    bounds: Vec<RunBounds>,
}

#[derive(Deserialize)]
struct RunBounds {
    workload: String,
    fault: String,
    load_stall_ms_mean: f64,
    batch_efficiency: f64,
    urgent_ttft_ms_p99: f64,
    batch_wait_s_max: f64,
    refused_share: f64,
    work_share: f64,
}

/// Guards against changes of the policy that worsen load stalls, batch efficiency, latency, refusals or throughput.
#[test]
fn policy_stays_within_regression_bounds() {
    let file: BoundsFile = serde_json::from_str(include_str!("../benches/policy/bounds.json"))
        .expect("bounds.json is valid");
    assert!(!file.bounds.is_empty());
    let mut violations = Vec::new();
    for bounds in &file.bounds {
        let site = Site::ALL
            .into_iter()
            .find(|site| site.name() == bounds.workload)
            .expect("a known workload");
        let fault = Fault::ALL
            .into_iter()
            .find(|fault| fault.name() == bounds.fault)
            .expect("a known fault");
        let figures = run(
            site,
            fault,
            PolicyName::Hoplanding,
            &EngineModel::default(),
            1,
        );
        let refused_share = figures.refused as f64 / figures.requests as f64;
        let checks = [
            (
                "load_stall_ms_mean",
                figures.load_stall_ms_mean <= bounds.load_stall_ms_mean,
            ),
            (
                "batch_efficiency",
                figures.batch_efficiency >= bounds.batch_efficiency,
            ),
            (
                "urgent_ttft_ms_p99",
                figures.urgent_ttft_ms_p99 <= bounds.urgent_ttft_ms_p99,
            ),
            (
                "batch_wait_s_max",
                figures.batch_wait_s_max <= bounds.batch_wait_s_max,
            ),
            ("refused_share", refused_share <= bounds.refused_share),
            ("work_share", figures.work_share >= bounds.work_share),
            ("unfinished", figures.unfinished == 0),
        ];
        let names = checks
            .iter()
            .filter(|(_, is_met)| !is_met)
            .map(|(name, _)| *name);
        violations.extend(names.map(|name| {
            format!(
                "{} {}: {name} in {figures:?}",
                bounds.workload, bounds.fault
            )
        }));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against a policy that is no better than the baselines (LRU eviction and static placement): load stalls have
/// to be at least 3 times and the urgent p99 latency at least 2 times lower.
#[test]
fn policy_outperforms_the_baselines() {
    let run_policy = |policy| {
        run(
            Site::Kilindini,
            Fault::Steady,
            policy,
            &EngineModel::default(),
            2,
        )
    };
    let hoplanding = run_policy(PolicyName::Hoplanding);
    for policy in PolicyName::ALL
        .into_iter()
        .filter(|policy| !matches!(policy, PolicyName::Hoplanding | PolicyName::Clairvoyant))
    {
        let baseline = run_policy(policy);
        assert!(
            hoplanding.load_stall_ms_mean * 3.0 <= baseline.load_stall_ms_mean,
            "{hoplanding:?}\n{baseline:?}"
        );
        assert!(
            hoplanding.urgent_ttft_ms_p99 * 2.0 <= baseline.urgent_ttft_ms_p99,
            "{hoplanding:?}\n{baseline:?}"
        );
    }
}

/// Guards against nondeterminism, such as iteration order of hash maps, which would make the bounds flaky.
#[test]
fn runs_with_the_same_seed_are_identical() {
    let figures = || {
        run(
            Site::Kilindini,
            Fault::Restarts,
            PolicyName::Hoplanding,
            &EngineModel::default(),
            3,
        )
    };
    assert_eq!(format!("{:?}", figures()), format!("{:?}", figures()));
}
