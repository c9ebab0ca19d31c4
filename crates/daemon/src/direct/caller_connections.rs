//! Server side of callers' connections: accepts them, serves HTTP/1.1 on each, and closes them in a planned stop or where this VM is
//! overloaded. A connection that ends under an answer is logged.

use crate::{
    direct::{
        call::{AnswerBody, BrokenAnswer, GatewayContext, answer_call},
        error_chain::ErrorChain,
        request_timer::watch_requests,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::direct::overload_limiter::ConnectionVerdict;
use http::header::{CONNECTION, HeaderValue};
use http_body::{Body, Frame, SizeHint};
use hyper::{server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{
    future::pending,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
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
            Ok((stream, caller)) => {
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
                    serve_caller(stream, caller, context, stop).await;
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
    caller: SocketAddr,
    context: Arc<GatewayContext>,
    mut stop: watch::Receiver<StopPhase>,
) {
    // The connection also works without the option, only slower: small writes wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let fleet = Arc::clone(&context.fleet);
    let limits = fleet.caller_limits();
    let is_answering = Arc::new(AtomicBool::new(false));
    let answering = Arc::clone(&is_answering);
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        let mark = AnswerMark::set(&answering);
        async move {
            let mut answer = answer_call(Arc::clone(&context), caller, request).await?;
            if context.overload.sends_callers_away() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, BrokenAnswer>(answer.map(|body| MarkedBody { body, _mark: mark }))
        }
    });
    // A connection accepted during the closing phase gets one answer. A graceful shutdown would close it before its request.
    let is_closing = *stop.borrow() >= StopPhase::Closing;
    let (stream, timer) = watch_requests(stream, fleet);
    let mut builder = Builder::new();
    if is_closing {
        builder.timer(TokioTimer::new());
    } else {
        builder.timer(timer);
    }
    let connection = builder
        .keep_alive(!is_closing)
        // Without effect on the timer of requests, which has its own limits.
        .header_read_timeout(STOPPING_HEAD_TIMEOUT)
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
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.as_mut().await
        }
    };
    if let Err(error) = ended
        && is_answering.load(Ordering::Relaxed)
    {
        log_connection_end(caller, &error);
    }
}

/// Logs the end of a connection under an answer, unless this VM ended it with its answer.
fn log_connection_end(caller: SocketAddr, error: &hyper::Error) {
    if error.is_user() {
        return;
    }
    // The end of the caller's sending side looks the same whether or not the caller still reads.
    let cause = if error.is_incomplete_message() {
        "the caller closed its connection or its sending side: "
    } else {
        ""
    };
    event!(
        Event::CallerConnectionEnded,
        "{caller}: {cause}{}",
        ErrorChain(error)
    );
}

/// Marks a caller's connection as one with an answer under way, until dropped.
struct AnswerMark(Arc<AtomicBool>);

impl AnswerMark {
    fn set(is_answering: &Arc<AtomicBool>) -> Self {
        is_answering.store(true, Ordering::Relaxed);
        Self(Arc::clone(is_answering))
    }
}

impl Drop for AnswerMark {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

/// Body of an answer that is under way until the body ends.
struct MarkedBody {
    body: AnswerBody,
    _mark: AnswerMark,
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
