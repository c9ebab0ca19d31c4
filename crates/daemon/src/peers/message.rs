//! Messages between daemons.

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

/// Version of the messages; daemons of different versions do not link.
pub const PROTOCOL_VERSION: u32 = 1;

/// First message in each direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHello {
    /// Version of the messages.
    pub version: u32,
    /// The daemon that speaks.
    pub daemon: DaemonRef,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// The fleet's secret.
    pub secret: String,
}

/// Sign of life, with what gateways need to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The daemon that speaks.
    pub daemon: DaemonRef,
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Offset of the log that it has folded.
    pub applied: LogOffset,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// VMs of its zone that it calls silent.
    pub silent: Vec<VmName>,
    /// Its targets.
    pub targets: Vec<TargetDigest>,
    /// Its loads.
    pub loads: LoadNotice,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The first message.
    Hello(PeerHello),
    /// A sign of life.
    Heartbeat(Box<Heartbeat>),
    /// Run a request on a target that the receiver holds.
    Execute(Box<ExecuteRequest>),
    /// Serve a caller's request in the sender's place.
    Submit(CallId, Box<SubmitRequest>),
    /// Send the frames of a call again, from a number on.
    Attach(CallId, u64),
    /// A frame of an answer.
    Frame(CallId, NumberedFrame),
    /// The call is not known.
    Gone(CallId),
    /// Frames below this number were taken.
    Acknowledge(CallId, u64),
    /// Nobody wants the answer any more.
    Cancel(CallId),
    /// Send the folded state if it reaches beyond this offset.
    SnapshotWanted(LogOffset),
    /// The folded state.
    Snapshot(Box<FoldedState>),
    /// Answer a query from the receiver's own state.
    Ask(u64, String),
    /// The answer to a query.
    Answer(u64, Result<DataTable, String>),
    /// Take over the idempotency tokens of a daemon that stops.
    HandTokens(BTreeMap<DaemonRef, TransferredTokens>),
    /// They were taken over.
    TokensTaken,
    /// Tokens of these runs now belong to a daemon.
    TokenHeir(Vec<DaemonRef>, VmName),
}
