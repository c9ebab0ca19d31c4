//! Simulated platform: an append-only log with offsets and retention, and the list of VMs, both over HTTP.
//!
//! `POST /log/append` takes `{"records": [...]}` and returns `{"first": OFFSET}`. `GET /log/read?from=N&wait_ms=M`
//! waits up to `M` milliseconds for a record at offset `N` and returns `{"records": [{"offset", "record"}], "next":
//! N, "earliest": N}`, or 410 with `{"earliest": N}` when records at `from` have expired. `GET /vms` returns the
//! list. The `x-vm` header of a request names the VM that sends it, so that a test can partition single VMs from the
//! platform.

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

/// Maximum number of records that one read returns.
const MAX_RECORDS_PER_READ: usize = 5000;
/// How long the client of a lost response is kept waiting.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Faults to inject into the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Every request is refused with status 503.
    pub is_unavailable: bool,
    /// Delay before each append is applied.
    pub append_delay: Duration,
    /// Number of appends still to be applied with their response lost: after 30 s the client gets status 504.
    pub lost_responses: usize,
    /// VMs whose requests are refused with status 503, by the name in `x-vm`.
    pub partitioned_vms: HashSet<String>,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlatformVm {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// `IP:port` of the daemon's peer interface; empty for a VM without one.
    pub peer_address: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Default)]
struct PlatformState {
    /// Offset of the oldest retained record.
    first_offset: u64,
    records: VecDeque<Value>,
    retention: usize,
    faults: PlatformFaults,
    vms: BTreeMap<String, PlatformVm>,
    appends: u64,
    appended_records: u64,
    appended_bytes: u64,
}

/// A simulated platform that serves HTTP on loopback; it stops when dropped.
pub struct PlatformStandin {
    server: RunningServer,
    shared: Arc<SharedPlatform>,
}

#[derive(Default)]
struct SharedPlatform {
    state: Mutex<PlatformState>,
    changed: Notify,
}

impl SharedPlatform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn is_unreachable(&self, request: &Request) -> bool {
        let state = self.lock();
        let vm = request.header("x-vm").unwrap_or_default();
        state.faults.is_unavailable || state.faults.partitioned_vms.contains(vm)
    }
}

impl PlatformStandin {
    /// Starts a platform whose log retains the newest `retention` records.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start(retention: usize) -> io::Result<Self> {
        let shared = Arc::new(SharedPlatform::default());
        {
            let mut state = shared.lock();
            state.first_offset = 1;
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

    /// Listening address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Edits the injected faults in place.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.notify_waiters();
    }

    /// Adds a VM to the list, or replaces its entry.
    pub fn upsert_vm(&self, vm: &str, zone: &str, peer_address: &str, state: &str) {
        let entry = PlatformVm {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            peer_address: peer_address.to_owned(),
            state: state.to_owned(),
        };
        self.shared.lock().vms.insert(vm.to_owned(), entry);
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, vm: &str) {
        self.shared.lock().vms.remove(vm);
    }

    /// Appends a record directly, without the faults of requests, and returns its offset.
    pub fn append_record(&self, record: Value) -> u64 {
        let offset = push_records(&mut self.shared.lock(), vec![record]);
        self.shared.changed.notify_waiters();
        offset
    }

    /// Retained records with their offsets.
    #[must_use]
    pub fn records(&self) -> Vec<(u64, Value)> {
        let state = self.shared.lock();
        let offsets = state.first_offset..;
        offsets.zip(state.records.iter().cloned()).collect()
    }

    /// Numbers of append calls, of records and of their bytes as JSON, since the start.
    #[must_use]
    pub fn append_totals(&self) -> (u64, u64, u64) {
        let state = self.shared.lock();
        (state.appends, state.appended_records, state.appended_bytes)
    }

    /// Drops all retained records, as when the retention has passed; offsets continue.
    pub fn expire_all(&self) {
        let mut state = self.shared.lock();
        state.first_offset += state.records.len() as u64;
        state.records.clear();
    }
}

fn push_records(state: &mut PlatformState, records: Vec<Value>) -> u64 {
    let offset = state.first_offset + state.records.len() as u64;
    state.appends += 1;
    for record in records {
        state.appended_records += 1;
        state.appended_bytes += record.to_string().len() as u64;
        state.records.push_back(record);
        if state.records.len() > state.retention {
            state.records.pop_front();
            state.first_offset += 1;
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
    if shared.is_unreachable(request) {
        return unavailable();
    }
    let delay = shared.lock().faults.append_delay;
    tokio::time::sleep(delay).await;
    let (first_offset, is_lost) = {
        let mut state = shared.lock();
        let first_offset = push_records(&mut state, body.0.records);
        let is_lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        (first_offset, is_lost)
    };
    shared.changed.notify_waiters();
    if is_lost {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    Json(json!({ "first": first_offset })).into_response()
}

#[handler]
async fn read(
    request: &Request,
    query: Query<ReadQuery>,
    shared: Data<&Arc<SharedPlatform>>,
) -> Response {
    if shared.is_unreachable(request) {
        return unavailable();
    }
    let waited = timeout(
        Duration::from_millis(query.wait_ms),
        wait_for_record(&shared, query.from),
    )
    .await;
    if waited.is_err() && shared.is_unreachable(request) {
        return unavailable();
    }
    let state = shared.lock();
    if query.from < state.first_offset {
        let body = Json(json!({ "earliest": state.first_offset }));
        return body.with_status(StatusCode::GONE).into_response();
    }
    let skipped = (query.from - state.first_offset) as usize;
    let records = state
        .records
        .iter()
        .skip(skipped)
        .take(MAX_RECORDS_PER_READ)
        .zip(query.from..);
    let records: Vec<_> = records
        .map(|(record, offset)| json!({ "offset": offset, "record": record }))
        .collect();
    let next = query.from + records.len() as u64;
    Json(json!({ "records": records, "next": next, "earliest": state.first_offset }))
        .into_response()
}

async fn wait_for_record(shared: &SharedPlatform, offset: u64) {
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        {
            let state = shared.lock();
            if state.first_offset + state.records.len() as u64 > offset
                || state.faults.is_unavailable
            {
                return;
            }
        }
        changed.await;
    }
}

#[handler]
async fn list_vms(request: &Request, shared: Data<&Arc<SharedPlatform>>) -> Response {
    if shared.is_unreachable(request) {
        return unavailable();
    }
    let vms: Vec<_> = shared.lock().vms.values().cloned().collect();
    Json(vms).into_response()
}
