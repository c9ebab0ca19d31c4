//! Counts requests by route, zone, time span, final state and cause, and lists those held longest.

use crate::account::{
    cause::{LossCause, RequestEnd, classify},
    requests::{RequestLog, SourceLine},
};
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// Requests listed by id in each row.
const MAX_WORST: usize = 5;

/// Requests of one route, zone and time span with the same final state and cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountRow {
    /// Route, or `?` if no line names it.
    pub route: String,
    /// Zone of the daemon that logged the first line, or `?` if its start is in no log.
    pub zone: String,
    /// Start of the span, in seconds after the first log line.
    pub from_s: i64,
    /// Final state of the requests.
    pub end: RequestEnd,
    /// Cause of that state.
    pub cause: LossCause,
    /// Number of requests.
    pub count: usize,
    /// Requests held longest: id and time in milliseconds, longest first.
    pub worst: Vec<(String, f64)>,
}

/// Summary of all requests in the logs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountTable {
    /// Rows by span; within a span those in time come last, and larger counts first.
    pub rows: Vec<AccountRow>,
    /// Requests without a line that tells how they ended.
    #[serde(rename = "untold")]
    pub unknown_outcomes: usize,
    /// Files with lines that could not be parsed, and how many.
    pub unreadable: Vec<(String, usize)>,
}

/// Summarizes `log` in spans of `span_s` seconds; 0 puts all requests into one span.
#[must_use]
pub fn summarize(log: &RequestLog, span_s: u32) -> AccountTable {
    let mut groups = BTreeMap::<_, Vec<(String, f64)>>::new();
    let mut unknown_outcomes = 0;
    for (id, lines) in &log.requests {
        let Some(outcome) = classify(lines) else {
            unknown_outcomes += 1;
            continue;
        };
        let zone = zone_of(log, lines);
        let from_s = span_start_s(log, lines, span_s);
        groups
            .entry((outcome.route, zone, from_s, outcome.end, outcome.cause))
            .or_default()
            .push((id.clone(), outcome.held_ms));
    }
    let rows = groups.into_iter().map(|(group, mut held)| {
        let (route, zone, from_s, end, cause) = group;
        let count = held.len();
        held.sort_by(|left, right| right.1.total_cmp(&left.1));
        held.truncate(MAX_WORST);
        AccountRow {
            route,
            zone,
            from_s,
            end,
            cause,
            count,
            worst: held,
        }
    });
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by_key(|row| {
        (
            row.from_s,
            row.end == RequestEnd::InTime,
            usize::MAX - row.count,
        )
    });
    AccountTable {
        rows,
        unknown_outcomes,
        unreadable: log.unreadable.clone(),
    }
}

fn zone_of(log: &RequestLog, lines: &[SourceLine]) -> String {
    let zone = lines.first().and_then(|line| log.zones.get(&line.source));
    zone.cloned().unwrap_or_else(|| "?".to_owned())
}

fn span_start_s(log: &RequestLog, lines: &[SourceLine], span_s: u32) -> i64 {
    let (Some(begin), Some(line)) = (log.begin, lines.first()) else {
        return 0;
    };
    let span = i64::from(span_s);
    if span == 0 {
        return 0;
    }
    (line.entry.timestamp - begin) / 1_000 / span * span
}

impl fmt::Display for AccountTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table
            .load_preset(presets::NOTHING)
            .set_content_arrangement(ContentArrangement::Disabled)
            .set_header(["from s", "route", "zone", "end", "cause", "count", "worst"]);
        for row in &self.rows {
            let worst = row.worst.iter().map(|(id, held)| format!("{id} {held:.0}"));
            let worst = if row.end == RequestEnd::InTime {
                String::new()
            } else {
                worst.collect::<Vec<_>>().join(", ")
            };
            table.add_row([
                row.from_s.to_string(),
                row.route.clone(),
                row.zone.clone(),
                format!("{:?}", row.end),
                format!("{:?}", row.cause),
                row.count.to_string(),
                worst,
            ]);
        }
        writeln!(f, "{}", table.trim_fmt())?;
        write!(f, "({} rows)", self.rows.len())?;
        if self.unknown_outcomes > 0 {
            write!(
                f,
                "\n{} requests have no line that tells how they ended",
                self.unknown_outcomes
            )?;
        }
        for (file, count) in &self.unreadable {
            write!(f, "\n{file}: skipped {count} lines that no daemon wrote")?;
        }
        Ok(())
    }
}
