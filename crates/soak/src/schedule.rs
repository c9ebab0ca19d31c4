//! Fault schedules drawn from a seed. The same seed always gives the same faults at the same times.

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use std::{
    fmt,
    ops::{Range, RangeInclusive},
    time::Duration,
};

/// Range of fault durations, in milliseconds.
const DURATION_RANGE_MS: Range<u64> = 300..3_000;
/// Number of silences in a series of targets' silences.
const SERIES_SILENCES: RangeInclusive<usize> = 2..=4;
/// Range of the durations of silences, in milliseconds.
const SILENCE_RANGE_MS: Range<u64> = 300..4_000;
/// Range of the pauses between two silences, in milliseconds.
const SILENCE_PAUSE_RANGE_MS: Range<u64> = 300..3_000;

/// Kind of a fault. Schedules contain the variants' names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// Kills a daemon and restarts it after the fault's duration.
    Kill,
    /// Suspends a daemon with SIGSTOP.
    Pause,
    /// Stops a daemon with SIGTERM and restarts it the fault's duration after its exit.
    PlannedStop,
    /// Kills all daemons and restarts them after the fault's duration.
    KillAll,
    /// The log rejects every call.
    LogOut,
    /// The log executes the next appends but loses their answers.
    LogLosesAnswers,
    /// A daemon's connections to the log stay open but deliver nothing.
    LogSilent,
    /// A daemon's connections to the log are closed.
    LogCut,
    /// A target's list entry changes to draining, and a replacement starts.
    Leave,
    /// A target truncates its answers.
    Break,
    /// An operator publishes a new configuration.
    Configure,
    /// A new version of an adapter is published.
    NameVersion,
    /// A target's list entry disappears without draining, and a replacement starts; an engine starts without its base model.
    Vanish,
    /// All targets reject two of three requests.
    Shed,
    /// Kills and restarts all daemons several times.
    KillSeries,
    /// Several versions of a popular adapter are published one after the other.
    VersionSeries,
    /// Several versions of the base model are published one after the other; engines that start empty load the newest.
    WeightSeries,
    /// An engine leaves orders unanswered and executes them seconds later.
    LateOrders,
    /// The settings of all daemons change several times.
    ReloadSeries,
    /// The log is briefly unavailable and restored from a snapshot that lacks its last records.
    Restore,
    /// All targets of a service but one reject every request with `Retry-After`.
    Rest,
    /// A target announces draining in its answers first, and in its list entry only later.
    LeaveInAnswers,
    /// The log is lost in the moment in which an operator publishes configurations, so that no VM reads them, and is
    /// restored from a snapshot without them. Operators rewrite them after a delay drawn from the fault's duration.
    LoseUnreadConfig,
    /// As [`Self::LoseUnreadConfig`], after an outage of some seconds in which the configurations are published.
    LoseConfigInOutage,
    /// As [`Self::LoseUnreadConfig`], but VMs read the configurations before the log is lost.
    LoseReadConfig,
    /// The connections of a VM to all targets hang.
    PathHangs,
    /// The connections of a VM to all targets are reset.
    PathReset,
    /// A VM's new connections to targets are reset, and its open ones continue.
    PathRefused,
    /// The connections of all VMs but one to all targets hang.
    MostPathsHang,
    /// Callers send requests of which no two are alike, all with one part in their prompts that crashes every engine.
    DeadlyPart,
    /// All daemons get little processor time, and nine of ten additional calls, each on a new connection, go to one VM.
    SkewedConnections,
    /// All targets fall silent several times: they neither read nor write, and keep their connections open.
    AllTargetsSilent,
    /// Half of the targets fall silent, several times and not always the same ones.
    HalfTargetsSilent,
    /// A target falls silent, several times and not always the same one.
    OneTargetSilent,
}

impl FaultKind {
    /// Kinds of the faults from [`seeded_faults`]. Adding kinds would change the schedule of every seed.
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

    /// Kinds of the faults from [`extra_faults`], which leave the schedules from [`Self::SEEDED`] unchanged.
    pub const EXTRA: [Self; 3] = [Self::Restore, Self::Rest, Self::LeaveInAnswers];

    /// Kinds of the faults from [`config_losses`], which leave all other schedules unchanged.
    pub const CONFIG_LOSSES: [Self; 3] = [
        Self::LoseUnreadConfig,
        Self::LoseConfigInOutage,
        Self::LoseReadConfig,
    ];

    /// Kinds of the faults from [`path_losses`], which leave all other schedules unchanged.
    pub const PATH_LOSSES: [Self; 4] = [
        Self::PathHangs,
        Self::PathReset,
        Self::PathRefused,
        Self::MostPathsHang,
    ];

