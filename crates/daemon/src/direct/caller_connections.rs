//! Callers' connections.

use crate::{
    direct::call::{GatewayContext, answer_call},
    event,
    events::Event,
};
use hyper::{server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
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
        .max_buf_size(limits.max_header_bytes.max(HEAD_LEAST))
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
