//! How long a caller has been at it when its request comes.
//!
//! A caller that was refused comes back with a request that looks new, but that it is worth answering within its objective as
//! counted from the first one. What tells is the time that it will still wait: callers of one kind of routes mostly begin with the
//! same one, and who has less of it has spent the rest. Where too many may be served, those are served first whose time is
//! not over yet: on six places with calls for twelve, a third of the answers came late, to callers that had been refused before.

use crate::direct::config::RouteRule;
use std::{collections::HashMap, time::Duration};

/// Calls of a kind that begin alike, beyond those that do not, from which the usual time counts as known; and as far as is counted, so that
/// another usual time is found within as many calls.
const SURE_FROM: u32 = 8;
const COUNTED_MOST: u32 = 64;
/// Time by which a call's differs from the usual though it is its first: whole milliseconds, rounded.
const ROUNDING: Duration = Duration::from_millis(2);

/// Kinds of routes that are told apart; beyond that all is forgotten.
const KINDS_MOST: usize = 256;

/// What routes of one kind have in common: their callers begin with the same time. A VM sees few calls of each of fifty routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKind {
    timeout: Duration,
    objective: Duration,
}

impl RouteKind {
    /// The kind of a route.
    #[must_use]
    pub fn of(route: &RouteRule) -> Self {
        Self::new(route.timeout, route.objective)
    }

    /// The kind with this timeout and objective.
    #[must_use]
    pub fn new(timeout: Duration, objective: Duration) -> Self {
        Self { timeout, objective }
    }
}

/// The time that most callers of a kind of routes begin with.
#[derive(Clone, Copy, Debug, Default)]
struct UsualWait {
    wait: Duration,
    /// Calls that had it, less those that did not.
    lead: u32,
}

/// Times that callers begin with, by kind of route.
#[derive(Clone, Debug, Default)]
pub struct ReturnClock {
    kinds: HashMap<RouteKind, UsualWait>,
}

impl ReturnClock {
    /// Notes that a caller will still wait so long; gives the time that it has spent before.
    pub fn spent(&mut self, kind: RouteKind, wait: Duration) -> Duration {
        if self.kinds.len() > KINDS_MOST {
            self.kinds.clear();
        }
        let usual = self.kinds.entry(kind).or_default();
        let is_usual = wait.abs_diff(usual.wait) <= ROUNDING;
        let is_sure = usual.lead >= SURE_FROM;
        if is_usual {
            usual.lead = (usual.lead + 1).min(COUNTED_MOST);
        } else if usual.lead == 0 {
            *usual = UsualWait { wait, lead: 1 };
        } else {
            usual.lead -= 1;
        }
        if is_usual || !is_sure {
            return Duration::ZERO;
        }
        usual.wait.saturating_sub(wait)
    }
}
