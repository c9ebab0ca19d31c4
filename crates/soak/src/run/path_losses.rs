//! Losses of the paths from VMs to all targets.

use super::SoakCluster;
use crate::{
    fleet::SoakVm,
    history::HistoryEvent,
    schedule::{FaultKind, PlannedFault},
};
use hoplanding_standins::path_cuts::PathState;
use std::time::Duration;
use tokio::time::sleep;

/// Minimum duration of a path loss: callers are judged from three seconds after its start on.
const MIN_PATH_LOSS: Duration = Duration::from_secs(4);

impl SoakCluster {
    /// Cuts VMs off from all targets for the fault's duration. Faults may overlap; a VM's path returns with the end of its
    /// last one.
    pub(super) async fn lose_paths(&self, fault: &PlannedFault) {
        let chosen = fault.index % self.vms.len();
        let state = match fault.kind {
            FaultKind::PathReset => PathState::Reset,
            FaultKind::PathRefused => PathState::RefusingNew,
            _ => PathState::Hanging,
        };
        let is_lost = |vm: &SoakVm| match fault.kind {
            FaultKind::MostPathsHang => vm.index != chosen,
            _ => vm.index == chosen,
        };
        let vms: Vec<_> = self.vms.iter().filter(|vm| is_lost(vm)).collect();
        for vm in &vms {
            self.begin_path_loss(vm, state);
        }
        sleep(MIN_PATH_LOSS + fault.duration()).await;
        for vm in &vms {
            self.end_path_loss(vm);
        }
    }

    fn begin_path_loss(&self, vm: &SoakVm, state: PathState) {
        let mut losses = self.lock_path_losses();
        *losses.entry(vm.index).or_default() += 1;
        self.target_context.cuts.set(vm.source, state);
        let vm = vm.index;
        self.history.record(HistoryEvent::PathLost { vm });
    }

    fn end_path_loss(&self, vm: &SoakVm) {
        let mut losses = self.lock_path_losses();
        let count = losses.entry(vm.index).or_default();
        *count -= 1;
        if *count == 0 {
            self.target_context.cuts.set(vm.source, PathState::Open);
            let vm = vm.index;
            self.history.record(HistoryEvent::PathRestored { vm });
        }
    }
}
