//! Engines and plain services that write down what reaches them.

use crate::{
    callers::FORGED,
    checks::{EVENTS, event_text, whole_body},
    history::{CallKind, SeenEntry, SharedHistory},
};
use hoplanding_platform::names::{
    EXPECT_INSTANCE, LAST_EVENT, MODEL, NOT_EXECUTED, ORDER_PATH, REPORT_PATH, REQUEST_ID, SEAL,
};
use hoplanding_standins::raw_target::{RawAnswer, RawRequest, RawTarget};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Places for adapters at an engine.
pub const PLACES: usize = 4;
/// Requests that a target works on at once, as it is listed.
const SLOTS: usize = 8;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Time that a plain call takes.
const PLAIN_WORK: Duration = Duration::from_millis(15);
/// Event within which a breaking target stops.
const BREAKS_AT: u32 = 5;

/// What a target serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRole {
    /// Adapters of one base model.
    Engine,
    /// Plain calls.
    Plain,
}

/// A fault that the soak's own checks have to find; none in a real run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlantedFault {
    /// None.
    #[default]
    None,
    /// A target writes each run down twice, as if it had run twice.
    RunsTwice,
    /// An engine writes down another adapter than it was asked for.
    WrongAdapter,
    /// A stream leaves an event out.
    DropsEvent,
}

#[derive(Debug, Default)]
struct TargetState {
    /// Versions by adapter.
    adapters: BTreeMap<String, u64>,
    orders_taken: u64,
    token: u64,
    breaks: bool,
    sheds: bool,
    /// Requests seen while it sheds.
    shed_count: u64,
}

/// A running target.
pub struct SoakTarget {
    /// Its name, as it is listed.
    pub name: String,
    /// What it serves.
    pub role: TargetRole,
    /// Its zone.
    pub zone: String,
    server: RawTarget,
    state: Arc<Mutex<TargetState>>,
}

impl SoakTarget {
    /// Starts a target.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start(
        name: &str,
        role: TargetRole,
        zone: &str,
        history: SharedHistory,
        planted: PlantedFault,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(TargetState::default()));
        let desk = TargetDesk {
            name: name.to_owned(),
            history,
            state: Arc::clone(&state),
            planted,
        };
        let server = RawTarget::start(move |request: &RawRequest| desk.answer(request)).await?;
        Ok(Self {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            server,
            state,
        })
    }

    /// Where it is reached.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Whether it breaks off what it answers from now on.
    pub fn set_breaking(&self, breaks: bool) {
        lock(&self.state).breaks = breaks;
    }

    /// Whether it turns two of three requests away from now on.
    pub fn set_shedding(&self, sheds: bool) {
        lock(&self.state).sheds = sheds;
    }

    /// Its entry in the list of targets.
    #[must_use]
    pub fn entry(&self, is_leaving: bool) -> String {
        let state = lock(&self.state);
        let models = match self.role {
            TargetRole::Engine => json!([{
                "name": "base", "version": 1, "adapters": listed(&state.adapters),
            }]),
            TargetRole::Plain => json!([]),
        };
        json!({
            "service": service_of(self.role),
            "address": self.address().to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": if is_leaving { "draining" } else { "ready" },
            "cold_remaining_ms": 0,
            "sequence": state.orders_taken,
            "models": models,
        })
        .to_string()
    }
}

/// Name of the service that targets of a role belong to.
#[must_use]
pub fn service_of(role: TargetRole) -> &'static str {
    match role {
        TargetRole::Engine => "scribe",
        TargetRole::Plain => "ledger",
    }
}

/// Answers requests.
struct TargetDesk {
    name: String,
    history: SharedHistory,
    state: Arc<Mutex<TargetState>>,
    planted: PlantedFault,
}

impl TargetDesk {
    fn answer(&self, request: &RawRequest) -> RawAnswer {
        let path = request.line().split(' ').nth(1).unwrap_or_default();
        if request
            .header(EXPECT_INSTANCE)
            .is_some_and(|name| name != self.name)
        {
            return refusal(request, "421 Misdirected Request");
        }
        match path {
            REPORT_PATH => self.report(),
            ORDER_PATH => self.take_order(request),
            _ => self.run(request, path),
        }
    }

    fn report(&self) -> RawAnswer {
        let state = lock(&self.state);
        let report = json!({
            "sequence": state.orders_taken,
            "models": [{ "name": "base", "adapters": listed(&state.adapters) }],
        });
        RawAnswer::whole("200 OK", "", &report.to_string())
    }

