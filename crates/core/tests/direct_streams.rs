//! Origins of streams, and the software versions that services have run lately.

use hoplanding_core::{
    direct::{
        catalog::TargetCatalog,
        software_history::{SoftwareHistory, SoftwareRecord, VERSION_TTL},
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

/// A version counts until no stream that it began can be taken up any more, also if only the log's record names it.
#[test]
fn a_software_version_counts_until_its_streams_are_over() {
    let catalog = TargetCatalog::default();
    let mut history = SoftwareHistory::default();
    let (first, second) = (SoftwareVersion::new("v1"), SoftwareVersion::new("v2"));
    history.record_listed(&service(), &first, START);
    let sole = |history: &SoftwareHistory, at| history.sole_version(&service(), &catalog, at);
    assert_eq!(sole(&history, START), Some(first.clone()));
    let record = SoftwareRecord {
        versions: [first.clone(), second.clone()].into(),
    };
    let later = START.after(Duration::from_secs(60));
    history.record_stored(&service(), &record, later);
    assert_eq!(sole(&history, later), None);
    // The record that names the first version is no sign that it was listed since.
    assert_eq!(sole(&history, START.after(VERSION_TTL)), Some(second));
}
