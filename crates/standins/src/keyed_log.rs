//! The users' platform as the direct mode meets it: a log of keyed topics over HTTP.
//!
//! Only what the direct mode uses: appends with and without a condition, reads that wait, and the newest of each key. The
//! log can come back from a copy: then its last records are gone, their offsets are given out again, and its era rises.

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

/// Faults of the log.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Every call is refused.
    pub is_unavailable: bool,
    /// Every read answers bytes that are no records.
    pub has_malformed_reads: bool,
    /// Appends that are done, but whose answer is lost.
    pub lost_responses: usize,
    /// Reads that wait are not woken by new records.
    pub suppresses_wakeups: bool,
    /// Keys of a listing's page; all if none is set.
    pub max_page_keys: Option<usize>,
    /// Pages behind the first that are never answered.
    pub unanswered_pages: usize,
    /// Topics whose listings are refused.
    pub refused_listings: Vec<String>,
    /// What answers say of the era in place of the truth; an empty text leaves the header out.
    pub reported_era: Option<String>,
    /// A key whose appends are done a while after they came, whatever has happened to the log since.
    pub delayed_key: Option<(String, Duration)>,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    key: String,
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct LogState {
    /// How often the log came back from a copy.
    restores: u64,
    topics: HashMap<String, Vec<StoredRecord>>,
    /// First offset kept of each topic.
    first: HashMap<String, usize>,
    faults: LogFaults,
    calls: u64,
    /// Appends that came, by key.
    appends: HashMap<String, usize>,
    /// Listings that were begun, by topic.
    listings: HashMap<String, usize>,
}

#[derive(Default)]
struct SharedLog {
    state: Mutex<LogState>,
    grown: Notify,
}

/// Header: how often the log came back from a copy, counted from one.
const ERA: &str = "store-era";

impl SharedLog {
    /// An answer with what it says of the log's era.
    fn with_era(&self, mut answer: Response) -> Response {
        let state = self.lock();
        let truth = (state.restores + 1).to_string();
        let era = state.faults.reported_era.as_ref().unwrap_or(&truth);
        if let Ok(value) = HeaderValue::from_str(era)
            && !era.is_empty()
        {
            answer.headers_mut().insert(ERA, value);
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Refuses a call as the faults say.
    fn refusal(&self) -> Option<Response> {
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
    /// Counts a listing that begins; says whether a later page stays without an answer.
    fn stays_silent(&self, query: &NewestQuery) -> bool {
        let mut state = self.lock();
        if query.after.is_none() {
            *state.listings.entry(query.topic.clone()).or_default() += 1;
            return false;
        }
        let is_silent = state.faults.unanswered_pages > 0;
        state.faults.unanswered_pages = state.faults.unanswered_pages.saturating_sub(1);
        is_silent
    }

    /// Counts an append that came; gives the time after which it is done.
    fn begin_append(&self, key: &str) -> Option<Duration> {
        let mut state = self.lock();
        *state.appends.entry(key.to_owned()).or_default() += 1;
        let delayed = state.faults.delayed_key.as_ref();
        delayed
            .filter(|(delayed, _)| delayed == key)
            .map(|(_, delay)| *delay)
    }

    /// Appends records if their condition holds; says whether the answer is lost.
    fn take(&self, query: &AppendQuery, appended: Vec<StoredRecord>) -> (Response, bool) {
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
        let answer = json!({ "offset": offset, "end": end }).to_string();
        (Response::builder().body(answer), is_lost)
    }
}

/// A running log.
pub struct KeyedLog {
    server: RunningServer,
    shared: Arc<SharedLog>,
}

impl KeyedLog {
    /// Starts an empty log.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start() -> io::Result<Self> {
        let shared = Arc::new(SharedLog::default());
        let app = Route::new()
            .at("/hoplanding/log-append", post(append))
            .at("/hoplanding/log-read", get(read))
            .at("/hoplanding/log-newest", get(newest))
            .data(Arc::clone(&shared));
        let told = Arc::clone(&shared);
        let app = app.after(move |answer| {
            let told = Arc::clone(&told);
            async move { answer.map(|answer| told.with_era(answer)) }
        });
        let server = RunningServer::start(app).await?;
        Ok(Self { server, shared })
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address
    }

    /// Writes a record, as an operator or a target does; none drops the key.
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
        self.shared.grown.notify_waiters();
    }

    /// Forgets the history of a topic; the newest of each key stay.
    pub fn compact(&self, topic: &str) {
        let mut state = self.shared.lock();
        let end = state.topics.get(topic).map_or(0, Vec::len);
        state.first.insert(topic.to_owned(), end);
        drop(state);
        self.shared.grown.notify_waiters();
    }

    /// Comes back from a copy that lacks the last records of some topics. What waits at the log goes on waiting.
    pub fn restore(&self, lost: &[(&str, usize)]) {
        let mut state = self.shared.lock();
        for (topic, count) in lost {
            if let Some(records) = state.topics.get_mut(*topic) {
                let kept = records.len().saturating_sub(*count);
                records.truncate(kept);
            }
        }
        state.restores += 1;
    }

    /// Records of a topic.
    #[must_use]
    pub fn len(&self, topic: &str) -> usize {
        self.shared.lock().topics.get(topic).map_or(0, Vec::len)
    }

    /// Whether a topic has no records.
    #[must_use]
    pub fn is_empty(&self, topic: &str) -> bool {
        self.len(topic) == 0
    }

    /// The newest value under a key; none if there is none, or it was dropped.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let mut records = state.topics.get(topic)?.iter().rev();
        let record = records.find(|record| record.key == key)?;
        let value = record.value.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.grown.notify_waiters();
    }

