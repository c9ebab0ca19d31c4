//! The platform: an append-only log with offsets, and a list of VMs.
//!
//! `POST /log/append` takes `{"records": [...]}` and returns `{"first": OFFSET}`. `GET /log/read?from=N&wait_ms=M`
//! returns `{"records": [{"offset", "record"}], "next": N}`, or 410 with `{"earliest": N}` when `from` has expired.
//! `GET /vms` returns the list. A request names its VM in `x-vm`, so that a zone can be cut off.

use crate::RunningServer;
use poem::{
    EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Query},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::Notify, time::timeout};

/// Records that one read returns at the most.
const READ_MOST: usize = 5000;
/// How long a lost answer keeps its client waiting.
const LOST_FOR: Duration = Duration::from_secs(30);

/// Faults of the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Nothing can be read or appended.
    pub is_unavailable: bool,
    /// Time that each append takes.
    pub append_delay: Duration,
    /// Appends whose answer is lost after they took effect.
    pub lost_responses: usize,
    /// VMs that are cut off.
    pub partitioned_vms: HashSet<String>,
}

/// A VM of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlatformVm {
    /// Its name.
    pub vm: String,
    /// Its zone.
    pub zone: String,
    /// `IP:port` of its daemon's peer interface.
    pub peer_address: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Default)]
struct PlatformState {
    first: u64,
    records: VecDeque<Value>,
    retention: usize,
    faults: PlatformFaults,
    vms: BTreeMap<String, PlatformVm>,
    appends: u64,
    appended_records: u64,
    appended_bytes: u64,
}

/// A running platform.
pub struct PlatformStandin {
    server: RunningServer,
    shared: Arc<SharedPlatform>,
}

#[derive(Default)]
struct SharedPlatform {
    state: Mutex<PlatformState>,
    grown: Notify,
}

impl SharedPlatform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn is_cut(&self, request: &Request) -> bool {
        let state = self.lock();
        let vm = request.header("x-vm").unwrap_or_default();
        state.faults.is_unavailable || state.faults.partitioned_vms.contains(vm)
    }
}

impl PlatformStandin {
    /// Starts a platform whose log keeps `retention` records.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start(retention: usize) -> io::Result<Self> {
        let shared = Arc::new(SharedPlatform::default());
        {
            let mut state = shared.lock();
            state.first = 1;
            state.retention = retention;
        }
        let app = Route::new()
            .at("/log/append", post(append))
            .at("/log/read", get(read))
            .at("/vms", get(list_vms))
            .data(Arc::clone(&shared));
        let server = RunningServer::start(app).await?;
        Ok(Self { server, shared })
    }

    /// Its address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.grown.notify_waiters();
    }

    /// Puts a VM in the list, or changes it.
    pub fn upsert_vm(&self, vm: &str, zone: &str, peer_address: &str, state: &str) {
        let entry = PlatformVm {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            peer_address: peer_address.to_owned(),
            state: state.to_owned(),
        };
        self.shared.lock().vms.insert(vm.to_owned(), entry);
    }

    /// Takes a VM off the list.
    pub fn remove_vm(&self, vm: &str) {
        self.shared.lock().vms.remove(vm);
    }

    /// Appends a record as if a daemon had done so; returns its offset.
    pub fn append_record(&self, record: Value) -> u64 {
        let offset = push_records(&mut self.shared.lock(), vec![record]);
        self.shared.grown.notify_waiters();
        offset
    }

    /// Records that are kept, with their offsets.
    #[must_use]
    pub fn records(&self) -> Vec<(u64, Value)> {
        let state = self.shared.lock();
        let offsets = state.first..;
        offsets.zip(state.records.iter().cloned()).collect()
    }

    /// Appends, records and bytes appended so far.
    #[must_use]
    pub fn append_totals(&self) -> (u64, u64, u64) {
        let state = self.shared.lock();
        (state.appends, state.appended_records, state.appended_bytes)
    }

    /// Drops every record that is kept, as if all had expired.
    pub fn expire_all(&self) {
        let mut state = self.shared.lock();
        state.first += state.records.len() as u64;
        state.records.clear();
    }
}

fn push_records(state: &mut PlatformState, records: Vec<Value>) -> u64 {
    let offset = state.first + state.records.len() as u64;
    state.appends += 1;
    for record in records {
        state.appended_records += 1;
        state.appended_bytes += record.to_string().len() as u64;
        state.records.push_back(record);
        if state.records.len() > state.retention {
            state.records.pop_front();
            state.first += 1;
        }
    }
    offset
}

#[derive(Deserialize)]
struct AppendRequest {
    records: Vec<Value>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

fn unavailable() -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into_response()
}

#[handler]
async fn append(
    request: &Request,
    body: Json<AppendRequest>,
    shared: Data<&Arc<SharedPlatform>>,
) -> Response {
    if shared.is_cut(request) {
        return unavailable();
    }
    let delay = shared.lock().faults.append_delay;
    tokio::time::sleep(delay).await;
    let (first, lost) = {
        let mut state = shared.lock();
        let first = push_records(&mut state, body.0.records);
        let lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        (first, lost)
    };
    shared.grown.notify_waiters();
    if lost {
        tokio::time::sleep(LOST_FOR).await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(json!({ "first": first })).into_response()
}

#[handler]
async fn read(
    request: &Request,
    query: Query<ReadQuery>,
    shared: Data<&Arc<SharedPlatform>>,
) -> Response {
    if shared.is_cut(request) {
        return unavailable();
    }
    let waited = timeout(
        Duration::from_millis(query.wait_ms),
        wait_for(&shared, query.from),
    )
    .await;
    if waited.is_err() && shared.is_cut(request) {
        return unavailable();
    }
    let state = shared.lock();
    if query.from < state.first {
        let body = Json(json!({ "earliest": state.first }));
        return body.with_status(StatusCode::GONE).into_response();
    }
    let skipped = (query.from - state.first) as usize;
    let records = state
        .records
        .iter()
        .skip(skipped)
        .take(READ_MOST)
        .zip(query.from..);
    let records: Vec<_> = records
        .map(|(record, offset)| json!({ "offset": offset, "record": record }))
        .collect();
    let next = query.from + records.len() as u64;
    Json(json!({ "records": records, "next": next, "earliest": state.first })).into_response()
}

async fn wait_for(shared: &SharedPlatform, offset: u64) {
    loop {
        let grown = shared.grown.notified();
        tokio::pin!(grown);
        grown.as_mut().enable();
        {
            let state = shared.lock();
            if state.first + state.records.len() as u64 > offset || state.faults.is_unavailable {
                return;
            }
        }
        grown.await;
    }
}

#[handler]
async fn list_vms(request: &Request, shared: Data<&Arc<SharedPlatform>>) -> Response {
    if shared.is_cut(request) {
        return unavailable();
    }
    let vms: Vec<_> = shared.lock().vms.values().cloned().collect();
    Json(vms).into_response()
}
