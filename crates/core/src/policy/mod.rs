//! Popularity, loads, eviction, dispatch, routing and limits.
//!
//! A gateway's [`TargetRouter`] chooses the target of each request from digests that lag. The target's holder keeps a
//! [`TargetScheduler`], which alone decides what is dispatched, loaded and evicted there. The site's loads are put in
//! order by [`LoadArbiter`]: soft state, whose mistakes cost speed and never safety.

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