    fn take_order(&self, request: &RawRequest) -> RawAnswer {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let token = order["fencing_token"].as_u64().unwrap_or(0);
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let mut state = lock(&self.state);
        if token < state.token {
            return RawAnswer::whole("412 Precondition Failed", "", "");
        }
        if order["expected"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders_taken)
        {
            return RawAnswer::whole("409 Conflict", "", "");
        }
        state.token = token;
        state.orders_taken += 1;
        self.history.add(SeenEntry::Ordered {
            target: self.name.clone(),
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            token,
        });
        if order["operation"] == "unload" {
            state.adapters.remove(&adapter);
            return RawAnswer::whole("200 OK", "", "");
        }
        let version = order["version"].as_u64().unwrap_or(1);
        state.adapters.insert(adapter, version);
        if state.adapters.len() > PLACES {
            self.history.add(SeenEntry::Overfilled {
                target: self.name.clone(),
            });
        }
        RawAnswer::whole("202 Accepted", "", "")
    }

    fn run(&self, request: &RawRequest, path: &str) -> RawAnswer {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        if request.head.contains(FORGED) {
            self.history.add(SeenEntry::Forged {
                id: id.clone(),
                target: self.name.clone(),
            });
        }
        let named = request.header(MODEL).unwrap_or_default();
        let adapter = named.split_once('/').map_or("", |(_, adapter)| adapter);
        let breaks_off = {
            let mut state = lock(&self.state);
            state.shed_count += 1;
            if state.sheds && !state.shed_count.is_multiple_of(3) {
                self.history.add(SeenEntry::TurnedAway {
                    id,
                    target: self.name.clone(),
                });
                return refusal(request, "503 Service Unavailable");
            }
            if !adapter.is_empty() && !state.adapters.contains_key(adapter) {
                return refusal(request, "421 Misdirected Request");
            }
            state.breaks
        };
        let noted = match self.planted {
            PlantedFault::WrongAdapter => "another",
            _ => adapter,
        };
        let runs = 1 + usize::from(self.planted == PlantedFault::RunsTwice);
        for _ in 0..runs {
            self.history.add(SeenEntry::Ran {
                id: id.clone(),
                target: self.name.clone(),
                adapter: noted.to_owned(),
                breaks_off,
            });
        }
        if adapter.is_empty() {
            plain_answer(request, &id, breaks_off)
        } else {
            let skipped = (self.planted == PlantedFault::DropsEvent).then_some(3);
            stream_answer(request, &id, path, breaks_off, skipped)
        }
    }
}

fn plain_answer(request: &RawRequest, id: &str, breaks_off: bool) -> RawAnswer {
    let body = whole_body(CallKind::Once, id, 0);
    let mut answer = RawAnswer::whole("200 OK", &sealed(request), &body);
    answer.pieces[0].0 = PLAIN_WORK;
    if breaks_off {
        answer.pieces[0].1.truncate(40);
        answer.closes = true;
    }
    answer
}

fn stream_answer(
    request: &RawRequest,
    id: &str,
    path: &str,
    breaks_off: bool,
    skipped: Option<u32>,
) -> RawAnswer {
    let from = request
        .header(LAST_EVENT)
        .and_then(|last| last.parse::<u32>().ok())
        .filter(|_| path.starts_with("/resumed/"))
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        sealed(request)
    );
    let mut pieces = vec![(Duration::ZERO, head.into_bytes())];
    for event in from + 1..=EVENTS {
        let text = event_text(id, event);
        if breaks_off && event >= BREAKS_AT {
            pieces.push((EVENT_PAUSE, chunk(&text[..8])));
            return RawAnswer {
                pieces,
                closes: true,
            };
        }
        if skipped != Some(event) {
            pieces.push((EVENT_PAUSE, chunk(&text)));
        }
    }
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawAnswer {
        pieces,
        closes: false,
    }
}

fn refusal(request: &RawRequest, status: &str) -> RawAnswer {
    let headers = format!("{}{NOT_EXECUTED}: 1\r\n", sealed(request));
    RawAnswer::whole(status, &headers, "")
}

fn sealed(request: &RawRequest) -> String {
    let id = request.header(REQUEST_ID).unwrap_or_default();
    format!("{REQUEST_ID}: {id}\r\n{SEAL}: seal\r\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn listed(adapters: &BTreeMap<String, u64>) -> Vec<String> {
    adapters
        .iter()
        .map(|(adapter, version)| format!("{adapter}@{version}"))
        .collect()
}

fn lock(state: &Mutex<TargetState>) -> MutexGuard<'_, TargetState> {
    state.lock().expect("no holder of the lock panics")
}
