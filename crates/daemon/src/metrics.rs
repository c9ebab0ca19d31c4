//! Metrics by statsd over UDP; off unless the settings name an address.

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

/// Counts, gauges and timers of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    client: Arc<StatsdClient>,
}

impl DaemonMetrics {
    /// Metrics that go to `address`, or nowhere.
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

    /// Counts one.
    pub fn count(&self, key: &str) {
        // A lost metric is no reason to disturb a request.
        let _ = self.client.incr(key);
    }

    /// Sets a gauge.
    pub fn gauge(&self, key: &str, value: u64) {
        let _ = self.client.gauge(key, value);
    }

    /// Records a span.
    pub fn time(&self, key: &str, span: Duration) {
        let _ = self.client.time(key, span);
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
