//! Whether this VM has a path to the targets of each zone.
//!
//! A failed connection alone does not show whose fault it is: the target may have ended, or this VM may be partitioned
//! from it. A zone's path therefore counts as lost only when several of its targets do not answer a check, and as
//! restored when one of them does. A check is due when a connection fails and no connection that was opened since then
//! has been answered, and when calls wait while no target of the zone sends anything.

use crate::ids::{AvailabilityZone, Instant};
use std::{collections::BTreeMap, time::Duration};

/// Silence of all targets of a zone after which a check is due if calls wait for them.
const MAX_SILENCE: Duration = Duration::from_millis(350);
/// Minimum interval between checks because of silence: under load, first events may take that long.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between checks of a lost path.
const LOST_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a path counts as open after a target of the zone sent something, without a check.
const MAX_HEARD_AGE: Duration = Duration::from_millis(150);
/// Age up to which the result of a check is used instead of a new check.
const MAX_RESULT_AGE: Duration = Duration::from_millis(100);
/// Time after a path was restored within which it is not considered stable.
const STABLE_AFTER: Duration = Duration::from_secs(1);

/// Path from this VM to the targets of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct ZonePath {
    /// Since when the path has been lost.
    lost_since: Option<Instant>,
    /// Opening time of the newest connection over which a target has sent something.
    proven_at: Instant,
    /// When a target last sent something over any connection.
    heard_at: Instant,
    /// Calls that wait for the head of an answer.
    waiting_calls: u32,
    /// Since when calls have been waiting without interruption.
    waiting_since: Instant,
    /// End of the last check.
    checked_at: Option<Instant>,
    /// When the path was last restored.
    restored_at: Instant,
}

/// A change of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The path was lost.
    Lost,
    /// The path was restored after this time.
    Restored(Duration),
}

/// Paths from this VM to the targets of all zones.
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    zones: BTreeMap<AvailabilityZone, ZonePath>,
}

impl PathTable {
    fn path(&mut self, zone: &AvailabilityZone) -> &mut ZonePath {
        if !self.zones.contains_key(zone) {
            self.zones.insert(zone.clone(), ZonePath::default());
        }
        self.zones
            .get_mut(zone)
            .expect("the zone was inserted above")
    }

    /// Records that a target of a zone sent something over a connection that was opened at `opened_at`.
    pub fn record_heard(&mut self, zone: &AvailabilityZone, opened_at: Instant, now: Instant) {
        let path = self.path(zone);
        path.heard_at = path.heard_at.max(now);
        path.proven_at = path.proven_at.max(opened_at);
    }

    /// Records that a call waits for the head of an answer.
    pub fn record_wait(&mut self, zone: &AvailabilityZone, now: Instant) {
        let path = self.path(zone);
        if path.waiting_calls == 0 {
            path.waiting_since = now;
        }
        path.waiting_calls += 1;
    }

    /// Records that a call no longer waits.
    pub fn record_wait_end(&mut self, zone: &AvailabilityZone) {
        let path = self.path(zone);
        path.waiting_calls = path.waiting_calls.saturating_sub(1);
    }

    /// Whether the path to a zone's targets is lost.
    #[must_use]
    pub fn is_lost(&self, zone: &AvailabilityZone) -> bool {
        self.lost_since(zone).is_some()
    }

    /// Since when the path to a zone's targets has been lost.
    #[must_use]
    pub fn lost_since(&self, zone: &AvailabilityZone) -> Option<Instant> {
        self.zones.get(zone)?.lost_since
    }

    /// Whether the path to a zone's targets was neither lost nor restored lately.
    #[must_use]
    pub fn is_stable(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        self.zones.get(zone).is_none_or(|path| {
            let was_lost = path.restored_at > Instant::default();
            path.lost_since.is_none() && !(was_lost && now.since(path.restored_at) < STABLE_AFTER)
        })
    }

    /// When the path to a zone's targets was last restored; the origin if it was never lost.
    #[must_use]
    pub fn restored_at(&self, zone: &AvailabilityZone) -> Instant {
        let path = self.zones.get(zone);
        path.map_or(Instant::default(), |path| path.restored_at)
    }

    /// Zones whose path is lost.
    pub fn lost_zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        let zones = self.zones.iter();
        zones
            .filter(|(_, path)| path.lost_since.is_some())
            .map(|(zone, _)| zone)
    }

    /// Whether the state of a path is known after an attempt to connect that began at `attempted_at` failed, so that no
    /// check is needed.
    #[must_use]
    pub fn is_known_since(
        &self,
        zone: &AvailabilityZone,
        attempted_at: Instant,
        now: Instant,
    ) -> bool {
        self.zones.get(zone).is_some_and(|path| {
            let is_checked = path
                .checked_at
                .is_some_and(|checked_at| now.since(checked_at) < MAX_RESULT_AGE);
            path.lost_since.is_some() || is_checked || path.proven_at >= attempted_at
        })
    }

    /// Whether a target of a zone sent something so lately that no check is needed to show that targets there answer.
    #[must_use]
    pub fn is_heard_lately(&self, zone: &AvailabilityZone, now: Instant) -> bool {
        let path = self.zones.get(zone);
        path.is_some_and(|path| now.since(path.heard_at) <= MAX_HEARD_AGE)
    }

    /// Zones whose path is to be checked now: lost ones at an interval, others after a silence.
    #[must_use]
    pub fn due_checks(&self, now: Instant) -> Vec<AvailabilityZone> {
        let is_due = |path: &ZonePath| {
            let interval = if path.lost_since.is_some() {
                LOST_CHECK_INTERVAL
            } else {
                SILENCE_CHECK_INTERVAL
            };
            let is_silent = path.waiting_calls > 0
                && now.since(path.heard_at.max(path.waiting_since)) >= MAX_SILENCE;
            (path.lost_since.is_some() || is_silent)
                && path
                    .checked_at
                    .is_none_or(|checked_at| now.since(checked_at) >= interval)
        };
        let zones = self.zones.iter();
        zones
            .filter(|(_, path)| is_due(path))
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    /// Records the result of a check: whether any target answered. Returns the change of the path.
    pub fn record_check(
        &mut self,
        zone: &AvailabilityZone,
        has_answer: bool,
        now: Instant,
    ) -> Option<PathChange> {
        let path = self.path(zone);
        path.checked_at = Some(now);
        match (has_answer, path.lost_since) {
            (true, Some(since)) => {
                path.lost_since = None;
                path.restored_at = now;
                Some(PathChange::Restored(now.since(since)))
            }
            (false, None) => {
                path.lost_since = Some(now);
                Some(PathChange::Lost)
            }
            (true, None) | (false, Some(_)) => None,
        }
    }
}
