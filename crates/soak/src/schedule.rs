//! The faults of a seed: the same seed gives the same faults at the same times.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Bounds of a fault's length, in milliseconds.
const DURATION_RANGE_MS: std::ops::Range<u64> = 300..3_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// A daemon is killed, and started again after the fault's length.
    Kill,
    /// A daemon stands still.
    Pause,
    /// A daemon is stopped by a signal, and started again once it has ended.
    PlannedStop,
    /// All daemons are killed at once.
    KillAll,
    /// The log refuses every call.
    LogOut,
    /// The log does what it is told and loses the answers of the next appends.
    LogLosesAnswers,
    /// A daemon's connections to the log are silent.
    LogSilent,
    /// A daemon's connections to the log are closed.
    LogCut,
    /// A target says that it leaves, and another one comes.
    Leave,
    /// A target breaks off what it answers.
    Break,
    /// An operator changes the configuration.
    Configure,
    /// A new version of an adapter is named.
    NameVersion,
    /// A target's entry goes without a word, and another target comes: an engine comes empty.
    Vanish,
    /// All targets turn most of their calls away.
    Shed,
    /// All daemons are killed at once, again and again.
    KillSeries,
    /// New versions of an adapter in demand are named, one after the other.
    VersionSeries,
    /// New versions of the base model are named, one after the other: engines that come empty load the newest.
    WeightSeries,
    /// An engine leaves orders without an answer, and carries them out seconds later.
    LateOrders,
    /// The settings of all daemons change, again and again.
    ReloadSeries,
    /// The log is away for a moment, and comes back from a copy that lacks its last records.
    Restore,
    /// All targets of a service but one turn every call away, and ask each VM for rest.
    Rest,
    /// A target says in its answers that it leaves, and in its entry only later.
    LeaveInAnswers,
}

impl FaultKind {
    /// The kinds that the seeds of a schedule are drawn from: others would change what each seed gives.
    pub const SEEDED: [Self; 19] = [
        Self::Kill,
        Self::Pause,
        Self::PlannedStop,
        Self::KillAll,
        Self::LogOut,
        Self::LogLosesAnswers,
        Self::LogSilent,
        Self::LogCut,
        Self::Leave,
        Self::Break,
        Self::Configure,
        Self::NameVersion,
        Self::Vanish,
        Self::Shed,
        Self::KillSeries,
        Self::VersionSeries,
        Self::WeightSeries,
        Self::LateOrders,
        Self::ReloadSeries,
    ];

    /// The kinds that are drawn beside those.
    pub const EXTRA: [Self; 3] = [Self::Restore, Self::Rest, Self::LeaveInAnswers];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// When it strikes, in milliseconds from the first request.
    pub at_ms: u64,
    /// What it is.
    pub kind: FaultKind,
    /// Which VM, target or adapter, counted round.
    pub index: usize,
    /// How long it lasts, in milliseconds.
    pub for_ms: u64,
}

impl PlannedFault {
    /// When it strikes.
    #[must_use]
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// How long it lasts.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.for_ms)
    }
}

/// The faults of a seed within a span, in the order of their times; some overlap.
#[must_use]
pub fn seeded_faults(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    draw(seed, &FaultKind::SEEDED, span, count)
}

/// The faults that a seed has beside those, in the order of their times.
#[must_use]
pub fn extra_faults(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    draw(!seed, &FaultKind::EXTRA, span, count)
}

fn draw(seed: u64, kinds: &[FaultKind], span: Duration, count: usize) -> Vec<PlannedFault> {
    let mut random = StdRng::seed_from_u64(seed);
    let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(1);
    let mut faults: Vec<_> = (0..count)
        .map(|_| PlannedFault {
            at_ms: random.random_range(0..span),
            kind: kinds[random.random_range(0..kinds.len())],
            index: random.random_range(0..64),
            for_ms: random.random_range(DURATION_RANGE_MS),
        })
        .collect();
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}
