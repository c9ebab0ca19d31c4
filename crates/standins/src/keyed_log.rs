//! The users' platform as the direct mode uses it: a log of keyed topics over HTTP.
//!
//! The log implements the calls that the direct mode makes: unconditional and conditional appends, long-polling
//! reads, and paged listings of the newest record of each key. The log can be restored from a backup: its last
//! records are then lost, their offsets are assigned again, and the era in the `store-era` header increases.

use crate::RunningServer;
use poem::{
    Body, EndpointExt, Response, Route, get, handler,
    http::{HeaderValue, StatusCode},
    post,
    web::{Data, Query},
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::{BTreeMap, HashMap},
    future::pending,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Faults to inject into the log. Counters are decremented by each request that they affect.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Every call is refused with status 503.
    pub is_unavailable: bool,
    /// Every read and listing returns a body that cannot be decoded.
    pub has_malformed_reads: bool,
    /// Number of appends still to be applied without a response.
    pub lost_responses: usize,
    /// Waiting reads are not woken by new records; they end when their wait times out.
    pub suppresses_wakeups: bool,
    /// Maximum number of keys on a page of a listing; unlimited if none is set.
    pub max_page_keys: Option<usize>,
    /// Number of listing pages after the first still to be left without a response.
    pub unanswered_pages: usize,
    /// Topics whose listings are refused with status 503.
    pub refused_listings: Vec<String>,
    /// Era reported in place of the real one; an empty string omits the header.
    pub reported_era: Option<String>,
    /// Key and delay: appends of this key are applied after the delay, to the log as it is then (for example
    /// restored).
    pub delayed_key: Option<(String, Duration)>,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct LogState {
    /// Number of restores from a backup.
    restores: u64,
    topics: HashMap<String, Vec<StoredRecord>>,
    /// First readable offset of each compacted topic; zero for the others.
    first_offsets: HashMap<String, usize>,
    faults: LogFaults,
    calls: u64,
    /// Received append records by key, whether applied or not.
    appends: HashMap<String, usize>,
    /// Listings started, by topic.
    listings: HashMap<String, usize>,
}

#[derive(Default)]
struct SharedLog {
    state: Mutex<LogState>,
    changed: Notify,
}

/// Response header with the log's era: one plus the number of restores.
const ERA_HEADER: &str = "store-era";

impl SharedLog {
    /// Adds the era header to a response.
    fn with_era(&self, mut response: Response) -> Response {
        let state = self.lock();
        let actual_era = (state.restores + 1).to_string();
        let era = state.faults.reported_era.as_ref().unwrap_or(&actual_era);
        if let Ok(value) = HeaderValue::from_str(era)
            && !era.is_empty()
        {
            response.headers_mut().insert(ERA_HEADER, value);
        }
        response
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Counts a call and returns a refusal if the log is unavailable.
    fn refuse_if_unavailable(&self) -> Option<Response> {
        let mut state = self.lock();
        state.calls += 1;
        state.faults.is_unavailable.then(|| {
            Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .finish()
        })
    }
}

impl SharedLog {
    /// Counts a listing on its first page; whether a later page is left without a response.
    fn withholds_page(&self, query: &NewestQuery) -> bool {
        let mut state = self.lock();
        if query.after.is_none() {
            *state.listings.entry(query.topic.clone()).or_default() += 1;
            return false;
        }
        let is_withheld = state.faults.unanswered_pages > 0;
        state.faults.unanswered_pages = state.faults.unanswered_pages.saturating_sub(1);
        is_withheld
    }

    /// Counts an append of a key and returns the injected delay before it is applied.
    fn register_append(&self, key: &str) -> Option<Duration> {
        let mut state = self.lock();
        *state.appends.entry(key.to_owned()).or_default() += 1;
        let delayed_key = state.faults.delayed_key.as_ref();
        delayed_key
            .filter(|(delayed_key, _)| delayed_key == key)
            .map(|(_, delay)| *delay)
    }

    /// Appends records unless their expected revision differs from the topic's end; also whether the response is
    /// lost.
    fn append_if_current(
        &self,
        query: &AppendQuery,
        appended: Vec<StoredRecord>,
    ) -> (Response, bool) {
        let mut state = self.lock();
        let records = state.topics.entry(query.topic.clone()).or_default();
        if query.store_revision.is_some_and(|end| end != records.len()) {
            let end = json!({ "end": records.len() }).to_string();
            let refusal = Response::builder()
                .status(StatusCode::PRECONDITION_FAILED)
                .body(end);
            return (refusal, false);
        }
        let offset = records.len();
        records.extend(appended);
        let end = records.len();
        let is_lost = state.faults.lost_responses > 0;
        state.faults.lost_responses = state.faults.lost_responses.saturating_sub(1);
        let response = json!({ "offset": offset, "end": end }).to_string();
        (Response::builder().body(response), is_lost)
    }
}

/// A log that serves HTTP on loopback; it stops when dropped.
pub struct KeyedLog {
    server: RunningServer,
    shared: Arc<SharedLog>,
}

impl KeyedLog {
    /// Starts a log without topics.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(SharedLog::default());
        let app = Route::new()
            .at("/hoplanding/log-append", post(append))
            .at("/hoplanding/log-read", get(read))
            .at("/hoplanding/log-newest", get(newest))
            .data(Arc::clone(&shared));
        let era_source = Arc::clone(&shared);
        let app = app.after(move |response| {
            let era_source = Arc::clone(&era_source);
            async move { response.map(|response| era_source.with_era(response)) }
        });
        let server = RunningServer::start(app).await?;
        Ok(Self { server, shared })
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Appends a record as another writer (an operator or a target) would; no value is a tombstone that deletes the
    /// key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let record = StoredRecord {
            key: key.to_owned(),
            value: value.map(|value| value.as_bytes().to_vec()),
        };
        self.shared
            .lock()
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        self.shared.changed.notify_waiters();
    }

    /// Makes a topic's past records unreadable; listings still return the newest record of each key.
    pub fn compact(&self, topic: &str) {
        let mut state = self.shared.lock();
        let end = state.topics.get(topic).map_or(0, Vec::len);
        state.first_offsets.insert(topic.to_owned(), end);
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Restores the log from a backup that lacks the given number of last records of some topics, and starts a new
    /// era.
    ///
    /// Reads that wait at the log are not woken.
    pub fn restore(&self, dropped: &[(&str, usize)]) {
        let mut state = self.shared.lock();
        for (topic, count) in dropped {
            if let Some(records) = state.topics.get_mut(*topic) {
                let retained = records.len().saturating_sub(*count);
                records.truncate(retained);
            }
        }
        state.restores += 1;
    }

    /// Number of records of a topic, compacted ones included.
    #[must_use]
    pub fn len(&self, topic: &str) -> usize {
        self.shared.lock().topics.get(topic).map_or(0, Vec::len)
    }

    /// Whether a topic has no records.
    #[must_use]
    pub fn is_empty(&self, topic: &str) -> bool {
        self.len(topic) == 0
    }

    /// Newest value of a key; `None` if there is no record or the newest is a tombstone.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let mut records = state.topics.get(topic)?.iter().rev();
        let record = records.find(|record| record.key == key)?;
        let value = record.value.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Edits the injected faults in place.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.notify_waiters();
    }

    /// Number of listings of a topic started so far.
    #[must_use]
    pub fn listings(&self, topic: &str) -> usize {
        self.shared.lock().listings.get(topic).copied().unwrap_or(0)
    }

    /// Number of append records received for a key so far, whether applied or not.
    #[must_use]
    pub fn appends(&self, key: &str) -> usize {
        self.shared.lock().appends.get(key).copied().unwrap_or(0)
    }

    /// Number of calls counted so far; a read counts once on arrival and once after its wait.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Values of a key, oldest first, without tombstones.
    #[must_use]
    pub fn values(&self, topic: &str, key: &str) -> Vec<String> {
        let state = self.shared.lock();
        let records = state.topics.get(topic).into_iter().flatten();
        records
            .filter(|record| record.key == key)
            .filter_map(|record| record.value.as_ref())
            .map(|value| String::from_utf8_lossy(value).into_owned())
            .collect()
    }
}

