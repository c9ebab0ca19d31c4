//! The daemon of the direct mode: starts all its tasks and carries out a planned stop.
//!
//! A planned stop goes through the phases of [`StopPhase`]. The zone's lease is released as soon as another VM of the
//! zone can take it; without one, this VM issues the zone's orders until it exits.

use crate::{
    direct::{
        call::{GatewayContext, StopPlan},
        caller_connections::{OpenConnections, StopPhase, accept_callers},
        claims::{ClaimWorker, release_lease},
        explain::{CallExplainer, EXPLAIN_PATH},
        feeds::FeedWorker,
        fleet::FleetState,
        holder_client::HolderClient,
        links::accept_peers,
        message::FeedTopic,
        origin_reporter::OriginReporter,
        overload_control::OverloadControl,
        paths::{monitor::PathMonitor, tunnel_client::TunnelClient, tunnel_server::TunnelServer},
        probes::{metrics_response, readiness_response, serve_probes},
        reachability::StoreReachability,
        recorder::FleetRecorder,
        settings::DirectSettings,
        stream_archive::StreamArchive,
        suspect_records::SuspectRecorder,
        target_connections::ConnectionPool,
        zone::{ZoneEvent, ZoneWorker},
    },
    event,
    events::Event,
    logging::report_dropped_lines,
};
use rand::Rng;
use std::{
    io,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout},
};

/// Capacity of the zone worker's queue.
const ZONE_QUEUE_CAPACITY: usize = 1024;
/// Interval at which idle connections and expired state are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// CPU, in thousandths of a core, below which a VM delays its first listing when a fleet starts for the first time.
const SMALL_VM_MILLICORES: u32 = 200;
/// Minimum delay of such a VM; the maximum is three times as long, so that small VMs do not all list at the same time.
const MIN_SMALL_VM_DELAY: Duration = Duration::from_millis(700);
/// Period before the deadline of a planned stop in which no connections are accepted.
const ENDING_PERIOD: Duration = Duration::from_millis(250);
/// Interval between checks for open connections during a planned stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running daemon in direct mode.
pub struct DirectDaemon {
    settings: Arc<DirectSettings>,
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
    connections: Arc<OpenConnections>,
    tunnels: Arc<TunnelServer>,
    stop: watch::Sender<StopPhase>,
    plan: Arc<OnceLock<StopPlan>>,
    /// Address on which callers are accepted.
    pub caller_address: std::net::SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready_address: std::net::SocketAddr,
    /// Address of the metrics page, if the settings name one.
    pub metrics_address: Option<std::net::SocketAddr>,
}

