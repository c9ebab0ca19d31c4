//! A machine is lost after a release of the engines has begun, and its clients take their streams up at other machines.

use crate::http::{connect, read_head, read_message, write_answer};
use crate::site::{Record, Vm};
use crate::store::Store;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ZONE: &str = "castlegar-hall";
const SLOTS: usize = 64;
/// Events of a stream, the most that the sheet has, and the time between two.
const EVENTS: u32 = 261;
const PACE: Duration = Duration::from_millis(23);
/// Clients at the machine that is lost, and at each of the two others.
const READERS: usize = 24;
const OTHERS: usize = 6;
/// Time between the beginnings of the clients.
const STAGGER: Duration = Duration::from_millis(20);
/// From the first stream at the machine that is lost until the release, from there until the loss, and until its return.
const UNTIL_RELEASE: Duration = Duration::from_millis(2_000);
const UNTIL_LOSS: Duration = Duration::from_millis(1_500);
const UNTIL_RETURN: Duration = Duration::from_millis(3_500);
const UNTIL_END: Duration = Duration::from_secs(10);
const DEADLINE: Duration = Duration::from_secs(15);
/// Attempts of a client after the first.
const RETRIES: usize = 2;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"writeup","host":"mill.example","path_prefix":"/writeup/","route_type":"streaming","can_resume":true,"timeout_ms":15000,"target_latency_ms":1000,"gap_aim_ms":250,"priority":1,"session_affinity":true,"service":"scribe","max_attempts":2}],
"services":[{"name":"scribe","health_path":"/health","max_connections":360,"engine":{"slots":64,"kv_capacity":131025,"models":[{"name":"m0","weights_size":42700.0,"load_s":0.6,"adapters":3000,"adapter_mb":66.0}],"weights_size":45000.0,"adapter_slots":21,"loads_per_s":3.3}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A sound engine that holds its model, of one version of its software.
#[derive(Clone)]
struct Engine {
    id: String,
    software: &'static str,
    active: Arc<AtomicUsize>,
    record: Record,
}

impl Engine {
    fn start(
        number: usize,
        software: &'static str,
        record: &Record,
        store: &Store,
    ) -> io::Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let engine = Self {
            id: format!("e-{number}"),
            software,
            active: Arc::default(),
            record: record.clone(),
        };
        let id = engine.id.clone();
        crate::http::serve(listener, move |stream| engine.serve_connection(stream));
        let entry = entry(address, software, "ready");
        store.put("keyed.servers", &id, &entry);
        record.write(&format!("{id} of software version {software} is listed"));
        Ok(entry)
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let expected = request.header("hoplanding-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                write_answer(&mut writer, "421 Misdirected Request", "", b"")?;
                continue;
            }
            match request.path() {
                "/health" => {
                    let headers = format!("Hoplanding-Instance-Id: {}\r\n", self.id);
                    write_answer(&mut writer, "200 OK", &headers, b"")?;
                }
                "/hoplanding/report" => {
                    let active = self.active.load(Ordering::Relaxed);
                    let report = format!(
                        r#"{{"stage":"colocated","models":[{{"name":"m0","version":1,"adapters":[]}}],"utilization":false,"sequence":0,"queued":0,"active":{active},"kv_used":{},"kv_total":131025,"handles":0}}"#,
                        active * 800
                    );
                    write_answer(
                        &mut writer,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        report.as_bytes(),
                    )?;
                }
                "/hoplanding/order" => {
                    self.record.write(&format!("{} gets an order", self.id));
                    write_answer(&mut writer, "400 Bad Request", "", b"")?;
                }
                _ => {
                    let id = request.header("hoplanding-request-id").unwrap_or_default();
                    let from = request
                        .header("last-event-id")
                        .and_then(|id| id.parse().ok())
                        .unwrap_or(0);
                    self.record.write(&format!(
                        "{} ({}) runs {id} from event {}",
                        self.id,
                        self.software,
                        from + 1
                    ));
                    self.active.fetch_add(1, Ordering::Relaxed);
                    let written = self.write_stream(&mut writer, id, from);
                    self.active.fetch_sub(1, Ordering::Relaxed);
                    written?;
                }
            }
        }
        Ok(())
    }

    fn write_stream(&self, writer: &mut TcpStream, id: &str, from: u32) -> io::Result<()> {
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: seal.{id}\r\nHoplanding-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in from + 1..=EVENTS {
            sleep(PACE);
            let event = format!(
                "id: {number}\ndata: {} {number} {}\n\n",
                self.software,
                "x".repeat(30)
            );
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// An engine's entry in the store.
fn entry(address: SocketAddr, software: &str, state: &str) -> String {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis());
    format!(
        r#"{{"service":"scribe","address":"{address}","zone":"{ZONE}","version":"{software}","slots":{SLOTS},"state":"{state}","cold_remaining_ms":0,"stage":"colocated","models":[{{"name":"m0","version":1,"adapters":[]}}],"sequence":0,"born":{born}}}"#
    )
}

/// What a client has of its stream.
#[derive(Default)]
struct Received {
    last_event: u32,
    software: Vec<String>,
    /// Attempt that brought the first event.
    begun_by: Option<String>,
}

/// How an attempt ended.
enum End {
    Whole,
    Broken,
    Refused(u16, f64),
}

/// Sends one attempt and reads its events into `received`.
fn attempt(
    front: SocketAddr,
    id: &str,
    left: Duration,
    received: &mut Received,
) -> io::Result<End> {
    let mut stream = connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(4)))?;
    let resumed = match &received.begun_by {
        Some(begun_by) => format!(
            "Last-Event-Id: {}\r\nResumes: {begun_by}\r\n",
            received.last_event
        ),
        None => String::new(),
    };
    write!(
        stream,
        "POST /writeup/1 HTTP/1.1\r\nHost: mill.example\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Deadline-Ms: {}\r\nHoplanding-Model: m0\r\nHoplanding-Token-Count: 200,522\r\nHoplanding-Prompt-Prefix: 5a:100,{}:100\r\n{resumed}Content-Length: 4\r\n\r\nbody",
        left.as_millis(),
        hex(id)
    )?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        let retry_after = head
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        return Ok(End::Refused(head.status(), retry_after.unwrap_or(0.0)));
    }
    let mut events = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(End::Broken);
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(End::Whole);
        }
        events.push_str(&String::from_utf8_lossy(&chunk[..size]));
        while let Some((event, rest)) = events.split_once("\n\n") {
            let field = |name| event.lines().find_map(|line| line.strip_prefix(name));
            let number = field("id: ").and_then(|id| id.parse().ok());
            let software = field("data: ")
                .and_then(|data| data.split(' ').next())
                .unwrap_or_default()
                .to_owned();
            if let Some(number) = number {
                received.last_event = number;
                received.begun_by.get_or_insert_with(|| id.to_owned());
            }
            if !received.software.contains(&software) {
                received.software.push(software);
            }
            events = rest.to_owned();
        }
    }
}

