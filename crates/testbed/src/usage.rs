//! What this process and its threads use, as the system counts it.

use std::fs;

/// Clock ticks a second of `/proc`, as on every Linux that this runs on.
const TICKS: f64 = 100.0;
/// Bytes of a page.
const PAGE: u64 = 4096;

/// Resident memory of this process, in bytes.
#[must_use]
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// Processor seconds of the threads whose name starts with a prefix.
#[must_use]
pub fn thread_cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| seconds_of(&stat, prefix)).sum()
}

fn seconds_of(stat: &str, prefix: &str) -> Option<f64> {
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    let mut fields = after.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}
