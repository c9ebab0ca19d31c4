//! Several services with engines and the same base model: calls run at their own service only.

use crate::support::{
    config_json, good_answer, model_headers, post_request, route_json, send_request, start_daemon,
    start_daemon_with, target_entry, vm_settings, wait_for,
};
use hoplanding_core::{
    direct::planner::{PlacementAnswer, PlacementRequest, PlacementTerms, RefusalCause},
    ids::{AdapterName, AvailabilityZone, ServiceName, TargetLife, TargetName, VmName},
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::{
    daemon::DirectDaemon,
    message::{MESSAGE_VERSION, VmMessage},
    vm_socket::{VmSocket, accept_socket, dial_socket, receive, send},
};
use serde_json::{Value, json};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::net::TcpListener;

/// The usual configuration with a second service that has engines with the same model, and a route to it.
fn config_with_press(version: u64) -> String {
    let mut config: Value = serde_json::from_str(&config_json(version)).expect("JSON");
    let mut press = config["services"][1].clone();
    press["name"] = json!("press");
    config["services"]
        .as_array_mut()
        .expect("a list")
        .push(press);
    let routes = config["routes"].as_array_mut().expect("a list");
    routes.push(route_json("print", "streaming", "press"));
    config.to_string()
}

async fn apply_config(log: &KeyedLog, daemon: &DirectDaemon, version: u64, config: &str) {
    log.put("keyed.op", "config", Some(config));
    wait_for("the configuration", async || {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    })
    .await;
}

/// An engine that takes orders after a pause.
async fn engine(order_pause: Duration) -> RawTarget {
    let engine = RawTarget::start(move |request: &RawRequest| {
        if !request.request_line().contains("/hoplanding/order") {
            return good_answer(request);
        }
        let mut answer = RawResponse::complete("202 Accepted", "", "");
        answer.pieces[0].0 = order_pause;
        answer
    });
    engine.await.expect("an engine")
}

fn calls_of(engine: &RawTarget, route: &str) -> usize {
    let seen = engine.requests();
    let of_route = seen
        .iter()
        .filter(|seen| seen.request_line().contains(route));
    of_route.count()
}

fn placement_request(service: &str, adapter: &str) -> PlacementRequest {
    PlacementRequest {
        service: ServiceName::new(service),
        subject: AdapterName::new(&format!("base/{adapter}")),
        prompt_tokens: 100,
        output_tokens: 20,
        prefix: Vec::new(),
        priority: 0,
        bound_ms: 2_000,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        may_load: true,
        terms: PlacementTerms::Take,
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
    }
}

/// Links to a daemon as another VM.
async fn link_to(daemon: &DirectDaemon) -> VmSocket {
    let lease = daemon.fleet().lease(&daemon.fleet().zone);
    let address = lease.expect("a lease").address;
    let mut socket = dial_socket(address).await.expect("a connection");
    let hello = VmMessage::Hello {
        version: MESSAGE_VERSION,
        vm: VmName::new("vm-old"),
        incarnation: 1,
        zone: AvailabilityZone::new("hall"),
    };
    send(&mut socket, &hello).await.expect("a hello");
    socket
}

/// The daemon's reply to a placement request.
async fn place(socket: &mut VmSocket, number: u64, request: PlacementRequest) -> VmMessage {
    let request = VmMessage::Place(number, Box::new(request));
    send(socket, &request).await.expect("a request");
    loop {
        let message = receive(socket).await.expect("a message").expect("a link");
        if matches!(message, VmMessage::Placed(..) | VmMessage::NotHolder(_)) {
            return message;
        }
    }
}

fn target_of(reply: &VmMessage) -> Option<&str> {
    match reply {
        VmMessage::Placed(_, PlacementAnswer::Send { target, .. }) => Some(target.as_str()),
        _ => None,
    }
}

/// Guards against a holder that plans the engines of one service and runs the calls of all services there.
#[tokio::test]
async fn a_second_service_with_the_same_model_runs_its_own_calls_only() {
    let log = KeyedLog::start().await.expect("a log");
    let (scribe, press) = (engine(Duration::ZERO).await, engine(Duration::ZERO).await);
    let daemon = start_daemon(&log, &[("i-1", "scribe", scribe.address)]).await;
    let mut old_gateway = link_to(&daemon).await;
    let reply = place(&mut old_gateway, 1, placement_request("", "a1")).await;
    assert_eq!(target_of(&reply), Some("i-1"));

    let listed = target_entry("press", press.address, "ready", &["a1@1"]);
    log.put("keyed.servers", "i-2", Some(&listed));
    apply_config(&log, &daemon, 2, &config_with_press(2)).await;
    for (route, adapter) in [
        ("plan", "a1"),
        ("print", "a1"),
        ("plan", "a2"),
        ("print", "a2"),
    ] {
        for number in 0..8 {
            let id = format!("{route}-{adapter}-{number}");
            let request = post_request(&format!("/{route}/1"), &id, &model_headers(adapter));
            let answer = send_request(daemon.caller_address, &request).await;
            assert_eq!(answer.status, 200, "{id}");
        }
    }
    assert_eq!(
        (calls_of(&scribe, "/plan/"), calls_of(&press, "/print/")),
        (16, 16)
    );
    assert_eq!(
        (calls_of(&scribe, "/print/"), calls_of(&press, "/plan/")),
        (0, 0)
    );

    let reply = place(&mut old_gateway, 2, placement_request("press", "a1")).await;
    assert_eq!(target_of(&reply), Some("i-2"));
    // Both services list the model.
    let reply = place(&mut old_gateway, 3, placement_request("", "a1")).await;
    let cause = match reply {
        VmMessage::Placed(_, PlacementAnswer::Refuse { cause, .. }) => Some(cause),
        _ => None,
    };
    assert_eq!(cause, Some(RefusalCause::NoEngine));
}

/// Guards against calls that wait until their time limit in the plan of a service that has no engines any more.
#[tokio::test]
async fn calls_that_wait_in_a_dropped_plan_are_referred() {
    let log = KeyedLog::start().await.expect("a log");
    let scribe = engine(Duration::from_secs(30)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", scribe.address)]).await;
    let mut gateway = link_to(&daemon).await;
    let waiting = tokio::spawn(async move {
        let request = PlacementRequest {
            bound_ms: 60_000,
            ..placement_request("scribe", "a2")
        };
        place(&mut gateway, 1, request).await
    });
    wait_for("the order", async || calls_of(&scribe, "/order") > 0).await;
    let mut config: Value = serde_json::from_str(&config_json(2)).expect("JSON");
    let service = config["services"][1].as_object_mut().expect("a service");
    service.remove("engine");
    apply_config(&log, &daemon, 2, &config.to_string()).await;
    assert_eq!(waiting.await.expect("a reply"), VmMessage::NotHolder(1));
}

/// Holds a zone as an old build does that plans the engines of another service: every call is sent to `target`.
async fn answer_as_old_holder(
    listener: TcpListener,
    target: &'static str,
    asked: Arc<AtomicUsize>,
) {
    let (stream, _) = listener.accept().await.expect("a connection");
    let mut socket = accept_socket(stream).await.expect("a link");
    while let Ok(Some(message)) = receive(&mut socket).await {
        let reply = match message {
            VmMessage::Hello { .. } => VmMessage::Welcome {
                version: MESSAGE_VERSION,
                incarnation: 1,
                knows_streams: false,
            },
            VmMessage::Place(number, _) => {
                asked.fetch_add(1, Ordering::SeqCst);
                let answer = PlacementAnswer::Send {
                    target: TargetName::new(target),
                    life: TargetLife::default(),
                    wait_ms: 0,
                    fetch: None,
                    expected_ms: 1,
                    version: None,
                    is_in_high_demand: false,
                    is_limited: false,
                };
                VmMessage::Placed(number, answer)
            }
            beat @ VmMessage::Heartbeat { .. } => beat,
            _ => continue,
        };
        send(&mut socket, &reply).await.expect("a reply");
    }
}

/// Guards against a gateway that sends a call to another service because a holder of an old build says so.
#[tokio::test]
async fn a_gateway_passes_over_targets_of_another_service() {
    let log = KeyedLog::start().await.expect("a log");
    let (scribe, press) = (engine(Duration::ZERO).await, engine(Duration::ZERO).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "vm-old", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/attic", Some(&lease.to_string()));
    let asked = Arc::new(AtomicUsize::new(0));
    tokio::spawn(answer_as_old_holder(listener, "i-2", Arc::clone(&asked)));
    let mut settings = vm_settings("vm-1", &log);
    settings.zones.push(AvailabilityZone::new("attic"));
    let targets = [
        ("i-1", "scribe", scribe.address),
        ("i-2", "press", press.address),
    ];
    let daemon = start_daemon_with(settings, &log, &targets).await;
    apply_config(&log, &daemon, 2, &config_with_press(2)).await;
    for number in 0..12 {
        let headers = model_headers(&format!("b{number}"));
        let request = post_request("/plan/1", &format!("r{number}"), &headers);
        send_request(daemon.caller_address, &request).await;
    }
    assert!(
        asked.load(Ordering::SeqCst) > 0,
        "no call asked the old holder"
    );
    assert!(calls_of(&scribe, "/plan/") > 0);
    assert_eq!(calls_of(&press, "/plan/"), 0);
}

/// Guards against refusals of all calls of a service while a holder of an old build plans another one.
#[tokio::test]
async fn calls_are_served_though_the_holder_of_an_old_build_plans_another_service() {
    let log = KeyedLog::start().await.expect("a log");
    let (scribe, press) = (engine(Duration::ZERO).await, engine(Duration::ZERO).await);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "vm-old", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    let asked = Arc::new(AtomicUsize::new(0));
    tokio::spawn(answer_as_old_holder(listener, "i-2", Arc::clone(&asked)));
    let targets = [
        ("i-1", "scribe", scribe.address),
        ("i-2", "press", press.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    apply_config(&log, &daemon, 2, &config_with_press(2)).await;
    let mut statuses = Vec::new();
    for number in 0..12 {
        let request = post_request("/plan/1", &format!("r{number}"), &model_headers("a1"));
        statuses.push(send_request(daemon.caller_address, &request).await.status);
    }
    assert!(
        asked.load(Ordering::SeqCst) > 0,
        "no call asked the old holder"
    );
    assert_eq!(statuses, [200; 12]);
    assert_eq!(calls_of(&press, "/plan/"), 0);
}

/// Guards against placements by a holder whose configuration is older than that of the gateway.
#[tokio::test]
async fn a_holder_places_no_call_of_a_service_that_it_does_not_know() {
    let log = KeyedLog::start().await.expect("a log");
    let scribe = engine(Duration::ZERO).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", scribe.address)]).await;
    let mut gateway = link_to(&daemon).await;
    let reply = place(&mut gateway, 1, placement_request("press", "a1")).await;
    let VmMessage::Placed(_, PlacementAnswer::Refuse { cause, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(cause, RefusalCause::NoEngine);
}

/// Ids that the calls of a route name as their target.
fn expected_targets(engine: &RawTarget, route: &str) -> Vec<String> {
    let seen = engine.requests();
    let of_route = seen
        .iter()
        .filter(|seen| seen.request_line().contains(route));
    let mut ids: Vec<_> = of_route
        .filter_map(|seen| seen.header("hoplanding-expect-instance"))
        .map(str::to_owned)
        .collect();
    ids.dedup();
    ids
}

async fn send_calls(daemon: &DirectDaemon, route: &str, name: &str) {
    for number in 0..8 {
        let id = format!("{route}-{name}-{number}");
        let request = post_request(&format!("/{route}/1"), &id, &model_headers("a1"));
        send_request(daemon.caller_address, &request).await;
    }
}

/// Guards against calls over connections to the address of a target that left, which now belongs to another service.
#[tokio::test]
async fn calls_of_two_services_at_one_address_name_the_target_of_their_own() {
    let log = KeyedLog::start().await.expect("a log");
    let shared = engine(Duration::ZERO).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", shared.address)]).await;
    apply_config(&log, &daemon, 2, &config_with_press(2)).await;
    send_calls(&daemon, "plan", "before").await;
    let listed = target_entry("press", shared.address, "ready", &["a1@1"]);
    log.put("keyed.servers", "i-2", Some(&listed));
    let service = "press".into();
    let lists_press = || daemon.fleet().tables().catalog.ready(&service).count() == 1;
    wait_for("the second target", async || lists_press()).await;
    send_calls(&daemon, "print", "both").await;
    send_calls(&daemon, "plan", "both").await;
    log.put("keyed.servers", "i-1", None);
    wait_for("the removal", async || daemon.fleet().is_leaving("i-1")).await;
    let before = calls_of(&shared, "/plan/");
    send_calls(&daemon, "plan", "after").await;
    send_calls(&daemon, "print", "after").await;
    assert_eq!(calls_of(&shared, "/plan/"), before);
    assert_eq!(expected_targets(&shared, "/plan/"), ["i-1"]);
    assert_eq!(expected_targets(&shared, "/print/"), ["i-2"]);
    assert!(calls_of(&shared, "/print/") >= 8);
}

/// Guards against calls of the former service at a target that comes back under its id in another service.
#[tokio::test]
async fn a_target_that_changes_its_service_gets_the_calls_of_the_new_one_only() {
    let log = KeyedLog::start().await.expect("a log");
    let (moved, other) = (engine(Duration::ZERO).await, engine(Duration::ZERO).await);
    let targets = [
        ("i-1", "scribe", moved.address),
        ("i-2", "scribe", other.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    apply_config(&log, &daemon, 2, &config_with_press(2)).await;
    send_calls(&daemon, "plan", "before").await;
    let listed = target_entry("press", moved.address, "ready", &["a1@1"]);
    log.put("keyed.servers", "i-1", Some(&listed));
    let service = "press".into();
    let lists_press = || daemon.fleet().tables().catalog.ready(&service).count() == 1;
    wait_for("the change of the service", async || lists_press()).await;
    let before = calls_of(&moved, "/plan/");
    send_calls(&daemon, "plan", "after").await;
    send_calls(&daemon, "print", "after").await;
    assert_eq!(calls_of(&moved, "/plan/"), before);
    assert_eq!(calls_of(&moved, "/print/"), 8);
    assert_eq!(calls_of(&other, "/print/"), 0);
}
