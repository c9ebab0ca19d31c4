//! Messages between VMs in direct mode.

use bytes::Bytes;
use hoplanding_core::{
    direct::{
        freshness::{HeartbeatEcho, RelayedProof},
        health::CallOutcome,
        limits::AdvertisedLimit,
        plain::PlainRequest,
        planner::{PlacementAnswer, PlacementRequest},
        quotas::QuotaCharge,
        suspects::{RequestFingerprint, TargetCrash},
        trials::TrialAnswer,
    },
    ids::{AdapterName, AvailabilityZone, LogPosition, TargetLife, TargetName, TargetRun, VmName},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the messages; VMs of different versions do not link.
pub const MESSAGE_VERSION: u32 = 11;

/// How a call ended at a target, for the holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The gateway's number of the call.
    pub number: u64,
    /// The target that it was sent to.
    pub target: TargetName,
    /// The target's life then.
    pub life: TargetLife,
    /// What that says about the target; nothing where the caller left.
    pub outcome: Option<CallEnd>,
}

/// [`CallOutcome`] on the wire, with what only the holder acts on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// Answered well.
    Good,
    /// Failed or broken off.
    Failed,
    /// No connection.
    Unreached,
    /// Turned away as full.
    Shed {
        /// Time for which the target asked for rest, in milliseconds.
        rest_ms: u32,
    },
    /// The target lacked the adapter or its version.
    Absent,
}

impl CallEnd {
    /// What it says about the target's health.
    #[must_use]
    pub fn health(self) -> Option<CallOutcome> {
        match self {
            Self::Good => Some(CallOutcome::Success),
            Self::Failed => Some(CallOutcome::Failed),
            Self::Unreached => Some(CallOutcome::ConnectFailed),
            Self::Shed { rest_ms } => {
                let rest = Duration::from_millis(u64::from(rest_ms));
                Some(CallOutcome::Overloaded(rest))
            }
            Self::Absent => None,
        }
    }
}

/// A record of the platform's log that one VM passes on to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRecord {
    /// Its topic.
    pub topic: FeedTopic,
    /// Its key.
    pub key: String,
    /// Its value; none for a dropped key.
    pub value: Option<Bytes>,
    /// Its position.
    pub position: LogPosition,
}

/// An position of a topic before which everything is known.
pub type TopicEnd = (FeedTopic, LogPosition);

/// The records of a topic that a VM knows whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopicSpan {
    /// The topic.
    pub topic: FeedTopic,
    /// Offset from which on it knows every record; of those before, the newest of each key that was left at its listing.
    pub since: LogPosition,
    /// Offset before which no record is missing.
    pub end: LogPosition,
}

/// A run of answers from the platform's log, by the ages of its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// Age of its first answer, in milliseconds.
    pub since_ms: u32,
    /// Age of its last answer, in milliseconds.
    pub last_ms: u32,
}

/// The topics that VMs read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FeedTopic {
    /// What operators write.
    Operators,
    /// The target list.
    Targets,
    /// The fleet's own records.
    Fleet,
}

impl FeedTopic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Operators, Self::Targets, Self::Fleet];
}

/// A message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VmMessage {
    /// First message of the VM that dialled.
    Hello {
        /// Version of the messages.
        version: u32,
        /// The VM.
        vm: VmName,
        /// The run of its process.
        incarnation: u64,
        /// Its zone.
        zone: AvailabilityZone,
    },
    /// First answer.
    Welcome {
        /// Version of the messages.
        version: u32,
        /// The run of the process.
        incarnation: u64,
    },
    /// Sign of life.
    Beat {
        /// The sender's present run of answers from the log; none if it has none.
        contact: Option<ContactReport>,
        /// Offsets up to which the receiver knows all that the sender knows, if it has asked before.
        ends: Vec<TopicEnd>,
        /// The sender's clock, in microseconds, to be given back.
        sent: u64,
        /// The receiver's last sign of life that came over this link.
        echo: Option<HeartbeatEcho>,
        /// The sender's proof that its configuration is the newest.
        proof: Option<RelayedProof>,
    },
    /// Place a call.
    Place(u64, Box<PlacementRequest>),
    /// Place a call of a plain service.
    PlacePlain(u64, Box<PlainRequest>),
    /// Where a call goes.
    Placed(u64, PlacementAnswer),
    /// The receiver does not hold the zone.
    NotHolder(u64),
    /// The first event of a call came from the target that it was sent to, made by this version of the base model,
    /// if the answer tells it.
    Begun(u64, TargetName, Option<u64>),
    /// A call ended.
    Ended(CompletedCall),
    /// The gateway no longer wants a placement.
    Withdrawn(u64),
    /// Pay a call's charge out of the receiver's part of its organisation's quota.
    Pay(u64, QuotaCharge),
    /// It is paid, or there will be enough after so many milliseconds.
    Paid(u64, Option<u32>),
    /// A call that was paid for did not run.
    GiveBack(QuotaCharge),
    /// A target ended while a request ran there.
    EndedUnder(TargetCrash),
    /// Grant a trial of a suspect.
    Trial(u64, RequestFingerprint),
    /// Whether a trial is granted.
    TrialAnswered(u64, TrialAnswer),
    /// A trial ended, answered well or not.
    TrialEnded(u64, RequestFingerprint, bool),
    /// An answer told of a target's limit.
    LimitNamed(AdvertisedLimit),
    /// A call that was open before the link.
    Open(u64, TargetName, TargetLife, AdapterName),
    /// The sender, a stronger VM of the zone, would rather hold it than the receiver by the lease at this position.
    LeaseWanted(LogPosition),
    /// The sender's planned stop has begun: it takes on no duty any more.
    Stopping,
    /// Tell the record of a target: the sender does not know the target list yet.
    TargetWanted(u64, TargetName),
    /// The record of a target that is known.
    TargetTold(u64, Option<ForwardedRecord>),
    /// Records that may be news.
    Records(Vec<ForwardedRecord>),
    /// Targets that said in their answers that they leave.
    Leaving(Vec<TargetRun>),
    /// The records that were asked for.
    Answer {
        /// Every record of the topics from the wanted positions on.
        records: Vec<ForwardedRecord>,
        /// Of the wanted topics those of which the sender knows every key, and so the receiver does now.
        spans: Vec<TopicSpan>,
    },
    /// Send records of these topics from these positions on: the sender has not read them itself.
    Wanted {
        /// Where to begin.
        from: Vec<TopicEnd>,
        /// Whether the log does not serve the sender, so that others should read for it.
        is_turned_away: bool,
    },
}