    /// Kinds of the faults from [`deadly_parts`], which leave all other schedules unchanged.
    pub const DEADLY_PARTS: [Self; 1] = [Self::DeadlyPart];

    /// Kinds of the faults from [`skewed_connections`], which leave all other schedules unchanged.
    pub const SKEWS: [Self; 1] = [Self::SkewedConnections];

    /// Kinds of the faults from [`target_silences`], which leave all other schedules unchanged.
    pub const SILENCES: [Self; 3] = [
        Self::AllTargetsSilent,
        Self::HalfTargetsSilent,
        Self::OneTargetSilent,
    ];
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// Fault in a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Start, in milliseconds after the first request.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the affected VM, target or adapter, modulo their number.
    pub index: usize,
    /// Duration, in milliseconds.
    pub for_ms: u64,
}

impl PlannedFault {
    /// Start, relative to the first request.
    #[must_use]
    pub fn at(&self) -> Duration {
        Duration::from_millis(self.at_ms)
    }

    /// Duration of the fault.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.for_ms)
    }

    /// Duration of the fault, relative to the range that durations are drawn from.
    #[must_use]
    pub fn duration_ratio(&self) -> f64 {
        let range = DURATION_RANGE_MS;
        let drawn = self.for_ms.clamp(range.start, range.end) - range.start;
        drawn as f64 / (range.end - range.start) as f64
    }

    /// Silences of a fault of [`FaultKind::SILENCES`], in order. They depend on the fault alone.
    #[must_use]
    pub fn silences(&self) -> Vec<TargetSilence> {
        let parts = [self.at_ms, self.for_ms << 24, (self.index as u64) << 48];
        let mut random = StdRng::seed_from_u64(parts.iter().fold(0, |seed, part| seed ^ part));
        let range = SILENCE_RANGE_MS;
        let first_ms = (range.end - range.start) as f64 * self.duration_ratio();
        let mut duration_ms = range.start + first_ms as u64;
        let mut index = self.index;
        let mut silences = Vec::new();
        for _ in 0..random.random_range(SERIES_SILENCES) {
            silences.push(TargetSilence {
                index,
                duration: Duration::from_millis(duration_ms),
                pause: Duration::from_millis(random.random_range(SILENCE_PAUSE_RANGE_MS)),
            });
            duration_ms = random.random_range(SILENCE_RANGE_MS);
            if random.random_bool(0.5) {
                index = random.random_range(0..64);
            }
        }
        silences
    }
}

/// Silence in a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetSilence {
    /// Index of the first silent target, modulo their number.
    pub index: usize,
    /// Duration.
    pub duration: Duration,
    /// Time from its end to the next silence.
    pub pause: Duration,
}

/// Draws `count` faults of [`FaultKind::SEEDED`] within a span, ordered by start time. Faults may overlap.
#[must_use]
pub fn seeded_faults(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    draw_faults(seed, &FaultKind::SEEDED, span, count)
}

/// Draws `count` faults of [`FaultKind::EXTRA`] within a span, ordered by start time.
#[must_use]
pub fn extra_faults(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    draw_faults(!seed, &FaultKind::EXTRA, span, count)
}

/// Draws `count` faults of [`FaultKind::CONFIG_LOSSES`] within the first half of a span, ordered by start time, so that
/// calls are sent until operators have rewritten the configurations.
#[must_use]
pub fn config_losses(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    let seed = seed.rotate_left(32);
    draw_faults(seed, &FaultKind::CONFIG_LOSSES, span / 2, count)
}

/// Draws `count` faults of [`FaultKind::PATH_LOSSES`] within a span, ordered by start time.
#[must_use]
pub fn path_losses(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    let seed = seed.rotate_left(16);
    draw_faults(seed, &FaultKind::PATH_LOSSES, span, count)
}

/// Draws `count` faults of [`FaultKind::DEADLY_PARTS`] within a span, ordered by start time.
#[must_use]
pub fn deadly_parts(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    let seed = seed.rotate_left(48);
    draw_faults(seed, &FaultKind::DEADLY_PARTS, span, count)
}

/// Draws `count` faults of [`FaultKind::SKEWS`] within a span, ordered by start time.
#[must_use]
pub fn skewed_connections(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    let seed = seed.rotate_left(8);
    draw_faults(seed, &FaultKind::SKEWS, span, count)
}

/// Draws `count` faults of [`FaultKind::SILENCES`] within the first half of a span, ordered by start time, so that calls are
/// sent until the last silence.
#[must_use]
pub fn target_silences(seed: u64, span: Duration, count: usize) -> Vec<PlannedFault> {
    let seed = seed.rotate_left(24);
    draw_faults(seed, &FaultKind::SILENCES, span / 2, count)
}

fn draw_faults(seed: u64, kinds: &[FaultKind], span: Duration, count: usize) -> Vec<PlannedFault> {
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
