//! Complete small sites in one process: stand-ins, daemons over real sockets, and clients, for tests and benchmarks.
//!
//! | module | purpose |
//! |---|---|
//! | [`site`] | starts a site and injects faults |
//! | [`caller`] | HTTP client of callers and operators |
//! | [`usage`] | CPU time and memory of this process |
//! | [`load`] | load generator with a report of the outcomes |

pub mod caller;
pub mod load;
pub mod site;
pub mod usage;

pub use caller::{CallResult, CallerClient, CompletionCall};
pub use load::{LoadConfig, LoadReport, run_load};
pub use site::{SiteConfig, TargetSpec, TestSite};
