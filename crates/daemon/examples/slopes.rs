//! Scaling measurements behind docs/CAPACITY.md: memory, CPU time and message sizes against the number of objects.
//!
//! Each is taken at three or more sizes and fitted with a line; the largest relative error of the fit is printed with it.
//! `cargo run --release --example slopes -- --json`; with `--zone` also runs a zone of 22 daemons and 413 engines.

use cap::Cap;
use gumdrop::Options;
use hoplanding_core::{
    config::ConfigChange,
    ids::{
        AdapterVersion, AvailabilityZone, CallerName, DaemonRef, Incarnation, Instant, LogOffset,
        PriorityClass, RequestId, TargetName, VmName,
    },
    log::{ChangePart, ChangeRecord, FoldedState, LogRecord, TakeoverRecord},
    membership::{ListedState, ListedVm, MembershipTable, MembershipTimeouts},
    policy::{
        LoadNotice, PolicyWeights, PopularityTracker, QueuedRequest, RouteQuery, SchedulerLimits,
        TargetRouter, TargetScheduler,
    },
    request::{DedupKey, KeyClaim, KeyHash, KeyTable, TokenRegistry},
};
use hoplanding_testbed::{
    SiteConfig, TestSite,
    usage::{resident_bytes, thread_cpu_seconds},
};
use hoplandingd::{
    calls::{CallFrame, CallId, NumberedFrame},
    peers::{Heartbeat, PeerMessage, decode, encode, encoded_bytes},
};
use serde_json::json;
use std::{alloc::System, hint::black_box, io, time::Duration};

/// Allocator that counts allocated bytes.
#[global_allocator]
static ALLOCATED: Cap<System> = Cap::new(System, usize::MAX);

#[derive(Options)]
struct SlopeArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object a line")]
    json: bool,
    #[options(
        no_short,
        help = "also run 22 daemons before 413 engines in this process"
    )]
    zone: bool,
}

/// One quantity, measured at several sizes.
struct Slope {
    name: &'static str,
    /// Kind of object that the size counts.
    against: &'static str,
    unit: &'static str,
    /// Size and measured value.
    points: Vec<(f64, f64)>,
}

impl Slope {
    /// Fits a line by least squares; returns slope, value at zero and largest error relative to the measured value.
    fn fit(&self) -> (f64, f64, f64) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = self
            .points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        let base = mean_y - slope * mean_x;
        let errors = self
            .points
            .iter()
            .map(|(x, y)| ((base + slope * x - y) / y.max(1e-12)).abs());
        (slope, base, errors.fold(0.0, f64::max))
    }

    fn print(&self, as_json: bool) {
        let (slope, base, error) = self.fit();
        if as_json {
            println!(
                "{}",
                json!({ "name": self.name, "against": self.against, "unit": self.unit, "points": self.points,
                    "slope": slope, "at_zero": base, "largest_relative_error": error })
            );
            return;
        }
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.3}"))
            .collect();
        println!(
            "{:<34} {slope:>12.5} {} a {:<10} + {base:.3}, largest error {:.1}%  [{}]",
            self.name,
            self.unit,
            self.against,
            error * 100.0,
            points.join(", ")
        );
    }
}

fn main() -> io::Result<()> {
    let args = SlopeArgs::parse_args_default_or_exit();
    let slopes = vec![
        measure_memory(
            "memory of a routed target",
            "target",
            &[103, 206, 413],
            router,
        ),
        measure_memory(
            "memory of a VM in membership",
            "VM",
            &[110, 330, 990],
            members,
        ),
        measure_memory(
            "memory of a used token",
            "token",
            &[20_000, 50_000, 100_000],
            tokens,
        ),
        measure_memory(
            "memory of a claimed key",
            "key",
            &[16_000, 32_000, 64_000],
            keys,
        ),
        measure_memory(
            "memory of an active adapter",
            "adapter",
            &[3_000, 12_000, 37_000],
            popularity_tracker,
        ),
        measure_memory(
            "memory of an idle adapter",
            "adapter",
            &[3_000, 12_000, 37_000],
            folded_state,
        ),
        snapshot_bytes(),
        snapshot_seconds(),
        change_seconds(),
        decision_by_adapters(),
        decision_by_targets(),
        heartbeat_bytes(true),
        heartbeat_bytes(false),
        heartbeat_seconds(),
        frame_seconds(),
        frame_bytes(),
        membership_tick(),
    ];
    for slope in &slopes {
        slope.print(args.json);
    }
    record_sizes(args.json);
    if args.zone {
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?
            .block_on(measure_zone(args.json))?;
    }
    Ok(())
}

