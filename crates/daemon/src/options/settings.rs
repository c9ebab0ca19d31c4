//! Settings of the mode in which requests go through the target's holder, with defaults and bounds.

use crate::options::reader::{SectionReader, SettingsError, parse_settings, read_settings_file};
use hoplanding_core::{config::OperatorRole, membership::MembershipTimeouts};
use std::{net::SocketAddr, time::Duration};

/// Settings of a daemon in this mode.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM, as the platform lists it.
    pub vm: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Listening address for callers and operators.
    pub caller_address: SocketAddr,
    /// Listening address for other daemons.
    pub peer_address: SocketAddr,
    /// Address that other daemons dial, if it differs from the listening address.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Secret that all daemons of the fleet share.
    pub peer_secret: String,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Peers known before the VM list is read.
    pub seeds: Vec<SeedSettings>,
    /// Operators that may sign on before the configuration lists any.
    pub operators: Vec<OperatorSettings>,
    /// Callers in addition to those of the configuration.
    pub callers: Vec<CallerSettings>,
    /// Limits on requests and loads.
    pub limits: LimitSettings,
    /// Heartbeats and failure detection.
    pub membership: MembershipSettings,
    /// Number of records between two snapshots in the log.
    pub snapshot_record_interval: u64,
    /// Delays of a planned stop.
    pub stop: StopSettings,
    /// Log output.
    pub log: LogSettings,
    /// Address of the statsd server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
}

/// Address and timing of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// `IP:port` of the log service and the VM list.
    pub address: SocketAddr,
    /// Time limit for an answer; after it the answer counts as lost.
    pub timeout: Duration,
    /// Interval between two reads of the VM list.
    pub vm_list_interval: Duration,
}

/// A peer known before the VM list is read.
#[derive(Clone, Debug)]
pub struct SeedSettings {
    /// Name of the peer's VM.
    pub vm: String,
    /// Availability zone of the peer.
    pub zone: String,
    /// `IP:port` of the peer interface.
    pub peer_address: SocketAddr,
}

/// An operator known without the configuration.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Name.
    pub name: String,
    /// Bearer token.
    pub token: String,
    /// Role that grants its rights.
    pub role: OperatorRole,
}

/// A caller known without the configuration.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Name.
    pub name: String,
    /// Bearer token.
    pub token: String,
}

/// Limits on requests and loads.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Largest number of requests waiting for one target.
    pub max_waiting_per_target: usize,
    /// Largest number of open requests at this daemon.
    pub max_open_requests: usize,
    /// Time limit for a request; callers may ask for less.
    pub max_request_time: Duration,
    /// Time limit for receiving a request body.
    pub body_timeout: Duration,
    /// Largest number of answers kept for repeated calls with an idempotency token.
    pub max_kept_answers: usize,
    /// Largest number of concurrent adapter loads from the weight store.
    pub max_concurrent_loads: u32,
}

/// Heartbeats and failure detection.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Shortest interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Timeouts of failure detection.
    pub timeouts: MembershipTimeouts,
}

/// Delays of a planned stop.
#[derive(Clone, Debug)]
pub struct StopSettings {
    /// Time for the load balancer to see `/readyz` fail.
    pub drain_delay: Duration,
    /// Time after which the daemon exits even if requests are still open.
    pub timeout: Duration,
}

/// Log output.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Lowest level that is written.
    pub level: String,
    /// Log file; `None` for standard output.
    pub file: Option<String>,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    /// Lists every fault with its key, value and remedy.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        Self::parse(&read_settings_file(path)?)
    }

    /// Parses settings from JSON.
    ///
    /// # Errors
    /// Lists every fault with its key, value and remedy.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        parse_settings(text, read_settings)
    }
}

