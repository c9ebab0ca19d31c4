//! Per-caller admission limits: a token bucket for the request rate and a bound on open requests.
//!
//! Each daemon keeps its own buckets, so a caller's quota applies per daemon.

use crate::{
    config::CallerQuota,
    ids::{CallerName, Instant},
    request::NotRunReason,
};
use std::collections::HashMap;

/// Burst size of a bucket, in seconds of the caller's rate.
const BURST_SECONDS: f64 = 2.0;

/// Token bucket and open-request count of one caller.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    tokens: f64,
    updated_at: Instant,
    open_requests: u32,
}

/// Quota state of all callers at one daemon.
#[derive(Clone, Debug, Default)]
pub struct CallerLimits {
    buckets: HashMap<CallerName, QuotaBucket>,
}

impl CallerLimits {
    /// Admits a request if the caller has a token left and fewer open requests than its quota allows.
    ///
    /// Every admitted request must be ended with [`finish`](Self::finish).
    ///
    /// # Errors
    /// Returns [`NotRunReason::QuotaUsedUp`] with the caller and the time until the next token, at least 100 ms.
    pub fn admit(
        &mut self,
        caller: &CallerName,
        quota: &CallerQuota,
        now: Instant,
    ) -> Result<(), NotRunReason> {
        let capacity = (quota.requests_per_second * BURST_SECONDS).max(1.0);
        let bucket = self.buckets.entry(caller.clone()).or_insert(QuotaBucket {
            tokens: capacity,
            updated_at: now,
            open_requests: 0,
        });
        let refill = now.since(bucket.updated_at).as_secs_f64() * quota.requests_per_second;
        bucket.tokens = (bucket.tokens + refill).min(capacity);
        bucket.updated_at = now;
        if bucket.tokens < 1.0 || bucket.open_requests >= quota.waiting {
            let wait_s = (1.0 - bucket.tokens).max(0.0) / quota.requests_per_second.max(0.001);
            return Err(NotRunReason::QuotaUsedUp {
                caller: caller.to_string(),
                retry_after_ms: (wait_s * 1000.0).ceil().max(100.0) as u64,
            });
        }
        bucket.tokens -= 1.0;
        bucket.open_requests += 1;
        Ok(())
    }

    /// Records the end of an admitted request.
    pub fn finish(&mut self, caller: &str) {
        if let Some(bucket) = self.buckets.get_mut(caller) {
            bucket.open_requests = bucket.open_requests.saturating_sub(1);
        }
    }

    /// Number of open requests of a caller at this daemon.
    #[must_use]
    pub fn open_requests(&self, caller: &str) -> u32 {
        self.buckets
            .get(caller)
            .map_or(0, |bucket| bucket.open_requests)
    }
}