/// Measures allocated memory against the number of objects that `build` creates.
fn measure_memory<T>(
    name: &'static str,
    against: &'static str,
    sizes: &[usize],
    build: impl Fn(usize) -> T,
) -> Slope {
    let mut points = Vec::new();
    for size in sizes {
        let before = ALLOCATED.allocated();
        let built = build(*size);
        let grown = ALLOCATED.allocated().saturating_sub(before);
        points.push((*size as f64, grown as f64));
        drop(black_box(built));
    }
    Slope {
        name,
        against,
        unit: "B",
        points,
    }
}

/// Mean time of one run in seconds, after one unmeasured warm-up run.
fn mean_seconds(mut run: impl FnMut(), times: usize) -> f64 {
    run();
    let started_at = std::time::Instant::now();
    for _ in 0..times {
        run();
    }
    started_at.elapsed().as_secs_f64() / times as f64
}

fn adapter(number: usize) -> String {
    format!("adapter-{number:05}")
}

fn change(state: &FoldedState, number: u64, changes: Vec<ConfigChange>) -> LogRecord {
    let parts = changes.into_iter().map(|change| ChangePart {
        based_on: state.config.revision(&change.object()),
        change,
    });
    LogRecord::Change(ChangeRecord {
        id: format!("a1-1f2e3d4c5b6a-{number}").as_str().into(),
        operator: "ops".into(),
        via: "a1".into(),
        at_ms: 1_790_000_000_000,
        text: format!("create adapter {} version v1", adapter(number as usize)),
        parts: parts.collect(),
    })
}

fn folded_state(count: usize) -> FoldedState {
    let mut state = FoldedState::default();
    for (batch, numbers) in (0..count).collect::<Vec<_>>().chunks(500).enumerate() {
        let changes = numbers.iter().flat_map(|number| {
            let adapter = adapter(*number);
            [
                ConfigChange::CreateAdapter {
                    adapter: adapter.as_str().into(),
                },
                ConfigChange::PublishVersion {
                    adapter: adapter.as_str().into(),
                    version: "v1".into(),
                },
            ]
        });
        let record = change(&state, batch as u64, changes.collect());
        state.apply(LogOffset(batch as u64 + 1), &record);
    }
    state
}

fn popularity_tracker(count: usize) -> PopularityTracker {
    let mut tracker = PopularityTracker::default();
    for number in 0..count {
        tracker.record(
            &AdapterVersion::new(&adapter(number), "v1"),
            Instant(1_000_000),
        );
    }
    tracker
}

fn scheduler(number: usize) -> TargetScheduler {
    let limits = SchedulerLimits {
        slots: 8,
        seats: 16,
        waiting: 512,
    };
    let mut scheduler =
        TargetScheduler::engine(TargetName::new(&format!("engine-{number:04}")), limits);
    let loaded: Vec<_> = (0..8)
        .map(|slot| AdapterVersion::new(&adapter(number * 8 + slot), "v1"))
        .collect();
    scheduler.replace_residents(&loaded, Instant(1_000_000));
    scheduler
}

fn router(count: usize) -> TargetRouter {
    let mut router = TargetRouter::default();
    let zone = AvailabilityZone::new("zone-a");
    for number in 0..count {
        router.update_digest(&zone, &scheduler(number).digest(None));
    }
    router
}

fn daemon(number: u64) -> DaemonRef {
    DaemonRef {
        vm: VmName::new(&format!("vm-{number:05}")),
        incarnation: Incarnation(0x1f2e_3d4c_5b6a + number),
    }
}

