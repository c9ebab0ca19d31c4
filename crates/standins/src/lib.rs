//! In-process stand-ins for the systems around hoplanding: the platform, model engines, plain services and network
//! links.
//!
//! Tests, examples and load runs start them on loopback ports and inject faults. The stand-ins speak the same
//! protocols as the real systems. The engine records violations of its protocol and the service counts how often each
//! call ran, so a test can compare what happened with what the daemons reported.
//!
//! | module | stands in for |
//! |---|---|
//! | [`platform`] | the append-only log with offsets and retention, and the list of VMs |
//! | [`engine`] | a model engine with adapter slots and continuous batching |
//! | [`weights`] | the rate-limited weight store that the engines of a site share |
//! | [`service`] | a plain service that counts how often each call ran |
//! | [`prompt_cache`] | the prompt caches of engines, tagged with the adapter version that computed each part |
//! | [`keyed_log`] | the users' platform as the direct mode uses it: a log of keyed topics |
//! | [`raw_target`] | a target whose responses are given byte for byte |
//! | [`endless_target`] | a target that answers without end |
//! | [`path_cuts`] | network paths from single VMs to targets that can be cut |
//! | [`relay`] | a TCP link that can be cut or frozen |

pub mod endless_target;
pub mod engine;
pub mod keyed_log;
pub mod path_cuts;
pub mod platform;
pub mod prompt_cache;
pub mod raw_target;
pub mod relay;
pub mod service;
pub mod weights;

mod server;

pub use server::RunningServer;
