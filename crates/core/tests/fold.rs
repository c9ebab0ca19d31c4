//! Tests of the state folded from the log: conflicting changes, duplicate records, snapshots and expired records.

use hoplanding_core::{
    config::{ChangeConflict, ChangeOutcome, ConfigChange},
    ids::{ChangeId, DaemonRef, Incarnation, LogOffset, VmName},
    log::{
        ChangePart, ChangeRecord, FoldEffect, FoldedState, KeyClaimsRecord, LogRecord,
        SnapshotAssembler,
    },
    request::{ClaimOutcome, KeyClaim, KeyHash},
};
use proptest::prelude::*;

/// Random schedules per property.
const SCHEDULES: u32 = 1000;
/// Number of daemons that read the same log.
const DAEMONS: usize = 4;

fn record(id: &str, parts: Vec<ChangePart>) -> ChangeRecord {
    ChangeRecord {
        id: id.into(),
        operator: "ops".into(),
        via: "a1".into(),
        at_ms: 0,
        text: id.to_owned(),
        parts,
    }
}

fn part(state: &FoldedState, change: ConfigChange) -> ChangePart {
    ChangePart {
        based_on: state.config.revision(&change.object()),
        change,
    }
}

fn create(adapter: &str) -> ConfigChange {
    ConfigChange::CreateAdapter {
        adapter: adapter.into(),
    }
}

fn publish(adapter: &str, version: &str) -> ConfigChange {
    ConfigChange::PublishVersion {
        adapter: adapter.into(),
        version: version.into(),
    }
}

fn make_current(adapter: &str, version: &str) -> ConfigChange {
    ConfigChange::MakeCurrent {
        adapter: adapter.into(),
        version: version.into(),
    }
}

fn apply(state: &mut FoldedState, record: ChangeRecord) -> ChangeOutcome {
    let offset = LogOffset(state.applied.0 + 1);
    match state.apply(offset, &LogRecord::Change(record)) {
        FoldEffect::Change(_, outcome) => outcome,
        other => panic!("{other:?} is not the effect of a change"),
    }
}

/// Guards against a change that silently overwrites a concurrent one, and against a conflict message without the
/// author, the offset and the remedy.
#[test]
fn a_conflicting_change_is_refused_with_the_change_that_won() {
    let mut state = FoldedState::default();
    let setup = vec![
        part(&state, create("a")),
        part(&state, publish("a", "v1")),
        part(&state, publish("a", "v2")),
    ];
    apply(&mut state, record("setup", setup));
    let first = record("first", vec![part(&state, make_current("a", "v2"))]);
    let second = record("second", vec![part(&state, make_current("a", "v1"))]);
    assert_eq!(
        apply(&mut state, first),
        ChangeOutcome::Accepted(LogOffset(2))
    );
    let ChangeOutcome::Refused(_, conflict) = apply(&mut state, second) else {
        panic!("a change based on an old revision must be refused");
    };
    insta::assert_snapshot!(conflict, @r#"adapter a was changed at offset 2 by ops (`first`) after you read it at 1: look at `show changes where object = "adapter a"` and repeat your command if it still applies"#);
    assert_eq!(
        state.config.adapters["a"]
            .current
            .as_ref()
            .map(hoplanding_core::ids::VersionName::as_str),
        Some("v2")
    );
}

/// Guards against a change that is applied in part when one of its parts is refused.
#[test]
fn a_change_with_a_refused_part_is_not_applied() {
    let mut state = FoldedState::default();
    let setup = vec![part(&state, create("a")), part(&state, publish("a", "v1"))];
    apply(&mut state, record("setup", setup));
    let before = state.config.adapters.clone();
    let mixed = vec![
        part(&state, create("b")),
        part(&state, publish("a", "v2")),
        part(&state, publish("a", "v1")),
    ];
    let outcome = apply(&mut state, record("mixed", mixed));
    assert!(matches!(
        outcome,
        ChangeOutcome::Refused(_, ChangeConflict::VersionExists { .. })
    ));
    assert_eq!(state.config.adapters, before);
}

/// Guards against a change that takes effect twice. A daemon appends it again when the answer to its first append is
/// lost.
#[test]
fn a_duplicate_change_has_no_second_effect() {
    let mut state = FoldedState::default();
    let change = record("once", vec![part(&state, create("a"))]);
    let first = apply(&mut state, change.clone());
    let again = apply(&mut state, change);
    assert_eq!(first, again);
    assert_eq!(state.config.audit.len(), 1);
}

/// Guards against two daemons that both consider themselves the winner of a key.
#[test]
fn the_claim_at_the_lowest_offset_wins() {
    let daemon = |vm: &str| DaemonRef {
        vm: VmName::new(vm),
        incarnation: Incarnation(1),
    };
    let key = KeyHash::of(&"desk".into(), "scan 7");
    let claims = |vm: &str| {
        LogRecord::KeyClaims(KeyClaimsRecord {
            holder: daemon(vm),
            claims: vec![KeyClaim {
                key,
                fingerprint: 3,
            }],
        })
    };
    let mut state = FoldedState::default();
    state.apply(LogOffset(1), &claims("b1"));
    state.apply(LogOffset(2), &claims("a1"));
    state.apply(LogOffset(3), &claims("b1"));
    assert_eq!(
        state.keys.outcome(&key, &daemon("b1")),
        Some(ClaimOutcome::Won)
    );
    let lost = ClaimOutcome::Lost {
        holder: daemon("b1"),
        fingerprint: 3,
    };
    assert_eq!(state.keys.outcome(&key, &daemon("a1")), Some(lost));
}

/// Step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A daemon appends a change based on its own state, possibly twice as after a lost answer.
    Change {
        daemon: usize,
        adapter: u8,
        version: u8,
        copies: usize,
    },
    /// A daemon reads up to `records` records.
    Read { daemon: usize, records: usize },
    /// A daemon appends a snapshot, and then the oldest records expire.
    Expire { daemon: usize, keep: usize },
    /// A daemon restarts with an empty state.
    Restart { daemon: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        6 => (daemon.clone(), 0..3u8, 0..4u8, 1..3usize)
            .prop_map(|(daemon, adapter, version, copies)| Step::Change { daemon, adapter, version, copies }),
        6 => (daemon.clone(), 1..6usize).prop_map(|(daemon, records)| Step::Read { daemon, records }),
        1 => (daemon.clone(), 0..8usize).prop_map(|(daemon, keep)| Step::Expire { daemon, keep }),
        1 => daemon.prop_map(|daemon| Step::Restart { daemon }),
    ]
}

