//! The hoplanding daemon.
//!
//! | module | job |
//! |---|---|
//! | [`app`] | the event loop: the one place where state changes |
//! | [`gateway`] | the callers' HTTP interface, and one driver a request |
//! | [`operators`] | the operators' HTTP interface |
//! | [`peers`] | links between daemons |
//! | [`targets`] | engines and plain services |
//! | [`platform`] | the platform's log and list of VMs |
//! | [`direct`] | the mode in which gateways send straight to targets: its own map |
//! | [`calls`] | frames of answers, between daemons or within one |
//! | [`options`] | arguments and settings |
//! | [`events`], [`logging`], [`metrics`], [`clock`] | numbered log events, where they go, statsd, time |

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

/// Events that wait for the loop.
const EVENTS: usize = 16 * 1024;

/// A running daemon.
pub struct RunningDaemon {
    /// Where callers and operators connect.
    pub caller_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Its VM and run.
    pub me: DaemonRef,
    app: AppHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningDaemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Returns the error of the system when an address can't be had.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let settings = Arc::new(settings);
        let me = DaemonRef {
            vm: VmName::new(&settings.vm),
            incarnation: Incarnation(rand::random::<u64>() >> 16),
        };
        let hello = PeerHello {
            version: PROTOCOL_VERSION,
            daemon: me.clone(),
            zone: AvailabilityZone::new(&settings.zone),
            secret: settings.peer_secret.clone(),
        };
        let (events, receiver) = mpsc::channel(EVENTS);
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
            "{me} in {}: callers {caller_address}, peers {peer_address}",
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
            answers: AtomicU64::new(1),
        });
        let acceptor = NoDelayAcceptor::new(listener)?;
        let state = AppState::new(Arc::clone(&settings), me.clone(), workers);
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
                // The server ends with the daemon; an error here means the same.
                let _ = Server::new_with_acceptor(acceptor)
                    .run(routes(context))
                    .await;
            }),
            tokio::spawn(run_app(state, receiver)),
        ];
        Ok(Self {
            caller_address,
            peer_address,
            me,
            app,
            tasks,
        })
    }

    /// Whether it may serve.
    pub async fn is_ready(&self) -> bool {
        self.app.request(AppEvent::IsReady).await.unwrap_or(false)
    }

    /// A planned stop: interrupts nothing and reports what was left at its bound.
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

    /// Ends at once, as a crash would.
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
