//! The catalogue of events in docs/EVENTS.md against the code.

use hoplandingd::events::Event;
use std::collections::BTreeSet;

#[test]
fn the_catalogue_lists_every_event_as_it_is() {
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
            "E{} stands twice",
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
