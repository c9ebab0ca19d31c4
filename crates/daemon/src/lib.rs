//! The hoplanding daemon.
//!
//! Every VM runs one daemon. It accepts callers' requests and sends them to targets (model engines and plain services),
//! in one of two modes: through the daemon that holds the target ([`RunningDaemon`]), or directly
//! ([`direct::daemon::DirectDaemon`]).
//!
//! | module | contents |
//! |---|---|
//! | [`app`] | the event loop, which owns all state of the daemon |
//! | [`gateway`] | HTTP interface for callers, and the driver of each request |
//! | [`operators`] | HTTP interface for operators |
//! | [`peers`] | links between daemons |
//! | [`targets`] | clients of engines and plain services |
//! | [`platform`] | the platform's log and list of VMs |
//! | [`direct`] | the mode in which gateways send directly to targets, with a module table of its own |
//! | [`calls`] | requests and answer frames, between daemons or within one |
//! | [`options`] | command-line arguments and settings |
//! | [`events`], [`logging`], [`metrics`], [`clock`] | numbered log events, log output, statsd metrics, clocks |

pub mod app;
pub mod calls;
pub mod clock;
pub mod direct;
pub mod events;
pub mod gateway;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod options;
pub mod peers;
pub mod platform;
pub mod targets;

use crate::{
    app::{AppEvent, AppHandle, AppState, AppWorkers, StopReport, run_app},
    calls::CallTable,
    events::Event,
    gateway::{GatewayContext, NoDelayAcceptor, routes},
    metrics::DaemonMetrics,
    options::Settings,
    peers::{PROTOCOL_VERSION, PeerHello, PeerServer},
    platform::{LogAppender, PlatformClient, run_log_reader, run_vm_list_reader},
    targets::EngineClient,
};
use hoplanding_core::ids::{AvailabilityZone, DaemonRef, Incarnation, LogOffset, VmName};
use poem::Server;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};

/// Capacity of the event loop's queue.
const EVENT_QUEUE_CAPACITY: usize = 16 * 1024;

/// A running daemon of the mode in which requests go through the target's holder.
pub struct RunningDaemon {
    /// Bound address for callers and operators.
    pub caller_address: SocketAddr,
    /// Bound address for peers.
    pub peer_address: SocketAddr,
    /// VM and incarnation of the daemon.
    pub daemon: DaemonRef,
    app: AppHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningDaemon {
    /// Binds the addresses and starts the workers.
    ///
    /// # Errors
    /// Returns the I/O error if an address can't be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let settings = Arc::new(settings);
        let daemon = DaemonRef {
            vm: VmName::new(&settings.vm),
            incarnation: Incarnation(rand::random::<u64>() >> 16),
        };
        let hello = PeerHello {
            version: PROTOCOL_VERSION,
            daemon: daemon.clone(),
            zone: AvailabilityZone::new(&settings.zone),
            secret: settings.peer_secret.clone(),
        };
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let calls = Arc::new(CallTable::default());
        let server = PeerServer::bind(
            settings.peer_address,
            hello.clone(),
            Arc::clone(&calls),
            events.clone(),
        )
        .await?;
        let listener = TcpListener::bind(settings.caller_address).await?;
        let caller_address = listener.local_addr()?;
        let peer_address = server.address()?;
        event!(
            Event::Started,
            "{daemon} in {}: callers {caller_address}, peers {peer_address}",
            settings.zone
        );
        let platform = PlatformClient::new(&settings.platform, &settings.vm);
        let (read_from, read_from_watch) = watch::channel(LogOffset(1));
        let workers = AppWorkers {
            events: events.clone(),
            appender: LogAppender::start(platform.clone(), events.clone()),
            read_from: Arc::new(read_from),
            http: EngineClient::shared_http(),
            calls,
            metrics: DaemonMetrics::new(settings.statsd),
            hello,
        };
        let app = AppHandle::new(events.clone());
        let context = Arc::new(GatewayContext {
            app: app.clone(),
            settings: Arc::clone(&settings),
            next_answer_number: AtomicU64::new(1),
        });
        let acceptor = NoDelayAcceptor::new(listener)?;
        let state = AppState::new(Arc::clone(&settings), daemon.clone(), workers);
        let vm_list_interval = settings.platform.vm_list_interval;
        let tasks = vec![
            tokio::spawn(server.run()),
            tokio::spawn(run_log_reader(
                platform.clone(),
                read_from_watch,
                events.clone(),
            )),
            tokio::spawn(run_vm_list_reader(platform, vm_list_interval, events)),
            tokio::spawn(async move {
                // The server runs until the daemon stops, so its result is not needed.
                let _ = Server::new_with_acceptor(acceptor)
                    .run(routes(context))
                    .await;
            }),
            tokio::spawn(run_app(state, receiver)),
        ];
        Ok(Self {
            caller_address,
            peer_address,
            daemon,
            app,
            tasks,
        })
    }

    /// Whether the daemon is ready to serve requests.
    pub async fn is_ready(&self) -> bool {
        self.app.request(AppEvent::IsReady).await.unwrap_or(false)
    }

    /// Stops the daemon as planned, without interrupting requests; reports what was left at the timeout.
    pub async fn stop(self) -> StopReport {
        let report = self.app.request(AppEvent::Stop).await.unwrap_or_default();
        event!(
            Event::Stopped,
            "{} requests and {} targets left",
            report.open_requests,
            report.remaining_targets
        );
        report
    }

    /// Stops at once, like a crash.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}
