//! Figures of a run; docs/MEASUREMENTS.md defines each of them.

use crate::{
    adaptive::{AdaptivePolicy, Demand, Oracle},
    baselines::{LruPolicy, TargetChoice},
    model::EngineModel,
    sim::{Policy, RunResult, Simulation},
    workload::{ARRIVALS_S, Arrival, FAULT_AT_S, Fault, Site, WARM_UP_S, arrivals},
};
use hoplanding_core::{
    ids::PriorityClass,
    policy::{PolicyWeights, PopularityTracker, WeightPreset},
};
use serde::Serialize;

/// Length of the window whose mean load stall decides whether a policy has recovered from a popularity shift.
const WINDOW_S: f64 = 10.0;

/// Simulated policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    Lru,
    LruAffinity,
    Static,
    Hoplanding,
    Clairvoyant,
}

impl PolicyName {
    pub const ALL: [Self; 5] = [
        Self::Lru,
        Self::LruAffinity,
        Self::Static,
        Self::Hoplanding,
        Self::Clairvoyant,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Lru => "lru",
            Self::LruAffinity => "lru_affinity",
            Self::Static => "static",
            Self::Hoplanding => "hoplanding",
            Self::Clairvoyant => "clairvoyant",
        }
    }
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    pub workload: &'static str,
    pub fault: &'static str,
    pub policy: &'static str,
    pub seed: u64,
    pub requests: usize,
    pub load_stall_ms_mean: f64,
    pub load_stall_ms_p99: f64,
    pub batch_efficiency: f64,
    pub urgent_ttft_ms_p99: f64,
    pub normal_ttft_ms_p99: f64,
    pub batch_wait_s_max: f64,
    pub refused: usize,
    pub urgent_refused: usize,
    pub unfinished: usize,
    pub lost: usize,
    pub work_share: f64,
    pub loads: u64,
    pub recovery_s: f64,
}

/// Weights of the preset that fits the objective of a site.
pub fn weights_of(site: Site) -> PolicyWeights {
    match site {
        Site::Kettleby => WeightPreset::BatchEfficiencyFirst.weights(),
        Site::Kilindini => WeightPreset::LoadStallsFirst.weights(),
    }
}

/// Runs one policy on one workload under one fault.
pub fn run(
    site: Site,
    fault: Fault,
    policy: PolicyName,
    model: &EngineModel,
    seed: u64,
) -> RunFigures {
    let requests = arrivals(site, fault, model, seed);
    let (zones, engines) = site.sizes();
    let daemons = if site == Site::Kettleby { 6 } else { 7 };
    let adaptive = |demand| AdaptivePolicy::new(zones, engines, model, weights_of(site), demand);
    let lru = |choice| LruPolicy::new(engines, model.slots, model.batch, choice);
    let mut policy_impl: Box<dyn Policy> = match policy {
        PolicyName::Lru => Box::new(lru(TargetChoice::LeastLoaded)),
        PolicyName::LruAffinity => Box::new(lru(TargetChoice::Affinity)),
        PolicyName::Static => Box::new(lru(TargetChoice::Hashed)),
        PolicyName::Hoplanding => Box::new(adaptive(Demand::Learned(vec![
                PopularityTracker::default();
                daemons
            ]))),
        PolicyName::Clairvoyant => Box::new(adaptive(Demand::Known(Oracle::new(&requests)))),
    };
    let result =
        Simulation::new(site, fault, model, &requests, seed, WARM_UP_S).run(policy_impl.as_mut());
    figures(site, fault, policy, model, seed, &requests, &result)
}

fn figures(
    site: Site,
    fault: Fault,
    policy: PolicyName,
    model: &EngineModel,
    seed: u64,
    requests: &[Arrival],
    result: &RunResult,
) -> RunFigures {
    let measured: Vec<_> = requests
        .iter()
        .zip(&result.outcomes)
        .filter(|(arrival, _)| arrival.at_s >= WARM_UP_S)
        .collect();
    let stalls = sorted(
        measured
            .iter()
            .filter(|(_, outcome)| outcome.started_s.is_some())
            .map(|(_, outcome)| outcome.load_stall_s * 1000.0),
    );
    // A request that never started counts with its wait until the end of the simulation.
    let ttft = |class: PriorityClass| {
        let class_outcomes = measured
            .iter()
            .filter(|(arrival, outcome)| arrival.class == class && outcome.refused_s.is_none());
        sorted(class_outcomes.map(|(arrival, outcome)| {
            (outcome.first_token_s.unwrap_or(ARRIVALS_S + 150.0) - arrival.at_s) * 1000.0
        }))
    };
    let batch = measured.iter().filter(|(arrival, outcome)| {
        arrival.class == PriorityClass::Batch && outcome.refused_s.is_none()
    });
    let waits = batch
        .map(|(arrival, outcome)| outcome.started_s.unwrap_or(ARRIVALS_S + 150.0) - arrival.at_s);
    let refused = |class: Option<PriorityClass>| {
        measured
            .iter()
            .filter(|(arrival, outcome)| {
                outcome.refused_s.is_some() && class.is_none_or(|class| class == arrival.class)
            })
            .count()
    };
    let unfinished = measured
        .iter()
        .filter(|(_, outcome)| outcome.ended_s.is_none() && outcome.refused_s.is_none())
        .count();
    let (_, engines) = site.sizes();
    let capacity = engines as f64 * model.full_speed() * (ARRIVALS_S - WARM_UP_S);
    RunFigures {
        workload: site.name(),
        fault: fault.name(),
        policy: policy.name(),
        seed,
        requests: measured.len(),
        load_stall_ms_mean: mean(&stalls),
        load_stall_ms_p99: percentile(&stalls, 0.99),
        batch_efficiency: result.step_sequences as f64
            / (result.steps.max(1) * model.batch as u64) as f64,
        urgent_ttft_ms_p99: percentile(&ttft(PriorityClass::Urgent), 0.99),
        normal_ttft_ms_p99: percentile(&ttft(PriorityClass::Normal), 0.99),
        batch_wait_s_max: waits.fold(0.0, f64::max),
        refused: refused(None),
        urgent_refused: refused(Some(PriorityClass::Urgent)),
        unfinished,
        lost: 0,
        work_share: result.tokens as f64 / capacity,
        loads: result.loads,
        recovery_s: if fault == Fault::Shift {
            recovery(&measured)
        } else {
            0.0
        },
    }
}

/// Time after a popularity shift, in seconds, until the mean load stall of a window is within 10 % of the mean before
/// the shift.
fn recovery(measured: &[(&Arrival, &crate::sim::Outcome)]) -> f64 {
    let stall_between = |from: f64, to: f64| {
        let within = measured.iter().filter(|(arrival, outcome)| {
            (from..to).contains(&arrival.at_s) && outcome.started_s.is_some()
        });
        mean(
            &within
                .map(|(_, outcome)| outcome.load_stall_s)
                .collect::<Vec<_>>(),
        )
    };
    let before = stall_between(WARM_UP_S, FAULT_AT_S);
    let mut from = FAULT_AT_S;
    while from + WINDOW_S <= ARRIVALS_S {
        if stall_between(from, from + WINDOW_S) <= before * 1.1 {
            return from - FAULT_AT_S;
        }
        from += 1.0;
    }
    ARRIVALS_S - FAULT_AT_S
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = ((sorted.len() as f64 * share).ceil() as usize).max(1) - 1;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Arithmetic mean; zero for an empty slice.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
