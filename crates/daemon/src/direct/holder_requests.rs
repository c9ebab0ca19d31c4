//! Requests and notices to the holder of a zone.
//!
//! A request is handled as an event if the holder is this VM, and otherwise sent as a message over a
//! link.

use crate::direct::{
    message::VmMessage,
    zone::{ReplySender, ZoneEvent},
};
use hoplanding_core::{
    direct::{
        limits::AdvertisedLimit,
        plain::PlainRequest,
        planner::{CallKey, PlacementRequest},
        quotas::QuotaCharge,
        suspects::{RequestFingerprint, TargetCrash},
    },
    ids::{TargetName, VmName},
};

/// Request to a zone's holder, which sends a reply.
pub(super) enum HolderRequest {
    /// Placement of a call.
    Place(Box<PlacementRequest>),
    /// Placement of a call of a plain service.
    Plain(Box<PlainRequest>),
    /// Charge against an organisation's quota.
    Pay(QuotaCharge),
    /// Permit for a trial of a suspect.
    Trial(RequestFingerprint),
    /// Record of a target.
    Target(TargetName),
}

impl HolderRequest {
    pub(super) fn into_event(self, key: CallKey, reply: ReplySender) -> ZoneEvent {
        match self {
            Self::Place(request) => ZoneEvent::Place(key, request, reply),
            Self::Plain(request) => ZoneEvent::PlacePlain(key, request, reply),
            Self::Pay(charge) => ZoneEvent::ChargeQuota(key, charge, reply),
            Self::Trial(fingerprint) => ZoneEvent::RequestTrial(key, fingerprint, reply),
            Self::Target(target) => ZoneEvent::LookUpTarget(key, target, reply),
        }
    }

    pub(super) fn into_message(self, number: u64) -> VmMessage {
        match self {
            Self::Place(request) => VmMessage::Place(number, request),
            Self::Plain(request) => VmMessage::PlacePlain(number, request),
            Self::Pay(charge) => VmMessage::Pay(number, charge),
            Self::Trial(fingerprint) => VmMessage::Trial(number, fingerprint),
            Self::Target(target) => VmMessage::TargetWanted(number, target),
        }
    }
}

/// Notice to a zone's holder, without a reply.
pub(super) enum HolderNotice {
    /// The first event of a call came from this target, with the version of the base model if
    /// known.
    Begun(u64, TargetName, Option<u64>),
    /// The gateway no longer needs a placement.
    Withdrawn(u64),
    /// Returns the charge of a call that was not run.
    GiveBack(QuotaCharge),
    /// A target ended while a request ran on it.
    EndedUnder(TargetCrash),
    /// A target reported its limit in an answer.
    LimitNamed(AdvertisedLimit),
    /// A trial ended; `true` if it was answered successfully.
    TrialEnded(u64, RequestFingerprint, bool),
}

impl HolderNotice {
    pub(super) fn into_event(self, vm: &VmName) -> ZoneEvent {
        let key = |number| CallKey {
            vm: vm.clone(),
            number,
        };
        match self {
            Self::Begun(number, target, version) => {
                ZoneEvent::FirstEvent(key(number), target, version)
            }
            Self::Withdrawn(number) => ZoneEvent::PlacementWithdrawn(key(number)),
            Self::GiveBack(charge) => ZoneEvent::RefundQuota(charge),
            Self::EndedUnder(end) => ZoneEvent::TargetEnded(end),
            Self::LimitNamed(limit) => ZoneEvent::TargetLimit(limit),
            Self::TrialEnded(number, fingerprint, is_good) => {
                ZoneEvent::TrialEnded(key(number), fingerprint, is_good)
            }
        }
    }

    pub(super) fn into_message(self) -> VmMessage {
        match self {
            Self::Begun(number, target, version) => VmMessage::Begun(number, target, version),
            Self::Withdrawn(number) => VmMessage::Withdrawn(number),
            Self::GiveBack(charge) => VmMessage::GiveBack(charge),
            Self::EndedUnder(end) => VmMessage::EndedUnder(end),
            Self::LimitNamed(limit) => VmMessage::LimitNamed(limit),
            Self::TrialEnded(number, fingerprint, is_good) => {
                VmMessage::TrialEnded(number, fingerprint, is_good)
            }
        }
    }
}
