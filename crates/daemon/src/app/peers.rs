//! Handling of messages from peers.

use crate::{app::AppState, peers::PeerMessage};
use hoplanding_core::ids::{Instant, VmName};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

impl AppState {
    /// Handles a message on a link that a peer dialled; answers go to `replies`.
    pub(super) fn peer_request(
        &mut self,
        from: &VmName,
        message: PeerMessage,
        replies: &mpsc::Sender<PeerMessage>,
        now: Instant,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat_received(&heartbeat, now),
            PeerMessage::SnapshotWanted(above)
                if self.folded.applied > above && !self.has_gap() =>
            {
                let _ = replies.try_send(PeerMessage::Snapshot(Box::new(self.folded.clone())));
            }
            PeerMessage::Ask(number, text) => {
                let answer = self.local_answer(&text, now);
                let _ = replies.try_send(PeerMessage::Answer(number, answer));
            }
            PeerMessage::HandTokens(tokens) => {
                let is_foreign = tokens.iter().all(|(issuer, _)| issuer.vm != self.me.vm);
                if is_foreign {
                    self.idempotency.inherit(&tokens);
                    let _ = replies.try_send(PeerMessage::TokensTaken);
                }
            }
            PeerMessage::TokenHeir(issuers, successor) => {
                for issuer in issuers {
                    self.token_successors.insert(issuer, successor.clone());
                }
            }
            // Other messages are not sent in this direction, except perhaps by a newer version.
            _ => log::debug!(target: "hoplanding", "unexpected message of peer {from} ignored"),
        }
    }

    /// Handles a message on a link that this daemon dialled.
    pub(super) fn peer_reply(&mut self, from: &VmName, message: PeerMessage) {
        match message {
            PeerMessage::Snapshot(state) => self.adopt_snapshot(*state, from.as_str()),
            PeerMessage::Answer(number, answer) => self.query_answered(number, from, answer),
            PeerMessage::TokensTaken => self.tokens_accepted(from),
            _ => log::debug!(target: "hoplanding", "unexpected message of peer {from} ignored"),
        }
    }

    /// Handles a new connection of a link that this daemon dialled.
    pub(super) fn link_up(&mut self, vm: &VmName) {
        self.set_peer_reachable(vm, true);
        // The next heartbeat, sent at once, carries all digests in full for the new connection.
        self.last.digest_revision = 0;
        self.last.send_full_digest = true;
        if let Some(link) = self.links.get(vm)
            && (!self.feed.is_caught_up || self.has_gap())
        {
            link.try_send(PeerMessage::SnapshotWanted(self.folded.applied));
        }
    }

    /// Announces to all peers which daemon took over the idempotency tokens of `issuers`.
    pub(super) fn announce_successor(
        &self,
        issuers: &[hoplanding_core::ids::DaemonRef],
        successor: &VmName,
    ) {
        let links: BTreeMap<_, _> = self.links.iter().collect();
        for link in links.values() {
            link.try_send(PeerMessage::TokenHeir(issuers.to_vec(), successor.clone()));
        }
    }
}
