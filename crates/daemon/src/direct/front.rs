//! Callers' connections, and the balancer's question.

use crate::{
    direct::{
        call::{GatewayContext, answer_call, full, own_answer},
        fleet::FleetState,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_platform::names::READY_PATH;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    convert::Infallible,
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for the head of a request on a connection that comes late in a stop.
const LATE_HEAD: Duration = Duration::from_secs(1);
/// Least buffer that the library allows for a head.
const HEAD_LEAST: usize = 8 * 1024;

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The daemon serves.
    Serving,
    /// The balancer is told to send no more callers.
    Leaving,
    /// Open connections end with the answer that is under way.
    Closing,
    /// No connection is accepted any more.
    Ending,
}

/// Callers' connections that are open.
#[derive(Debug, Default)]
pub struct OpenConnections {
    count: AtomicUsize,
}

impl OpenConnections {
    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Accepts callers until the process is about to end. Where a whole zone stops the balancer goes on sending callers: they
/// are better told when to come back than refused a connection.
pub async fn accept_callers(
    listener: TcpListener,
    context: Arc<GatewayContext>,
    connections: Arc<OpenConnections>,
    stop: watch::Receiver<StopPhase>,
) {
    let mut closing = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|phase| *phase == StopPhase::Ending) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let context = Arc::clone(&context);
                let connections = Arc::clone(&connections);
                let stop = stop.clone();
                tokio::spawn(async move {
                    connections.count.fetch_add(1, Ordering::Relaxed);
                    serve_caller(stream, context, stop).await;
                    connections.count.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(error) => {
                event!(Event::AcceptFailed, "{error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(
    stream: TcpStream,
    context: Arc<GatewayContext>,
    mut stop: watch::Receiver<StopPhase>,
) {
    // Without it small writes wait for acknowledgements; the connection works all the same.
    let _ = stream.set_nodelay(true);
    let limits = context
        .fleet
        .active()
        .map(|active| active.config.limits)
        .unwrap_or_default();
    let service = service_fn(move |request| answer_call(Arc::clone(&context), request));
    // A connection that comes late in a stop has one answer: closing it gracefully now would end it before its request.
    let is_late = *stop.borrow() >= StopPhase::Closing;
    let head_timeout = if is_late {
        LATE_HEAD
    } else {
        limits.idle_timeout + limits.header_timeout
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_late)
        .header_read_timeout(head_timeout)
        .max_buf_size(limits.header_bytes.max(HEAD_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        if is_late {
            pending::<()>().await;
        }
        // The sender lives as long as the daemon.
        let _ = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    };
    // Callers that leave end connections with errors: nothing to be done about them.
    tokio::select! {
        ended = connection.as_mut() => drop(ended),
        () = closing => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}

/// Answers the balancer until the process ends.
pub async fn accept_questions(
    listener: TcpListener,
    fleet: Arc<FleetState>,
    stop: watch::Receiver<StopPhase>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let fleet = Arc::clone(&fleet);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let is_up = fleet.is_ready() && *stop.borrow() == StopPhase::Serving;
                let answer = answer_question(request.uri().path(), is_up);
                async move { Ok::<_, Infallible>(answer) }
            });
            // The balancer asks again after a broken connection.
            let _ = Builder::new()
                .max_buf_size(HEAD_LEAST)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer_question(path: &str, is_up: bool) -> Response<crate::direct::call::AnswerBody> {
    match (path, is_up) {
        (READY_PATH, true) => Response::new(full(Bytes::from_static(b"ready"))),
        (READY_PATH, false) => own_answer("", StatusCode::SERVICE_UNAVAILABLE, None),
        _ => own_answer("", StatusCode::NOT_FOUND, None),
    }
}
