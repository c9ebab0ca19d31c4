//! Organisations of a run's callers: their keys, some of which each configuration takes away, and their quotas.

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};
use std::time::Duration;

/// Time after a key was taken away from which no call with it may be begun; the settings that the daemons are given.
pub const REVOKE: Duration = Duration::from_secs(5);
/// Length of the window that quotas count in, the part and the number by which they may be passed there; see [`REVOKE`].
pub const QUOTA_WINDOW: Duration = Duration::from_secs(8);
/// See [`QUOTA_WINDOW`].
pub const QUOTA_OVER: f64 = 0.1;
/// See [`QUOTA_WINDOW`].
pub const QUOTA_SLACK: f64 = 4.0;
/// Requests a second of the organisation that has a quota, and those beside them.
const RATE: u32 = 4;
const BURST: u32 = 4;
/// Organisations by name: one without a quota, and one with it.
const FREE: &str = "mill";
const LIMITED: &str = "port";
/// Parts of the callers that have the key of the limited one, and a key that is taken away some time.
const LIMITED_PART: f64 = 0.1;
const PASSING_PART: f64 = 0.3;
/// Versions of the configuration that such a key may be older than the newest.
const OLDER_MOST: u64 = 3;

/// The key that a version of the configuration brings, and the next one takes away.
#[must_use]
pub fn passing_key(version: u64) -> String {
    format!("{FREE}-v{version}")
}

/// The organisation that a key is, or was, of.
#[must_use]
pub fn organisation_of(key: &str) -> &str {
    key.split('-').next().unwrap_or_default()
}

/// Requests of the limited organisation that may run within a window.
#[must_use]
pub fn allowed(organisation: &str) -> Option<f64> {
    let quota = f64::from(RATE) * QUOTA_WINDOW.as_secs_f64() + f64::from(BURST);
    (organisation == LIMITED).then_some(quota * (1.0 + QUOTA_OVER) + QUOTA_SLACK)
}

/// The organisations of a version of the configuration.
#[must_use]
pub fn declared(version: u64) -> Value {
    json!([
        { "name": FREE, "api_keys": [format!("{FREE}-key"), passing_key(version)], "priority": 1 },
        { "name": LIMITED, "api_keys": [format!("{LIMITED}-key")], "priority": 2,
          "rate_per_s": RATE, "burst": BURST },
    ])
}

/// The key of a caller while a version of the configuration is the newest.
#[must_use]
pub fn draw_key(random: &mut StdRng, version: u64) -> String {
    let draw: f64 = random.random();
    if draw < LIMITED_PART {
        format!("{LIMITED}-key")
    } else if draw < LIMITED_PART + PASSING_PART {
        let age = random.random_range(0..OLDER_MOST);
        passing_key(version.saturating_sub(age).max(1))
    } else {
        format!("{FREE}-key")
    }
}
