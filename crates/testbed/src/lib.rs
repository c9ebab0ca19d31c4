//! Whole small sites in one process: the stand-ins, daemons over real sockets, and a caller.
//!
//! | module | job |
//! |---|---|
//! | [`site`] | starts a site, and makes it fail |
//! | [`caller`] | sends requests as a caller, and says what came back |
//! | [`usage`] | processor time and memory of this process |
//! | [`load`] | a mix of requests, and the report of what became of it |

pub mod caller;
pub mod load;
pub mod site;
pub mod usage;

pub use caller::{CallResult, CallerClient, CompletionCall};
pub use load::{LoadConfig, LoadReport, run_load};
pub use site::{SiteConfig, TargetSpec, TestSite};
