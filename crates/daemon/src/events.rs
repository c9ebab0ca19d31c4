//! Numbered log events. docs/EVENTS.md lists them, and a test compares that list with this one.

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Number in the log and in docs/EVENTS.md.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Log level.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Self::$name => Level::$level,)* }
            }

            /// Fixed start of the log message.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

events! {
    /// The daemon has started.
    Started = 100, Info, "daemon started";
    /// The daemon has applied the log and is ready to serve.
    Ready = 101, Info, "ready to serve";
    /// A planned stop has begun.
    Stopping = 102, Info, "planned stop began";
    /// The daemon has ended.
    Stopped = 103, Info, "daemon ended";
    /// A planned stop reached its timeout.
    StopTimedOut = 104, Warn, "planned stop reached its bound with work left";
    /// The settings are invalid.
    SettingsInvalid = 105, Error, "settings refused";
    /// SIGHUP was received.
    HangupReceived = 106, Info, "hang-up signal";
    /// Changed settings are in effect.
    SettingsReloaded = 109, Info, "changed settings taken over";
    /// Changed settings are invalid; the previous ones stay in effect.
    ReloadRejected = 110, Error, "changed settings refused, the old ones stay";
    /// The log queue was full and lines were dropped.
    LogLinesDropped = 107, Warn, "log lines dropped";
    /// The metrics page could not be written.
    MetricsWriteFailed = 108, Warn, "metrics page not written";
    /// The platform's log can't be reached.
    LogUnreachable = 200, Warn, "platform log out of reach";
    /// The platform's log can be reached again.
    LogReachable = 201, Info, "platform log back";
    /// Log records expired before they were read.
    LogExpired = 202, Warn, "log records expired before they were read";
    /// A snapshot of the folded state was adopted.
    SnapshotAdopted = 203, Info, "snapshot adopted";
    /// A snapshot of the folded state was appended to the log.
    SnapshotWritten = 204, Info, "snapshot appended";
    /// A log record can't be decoded.
    RecordSkipped = 205, Error, "log record passed over";
    /// The answer to an append was lost.
    AppendOutcomeUnknown = 206, Warn, "answer to an append lost";
    /// A configuration change is in effect.
    ChangeAccepted = 300, Info, "configuration change accepted";
    /// A configuration change was refused.
    ChangeRefused = 301, Warn, "configuration change refused";
    /// The membership state of a peer has changed.
    PeerStateChanged = 400, Info, "peer state changed";
    /// The link to a peer is broken.
    LinkBroken = 401, Warn, "peer link broken";
    /// The link to a peer is connected.
    LinkUp = 402, Info, "peer link up";
    /// A peer's link was refused.
    PeerRejected = 403, Warn, "peer refused";
    /// This daemon has taken a target over.
    TargetTakenOver = 500, Info, "target taken over";
    /// Another holder has taken a target over.
    TargetLost = 501, Info, "target lost to another holder";
    /// A target is ready to serve.
    TargetReady = 502, Info, "target ready";
    /// A target has restarted without its adapters.
    TargetRestarted = 503, Warn, "target restarted empty";
    /// A target can't be reached.
    TargetUnreachable = 504, Warn, "target out of reach";
    /// A target answered with a different adapter than requested.
    WrongAdapter = 505, Error, "target answered with another adapter; taken out of use";
    /// No request of a target's previous holder can still be running.
    PredecessorSettled = 506, Info, "predecessor settled";
    /// A rule forbids the unload of an adapter.
    UnloadRefused = 507, Debug, "unload refused by a rule";
    /// An unload intent came too late and was voided.
    IntentVoided = 508, Warn, "late unload announcement voided";
    /// An adapter load failed.
    LoadFailed = 509, Warn, "adapter load failed";
    /// The answer to an order was lost.
    OrderOutcomeUnknown = 510, Warn, "answer to an order lost";
    /// A broken stream was resumed.
    StreamResumed = 600, Info, "stream resumed";
    /// An answer could not be completed.
    AnswerIncomplete = 601, Warn, "answer could not be completed";
    /// It is unknown whether a request ran.
    OutcomeUnknown = 602, Warn, "outcome of a request unknown";
    /// Idempotency tokens were handed to another daemon.
    TokensHandedOver = 603, Info, "idempotency tokens handed over";
    /// A configuration is in effect.
    ConfigInForce = 302, Info, "configuration in force";
    /// The configuration in the log is older than the one in effect.
    ConfigOutdated = 303, Warn, "older configuration passed over";
    /// Keys that a configuration no longer names are revoked, although the rest of it can't be used.
    KeysRevoked = 304, Warn, "keys of an unusable configuration in force";
    /// The keys of a configuration can't be read, so that any key may be revoked.
    KeysUnreadable = 305, Error, "keys of the newest configuration unreadable";
    /// The record of this VM could not be written.
    VmRecordFailed = 207, Warn, "record of this VM not written";
    /// All keys of a log topic have been read.
    TopicLoaded = 208, Info, "topic of the platform's log known";
    /// The platform's log was restored from a copy, so its history has changed.
    HistoryChanged = 209, Warn, "history of the platform's log changed";
    /// An answer of the log belongs to a previous history.
    StaleHistoryAnswer = 210, Warn, "answer of an earlier history of the platform's log passed over";
    /// A call went on before the end of its target was recorded.
    EndRecordLate = 211, Warn, "end of a target not recorded in time";
    /// The log names the holder of a zone's lease.
    LeaseRecorded = 700, Info, "holder of a zone recorded";
    /// This VM has appended a claim to a zone's lease.
    LeaseClaimed = 701, Info, "zone claimed";
    /// A claim or release of a lease could not be appended.
    ClaimFailed = 702, Warn, "claim or release of a zone not recorded";
    /// This VM holds a zone's lease and sends its orders.
    LeaseHeld = 703, Info, "zone held";
    /// This VM no longer holds a zone's lease.
    LeaseLost = 704, Info, "zone no longer held";
    /// A target refused this VM's fencing token.
    LeaseFenced = 705, Warn, "orders refused in favour of a newer holder";
    /// This VM asks a weaker holder for the lease.
    LeaseRequested = 706, Info, "lease asked for";
    /// This VM gives the lease up to a stronger one.
    LeaseYielded = 707, Info, "lease given up for a stronger VM";
    /// This VM holds its lease under a new record.
    LeaseRenewed = 708, Info, "lease claimed again";
    /// A target accepts no new work.
    TargetClosed = 720, Info, "target takes no new work";
    /// The removal of a target's entry may be an error.
    RemovalUncertain = 721, Info, "removal of a target in doubt";
    /// A target has started again under the same name.
    TargetReplaced = 722, Info, "target started again";
    /// An entry belongs to a previous incarnation of its target.
    StaleEntry = 723, Info, "entry of an earlier life passed over";
    /// An entry of the target list can't be used.
    InvalidEntry = 724, Warn, "entry of the target list can't be used";
    /// A target announces in its answers that it will stop.
    TargetLeaving = 725, Info, "target says that it leaves";
    /// A target asks this VM to send nothing for a while.
    BackoffRequested = 726, Info, "target asks for rest";
    /// A header with which a target describes itself can't be parsed.
    InvalidNotice = 727, Warn, "what a target says of itself can't be read";
    /// The holder of a zone releases its lease, as it can't reach the zone's targets.
    LeaseUnusable = 709, Warn, "lease given up without a path to the zone's targets";
    /// The log can't be read after the wait that follows a claim.
    ClaimUnproven = 728, Warn, "claim of a zone not confirmed yet";
    /// A read shows that a claim stands in the log.
    ClaimProven = 729, Info, "claim of a zone confirmed";
    /// No target of a zone answers this VM any more.
    PathLost = 730, Warn, "path to a zone's targets lost";
    /// A target of a zone answers this VM again.
    PathRestored = 731, Info, "path to a zone's targets restored";
    /// Another VM made no connection to a target for this VM.
    TunnelFailed = 732, Debug, "tunnel through another VM not opened";
    /// An order was accepted.
    OrderAccepted = 710, Info, "order taken";
    /// An order was not accepted.
    OrderFailed = 711, Warn, "order not taken";
    /// An engine's report could not be read.
    ReportMissing = 712, Warn, "report of an engine not read";
    /// The answer to an order belongs to a previous incarnation of its target.
    StaleOrderAnswer = 713, Info, "answer to an order of an earlier life passed over";
    /// The estimated load rate of the weight store has changed.
    LoadLimitChanged = 714, Info, "loads from the weight store";
    /// An engine could fetch the KV cache of a prompt from another one.
    KvFetchOffered = 715, Debug, "memory of a prompt may move";
    /// A service with engines got a plan in this zone, or lost it.
    ServicePlanChanged = 845, Info, "plan of a service";
    /// A placement concerns another service than the one that was asked for.
    ServiceMismatch = 846, Info, "placement for another service";
    /// A request was refused and not run.
    CallRefused = 800, Info, "request refused as not run";
    /// A request failed.
    CallFailed = 801, Info, "request failed";
    /// No route matches a request.
    NoRoute = 802, Info, "no route for a request";
    /// A request carries no valid API key.
    KeyRefused = 806, Info, "key refused";
    /// API keys may have been revoked without this VM knowing.
    KeysUncertain = 807, Info, "request refused as not run, keys uncertain";
    /// An organisation has used up its quota.
    QuotaUsedUp = 808, Info, "request refused as not run, quota used up";
    /// A refused call has a time at which it should come back.
    ReturnAssigned = 860, Info, "return time assigned";
    /// The number of adapters that engines reload quickly has changed.
    KeptAdaptersLearned = 865, Info, "recent adapters that engines reload quickly";
    /// A target of a plain service has become slow, or usual again.
    PlainPaceChanged = 870, Info, "pace of a target";
    /// The ends of calls of plain services were not reported.
    PlainCallsDropped = 871, Info, "calls without an end dropped";
    /// The origins of streams that began earlier were sent to the holders.
    OriginsReported = 872, Info, "origins of earlier streams reported";
    /// A target ended while a request ran on it.
    TargetEndedDuringRequest = 816, Info, "target ended under a request";
    /// The holder learned that a target ended while running a request.
    RequestSuspected = 716, Warn, "request suspected";
    /// A suspected request was answered correctly.
    SuspicionCleared = 717, Info, "suspicion of a request cleared";
    /// A target interrupted a call, and there is no evidence that it ended.
    TargetEndUnconfirmed = 817, Info, "no end shown of a target that broke a call off";
    /// A target announced, changed or removed a limit.
    LimitNamed = 818, Info, "limit of a target";
    /// A caller continues a stream that another attempt of it began.
    StreamTakenUp = 819, Info, "stream taken up by its caller";
    /// No VM knows which software version began a stream that a caller takes up.
    StreamOriginUnknown = 821, Info, "origin of a stream not known";
    /// A request was assigned to a target.
    CallPlaced = 803, Debug, "request placed";
    /// A call goes to a target outside its gateway's zone.
    CallLeftZone = 855, Debug, "call leaves the zone";
    /// A new holder starts with the load limit that other zones report.
    LoadLimitAdopted = 856, Info, "load limit of another zone taken over";
    /// Zones were not asked for a call because of their reports.
    ZonesSkipped = 857, Debug, "zones that are short not asked";
    /// The first event of a stream was sent to the caller.
    StreamAnswered = 804, Info, "stream answered";
    /// A stream has begun on a target that fetched the KV cache from another one.
    KvFetchUsed = 805, Debug, "stream begun with moved memory";
    /// A request could not connect to its target.
    TargetConnectFailed = 810, Info, "target out of reach for a request";
    /// A target sent no answer.
    NoAnswer = 811, Info, "no answer from a target";
    /// A target refused a request.
    RequestTurnedAway = 812, Info, "request turned away by a target";
    /// An answer belongs to another request or is malformed.
    MismatchedAnswer = 813, Warn, "answer that is not this request's";
    /// A target that may have run a request failed with a status that promises the contrary.
    StatusReplaced = 840, Info, "status of a failure not passed on";
    /// A target exceeded a bound of its answers.
    AnswerUnbounded = 841, Warn, "answer over a bound";
    /// An answer ended because the buffered answers together reached their bound.
    BuffersFull = 842, Warn, "largest buffered answer ended";
    /// An answer of a target ended before its end.
    AnswerBroken = 814, Info, "answer of a target ended early";
    /// A stream from a target ended before its end.
    StreamBroken = 815, Info, "stream to a target ended early";
    /// A caller's connection ended before the end of its answer.
    CallerLeft = 824, Info, "caller left before the end of its answer";
    /// A caller's connection ended while its answer was under way.
    CallerConnectionEnded = 825, Info, "connection of a caller ended under its answer";
    /// The target of a stream that may continue elsewhere is silent.
    StreamStalled = 832, Info, "stream stalled";
    /// The silent target of a stream sent data before another one was ready.
    StalledStreamWentOn = 833, Info, "stalled stream went on";
    /// The retry budget allowed a retry.
    RetryAllowed = 830, Info, "repeat allowed";
    /// The retry budget denied a retry.
    RetryDenied = 831, Info, "repeat denied";
    /// This VM has had more work than processor time for some time.
    VmOverloaded = 822, Warn, "more work than processor time";
    /// This VM has processor time left again.
    VmRecovered = 823, Info, "processor time left again";
    /// Calls wait for an adapter slot of this VM's zone.
    SlotQueueInUse = 850, Info, "calls wait for adapter slots";
    /// No call has waited for an adapter slot for some time.
    SlotQueueEmpty = 851, Info, "no call waits for an adapter slot any more";
    /// A call's wait for an adapter slot ended.
    SlotWaitEnded = 852, Debug, "wait for an adapter slot ended";
    /// A connection could not be accepted.
    AcceptFailed = 820, Warn, "connection not accepted";
}

/// Logs a numbered [`Event`], optionally with the id of the request concerned and a formatted detail.
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
