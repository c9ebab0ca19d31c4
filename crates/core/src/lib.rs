//! Decision logic of hoplanding, without input or output.
//!
//! All decisions are deterministic functions of a state, a message and the time passed in. Sockets, files, timers and
//! randomness belong to the daemon that uses this crate.
//!
//! | module | purpose |
//! |---|---|
//! | [`ids`] | identifiers: names, log positions, incarnations and points in time |
//! | [`direct`] | direct data path: gateways send requests straight to targets, and one holder per zone sends orders |
//! | [`log`] | records that daemons append to the platform's log, and the state folded from them |
//! | [`config`] | configuration folded from the log, with its audit trail |
//! | [`ownership`] | which daemon holds a target, and which orders it may send there |
//! | [`request`] | life cycle of requests, retries, idempotency tokens and callers' keys |
//! | [`policy`] | popularity, adapter loads, eviction, dispatch, routing and limits |
//! | [`membership`] | failure detection: which VMs are live, suspect, leaving or gone |
//! | [`language`] | query and command language for operators |

pub mod config;
pub mod direct;
pub mod ids;
pub mod language;
pub mod log;
pub mod membership;
pub mod ownership;
pub mod policy;
pub mod request;
