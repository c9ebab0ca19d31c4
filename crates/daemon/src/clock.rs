//! The daemon's clocks. The core is only ever given their readings.

use hoplanding_core::ids::Instant;
use std::{
    sync::LazyLock,
    time::{SystemTime, UNIX_EPOCH},
};

static ORIGIN: LazyLock<std::time::Instant> = LazyLock::new(std::time::Instant::now);

/// Monotonic time since the process began to look at it.
#[must_use]
pub fn now() -> Instant {
    // One second is added so that spans before the first reading can be expressed.
    Instant(u64::try_from(ORIGIN.elapsed().as_micros()).unwrap_or(u64::MAX) + 1_000_000)
}

/// Wall-clock time in milliseconds since 1970; for people only.
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
