//! Limits on the processor time of daemons: each process is stopped and continued by its id, so that it runs for a short slice of
//! every period.

use crate::fleet::SoakVm;
use nix::sys::signal::Signal;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Period in which a limited process runs once.
pub const LIMIT_PERIOD: Duration = Duration::from_millis(50);

/// Limits the processor time of VMs until dropped.
pub struct ProcessorLimit {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ProcessorLimit {
    /// Lets each VM run for `slice` of every [`LIMIT_PERIOD`]. The slices of the VMs do not coincide.
    #[must_use]
    pub fn start(vms: &[Arc<SoakVm>], slice: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let offset = LIMIT_PERIOD / u32::try_from(vms.len()).unwrap_or(u32::MAX).max(1);
        let threads = vms.iter().cloned().zip(0_u32..).map(|(vm, number)| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                thread::sleep(number * offset);
                while !is_over.load(Ordering::Relaxed) {
                    vm.signal(Signal::SIGSTOP);
                    thread::sleep(LIMIT_PERIOD.saturating_sub(slice));
                    vm.signal(Signal::SIGCONT);
                    thread::sleep(slice);
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_over,
        }
    }
}

impl Drop for ProcessorLimit {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread ends with its process running.
            let _ = thread.join();
        }
    }
}
