//! Small stand-ins of the systems that hoplanding serves: the platform, an engine, a plain service and a link that
//! can be cut. They record each broken promise, so that tests and examples read the truth from them.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the log with offsets and retention, and the list of VMs |
//! | [`engine`] | a model engine with adapter slots and continuous batching |
//! | [`weights`] | the weight store, shared by the engines of a site |
//! | [`service`] | a plain service whose calls count |
//! | [`kept_memory`] | what engines keep of prompts, by the version that made it |
//! | [`keyed_log`] | the users' log of keyed topics, as the direct mode reads it |
//! | [`raw_target`] | a target whose answers are given as bytes |
//! | [`relay`] | a TCP link that can be cut or frozen |

pub mod engine;
pub mod keyed_log;
pub mod platform;
pub mod prompt_cache;
pub mod raw_target;
pub mod relay;
pub mod service;
pub mod weights;

mod server;

pub use server::RunningServer;
