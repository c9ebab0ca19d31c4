//! A fault soak: real daemons as processes, faults from outside, promises checked on what callers, targets and the log
//! saw.
//!
//! | module | job |
//! |---|---|
//! | [`schedule`] | the faults of a seed |
//! | [`history`] | what was seen, in order |
//! | [`checks`] | the promises, checked on a history |
//! | [`shelf`] | the adapters of an engine, and its orders |
//! | [`organisations`] | callers' keys, which configurations take away, and quotas |
//! | [`prompts`] | what prompts consist of, and how long an engine reads one |
//! | [`targets`] | engines and a plain service that write down what reaches them |
//! | [`fleet`] | the daemons: started, paused, killed and stopped by their process ids |
//! | [`callers`] | requests through the daemons, and what came back |
//! | [`run`] | one seed from start to report |
//! | [`report`] | the outcome as text and as a page |

pub mod adapter_store;
pub mod callers;
pub mod checks;
pub mod fleet;
pub mod history;
pub mod organisations;
pub mod prompts;
pub mod report;
pub mod run;
pub mod schedule;
pub mod targets;
