//! Stand-in of a worker of a plain service: it serves one request at a time on a connection, takes what is meant for
//! it, and answers with its signature.

use crate::{
    http::{Connection, Message, response},
    record::Record,
};
use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const SERVICE: &str = "wuno96b";
/// Work of a request, as on the sheet.
const WORK: Duration = Duration::from_millis(30);

/// When servers are in trouble, in seconds from the first request, each for no longer than the pages say.
const SECOND_ANSWERS: &[(u64, u64)] = &[(2, 7), (10, 15), (18, 23), (26, 31), (34, 39)];
const FAILURES: &[(u64, u64)] = &[(3, 7)];

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// To 3 in 100 of its answers it adds a second one, late, at the place where the next one is due: 421, with the id
    /// of the request that it had answered.
    LateSecondAnswers,
    /// It fails 4 in 10 of its requests after it has run them, with 503. It does not say that it has not run them.
    FailuresThatRan,
}

/// A worker.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Unix time of its start, in milliseconds.
    born_ms: u128,
}

struct Shared {
    id: String,
    trouble: Trouble,
    record: Arc<Record>,
    answers: AtomicU32,
    first_request: Arc<OnceLock<Instant>>,
}

impl Server {
    pub fn start(
        id: &str,
        trouble: Trouble,
        record: &Arc<Record>,
        first_request: &Arc<OnceLock<Instant>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            trouble,
            record: Arc::clone(record),
            answers: AtomicU32::new(0),
            first_request: Arc::clone(first_request),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || drop(shared.serve(Connection::new(stream))));
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            born_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since| since.as_millis()),
        })
    }

    /// What the worker says of itself in the store.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            self.address, self.born_ms
        )
    }
}

/// A number from 0 to 1 for a server's request, the same in each run.
fn draw(server: &str, number: u32) -> f64 {
    let seed = server.bytes().fold(u64::from(number) + 1, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (seed ^ (seed >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

impl Shared {
    /// Whether the server is in this trouble now.
    fn is_in(&self, trouble: Trouble) -> bool {
        let spans = match trouble {
            Trouble::None => return false,
            Trouble::LateSecondAnswers => SECOND_ANSWERS,
            Trouble::FailuresThatRan => FAILURES,
        };
        let at = self
            .first_request
            .get_or_init(Instant::now)
            .elapsed()
            .as_secs();
        self.trouble == trouble && spans.iter().any(|(from, to)| (*from..*to).contains(&at))
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        // The second answer that is still to be sent on this connection.
        let mut second: Option<(String, Vec<u8>)> = None;
        while let Some(request) = connection.read(false)? {
            if request.path() == "/health" {
                let headers = format!("Hoplanding-Instance-Id: {}\r\n", self.id);
                connection.write(&response("200 OK", &headers, b""))?;
                continue;
            }
            let id = request.header("hoplanding-request-id").to_owned();
            let expected = request.header("hoplanding-expect-instance");
            if !expected.is_empty() && expected != self.id {
                self.record.line(&format!("misdirect {id} at {}", self.id));
                connection.write(&self.turned_away(&id))?;
                continue;
            }
            self.record.run(&id, &self.id);
            self.first_request.get_or_init(Instant::now);
            if let Some((answered, late)) = second.take() {
                self.record.line(&format!(
                    "second    answer to {answered} from {}, where that to {id} is due",
                    self.id
                ));
                connection.write(&late)?;
            }
            let number = self.answers.fetch_add(1, Ordering::Relaxed);
            thread::sleep(WORK);
            if self.is_in(Trouble::FailuresThatRan) && draw(&self.id, number) < 0.4 {
                self.record.line(&format!(
                    "fails     {id} at {} with 503, after its run",
                    self.id
                ));
                let headers = self.headers(&request);
                connection.write(&response("503 Service Unavailable", &headers, b"failed"))?;
                continue;
            }
            let headers = self.headers(&request);
            connection.write(&response(
                "200 OK",
                &headers,
                format!("done {id}").as_bytes(),
            ))?;
            if self.is_in(Trouble::LateSecondAnswers) && number % 33 == 7 {
                second = Some((id.clone(), self.turned_away(&id)));
            }
        }
        Ok(())
    }

    fn headers(&self, request: &Message) -> String {
        let id = request.header("hoplanding-request-id");
        format!(
            "Hoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: {}.{id}\r\n",
            self.id
        )
    }

    fn turned_away(&self, id: &str) -> Vec<u8> {
        let headers = format!(
            "Hoplanding-Request-Id: {id}\r\nHoplanding-Instance-Id: {}\r\n",
            self.id
        );
        response("421 Misdirected Request", &headers, b"")
    }
}
