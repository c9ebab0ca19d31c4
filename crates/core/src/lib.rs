//! Decisions of hoplanding without input or output.
//!
//! Everything here is a pure function of state, a message and the time that the caller passes in. Sockets, files,
//! timers and randomness live in the daemon round it.
//!
//! | module | job |
//! |---|---|
//! | [`ids`] | names and numbers that identify things |
//! | [`direct`] | the path on which gateways send straight to targets, and a zone has one holder |
//! | [`log`] | the records that daemons append to the platform's log |
//! | [`config`] | the fold of the log into the configuration, its audit trail and its snapshots |
//! | [`ownership`] | which daemon holds a target, and what it may order there |
//! | [`request`] | the life cycle of a request, idempotency tokens and callers' keys |
//! | [`policy`] | popularity, loads, eviction, dispatch, routing and limits |
//! | [`membership`] | which VMs are live, suspect, leaving or gone |
//! | [`language`] | the operators' query and command language |

pub mod config;
pub mod direct;
pub mod ids;
pub mod language;
pub mod log;
pub mod membership;
pub mod ownership;
pub mod policy;
pub mod request;
