//! Numbered events of the log. docs/EVENTS.md lists them, and a test holds that list against this one.

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Its number.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Its level.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// What it says.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The daemon started.
    Started = 100, Info, "daemon started";
    /// The daemon folded what it needs.
    Ready = 101, Info, "ready to serve";
    /// A planned stop began.
    Stopping = 102, Info, "planned stop began";
    /// The daemon ended.
    Stopped = 103, Info, "daemon ended";
    /// A planned stop ran into its bound.
    StopTimedOut = 104, Warn, "planned stop reached its bound with work left";
    /// The settings are wrong.
    SettingsInvalid = 105, Error, "settings refused";
    /// A hang-up signal came.
    HangupReceived = 106, Info, "hang-up signal";
    /// Changed settings are in force.
    SettingsReloaded = 109, Info, "changed settings taken over";
    /// Changed settings are wrong, and the ones before stay in force.
    ReloadRejected = 110, Error, "changed settings refused, the old ones stay";
    /// Log lines were dropped.
    LogLinesDropped = 107, Warn, "log lines dropped";
    /// The metrics page could not be written.
    MetricsWriteFailed = 108, Warn, "metrics page not written";
    /// The log can't be reached.
    LogUnreachable = 200, Warn, "platform log out of reach";
    /// The log can be reached again.
    LogReachable = 201, Info, "platform log back";
    /// Records expired before they were read.
    LogExpired = 202, Warn, "log records expired before they were read";
    /// A snapshot was taken over.
    SnapshotAdopted = 203, Info, "snapshot adopted";
    /// A snapshot was appended.
    SnapshotWritten = 204, Info, "snapshot appended";
    /// A record can't be decoded.
    RecordSkipped = 205, Error, "log record passed over";
    /// An append's answer was lost.
    AppendOutcomeUnknown = 206, Warn, "answer to an append lost";
    /// A change is in force.
    ChangeAccepted = 300, Info, "configuration change accepted";
    /// A change was refused.
    ChangeRefused = 301, Warn, "configuration change refused";
    /// The belief about a peer changed.
    PeerStateChanged = 400, Info, "peer state changed";
    /// A peer's link broke.
    LinkBroken = 401, Warn, "peer link broken";
    /// A peer's link is up.
    LinkUp = 402, Info, "peer link up";
    /// A peer was refused.
    PeerRejected = 403, Warn, "peer refused";
    /// A target was taken over.
    TargetTakenOver = 500, Info, "target taken over";
    /// A target was lost to another holder.
    TargetLost = 501, Info, "target lost to another holder";
    /// A target is served.
    TargetReady = 502, Info, "target ready";
    /// A target restarted.
    TargetRestarted = 503, Warn, "target restarted empty";
    /// A target can't be reached.
    TargetUnreachable = 504, Warn, "target out of reach";
    /// A target answered with another adapter.
    WrongAdapter = 505, Error, "target answered with another adapter; taken out of use";
    /// A predecessor is settled.
    PredecessorSettled = 506, Info, "predecessor settled";
    /// An unload was refused by a rule.
    UnloadRefused = 507, Debug, "unload refused by a rule";
    /// A late intent was voided.
    IntentVoided = 508, Warn, "late unload announcement voided";
    /// A load failed.
    LoadFailed = 509, Warn, "adapter load failed";
    /// An order's answer was lost.
    OrderOutcomeUnknown = 510, Warn, "answer to an order lost";
    /// A stream broke and was asked for again.
    StreamResumed = 600, Info, "stream resumed";
    /// An answer could not be completed.
    AnswerIncomplete = 601, Warn, "answer could not be completed";
    /// The outcome of a request is unknown.
    OutcomeUnknown = 602, Warn, "outcome of a request unknown";
    /// Idempotency tokens were handed over.
    TokensHandedOver = 603, Info, "idempotency tokens handed over";
    /// A configuration is in force.
    ConfigInForce = 302, Info, "configuration in force";
    /// A configuration that the log holds is older than the one in force.
    ConfigOutdated = 303, Warn, "older configuration passed over";
    /// The record of this VM was not written.
    VmRecordFailed = 207, Warn, "record of this VM not written";
    /// All keys of a topic are known.
    TopicLoaded = 208, Info, "topic of the platform's log known";
    /// The log has come back from a copy.
    HistoryChanged = 209, Warn, "history of the platform's log changed";
    /// An answer of the log is of an era that is over.
    StaleHistoryAnswer = 210, Warn, "answer of an earlier history of the platform's log passed over";
    /// A call went on before the end of its target was recorded.
    EndRecordLate = 211, Warn, "end of a target not recorded in time";
    /// A zone's holder was read from the log.
    LeaseRecorded = 700, Info, "holder of a zone recorded";
    /// This VM appended a claim.
    LeaseClaimed = 701, Info, "zone claimed";
    /// A claim or release was not appended.
    ClaimFailed = 702, Warn, "claim or release of a zone not recorded";
    /// This VM gives a zone's orders.
    LeaseHeld = 703, Info, "zone held";
    /// This VM gives a zone's orders no more.
    LeaseLost = 704, Info, "zone no longer held";
    /// A target refused this VM's token.
    LeaseFenced = 705, Warn, "orders refused in favour of a newer holder";
    /// This VM asks a weaker holder for the lease.
    LeaseRequested = 706, Info, "lease asked for";
    /// This VM gives a zone up for a stronger one.
    LeaseYielded = 707, Info, "lease given up for a stronger VM";
    /// This VM holds its zone by a new record of its lease.
    LeaseRenewed = 708, Info, "lease claimed again";
    /// A target takes no new work any more.
    TargetClosed = 720, Info, "target takes no new work";
    /// The removal of a target's entry may be a lapse.
    RemovalUncertain = 721, Info, "removal of a target in doubt";
    /// A target has started again under its name.
    TargetReplaced = 722, Info, "target started again";
    /// An entry is of a life of its target that is over.
    StaleEntry = 723, Info, "entry of an earlier life passed over";
    /// An entry can't be used.
    InvalidEntry = 724, Warn, "entry of the target list can't be used";
    /// A target says in its answers that it is about to leave.
    TargetLeaving = 725, Info, "target says that it leaves";
    /// A target wants nothing from this VM for a while.
    BackoffRequested = 726, Info, "target asks for rest";
    /// A header in which a target tells of itself can't be read.
    InvalidNotice = 727, Warn, "what a target says of itself can't be read";
    /// An order was taken.
    OrderAccepted = 710, Info, "order taken";
    /// An order came to nothing.
    OrderFailed = 711, Warn, "order not taken";
    /// A report could not be read.
    ReportMissing = 712, Warn, "report of an engine not read";
    /// An order was answered by a life of its target that is over.
    StaleOrderAnswer = 713, Info, "answer to an order of an earlier life passed over";
    /// What is learned of the weight store has changed.
    LoadLimitChanged = 714, Info, "loads from the weight store";
    /// An engine could take prompt parts from another one.
    KvFetchOffered = 715, Debug, "memory of a prompt may move";
    /// A request was refused as not run.
    CallRefused = 800, Info, "request refused as not run";
    /// A request failed.
    CallFailed = 801, Info, "request failed";
    /// A request has no route.
    NoRoute = 802, Info, "no route for a request";
    /// A request has no key that is in force.
    KeyRefused = 806, Info, "key refused";
    /// Keys may have been taken away that this VM does not know of.
    KeysUncertain = 807, Info, "request refused as not run, keys uncertain";
    /// An organisation's quota is used up.
    QuotaUsedUp = 808, Info, "request refused as not run, quota used up";
    /// A target ended while a request ran there.
    TargetEndedDuringRequest = 816, Info, "target ended under a request";
    /// A holder heard of a target that ended under a request.
    RequestSuspected = 716, Warn, "request suspected";
    /// A suspect was answered well.
    SuspicionCleared = 717, Info, "suspicion of a request cleared";
    /// A target broke a call off, and nothing showed that it had ended.
    TargetEndUnconfirmed = 817, Info, "no end shown of a target that broke a call off";
    /// A target named a limit, another one or none any more.
    LimitNamed = 818, Info, "limit of a target";
    /// A request was given a target.
    CallPlaced = 803, Debug, "request placed";
    /// A stream's first event went out.
    StreamAnswered = 804, Info, "stream answered";
    /// A stream whose target took prompt parts from another one has begun.
    KvFetchUsed = 805, Debug, "stream begun with moved memory";
    /// A target could not be reached for a request.
    TargetConnectFailed = 810, Info, "target out of reach for a request";
    /// A target answered nothing.
    NoAnswer = 811, Info, "no answer from a target";
    /// A target turned a request away.
    RequestTurnedAway = 812, Info, "request turned away by a target";
    /// An answer belongs to another request, or is no proper one.
    MismatchedAnswer = 813, Warn, "answer that is not this request's";
    /// An answer broke off.
    AnswerBroken = 814, Info, "answer broken off by a target";
    /// A stream broke off.
    StreamBroken = 815, Info, "stream broken off by a target";
    /// The retry budget paid for a repeat.
    RetryAllowed = 830, Info, "repeat allowed";
    /// The retry budget did not pay for a repeat.
    RetryDenied = 831, Info, "repeat denied";
    /// A connection could not be accepted.
    AcceptFailed = 820, Warn, "connection not accepted";
}

/// Writes a numbered event: its number, its text, the request that it is about and what decided it.
#[macro_export]
macro_rules! event {
    ($event:expr) => {{
        let event = $event;
        log::log!(target: "hoplanding", event.level(), event = event.number(); "{}", event.text());
    }};
    ($event:expr, request = $request:expr; $($arg:tt)+) => {{
        let event = $event;
        log::log!(
            target: "hoplanding", event.level(), event = event.number(), request:% = $request;
            "{}: {}", event.text(), format_args!($($arg)+)
        );
    }};
    ($event:expr, $($arg:tt)+) => {{
        let event = $event;
        log::log!(
            target: "hoplanding", event.level(), event = event.number();
            "{}: {}", event.text(), format_args!($($arg)+)
        );
    }};
}
