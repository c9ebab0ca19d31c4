//! Origins of streams, and the software versions that services have run lately.

use hoplanding_core::{
    direct::{
        catalog::TargetCatalog,
        software_history::{
            ListKnowledge, SoftwareHistory, SoftwareRecord, VERSION_HOLD, VERSION_TTL,
        },
        stream_origins::{ORIGIN_TTL, StreamKey, StreamOrigin, StreamOrigins},
    },
    ids::{Instant, OrganisationName, ServiceName, SoftwareVersion},
};
use std::time::Duration;

const START: Instant = Instant(1_000_000_000);

fn service() -> ServiceName {
    ServiceName::new("scribe")
}

fn origin(id: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        key: StreamKey::new(&service(), None, id),
        software: SoftwareVersion::new(version),
    }
}

/// An id of one organisation's caller, or of another service, must not tell which version began a stream.
#[test]
fn stream_keys_differ_by_organisation_and_service() {
    let key = StreamKey::new(&service(), None, "r1");
    let organisation = OrganisationName::new("mill");
    assert_ne!(key, StreamKey::new(&service(), Some(&organisation), "r1"));
    assert_ne!(key, StreamKey::new(&ServiceName::new("ledger"), None, "r1"));
    assert_eq!(key, StreamKey::new(&service(), None, "r1"));
}

/// A caller that uses an id twice, for streams of two versions, cannot tell which of them it takes up.
#[test]
fn a_stream_key_of_two_software_versions_counts_as_unknown() {
    let mut origins = StreamOrigins::default();
    origins.record_own(&service(), &origin("r1", "v1"), START);
    let key = origin("r1", "v1").key;
    assert_eq!(
        origins.software(key, START),
        Some(&SoftwareVersion::new("v1"))
    );
    origins.record(&origin("r1", "v2"), START);
    assert_eq!(origins.software(key, START), None);
    origins.record(&origin("r1", "v1"), START);
    assert_eq!(origins.software(key, START), None);
}

/// Origins are forgotten after their time, and each is sent to other VMs once.
#[test]
fn stream_origins_expire_and_are_sent_once() {
    let mut origins = StreamOrigins::default();
    origins.record_own(&service(), &origin("r1", "v1"), START);
    origins.record(&origin("r2", "v1"), START);
    assert_eq!(
        origins.take_unsent(&service(), 8, START),
        [origin("r1", "v1")]
    );
    assert_eq!(origins.take_unsent(&service(), 8, START), []);
    assert_eq!(
        origins.newest(8, START),
        [origin("r2", "v1"), origin("r1", "v1")]
    );
    let later = START.after(ORIGIN_TTL);
    assert_eq!(origins.software(origin("r1", "v1").key, later), None);
    origins.record_own(&service(), &origin("r3", "v1"), later);
    assert_eq!(origins.newest(8, later), [origin("r3", "v1")]);
}

/// Origins that no other VM got are sent again, before later ones, and those of another service are left alone.
#[test]
fn stream_origins_that_were_not_sent_are_taken_again_in_order() {
    let mut origins = StreamOrigins::default();
    let other = ServiceName::new("ledger");
    for id in ["r1", "r2", "r3"] {
        origins.record_own(&service(), &origin(id, "v1"), START);
    }
    origins.record_own(&other, &origin("r4", "v1"), START);
    let taken = origins.take_unsent(&service(), 2, START);
    origins.return_unsent(&service(), &taken);
    let all = ["r1", "r2", "r3"].map(|id| origin(id, "v1"));
    assert_eq!(origins.take_unsent(&service(), 8, START), all);
    assert_eq!(origins.unsent_services().collect::<Vec<_>>(), [&other]);
}

/// Memory is bounded whatever the rate of streams: the oldest origins make room.
#[test]
fn the_number_of_stream_origins_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..70_000_u32 {
        origins.record_own(&service(), &origin(&number.to_string(), "v1"), START);
    }
    assert_eq!(origins.software(origin("0", "v1").key, START), None);
    assert!(origins.software(origin("69999", "v1").key, START).is_some());
    assert!(origins.take_unsent(&service(), usize::MAX, START).len() <= 65_536);
}

fn held(history: &SoftwareHistory, now: Instant) -> Vec<String> {
    let held = history.held_versions(&service(), now);
    let versions = held.map(|(versions, _)| versions).unwrap_or_default();
    versions.iter().map(ToString::to_string).collect()
}

fn record(versions: &[&str], held: &[&str]) -> SoftwareRecord {
    let set = |names: &[&str]| {
        names
            .iter()
            .map(|name| SoftwareVersion::new(name))
            .collect()
    };
    SoftwareRecord {
        versions: set(versions),
        held: set(held),
    }
}

