//! Starts and stops everything of the direct mode.

use crate::{
    direct::{
        call::{GatewayContext, StopPlan},
        caller_connections::{OpenConnections, StopPhase, accept_callers},
        claims::{ClaimWorker, release_lease},
        feeds::FeedWorker,
        fleet::FleetState,
        holder_client::HolderClient,
        links::accept_links,
        message::FeedTopic,
        probes::{metrics_response, readiness_response, serve_probes},
        reachability::StoreReachability,
        recorder::FleetRecorder,
        settings::DirectSettings,
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

/// Events that wait for the zone's worker.
const ZONE_EVENTS: usize = 1024;
/// Pause between two looks at what has rested too long.
const SWEEP_EVERY: Duration = Duration::from_millis(500);
/// Strength, in thousandths of a core, below which a VM waits at the first start of a fleet.
const WEAK_BELOW: u32 = 200;
/// Its shortest pause; the longest is three times as long, so that the weak ones do not come at once either.
const WEAK_PAUSE: Duration = Duration::from_millis(700);
/// Time before the end of a planned stop in which no connection is accepted.
const ENDING: Duration = Duration::from_millis(250);
/// Pause between two looks at connections that are still open.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// A running daemon in direct mode.
pub struct DirectDaemon {
    settings: Arc<DirectSettings>,
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
    connections: Arc<OpenConnections>,
    stop: watch::Sender<StopPhase>,
    plan: Arc<OnceLock<StopPlan>>,
    /// Where callers connect.
    pub caller_address: std::net::SocketAddr,
    /// Where the balancer asks.
    pub ready_address: std::net::SocketAddr,
    /// Where metrics collectors ask.
    pub metrics_address: Option<std::net::SocketAddr>,
}

impl DirectDaemon {
    /// Starts a daemon; its tasks end with the runtime.
    ///
    /// # Errors
    /// Returns the error of the system when an address can't be had.
    pub async fn start(settings: DirectSettings) -> io::Result<Self> {
        let callers = TcpListener::bind(settings.caller_address).await?;
        let questions = TcpListener::bind(settings.ready_address).await?;
        let peers = TcpListener::bind(settings.peer_address).await?;
        let collectors = match settings.metrics_address {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        let mut settings = settings;
        settings.peer_address = peers.local_addr()?;
        let metrics_address = match &collectors {
            Some(listener) => Some(listener.local_addr()?),
            None => None,
        };
        let caller_address = callers.local_addr()?;
        let ready_address = questions.local_addr()?;
        let settings = Arc::new(settings);
        let incarnation = rand::random::<u64>() >> 16;
        let fleet = Arc::new(FleetState::new(&settings, incarnation));
        fleet.tables().own_addresses = vec![caller_address, ready_address, settings.peer_address];
        let pool = Arc::new(ConnectionPool::default());
        let (zone, zone_receiver) = mpsc::channel(ZONE_EVENTS);
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
        tokio::spawn(accept_links(peers, Arc::clone(&fleet), zone.clone()));
        let claims = ClaimWorker {
            fleet: Arc::clone(&fleet),
            holder_client: Arc::clone(&holder_client),
            settings: Arc::clone(&settings),
            stop: stop_watch.clone(),
        };
        tokio::spawn(claims.run());
        let recorder = FleetRecorder::new(Arc::clone(&fleet), Arc::clone(&settings));
        tokio::spawn(recorder.run());
        tokio::spawn(sweep(Arc::clone(&fleet), Arc::clone(&pool)));
        answer_questions(questions, collectors, &fleet, stop_watch.clone());
        let plan = Arc::new(OnceLock::new());
        let context = Arc::new(GatewayContext {
            stop: Arc::clone(&plan),
            fleet: Arc::clone(&fleet),
            holder_client,
            pool,
            records: SuspectRecorder::start(&fleet, &settings),
            settings: Arc::clone(&settings),
        });
        tokio::spawn(accept_callers(
            callers,
            context,
            Arc::clone(&connections),
            stop_watch,
        ));
        Ok(Self {
            settings,
            fleet,
            zone,
            connections,
            stop,
            plan,
            caller_address,
            ready_address,
            metrics_address,
        })
    }

    /// The settings that it was started with.
    #[must_use]
    pub fn settings(&self) -> &DirectSettings {
        &self.settings
    }

    /// What this VM knows.
    #[must_use]
    pub fn fleet(&self) -> &Arc<FleetState> {
        &self.fleet
    }

    /// A planned stop: interrupts nothing until its bound. Returns how many connections were left.
    pub async fn stop(self) -> usize {
        event!(Event::Stopping, "{} connections", self.connections.count());
        let begun = Instant::now();
        let bound = begun + self.settings.timing.stop_timeout;
        let restricted_from = begun + self.settings.timing.drain_delay;
        let plan = StopPlan {
            restricted_from,
            exit: bound,
        };
        // Only one stop begins.
        let _ = self.plan.set(plan);
        self.fleet.begin_stop();
        let mut is_released = false;
        loop {
            // Without another VM of the zone nobody would give its orders: then this one does so to its end.
            if !is_released && self.fleet.has_successor() {
                self.release().await;
                is_released = true;
            }
            let now = Instant::now();
            self.stop
                .send_replace(phase_at(now, restricted_from, bound));
            if now >= bound || (now >= restricted_from && self.connections.count() == 0) {
                break;
            }
            sleep(STOP_LOOK).await;
        }
        if !is_released {
            self.release().await;
        }
        let left = self.connections.count();
        event!(Event::Stopped, "{left} connections left");
        left
    }

    /// Gives the zone up, so that another VM gives the orders from here on.
    async fn release(&self) {
        let (done, released) = oneshot::channel();
        if self.zone.send(ZoneEvent::ReleaseLease(done)).await.is_err() {
            return;
        }
        let within = self.settings.timing.platform_timeout;
        if let Ok(Ok(true)) = timeout(within, released).await {
            // Where it fails, the others find this process ended and claim the zone.
            let _ = release_lease(&self.fleet, self.settings.platform_address, within).await;
        }
    }
}

fn phase_at(now: Instant, restricted_from: Instant, bound: Instant) -> StopPhase {
    if now + ENDING >= bound {
        StopPhase::Ending
    } else if now >= restricted_from {
        StopPhase::Closing
    } else {
        StopPhase::Leaving
    }
}

/// Answers the balancer, and metrics collectors where the settings name an address for them.
fn answer_questions(
    questions: TcpListener,
    collectors: Option<TcpListener>,
    fleet: &Arc<FleetState>,
    stop: watch::Receiver<StopPhase>,
) {
    let asked = Arc::clone(fleet);
    tokio::spawn(serve_probes(questions, move |path| {
        let is_up = asked.is_ready() && *stop.borrow() == StopPhase::Serving;
        readiness_response(path, is_up)
    }));
    if let Some(collectors) = collectors {
        let asked = Arc::clone(fleet);
        tokio::spawn(serve_probes(collectors, move |path| {
            metrics_response(path, || asked.metrics.page(&asked))
        }));
    }
}

fn start_feeds(
    settings: &Arc<DirectSettings>,
    fleet: &Arc<FleetState>,
    holder_client: &Arc<HolderClient>,
) {
    let reachability = StoreReachability::new();
    let first_pause = first_pause(settings);
    for topic in [FeedTopic::Operators, FeedTopic::Targets, FeedTopic::Fleet] {
        let worker = FeedWorker {
            topic,
            address: settings.platform_address,
            pace: settings.timing,
            fleet: Arc::clone(fleet),
            holder_client: Arc::clone(holder_client),
            reachability: reachability.clone(),
            first_pause,
            started: Instant::now(),
            failures: 0,
        };
        tokio::spawn(worker.run());
    }
}

/// Pause before the first listing. At the first start of a whole fleet nobody is served yet, so weak VMs let the strong
/// ones claim their zones, and learn from them what they would each have to list.
fn first_pause(settings: &DirectSettings) -> Duration {
    if settings.is_first_start && settings.cpu_millicores < WEAK_BELOW {
        WEAK_PAUSE.mul_f64(rand::rng().random_range(1.0..3.0))
    } else {
        Duration::ZERO
    }
}

async fn sweep(fleet: Arc<FleetState>, pool: Arc<ConnectionPool>) {
    let mut dropped = 0;
    loop {
        sleep(SWEEP_EVERY).await;
        pool.close_expired();
        fleet.expire();
        dropped = report_dropped_lines(dropped);
    }
}
