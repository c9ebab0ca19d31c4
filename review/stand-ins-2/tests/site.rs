//! The parts of a small deployment: the record of a script, workers of a plain service, and the system's process as the
//! platform starts it.

use crate::http::{connect, read_head, read_message, write_answer};
use std::collections::HashSet;
use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Time within which a step of the set-up has to succeed.
const SETUP_TIMEOUT: Duration = Duration::from_secs(15);

/// What was sent, answered and run, by the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let started = Instant::now();
        Ok(Self { started, file })
    }

    pub fn write(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{at:8.3} s  {line}");
    }
}

/// A free port at a loopback address of this process alone, so that no other process takes it before it is used.
pub fn free_address() -> io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    TcpListener::bind((Ipv4Addr::new(127, 1 + high % 200, low, 1), 0))?.local_addr()
}

/// Report of an engine that holds its model and is idle.
const REPORT: &str = r#"{"stage":"colocated","models":[{"name":"m0","version":1,"adapters":[]}],"utilization":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":131025,"handles":0}"#;

#[derive(Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

/// Slots of a worker, and a queue four times as long.
#[derive(Default)]
struct Places {
    slots: Mutex<Slots>,
    freed: Condvar,
}

impl Places {
    /// Waits for a slot; returns false if too many wait.
    fn take(&self, slots: usize) -> bool {
        let mut state = self.slots.lock().expect("no thread panics with the lock");
        if state.waiting >= 4 * slots {
            return false;
        }
        state.waiting += 1;
        while state.running >= slots {
            state = self
                .freed
                .wait(state)
                .expect("no thread panics with the lock");
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn free(&self) {
        self.slots
            .lock()
            .expect("no thread panics with the lock")
            .running -= 1;
        self.freed.notify_one();
    }
}

/// A sound worker of a plain service, which may crash.
#[derive(Clone)]
pub struct Worker {
    pub id: &'static str,
    pub address: SocketAddr,
    ran: Arc<Mutex<HashSet<String>>>,
    /// Connections that it has accepted.
    connections: Arc<Mutex<Vec<TcpStream>>>,
    has_crashed: Arc<AtomicBool>,
    /// Accepts connections until the worker has crashed.
    acceptor: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Worker {
    /// Starts a worker with so many slots, which works on each request for `work`.
    pub fn start(
        id: &'static str,
        slots: usize,
        work: Duration,
        record: &Record,
    ) -> io::Result<Self> {
        Self::start_at(id, "127.0.0.1:0", slots, work, record)
    }

    /// Starts a worker at an address, as the next incarnation of one that has crashed there.
    pub fn start_at(
        id: &'static str,
        address: &str,
        slots: usize,
        work: Duration,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let worker = Self {
            id,
            address: listener.local_addr()?,
            ran: Arc::default(),
            connections: Arc::default(),
            has_crashed: Arc::default(),
            acceptor: Arc::default(),
        };
        let served = worker.clone();
        let record = record.clone();
        let places: Arc<Places> = Arc::default();
        let acceptor = std::thread::spawn(move || {
            while !served.has_crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_millis(1));
                    continue;
                };
                let (Ok(kept), Ok(())) = (stream.try_clone(), stream.set_nonblocking(false)) else {
                    continue;
                };
                served
                    .connections
                    .lock()
                    .expect("no thread panics with the lock")
                    .push(kept);
                let (served, record, places) =
                    (served.clone(), record.clone(), Arc::clone(&places));
                std::thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = served.serve_connection(stream, slots, work, &places, &record);
                });
            }
        });
        *worker
            .acceptor
            .lock()
            .expect("no thread panics with the lock") = Some(acceptor);
        Ok(worker)
    }

    /// Refuses new connections and ends all others, as the end of a process does.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        if let Some(acceptor) = self
            .acceptor
            .lock()
            .expect("no thread panics with the lock")
            .take()
        {
            let _ = acceptor.join();
        }
        for connection in self
            .connections
            .lock()
            .expect("no thread panics with the lock")
            .drain(..)
        {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve_connection(
        &self,
        stream: TcpStream,
        slots: usize,
        work: Duration,
        places: &Places,
        record: &Record,
    ) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let expected = request.header("hoplanding-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                write_answer(&mut writer, "421 Misdirected Request", "", b"")?;
                continue;
            }
            if request.path() == "/health" {
                let headers = format!("Hoplanding-Instance-Id: {}\r\n", self.id);
                write_answer(&mut writer, "200 OK", &headers, b"")?;
                continue;
            }
            if request.path() == "/hoplanding/report" {
                write_answer(
                    &mut writer,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    REPORT.as_bytes(),
                )?;
                continue;
            }
            let id = request
                .header("hoplanding-request-id")
                .unwrap_or_default()
                .to_owned();
            if !places.take(slots) {
                let headers =
                    format!("Hoplanding-Request-Id: {id}\r\nHoplanding-Not-Executed: 1\r\n");
                write_answer(&mut writer, "503 Service Unavailable", &headers, b"")?;
                continue;
            }
            let tenant = request.header("hoplanding-tenant");
            record.write(&format!(
                "{} runs {id}: {} {} with {} bytes, tenant {tenant:?}",
                self.id,
                request.method(),
                request.target(),
                request.body.len()
            ));
            self.ran
                .lock()
                .expect("no thread panics with the lock")
                .insert(id.clone());
            drop(request);
            sleep(work);
            places.free();
            let headers =
                format!("Hoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: seal.{id}\r\n");
            write_answer(&mut writer, "200 OK", &headers, &[b'x'; 800])?;
        }
        Ok(())
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.ran
            .lock()
            .expect("no thread panics with the lock")
            .contains(id)
    }

    /// The worker's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: usize) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"sequence\":0}}",
            self.address
        )
    }
}

