//! A connection to a target that records when the target sends something.
//!
//! A connection that is dropped while its request is unanswered is reset: otherwise the operating system would deliver
//! a request that a partition holds up once the partition heals, after the call has ended.

use crate::{clock, direct::paths::monitor::PathMonitor};
use hoplanding_core::ids::{AvailabilityZone, Instant};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection of this VM to a target.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    paths: Arc<PathMonitor>,
    zone: AvailabilityZone,
    opened_at: Instant,
    /// Whether bytes were written since the target last sent something.
    is_unanswered: bool,
}

impl WatchedStream {
    /// Watches a new connection to a target of a zone.
    #[must_use]
    pub fn new(stream: TcpStream, paths: Arc<PathMonitor>, zone: AvailabilityZone) -> Self {
        Self {
            stream,
            paths,
            zone,
            opened_at: clock::now(),
            is_unanswered: false,
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.is_unanswered = false;
            self.paths.record_heard(&self.zone, self.opened_at);
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_unanswered = true;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.is_unanswered = true;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.is_unanswered {
            // Without the option the connection is closed as usual.
            let _ = self.stream.set_zero_linger();
        }
    }
}
