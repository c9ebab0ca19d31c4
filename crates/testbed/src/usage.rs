//! CPU time and memory of this process, from Linux's `/proc`.

use std::fs;

/// Unit of CPU times in `/proc` (`USER_HZ`); 100 on all supported Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
/// Unit of memory sizes in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process, in bytes; 0 if it can't be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}

/// CPU time in seconds of all live threads whose name starts with `prefix`; 0 if it can't be read.
#[must_use]
pub fn thread_cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats = tasks
        .flatten()
        .filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats
        .filter_map(|stat| parse_cpu_seconds(&stat, prefix))
        .sum()
}

fn parse_cpu_seconds(stat: &str, prefix: &str) -> Option<f64> {
    let (before, after) = stat.rsplit_once(')')?;
    let (_, name) = before.split_once('(')?;
    if !name.starts_with(prefix) {
        return None;
    }
    // Fields 14 (utime) and 15 (stime); `after` starts with field 3.
    let mut fields = after.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