    /// Listings of a topic that were begun so far.
    #[must_use]
    pub fn listings(&self, topic: &str) -> usize {
        self.shared.lock().listings.get(topic).copied().unwrap_or(0)
    }

    /// Appends of a key that came so far, done or not.
    #[must_use]
    pub fn appends(&self, key: &str) -> usize {
        self.shared.lock().appends.get(key).copied().unwrap_or(0)
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Values under a key, oldest first.
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
    if let Some(refusal) = shared.refusal() {
        return refusal;
    }
    let bytes = body.into_vec().await.unwrap_or_default();
    let Some(records) = decode_all(&bytes) else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    let delays = records
        .iter()
        .filter_map(|record| shared.begin_append(&record.key));
    if let Some(delay) = delays.max() {
        sleep(delay).await;
    }
    let (answer, is_lost) = shared.take(&query, records);
    shared.grown.notify_waiters();
    if is_lost {
        pending::<()>().await;
    }
    answer
}

fn decode_all(mut bytes: &[u8]) -> Option<Vec<StoredRecord>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let (record, rest) = rest.split_at_checked(u32::from_be_bytes(*length) as usize)?;
        records.push(decode(record)?);
        bytes = rest;
    }
    Some(records)
}

fn decode(record: &[u8]) -> Option<StoredRecord> {
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
    if let Some(refusal) = shared.refusal() {
        return refusal;
    }
    let has_more = || {
        let state = shared.lock();
        let end = state.topics.get(&query.topic).map_or(0, Vec::len);
        end != query.from
            || state
                .first
                .get(&query.topic)
                .is_some_and(|first| *first > query.from)
    };
    let waiting = async {
        loop {
            let grown = shared.grown.notified();
            if has_more() {
                return;
            }
            grown.await;
            if shared.lock().faults.suppresses_wakeups {
                pending::<()>().await;
            }
        }
    };
    // Out of time: the answer then holds no records.
    let _ = timeout(Duration::from_millis(query.wait_ms), waiting).await;
    if let Some(refusal) = shared.refusal() {
        return refusal;
    }
    let state = shared.lock();
    if state.faults.has_malformed_reads {
        return Response::builder().body("what?");
    }
    let first = state.first.get(&query.topic).copied().unwrap_or(0);
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
    if let Some(refusal) = shared.refusal() {
        return refusal;
    }
    if shared.stays_silent(&query) {
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
    let mut behind = newest
        .into_iter()
        .filter_map(|(key, (offset, value))| Some((key, offset, value.as_ref()?)))
        .filter(|(key, ..)| query.after.as_ref().is_none_or(|after| *key > after))
        .peekable();
    let items: Vec<_> = behind
        .by_ref()
        .take(max_page_keys)
        .map(|(key, offset, value)| {
            json!({ "private_key": key, "value": base64(value), "offset": offset })
        })
        .collect();
    let has_more = behind.peek().is_some();
    let page = json!({ "items": items, "has_more": has_more, "end": records.len() });
    Response::builder().body(page.to_string())
}

fn base64(bytes: &[u8]) -> String {
    use base64::{Engine as _, engine::general_purpose::STANDARD};
    STANDARD.encode(bytes)
}
