//! Compares the catalogue of events in docs/EVENTS.md with the code.

use hoplandingd::events::Event;
use std::collections::BTreeSet;

// Guards against events that are missing from the catalogue, share a number, or differ from it in level or text.
#[test]
fn catalogue_matches_the_events_of_the_code() {
    let catalogue = include_str!("../../../docs/EVENTS.md");
    let rows: BTreeSet<_> = catalogue
        .lines()
        .filter(|line| line.starts_with("| E"))
        .collect();
    assert_eq!(rows.len(), Event::ALL.len());
    let mut numbers = BTreeSet::new();
    for event in Event::ALL {
        assert!(
            numbers.insert(event.number()),
            "E{} is used twice",
            event.number()
        );
        let level = event.level().to_string().to_lowercase();
        let start = format!("| E{} | {level} | {} |", event.number(), event.text());
        assert!(
            rows.iter().any(|row| row.starts_with(&start)),
            "docs/EVENTS.md lacks: {start}"
        );
    }
}
