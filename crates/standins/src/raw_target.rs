//! A target whose answers are given as bytes, so that broken ones can be made.

use std::{
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// A request as it came.
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// Request line and headers.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// The value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Method and path.
    #[must_use]
    pub fn request_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// What is written for a request.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// Pieces, each after a pause.
    pub pieces: Vec<(Duration, Vec<u8>)>,
    /// Whether the connection is closed behind them.
    pub closes_connection: bool,
}

impl RawResponse {
    /// A whole answer with a length.
    #[must_use]
    pub fn complete(status: &str, headers: &str, body: &str) -> Self {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        Self {
            pieces: vec![(Duration::ZERO, text.into_bytes())],
            closes_connection: false,
        }
    }

    /// The same answer with another header line, which ends with a line break.
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

    /// Nothing: the connection is closed.
    #[must_use]
    pub fn close() -> Self {
        Self {
            pieces: Vec::new(),
            closes_connection: true,
        }
    }
}

/// Connections of a target that are open, and how many it accepts.
#[derive(Debug)]
struct OpenCount {
    open: AtomicUsize,
    most: usize,
}

impl OpenCount {
    /// Counts one more, unless the target accepts no more.
    fn take(self: &Arc<Self>) -> Option<OpenPlace> {
        let place = OpenPlace(Arc::clone(self));
        (self.open.fetch_add(1, Ordering::SeqCst) < self.most).then_some(place)
    }
}

struct OpenPlace(Arc<OpenCount>);

impl Drop for OpenPlace {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

type AnswerFn = dyn Fn(&RawRequest) -> RawResponse + Send + Sync;
type DeadlyFn = dyn Fn(&RawRequest) -> bool + Send + Sync;

/// A running target; ends when dropped.
pub struct RawTarget {
    /// Where it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<RawRequest>>>,
    connections: Arc<Mutex<usize>>,
    task: JoinHandle<()>,
}

impl RawTarget {
    /// Starts a target on loopback.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start(
        answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(answer, |_| false, usize::MAX).await
    }

    /// Starts a target that closes connections beyond so many at once unread.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start_with_connection_limit(
        answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        most: usize,
    ) -> io::Result<Self> {
        Self::start_with(answer, |_| false, most).await
    }

    /// Starts a target that a request can crash: all its connections break, and its address refuses others.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start_crashable(
        answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        is_deadly: impl Fn(&RawRequest) -> bool + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with(answer, is_deadly, usize::MAX).await
    }

    async fn start_with(
        answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
        is_deadly: impl Fn(&RawRequest) -> bool + Send + Sync + 'static,
        most: usize,
    ) -> io::Result<Self> {
        let count = Arc::new(OpenCount {
            open: AtomicUsize::new(0),
            most,
        });
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(Mutex::new(0));
        let answer: Arc<AnswerFn> = Arc::new(answer);
        let is_deadly: Arc<DeadlyFn> = Arc::new(is_deadly);
        let (seen, opened) = (Arc::clone(&requests), Arc::clone(&connections));
        let (end, mut ended) = watch::channel(false);
        let task = tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = ended.wait_for(|ended| *ended) => return,
                };
                let Ok((stream, _)) = accepted else { return };
                *opened.lock().expect("no holder panics") += 1;
                let Some(place) = count.take() else {
                    continue;
                };
                let (seen, answer) = (Arc::clone(&seen), Arc::clone(&answer));
                let is_deadly = Arc::clone(&is_deadly);
                let (end, mut ended) = (end.clone(), ended.clone());
                tokio::spawn(async move {
                    let _place = place;
                    tokio::select! {
                        // A connection that breaks is the other side's affair.
                        served = serve(stream, &seen, &*answer, &*is_deadly, &end) => drop(served),
                        _ = ended.wait_for(|ended| *ended) => {}
                    }
                });
            }
        });
        Ok(Self {
            address,
            requests,
            connections,
            task,
        })
    }

    /// The requests so far, in order.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn requests(&self) -> Vec<RawRequest> {
        self.requests.lock().expect("no holder panics").clone()
    }

    /// Connections accepted so far.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn connections(&self) -> usize {
        *self.connections.lock().expect("no holder panics")
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    seen: &Mutex<Vec<RawRequest>>,
    answer: &AnswerFn,
    is_deadly: &DeadlyFn,
    end: &watch::Sender<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = Vec::new();
    loop {
        let Some(request) = read_request(&mut stream, &mut bytes).await? else {
            return Ok(());
        };
        seen.lock().expect("no holder panics").push(request.clone());
        if is_deadly(&request) {
            end.send_replace(true);
            pending::<()>().await;
        }
        let answer = answer(&request);
        for (pause, piece) in answer.pieces {
            sleep(pause).await;
            stream.write_all(&piece).await?;
        }
        if answer.closes_connection {
            return Ok(());
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Option<RawRequest>> {
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    bytes.drain(..end + 4);
    let mut request = RawRequest {
        head,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    while bytes.len() < length {
        if stream.read_buf(bytes).await? == 0 {
            return Ok(None);
        }
    }
    request.body = bytes.drain(..length).collect();
    Ok(Some(request))
}
