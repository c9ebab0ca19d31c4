//! Routing, queueing, dispatch, adapter loads, eviction and caller limits.
//!
//! A gateway's [`TargetRouter`] chooses the target of each request from digests that may be stale. The target's holder
//! runs a [`TargetScheduler`], which alone decides what is dispatched, loaded and evicted there. A [`LoadArbiter`]
//! orders the loads of all holders; it works on soft state, so wrong decisions cost speed but never correctness.

mod digest;
mod limits;
mod loads;
mod popularity;
mod queue;
mod router;
mod scheduler;
mod weights;

pub use digest::{ResidentDigest, TargetDigest};
pub use limits::{CallerLimits, QuotaBucket};
pub use loads::{LoadArbiter, LoadBackoff, LoadBid, LoadNotice};
pub use popularity::{DemandEstimator, PopularityTracker, RateEstimate};
pub use queue::{AdapterQueue, QueuedRequest, WaitingQueue};
pub use router::{RouteChoice, RouteQuery, TargetRouter};
pub use scheduler::{
    AdapterState, DispatchOrder, ResidentAdapter, SchedulerLimits, TargetScheduler,
};
pub use weights::{PolicyWeights, WeightInfo, WeightPreset};
