//! Stand-in of a model worker: it holds one base model and the adapters that it is ordered to load, answers reports and
//! orders, and streams a few events for each request. It is sound.

use crate::{
    http::{Connection, Message, response},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const MODEL: &str = "daka510000";
const ADAPTER_SLOTS: usize = 21;
/// Time for which an adapter is on its way.
const LOAD: Duration = Duration::from_millis(250);
const EVENTS: u32 = 5;
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// A model worker.
pub struct Engine {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    born_ms: u128,
}

#[derive(Default)]
struct State {
    /// Adapters, and when each is there.
    adapters: BTreeMap<String, Instant>,
    sequence: u64,
    active: u32,
    newest_token: u64,
}

struct Shared {
    id: String,
    service: String,
    born_ms: u128,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Engine {
    pub fn start(id: &str, service: &str, record: &Arc<Record>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let born_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis());
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            born_ms,
            record: Arc::clone(record),
            state: Mutex::default(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || drop(shared.serve(Connection::new(stream))));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            born_ms,
        })
    }

    /// What the worker says of itself in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"stage":"colocated","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"sequence":0,"born":{}}}"#,
            self.service, self.address, self.born_ms
        )
    }
}

impl Shared {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.read(false)? {
            let expected = request.header("hoplanding-expect-instance");
            if !expected.is_empty() && expected != self.id {
                connection.write(&self.misdirected(&request))?;
                continue;
            }
            match request.path() {
                "/health" => {
                    let headers = format!("Hoplanding-Instance-Id: {}\r\n", self.id);
                    connection.write(&response("200 OK", &headers, b""))?;
                }
                "/hoplanding/report" => connection.write(&self.report())?,
                "/hoplanding/order" => connection.write(&self.order(&request))?,
                _ => self.run(&mut connection, &request)?,
            }
        }
        Ok(())
    }

    fn misdirected(&self, request: &Message) -> Vec<u8> {
        let headers = format!(
            "Hoplanding-Request-Id: {}\r\nHoplanding-Instance-Id: {}\r\n",
            request.header("hoplanding-request-id"),
            self.id
        );
        response("421 Misdirected Request", &headers, b"")
    }

    fn report(&self) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let names = |is_there: bool| {
            let adapters = state.adapters.iter();
            adapters
                .filter(move |(_, at)| (**at <= now) == is_there)
                .map(|(name, _)| name.clone())
                .collect::<Vec<_>>()
        };
        let there: Vec<_> = names(true)
            .iter()
            .map(|name| format!("\"{name}@1\""))
            .collect();
        let coming: Vec<_> = names(false)
            .iter()
            .map(|name| format!("\"{MODEL}/{name}@1\""))
            .collect();
        let body = format!(
            r#"{{"stage":"colocated","models":[{{"name":"{MODEL}","version":1,"adapters":[{}]}}],"utilization":false,"sequence":{},"queued":0,"active":{},"kv_used":0,"kv_total":131025,"handles":0,"coming":[{}],"born":{}}}"#,
            there.join(","),
            state.sequence,
            state.active,
            coming.join(","),
            self.born_ms
        );
        response(
            "200 OK",
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn order(&self, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.state.lock().unwrap();
        let number = |name| field(&body, name).and_then(|text| text.parse::<u64>().ok());
        let Some(token) = number("fencing_token") else {
            return response("400 Bad Request", "", b"");
        };
        if token < state.newest_token {
            return response("412 Precondition Failed", "", b"");
        }
        state.newest_token = token;
        if number("expected").is_some_and(|expected| expected != state.sequence) {
            return response("409 Conflict", "", b"");
        }
        let Some(adapter) = field(&body, "adapter") else {
            // The base model is there from the start.
            return response("200 OK", "", b"");
        };
        let status = match field(&body, "operation").as_deref() {
            Some("load") if state.adapters.contains_key(&adapter) => "200 OK",
            Some("load") if state.adapters.len() >= ADAPTER_SLOTS => "400 Bad Request",
            Some("load") => {
                state
                    .adapters
                    .insert(adapter.clone(), Instant::now() + LOAD);
                state.sequence += 1;
                "202 Accepted"
            }
            Some("unload") => {
                state.adapters.remove(&adapter);
                state.sequence += 1;
                "200 OK"
            }
            _ => "400 Bad Request",
        };
        self.record
            .line(&format!("order     {body} at {}: {status}", self.id));
        response(status, "", b"")
    }

    fn run(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let id = request.header("hoplanding-request-id");
        let subject = request.header("hoplanding-model");
        let is_there = {
            let state = self.state.lock().unwrap();
            match subject.split_once('/') {
                Some((MODEL, adapter)) => {
                    let at = state.adapters.get(adapter);
                    at.is_some_and(|at| *at <= Instant::now())
                }
                _ => subject == MODEL,
            }
        };
        if !is_there {
            return connection.write(&self.misdirected(request));
        }
        self.record.run(id, &self.id);
        self.record.served(id, &self.service);
        self.state.lock().unwrap().active += 1;
        let streamed = self.stream(connection, id);
        self.state.lock().unwrap().active -= 1;
        streamed
    }

    fn stream(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: {}.{id}\r\n\
             Hoplanding-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())?;
        for number in 1..=EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: {} {id}\n\n", self.service);
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        connection.write(b"0\r\n\r\n")
    }
}

/// The service of model workers in a configuration, in the words of the deployment's sheet.
pub fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":131025,"kv_token_bytes":163840,"link_mbps":130000.0,"moves":true,"backups":true,"stride":2,"at_most":12,"host_mb":130000.0,"disk_mb":390000.0,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}","weights_size":42700.0,"load_s":0.6,"adapters":3000,"adapter_mb":66.0,"warm_s":0.89,"disk_s":1.2}}],"weights_size":45000.0,"adapter_slots":21,"loads_per_s":3.3}}}}"#
    )
}

/// The value of a field of a flat JSON object.
fn field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let value = rest.split([',', '}']).next()?;
    Some(value.trim().trim_matches('"').to_owned())
}