/// A machine of the system with one process.
pub struct Vm {
    pub front: SocketAddr,
    readiness: SocketAddr,
    /// The deploy file's template, filled but for `first_start`.
    settings: String,
    folder: PathBuf,
    log: File,
    child: Child,
}

impl Vm {
    /// Starts the process with the command of the deploy file. `extra` are further settings, each with a comma before it.
    pub fn start(store: SocketAddr, name: &str, zone: &str, extra: &str) -> io::Result<Self> {
        let (front, readiness, peers, metrics) = (
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        );
        let settings = format!(
            r#"{{ "mode": "direct", "vm": "{name}", "zone": "{zone}", "cores": 0.25,
  "caller_address": "{front}", "ready_address": "{readiness}", "peer_address": "{peers}", "metrics_address": "{metrics}",
  "platform_address": "{store}", "zones": ["{zone}"], "first_start": FIRST,
  "retries": {{ "ratio": 0.2, "slack": 54, "window_s": 10 }}, "recovery": {{ "bound_s": 12 }},
  "pace": {{ "config_bound_ms": 2000, "stop_grace_s": 8 }}, "orders_fenced": true, "leases": {{ "turn_ms": 3000 }},
  "plain": {{ "uneven": true }}, "admission": {{ "queue": true }}, "zone_choice": {{ "enabled": true }},
  "adapters": {{ "min_adapters_per_slot": 1200, "learn_recent": true, "repeat_orders": 3, "loads_per_model_load": 2.0, "first_load_ms": 290 }}{extra} }}"#
        );
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let log = File::create(folder.join("log"))?;
        let child = spawn(&folder, &settings.replace("FIRST", "true"), &log)?;
        Ok(Self {
            front,
            readiness,
            settings,
            folder,
            log,
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(
                b"GET /hoplanding/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n",
            )?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Waits until the process is ready.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let until = Instant::now() + SETUP_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > until || self.child.try_wait()?.is_some() {
                return Err(io::Error::other("the process did not become ready"));
            }
            sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Memory of the process in bytes.
    pub fn memory(&self) -> usize {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| {
            text.trim()
                .trim_end_matches("kB")
                .trim()
                .parse::<usize>()
                .ok()
        });
        kilobytes.unwrap_or(0) * 1024
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the settings then current.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(
            &self.folder,
            &self.settings.replace("FIRST", "false"),
            &self.log,
        )?;
        Ok(())
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn spawn(folder: &std::path::Path, settings: &str, log: &File) -> io::Result<Child> {
    let file = folder.join("settings.json");
    fs::write(&file, settings)?;
    let child = Command::new("target/release/hoplandingd")
        .arg("--config")
        .arg(file)
        .env_clear()
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log.try_clone()?)
        .spawn()?;
    let pids = std::env::temp_dir().join("pids");
    let mut pids = File::options().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

/// Result of one client attempt.
#[derive(Debug)]
pub enum Reply {
    Answer(u16),
    /// The connection was not made.
    NoConnection,
    /// The connection ended without a whole answer.
    Closed(#[expect(dead_code, reason = "shown in the record")] String),
}

/// A client with a connection that it keeps.
pub struct Client {
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Sends a request, whose head is given without its last empty line, and reads the answer.
    pub fn send(&mut self, head: &str, body: &[u8]) -> Reply {
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        self.send_bytes(
            &[head.as_bytes(), body].concat(),
            usize::MAX,
            Duration::ZERO,
        )
    }

    /// Sends a request with its body in chunks of `size` bytes, and reads the answer. The bytes are written in `pieces` pieces,
    /// with a pause after each.
    pub fn send_chunks(
        &mut self,
        head: &str,
        body: &[u8],
        size: usize,
        pieces: usize,
        pause: Duration,
    ) -> Reply {
        let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        for chunk in body.chunks(size) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend(chunk);
            bytes.extend(b"\r\n");
        }
        bytes.extend(b"0\r\n\r\n");
        let piece = bytes.len().div_ceil(pieces);
        self.send_bytes(&bytes, piece, pause)
    }

    fn send_bytes(&mut self, bytes: &[u8], piece: usize, pause: Duration) -> Reply {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => match connect(self.address) {
                Ok(stream) => BufReader::new(stream),
                Err(_) => return Reply::NoConnection,
            },
        };
        match exchange(&mut connection, bytes, piece, pause) {
            Ok(answer) => {
                if !answer.1 {
                    self.connection = Some(connection);
                }
                Reply::Answer(answer.0)
            }
            Err(error) => Reply::Closed(error.to_string()),
        }
    }
}

fn exchange(
    connection: &mut BufReader<TcpStream>,
    bytes: &[u8],
    piece: usize,
    pause: Duration,
) -> io::Result<(u16, bool)> {
    let stream = connection.get_mut();
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    for piece in bytes.chunks(piece) {
        stream.write_all(piece)?;
        sleep(pause);
    }
    let answer = read_message(connection)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let closes = answer
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    Ok((answer.status(), closes))
}

/// A request without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u32, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: mill.example\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Deadline-Ms: {deadline_ms}\r\n{headers}"
    )
}
