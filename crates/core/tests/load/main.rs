//! Load tests of the placement planners in virtual time.
//!
//! Each test simulates a peak load on a set of engines or targets and checks the shares of calls that are in time,
//! late, refused or unserved. Arrivals, sizes and adapters are drawn from fixed seeds.

mod fetching;
mod plain;
mod plain_zones;
mod quota_returns;
mod quotas;
mod scarce_slots;
mod simulation;
mod speeds;
mod stores;
mod uneven_plain;
mod zones;
