//! Fault soak test. It runs real daemons as processes, injects faults from outside and checks the system's guarantees
//! against the events that callers, targets and the log recorded.
//!
//! | module | content |
//! |---|---|
//! | [`schedule`] | fault schedules drawn from a seed |
//! | [`history`] | timestamped events of a run |
//! | [`checks`] | guarantees, checked against a history |
//! | [`adapter_store`] | base model and adapters of an engine, and orders that change them |
//! | [`organisations`] | API keys of callers, their revocation, and quotas |
//! | [`prompts`] | prompts of callers and the time to process them |
//! | [`stream_text`] | events that name the software version of their target |
//! | [`targets`] | stand-ins for engines and plain services that record what they receive |
//! | [`processor_limits`] | limits on the processor time of daemons |
//! | [`fleet`] | VMs with their daemon processes |
//! | [`callers`] | requests to the daemons and their outcomes |
//! | [`resident_callers`] | callers that keep their connections |
//! | [`run`] | a single run from start to outcome |
//! | [`report`] | outcomes as text and as an HTML page |

pub mod adapter_store;
pub mod callers;
pub mod checks;
pub mod fleet;
pub mod history;
pub mod organisations;
pub mod processor_limits;
pub mod prompts;
pub mod report;
pub mod resident_callers;
pub mod run;
pub mod schedule;
pub mod stream_text;
pub mod targets;
