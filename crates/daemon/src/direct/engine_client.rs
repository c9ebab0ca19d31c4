//! Requests of the zone's holder to engines: orders to load and unload adapters, and reports of what they hold.

use crate::{
    direct::{
        fleet::FleetState,
        target_connections::{
            ConnectRule, ConnectionPool, PathRule, ReuseRule, SendError, TargetRequest, exchange,
        },
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::direct::{
    catalog::TargetEntry,
    engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
    residency::AcceptedLoad,
};
use hoplanding_platform::orders::{decode_order_status, decode_report, encode_report_request};
use http::StatusCode;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of an order or a report request. Engines answer within a few milliseconds, and calls wait for the outcome.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit of an order that is sent again if it is not answered. Engines that leave orders unanswered do so for seconds, and
/// each order that waits for the whole limit blocks its engine.
const REPEATED_ORDER_TIMEOUT: Duration = Duration::from_millis(80);
/// Largest report that is read. One of an engine with a thousand adapters is below 100 KB.
const MAX_REPORT_BYTES: usize = 1 << 20;
/// Largest answer to an order that is read, of which only the status counts.
const MAX_ORDER_ANSWER_BYTES: usize = 16 * 1024;
/// Bytes of the answer to an order that are logged.
const MAX_LOGGED_BYTES: usize = 200;

/// Sends an order to an engine, logs it, and returns its outcome.
pub async fn send_order(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
    order: &EngineOrder,
    request: TargetRequest,
) -> OrderOutcome {
    // Engines take orders that arrive from different VMs for orders of different holders.
    let path = PathRule::DirectOnly;
    let limit = if order.repeats_left > 0 {
        REPEATED_ORDER_TIMEOUT
    } else {
        REQUEST_TIMEOUT
    };
    let exchanged = exchange_with(fleet, pool, entry, request, path, MAX_ORDER_ANSWER_BYTES);
    let exchanged = timeout(limit, exchanged).await;
    let outcome = match &exchanged {
        Ok(Ok((status, _))) => decode_order_status(*status),
        Ok(Err(SendError::NotSent { .. })) => OrderOutcome::Refused,
        Ok(Err(SendError::Unanswered { .. })) | Err(_) => OrderOutcome::Unanswered,
    };
    let is_accepted = matches!(outcome, OrderOutcome::Done | OrderOutcome::Begun);
    if is_accepted && order.kind == OrderKind::Load {
        fleet.record_loads([AcceptedLoad {
            run: entry.run(),
            adapter: order.subject.clone(),
            version: order.version,
        }]);
    }
    let event = if is_accepted {
        Event::OrderAccepted
    } else {
        Event::OrderFailed
    };
    event!(
        event,
        "{}: {:?} {} version {:?}, expected sequence {}: {outcome:?} {}",
        entry.name,
        order.kind,
        order.subject,
        order.version,
        order.expected,
        match &exchanged {
            Ok(Ok((status, body))) => {
                let shown = &body[..body.len().min(MAX_LOGGED_BYTES)];
                format!("{status} {}", String::from_utf8_lossy(shown))
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => format!(
                "no answer within {limit:?}, {} repeats left",
                order.repeats_left
            ),
        }
    );
    outcome
}

/// Fetches an engine's report; `None` if no valid one came in time.
pub async fn fetch_report(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
) -> Option<EngineReport> {
    let request = encode_report_request(&entry.name);
    let path = PathRule::Any;
    let exchanged = exchange_with(fleet, pool, entry, request, path, MAX_REPORT_BYTES);
    let exchanged = timeout(REQUEST_TIMEOUT, exchanged).await;
    let problem = match exchanged {
        Ok(Ok((StatusCode::OK, body))) => match decode_report(&body) {
            Ok(report) => return Some(report),
            Err(error) => error.to_string(),
        },
        Ok(Ok((status, _))) => status.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no answer within {REQUEST_TIMEOUT:?}"),
    };
    event!(Event::ReportMissing, "{}: {problem}", entry.name);
    None
}

async fn exchange_with(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
    request: TargetRequest,
    path: PathRule,
    answer_bytes: usize,
) -> Result<(StatusCode, Bytes), SendError> {
    exchange(
        fleet,
        pool,
        entry,
        request,
        ConnectRule {
            reuse: ReuseRule::FreshOnly,
            path,
            within: REQUEST_TIMEOUT,
            lifetime: REQUEST_TIMEOUT,
        },
        answer_bytes,
    )
    .await
}
