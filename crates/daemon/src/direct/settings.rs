//! The settings of the direct mode.

use crate::options::{
    LogSettings, SectionReader, SettingsError, parse_settings, read_log_settings,
};
use hoplanding_core::{
    direct::{
        freshness::RevocationRule, lease::LeaseTimeouts, policy::PlacementPolicy,
        quotas::QuotaBounds, restore_guard::RewriteRule, retry_budget::RetryBudgetRule,
        trials::TrialRule,
    },
    ids::{AvailabilityZone, VmName},
};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};

/// Part of the time until a configuration has to be in force that is left for reading it and passing it on.
const CONFIG_MARGIN: Duration = Duration::from_millis(600);

/// Part of the time until callers have to be served again after a loss of all VMs that is left for the start.
const START_TIME: Duration = Duration::from_secs(3);

/// Settings of a daemon in direct mode.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Name of this VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Thousandths of a core that this VM has.
    pub cpu_millicores: u32,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether the VM takes callers.
    pub ready_address: SocketAddr,
    /// Where other VMs connect.
    pub peer_address: SocketAddr,
    /// Where metrics collectors ask; none for nowhere.
    pub metrics_address: Option<SocketAddr>,
    /// The platform's log.
    pub platform_address: SocketAddr,
    /// All availability zones.
    pub zones: Vec<AvailabilityZone>,
    /// Whether the whole fleet starts for the first time, before there are callers.
    pub is_first_start: bool,
    /// The fleet's rule for repeats.
    pub retries: RetryBudgetRule,
    /// How long a key that was taken away may still be served; none where a VM that is out of touch need not know.
    pub revocation: Option<RevocationRule>,
    /// How long operators take to write again what a copy of the log lacks.
    pub recovery: RewriteRule,
    /// How exactly quotas are kept.
    pub quotas: QuotaBounds,
    /// Pauses before trials of requests under which targets ended.
    pub trials: TrialRule,
    /// Spans that decide about claims.
    pub leases: LeaseTimeouts,
    /// Whether engines refuse orders with an older fencing token than one that they have seen.
    pub has_order_fencing: bool,
    /// What decisions weigh.
    pub policy: PlacementPolicy,
    /// Pauses and bounds.
    pub timing: TimingSettings,
    /// Logs.
    pub log: LogSettings,
}

/// Pauses and bounds of the direct mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Pause between two reads of the target list.
    pub list_interval: Duration,
    /// Shortest pause between two reads of the configuration.
    pub min_config_interval: Duration,
    /// Longest time that a holder's read of the configuration waits for a change.
    pub max_config_wait: Duration,
    /// Time after which a call to the log counts as unanswered.
    pub platform_timeout: Duration,
    /// Time from the stop signal until open connections are told to end.
    pub drain_delay: Duration,
    /// Time from the stop signal to the exit.
    pub stop_timeout: Duration,
}

impl DirectSettings {
    /// Whether a settings file asks for the direct mode.
    #[must_use]
    pub fn is_direct_mode(text: &str) -> bool {
        serde_json::from_str::<Value>(text)
            .is_ok_and(|value| value.get("mode").and_then(Value::as_str) == Some("direct"))
    }

    /// Reads settings from JSON.
    ///
    /// # Errors
    /// Lists every fault with its key, value and remedy.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        parse_settings(text, read_settings)
    }
}

fn read_settings(root: &SectionReader<'_>) -> DirectSettings {
    root.choice("mode", "direct", &["direct"]);
    DirectSettings {
        vm: VmName::new(&root.text("vm", "write the name of this VM")),
        zone: AvailabilityZone::new(&root.text("zone", "write the name of its availability zone")),
        cpu_millicores: (root.fraction("cores", 1.0, 0.001, 1024.0) * 1000.0) as u32,
        caller_address: root.address("caller_address"),
        ready_address: root.address("ready_address"),
        peer_address: root.address("peer_address"),
        metrics_address: root.optional_address("metrics_address"),
        platform_address: root.address("platform_address"),
        zones: root
            .text_list("zones", "write the names of all availability zones")
            .iter()
            .map(|zone| AvailabilityZone::new(zone))
            .collect(),
        is_first_start: root.boolean("first_start"),
        retries: root.section("retries", read_retries),
        revocation: root.section("revocation", read_revocation),
        recovery: root.section("recovery", read_recovery),
        quotas: root.section("quotas", read_quotas),
        trials: root.section("trials", read_trials),
        leases: root.section("leases", read_leases),
        has_order_fencing: root.boolean("orders_fenced"),
        policy: root.section("policy", read_policy),
        timing: root.section("pace", read_timing),
        log: root.section("log", read_log_settings),
    }
}

