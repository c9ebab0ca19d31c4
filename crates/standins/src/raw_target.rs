//! An HTTP/1.1 target whose responses are given byte for byte, with pauses, so that tests can send malformed, slow
//! and truncated ones.
//!
//! The target records every request as received. A target can also limit its connections, or simulate a process that
//! a request crashes, or one that is suspended for a time.

use crate::path_cuts::{PathCuts, PathState};
use std::{
    future::pending,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Time between two checks whether the client of a silent target has closed its connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request as received.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Request line and headers, without the final blank line.
    pub head: String,
    /// Body as long as `Content-Length` says, empty without it.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Trimmed value of the first header with this name, in any case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// First line of the head: method, path and protocol version.
    #[must_use]
    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// Bytes to write for a request.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// Parts of the response, each with the pause before it is written.
    pub pieces: Vec<(Duration, Vec<u8>)>,
    /// Whether the connection is closed after the last part.
    pub closes_connection: bool,
}

impl RawResponse {
    /// A complete response with a `Content-Length`; each line of `headers` ends with `\r\n`.
    #[must_use]
    pub fn complete(status: &str, headers: &str, body: &str) -> Self {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        Self {
            pieces: vec![(Duration::ZERO, text.into_bytes())],
            closes_connection: false,
        }
    }

    /// Adds a header line, which must end with `\r\n`, after the status line.
    #[must_use]
    pub fn with_header(mut self, line: &str) -> Self {
        if let Some((_, head)) = self.pieces.first_mut() {
            let text = String::from_utf8_lossy(head).into_owned();
            *head = text
                .replacen("\r\n", &format!("\r\n{line}"), 1)
                .into_bytes();
        }
        self
    }

    /// Closes the connection without a response.
    #[must_use]
    pub fn close() -> Self {
        Self {
            pieces: Vec::new(),
            closes_connection: true,
        }
    }
}

/// Counts a target's open connections against its maximum.
#[derive(Debug)]
struct ConnectionLimit {
    open: AtomicUsize,
    max_connections: usize,
}

impl ConnectionLimit {
    /// Counts a connection until the permit is dropped; `None` if the maximum is reached.
    fn acquire(self: &Arc<Self>) -> Option<ConnectionPermit> {
        let permit = ConnectionPermit(Arc::clone(self));
        (self.open.fetch_add(1, Ordering::SeqCst) < self.max_connections).then_some(permit)
    }
}

struct ConnectionPermit(Arc<ConnectionLimit>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Decides when the bytes of a connection may be read and written.
struct ConnectionGate {
    vm: IpAddr,
    cuts: Arc<PathCuts>,
    silence: watch::Receiver<bool>,
    permit: Option<ConnectionPermit>,
}

impl ConnectionGate {
    /// Waits while the target is silent or the path from the VM hangs.
    async fn pass(&mut self, stream: &TcpStream) -> io::Result<()> {
        loop {
            if *self.silence.borrow() {
                tokio::select! {
                    () = wait_for_end(&mut self.silence) => {}
                    () = wait_for_close(stream) => drop(self.permit.take()),
                }
                wait_for_end(&mut self.silence).await;
            }
            self.cuts.pass(self.vm).await?;
            if !*self.silence.borrow() {
                return Ok(());
            }
        }
    }
}

/// Waits until the target is not silent.
async fn wait_for_end(silence: &mut watch::Receiver<bool>) {
    // A target that was dropped is not silent any more.
    drop(silence.wait_for(|is_silent| !is_silent).await);
}

/// Waits until the peer has closed the connection, without reading from it.
async fn wait_for_close(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK_INTERVAL).await,
            Ok(_) | Err(_) => return,
        }
    }
}

type ResponseFn = dyn Fn(&RawRequest) -> RawResponse + Send + Sync;
type CrashPredicate = dyn Fn(&RawRequest) -> bool + Send + Sync;

/// A target that listens on loopback; it stops accepting when dropped.
pub struct RawTarget {
    /// Listening address.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    connections: Arc<Mutex<usize>>,
    limit: Arc<ConnectionLimit>,
    silence: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RawTarget {
    /// Starts a target without a limit of connections.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start(
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(respond, |_| false, usize::MAX, Arc::default()).await
    }

