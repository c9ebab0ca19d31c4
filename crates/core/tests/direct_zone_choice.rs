//! Shortage reports of zones, and the choice of zones by them.

use hoplanding_core::{
    direct::{
        load_limiter::LoadLimiter,
        plain::PlainRequest,
        planner::{PlacementTerms, RefusalCause},
        policy::PlacementPolicy,
        search::{SearchPass, ZoneSearch},
        shortage::{
            LoadEstimate, REPORT_TTL, STALE_TTL, ServiceReport, ServiceShortage, ShortageTable,
            SpareSlots,
        },
        zone_choice::{
            ChoiceKnowledge, ChoiceSubject, RemoteAllowance, RemoteNeed, VmPosition,
            ZoneChoiceRule, ZoneCost, ZoneProspect, rank_zones,
        },
    },
    ids::{AvailabilityZone, Instant, ServiceName},
};
use std::time::Duration;

const NOW: Instant = Instant(10_000_000);
const RULE: ZoneChoiceRule = ZoneChoiceRule {
    traffic_price_ms_per_kb: 0.5,
    max_remote_share: 0.5,
    weighs_engines: true,
};
/// VMs outside a zone at the first deployment.
const VMS: u32 = 45;

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone::new(name)
}

fn service() -> ServiceName {
    ServiceName::new("scribe")
}

/// Report of a zone with this number of free adapter slots.
fn report(free_adapter_slots: u32) -> ServiceReport {
    ServiceReport {
        service: service(),
        shortage: ServiceShortage {
            free_adapter_slots,
            free_call_slots: 100,
            engines: 30,
            load_wait_ms: 288,
            load_limit: 37,
            load_ms: 288,
            ..ServiceShortage::default()
        },
        round: 7,
        spare_call_slots: 100,
        spare_adapter_slots: free_adapter_slots,
    }
}

fn table(reports: &[(&str, ServiceReport)]) -> ShortageTable {
    let mut table = ShortageTable::default();
    for (name, report) in reports {
        table.record(&zone(name), vec![report.clone()], NOW);
    }
    table
}

/// Prospects of a call at a gateway of zone `a`, for zones in this order, with those that list its adapter.
fn prospects(
    reports: &ShortageTable,
    order: [&str; 3],
    listed: &[&str],
    now: Instant,
) -> Vec<ZoneProspect> {
    let position = VmPosition { index: 0, count: 1 };
    let zones = order.map(|name| (zone(name), listed.contains(&name), position));
    let call = ChoiceSubject {
        service: &service(),
        own_zone: &zone("a"),
        bytes: 4_000,
        load_penalty: Duration::from_millis(250),
    };
    let known = ChoiceKnowledge {
        rule: &RULE,
        reports,
        allowance: &RemoteAllowance::default(),
    };
    rank_zones(&zones, &call, &known, now)
}

fn names(prospects: &[ZoneProspect]) -> Vec<&str> {
    prospects.iter().map(|zone| zone.zone.as_str()).collect()
}

/// Zones, passes and terms of a search in which every zone declines for this cause.
fn queries(
    prospects: &[ZoneProspect],
    cause: RefusalCause,
) -> Vec<(String, SearchPass, PlacementTerms)> {
    let mut search = ZoneSearch::with_prospects(PlacementPolicy::default(), prospects.to_vec());
    let mut queries = Vec::new();
    while let Some(query) = search.next_query() {
        let name = prospects[query.zone].zone.to_string();
        queries.push((name, query.pass, query.terms));
        search.record_refusal(query.zone, cause, 300);
    }
    queries
}

/// Guards against gateways that all choose the same zone until its next report.
#[test]
fn many_gateways_share_what_one_report_offers() {
    for spare in [0, 1, 7, 60, 200] {
        let report = report(spare);
        let mut taken = 0;
        for index in 0..VMS {
            let mut allowance = RemoteAllowance::default();
            let position = VmPosition { index, count: VMS };
            let has_room = |allowance: &RemoteAllowance| {
                allowance.has_room(&RULE, &zone("b"), &report, position, true, RemoteNeed::Gain)
            };
            while has_room(&allowance) {
                allowance.take(&zone("b"), &report, true);
                taken += 1;
            }
            if taken > 0 {
                // A slot that the zone did not grant is returned, and the next report is shared anew.
                allowance.give_back(&zone("b"), &report, true);
            }
        }
        let offered = (f64::from(spare.min(100)) * RULE.max_remote_share) as u32;
        assert_eq!(
            taken, offered,
            "{spare} spare adapter slots, 100 spare call slots"
        );
    }
}

