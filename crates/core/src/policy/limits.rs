//! Callers' quotas: a rate and a bound on what waits.

use crate::{
    config::CallerQuota,
    ids::{CallerName, Instant},
    request::NotRunReason,
};
use std::collections::HashMap;

/// Seconds of a caller's rate that it may use at once.
const BURST_S: f64 = 2.0;

/// Token bucket of one caller.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    tokens: f64,
    at: Instant,
    waiting: u32,
}

/// Quotas of all callers at one daemon.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    buckets: HashMap<CallerName, QuotaBucket>,
}

impl CallerLimits {
    /// Admits a request or says when to come back.
    ///
    /// # Errors
    /// Names the quota and the time after which there is room again.
    pub fn admit(
        &mut self,
        caller: &CallerName,
        quota: &CallerQuota,
        now: Instant,
    ) -> Result<(), NotRunReason> {
        let most = (quota.requests_per_second * BURST_S).max(1.0);
        let bucket = self.buckets.entry(caller.clone()).or_insert(QuotaBucket {
            tokens: most,
            at: now,
            waiting: 0,
        });
        let earned = now.since(bucket.at).as_secs_f64() * quota.requests_per_second;
        bucket.tokens = (bucket.tokens + earned).min(most);
        bucket.at = now;
        if bucket.tokens < 1.0 || bucket.waiting >= quota.waiting {
            let missing = (1.0 - bucket.tokens).max(0.0) / quota.requests_per_second.max(0.001);
            return Err(NotRunReason::QuotaUsedUp {
                caller: caller.to_string(),
                retry_after_ms: (missing * 1000.0).ceil().max(100.0) as u64,
            });
        }
        bucket.tokens -= 1.0;
        bucket.waiting += 1;
        Ok(())
    }

    /// A request of the caller ended.
    pub fn finish(&mut self, caller: &str) {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.waiting = bucket.waiting.saturating_sub(1);
        }
    }

    /// Requests of a caller that are open at this daemon.
    #[must_use]
    pub fn open_requests(&self, caller: &str) -> u32 {
        self.buckets.get(caller).map_or(0, |bucket| bucket.waiting)
    }
}