fn read_retries(section: &SectionReader<'_>) -> RetryBudgetRule {
    RetryBudgetRule {
        ratio: section.fraction("ratio", 0.2, 0.0, 1e6),
        extra_retries: section.fraction("slack", 50.0, 0.0, 1e9),
        window: Duration::from_secs_f64(section.fraction("window_s", 10.0, 0.1, 86_400.0)),
    }
}

fn read_revocation(section: &SectionReader<'_>) -> Option<RevocationRule> {
    let bound = section.fractional_millis("bound_ms", 5000, 500, 86_400_000);
    section
        .boolean("strict")
        .then_some(RevocationRule { bound })
}

fn read_recovery(section: &SectionReader<'_>) -> RewriteRule {
    let recovered = Duration::from_secs_f64(section.fraction("bound_s", 15.0, 0.0, 86_400.0));
    RewriteRule {
        rewrite_time: recovered.saturating_sub(START_TIME),
    }
}

fn read_quotas(section: &SectionReader<'_>) -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs_f64(section.fraction("window_s", 10.0, 0.1, 86_400.0)),
        tolerance_ratio: section.fraction("over", 0.1, 0.0, 10.0),
        tolerance_units: section.fraction("slack", 0.0, 0.0, 1e15),
    }
}

fn read_trials(section: &SectionReader<'_>) -> TrialRule {
    TrialRule {
        pause: section.fractional_millis("pause_ms", 30_000, 0, 86_400_000),
        long_pause: section.fractional_millis("long_pause_ms", 3_600_000, 0, 86_400_000),
    }
}

fn read_leases(section: &SectionReader<'_>) -> LeaseTimeouts {
    LeaseTimeouts {
        holder_timeout: section.fractional_millis("silence_ms", 1500, 100, 60_000),
        stagger: section.fractional_millis("stagger_ms", 120, 0, 10_000),
        handover_delay: section.fractional_millis("turn_ms", 3000, 0, 600_000),
    }
}

/// Weights and limits of decisions; docs/POLICY.md says where each value comes from.
fn read_policy(section: &SectionReader<'_>) -> PlacementPolicy {
    let known = PlacementPolicy::default();
    let part = |name, value| section.fraction(name, value, 0.0, 100.0);
    let span = |name, value: Duration| {
        let known = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        section.fractional_millis(name, known, 0, 600_000)
    };
    let count = |name, value: usize| section.number(name, value as u64, 0, 100_000) as usize;
    let [urgent, normal, batch] = known.max_wait_factors;
    PlacementPolicy {
        home_wait_fraction: part("swift_part", known.home_wait_fraction),
        max_wait_factors: [
            part("bearable_urgent", urgent),
            part("bearable_normal", normal),
            part("bearable_batch", batch),
        ],
        popular_rate_per_s: part("popular_per_s", known.popular_rate_per_s),
        remote_zone_penalty: span("away_price_ms", known.remote_zone_penalty),
        load_penalty: span("load_price_ms", known.load_penalty),
        reload_penalty: span("reload_price_ms", known.reload_penalty),
        cache_fetch_time: span("fetch_time_ms", known.cache_fetch_time),
        min_fetch_saving: span("fetch_gain_ms", known.min_fetch_saving),
        max_recent_adapters: count("lately_kept", known.max_recent_adapters),
        crowded_slot_fraction: part("crowded_places", known.crowded_slot_fraction),
        crowded_backlog: span("crowded_backlog_ms", known.crowded_backlog),
        crowding_call_fraction: part("crowding_part", known.crowding_call_fraction),
        hot_adapter_fraction: part("sought_part", known.hot_adapter_fraction),
        speculative_load_fraction: part("spare_part", known.speculative_load_fraction),
        busy_fraction: part("busy_part", known.busy_fraction),
        doubt_penalty: span("doubt_price_ms", known.doubt_penalty),
        failure_penalty: span("failing_price_ms", known.failure_penalty),
        shed_penalty: span("shed_price_ms", known.shed_penalty),
    }
}

fn read_timing(section: &SectionReader<'_>) -> TimingSettings {
    TimingSettings {
        list_interval: section.fractional_millis("list_every_ms", 1000, 10, 60_000),
        min_config_interval: section.fractional_millis("config_every_ms", 200, 0, 60_000),
        max_config_wait: section
            .fractional_millis("config_bound_ms", 2000, 0, 86_400_000)
            .saturating_sub(CONFIG_MARGIN),
        platform_timeout: section.fractional_millis("platform_timeout_ms", 900, 10, 60_000),
        drain_delay: section.fractional_millis("stop_notice_ms", 2500, 0, 60_000),
        stop_timeout: section.fractional_millis("stop_bound_ms", 7700, 100, 3_600_000),
    }
}