impl DirectDaemon {
    /// Binds the listeners and starts the daemon's tasks, which run until the runtime is dropped.
    ///
    /// # Errors
    /// Returns the I/O error if an address cannot be bound.
    pub async fn start(settings: DirectSettings) -> io::Result<Self> {
        let caller_listener = TcpListener::bind(settings.caller_address).await?;
        let readiness_listener = TcpListener::bind(settings.ready_address).await?;
        let peer_listener = TcpListener::bind(settings.peer_address).await?;
        let metrics_listener = match settings.metrics_address {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let mut settings = settings;
        settings.peer_address = peer_listener.local_addr()?;
        let metrics_address = match &metrics_listener {
            Some(bound_listener) => Some(bound_listener.local_addr()?),
            None => None,
        };
        let caller_address = caller_listener.local_addr()?;
        let ready_address = readiness_listener.local_addr()?;
        let settings = Arc::new(settings);
        let incarnation = rand::random::<u64>() >> 16;
        let fleet = Arc::new(FleetState::new(&settings, incarnation));
        fleet.tables().own_addresses = vec![caller_address, ready_address, settings.peer_address];
        let source = settings.target_source_address;
        let paths = Arc::new(PathMonitor::new(Arc::clone(&fleet), source));
        tokio::spawn(Arc::clone(&paths).run());
        let tunnel_client = TunnelClient::new(Arc::clone(&fleet), Arc::clone(&paths));
        let tunnel_client = Arc::new(tunnel_client);
        tokio::spawn(Arc::clone(&tunnel_client).run());
        let tunnel_server = TunnelServer::new(Arc::clone(&fleet), Arc::clone(&paths));
        let tunnel_server = Arc::new(tunnel_server);
        let pool = ConnectionPool::new(Arc::clone(&paths), Arc::clone(&tunnel_client));
        let pool = Arc::new(pool);
        let (zone, zone_receiver) = mpsc::channel(ZONE_QUEUE_CAPACITY);
        let (stop, stop_watch) = watch::channel(StopPhase::Serving);
        let holder_client = Arc::new(HolderClient::new(Arc::clone(&fleet), zone.clone()));
        let connections = Arc::new(OpenConnections::default());
        event!(
            Event::Started,
            "{} in {}: callers {caller_address}, peers {}",
            settings.vm,
            settings.zone,
            settings.peer_address
        );
        start_feeds(&settings, &fleet, &holder_client);
        let worker = ZoneWorker::new(
            Arc::clone(&fleet),
            Arc::clone(&pool),
            zone.clone(),
            Arc::clone(&settings),
        );
        tokio::spawn(worker.run(zone_receiver));
        tokio::spawn(accept_peers(
            peer_listener,
            Arc::clone(&fleet),
            zone.clone(),
            Arc::clone(&tunnel_server),
        ));
        let claims = ClaimWorker {
            fleet: Arc::clone(&fleet),
            holder_client: Arc::clone(&holder_client),
            paths,
            settings: Arc::clone(&settings),
            stop: stop_watch.clone(),
        };
        tokio::spawn(claims.run());
        let recorder = FleetRecorder::new(Arc::clone(&fleet), Arc::clone(&settings));
        tokio::spawn(recorder.run());
        let archive = StreamArchive::new(Arc::clone(&fleet), Arc::clone(&settings));
        tokio::spawn(archive.run());
        let reporter = OriginReporter::new(Arc::clone(&fleet), Arc::clone(&holder_client));
        tokio::spawn(reporter.run());
        serve_status(
            readiness_listener,
            metrics_listener,
            CallExplainer {
                fleet: Arc::clone(&fleet),
                holder_client: Arc::clone(&holder_client),
                pool: Arc::clone(&pool),
                settings: Arc::clone(&settings),
            },
            stop_watch.clone(),
        );
        let plan = Arc::new(OnceLock::new());
        let context = Arc::new(GatewayContext {
            stop: Arc::clone(&plan),
            fleet: Arc::clone(&fleet),
            holder_client,
            overload: OverloadControl::new(Arc::clone(&fleet)),
            pool,
            records: SuspectRecorder::start(&fleet, &settings),
            settings: Arc::clone(&settings),
        });
        tokio::spawn(sweep(Arc::clone(&context)));
        tokio::spawn(accept_callers(
            caller_listener,
            context,
            Arc::clone(&connections),
            stop_watch,
        ));
        Ok(Self {
            settings,
            fleet,
            zone,
            connections,
            tunnels: tunnel_server,
            stop,
            plan,
            caller_address,
            ready_address,
            metrics_address,
        })
    }

    /// The settings with which the daemon was started.
    #[must_use]
    pub fn settings(&self) -> &DirectSettings {
        &self.settings
    }

    /// State of the fleet as known to this VM.
    #[must_use]
    pub fn fleet(&self) -> &Arc<FleetState> {
        &self.fleet
    }

    /// Stops the daemon as planned: nothing is interrupted before the deadline `timing.stop_timeout`. Returns the
    /// number of connections that were still open.
    pub async fn stop(self) -> usize {
        event!(Event::Stopping, "{} connections", self.connections.count());
        let started_at = Instant::now();
        let deadline = started_at + self.settings.timing.stop_timeout;
        let restricted_from = started_at + self.settings.timing.drain_delay;
        let plan = StopPlan {
            restricted_from,
            exit: deadline,
        };
        // `stop` consumes the daemon, so the plan is set only once.
        let _ = self.plan.set(plan);
        self.fleet.begin_stop();
        let mut is_released = false;
        loop {
            // Without a successor nobody would issue the zone's orders, so this VM keeps the lease until the end of the
            // stop.
            if !is_released && self.fleet.has_successor() {
                self.release().await;
                is_released = true;
            }
            let now = Instant::now();
            self.stop
                .send_replace(phase_at(now, restricted_from, deadline));
            let is_idle = self.connections.count() == 0 && self.tunnels.count() == 0;
            if now >= deadline || (now >= restricted_from && is_idle) {
                break;
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
        if !is_released {
            self.release().await;
        }
        let left = self.connections.count();
        let cut: u32 = self.fleet.tables().in_flight.values().sum();
        if cut > 0 {
            event!(
                Event::StopTimedOut,
                "{cut} requests at targets are cut after {:?}, {left} connections left",
                started_at.elapsed()
            );
        }
        event!(Event::Stopped, "{left} connections left");
        left
    }

    /// Releases the zone, so that another VM issues its orders from now on.
    async fn release(&self) {
        let (done, released) = oneshot::channel();
        if self.zone.send(ZoneEvent::ReleaseLease(done)).await.is_err() {
            return;
        }
        let log_timeout = self.settings.timing.platform_timeout;
        if let Ok(Ok(true)) = timeout(log_timeout, released).await {
            // If the release fails, other VMs claim the zone once they notice that this process ended.
            let _ = release_lease(&self.fleet, self.settings.platform_address, log_timeout).await;
        }
    }
}

fn phase_at(now: Instant, restricted_from: Instant, deadline: Instant) -> StopPhase {
    if now + ENDING_PERIOD >= deadline {
        StopPhase::Ending
    } else if now >= restricted_from {
        StopPhase::Closing
    } else {
        StopPhase::Leaving
    }
}

/// Serves the load balancer's readiness check, and the metrics page and explanations if the settings name an address for
/// them.
fn serve_status(
    readiness_listener: TcpListener,
    metrics_listener: Option<TcpListener>,
    explainer: CallExplainer,
    stop: watch::Receiver<StopPhase>,
) {
    let fleet = &explainer.fleet;
    let state = Arc::clone(fleet);
    tokio::spawn(serve_probes(readiness_listener, move |uri| {
        let is_ready = state.is_ready() && *stop.borrow() == StopPhase::Serving;
        readiness_response(uri.path(), is_ready)
    }));
    if let Some(metrics_listener) = metrics_listener {
        let state = Arc::clone(fleet);
        tokio::spawn(serve_probes(metrics_listener, move |uri| {
            if uri.path() == EXPLAIN_PATH {
                return explainer.answer(uri);
            }
            metrics_response(uri.path(), || state.metrics.page(&state))
        }));
    }
}

fn start_feeds(
    settings: &Arc<DirectSettings>,
    fleet: &Arc<FleetState>,
    holder_client: &Arc<HolderClient>,
) {
    let reachability = StoreReachability::new();
    let first_list_delay = first_list_delay(settings);
    for topic in [FeedTopic::Operators, FeedTopic::Targets, FeedTopic::Fleet] {
        let worker = FeedWorker {
            topic,
            address: settings.platform_address,
            timing: settings.timing,
            fleet: Arc::clone(fleet),
            holder_client: Arc::clone(holder_client),
            reachability: reachability.clone(),
            initial_delay: first_list_delay,
            started: Instant::now(),
            failures: 0,
        };
        tokio::spawn(worker.run());
    }
}

/// Delay before the first listing. When a whole fleet starts for the first time, no callers are served yet. VMs with
/// little CPU then let the others claim the zones first, and receive from them what each would have to list itself.
fn first_list_delay(settings: &DirectSettings) -> Duration {
    if settings.is_first_start && settings.cpu_millicores < SMALL_VM_MILLICORES {
        MIN_SMALL_VM_DELAY.mul_f64(rand::rng().random_range(1.0..3.0))
    } else {
        Duration::ZERO
    }
}

async fn sweep(context: Arc<GatewayContext>) {
    let mut dropped_lines = 0;
    loop {
        sleep(SWEEP_INTERVAL).await;
        context.pool.close_expired();
        context.fleet.expire();
        context.overload.refresh();
        dropped_lines = report_dropped_lines(dropped_lines);
    }
}