/// Guards against streams at a version that a VM which is out of step can't know of: no proof of another VM that lacks the
/// version is valid any more when the first VM that learned of it begins a stream there.
#[test]
fn a_new_version_is_unused_for_as_long_as_any_read_without_it_is_a_proof() {
    let catalog = TargetCatalog::default();
    let (first, second) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v2"));
    // Reads are sent by both VMs at any time before the version is listed, and it is learned at any time after that.
    for read_before_ms in [0, 100, 1_500, 3_900] {
        for learned_after_ms in [0, 1, 700, 2_600] {
            let listed_at = START.after(Duration::from_secs(60));
            let read_at = listed_at.before(Duration::from_millis(read_before_ms));
            let learned_at = listed_at.after(Duration::from_millis(learned_after_ms));
            let knowledge = ListKnowledge::Whole(Some(read_at));
            let mut history = SoftwareHistory::default();
            history.record_listed(&service(), &first, ListKnowledge::Nothing, START);
            history.record_listed(&service(), &second, knowledge, learned_at);
            let last_held = learned_at.after(VERSION_HOLD - Duration::from_millis(1));
            assert_eq!(held(&history, last_held), ["v2"]);
            assert_eq!(held(&history, learned_at.after(VERSION_HOLD)), [""; 0]);
            // Until its last read without the version has expired, a VM knows that all streams began at the first one.
            let sole = |at| history.sole_version(&service(), &catalog, at);
            let expired = read_at.after(VERSION_HOLD);
            if learned_at < expired {
                let last = expired.before(Duration::from_millis(1));
                assert_eq!(sole(last), Some(first.clone()));
            }
            assert_eq!(sole(expired.max(learned_at)), None);
        }
    }
}

/// Guards against a VM that starts in the middle of a release and uses the new version at once, and against one that waits
/// although the log shows that the version is in use.
#[test]
fn a_vm_that_starts_holds_back_what_the_log_shows_to_be_new() {
    let mut unrecorded = SoftwareHistory::default();
    for version in ["v1", "v2"] {
        let version = SoftwareVersion::new(version);
        unrecorded.record_listed(&service(), &version, ListKnowledge::Nothing, START);
    }
    assert_eq!(held(&unrecorded, START), [""; 0]);
    for (stored, expected) in [
        (record(&["v1"], &[]), &["v2"][..]),
        (record(&["v1", "v2"], &["v2"]), &["v2"]),
        (record(&["v1", "v2"], &[]), &[]),
    ] {
        let mut list_first = unrecorded.clone();
        list_first.record_stored(&service(), &stored, START);
        assert_eq!(held(&list_first, START), expected);
        let mut record_first = SoftwareHistory::default();
        record_first.record_stored(&service(), &stored, START);
        for version in ["v2", "v1"] {
            let version = SoftwareVersion::new(version);
            record_first.record_listed(&service(), &version, ListKnowledge::Nothing, START);
        }
        assert_eq!(held(&record_first, START), expected);
        assert_eq!(held(&record_first, START.after(VERSION_HOLD)), [""; 0]);
        let catalog = TargetCatalog::default();
        assert_eq!(record_first.sole_version(&service(), &catalog, START), None);
    }
}

/// Guards against a service whose only version is held back, also one that replaced the last one long ago.
#[test]
fn the_only_version_of_a_service_is_not_held_back() {
    let mut history = SoftwareHistory::default();
    let knowledge = ListKnowledge::Whole(Some(START));
    history.record_listed(&service(), &SoftwareVersion::new("v1"), knowledge, START);
    assert_eq!(held(&history, START), [""; 0]);
    let later = START.after(VERSION_TTL);
    let knowledge = ListKnowledge::Whole(Some(later));
    history.record_listed(&service(), &SoftwareVersion::new("v2"), knowledge, later);
    assert_eq!(held(&history, later), [""; 0]);
}

/// A version counts until no stream that it began can be taken up any more, also if only the log's record names it.
#[test]
fn a_software_version_counts_until_its_streams_are_over() {
    let catalog = TargetCatalog::default();
    let mut history = SoftwareHistory::default();
    let (first, second) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v2"));
    history.record_listed(&service(), &first, ListKnowledge::Nothing, START);
    let sole = |history: &SoftwareHistory, at| history.sole_version(&service(), &catalog, at);
    assert_eq!(sole(&history, START), Some(first.clone()));
    let record = SoftwareRecord {
        versions: [first.clone(), second.clone()].into(),
        ..SoftwareRecord::default()
    };
    let later = START.after(Duration::from_secs(60));
    history.record_stored(&service(), &record, later);
    assert_eq!(sole(&history, later), None);
    // The record that names the first version is no sign that it was listed since.
    assert_eq!(sole(&history, START.after(VERSION_TTL)), Some(second));
}