/// Guards against VMs that get no part of small offers in any round.
#[test]
fn vms_take_turns_at_small_offers() {
    let position = VmPosition {
        index: 44,
        count: VMS,
    };
    let rounds = (0..u64::from(VMS)).filter(|round| {
        let report = ServiceReport {
            round: *round,
            ..report(2)
        };
        let allowance = RemoteAllowance::default();
        allowance.has_room(&RULE, &zone("b"), &report, position, true, RemoteNeed::Gain)
    });
    assert_eq!(rounds.count(), 1);
}

/// Guards against calls for a zone that has no slot, also of calls that their own zone refuses.
#[test]
fn zones_that_are_both_short_send_each_other_nothing() {
    let short = report(0);
    let table = table(&[("a", short.clone()), ("b", short.clone()), ("c", short)]);
    for order in [["a", "b", "c"], ["b", "a", "c"], ["c", "b", "a"]] {
        let prospects = prospects(&table, order, &[], NOW);
        for cause in [RefusalCause::NoEngine, RefusalCause::TooLong(900)] {
            let queries = queries(&prospects, cause);
            let expected = [("a".to_owned(), SearchPass::Accept, PlacementTerms::Take)];
            assert_eq!(queries, expected, "{order:?}");
        }
    }
}

/// Guards against a load in the gateway's zone while another zone has the adapter, and against traffic to another zone
/// while the gateway's has it.
#[test]
fn loaded_adapters_are_used_where_they_are() {
    let short = report(0);
    let table = table(&[("a", short.clone()), ("b", short.clone()), ("c", short)]);
    let in_home = prospects(&table, ["b", "a", "c"], &["b"], NOW);
    assert_eq!(names(&in_home)[0], "b");
    let in_both = prospects(&table, ["b", "a", "c"], &["a", "b"], NOW);
    assert_eq!(names(&in_both)[0], "a");
    let in_another = prospects(&table, ["b", "a", "c"], &["c"], NOW);
    assert_eq!(names(&in_another)[0], "c");
}

/// Guards against requests to zones that can't beat the offer of the home zone.
#[test]
fn zones_that_cannot_beat_the_offer_are_not_asked() {
    let slow = ServiceReport {
        shortage: ServiceShortage {
            load_wait_ms: 900,
            ..report(10).shortage
        },
        ..report(10)
    };
    let table = table(&[("a", report(10)), ("b", slow), ("c", report(10))]);
    let prospects = prospects(&table, ["a", "b", "c"], &[], NOW);
    let queries = queries(&prospects, RefusalCause::Offer(700));
    let compared = queries
        .iter()
        .filter(|(_, pass, _)| *pass == SearchPass::Compare);
    let compared: Vec<_> = compared
        .map(|(name, _, terms)| (name.as_str(), *terms))
        .collect();
    // 700 ms less the penalty of 60 ms and the 4.8 ms of the transfer.
    let limit = PlacementTerms::Beat(636);
    assert_eq!(compared, [("a", PlacementTerms::Inquire), ("c", limit)]);
}

/// Guards against refusals of calls while another zone has a free slot, although it leaves none to calls that only gain.
#[test]
fn refused_calls_ask_each_zone_with_free_slots_once() {
    let busy = ServiceReport {
        spare_adapter_slots: 0,
        ..report(10)
    };
    let table = table(&[("a", report(0)), ("b", busy.clone()), ("c", busy)]);
    let prospects = prospects(&table, ["a", "b", "c"], &[], NOW);
    let queries = queries(&prospects, RefusalCause::NoEngine);
    let asked: Vec<_> = queries.iter().map(|(name, ..)| name.as_str()).collect();
    assert_eq!(asked, ["a", "b", "c"]);
}

