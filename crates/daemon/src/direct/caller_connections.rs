//! Server side of callers' connections: accepts them, serves HTTP/1.1 on each, and closes them in a planned stop or where this VM is
//! overloaded.

use crate::{
    direct::call::{BrokenAnswer, GatewayContext, answer_call},
    event,
    events::Event,
};
use hoplanding_core::direct::overload_limiter::ConnectionVerdict;
use http::header::{CONNECTION, HeaderValue};
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
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time limit for the request head on a connection that is accepted during a planned stop.
const STOPPING_HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Smallest buffer that `hyper` allows for a request head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Phases of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop is under way.
    Serving,
    /// The readiness check fails, so that the load balancer sends no new callers.
    Leaving,
    /// Open connections are closed after the answer under way.
    Closing,
    /// No new connections are accepted.
    Ending,
}

/// Counter of open callers' connections.
#[derive(Debug, Default)]
pub struct OpenConnections {
    count: AtomicUsize,
}

impl OpenConnections {
    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Accepts callers until the process is about to end. While all VMs of a zone stop, the load balancer still sends callers to
/// them: an answer with `Retry-After` serves these callers better than a refused connection.
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
                let probe = match context.overload.accept() {
                    ConnectionVerdict::Take(probe) => probe,
                    ConnectionVerdict::Close => continue,
                };
                let context = Arc::clone(&context);
                let connections = Arc::clone(&connections);
                let stop = stop.clone();
                tokio::spawn(async move {
                    if let Some(probe) = probe {
                        context.overload.end_probe(&probe);
                    }
                    connections.count.fetch_add(1, Ordering::Relaxed);
                    serve_caller(stream, context, stop).await;
                    connections.count.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(error) => {
                event!(Event::AcceptFailed, "{error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_caller(
    stream: TcpStream,
    context: Arc<GatewayContext>,
    mut stop: watch::Receiver<StopPhase>,
) {
    // The connection also works without the option, only slower: small writes wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let limits = context
        .fleet
        .active()
        .map(|active| active.config.limits)
        .unwrap_or_default();
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move {
            let mut answer = answer_call(Arc::clone(&context), request).await?;
            if context.overload.sends_callers_away() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, BrokenAnswer>(answer)
        }
    });
    // A connection accepted during the closing phase gets one answer. A graceful shutdown would close it before its request.
    let is_closing = *stop.borrow() >= StopPhase::Closing;
    let head_timeout = if is_closing {
        STOPPING_HEAD_TIMEOUT
    } else {
        limits.idle_timeout + limits.header_timeout
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_closing)
        .header_read_timeout(head_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        if is_closing {
            pending::<()>().await;
        }
        // Fails only when the sender is dropped, which is when the daemon ends.
        let _ = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    };
    // Callers that disconnect end their connections with errors, which need no handling.
    tokio::select! {
        ended = connection.as_mut() => drop(ended),
        () = closing => {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
    }
}
