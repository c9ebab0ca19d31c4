//! Spreading the targets of a zone over its daemons with little movement.
//!
//! Rendezvous hashing with a bound on each daemon's share names the daemon that should hold a target. A target moves
//! only if its holder can't go on, or if its holder has more than its share and the newcomer less.

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

/// Targets that move for balance in one round; takeovers after a failure are not bounded by it.
const MOVES_PER_ROUND: usize = 2;

/// What the spreading depends on.
#[derive(Debug)]
pub struct AssignmentInput<'a> {
    /// This daemon.
    pub me: &'a DaemonRef,
    /// Daemons of the zone that can hold targets, this one among them.
    pub eligible: &'a [DaemonRef],
    /// Targets of the zone.
    pub targets: &'a [TargetName],
    /// The holders by the fold.
    pub ownership: &'a OwnershipState,
}

/// Takeovers that this daemon should append now.
///
/// `replaceable` says of a holder whether it can't go on (dead, restarted, or suspect for long enough).
pub fn plan_takeovers(
    input: &AssignmentInput<'_>,
    replaceable: impl Fn(&DaemonRef) -> bool,
) -> Vec<TakeoverRecord> {
    let desired = desired_holders(input.eligible, input.targets);
    let counts = held_counts(input);
    let share = input.targets.len() / input.eligible.len().max(1);
    let mut held = counts.get(input.me).copied().unwrap_or(0);
    let mut moves = 0;
    let mut records = Vec::new();
    for target in input.targets {
        let lease = input.ownership.holder(target.as_str());
        let wants = match lease {
            None => desired.get(target) == Some(&input.me),
            Some(lease) if lease.daemon == *input.me => false,
            Some(lease) if replaceable(&lease.daemon) => desired.get(target) == Some(&input.me),
            Some(lease) => {
                let surplus = counts.get(&lease.daemon).copied().unwrap_or(0) > share + 1;
                let moves_here = surplus && held < share && moves < MOVES_PER_ROUND;
                moves += usize::from(moves_here);
                moves_here
            }
        };
        if wants {
            held += 1;
            records.push(takeover(target, lease.map(|lease| lease.token), input.me));
        }
    }
    records
}

fn takeover(
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

/// Rendezvous hashing with at most `ceil(targets / daemons)` targets for each daemon.
fn desired_holders<'a>(
    eligible: &'a [DaemonRef],
    targets: &'a [TargetName],
) -> HashMap<&'a TargetName, &'a DaemonRef> {
    if eligible.is_empty() {
        return HashMap::new();
    }
    let most = targets.len().div_ceil(eligible.len());
    let mut counts: HashMap<&DaemonRef, usize> = HashMap::new();
    let mut desired = HashMap::new();
    for target in targets {
        let free = eligible
            .iter()
            .filter(|daemon| counts.get(daemon).copied().unwrap_or(0) < most);
        if let Some(daemon) = free.max_by_key(|daemon| (score(target, daemon), daemon.incarnation))
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
