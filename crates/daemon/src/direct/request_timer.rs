//! Timer of the waits for requests on callers' connections, under the limits in force.
//!
//! `hyper` takes a fixed time limit for request heads, but asks a timer of ours for the sleep whenever it begins to wait for a head,
//! polls it after each read that does not complete the head, and ends the connection when it is over. [`RequestSleep`] takes its
//! deadline from the configuration in force. It looks again when its time has come, so that a changed configuration wakes no
//! resting connection.

use crate::{clock, direct::fleet::FleetState};
use hoplanding_core::{direct::request_wait::RequestWait, ids};
use hyper::rt::{Sleep, Timer};
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time,
};

/// Wait of one connection, shared by its stream and its timer.
#[derive(Debug)]
struct SharedWait(Mutex<RequestWait>);

impl SharedWait {
    fn lock(&self) -> MutexGuard<'_, RequestWait> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Timer of one connection, only for the time limit of its request heads.
#[derive(Debug)]
pub struct RequestTimer {
    fleet: Arc<FleetState>,
    wait: Arc<SharedWait>,
}

/// Stream of one connection, which records what is received and sent.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    wait: Arc<SharedWait>,
}

/// Watches a connection that waits for its first request.
#[must_use]
pub fn watch_requests(stream: TcpStream, fleet: Arc<FleetState>) -> (CallerStream, RequestTimer) {
    let wait = RequestWait::new(&fleet.caller_limits(), clock::now());
    let wait = Arc::new(SharedWait(Mutex::new(wait)));
    let stream = CallerStream {
        stream,
        wait: Arc::clone(&wait),
    };
    (stream, RequestTimer { fleet, wait })
}

impl Timer for RequestTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        let now = clock::now();
        let limits = self.fleet.caller_limits();
        let wait = RequestWait::new(&limits, now);
        *self.wait.lock() = wait;
        let deadline = wait.deadline(&limits);
        Box::pin(RequestSleep {
            fleet: Arc::clone(&self.fleet),
            wait: Arc::clone(&self.wait),
            deadline,
            alarm: Box::pin(time::sleep(deadline.since(now))),
        })
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.sleep(Duration::ZERO)
    }
}

/// Sleep until the deadline of a wait.
struct RequestSleep {
    fleet: Arc<FleetState>,
    wait: Arc<SharedWait>,
    deadline: ids::Instant,
    alarm: Pin<Box<time::Sleep>>,
}

impl RequestSleep {
    /// Sets the alarm to a deadline.
    fn set_alarm(&mut self, deadline: ids::Instant) {
        self.deadline = deadline;
        let remaining = deadline.since(clock::now());
        self.alarm.as_mut().reset(time::Instant::now() + remaining);
    }
}

impl Sleep for RequestSleep {}

impl Future for RequestSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let limits = self.fleet.caller_limits();
            let deadline = self.wait.lock().deadline(&limits);
            if deadline != self.deadline {
                self.set_alarm(deadline);
            }
            ready!(self.alarm.as_mut().poll(context));
            if self.deadline <= clock::now() {
                return Poll::Ready(());
            }
            self.set_alarm(deadline);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = &buffer.filled()[start..];
        self.wait.lock().record_received(received, clock::now());
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.wait.lock().record_sent(clock::now());
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.wait.lock().record_sent(clock::now());
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
