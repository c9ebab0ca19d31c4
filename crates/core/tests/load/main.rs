//! Loads of heavy days played against the planner of one zone in virtual time, and what callers get from it.
//!
//! A test says which load it plays, on which engines, and checks shares in time, late, refused and unserved. Arrivals,
//! sizes and adapters come from a fixed seed.

mod fetching;
mod plain;
mod play;
mod quotas;
mod speeds;
mod stores;
mod zones;