fn read_settings(root: &SectionReader<'_>) -> Settings {
    Settings {
        vm: root.text("vm", "write the name of this VM, as the platform lists it"),
        zone: root.text("zone", "write the name of this VM's availability zone"),
        caller_address: root.address("caller_address"),
        peer_address: root.address("peer_address"),
        advertised_peer_address: root.optional_address("advertised_peer_address"),
        peer_secret: root.text(
            "peer_secret",
            "write the secret that all daemons of the fleet share",
        ),
        platform: root.section("platform", read_platform),
        seeds: root.sections("seeds", read_seed),
        operators: root.sections("operators", read_operator),
        callers: root.sections("callers", read_caller),
        limits: root.section("limits", read_limits),
        membership: root.section("membership", read_membership),
        snapshot_record_interval: root.number("snapshot_every", 2000, 10, 1_000_000),
        stop: root.section("stop", read_stop),
        log: root.section("log", read_log_settings),
        statsd: root.optional_address("statsd"),
    }
}

fn read_platform(section: &SectionReader<'_>) -> PlatformSettings {
    PlatformSettings {
        address: section.address("address"),
        timeout: section.millis("timeout_ms", 2000, 10, 60_000),
        vm_list_interval: section.millis("list_every_ms", 1000, 10, 60_000),
    }
}

fn read_seed(section: &SectionReader<'_>) -> SeedSettings {
    SeedSettings {
        vm: section.text("vm", "write the VM's name"),
        zone: section.text("zone", "write its availability zone"),
        peer_address: section.address("peer_address"),
    }
}

fn read_operator(section: &SectionReader<'_>) -> OperatorSettings {
    let role = section.choice("role", "reader", &["reader", "editor", "admin"]);
    OperatorSettings {
        name: section.text("name", "write the operator's name"),
        token: section.text("token", "write the operator's bearer token"),
        role: match role.as_str() {
            "admin" => OperatorRole::Admin,
            "editor" => OperatorRole::Editor,
            _ => OperatorRole::Reader,
        },
    }
}

fn read_caller(section: &SectionReader<'_>) -> CallerSettings {
    CallerSettings {
        name: section.text("name", "write the caller's name"),
        token: section.text("token", "write the caller's bearer token"),
    }
}

fn read_limits(section: &SectionReader<'_>) -> LimitSettings {
    LimitSettings {
        max_body_bytes: section.number("body_bytes", 1 << 20, 1024, 1 << 28) as usize,
        max_waiting_per_target: section.number("waiting_per_target", 512, 1, 100_000) as usize,
        max_open_requests: section.number("open_requests", 8192, 1, 1_000_000) as usize,
        max_request_time: section.millis("request_deadline_ms", 300_000, 10, 86_400_000),
        body_timeout: section.millis("body_timeout_ms", 10_000, 10, 600_000),
        max_kept_answers: section.number("kept_answers", 4096, 0, 1_000_000) as usize,
        max_concurrent_loads: section.number("loads_at_once", 1, 1, 64) as u32,
    }
}

fn read_membership(section: &SectionReader<'_>) -> MembershipSettings {
    MembershipSettings {
        heartbeat_interval: section.millis("heartbeat_ms", 200, 10, 10_000),
        timeouts: MembershipTimeouts {
            suspect_after: section.millis("suspect_after_ms", 1200, 50, 60_000),
            take_over_after: section.millis("take_over_after_ms", 6000, 100, 600_000),
            delivery_bound: section.millis("delivery_bound_ms", 5000, 100, 600_000),
        },
    }
}

fn read_stop(section: &SectionReader<'_>) -> StopSettings {
    StopSettings {
        drain_delay: section.millis("grace_ms", 1000, 0, 60_000),
        timeout: section.millis("bound_ms", 60_000, 100, 3_600_000),
    }
}

pub(crate) fn read_log_settings(section: &SectionReader<'_>) -> LogSettings {
    LogSettings {
        level: section.choice(
            "level",
            "info",
            &["error", "warn", "info", "debug", "trace"],
        ),
        file: section.optional_text("file", "write a path, or leave it out for standard error"),
    }
}
