//! Messages between VMs in direct mode.
//!
//! Messages are sent as CBOR over the links of [`links`](super::links), also between VMs of different
//! builds. The names of fields and variants are part of the encoding.

use bytes::Bytes;
use hoplanding_core::{
    direct::{
        freshness::{ForwardedProof, HeartbeatEcho},
        health::CallOutcome,
        lease_read::ForwardedRead,
        limits::AdvertisedLimit,
        plain::PlainRequest,
        planner::{PlacementAnswer, PlacementRequest},
        quotas::QuotaCharge,
        residency::AcceptedLoad,
        shortage::ServiceReport,
        stream_origins::{StreamKey, StreamOrigin},
        suspects::{RequestFingerprint, TargetCrash},
        trials::TrialAnswer,
        zone_load::OverloadCount,
    },
    ids::{
        AdapterName, AvailabilityZone, LogPosition, SoftwareVersion, TargetLife, TargetName,
        TargetRun, VmName,
    },
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Version of the messages. VMs with different versions do not link.
pub const MESSAGE_VERSION: u32 = 11;

/// Report to the holder that a call ended at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The gateway's number of the call.
    pub number: u64,
    /// Target that the call was sent to.
    pub target: TargetName,
    /// Life of the target that the call was sent to.
    pub life: TargetLife,
    /// Outcome at the target; `None` if the caller left.
    pub outcome: Option<CallEnd>,
}

/// [`CallOutcome`] on the wire, with outcomes that only the holder acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// Answered successfully.
    Good,
    /// Failed, or broke off the answer.
    Failed,
    /// No connection could be made.
    Unreached,
    /// Rejected because the target is full.
    Shed {
        /// Backoff requested by the target, in milliseconds.
        #[serde(rename = "rest_ms")]
        backoff_ms: u32,
    },
    /// The target lacked the adapter or its version.
    Absent,
}

impl CallEnd {
    /// Outcome for the target's health, if it affects health.
    #[must_use]
    pub fn health(self) -> Option<CallOutcome> {
        match self {
            Self::Good => Some(CallOutcome::Success),
            Self::Failed => Some(CallOutcome::Failed),
            Self::Unreached => Some(CallOutcome::ConnectFailed),
            Self::Shed { backoff_ms } => {
                let backoff = Duration::from_millis(u64::from(backoff_ms));
                Some(CallOutcome::Overloaded(backoff))
            }
            Self::Absent => None,
        }
    }
}

/// Request for a tunnel to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Version of the messages.
    pub version: u32,
    /// The VM that asks.
    pub vm: VmName,
    /// Zone of the target.
    pub zone: AvailabilityZone,
    /// Address of the target.
    pub address: SocketAddr,
    /// Time after which the tunnel is closed, in milliseconds.
    pub ttl_ms: u32,
}

/// Why a VM does not open a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelFault {
    /// The target's address refuses connections.
    TargetRefused,
    /// The target can't be reached, although others of its zone can.
    TargetUnreachable,
    /// The asked VM has lost its own path to the zone.
    PathLost,
    /// The asked VM serves as many tunnels as it can.
    Full,
    /// The asked VM is about to stop.
    Stopping,
}

/// Platform log record that one VM forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRecord {
    /// Topic of the record.
    pub topic: FeedTopic,
    /// Key of the record.
    pub key: String,
    /// Value of the record; `None` for a removed key.
    pub value: Option<Bytes>,
    /// Position in the topic.
    pub position: LogPosition,
}

/// Position in a topic before which all records are known.
pub type TopicEnd = (FeedTopic, LogPosition);

/// Range of a topic that a VM knows completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicSpan {
    /// The topic.
    pub topic: FeedTopic,
    /// Position from which on every record is known. Of earlier records only the newest of each key
    /// that its listing still contained is known.
    pub since: LogPosition,
    /// Position before which no record is missing.
    pub end: LogPosition,
}

/// Uninterrupted run of answers from the platform log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// Age of the first answer of the run, in milliseconds.
    pub since_ms: u32,
    /// Age of the last answer of the run, in milliseconds.
    pub last_ms: u32,
}

/// Topics of the platform log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FeedTopic {
    /// Records written by operators.
    Operators,
    /// The target list.
    Targets,
    /// Records written by the VMs.
    Fleet,
}

impl FeedTopic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Fleet];
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
}