#[derive(Deserialize)]
struct AppendQuery {
    topic: String,
    store_revision: Option<usize>,
}

#[handler]
async fn append(
    body: Body,
    Query(query): Query<AppendQuery>,
    Data(shared): Data<&Arc<SharedLog>>,
) -> Response {
    if let Some(refusal) = shared.refuse_if_unavailable() {
        return refusal;
    }
    let bytes = body.into_vec().await.unwrap_or_default();
    let Some(records) = decode_records(&bytes) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    let delays = records
        .iter()
        .filter_map(|record| shared.register_append(&record.key));
    if let Some(delay) = delays.max() {
        sleep(delay).await;
    }
    let (response, is_lost) = shared.append_if_current(&query, records);
    shared.changed.notify_waiters();
    if is_lost {
        pending::<()>().await;
    }
    response
}

fn decode_records(mut bytes: &[u8]) -> Option<Vec<StoredRecord>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(decode_record(record)?);
        bytes = rest;
    }
    Some(records)
}

fn decode_record(record: &[u8]) -> Option<StoredRecord> {
    let (key_length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*key_length))?;
    Some(StoredRecord {
        key: String::from_utf8(key.to_vec()).ok()?,
        value: (!value.is_empty()).then(|| value.to_vec()),
    })
}

#[derive(Deserialize)]
struct ReadQuery {
    topic: String,
    from: usize,
    #[serde(default)]
    wait_ms: u64,
}

