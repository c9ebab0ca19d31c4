//! Callers' connections that stay open while the limits of the configuration change.
//!
//! Callers take up a connection that has rested for up to four fifths of the idle timeout. One that is closed earlier costs the
//! request that was sent over it.

use crate::support::{
    TEST_TIMEOUT, config_json, good_answer, post_request, read_answer, start_daemon, wait_for,
};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::daemon::DirectDaemon;
use std::time::{Duration, Instant};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Limit that no test reaches.
const LONG: Duration = Duration::from_secs(60);

struct LimitedVm {
    log: KeyedLog,
    daemon: DirectDaemon,
    _target: RawTarget,
    version: u64,
}

impl LimitedVm {
    async fn start(idle_timeout: Duration, header_timeout: Duration) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let target = RawTarget::start(good_answer).await.expect("a target");
        let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
        let mut vm = Self {
            log,
            daemon,
            _target: target,
            version: 1,
        };
        vm.set_limits(idle_timeout, header_timeout).await;
        vm
    }

    /// Changes the limits, and returns once they are in force.
    async fn set_limits(&mut self, idle_timeout: Duration, header_timeout: Duration) {
        self.version += 1;
        let mut config: serde_json::Value =
            serde_json::from_str(&config_json(self.version)).expect("a configuration");
        config["limits"]["idle_timeout_ms"] = millis(idle_timeout).into();
        config["limits"]["header_timeout_ms"] = millis(header_timeout).into();
        self.log
            .put("keyed.op", "config", Some(&config.to_string()));
        wait_for("the limits to be in force", async || {
            let active = self.daemon.fleet().active();
            active.is_some_and(|active| active.config.version == self.version)
        })
        .await;
    }

    async fn connect(&self) -> TcpStream {
        let connected = TcpStream::connect(self.daemon.caller_address).await;
        connected.expect("the daemon accepts the connection")
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a short time")
}

/// Status of the answer to a request over an open connection; 0 if it is closed.
async fn call(stream: &mut TcpStream, id: &str) -> u16 {
    let request = post_request("/lookup/1", id, "");
    // A connection that the daemon has closed shows when the answer is read.
    let _ = stream.write_all(request.as_bytes()).await;
    let answer = timeout(TEST_TIMEOUT, read_answer(stream)).await;
    answer.expect("an answer or an end in time").status
}

/// Waits until the daemon closes the connection without having sent anything.
async fn wait_for_end(stream: &mut TcpStream) {
    let mut byte = [0];
    let read = timeout(TEST_TIMEOUT, stream.read(&mut byte)).await;
    let read = read.expect("the connection is closed in time");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}

/// Guards against connections that keep the idle timeout under which they were accepted.
#[tokio::test]
async fn a_connection_within_a_raised_idle_timeout_stays_open() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    const HEADER_TIMEOUT: Duration = Duration::from_secs(1);
    let mut vm = LimitedVm::start(IDLE_TIMEOUT, HEADER_TIMEOUT).await;
    let mut stream = vm.connect().await;
    assert_eq!(call(&mut stream, "r1").await, 200);
    vm.set_limits(LONG, HEADER_TIMEOUT).await;
    sleep(IDLE_TIMEOUT + HEADER_TIMEOUT + Duration::from_millis(500)).await;
    assert_eq!(call(&mut stream, "r2").await, 200);
}

/// Guards against connections that are closed as soon as a lower idle timeout is in force, or that keep the higher one for good.
#[tokio::test]
async fn a_lowered_idle_timeout_applies_after_the_next_answer() {
    const LOWERED: Duration = Duration::from_millis(200);
    let mut vm = LimitedVm::start(LONG, LOWERED).await;
    let mut stream = vm.connect().await;
    assert_eq!(call(&mut stream, "r1").await, 200);
    vm.set_limits(LOWERED, LOWERED).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(call(&mut stream, "r2").await, 200);
    wait_for_end(&mut stream).await;
}

#[tokio::test]
async fn idle_connections_are_closed_at_the_limit() {
    let limit = Duration::from_millis(300);
    let vm = LimitedVm::start(limit, limit).await;
    let mut unused = vm.connect().await;
    let mut used = vm.connect().await;
    let began = Instant::now();
    assert_eq!(call(&mut used, "r1").await, 200);
    wait_for_end(&mut used).await;
    assert!(began.elapsed() >= limit);
    wait_for_end(&mut unused).await;
}

#[tokio::test]
async fn a_request_shortly_before_the_idle_timeout_is_answered() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
    let vm = LimitedVm::start(IDLE_TIMEOUT, Duration::from_secs(3)).await;
    let mut stream = vm.connect().await;
    for id in ["r1", "r2", "r3"] {
        assert_eq!(call(&mut stream, id).await, 200);
        sleep(IDLE_TIMEOUT * 4 / 5).await;
    }
    assert_eq!(call(&mut stream, "r4").await, 200);
}

/// Guards against heads that may take as long as a connection may rest.
#[tokio::test]
async fn a_head_that_arrives_byte_by_byte_ends_at_the_header_timeout() {
    let vm = LimitedVm::start(LONG, Duration::from_millis(300)).await;
    let mut stream = vm.connect().await;
    assert_eq!(call(&mut stream, "r1").await, 200);
    let (mut reading, mut writing) = stream.into_split();
    let dribble = tokio::spawn(async move {
        let head = post_request("/lookup/1", "r2", &"X-Filler: 1\r\n".repeat(100));
        for byte in head.as_bytes() {
            if writing.write_all(&[*byte]).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    });
    let mut byte = [0];
    let read = timeout(TEST_TIMEOUT, reading.read(&mut byte)).await;
    let read = read.expect("the connection is closed in time");
    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
    dribble.abort();
}

/// Guards against heads that are held to the header timeout under which their connection was accepted.
#[tokio::test]
async fn a_head_within_a_raised_header_timeout_is_answered() {
    const SHORT: Duration = Duration::from_secs(1);
    let mut vm = LimitedVm::start(SHORT, SHORT).await;
    let mut stream = vm.connect().await;
    assert_eq!(call(&mut stream, "r1").await, 200);
    vm.set_limits(LONG, LONG).await;
    let request = post_request("/lookup/1", "r2", "");
    let (first, rest) = request.split_at(20);
    let sent = stream.write_all(first.as_bytes()).await;
    sent.expect("the connection is open");
    sleep(SHORT * 3).await;
    let _ = stream.write_all(rest.as_bytes()).await;
    let answer = timeout(TEST_TIMEOUT, read_answer(&mut stream)).await;
    assert_eq!(answer.expect("an answer or an end in time").status, 200);
}