/// Message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmMessage {
    /// First message of the dialling VM.
    Hello {
        /// Version of the messages.
        version: u32,
        /// The dialling VM.
        vm: VmName,
        /// Incarnation of its process.
        incarnation: u64,
        /// Its zone.
        zone: AvailabilityZone,
    },
    /// Answer to `Hello`.
    Welcome {
        /// Version of the messages.
        version: u32,
        /// Incarnation of the answering process.
        incarnation: u64,
        /// Whether the answering process knows the messages about the origins of streams.
        #[serde(default, skip_serializing_if = "is_false")]
        knows_streams: bool,
    },
    /// Heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// The sender's current run of answers from the log, if any.
        contact: Option<ContactReport>,
        /// Positions up to which the receiver knows all that the sender knows, if it made a request
        /// before.
        ends: Vec<TopicEnd>,
        /// Age in milliseconds of the sender's view of the target list, if the receiver knows all of it from the sender.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        list_age_ms: Option<u32>,
        /// The sender's clock in microseconds, to be echoed.
        sent: u64,
        /// Echo of the receiver's last heartbeat on this link.
        echo: Option<HeartbeatEcho>,
        /// Proof that the sender's configuration is the newest.
        proof: Option<ForwardedProof>,
        /// Whether the sender asks for a read that proves its claim of its zone.
        #[serde(default, skip_serializing_if = "is_false")]
        asks_for_lease_read: bool,
        /// The sender's last read of the lease of the receiver's zone, if the receiver asked for it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        lease_read: Option<ForwardedRead>,
        /// Whether the sender has more work than processor time.
        #[serde(default, skip_serializing_if = "is_false")]
        is_overloaded: bool,
        /// How many VMs of the zone have, if the sender is the zone's holder and there are any.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        overload_count: Option<OverloadCount>,
        /// Loads in the sender's zone since its last heartbeat on this link, if the receiver may hold the zone next.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        loads: Vec<AcceptedLoad>,
        /// Free capacity of the sender's zone, if the sender is the zone's holder and reports it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        shortages: Vec<ServiceReport>,
    },
    /// Requests the placement of a call.
    Place(u64, Box<PlacementRequest>),
    /// Requests the placement of a call of a plain service.
    PlacePlain(u64, Box<PlainRequest>),
    /// Placement of a call.
    Placed(u64, PlacementAnswer),
    /// The receiver of the request does not hold the zone.
    NotHolder(u64),
    /// The first event of a call came from its target, with the version of the base model if the
    /// answer names it.
    #[serde(rename = "Begun")]
    FirstEvent(u64, TargetName, Option<u64>),
    /// A call ended.
    #[serde(rename = "Ended")]
    CallEnded(CompletedCall),
    /// The gateway no longer needs a placement.
    #[serde(rename = "Withdrawn")]
    PlacementWithdrawn(u64),
    /// Requests a charge against the receiver's share of an organisation's quota.
    #[serde(rename = "Pay")]
    ChargeQuota(u64, QuotaCharge),
    /// `None` if the call was charged, otherwise the milliseconds until the quota suffices.
    #[serde(rename = "Paid")]
    Charged(u64, Option<u32>),
    /// Returns the charge of a call that was not run.
    #[serde(rename = "GiveBack")]
    RefundQuota(QuotaCharge),
    /// A target crashed while it ran a request.
    #[serde(rename = "EndedUnder")]
    TargetCrashed(TargetCrash),
    /// Requests a permit for a trial of a suspect.
    #[serde(rename = "Trial")]
    RequestTrial(u64, RequestFingerprint),
    /// Answer to `RequestTrial`.
    TrialAnswered(u64, TrialAnswer),
    /// A trial ended; `true` if it was answered successfully.
    TrialEnded(u64, RequestFingerprint, bool),
    /// A target advertised its rate limit in an answer.
    #[serde(rename = "LimitNamed")]
    TargetLimit(AdvertisedLimit),
    /// A call that was open before this link existed.
    #[serde(rename = "Open")]
    OpenCall(u64, TargetName, TargetLife, AdapterName),
    /// The sender, a VM of the zone with more CPU, asks the receiver to release its lease at this
    /// position.
    LeaseWanted(LogPosition),
    /// The sender's planned stop has begun, and it takes on no more duties.
    Stopping,
    /// Requests the record of a target, as the sender does not know the target list yet.
    #[serde(rename = "TargetWanted")]
    LookUpTarget(u64, TargetName),
    /// Record of the requested target, if it is known.
    #[serde(rename = "TargetTold")]
    TargetRecord(u64, Option<ForwardedRecord>),
    /// Streams that the sender relays, with the software versions that began them.
    StreamsBegan(Vec<StreamOrigin>),
    /// Requests the software version that began a stream.
    LookUpStream(u64, StreamKey),
    /// Answer to `LookUpStream`, if the version is known.
    StreamFound(u64, Option<SoftwareVersion>),
    /// Records that the receiver may not know.
    Records(Vec<ForwardedRecord>),
    /// Targets that announced in an answer that they are leaving.
    Leaving(Vec<TargetRun>),
    /// Answer to `RequestRecords`.
    Answer {
        /// Every record of the topics from the requested positions on.
        records: Vec<ForwardedRecord>,
        /// Spans of the requested topics that the sender, and so from now on the receiver, knows
        /// completely.
        spans: Vec<TopicSpan>,
    },
    /// First message of a VM that asks the receiver to connect to a target and to forward bytes in both directions.
    /// The connection carries nothing else.
    OpenTunnel(TunnelRequest),
    /// The target is connected; every further binary message holds bytes of the tunnel.
    TunnelOpened,
    /// The tunnel is not opened.
    TunnelRefused(TunnelFault),
    /// Requests the records of topics from positions on.
    #[serde(rename = "Wanted")]
    RequestRecords {
        /// Topics and the positions to start from.
        from: Vec<TopicEnd>,
        /// Whether the log refuses the sender or is out of its reach, so that other VMs should read on its behalf.
        #[serde(rename = "is_turned_away")]
        lacks_log_access: bool,
    },
}
