//! Messages exchanged between daemons.

use crate::calls::{CallId, ExecuteRequest, NumberedFrame, SubmitRequest};
use hoplanding_core::{
    ids::{AvailabilityZone, DaemonRef, LogOffset, VmName},
    language::DataTable,
    log::FoldedState,
    policy::{LoadNotice, TargetDigest},
    request::TransferredTokens,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the message format; daemons of different versions refuse to link.
pub const PROTOCOL_VERSION: u32 = 1;

/// First message in each direction of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Daemon run that sends the message.
    pub daemon: DaemonRef,
    /// Availability zone of the sender.
    pub zone: AvailabilityZone,
    /// Secret shared by all daemons of the fleet.
    pub secret: String,
}

/// Heartbeat, with the state that other gateways route by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Daemon run that sends the message.
    pub daemon: DaemonRef,
    /// Availability zone of the sender.
    pub zone: AvailabilityZone,
    /// Offset up to which the sender has applied the log.
    pub applied: LogOffset,
    /// Whether the sender is in a planned stop.
    pub leaving: bool,
    /// VMs of its zone from which the sender receives no heartbeats.
    pub silent: Vec<VmName>,
    /// Digests of the targets that the sender holds.
    pub targets: Vec<TargetDigest>,
    /// Adapter loads of the sender.
    pub loads: LoadNotice,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Opens the link in each direction.
    Hello(PeerHello),
    /// Periodic state of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Runs a request on a target that the receiver holds.
    Execute(Box<ExecuteRequest>),
    /// Serves a caller's request on behalf of the sender.
    Submit(CallId, Box<SubmitRequest>),
    /// Sends the frames of a call again, starting at a sequence number.
    Attach(CallId, u64),
    /// A frame of an answer.
    Frame(CallId, NumberedFrame),
    /// The call is unknown to the sender.
    Gone(CallId),
    /// Frames below this sequence number were received.
    Acknowledge(CallId, u64),
    /// The answer is no longer needed.
    Cancel(CallId),
    /// Requests the folded state if it is newer than this offset.
    SnapshotWanted(LogOffset),
    /// State folded from the log.
    Snapshot(Box<FoldedState>),
    /// Queries the receiver's own state; the number pairs query and answer.
    Ask(u64, String),
    /// Answer to [`PeerMessage::Ask`].
    Answer(u64, Result<DataTable, String>),
    /// Hands the idempotency tokens of a stopping daemon to the receiver.
    HandTokens(BTreeMap<DaemonRef, TransferredTokens>),
    /// Confirms [`PeerMessage::HandTokens`].
    TokensTaken,
    /// Announces that the tokens of these daemon runs now belong to the given VM.
    TokenHeir(Vec<DaemonRef>, VmName),
}
