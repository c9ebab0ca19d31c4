//! Idempotency tokens issued by daemons.
//!
//! A token names the daemon that issued it, its incarnation, and a counter. Only that incarnation may run a request
//! that carries the token; every other daemon forwards the request to it. Once the incarnation has ended, requests with
//! the token are never run. This needs neither the log nor a quorum. On a planned stop, the open tokens are transferred
//! to a named successor, which is then the only daemon that may run them.

use crate::{
    ids::{DaemonRef, Incarnation, VmName},
    request::KeyHash,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    fmt,
};

/// An issued idempotency token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct IdempotencyToken {
    /// Daemon that issued the token.
    pub issuer: DaemonRef,
    /// Number of the token at its issuer, from one.
    pub counter: u64,
}

const TOKEN_PREFIX: &str = "hl1";

impl IdempotencyToken {
    /// Parses the text form `hl1.VM.INCARNATION.COUNTER`, with the two numbers in hexadecimal.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (TOKEN_PREFIX, vm, incarnation, counter, None) = (
            parts.next()?,
            parts.next()?,
            parts.next()?,
            parts.next()?,
            parts.next(),
        ) else {
            return None;
        };
        Some(Self {
            issuer: DaemonRef {
                vm: VmName::new(vm),
                incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
            },
            counter: u64::from_str_radix(counter, 16).ok()?,
        })
    }
}

impl fmt::Display for IdempotencyToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let issuer = &self.issuer;
        write!(
            f,
            "{TOKEN_PREFIX}.{}.{:x}.{:x}",
            issuer.vm, issuer.incarnation.0, self.counter
        )
    }
}

/// State of a used token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenState<Answer> {
    /// The request is running.
    Running,
    /// The request ended and its answer is kept.
    Answered(Answer),
    /// The request ended, but its answer was evicted or its outcome is unknown.
    Spent,
}

/// Reason why a token cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// The issuer never issued this token.
    #[error("no such token was issued: ask for one with `POST /v1/idempotency_tokens`")]
    NeverIssued,
    /// The incarnation that issued the token has ended.
    #[error(
        "the daemon that issued the token has ended, so nobody can say whether its request ran: check with the service, then ask for a new token"
    )]
    IssuerEnded,
    /// The token belongs to another daemon.
    #[error("the token belongs to {0}: forward it there")]
    WrongDaemon(DaemonRef),
    /// The token was already used for a request with another fingerprint.
    #[error("the token was used for a different request: ask for a new token for each request")]
    FingerprintMismatch,
    /// The tokens were transferred to a successor.
    #[error("the daemon is stopping and handed its tokens over: forward to {0}")]
    Transferred(DaemonRef),
}

#[derive(Clone, Debug)]
struct TokenEntry<Answer> {
    state: TokenState<Answer>,
    fingerprint: u64,
}

/// Tokens of one issuer that a stopping daemon transfers to its successor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredTokens {
    /// Highest number issued.
    pub issued: u64,
    /// Numbers of used tokens, with the fingerprints of their requests.
    pub used: BTreeMap<u64, u64>,
}

/// Key that identifies repeats of the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DedupKey {
    /// Token issued by a daemon.
    Token(IdempotencyToken),
    /// Key chosen by the caller, whose claim this daemon won.
    Key(KeyHash),
}

/// Tokens and keys whose requests this daemon may run: its own tokens, tokens transferred to it, and won keys.
#[derive(Debug)]
pub struct TokenRegistry<Answer> {
    me: DaemonRef,
    issued: u64,
    used: HashMap<DedupKey, TokenEntry<Answer>>,
    answered: VecDeque<DedupKey>,
    max_answers: usize,
    inherited: HashMap<DaemonRef, u64>,
    transferred_to: Option<DaemonRef>,
}

/// What to do with a request that carries a token or key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenDecision<Answer> {
    /// Run the request; its first use is now recorded.
    Run,
    /// Wait for the answer of the request that is already running.
    Join,
    /// Return the kept answer of the first use.
    Replay(Answer),
    /// Report "outcome unknown", because the answer was evicted or never known.
    Unknown,
}

impl<Answer: Clone> TokenRegistry<Answer> {
    /// Creates a registry that keeps at most `max_answers` answers.
    #[must_use]
    pub fn new(me: DaemonRef, max_answers: usize) -> Self {
        Self {
            me,
            issued: 0,
            used: HashMap::new(),
            answered: VecDeque::new(),
            max_answers,
            inherited: HashMap::new(),
            transferred_to: None,
        }
    }

