//! What the holder of a zone is asked and told, on this VM or over a link.

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

/// What a holder is asked.
pub(super) enum HolderRequest {
    /// Where a call goes.
    Place(Box<PlacementRequest>),
    /// Where a call of a plain service goes.
    Plain(Box<PlainRequest>),
    /// Whether a charge is paid.
    Pay(QuotaCharge),
    /// Whether a trial of a suspect is granted.
    Trial(RequestFingerprint),
    /// The record of a target.
    Target(TargetName),
}

impl HolderRequest {
    pub(super) fn into_event(self, key: CallKey, reply: ReplySender) -> ZoneEvent {
        match self {
            Self::Place(ask) => ZoneEvent::Place(key, ask, reply),
            Self::Plain(ask) => ZoneEvent::PlacePlain(key, ask, reply),
            Self::Pay(charge) => ZoneEvent::ChargeQuota(key, charge, reply),
            Self::Trial(fingerprint) => ZoneEvent::RequestTrial(key, fingerprint, reply),
            Self::Target(target) => ZoneEvent::LookUpTarget(key, target, reply),
        }
    }

    pub(super) fn into_message(self, number: u64) -> VmMessage {
        match self {
            Self::Place(ask) => VmMessage::Place(number, ask),
            Self::Plain(ask) => VmMessage::PlacePlain(number, ask),
            Self::Pay(charge) => VmMessage::Pay(number, charge),
            Self::Trial(fingerprint) => VmMessage::Trial(number, fingerprint),
            Self::Target(target) => VmMessage::TargetWanted(number, target),
        }
    }
}

/// What a holder is told.
pub(super) enum HolderNotice {
    /// The first event of a call came from this target, made by this version of the base model.
    Begun(u64, TargetName, Option<u64>),
    /// A placement is no longer wanted.
    Withdrawn(u64),
    /// A call that was paid for did not run.
    GiveBack(QuotaCharge),
    /// A target ended while a request ran there.
    EndedUnder(TargetCrash),
    /// An answer told of a target's limit.
    LimitNamed(AdvertisedLimit),
    /// A trial ended, answered well or not.
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
            Self::EndedUnder(ended) => ZoneEvent::TargetEnded(ended),
            Self::LimitNamed(named) => ZoneEvent::TargetLimit(named),
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
            Self::EndedUnder(ended) => VmMessage::EndedUnder(ended),
            Self::LimitNamed(named) => VmMessage::LimitNamed(named),
            Self::TrialEnded(number, fingerprint, is_good) => {
                VmMessage::TrialEnded(number, fingerprint, is_good)
            }
        }
    }
}