/// A part of a prompt of its own for each attempt's id.
fn hex(id: &str) -> String {
    id.bytes()
        .map(|byte| format!("{byte:02x}"))
        .collect::<String>()
        .chars()
        .rev()
        .take(14)
        .collect()
}

/// Streams begun at the other machines from the loss on, and streams taken up there.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    new: usize,
    new_begun: usize,
    taken_up: usize,
    gone_on: usize,
    mixed: usize,
}

struct Site {
    record: Record,
    lost: AtomicBool,
    over: AtomicBool,
    counts: Mutex<Counts>,
}

impl Site {
    /// Reads streams, one after the other, at the first of the machines, and takes broken ones up at the second.
    fn read_streams(&self, client: usize, fronts: [SocketAddr; 2]) {
        for number in 0.. {
            if self.over.load(Ordering::Relaxed) {
                break;
            }
            let home = usize::from(self.lost.load(Ordering::Relaxed));
            self.read_stream(&format!("{client}-{number}"), [fronts[home], fronts[1]]);
            sleep(Duration::from_millis(100));
        }
    }

    fn read_stream(&self, name: &str, fronts: [SocketAddr; 2]) {
        let until = Instant::now() + DEADLINE;
        let mut received = Received::default();
        let is_counted_new = self.lost.load(Ordering::Relaxed);
        let mut taken_up_at = None;
        for retry in 0..=RETRIES {
            let id = format!("w-{name}-{retry}");
            let left = until.saturating_duration_since(Instant::now());
            let (front, had) = (fronts[usize::from(retry > 0)], received.last_event);
            self.record
                .write(&format!("client sends {id} for events from {}", had + 1));
            let end = attempt(front, &id, left, &mut received).unwrap_or(End::Broken);
            let pause = match end {
                End::Whole => Duration::ZERO,
                End::Broken => {
                    self.record.write(&format!(
                        "{id} is broken off after event {}",
                        received.last_event
                    ));
                    Duration::from_millis(100)
                }
                End::Refused(status, retry_after) => {
                    self.record.write(&format!(
                        "{id} gets {status} with Retry-After {retry_after}"
                    ));
                    Duration::from_secs_f64(retry_after.min(left.as_secs_f64() / 3.0))
                }
            };
            if matches!(end, End::Whole) {
                self.record.write(&format!(
                    "{id} is whole, with events of {:?}",
                    received.software
                ));
                break;
            }
            if received.last_event > 0 {
                taken_up_at.get_or_insert(received.last_event);
            }
            sleep(pause);
        }
        let mut counts = self.counts.lock().expect("no thread panics with the lock");
        if let Some(from) = taken_up_at {
            counts.taken_up += 1;
            counts.gone_on += usize::from(received.last_event > from);
        } else if is_counted_new {
            counts.new += 1;
            counts.new_begun += usize::from(received.last_event > 0);
        }
        counts.mixed += usize::from(received.software.len() > 1);
    }
}

