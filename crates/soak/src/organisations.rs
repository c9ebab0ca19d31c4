//! Organisations of a run's callers: their keys, some of which each configuration takes away, and their quotas.

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};
use std::time::Duration;

/// Time after a key was taken away from which no call with it may be begun; the settings that the daemons are given.
pub const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Length of the window that quotas count in, the part and the number by which they may be passed there; see [`REVOKE`].
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// See [`QUOTA_WINDOW`].
pub const QUOTA_OVERRUN_RATIO: f64 = 0.1;
/// See [`QUOTA_WINDOW`].
pub const QUOTA_SLACK: f64 = 4.0;
/// Requests a second of the organisation that has a quota, and those beside them.
const QUOTA_RATE_PER_S: u32 = 4;
const QUOTA_BURST: u32 = 4;
/// Organisations by name: one without a quota, and one with it.
const UNLIMITED: &str = "mill";
const LIMITED: &str = "port";
/// Parts of the callers that have the key of the limited one, and a key that is taken away some time.
const LIMITED_SHARE: f64 = 0.1;
const ROTATED_SHARE: f64 = 0.3;
/// Versions of the configuration that such a key may be older than the newest.
const MAX_KEY_AGE_VERSIONS: u64 = 3;

/// The key that a version of the configuration brings, and the next one takes away.
#[must_use]
pub fn rotated_key(version: u64) -> String {
    format!("{UNLIMITED}-v{version}")
}

/// The organisation that a key is, or was, of.
#[must_use]
pub fn organisation_of(key: &str) -> &str {
    key.split('-').next().unwrap_or_default()
}

/// Requests of the limited organisation that may run within a window.
#[must_use]
pub fn quota_limit(organisation: &str) -> Option<f64> {
    let quota = f64::from(QUOTA_RATE_PER_S) * QUOTA_WINDOW.as_secs_f64() + f64::from(QUOTA_BURST);
    (organisation == LIMITED).then_some(quota * (1.0 + QUOTA_OVERRUN_RATIO) + QUOTA_SLACK)
}

/// The organisations of a version of the configuration.
#[must_use]
pub fn tenant_configs(version: u64) -> Value {
    json!([
        { "name": UNLIMITED, "api_keys": [format!("{UNLIMITED}-key"), rotated_key(version)], "priority": 1 },
        { "name": LIMITED, "api_keys": [format!("{LIMITED}-key")], "priority": 2,
          "rate_per_s": QUOTA_RATE_PER_S, "burst": QUOTA_BURST },
    ])
}

/// The key of a caller while a version of the configuration is the newest.
#[must_use]
pub fn draw_key(random: &mut StdRng, version: u64) -> String {
    let draw: f64 = random.random();
    if draw < LIMITED_SHARE {
        format!("{LIMITED}-key")
    } else if draw < LIMITED_SHARE + ROTATED_SHARE {
        let age = random.random_range(0..MAX_KEY_AGE_VERSIONS);
        rotated_key(version.saturating_sub(age).max(1))
    } else {
        format!("{UNLIMITED}-key")
    }
}