/// Guards against decisions by old reports, and against a zone without reports that is taken for a short one.
#[test]
fn expired_reports_make_a_zone_stale_and_then_unknown() {
    let mut table = table(&[("b", report(10)), ("c", report(10))]);
    let cost_of_b =
        |table: &ShortageTable, now| prospects(table, ["a", "b", "c"], &[], now)[1].cost;
    let last = NOW.after(REPORT_TTL - Duration::from_millis(1));
    assert!(matches!(cost_of_b(&table, last), ZoneCost::AtLeast(_)));
    assert_eq!(REPORT_TTL, Duration::from_millis(1_500));
    let expired = NOW.after(REPORT_TTL);
    table.record(&zone("a"), vec![report(10)], expired);
    assert_eq!(cost_of_b(&table, expired), ZoneCost::Stale);
    // The home zone is cut off, so the gateway's own zone decides, and no other zone is asked.
    let cut = prospects(&table, ["b", "a", "c"], &[], expired);
    assert_eq!(names(&cut)[0], "a");
    let asked = queries(&cut, RefusalCause::NoEngine);
    assert!(asked.iter().all(|(name, ..)| name == "a"), "{asked:?}");
    assert_eq!(cost_of_b(&table, NOW.after(STALE_TTL)), ZoneCost::Unknown);
}

/// Guards against another search than before where the holders of all zones are of a build that reports nothing.
#[test]
fn zones_without_reports_are_asked_as_before() {
    let prospects = prospects(&ShortageTable::default(), ["b", "a", "c"], &["a"], NOW);
    assert_eq!(names(&prospects), ["b", "a", "c"]);
    let asked = queries(&prospects, RefusalCause::NoEngine);
    let mut before = ZoneSearch::new(PlacementPolicy::default(), 3);
    for (name, pass, _) in &asked {
        let query = before.next_query().expect("a query");
        assert_eq!(
            (prospects[query.zone].zone.as_str(), query.pass),
            (name.as_str(), *pass)
        );
    }
    assert_eq!(asked.len(), 6);
}

/// Guards against slots that are offered to others in the moment between two calls of the zone's own.
#[test]
fn only_slots_that_stayed_free_are_spare() {
    let mut spare = SpareSlots::default();
    let mut record = |free, ms| {
        let at = NOW.after(Duration::from_millis(ms));
        spare.record(&report(free).shortage, at);
        spare
            .report(&service(), report(free).shortage, 1)
            .spare_adapter_slots
    };
    assert_eq!(record(8, 0), 8);
    assert_eq!(record(2, 100), 2);
    assert_eq!(record(9, 900), 2);
    assert_eq!(record(9, 1_200), 9);
}

/// Guards against a new holder that learns again what the others know about the weight store.
#[test]
fn new_holders_start_with_the_smallest_limit_of_other_zones() {
    let with_limit = |load_limit, load_ms| ServiceReport {
        shortage: ServiceShortage {
            load_limit,
            load_ms,
            ..report(1).shortage
        },
        ..report(1)
    };
    let table = table(&[
        ("a", with_limit(5, 250)),
        ("b", with_limit(40, 300)),
        ("c", with_limit(37, 288)),
    ]);
    let estimate = table.load_estimate(&zone("a"), &service(), NOW);
    let load_time = Duration::from_millis(288);
    assert_eq!(
        estimate,
        Some(LoadEstimate {
            limit: 37,
            load_time
        })
    );
    assert_eq!(
        table.load_estimate(&zone("a"), &service(), NOW.after(REPORT_TTL)),
        None
    );
    let mut limiter = LoadLimiter::with_initial_limit(10.0);
    limiter.adopt(estimate.expect("two reports"));
    let summary = limiter.summary();
    assert_eq!((summary.limit, summary.expected_time), (37, load_time));
}

/// Guards against requests that builds before and after the change can't read from each other.
#[test]
fn requests_without_a_zone_are_as_before() {
    let text = r#"{"service":"ledger","rank":1,"left_ms":120,"exclude":[],"resting":[],"fingerprint":7,
        "is_trial":false,"charge":null}"#;
    let request: PlainRequest = serde_json::from_str(text).expect("a request of an earlier build");
    assert_eq!((&request.zone, request.transfer_ms), (&None, 0));
    let sent = serde_json::to_string(&request).expect("a request");
    assert!(
        !sent.contains("zone") && !sent.contains("transfer_ms"),
        "{sent}"
    );
}
