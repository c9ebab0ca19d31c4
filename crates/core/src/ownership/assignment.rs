//! Assignment of a zone's targets to its daemons.
//!
//! Rendezvous hashing with a bound on the number of targets per daemon names the daemon that should hold each target.
//! To keep movement low, a target changes its holder only if that daemon cannot continue, or if it holds more than its
//! share while this daemon holds less.

use crate::{
    ids::{DaemonRef, FencingToken, TargetName},
    log::TakeoverRecord,
    ownership::OwnershipState,
};
use siphasher::sip::SipHasher13;
use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
};

/// Limits rebalancing only; takeovers after a failure are not limited.
const MAX_MOVES_PER_ROUND: usize = 2;

/// Input of [`plan_takeovers`].
#[derive(Debug)]
pub struct AssignmentInput<'a> {
    /// This daemon.
    pub me: &'a DaemonRef,
    /// Daemons of the zone that can hold targets, including this one.
    pub eligible: &'a [DaemonRef],
    /// Targets of the zone.
    pub targets: &'a [TargetName],
    /// Current holders, folded from the log.
    pub ownership: &'a OwnershipState,
}

/// Returns the takeover records that this daemon should append to the log now.
///
/// `is_replaceable` tells whether a holder cannot continue because it is gone, was restarted, or has been suspect for
/// longer than the takeover timeout.
pub fn plan_takeovers(
    input: &AssignmentInput<'_>,
    is_replaceable: impl Fn(&DaemonRef) -> bool,
) -> Vec<TakeoverRecord> {
    let desired = desired_holders(input.eligible, input.targets);
    let counts = held_counts(input);
    let share = input.targets.len() / input.eligible.len().max(1);
    let mut held = counts.get(input.me).copied().unwrap_or(0);
    let mut moves = 0;
    let mut records = Vec::new();
    for target in input.targets {
        let lease = input.ownership.holder(target.as_str());
        let should_take_over = match lease {
            None => desired.get(target) == Some(&input.me),
            Some(lease) if lease.daemon == *input.me => false,
            Some(lease) if is_replaceable(&lease.daemon) => desired.get(target) == Some(&input.me),
            Some(lease) => {
                let has_surplus = counts.get(&lease.daemon).copied().unwrap_or(0) > share + 1;
                let should_move = has_surplus && held < share && moves < MAX_MOVES_PER_ROUND;
                moves += usize::from(should_move);
                should_move
            }
        };
        if should_take_over {
            held += 1;
            records.push(takeover_record(
                target,
                lease.map(|lease| lease.token),
                input.me,
            ));
        }
    }
    records
}

fn takeover_record(
    target: &TargetName,
    replaces: Option<FencingToken>,
    holder: &DaemonRef,
) -> TakeoverRecord {
    TakeoverRecord {
        target: target.clone(),
        replaces,
        holder: holder.clone(),
    }
}

fn held_counts(input: &AssignmentInput<'_>) -> HashMap<DaemonRef, usize> {
    let mut counts = HashMap::new();
    for target in input.targets {
        if let Some(lease) = input.ownership.holder(target.as_str()) {
            *counts.entry(lease.daemon.clone()).or_default() += 1;
        }
    }
    counts
}

/// Assigns targets by rendezvous hashing, at most `ceil(targets / daemons)` to each daemon.
fn desired_holders<'a>(
    eligible: &'a [DaemonRef],
    targets: &'a [TargetName],
) -> HashMap<&'a TargetName, &'a DaemonRef> {
    if eligible.is_empty() {
        return HashMap::new();
    }
    let max_targets = targets.len().div_ceil(eligible.len());
    let mut counts: HashMap<&DaemonRef, usize> = HashMap::new();
    let mut desired = HashMap::new();
    for target in targets {
        let candidates = eligible
            .iter()
            .filter(|daemon| counts.get(daemon).copied().unwrap_or(0) < max_targets);
        if let Some(daemon) =
            candidates.max_by_key(|daemon| (score(target, daemon), daemon.incarnation))
        {
            *counts.entry(daemon).or_default() += 1;
            desired.insert(target, daemon);
        }
    }
    desired
}

fn score(target: &TargetName, daemon: &DaemonRef) -> u64 {
    let mut hasher = SipHasher13::new();
    target.hash(&mut hasher);
    daemon.vm.hash(&mut hasher);
    hasher.finish()
}
