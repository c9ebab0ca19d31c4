//! Times in which most new connections go to one VM, while all VMs have little processor time.

use super::SoakCluster;
use crate::{
    callers::{SKEWED_CALL_PREFIX, SKEWED_DEADLINE, SoakCall, send_skewed_call},
    history::{CallKind, HistoryEvent},
    organisations::unlimited_key,
    processor_limits::ProcessorLimit,
    prompts::prompt_parts,
    schedule::PlannedFault,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

/// Minimum duration of a skew: calls are judged from three seconds after its start on.
const MIN_SKEW: Duration = Duration::from_secs(8);
/// Share of the additional calls that are streams.
const STREAM_SHARE: f64 = 0.3;
/// Time after their deadline until which their callers wait for an answer.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(700);
/// First request number of the additional calls, above those of all others.
const FIRST_SKEWED_CALL: usize = 100_000;

impl SoakCluster {
    /// Limits the processor time of all VMs, and sends additional calls on new connections, most of them to the fault's VM.
    pub(super) async fn skew_connections(&self, fault: &PlannedFault) {
        let chosen = fault.index % self.vms.len();
        let start = Instant::now();
        let end = start + MIN_SKEW + fault.duration();
        let mut random = StdRng::seed_from_u64(fault.at_ms ^ fault.for_ms);
        let limit = ProcessorLimit::start(&self.vms, self.skew.processor_slice);
        let mut calls = JoinSet::new();
        self.history.record(HistoryEvent::SkewBegan { vm: chosen });
        for step in 0.. {
            let due = start + Duration::from_secs_f64(f64::from(step) / self.skew.rate);
            if due >= end {
                break;
            }
            sleep_until(due).await;
            let first = if self.vms.len() == 1 || random.random_bool(self.skew.share) {
                chosen
            } else {
                self.another_vm(chosen, &mut random)
            };
            let second = self.another_vm(first, &mut random);
            let call = self.skewed_call(&mut random);
            let [first, second] = [first, second].map(|vm| self.vms[vm].clone());
            calls.spawn(send_skewed_call(first, second, call, self.history.clone()));
        }
        self.history.record(HistoryEvent::SkewEnded { vm: chosen });
        drop(limit);
        // Calls without an answer count as unanswered, so the last ones need the time to get theirs.
        calls.join_all().await;
    }

    /// A VM other than this one, if there is one.
    fn another_vm(&self, vm: usize, random: &mut StdRng) -> usize {
        let step = random.random_range(0..self.vms.len().saturating_sub(1).max(1));
        (vm + 1 + step) % self.vms.len()
    }

    fn skewed_call(&self, random: &mut StdRng) -> SoakCall {
        let number = FIRST_SKEWED_CALL + self.skewed_calls.fetch_add(1, Ordering::SeqCst);
        let (kind, adapter, parts) = if random.random_bool(STREAM_SHARE) {
            let adapter = format!("a{}", random.random_range(0..self.adapters));
            // The shared part would occupy the engines for longer than the VMs.
            let [_, own] = prompt_parts(number);
            (CallKind::Stream, adapter, vec![own])
        } else {
            let kinds = [CallKind::Once, CallKind::Idempotent];
            let kind = kinds[random.random_range(0..kinds.len())];
            (kind, String::new(), Vec::new())
        };
        SoakCall {
            id: format!("{SKEWED_CALL_PREFIX}{number}"),
            kind,
            adapter,
            parts,
            key: unlimited_key(),
            deadline: SKEWED_DEADLINE,
            patience: SKEWED_DEADLINE + LATE_ANSWER_WAIT,
            taken_up: None,
        }
    }
}
