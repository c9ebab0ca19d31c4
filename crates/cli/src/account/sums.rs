//! Counts by route, zone, span and cause, with the ids of the worst.

use crate::account::{
    cause::{LossCause, RequestEnd, judge},
    requests::{RequestLog, SourceLine},
};
use comfy_table::{ContentArrangement, Table, presets};
use serde::Serialize;
use std::{collections::BTreeMap, fmt};

/// Ids that a row names.
const WORST: usize = 5;

/// Requests of one route, zone and span with one end and cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountRow {
    /// The route; `?` where no line names it.
    pub route: String,
    /// Zone of the VM that had it; `?` where its start is in no log.
    pub zone: String,
    /// Seconds from the first line to the span's begin.
    pub from_s: i64,
    /// How they ended.
    pub end: RequestEnd,
    /// Why.
    pub cause: LossCause,
    /// How many.
    pub count: usize,
    /// Those that were held the longest, with milliseconds.
    pub worst: Vec<(String, f64)>,
}

/// The account.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AccountTable {
    /// Its rows, the most frequent loss first.
    pub rows: Vec<AccountRow>,
    /// Requests whose lines don't tell how they ended.
    pub untold: usize,
    /// Lines of each file that are no lines of a daemon.
    pub unreadable: Vec<(String, usize)>,
}

/// Sums what was read; `span_s` seconds a span, all in one where it is 0.
#[must_use]
pub fn account(log: &RequestLog, span_s: u32) -> AccountTable {
    let mut groups = BTreeMap::<_, Vec<(String, f64)>>::new();
    let mut untold = 0;
    for (id, lines) in &log.requests {
        let Some(loss) = judge(lines) else {
            untold += 1;
            continue;
        };
        let zone = zone_of(log, lines);
        let from_s = span_begin(log, lines, span_s);
        groups
            .entry((loss.route, zone, from_s, loss.end, loss.cause))
            .or_default()
            .push((id.clone(), loss.held_ms));
    }
    let rows = groups.into_iter().map(|(group, mut held)| {
        let (route, zone, from_s, end, cause) = group;
        let count = held.len();
        held.sort_by(|left, right| right.1.total_cmp(&left.1));
        held.truncate(WORST);
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
        untold,
        unreadable: log.unreadable.clone(),
    }
}

fn zone_of(log: &RequestLog, lines: &[SourceLine]) -> String {
    let zone = lines.first().and_then(|line| log.zones.get(&line.source));
    zone.cloned().unwrap_or_else(|| "?".to_owned())
}

fn span_begin(log: &RequestLog, lines: &[SourceLine], span_s: u32) -> i64 {
    let (Some(begin), Some(line)) = (log.begin, lines.first()) else {
        return 0;
    };
    let span = i64::from(span_s);
    if span == 0 {
        return 0;
    }
    (line.line.timestamp - begin) / 1_000 / span * span
}

impl fmt::Display for AccountTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = Table::new();
        shown
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
            shown.add_row([
                row.from_s.to_string(),
                row.route.clone(),
                row.zone.clone(),
                format!("{:?}", row.end),
                format!("{:?}", row.cause),
                row.count.to_string(),
                worst,
            ]);
        }
        writeln!(f, "{}", shown.trim_fmt())?;
        write!(f, "({} rows)", self.rows.len())?;
        if self.untold > 0 {
            write!(
                f,
                "\n{} requests: no line tells how they ended",
                self.untold
            )?;
        }
        for (file, count) in &self.unreadable {
            write!(
                f,
                "\n{file}: {count} lines are none of a daemon, and are left out"
            )?;
        }
        Ok(())
    }
}
