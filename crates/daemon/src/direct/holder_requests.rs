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
    PlacePlain(Box<PlainRequest>),
    /// Charge against an organisation's quota.
    ChargeQuota(QuotaCharge),
    /// Permit for a trial of a suspect.
    RequestTrial(RequestFingerprint),
    /// Record of a target.
    LookUpTarget(TargetName),
}

impl HolderRequest {
    pub(super) fn into_event(self, key: CallKey, reply: ReplySender) -> ZoneEvent {
        match self {
            Self::Place(request) => ZoneEvent::Place(key, request, reply),
            Self::PlacePlain(request) => ZoneEvent::PlacePlain(key, request, reply),
            Self::ChargeQuota(charge) => ZoneEvent::ChargeQuota(key, charge, reply),
            Self::RequestTrial(fingerprint) => ZoneEvent::RequestTrial(key, fingerprint, reply),
            Self::LookUpTarget(target) => ZoneEvent::LookUpTarget(key, target, reply),
        }
    }

    pub(super) fn into_message(self, number: u64) -> VmMessage {
        match self {
            Self::Place(request) => VmMessage::Place(number, request),
            Self::PlacePlain(request) => VmMessage::PlacePlain(number, request),
            Self::ChargeQuota(charge) => VmMessage::ChargeQuota(number, charge),
            Self::RequestTrial(fingerprint) => VmMessage::RequestTrial(number, fingerprint),
            Self::LookUpTarget(target) => VmMessage::LookUpTarget(number, target),
        }
    }
}

/// Notice to a zone's holder, without a reply.
pub(super) enum HolderNotice {
    /// The first event of a call came from this target, with the version of the base model if
    /// known.
    FirstEvent(u64, TargetName, Option<u64>),
    /// The gateway no longer needs a placement.
    PlacementWithdrawn(u64),
    /// Returns the charge of a call that was not run.
    RefundQuota(QuotaCharge),
    /// A target crashed while it ran a request.
    TargetCrashed(TargetCrash),
    /// A target advertised its rate limit in an answer.
    TargetLimit(AdvertisedLimit),
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
            Self::FirstEvent(number, target, version) => {
                ZoneEvent::FirstEvent(key(number), target, version)
            }
            Self::PlacementWithdrawn(number) => ZoneEvent::PlacementWithdrawn(key(number)),
            Self::RefundQuota(charge) => ZoneEvent::RefundQuota(charge),
            Self::TargetCrashed(end) => ZoneEvent::TargetCrashed(end),
            Self::TargetLimit(limit) => ZoneEvent::TargetLimit(limit),
            Self::TrialEnded(number, fingerprint, is_good) => {
                ZoneEvent::TrialEnded(key(number), fingerprint, is_good)
            }
        }
    }

    pub(super) fn into_message(self) -> VmMessage {
        match self {
            Self::FirstEvent(number, target, version) => {
                VmMessage::FirstEvent(number, target, version)
            }
            Self::PlacementWithdrawn(number) => VmMessage::PlacementWithdrawn(number),
            Self::RefundQuota(charge) => VmMessage::RefundQuota(charge),
            Self::TargetCrashed(end) => VmMessage::TargetCrashed(end),
            Self::TargetLimit(limit) => VmMessage::TargetLimit(limit),
            Self::TrialEnded(number, fingerprint, is_good) => {
                VmMessage::TrialEnded(number, fingerprint, is_good)
            }
        }
    }
}