/// The log and the states of the daemons that read it.
#[derive(Default)]
struct Fleet {
    /// Every record ever appended; the first `expired` of them can no longer be read.
    log: Vec<LogRecord>,
    expired: usize,
    daemons: Vec<FoldedState>,
    highest_applied: Vec<LogOffset>,
    expected: FoldedState,
}

impl Fleet {
    fn new() -> Self {
        Self {
            daemons: vec![FoldedState::default(); DAEMONS],
            highest_applied: vec![LogOffset::default(); DAEMONS],
            ..Self::default()
        }
    }

    fn append(&mut self, record: LogRecord) {
        self.expected
            .apply(LogOffset(self.log.len() as u64 + 1), &record);
        self.log.push(record);
    }

    fn run(&mut self, number: usize, step: &Step) {
        match step {
            Step::Change {
                daemon,
                adapter,
                version,
                copies,
            } => {
                let state = &self.daemons[*daemon];
                let (adapter, version) = (format!("a{adapter}"), format!("v{version}"));
                let change = match state.config.adapters.get(adapter.as_str()) {
                    None => create(&adapter),
                    Some(config) if config.version(&version).is_none() => {
                        publish(&adapter, &version)
                    }
                    Some(_) => make_current(&adapter, &version),
                };
                let parts = vec![part(state, change)];
                for _ in 0..*copies {
                    self.append(LogRecord::Change(record(
                        &format!("c{number}"),
                        parts.clone(),
                    )));
                }
            }
            Step::Read { daemon, records } => self.read(*daemon, *records),
            Step::Expire { daemon, keep } => {
                if self.daemons[*daemon].applied.0 as usize >= self.expired {
                    for snapshot in self.daemons[*daemon].snapshot_parts(*daemon as u64) {
                        self.append(LogRecord::Snapshot(snapshot));
                    }
                    // Records expire only if the snapshot covers them.
                    let covered_records = self.daemons[*daemon].applied.0 as usize;
                    self.expired = self.expired.max(covered_records.saturating_sub(*keep));
                }
            }
            Step::Restart { daemon } => self.daemons[*daemon] = FoldedState::default(),
        }
    }

    fn read(&mut self, daemon: usize, records: usize) {
        if (self.daemons[daemon].applied.0 as usize) < self.expired {
            self.catch_up_from_snapshot(daemon);
        }
        let from = self.daemons[daemon].applied.0 as usize;
        for index in from..(from + records).min(self.log.len()) {
            self.daemons[daemon].apply(LogOffset(index as u64 + 1), &self.log[index]);
        }
        assert!(
            self.daemons[daemon].applied >= self.highest_applied[daemon]
                || from < self.highest_applied[daemon].0 as usize
        );
        self.highest_applied[daemon] =
            self.highest_applied[daemon].max(self.daemons[daemon].applied);
    }

    fn catch_up_from_snapshot(&mut self, daemon: usize) {
        let mut assembler = SnapshotAssembler::default();
        for record in &self.log[self.expired..] {
            if let LogRecord::Snapshot(part) = record
                && let Some(state) = assembler.add(part)
            {
                self.daemons[daemon].replace_if_newer(state);
            }
        }
        assert!(
            self.daemons[daemon].applied.0 as usize >= self.expired,
            "a snapshot must cover every expired record"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: SCHEDULES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against states that diverge, revert or lose an accepted change, under any order of reads, duplicates,
    /// snapshots, expiry and restarts.
    #[test]
    fn all_daemons_end_with_the_same_state(steps in prop::collection::vec(step(), 1..60)) {
        let mut fleet = Fleet::new();
        for (number, step) in steps.iter().enumerate() {
            fleet.run(number, step);
        }
        let accepted = fleet.expected.config.audit.len();
        for daemon in 0..DAEMONS {
            fleet.read(daemon, usize::MAX / 2);
            prop_assert_eq!(&fleet.daemons[daemon], &fleet.expected);
            prop_assert_eq!(fleet.daemons[daemon].config.audit.len(), accepted);
        }
    }

    /// Guards against a state that moves backwards because an older snapshot is read late.
    #[test]
    fn an_older_snapshot_is_refused(cut in 0..20usize) {
        let mut old = FoldedState::default();
        let mut new = FoldedState::default();
        for number in 0..20 {
            let change = record(&format!("c{number}"), vec![part(&new, create(&format!("a{number}")))]);
            let offset = LogOffset(number + 1);
            new.apply(offset, &LogRecord::Change(change.clone()));
            if (number as usize) < cut {
                old.apply(offset, &LogRecord::Change(change));
            }
        }
        let before = new.clone();
        prop_assert!(!new.replace_if_newer(old));
        prop_assert_eq!(new, before);
    }
}

#[test]
fn change_ids_are_compared_as_text() {
    assert_eq!(ChangeId::new("x"), "x".into());
}