    /// Starts a target to which the paths of single VMs can be cut.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start_behind(
        cuts: &Arc<PathCuts>,
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(respond, |_| false, usize::MAX, Arc::clone(cuts)).await
    }

    /// Starts a target that closes connections beyond the maximum without reading from them.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start_with_connection_limit(
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        max_connections: usize,
    ) -> io::Result<Self> {
        Self::start_with(respond, |_| false, max_connections, Arc::default()).await
    }

    /// Starts a target that a request can crash: all its connections break and new ones are refused.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start_crashable(
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        should_crash: impl Fn(&RawRequest) -> bool + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(respond, should_crash, usize::MAX, Arc::default()).await
    }

    /// Starts a target that a request can crash, and to which the paths of single VMs can be cut.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start_crashable_behind(
        cuts: &Arc<PathCuts>,
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        should_crash: impl Fn(&RawRequest) -> bool + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(respond, should_crash, usize::MAX, Arc::clone(cuts)).await
    }

    async fn start_with(
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        should_crash: impl Fn(&RawRequest) -> bool + Send + Sync + 'static,
        max_connections: usize,
        cuts: Arc<PathCuts>,
    ) -> io::Result<Self> {
        let limit = Arc::new(ConnectionLimit {
            open: AtomicUsize::new(0),
            max_connections,
        });
        let open_limit = Arc::clone(&limit);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(Mutex::new(0));
        let respond: Arc<ResponseFn> = Arc::new(respond);
        let should_crash: Arc<CrashPredicate> = Arc::new(should_crash);
        let (seen, connection_count) = (Arc::clone(&requests), Arc::clone(&connections));
        let (crash, mut crashed) = watch::channel(false);
        let (silence, mut silence_end) = watch::channel(false);
        let task = tokio::spawn(async move {
            loop {
                let accept = async {
                    let accepted = listener.accept().await;
                    wait_for_end(&mut silence_end).await;
                    accepted
                };
                let accepted = tokio::select! {
                    accepted = accept => accepted,
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                };
                let Ok((mut stream, peer)) = accepted else {
                    return;
                };
                if matches!(
                    cuts.state(peer.ip()),
                    PathState::Reset | PathState::RefusingNew
                ) {
                    reset(&stream);
                    continue;
                }
                *connection_count
                    .lock()
                    .expect("no thread panics while it holds the lock") += 1;
                let Some(permit) = limit.acquire() else {
                    continue;
                };
                let (seen, respond) = (Arc::clone(&seen), Arc::clone(&respond));
                let should_crash = Arc::clone(&should_crash);
                let (crash, mut crashed) = (crash.clone(), crashed.clone());
                let cuts = Arc::clone(&cuts);
                let mut gate = ConnectionGate {
                    vm: peer.ip(),
                    cuts: Arc::clone(&cuts),
                    silence: silence_end.clone(),
                    permit: Some(permit),
                };
                tokio::spawn(async move {
                    tokio::select! {
                        // A broken connection is an expected result of some tests, and the client sees it.
                        served = serve(&mut stream, &mut gate, &seen, &*respond, &*should_crash, &crash) => drop(served),
                        () = cuts.wait_for_reset(peer.ip()) => reset(&stream),
                        _ = crashed.wait_for(|crashed| *crashed) => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            requests,
            connections,
            limit: open_limit,
            silence,
            task,
        })
    }

    /// Sets whether the target is silent: it neither reads nor writes, and keeps its connections open. New connections are
    /// accepted by the operating system only. After a silence, the target goes on where it was.
    pub fn set_silent(&self, is_silent: bool) {
        self.silence.send_replace(is_silent);
    }

    /// Requests received so far, in order.
    ///
    /// # Panics
    /// If the lock is poisoned.
    #[must_use]
    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    /// Connections that are open now. Those that a client closes during a silence are not counted.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.limit.open.load(Ordering::SeqCst)
    }

    /// Connections accepted so far.
    ///
    /// # Panics
    /// If the lock is poisoned.
    #[must_use]
    pub fn connections(&self) -> usize {
        *self
            .connections
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes the peer of a connection see a reset when the connection is dropped.
fn reset(stream: &TcpStream) {
    // Without the option the peer sees a close, which it does not expect either.
    drop(stream.set_zero_linger());
}

async fn serve(
    stream: &mut TcpStream,
    gate: &mut ConnectionGate,
    seen: &Mutex<Vec<RawRequest>>,
    respond: &ResponseFn,
    should_crash: &CrashPredicate,
    crash: &watch::Sender<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        let Some(request) = read_request(stream, gate, &mut bytes).await? else {
            return Ok(());
        };
        seen.lock()
            .expect("no thread panics while it holds the lock")
            .push(request.clone());
        if should_crash(&request) {
            crash.send_replace(true);
            pending::<()>().await;
        }
        let response = respond(&request);
        for (pause, piece) in response.pieces {
            sleep(pause).await;
            gate.pass(stream).await?;
            stream.write_all(&piece).await?;
        }
        if response.closes_connection {
            return Ok(());
        }
    }
}

/// Reads more bytes, as soon as the gate lets them through. Bytes that are held up are lost if their sender resets the
/// connection meanwhile.
async fn read_more(
    stream: &TcpStream,
    gate: &mut ConnectionGate,
    bytes: &mut Vec<u8>,
) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        gate.pass(stream).await?;
        match stream.try_read_buf(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

async fn read_request(
    stream: &TcpStream,
    gate: &mut ConnectionGate,
    bytes: &mut Vec<u8>,
) -> io::Result<Option<RawRequest>> {
    let head_end = loop {
        if let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break head_end;
        }
        if read_more(stream, gate, bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    bytes.drain(..head_end + 4);
    let mut request = RawRequest {
        head,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while bytes.len() < length {
        if read_more(stream, gate, bytes).await? == 0 {
            return Ok(None);
        }
    }
    request.body = bytes.drain(..length).collect();
    Ok(Some(request))
}