fn members(count: usize) -> MembershipTable {
    let mut table = MembershipTable::new(
        daemon(1_000_000),
        AvailabilityZone::new("zone-0"),
        MembershipTimeouts::default(),
    );
    let list: Vec<_> = (0..count)
        .map(|number| ListedVm {
            vm: daemon(number as u64).vm,
            zone: AvailabilityZone::new(&format!("zone-{}", number % 15)),
            peer_address: format!("10.0.{}.{}:7401", number / 250, number % 250),
            state: ListedState::Live,
        })
        .collect();
    table.observe_list(&list, Instant(1_000_000));
    table
}

fn tokens(count: usize) -> TokenRegistry<()> {
    let mut registry = TokenRegistry::new(daemon(1), 0);
    for _ in 0..count {
        let key = DedupKey::Token(registry.issue());
        registry.begin(&key, 7).expect("a fresh token");
        registry.finish(&key, None);
    }
    registry
}

fn keys(count: usize) -> KeyTable {
    let mut table = KeyTable::default();
    let caller = CallerName::new("desk");
    for number in 0..count {
        let claim = KeyClaim {
            key: KeyHash::of(&caller, &number.to_string()),
            fingerprint: 7,
        };
        table.apply(LogOffset(number as u64), &daemon(1), &[claim]);
    }
    table
}

fn snapshot_bytes() -> Slope {
    let points = [3_000, 12_000, 37_000].map(|count| {
        let parts = folded_state(count).snapshot_parts(1);
        (
            count as f64,
            parts.iter().map(|part| part.text.len()).sum::<usize>() as f64,
        )
    });
    Slope {
        name: "snapshot",
        against: "adapter",
        unit: "B",
        points: points.to_vec(),
    }
}

fn snapshot_seconds() -> Slope {
    let points = [3_000, 12_000, 37_000].map(|count| {
        let state = folded_state(count);
        let elapsed = mean_seconds(
            || {
                let text = serde_json::to_string(&state).expect("JSON");
                black_box(serde_json::from_str::<FoldedState>(&text).expect("JSON"));
            },
            3,
        );
        (count as f64, elapsed * 1e3)
    });
    Slope {
        name: "snapshot written and read",
        against: "adapter",
        unit: "ms",
        points: points.to_vec(),
    }
}

fn change_seconds() -> Slope {
    let points = [3_000, 12_000, 37_000].map(|count| {
        let mut state = folded_state(count);
        let mut offset = state.applied.0;
        let elapsed = mean_seconds(
            || {
                offset += 1;
                let adapter = adapter(offset as usize % count);
                let publish = ConfigChange::PublishVersion {
                    adapter: adapter.as_str().into(),
                    version: format!("w{offset}").as_str().into(),
                };
                let record = change(&state, offset, vec![publish]);
                state.apply(LogOffset(offset), &record);
            },
            2_000,
        );
        (count as f64, elapsed * 1e6)
    });
    Slope {
        name: "a change folded",
        against: "adapter",
        unit: "us",
        points: points.to_vec(),
    }
}

