//! Limits on the processor time of daemons: a process runs until it has used its slice of a period, and is stopped for the rest.
//! Processes are stopped and continued by their ids.

use crate::fleet::SoakVm;
use nix::sys::signal::Signal;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Period in which a limited process may use its slice once.
pub const LIMIT_PERIOD: Duration = Duration::from_millis(50);
/// Interval at which the processor time of a running process is read.
const POLL_INTERVAL: Duration = Duration::from_micros(500);

/// Limits the processor time of VMs until dropped.
pub struct ProcessorLimit {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl ProcessorLimit {
    /// Lets each VM use `slice` of processor time in every [`LIMIT_PERIOD`].
    #[must_use]
    pub fn start(vms: &[Arc<SoakVm>], slice: Duration) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = vms.iter().cloned().map(|vm| {
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                let mut overrun = Duration::ZERO;
                while !is_over.load(Ordering::Relaxed) {
                    overrun = run_period(&vm, slice, overrun);
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_over,
        }
    }
}

/// Limits a VM for one period. Takes the time by which it exceeded its slice before, and returns by how much it has now.
fn run_period(vm: &SoakVm, slice: Duration, overrun: Duration) -> Duration {
    let end = Instant::now() + LIMIT_PERIOD;
    let before = vm.processor_time();
    let mut used = overrun;
    while used < slice && Instant::now() < end {
        thread::sleep(POLL_INTERVAL);
        if let (Some(before), Some(now)) = (before, vm.processor_time()) {
            used = overrun + now.saturating_sub(before);
        }
    }
    if used >= slice {
        vm.signal(Signal::SIGSTOP);
        thread::sleep(end.saturating_duration_since(Instant::now()));
        vm.signal(Signal::SIGCONT);
    }
    used.saturating_sub(slice)
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
