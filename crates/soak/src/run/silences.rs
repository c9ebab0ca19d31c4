//! Silences of targets, in series.

use super::SoakCluster;
use crate::{
    schedule::{FaultKind, PlannedFault},
    targets::SoakTarget,
};
use std::sync::Arc;
use tokio::time::sleep;

impl SoakCluster {
    /// Lets targets fall silent several times. Faults may overlap; a target is silent until the end of its last silence.
    pub(super) async fn silence_targets(&self, fault: &PlannedFault) {
        for silence in fault.silences() {
            let targets = self.silenced_targets(fault.kind, silence.index);
            targets.iter().for_each(|target| target.begin_silence());
            sleep(silence.duration).await;
            targets.iter().for_each(|target| target.end_silence());
            sleep(silence.pause).await;
        }
    }

    /// All targets, or half or one of those on the list from an index on.
    fn silenced_targets(&self, kind: FaultKind, index: usize) -> Vec<Arc<SoakTarget>> {
        let targets = self.lock_targets().clone();
        if kind == FaultKind::AllTargetsSilent {
            return targets;
        }
        let listed: Vec<_> = targets.into_iter().filter(|t| t.is_listed()).collect();
        let count = match kind {
            FaultKind::HalfTargetsSilent => listed.len().div_ceil(2),
            _ => 1,
        };
        let first = index % listed.len().max(1);
        let chosen = listed.iter().cycle().skip(first).take(count);
        chosen.cloned().collect()
    }
}
