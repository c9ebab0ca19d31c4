//! Orders to engines, and their reports.

use crate::{
    direct::{
        fleet::FleetState,
        target_connections::{ConnectionPool, ReuseRule, SendError, TargetRequest, exchange},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::direct::{
    catalog::TargetEntry,
    engine::{EngineOrder, EngineReport, OrderOutcome},
};
use hoplanding_platform::orders::{decode_order_status, decode_report, encode_report_request};
use http::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// Time after which an order or a report counts as unanswered: engines answer within a few milliseconds, and calls wait.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest report.
const REPORT_BYTES: usize = 1 << 20;

/// Gives an order, and says how it ended.
pub async fn send_order(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
    order: &EngineOrder,
    request: TargetRequest,
) -> OrderOutcome {
    let exchanged = timeout(ORDER_TIMEOUT, ask_engine(fleet, pool, entry, request)).await;
    let outcome = match &exchanged {
        Ok(Ok((status, _))) => decode_order_status(*status),
        Ok(Err(SendError::NotSent { .. })) => OrderOutcome::Refused,
        Ok(Err(SendError::Unanswered { .. })) | Err(_) => OrderOutcome::Unanswered,
    };
    let is_fine = matches!(outcome, OrderOutcome::Done | OrderOutcome::Begun);
    let event = if is_fine {
        Event::OrderAccepted
    } else {
        Event::OrderFailed
    };
    event!(
        event,
        "{} {:?} {} version {:?} expected {}: {outcome:?} {}",
        entry.name,
        order.kind,
        order.subject,
        order.version,
        order.expected,
        match &exchanged {
            Ok(Ok((status, body))) => format!("{status} {}", String::from_utf8_lossy(body)),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        }
    );
    outcome
}

/// Reads an engine's report; nothing where none comes that can be read.
pub async fn fetch_report(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
) -> Option<EngineReport> {
    let request = encode_report_request(&entry.name);
    let exchanged = timeout(ORDER_TIMEOUT, ask_engine(fleet, pool, entry, request)).await;
    let problem = match exchanged {
        Ok(Ok((StatusCode::OK, body))) => match decode_report(&body) {
            Ok(report) => return Some(report),
            Err(error) => error.to_string(),
        },
        Ok(Ok((status, _))) => status.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(Event::ReportMissing, "{}: {problem}", entry.name);
    None
}

async fn ask_engine(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
    request: TargetRequest,
) -> Result<(StatusCode, Bytes), SendError> {
    exchange(
        fleet,
        pool,
        entry,
        request,
        ReuseRule::FreshOnly,
        ORDER_TIMEOUT,
        REPORT_BYTES,
    )
    .await
}
