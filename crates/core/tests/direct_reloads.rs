//! What is known of adapters that engines reload quickly: their number, and the loads of earlier holders.

use hoplanding_core::{
    direct::{
        reload_memory::ReloadMemory,
        residency::{AcceptedLoad, LoadHistory},
    },
    ids::{AdapterName, Instant, TargetLife, TargetName, TargetRun},
};

const ASSUMED: usize = 100;

fn at(seconds: u64) -> Instant {
    Instant(seconds * 1_000_000)
}

fn load(engine: &str, adapter: &str) -> AcceptedLoad {
    AcceptedLoad {
        run: TargetRun {
            name: TargetName::new(engine),
            life: TargetLife::default(),
        },
        adapter: AdapterName::new(adapter),
        version: None,
    }
}

/// Guards against calls that arrive too early because engines keep fewer adapters than assumed.
#[test]
fn number_of_kept_adapters_is_learned_from_late_reloads() {
    let mut memory = ReloadMemory::default();
    for round in 0..5 {
        for rank in 0..ASSUMED {
            memory.record(rank, rank < 46, at(round));
        }
    }
    let kept = memory.kept(ASSUMED);
    assert!((40..=48).contains(&kept), "{kept} of 46");
}

/// Guards against loads from the store because a few reloads were late for another reason.
#[test]
fn single_late_reloads_do_not_lower_the_number() {
    let mut memory = ReloadMemory::default();
    for rank in 0..40 {
        memory.record(rank, true, at(1));
        memory.record(rank, true, at(1));
    }
    memory.record(8, false, at(1));
    memory.record(9, false, at(1));
    memory.record(70, false, at(1));
    assert_eq!(memory.kept(ASSUMED), ASSUMED);
}

/// Guards against a number that stays too low after engines were replaced by larger ones.
#[test]
fn late_reloads_are_forgotten() {
    let mut memory = ReloadMemory::default();
    for _ in 0..8 {
        memory.record(20, false, at(1));
    }
    assert_eq!(memory.kept(ASSUMED), 20);
    memory.record(0, true, at(300));
    assert_eq!(memory.kept(ASSUMED), ASSUMED);
}

/// Guards against a new holder that loads from the store what its engines have in memory.
#[test]
fn history_passes_in_messages_and_keeps_the_order_of_loads() {
    let mut holder = LoadHistory::default();
    for number in 0..300 {
        holder.record(load("e1", &format!("a{number}")));
        holder.record(load("e2", "other"));
    }
    holder.record(load("e1", "a7"));
    let mut successor = LoadHistory::default();
    let mut sequence = 0;
    loop {
        let (loads, next) = holder.after(sequence);
        if loads.is_empty() {
            break;
        }
        assert!(loads.len() <= 256, "{} loads in one message", loads.len());
        sequence = next;
        loads.into_iter().for_each(|load| successor.record(load));
    }
    let life = TargetLife::default();
    let known = successor.of(&TargetName::new("e1"), life);
    assert_eq!(known.len(), 300);
    assert_eq!(known.last(), Some(&(AdapterName::new("a7"), None)));
    let later_life = TargetLife::started_at_ms(9);
    assert!(successor.of(&TargetName::new("e1"), later_life).is_empty());
}
