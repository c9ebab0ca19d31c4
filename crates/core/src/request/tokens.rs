//! Issued idempotency tokens.
//!
//! A token names the daemon that issued it, its incarnation, and a counter. Only that incarnation may run it; every
//! other daemon forwards to it. If that incarnation has ended, the token is dead and is never run. No log, no quorum.
//! A planned stop hands the open tokens to a named successor, which then is the only one that may run them.

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
    /// The daemon that issued it.
    pub issuer: DaemonRef,
    /// Its number there.
    pub counter: u64,
}

const PREFIX: &str = "hl1";

impl IdempotencyToken {
    /// Parses the text form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let (PREFIX, vm, incarnation, counter, None) = (
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
            "{PREFIX}.{}.{:x}.{:x}",
            issuer.vm, issuer.incarnation.0, self.counter
        )
    }
}

/// What became of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenState<Answer> {
    /// Its request runs.
    Running,
    /// Its request ended, and the answer is still kept.
    Answered(Answer),
    /// Its request ended, and the answer is no longer kept, or nobody knows it.
    Spent,
}

/// Why a token can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// This daemon issued no such token.
    #[error("no such token was issued: ask for one with `POST /v1/idempotency_tokens`")]
    NeverIssued,
    /// The run of the daemon that issued it is over.
    #[error(
        "the daemon that issued the token has ended, so nobody can say whether its request ran: check with the service, then ask for a new token"
    )]
    IssuerEnded,
    /// It belongs to another daemon.
    #[error("the token belongs to {0}: forward it there")]
    WrongDaemon(DaemonRef),
    /// The token was used for a request with other content.
    #[error("the token was used for a different request: ask for a new token for each request")]
    FingerprintMismatch,
    /// Tokens were handed to a successor.
    #[error("the daemon is stopping and handed its tokens over: forward to {0}")]
    Transferred(DaemonRef),
}

#[derive(Clone, Debug)]
struct TokenEntry<Answer> {
    state: TokenState<Answer>,
    fingerprint: u64,
}

/// Tokens handed over by a daemon that stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferredTokens {
    /// Numbers below this were issued.
    pub issued: u64,
    /// Numbers that were used, with a fingerprint of the request.
    pub used: BTreeMap<u64, u64>,
}

/// What a request is known by when it is repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DedupKey {
    /// An issued token.
    Token(IdempotencyToken),
    /// A caller's own key, whose claim this daemon won.
    Key(KeyHash),
}

/// Tokens that one run of a daemon may run: its own, and those handed to it.
#[derive(Debug)]
pub struct TokenRegistry<Answer> {
    me: DaemonRef,
    issued: u64,
    used: HashMap<DedupKey, TokenEntry<Answer>>,
    kept: VecDeque<DedupKey>,
    kept_most: usize,
    inherited: HashMap<DaemonRef, u64>,
    handed_to: Option<DaemonRef>,
}

/// What to do with a request that carries a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TokenDecision<Answer> {
    /// Run it: this is its first use, now recorded.
    Run,
    /// It runs already: wait for the same answer.
    Join,
    /// It ended: give the first answer.
    Replay(Answer),
    /// It ended with an answer that is no longer kept, or with none: "outcome unknown".
    Unknown,
}

impl<Answer: Clone> TokenRegistry<Answer> {
    /// A registry that keeps at most `kept_most` answers.
    #[must_use]
    pub fn new(me: DaemonRef, kept_most: usize) -> Self {
        Self {
            me,
            issued: 0,
            used: HashMap::new(),
            kept: VecDeque::new(),
            kept_most,
            inherited: HashMap::new(),
            handed_to: None,
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

    /// Number of tokens that were used and are remembered.
    #[must_use]
    pub fn used_len(&self) -> usize {
        self.used.len()
    }

    /// Whether this run may run a token.
    ///
    /// # Errors
    /// Says where it belongs, or that it never was issued.
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
        match &self.handed_to {
            Some(successor) => Err(TokenError::Transferred(successor.clone())),
            None => Ok(()),
        }
    }

    /// Decides what to do with a request that carries a token or key, and records its first use.
    ///
    /// # Errors
    /// Says why the token can't be used here.
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

    /// The request of a token was proved not run: the token may be used again.
    pub fn release(&mut self, key: &DedupKey) {
        self.used.remove(key);
    }

    /// The request of a token ended; none means that nobody knows the outcome.
    pub fn finish(&mut self, key: &DedupKey, answer: Option<Answer>) {
        let Some(entry) = self.used.get_mut(key) else {
            return;
        };
        let Some(answer) = answer else {
            entry.state = TokenState::Spent;
            return;
        };
        entry.state = TokenState::Answered(answer);
        self.kept.push_back(key.clone());
        if self.kept.len() > self.kept_most
            && let Some(oldest) = self.kept.pop_front()
            && let Some(entry) = self.used.get_mut(&oldest)
        {
            entry.state = TokenState::Spent;
        }
    }

    /// Closes the registry for a planned stop; what it returns goes to the successor, and only then may that one run
    /// the open tokens.
    pub fn transfer_to(&mut self, successor: &DaemonRef) -> BTreeMap<DaemonRef, TransferredTokens> {
        self.handed_to = Some(successor.clone());
        let mut handed: BTreeMap<DaemonRef, TransferredTokens> = BTreeMap::new();
        for (issuer, issued) in self.inherited.iter().chain([(&self.me, &self.issued)]) {
            handed.entry(issuer.clone()).or_default().issued = *issued;
        }
        for (key, entry) in &self.used {
            if let DedupKey::Token(token) = key
                && let Some(tokens) = handed.get_mut(&token.issuer)
            {
                tokens.used.insert(token.counter, entry.fingerprint);
            }
        }
        handed
    }

    /// Takes the tokens of a daemon that stopped; used ones stay spent.
    pub fn inherit(&mut self, handed: &BTreeMap<DaemonRef, TransferredTokens>) {
        for (issuer, tokens) in handed {
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
