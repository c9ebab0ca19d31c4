//! Sends the origins of earlier streams to the holders once other VMs may need them.
//!
//! While a service runs a single software version, a VM keeps the origins of its streams to itself. Another version may be
//! listed at any time, and from then on no other VM can continue these streams without their origins. They are therefore
//! sent as soon as this VM learns of the version, not with the next stream that begins: this VM may end before that.

use crate::{
    direct::{fleet::FleetState, holder_client::HolderClient},
    event,
    events::Event,
};
use hoplanding_core::ids::ServiceName;
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Maximum time between two checks for origins that are due.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two checks, as the tables change with every target that starts or leaves.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Worker that reports the origins of earlier streams.
pub struct OriginReporter {
    fleet: Arc<FleetState>,
    holder_client: Arc<HolderClient>,
}

impl OriginReporter {
    /// Reporter of this VM.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, holder_client: Arc<HolderClient>) -> Self {
        Self {
            fleet,
            holder_client,
        }
    }

    /// Reports until the process ends.
    pub async fn run(self) {
        let mut changes = self.fleet.watch();
        loop {
            for service in self.fleet.unsent_services() {
                self.report(&service);
            }
            sleep(MIN_CHECK_INTERVAL).await;
            // `FleetState` keeps the sender alive.
            let _ = timeout(MAX_CHECK_INTERVAL, changes.changed()).await;
        }
    }

    /// Reports all streams of a service whose origins are due. Without a holder they are kept until the next check.
    fn report(&self, service: &ServiceName) {
        let mut count = 0;
        loop {
            let origins = self.fleet.take_due_origins(service);
            if origins.is_empty() {
                break;
            }
            if !self.holder_client.report_streams(&origins) {
                self.fleet.return_unsent(service, &origins);
                break;
            }
            count += origins.len();
        }
        if count > 0 {
            event!(
                Event::OriginsReported,
                "{count} streams of {service} that began while it ran one software version, or without a holder to tell"
            );
        }
    }
}
