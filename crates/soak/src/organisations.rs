//! Organisations of a run's callers with their API keys and quotas. Each configuration revokes the rotated key of the
//! previous one.

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};
use std::time::Duration;

/// Time after the revocation of a key from which no call with it may start; the daemons run with this setting.
pub const REVOCATION_BOUND: Duration = Duration::from_secs(5);
/// Length of the window in which quotas are counted; the daemons run with this setting.
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// Share of a quota by which a window may exceed it; the daemons run with this setting.
pub const QUOTA_OVERRUN_RATIO: f64 = 0.1;
/// Number of requests by which a window may exceed a quota in addition to [`QUOTA_OVERRUN_RATIO`]; the daemons run with this
/// setting.
pub const QUOTA_SLACK: f64 = 4.0;
/// Quota of the limited organisation: requests per second, and the burst above them.
const QUOTA_RATE_PER_S: u32 = 4;
const QUOTA_BURST: u32 = 4;
/// Names of the organisations without and with a quota.
const UNLIMITED: &str = "mill";
const LIMITED: &str = "port";
/// Shares of the calls with the key of the limited organisation and with a rotated key.
const LIMITED_SHARE: f64 = 0.1;
const ROTATED_SHARE: f64 = 0.3;
/// Number of newest configurations whose rotated keys callers use; all but the newest key are revoked.
const MAX_KEY_AGE_VERSIONS: u64 = 3;

/// Key that a configuration version adds and the next version revokes.
#[must_use]
pub fn rotated_key(version: u64) -> String {
    format!("{UNLIMITED}-v{version}")
}

/// Name of the organisation that a key belongs to, also if it is revoked.
#[must_use]
pub fn organisation_of(key: &str) -> &str {
    key.split('-').next().unwrap_or_default()
}

/// Maximum number of requests of an organisation within [`QUOTA_WINDOW`]; `None` without a quota.
#[must_use]
pub fn quota_limit(organisation: &str) -> Option<f64> {
    let quota = f64::from(QUOTA_RATE_PER_S) * QUOTA_WINDOW.as_secs_f64() + f64::from(QUOTA_BURST);
    (organisation == LIMITED).then_some(quota * (1.0 + QUOTA_OVERRUN_RATIO) + QUOTA_SLACK)
}

/// The `tenants` section of a configuration version.
#[must_use]
pub fn tenant_configs(version: u64) -> Value {
    json!([
        { "name": UNLIMITED, "api_keys": [format!("{UNLIMITED}-key"), rotated_key(version)], "priority": 1 },
        { "name": LIMITED, "api_keys": [format!("{LIMITED}-key")], "priority": 2,
          "rate_per_s": QUOTA_RATE_PER_S, "burst": QUOTA_BURST },
    ])
}

/// Key of the organisation without a quota, which no configuration revokes.
#[must_use]
pub fn unlimited_key() -> String {
    format!("{UNLIMITED}-key")
}

/// Draws the key of a call while `version` is the newest configuration.
#[must_use]
pub fn draw_key(random: &mut StdRng, version: u64) -> String {
    let draw: f64 = random.random();
    if draw < LIMITED_SHARE {
        format!("{LIMITED}-key")
    } else if draw < LIMITED_SHARE + ROTATED_SHARE {
        let age = random.random_range(0..MAX_KEY_AGE_VERSIONS);
        rotated_key(version.saturating_sub(age).max(1))
    } else {
        unlimited_key()
    }
}
