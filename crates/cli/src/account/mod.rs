//! What became of requests, and why, from the logs of several daemons.
//!
//! | module | job |
//! |---|---|
//! | [`requests`] | what the lines say of each request |
//! | [`cause`] | why one was late, refused or failed |
//! | [`sums`] | counts by route, zone, span and cause, with the ids of the worst |
//!
//! Requests that were answered in time leave a line only if their answer was a stream. So the sums tell how many were late,
//! refused and failed; not what part of all requests they are.

pub mod cause;
pub mod requests;
pub mod sums;

pub use requests::RequestLog;
pub use sums::{AccountTable, account};
