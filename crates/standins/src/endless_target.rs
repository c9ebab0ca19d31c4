//! A target that answers with bytes without end, until the other side closes the connection.

use crate::path_cuts::PathCuts;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Bytes of one write, about.
const WRITE_BYTES: usize = 16 * 1024;

/// What an endless answer consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessForm {
    /// Interim heads, again and again.
    InterimHeads,
    /// Header lines of one head.
    HeaderLines,
    /// One header line.
    HeaderLine,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers after the last chunk.
    Trailers,
    /// A body in large chunks.
    Body,
    /// A body in chunks of one byte.
    TinyChunks,
    /// A body without a length or chunks.
    UnframedBody,
}

impl EndlessForm {
    /// All forms.
    pub const ALL: [Self; 8] = [
        Self::InterimHeads,
        Self::HeaderLines,
        Self::HeaderLine,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Body,
        Self::TinyChunks,
        Self::UnframedBody,
    ];

    /// What is written once, and what is repeated, after a head with the request's id.
    fn parts(self, id: &str) -> (String, String) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: seal\r\n"
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let filler = "x".repeat(WRITE_BYTES);
        match self {
            Self::InterimHeads => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".to_owned()),
            Self::HeaderLines => (head, "X-Line: value\r\n".to_owned()),
            Self::HeaderLine => (format!("{head}X-Line: "), filler),
            Self::ChunkExtension => (format!("{chunked}4;name="), filler),
            Self::Trailers => (
                format!("{chunked}4\r\ndone\r\n0\r\n"),
                "X-Line: value\r\n".to_owned(),
            ),
            Self::Body => (chunked, format!("{WRITE_BYTES:x}\r\n{filler}\r\n")),
            Self::TinyChunks => (chunked, "1\r\nx\r\n".to_owned()),
            Self::UnframedBody => (format!("{head}\r\n"), filler),
        }
    }
}

/// A target that listens on loopback; it ends when dropped.
pub struct EndlessTarget {
    /// Listening address.
    pub address: SocketAddr,
    written: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl EndlessTarget {
    /// Starts a target that answers every request without end.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start(form: EndlessForm) -> io::Result<Self> {
        Self::start_behind(&Arc::default(), form).await
    }

    /// Starts such a target behind paths that can be cut.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start_behind(cuts: &Arc<PathCuts>, form: EndlessForm) -> io::Result<Self> {
        let cuts = Arc::clone(cuts);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let written = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&written);
        let task = tokio::spawn(async move {
            while let Ok((stream, vm)) = listener.accept().await {
                let (counter, cuts) = (Arc::clone(&counter), Arc::clone(&cuts));
                tokio::spawn(async move {
                    if cuts.pass(vm.ip()).await.is_ok() {
                        // The other side closes the connection, which ends the answer with an error.
                        drop(answer(stream, form, &counter).await);
                    }
                });
            }
        });
        Ok(Self {
            address,
            written,
            task,
        })
    }

    /// Bytes written so far.
    #[must_use]
    pub fn written(&self) -> usize {
        self.written.load(Ordering::SeqCst)
    }
}

impl Drop for EndlessTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer(mut stream: TcpStream, form: EndlessForm, written: &AtomicUsize) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("hoplanding-request-id: "))
        .unwrap_or_default();
    let (once, piece) = form.parts(id.trim());
    stream.write_all(once.as_bytes()).await?;
    let repeated = piece.repeat(WRITE_BYTES.div_ceil(piece.len()));
    loop {
        stream.write_all(repeated.as_bytes()).await?;
        written.fetch_add(repeated.len(), Ordering::SeqCst);
    }
}