    /// Issues a token.
    pub fn issue(&mut self) -> IdempotencyToken {
        self.issued += 1;
        IdempotencyToken {
            issuer: self.me.clone(),
            counter: self.issued,
        }
    }

    /// Number of used tokens and keys.
    #[must_use]
    pub fn used_len(&self) -> usize {
        self.used.len()
    }

    /// Checks whether this daemon may run a request with a token.
    ///
    /// # Errors
    /// Returns the daemon that the token belongs to, or why no daemon may run it.
    pub fn check(&self, token: &IdempotencyToken) -> Result<(), TokenError> {
        let issued = if token.issuer == self.me {
            self.issued
        } else if let Some(issued) = self.inherited.get(&token.issuer) {
            *issued
        } else if token.issuer.vm == self.me.vm {
            return Err(TokenError::IssuerEnded);
        } else {
            return Err(TokenError::WrongDaemon(token.issuer.clone()));
        };
        if token.counter == 0 || token.counter > issued {
            return Err(TokenError::NeverIssued);
        }
        match &self.transferred_to {
            Some(successor) => Err(TokenError::Transferred(successor.clone())),
            None => Ok(()),
        }
    }

    /// Decides what to do with a request that carries a token or key, and records its first use.
    ///
    /// # Errors
    /// Returns the reason why the token cannot be used here.
    pub fn begin(
        &mut self,
        key: &DedupKey,
        fingerprint: u64,
    ) -> Result<TokenDecision<Answer>, TokenError> {
        let Some(entry) = self.used.get(key) else {
            if let DedupKey::Token(token) = key {
                self.check(token)?;
            }
            let state = TokenState::Running;
            self.used
                .insert(key.clone(), TokenEntry { state, fingerprint });
            return Ok(TokenDecision::Run);
        };
        if entry.fingerprint != fingerprint {
            return Err(TokenError::FingerprintMismatch);
        }
        Ok(match &entry.state {
            TokenState::Running => TokenDecision::Join,
            TokenState::Answered(answer) => TokenDecision::Replay(answer.clone()),
            TokenState::Spent => TokenDecision::Unknown,
        })
    }

    /// Forgets the use of a token or key whose request was proved not run, so that it can be used again.
    pub fn release(&mut self, key: &DedupKey) {
        self.used.remove(key);
    }

    /// Records the end of a request; `None` means that its outcome is unknown. The oldest kept answer is evicted if
    /// there are too many.
    pub fn finish(&mut self, key: &DedupKey, answer: Option<Answer>) {
        let Some(entry) = self.used.get_mut(key) else {
            return;
        };
        let Some(answer) = answer else {
            entry.state = TokenState::Spent;
            return;
        };
        entry.state = TokenState::Answered(answer);
        self.answered.push_back(key.clone());
        if self.answered.len() > self.max_answers
            && let Some(oldest) = self.answered.pop_front()
            && let Some(entry) = self.used.get_mut(&oldest)
        {
            entry.state = TokenState::Spent;
        }
    }

    /// Closes the registry for a planned stop and returns the tokens to send to the successor. The successor may run
    /// them once it has received them; from now on this daemon refuses every token that was not used here.
    pub fn transfer_to(&mut self, successor: &DaemonRef) -> BTreeMap<DaemonRef, TransferredTokens> {
        self.transferred_to = Some(successor.clone());
        let mut transferred: BTreeMap<DaemonRef, TransferredTokens> = BTreeMap::new();
        for (issuer, issued) in self.inherited.iter().chain([(&self.me, &self.issued)]) {
            transferred.entry(issuer.clone()).or_default().issued = *issued;
        }
        for (key, entry) in &self.used {
            if let DedupKey::Token(token) = key
                && let Some(tokens) = transferred.get_mut(&token.issuer)
            {
                tokens.used.insert(token.counter, entry.fingerprint);
            }
        }
        transferred
    }

    /// Adds the tokens of a daemon that stopped; those already used count as spent.
    pub fn inherit(&mut self, transferred: &BTreeMap<DaemonRef, TransferredTokens>) {
        for (issuer, tokens) in transferred {
            self.inherited.insert(issuer.clone(), tokens.issued);
            for (counter, fingerprint) in &tokens.used {
                let entry = TokenEntry {
                    state: TokenState::Spent,
                    fingerprint: *fingerprint,
                };
                let token = IdempotencyToken {
                    issuer: issuer.clone(),
                    counter: *counter,
                };
                self.used.entry(DedupKey::Token(token)).or_insert(entry);
            }
        }
    }
}
