//! Stand-in of the platform's store: the keyed topics of the log, with the calls that the users' pages describe.
//! It is sound: it loses nothing, and answers at once.

use crate::http::{Connection, Message, response};
use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Default)]
struct Topics {
    /// Records of each topic as they were appended: key and value.
    records: HashMap<String, Vec<(Vec<u8>, Vec<u8>)>>,
}

/// The store.
#[derive(Default)]
pub struct Platform {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Platform {
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let platform = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = Arc::clone(&platform);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = Arc::clone(&served);
                thread::spawn(move || platform.serve(Connection::new(stream)));
            }
        });
        Ok((platform, address))
    }

    /// Writes a record as the operator or a worker does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read(false) {
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        match (request.method(), request.path()) {
            ("POST", "/hoplanding/log-append") => self.append(request),
            ("GET", "/hoplanding/log-read") => self.read(request),
            ("GET", "/hoplanding/log-newest") => self.newest(request),
            _ => response("404 Not Found", "", b""),
        }
    }

    fn append(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        if topic == "keyed.servers" {
            return response("403 Forbidden", "", b"");
        }
        let Some(appended) = decode(&request.body) else {
            return response("400 Bad Request", "", b"");
        };
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        let offset = records.len();
        let expected = request.query("store_revision");
        if expected.is_some_and(|expected| expected.parse() != Ok(offset)) {
            let body = format!("{{\"end\":{offset}}}");
            return json("412 Precondition Failed", &body);
        }
        records.extend(appended);
        let end = records.len();
        self.changed.notify_all();
        json("200 OK", &format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if from > records.len() {
                return json("410 Gone", "{\"first\":0}");
            }
            if from < records.len() || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&(records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key);
                    body.extend_from_slice(value);
                }
                return response("200 OK", "", &body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default();
        let topics = self.topics.lock().unwrap();
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items: Vec<_> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        json("200 OK", &body)
    }
}

fn json(status: &str, body: &str) -> Vec<u8> {
    response(
        status,
        "Content-Type: application/json\r\n",
        body.as_bytes(),
    )
}

fn decode(mut bytes: &[u8]) -> Option<Vec<(Vec<u8>, Vec<u8>)>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
        let record = bytes.get(4..4 + length)?;
        let key_end = 1 + usize::from(*record.first()?);
        records.push((record.get(1..key_end)?.to_vec(), record[key_end..].to_vec()));
        bytes = &bytes[4 + length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..part.len()].copy_from_slice(part);
        let bits = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for index in 0..4 {
            if index <= part.len() {
                let sign = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(SIGNS[sign as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