/// Mean time of one dispatch decision in microseconds: routing, queueing, dispatch and completion.
fn decision_us(adapters: usize, targets: usize) -> f64 {
    let mut router = router(targets);
    let mut tracker = popularity_tracker(adapters);
    let mut schedulers: Vec<_> = (0..targets).map(scheduler).collect();
    let names: Vec<_> = (0..targets)
        .map(|number| format!("engine-{number:04}"))
        .collect();
    let models: Vec<_> = (0..adapters)
        .map(|number| AdapterVersion::new(&adapter(number), "v1"))
        .collect();
    let (weights, zone) = (PolicyWeights::default(), AvailabilityZone::new("zone-a"));
    let mut counter = 0;
    let elapsed = mean_seconds(
        || {
            counter += 1;
            let now = Instant(1_000_000 + counter * 10);
            // Three of four requests name a loaded adapter, as with skewed popularity.
            let index = if counter % 4 == 0 {
                counter as usize * 7919 % adapters
            } else {
                counter as usize * 31 % (targets * 8)
            };
            let model = &models[index % adapters];
            let query = RouteQuery {
                model,
                class: PriorityClass::Normal,
                output_tokens: 100,
                zone: &zone,
                excluded: &[],
            };
            let choice = router.choose(&query, &weights).expect("a target");
            let engine = names
                .binary_search_by(|name| name.as_str().cmp(choice.target.as_str()))
                .expect("a known target");
            tracker.record(model, now);
            let id = RequestId {
                gateway: Incarnation(1),
                counter,
            };
            let scheduler = &mut schedulers[engine];
            let queued = QueuedRequest {
                id,
                model: model.clone(),
                class: PriorityClass::Normal,
                caller: CallerName::new("desk"),
                prompt_tokens: 100,
                output_tokens: 100,
                queued_at: now,
                deadline: now.after(Duration::from_secs(60)),
            };
            let _ = scheduler.enqueue(queued, &weights);
            if scheduler.next_dispatch(&weights, now, |_| true).is_none() {
                scheduler.cancel_waiting(model, id);
            }
            scheduler.finish_request(id, now);
            if counter % 16 == 0 {
                router.update_digest(&zone, &scheduler.digest(Some(1)));
            }
        },
        200_000,
    );
    elapsed * 1e6
}

fn decision_by_adapters() -> Slope {
    let points = [3_000, 12_000, 37_000].map(|count| (count as f64, decision_us(count, 413)));
    Slope {
        name: "a dispatch decision, 413 targets",
        against: "adapter",
        unit: "us",
        points: points.to_vec(),
    }
}

fn decision_by_targets() -> Slope {
    let points = [103, 206, 413].map(|count| (count as f64, decision_us(37_000, count)));
    Slope {
        name: "a dispatch decision",
        against: "target",
        unit: "us",
        points: points.to_vec(),
    }
}

fn heartbeat(targets: usize, full: bool) -> PeerMessage {
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        daemon: daemon(1),
        zone: AvailabilityZone::new("zone-a"),
        applied: LogOffset(123_456),
        leaving: false,
        silent: Vec::new(),
        targets: (0..targets)
            .map(|number| scheduler(number).digest(if full { None } else { Some(2) }))
            .collect(),
        loads: LoadNotice::default(),
    }))
}

fn heartbeat_bytes(full: bool) -> Slope {
    let points = [5, 10, 19, 38].map(|count| {
        (
            f64::from(count as u32),
            encode(&[heartbeat(count, full)]).len() as f64,
        )
    });
    let name = if full {
        "heartbeat with residents"
    } else {
        "heartbeat"
    };
    Slope {
        name,
        against: "target",
        unit: "B",
        points: points.to_vec(),
    }
}

fn heartbeat_seconds() -> Slope {
    let points = [5, 10, 19, 38].map(|count| {
        let message = heartbeat(count, false);
        let mut router = router(count);
        let zone = AvailabilityZone::new("zone-a");
        let elapsed = mean_seconds(
            || {
                let decoded = decode(&encode(std::slice::from_ref(&message))).expect("CBOR");
                if let PeerMessage::Heartbeat(heartbeat) = &decoded[0] {
                    heartbeat
                        .targets
                        .iter()
                        .for_each(|digest| router.update_digest(&zone, digest));
                }
            },
            2_000,
        );
        (count as f64, elapsed * 1e6)
    });
    Slope {
        name: "a heartbeat sent and taken",
        against: "target",
        unit: "us",
        points: points.to_vec(),
    }
}

fn frames(count: usize) -> Vec<PeerMessage> {
    let call = CallId {
        request: RequestId {
            gateway: Incarnation(0x1f2e_3d4c_5b6a),
            counter: 123_456,
        },
        attempt: 0,
    };
    let frame = |seq: usize| CallFrame::Text {
        offset: seq as u64,
        text: " berth".to_owned(),
        finish: None,
    };
    (0..count)
        .map(|seq| {
            PeerMessage::Frame(
                call,
                NumberedFrame {
                    seq: seq as u64,
                    frame: frame(seq),
                },
            )
        })
        .collect()
}

