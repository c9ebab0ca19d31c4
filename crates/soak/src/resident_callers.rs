//! Callers that keep a connection to one VM until the process is gone, also while it stops. Some send the body of a request
//! seconds after its head. Their requests may run only once.

use crate::{
    callers::{BODY, CALL_TIMEOUT, CallerReply, SoakCall, read_reply, record_answer, record_sent},
    fleet::SoakVm,
    history::{CallAnswer, CallKind, SharedHistory},
    organisations::unlimited_key,
    prompts::prompt_parts,
};
use rand::{Rng, rngs::StdRng};
use std::{io, ops::Range, sync::Arc, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Start of the ids of their requests.
pub const RESIDENT_CALL_PREFIX: &str = "resident-";
/// Share of the requests whose body comes late.
const LATE_SHARE: f64 = 0.6;
/// Range of the time from a head to such a body, in milliseconds: a head that comes in the notice of a planned stop has its
/// body shortly before the VM ends.
const BODY_DELAY_RANGE_MS: Range<u64> = 4_600..5_900;
/// Time before its deadline within which the end of a request is taken for its deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(100);
/// Longest pause between two requests.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a connection could not be made or has ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// A caller of one VM.
pub struct ResidentCaller {
    /// The VM.
    pub vm: Arc<SoakVm>,
    /// Start of the ids of its requests.
    pub name: String,
    /// Number of adapters that requests name.
    pub adapters: usize,
    /// History of the run.
    pub history: SharedHistory,
    /// Time after which it sends no request.
    pub end: Instant,
}

impl ResidentCaller {
    /// Sends one request after another until the end of the run.
    pub async fn run(self, mut random: StdRng) {
        let mut number = 0;
        while Instant::now() < self.end {
            if let Some((address, _)) = self.vm.caller_endpoint()
                && let Ok(mut stream) = TcpStream::connect(address).await
            {
                while Instant::now() < self.end {
                    number += 1;
                    let call = self.draw_call(number, &mut random);
                    let delay = if random.random_bool(LATE_SHARE) {
                        Duration::from_millis(random.random_range(BODY_DELAY_RANGE_MS))
                    } else {
                        Duration::ZERO
                    };
                    if !self.send(&mut stream, &call, delay).await {
                        break;
                    }
                    sleep(MAX_PAUSE.mul_f64(random.random())).await;
                }
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    fn draw_call(&self, number: usize, random: &mut StdRng) -> SoakCall {
        let kind = if random.random_bool(0.7) {
            CallKind::Stream
        } else {
            CallKind::Once
        };
        let (adapter, parts) = match kind {
            CallKind::Stream => {
                let adapter = format!("a{}", random.random_range(0..self.adapters));
                (adapter, prompt_parts(number).to_vec())
            }
            _ => (String::new(), Vec::new()),
        };
        SoakCall {
            id: format!("{}-{number}", self.name),
            kind,
            adapter,
            parts,
            key: unlimited_key(),
            deadline: CALL_TIMEOUT,
            patience: CALL_TIMEOUT,
            taken_up: None,
        }
    }

    /// Sends a request and records it once its body is sent, as a VM may close a connection whose request is not complete.
    /// Returns whether the connection carries another request.
    async fn send(&self, stream: &mut TcpStream, call: &SoakCall, delay: Duration) -> bool {
        let begun_at = Instant::now();
        let sent = async {
            stream.write_all(call.request_head().as_bytes()).await?;
            // Nothing comes before the body unless the VM closes the connection or refuses the request.
            if !delay.is_zero() && timeout(delay, stream.peek(&mut [0])).await.is_ok() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            record_sent(call, self.vm.index, &self.history);
            stream.write_all(BODY.as_bytes()).await
        };
        if io::Result::is_err(&sent.await) {
            return false;
        }
        let patience = call.patience.saturating_sub(delay);
        let reply = timeout(patience, read_reply(stream)).await;
        let (answer, body, is_last) = match reply {
            Ok(Ok(CallerReply {
                answer,
                body,
                is_last,
            })) => (answer, body, is_last),
            Ok(Err(_)) | Err(_) => (CallAnswer::NoAnswer, String::new(), true),
        };
        // The deadline counts from the head, and a call that was served until then was not interrupted.
        if begun_at.elapsed() + DEADLINE_SLACK < CALL_TIMEOUT {
            record_answer(call, answer, &body, &self.history);
        }
        !is_last
    }
}