#[handler]
async fn read(Query(query): Query<ReadQuery>, Data(shared): Data<&Arc<SharedLog>>) -> Response {
    if let Some(refusal) = shared.refuse_if_unavailable() {
        return refusal;
    }
    let has_more = || {
        let state = shared.lock();
        let end = state.topics.get(&query.topic).map_or(0, Vec::len);
        end != query.from
            || state
                .first_offsets
                .get(&query.topic)
                .is_some_and(|first| *first > query.from)
    };
    let wait = async {
        loop {
            let changed = shared.changed.notified();
            if has_more() {
                return;
            }
            changed.await;
            if shared.lock().faults.suppresses_wakeups {
                pending::<()>().await;
            }
        }
    };
    // After a timeout the response contains no records.
    let _ = timeout(Duration::from_millis(query.wait_ms), wait).await;
    if let Some(refusal) = shared.refuse_if_unavailable() {
        return refusal;
    }
    let state = shared.lock();
    if state.faults.has_malformed_reads {
        return Response::builder().body("what?");
    }
    let first = state.first_offsets.get(&query.topic).copied().unwrap_or(0);
    let end = state.topics.get(&query.topic).map_or(0, Vec::len);
    if first > query.from || query.from > end {
        return Response::builder()
            .status(StatusCode::GONE)
            .body(json!({ "first": first }).to_string());
    }
    let records = state
        .topics
        .get(&query.topic)
        .map_or(&[][..], Vec::as_slice);
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend((first as u64).to_be_bytes());
    for record in records.get(query.from..).unwrap_or_default() {
        let value = record.value.as_deref().unwrap_or_default();
        let length = 1 + record.key.len() + value.len();
        body.extend((length as u32).to_be_bytes());
        body.push(record.key.len() as u8);
        body.extend(record.key.as_bytes());
        body.extend(value);
    }
    Response::builder().body(body)
}

#[derive(Deserialize)]
struct NewestQuery {
    topic: String,
    after: Option<String>,
}

#[handler]
async fn newest(Query(query): Query<NewestQuery>, Data(shared): Data<&Arc<SharedLog>>) -> Response {
    if let Some(refusal) = shared.refuse_if_unavailable() {
        return refusal;
    }
    if shared.withholds_page(&query) {
        pending::<()>().await;
    }
    let state = shared.lock();
    if state.faults.has_malformed_reads {
        return Response::builder().body("what?");
    }
    if state.faults.refused_listings.contains(&query.topic) {
        return Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .finish();
    }
    let records = state
        .topics
        .get(&query.topic)
        .map_or(&[][..], Vec::as_slice);
    let newest: BTreeMap<_, _> = records
        .iter()
        .enumerate()
        .map(|(offset, record)| (&record.key, (offset, &record.value)))
        .collect();
    let max_page_keys = state.faults.max_page_keys.unwrap_or(usize::MAX);
    let mut remaining = newest
        .into_iter()
        .filter_map(|(key, (offset, value))| Some((key, offset, value.as_ref()?)))
        .filter(|(key, ..)| query.after.as_ref().is_none_or(|after| *key > after))
        .peekable();
    let items: Vec<_> = remaining
        .by_ref()
        .take(max_page_keys)
        .map(|(key, offset, value)| {
            json!({ "private_key": key, "value": base64(value), "offset": offset })
        })
        .collect();
    let has_more = remaining.peek().is_some();
    let page = json!({ "items": items, "has_more": has_more, "end": records.len() });
    Response::builder().body(page.to_string())
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}
