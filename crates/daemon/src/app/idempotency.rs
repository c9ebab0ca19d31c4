//! Idempotency tokens and keys of requests that must run at most once.
//!
//! A token names the daemon that issued it, and that daemon decides whether its request runs. A key is chosen by the
//! caller; the first daemon whose claim is in the log decides. Other daemons forward their requests to it.

use crate::{
    app::{AdmissionError, AppState, IdempotencyDecision, IdempotentOutcome, KeyClaimResult},
    platform::AppendOutcome,
};
use hoplanding_core::{
    ids::{DaemonRef, Instant},
    log::{KeyClaimsRecord, LogRecord},
    request::{
        ClaimOutcome, DedupKey, IdempotencyToken, KeyClaim, KeyHash, TokenDecision, TokenError,
    },
};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time for a claim to be read back from the log before it is appended again.
const CLAIM_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a request stops waiting for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(10);

impl AppState {
    pub(super) fn issue_token(&mut self, bearer: &str) -> Result<IdempotencyToken, AdmissionError> {
        if !bearer.is_empty() {
            self.caller_of(bearer)?;
        }
        Ok(self.idempotency.issue())
    }

    pub(super) fn begin_idempotent(
        &mut self,
        key: &DedupKey,
        fingerprint: u64,
    ) -> IdempotencyDecision {
        match self.idempotency.begin(key, fingerprint) {
            Ok(TokenDecision::Run) => IdempotencyDecision::Run,
            Ok(TokenDecision::Replay(answer)) => IdempotencyDecision::Replay(answer),
            Ok(TokenDecision::Join) => {
                let (sender, receiver) = oneshot::channel();
                self.answer_waiters
                    .entry(key.clone())
                    .or_default()
                    .push(sender);
                IdempotencyDecision::Join(receiver)
            }
            Ok(TokenDecision::Unknown) => {
                IdempotencyDecision::Unknown("its answer is no longer kept".to_owned())
            }
            Err(TokenError::WrongDaemon(issuer)) => self.forward_token(&issuer),
            Err(TokenError::Transferred(successor)) => self.forward_to(
                &successor,
                "the daemon that took the token over can't be reached",
            ),
            Err(TokenError::IssuerEnded) => IdempotencyDecision::Unknown(
                "the daemon that issued the token has ended".to_owned(),
            ),
            Err(error) => IdempotencyDecision::InvalidToken(error),
        }
    }

    fn forward_token(&self, issuer: &DaemonRef) -> IdempotencyDecision {
        // A daemon announces the successor of its tokens to all peers during a planned stop.
        if let Some(successor) = self.token_successors.get(issuer)
            && let Some(link) = self.links.get(successor).filter(|link| link.is_connected())
        {
            return IdempotencyDecision::Forward(link.clone());
        }
        let peer = self.members.peer(issuer.vm.as_str());
        if peer.and_then(|peer| peer.incarnation) == Some(issuer.incarnation) {
            return self.forward_to(issuer, "the daemon that issued the token can't be reached");
        }
        IdempotencyDecision::Unknown(
            "the daemon that issued the token has ended or can't be reached".to_owned(),
        )
    }

    fn forward_to(&self, daemon: &DaemonRef, unreachable_reason: &str) -> IdempotencyDecision {
        match self
            .links
            .get(&daemon.vm)
            .filter(|link| link.is_connected())
        {
            Some(link) => IdempotencyDecision::Forward(link.clone()),
            None => IdempotencyDecision::Unknown(unreachable_reason.to_owned()),
        }
    }

    pub(super) fn end_idempotent(&mut self, key: &DedupKey, end: IdempotentOutcome) {
        let answer = match end {
            IdempotentOutcome::NotRun => {
                self.idempotency.release(key);
                None
            }
            IdempotentOutcome::Answered(answer) => {
                self.idempotency.finish(key, Some(answer.clone()));
                Some(answer)
            }
            IdempotentOutcome::AnswerLost => {
                self.idempotency.finish(key, None);
                None
            }
        };
        for waiter in self.answer_waiters.remove(key).into_iter().flatten() {
            // The waiting request may have been abandoned.
            let _ = waiter.send(answer.clone());
        }
    }

