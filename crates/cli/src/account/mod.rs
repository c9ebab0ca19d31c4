//! Summary of late, refused and failed requests by cause, built from the logs of several daemons.
//!
//! | module | purpose |
//! |---|---|
//! | [`requests`] | groups log lines by request |
//! | [`cause`] | classifies how and why one request ended |
//! | [`summary`] | counts by route, zone, time span and cause, with the requests held longest |
//!
//! Requests that were answered in time leave a log line only if the answer was a stream. The summary therefore gives the
//! number of late, refused and failed requests, but not their share of all requests.

pub mod cause;
pub mod requests;
pub mod summary;

pub use requests::RequestLog;
pub use summary::{AccountTable, summarize};