fn frame_seconds() -> Slope {
    let points = [1, 8, 32, 64].map(|count| {
        let batch = frames(count);
        let elapsed = mean_seconds(
            || {
                black_box(decode(&encode(&batch)).expect("CBOR"));
            },
            5_000,
        );
        (count as f64, elapsed * 1e6)
    });
    Slope {
        name: "frames encoded and decoded",
        against: "frame",
        unit: "us",
        points: points.to_vec(),
    }
}

fn frame_bytes() -> Slope {
    let points = [1, 8, 32, 64].map(|count| (count as f64, encode(&frames(count)).len() as f64));
    Slope {
        name: "frames",
        against: "frame",
        unit: "B",
        points: points.to_vec(),
    }
}

fn membership_tick() -> Slope {
    let points = [110, 330, 990].map(|count| {
        let mut table = members(count);
        let mut now = 2_000_000;
        let elapsed = mean_seconds(
            || {
                now += 25_000;
                black_box(table.tick(Instant(now)));
            },
            5_000,
        );
        (count as f64, elapsed * 1e6)
    });
    Slope {
        name: "a tick of membership",
        against: "VM",
        unit: "us",
        points: points.to_vec(),
    }
}

fn record_sizes(as_json: bool) {
    let state = folded_state(1_000);
    let publish = ConfigChange::PublishVersion {
        adapter: adapter(7).as_str().into(),
        version: "v2".into(),
    };
    let takeover = LogRecord::Takeover(TakeoverRecord {
        target: TargetName::new("engine-0007"),
        replaces: None,
        holder: daemon(1),
    });
    for (name, record) in [
        ("record of a change", change(&state, 1, vec![publish])),
        ("record of a takeover", takeover),
    ] {
        let bytes = serde_json::to_string(&record).expect("JSON").len();
        if as_json {
            println!("{}", json!({ "name": name, "bytes": bytes }));
        } else {
            println!("{name:<34} {bytes} B");
        }
    }
}

/// Measures an idle zone of 22 real daemons and 413 engines.
async fn measure_zone(as_json: bool) -> io::Result<()> {
    let mut config = SiteConfig::with_zones(1, 22, 413, 2_000);
    config.service_zones.clear();
    config.overrides = json!({
        "platform": { "timeout_ms": 5000, "list_every_ms": 1000 },
        "membership": { "heartbeat_ms": 200, "suspect_after_ms": 6000, "take_over_after_ms": 20_000, "delivery_bound_ms": 5000 },
    });
    let started_at = std::time::Instant::now();
    let site = TestSite::start(config).await?;
    let startup_seconds = started_at.elapsed().as_secs_f64();
    let interval = Duration::from_secs(10);
    // Until the targets are distributed over the daemons.
    tokio::time::sleep(interval).await;
    let (cpu, bytes, appends) = (
        thread_cpu_seconds("d-"),
        encoded_bytes(),
        site.platform.append_totals(),
    );
    tokio::time::sleep(interval).await;
    let cpu = (thread_cpu_seconds("d-") - cpu) / 22.0 / interval.as_secs_f64();
    let bytes = (encoded_bytes() - bytes) as f64 / 22.0 / interval.as_secs_f64();
    let after = site.platform.append_totals();
    let appended = (after.0 - appends.0) as f64 / interval.as_secs_f64();
    let mut kinds = std::collections::BTreeMap::new();
    for (_, record) in site
        .platform
        .records()
        .iter()
        .rev()
        .take((after.1 - appends.1) as usize)
    {
        *kinds.entry(record["kind"].to_string()).or_insert(0) += 1;
    }
    println!("records at rest: {kinds:?}");
    if as_json {
        println!(
            "{}",
            json!({ "name": "zone at rest", "up_s": startup_seconds, "core_share_a_daemon": cpu, "bytes_s_a_daemon": bytes, "appends_s": appended, "resident_bytes_all": resident_bytes() })
        );
    } else {
        println!(
            "zone at rest: up in {startup_seconds:.1} s; a daemon uses {:.2}% of a core and sends {bytes:.0} B/s; {appended:.2} appends/s; {} MB for all",
            cpu * 100.0,
            resident_bytes() >> 20
        );
    }
    Ok(())
}
