//! Regression bounds of the policy, in virtual time: the same figures on every machine.

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

#[test]
fn the_policy_stays_within_its_bounds() {
    let file: BoundsFile = serde_json::from_str(include_str!("../benches/policy/bounds.json"))
        .expect("the bounds are JSON");
    assert!(!file.bounds.is_empty());
    let mut broken = Vec::new();
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
            .filter(|(_, holds)| !holds)
            .map(|(name, _)| *name);
        broken.extend(names.map(|name| {
            format!(
                "{} {}: {name} in {figures:?}",
                bounds.workload, bounds.fault
            )
        }));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn the_policy_is_better_than_what_a_user_would_write_first() {
    let run_one = |policy| {
        run(
            Site::Kilindini,
            Fault::Steady,
            policy,
            &EngineModel::default(),
            2,
        )
    };
    let ours = run_one(PolicyName::Hoplanding);
    for policy in PolicyName::ALL
        .into_iter()
        .filter(|policy| !matches!(policy, PolicyName::Hoplanding | PolicyName::Clairvoyant))
    {
        let theirs = run_one(policy);
        assert!(
            ours.load_stall_ms_mean * 3.0 <= theirs.load_stall_ms_mean,
            "{ours:?}\n{theirs:?}"
        );
        assert!(
            ours.urgent_ttft_ms_p99 * 2.0 <= theirs.urgent_ttft_ms_p99,
            "{ours:?}\n{theirs:?}"
        );
    }
}

#[test]
fn a_run_is_the_same_each_time() {
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