    pub(super) fn claim_key(
        &mut self,
        key: KeyHash,
        fingerprint: u64,
        reply: oneshot::Sender<KeyClaimResult>,
        now: Instant,
    ) {
        if let Some(answer) = self.claim_result(&key, fingerprint) {
            let _ = reply.send(answer);
            return;
        }
        if !self.feed.is_reachable {
            let _ = reply.send(KeyClaimResult::NotClaimed);
            return;
        }
        let waiting = self.pending_claims.entry(key).or_default();
        waiting.push((fingerprint, now, reply));
        if waiting.len() == 1 {
            self.claim_batch.push(KeyClaim { key, fingerprint });
        }
    }

    fn claim_result(&self, key: &KeyHash, fingerprint: u64) -> Option<KeyClaimResult> {
        let answer = match self.folded.keys.outcome(key, &self.me)? {
            ClaimOutcome::Won => KeyClaimResult::Won,
            ClaimOutcome::Lost {
                fingerprint: first, ..
            } if first != fingerprint => KeyClaimResult::KeyReused,
            ClaimOutcome::Lost { holder, .. } => {
                let is_same_incarnation = self
                    .members
                    .peer(holder.vm.as_str())
                    .and_then(|peer| peer.incarnation)
                    == Some(holder.incarnation);
                let link = self
                    .links
                    .get(&holder.vm)
                    .filter(|link| is_same_incarnation && link.is_connected());
                link.map_or(KeyClaimResult::HolderGone(holder), |link| {
                    KeyClaimResult::Forward(link.clone())
                })
            }
        };
        Some(answer)
    }

    /// Answers the requests whose claims are decided by the folded log.
    pub(super) fn resolve_claims(&mut self) {
        let decided_keys: Vec<_> = self
            .pending_claims
            .keys()
            .filter(|key| self.folded.keys.outcome(key, &self.me).is_some())
            .copied()
            .collect();
        for key in decided_keys {
            for (fingerprint, _, reply) in self.pending_claims.remove(&key).into_iter().flatten() {
                let answer = self
                    .claim_result(&key, fingerprint)
                    .unwrap_or(KeyClaimResult::NotClaimed);
                let _ = reply.send(answer);
            }
        }
    }

    /// Appends the claims made since the last tick, in one record.
    pub(super) fn tick_claims(&mut self, now: Instant) {
        let mut abandoned = Vec::new();
        for (key, waiting) in &mut self.pending_claims {
            waiting.retain(|(_, since, _)| now.since(*since) < CLAIM_TIMEOUT);
            match waiting.first() {
                None => abandoned.push(*key),
                Some((fingerprint, since, _)) => {
                    let is_retry_due = now.since(*since) > CLAIM_RETRY_INTERVAL
                        && !self.claim_batch.iter().any(|claim| claim.key == *key);
                    if is_retry_due && now.since(self.last.holder_tick).is_zero() {
                        // A repeated claim of the same daemon has no effect.
                        self.claim_batch.push(KeyClaim {
                            key: *key,
                            fingerprint: *fingerprint,
                        });
                    }
                }
            }
        }
        for key in abandoned {
            self.pending_claims.remove(&key);
        }
        if self.claim_batch.is_empty() {
            return;
        }
        let record = KeyClaimsRecord {
            holder: self.me.clone(),
            claims: std::mem::take(&mut self.claim_batch),
        };
        let _ = self
            .workers
            .appender
            .append(0, vec![LogRecord::KeyClaims(record)]);
    }

    /// Answers pending claims after an append that certainly failed while the log is unavailable.
    pub(super) fn claims_not_appended(&mut self, outcome: AppendOutcome) {
        if outcome != AppendOutcome::NotAppended || self.feed.is_reachable {
            return;
        }
        for (_, _, reply) in self.pending_claims.drain().flat_map(|(_, waiting)| waiting) {
            let _ = reply.send(KeyClaimResult::NotClaimed);
        }
    }
}
