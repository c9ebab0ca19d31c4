//! The daemon's clocks. The core is only ever given their readings.
//!
//! Leases, proofs, quotas and quarantines are aged by [`now`], so it goes on while the VM is suspended. The timers of
//! the runtime do not: they may fire late, and whatever a rule depends on is compared with [`now`] when they do.

use hoplanding_core::ids::Instant;
use nix::time::{ClockId, clock_gettime};
use std::{
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Counts the time for which the VM is suspended, where the system has such a clock.
#[cfg(target_os = "linux")]
const SOURCE: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const SOURCE: ClockId = ClockId::CLOCK_MONOTONIC;

static ORIGIN: LazyLock<Duration> = LazyLock::new(read_source);
/// Microseconds that were skipped.
static SKIPPED: AtomicU64 = AtomicU64::new(0);

fn read_source() -> Duration {
    Duration::from(clock_gettime(SOURCE).expect("the system has this clock"))
}

/// Time since the process began to look at it, suspensions included; never goes back.
#[must_use]
pub fn now() -> Instant {
    let elapsed = read_source().saturating_sub(*ORIGIN);
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX >> 1);
    // One second is added so that spans before the first reading can be expressed.
    Instant(micros + SKIPPED.load(Ordering::Relaxed) + 1_000_000)
}

/// Moves [`now`] ahead as a suspension of the VM does: the runtime's timers stay behind.
pub fn simulate_suspension(span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX >> 1);
    SKIPPED.fetch_add(micros, Ordering::Relaxed);
}

/// By how much the times of day of two VMs may differ.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(15);

/// Wall-clock time in milliseconds since 1970; for people, and for spans that are long beside [`CLOCK_ERROR`].
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