/// With `has_trouble` false, the machine is lost without a release of the engines.
pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let mut entries = Vec::new();
    for number in 1..=12 {
        entries.push(Engine::start(number, "v1", record, &store)?);
    }
    store.put("keyed.op", "config", CONFIG);
    let mut vms = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        vms.push(Vm::start(store.address, name, ZONE, "")?);
    }
    for vm in &mut vms {
        vm.wait_until_ready()?;
    }
    sleep(Duration::from_secs(4));
    let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
    let site = Arc::new(Site {
        record: record.clone(),
        lost: AtomicBool::new(false),
        over: AtomicBool::new(false),
        counts: Mutex::default(),
    });
    let mut clients = Vec::new();
    let mut start = |client: usize, fronts: [SocketAddr; 2]| {
        let site = Arc::clone(&site);
        clients.push(thread::spawn(move || site.read_streams(client, fronts)));
        sleep(STAGGER);
    };
    for client in 0..2 * OTHERS {
        let front = fronts[1 + client % 2];
        start(client, [front, front]);
    }
    for client in 0..READERS {
        start(100 + client, [fronts[0], fronts[1 + client % 2]]);
    }
    sleep(UNTIL_RELEASE);
    if has_trouble {
        Engine::start(13, "v2", record, &store)?;
        store.put(
            "keyed.servers",
            "e-12",
            &entries[11].replace("ready", "draining"),
        );
        record.write("e-12 drains");
    }
    sleep(UNTIL_LOSS);
    record.write("edge-1 is killed");
    site.lost.store(true, Ordering::Relaxed);
    vms[0].kill();
    sleep(UNTIL_RETURN);
    vms[0].restart()?;
    record.write("edge-1 starts again");
    sleep(UNTIL_END);
    site.over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let counts = *site.counts.lock().expect("no thread panics with the lock");
    let summary = format!(
        "{} of {} streams that were taken up went on, and {} of {} new ones began; {} streams hold events of two software versions",
        counts.gone_on, counts.taken_up, counts.new_begun, counts.new, counts.mixed
    );
    record.write(&summary);
    println!("{summary}");
    if counts.taken_up < 12 || counts.new_begun == 0 {
        return Err(io::Error::other("too few streams"));
    }
    let share = |part: usize, all: usize| part as f64 / all as f64;
    Ok(share(counts.gone_on, counts.taken_up) < share(counts.new_begun, counts.new) / 2.0)
}
