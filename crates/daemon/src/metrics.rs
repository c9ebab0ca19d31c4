//! Metrics sent by statsd over UDP; disabled unless the settings name an address.

use cadence::{
    CountedExt, Gauged, MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
    UdpMetricSink,
};
use std::{
    net::{SocketAddr, UdpSocket},
    panic::RefUnwindSafe,
    sync::Arc,
    time::Duration,
};

/// Prefix of every metric.
const PREFIX: &str = "hoplanding";

/// Client for counters, gauges and timers.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    client: Arc<StatsdClient>,
}

impl DaemonMetrics {
    /// Creates a client that sends to `address`; without an address, or if no socket can be opened, metrics are discarded.
    #[must_use]
    pub fn new(address: Option<SocketAddr>) -> Self {
        let client = match address.and_then(udp_sink) {
            Some(sink) => client(QueuingMetricSink::from(sink)),
            None => client(NopMetricSink),
        };
        Self {
            client: Arc::new(client),
        }
    }

    /// Increments a counter.
    pub fn count(&self, key: &str) {
        // A lost metric must not fail a request.
        let _ = self.client.incr(key);
    }

    /// Sets a gauge.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }

    /// Records a duration in a timer.
    pub fn time(&self, key: &str, duration: Duration) {
        let _ = self.client.time(key, duration);
    }
}

fn udp_sink(address: SocketAddr) -> Option<UdpMetricSink> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    UdpMetricSink::from(address, socket).ok()
}

fn client(sink: impl MetricSink + Sync + Send + RefUnwindSafe + 'static) -> StatsdClient {
    StatsdClient::from_sink(PREFIX, sink)
}
