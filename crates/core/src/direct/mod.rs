//! Decisions of the direct data path: gateways send straight to targets, and one holder a zone gives the orders.
//!
//! | module | job |
//! |---|---|
//! | [`config`] | the fleet's configuration: routes, services, engines, limits |
//! | [`routes`] | from host and path to a route |
//! | [`catalog`] | the targets that may be sent to, and those that lapsed |
//! | [`duty`] | which VMs of a zone read the platform's log |
//! | [`contact`] | since when the platform's log has been in reach |
//! | [`lease`] | which VM gives the orders in a zone |
//! | [`plain`] | which target of a plain service a call goes to |
//! | [`planner`] | the holder's view of its engines: where calls go, what is loaded and unloaded |
//! | [`engine`] | one engine in that view |
//! | [`policy`] | what placing and refusing weigh |
//! | [`loading`] | how many loads from the weight store may be on their way, and how long one takes |
//! | [`reading`] | how fast engines read prompts, and what each still has to read |
//! | [`search`] | which zones a gateway asks to take a call, and on which terms |
//! | [`streams`] | how long a stream may take |
//! | [`demand`] | how often each adapter is asked for |
//! | [`health`] | doubt about targets, from the outcomes of calls |
//! | [`versions`] | which version of an adapter a copy has, and how that is known |
//! | [`organisations`] | for whom a caller acts, by its key |
//! | [`freshness`] | since when the configuration in force is known to be the newest |
//! | [`copy_doubt`] | whether the operators' records in the log may lack the newest |
//! | [`quotas`] | organisations' quotas over the whole fleet |
//! | [`notices`] | what a target says of itself in an answer |
//! | [`rests`] | spans in which targets want nothing from this VM |
//! | [`limits`] | how many requests a second a target takes |
//! | [`suspects`] | requests under which targets ended |
//! | [`trials`] | when a suspect may run again, and one at a time |
//! | [`budget`] | this VM's share of the fleet's retry budget |

pub mod backoffs;
pub mod catalog;
pub mod config;
pub mod demand;
pub mod engine;
pub mod freshness;
pub mod health;
pub mod lease;
pub mod limits;
pub mod load_limiter;
pub mod log_contact;
pub mod log_readers;
pub mod organisations;
pub mod plain;
pub mod planner;
pub mod policy;
pub mod prefill;
pub mod quotas;
pub mod restore_guard;
pub mod retry_budget;
pub mod routes;
pub mod search;
pub mod stream_estimate;
pub mod suspects;
pub mod target_notices;
pub mod trials;
pub mod versions;

use crate::ids::AvailabilityZone;
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

/// Zones in an order that follows from a key, the same on all VMs.
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

/// A span in whole milliseconds, as messages and settings carry it.
#[must_use]
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
