//! The platform's store, as far as the system uses it: keyed topics of one partition, whose records are all kept.

use crate::http::{Message, read_message, serve, write_answer};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time of one answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Size of a page of a listing.
const PAGE_ITEMS: usize = 500;

type Record = (String, Vec<u8>);

#[derive(Default)]
struct Log {
    topics: Mutex<HashMap<String, Vec<Record>>>,
    changed: Condvar,
}

/// A store on a loopback address, until the process ends.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    log: Arc<Log>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let log = Arc::new(Log::default());
        let served = Arc::clone(&log);
        serve(listener, move |stream| serve_connection(&served, stream));
        Ok(Self { address, log })
    }

    /// Writes a record as the operator or a worker would; the return is the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self
            .log
            .topics
            .lock()
            .expect("no thread panics with the lock");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.log.changed.notify_all();
    }
}

fn serve_connection(log: &Log, stream: TcpStream) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_message(&mut reader)? {
        std::thread::sleep(ANSWER_TIME);
        let (status, body) = answer(log, &call);
        write_answer(&mut writer, status, "", &body)?;
    }
    Ok(())
}

fn answer(log: &Log, call: &Message) -> (&'static str, Vec<u8>) {
    let topic = call.query("topic").unwrap_or_default().to_owned();
    match call.path() {
        "/hoplanding/log-append" => append(log, topic, call),
        "/hoplanding/log-read" => read(log, &topic, call),
        "/hoplanding/log-newest" => newest(log, &topic, call),
        _ => ("404 Not Found", Vec::new()),
    }
}

fn append(log: &Log, topic: String, call: &Message) -> (&'static str, Vec<u8>) {
    let mut topics = log.topics.lock().expect("no thread panics with the lock");
    let records = topics.entry(topic).or_default();
    let end = records.len();
    let expected = call
        .query("store_revision")
        .and_then(|end| end.parse().ok());
    if expected.is_some_and(|expected: usize| expected != end) {
        return (
            "412 Precondition Failed",
            format!("{{\"end\":{end}}}").into_bytes(),
        );
    }
    let mut bytes = call.body.as_slice();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        bytes = rest;
    }
    let answer = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
    log.changed.notify_all();
    ("200 OK", answer.into_bytes())
}

fn read(log: &Log, topic: &str, call: &Message) -> (&'static str, Vec<u8>) {
    let number = |name| {
        call.query(name)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from = number("from") as usize;
    let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
    let mut topics = log.topics.lock().expect("no thread panics with the lock");
    while topics.get(topic).map_or(0, Vec::len) <= from && Instant::now() < until {
        let left = until.saturating_duration_since(Instant::now());
        topics = log
            .changed
            .wait_timeout(topics, left)
            .expect("no thread panics with the lock")
            .0;
    }
    let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    for (key, value) in records.get(from..).unwrap_or_default() {
        body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value);
    }
    ("200 OK", body)
}

fn newest(log: &Log, topic: &str, call: &Message) -> (&'static str, Vec<u8>) {
    let topics = log.topics.lock().expect("no thread panics with the lock");
    let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
    let after = call.query("after").unwrap_or_default().replace("%2F", "/");
    let newest: BTreeMap<&str, (usize, &[u8])> = records
        .iter()
        .enumerate()
        .map(|(offset, (key, value))| (key.as_str(), (offset, value.as_slice())))
        .collect();
    let later: Vec<_> = newest
        .into_iter()
        .filter(|(key, (_, value))| *key > after.as_str() && !value.is_empty())
        .collect();
    let items: Vec<_> = later
        .iter()
        .take(PAGE_ITEMS)
        .map(|(key, (offset, value))| {
            format!(
                "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        })
        .collect();
    let has_more = later.len() > PAGE_ITEMS;
    let page = format!(
        "{{\"items\":[{}],\"has_more\":{has_more},\"end\":{}}}",
        items.join(","),
        records.len()
    );
    ("200 OK", page.into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= chunk.len() { sign } else { '=' });
        }
    }
    text
}
