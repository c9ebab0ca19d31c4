//! Clocks of the daemon. The core never reads a clock itself; it is given readings.
//!
//! [`now`] determines the age of leases, proofs, quotas and quarantines, so it keeps running while the VM is suspended.
//! The timers of the async runtime stop during a suspension and may fire late; code that depends on a time compares it
//! with [`now`] when a timer fires.

use hoplanding_core::ids::Instant;
use nix::time::{ClockId, clock_gettime};
use std::{
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Clock that includes the time for which the VM is suspended, where the operating system has one.
#[cfg(target_os = "linux")]
const CLOCK_ID: ClockId = ClockId::CLOCK_BOOTTIME;
#[cfg(not(target_os = "linux"))]
const CLOCK_ID: ClockId = ClockId::CLOCK_MONOTONIC;

static FIRST_READING: LazyLock<Duration> = LazyLock::new(read_clock);
/// Simulated suspensions, in microseconds.
static SIMULATED_SUSPENSION_US: AtomicU64 = AtomicU64::new(0);

fn read_clock() -> Duration {
    Duration::from(clock_gettime(CLOCK_ID).expect("the operating system has this clock"))
}

/// Returns the monotonic time since the first reading, including suspensions of the VM.
#[must_use]
pub fn now() -> Instant {
    let elapsed = read_clock().saturating_sub(*FIRST_READING);
    let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX >> 1);
    // Starts at one second, so that instants shortly before the first reading can be expressed.
    Instant(micros + SIMULATED_SUSPENSION_US.load(Ordering::Relaxed) + 1_000_000)
}

/// Advances [`now`] but not the runtime's timers, like a suspension of the VM; for tests.
pub fn simulate_suspension(duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX >> 1);
    SIMULATED_SUSPENSION_US.fetch_add(micros, Ordering::Relaxed);
}

/// Largest difference between the wall clocks of two VMs.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(15);

/// Returns the wall-clock time in milliseconds since the Unix epoch; only for display, and for durations much longer
/// than [`MAX_CLOCK_SKEW`].
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
