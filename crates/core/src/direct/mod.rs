//! Decisions of the direct data path, without I/O: gateways send calls directly to targets, and the holder of each
//! zone's lease issues orders to the engines.
//!
//! | module | job |
//! |---|---|
//! | [`config`] | the fleet's configuration: routes, services, engines, limits |
//! | [`call_explanation`] | where a given request would go now, and why |
//! | [`routes`] | route of a request by host and path |
//! | [`catalog`] | targets that may be sent to, and pending removals |
//! | [`log_readers`] | which VMs of a zone read the platform's log |
//! | [`log_contact`] | when the platform's log was reachable |
//! | [`lease`] | which VM holds the lease of a zone and issues its orders |
//! | [`overload`], [`overload_limiter`] | whether a VM has more work than processor time, and what it takes then |
//! | [`zone_load`] | whether other VMs of the zone have processor time left |
//! | [`plain`] | which target of a plain service a call goes to |
//! | [`plain_pace`] | how fast the targets of plain services answer at present |
//! | [`planner`] | the holder's view of its engines: where calls go, what is loaded and unloaded |
//! | [`engine`] | one engine in that view |
//! | [`engine_services`] | which services have engines, and which of them a placement request is for |
//! | [`policy`] | what placing and refusing weigh |
//! | [`load_limiter`] | how many loads from the weight store may be in flight, and how long one takes |
//! | [`prefill`] | how fast engines prefill prompts, and the backlog of each |
//! | [`zone_choice`] | when a call leaves its gateway's zone, and for which one |
//! | [`search`] | which zones a gateway requests a placement from, and on which terms |
//! | [`shortage`] | capacity that a zone has left for a service |
//! | [`stream_origins`] | which software version began a stream |
//! | [`software_history`] | which software versions each service has run lately |
//! | [`stream_estimate`] | how long a stream may take |
//! | [`stop_window`] | which calls are still sent during a planned stop |
//! | [`demand`] | how often each adapter is requested |
//! | [`health`] | health of targets, from the outcomes of calls |
//! | [`versions`] | versions of models and adapters on engines, and the source of that knowledge |
//! | [`organisations`] | organisations that callers act for, by API key |
//! | [`freshness`] | proof that the configuration in force is the newest |
//! | [`restore_guard`] | whether a restored log may lack the newest records of the operators |
//! | [`quotas`] | quotas of organisations over the whole fleet |
//! | [`rank_reserve`] | what an organisation's more urgent calls have reserved of its quota |
//! | [`return_schedule`] | when the callers of refused calls should come back |
//! | [`target_notices`] | what a target states about itself in an answer |
//! | [`backoffs`] | backoff that targets request from this VM |
//! | [`limits`] | rate limits that targets advertise |
//! | [`rejections`] | calls that brittle targets may be sent at once |
//! | [`paths`] | whether this VM has a path to the targets of each zone |
//! | [`tunnel_peers`] | which VMs to ask for connections to targets that this VM can't reach |
//! | [`request_wait`] | when the wait for a caller's next request ends |
//! | [`suspects`] | requests that may crash their targets |
//! | [`trials`] | when a suspect may run again, one trial at a time |
//! | [`retry_budget`] | this VM's share of the fleet's retry budget |

pub mod answer_budget;
pub mod backoffs;
pub mod call_explanation;
pub mod catalog;
pub mod config;
pub mod demand;
pub mod engine;
pub mod engine_services;
pub mod freshness;
pub mod health;
pub mod lease;
pub mod lease_read;
pub mod limits;
pub mod load_limiter;
pub mod log_contact;
pub mod log_readers;
pub mod organisations;
pub mod overload;
pub mod overload_limiter;
pub mod paths;
pub mod plain;
pub mod plain_pace;
pub mod planner;
pub mod policy;
pub mod prefill;
pub mod quotas;
pub mod rank_reserve;
pub mod rejections;
pub mod reload_memory;
pub mod request_wait;
pub mod residency;
pub mod restore_guard;
pub mod retry_budget;
pub mod return_schedule;
pub mod routes;
pub mod search;
pub mod shortage;
pub mod software_history;
pub mod stop_window;
pub mod stream_estimate;
pub mod stream_origins;
pub mod suspects;
pub mod target_notices;
pub mod trials;
pub mod tunnel_peers;
pub mod versions;
pub mod zone_choice;
pub mod zone_load;

use crate::ids::AvailabilityZone;
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

/// Zones in the order of rendezvous hashing with a key, the same on all VMs.
fn zones_ranked_by(key: impl Hash, zones: &[AvailabilityZone]) -> Vec<AvailabilityZone> {
    let mut zones = zones.to_vec();
    zones.sort_by_cached_key(|zone| {
        let mut hasher = SipHasher13::new();
        key.hash(&mut hasher);
        zone.as_str().hash(&mut hasher);
        hasher.finish()
    });
    zones
}

/// A duration in whole milliseconds for messages and settings; saturates at [`u32::MAX`].
#[must_use]
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
