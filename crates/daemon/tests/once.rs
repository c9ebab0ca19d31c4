//! Not repeatable calls: at most once, and never lost without a word.

use hoplanding_testbed::{SiteConfig, TestSite, site::URGENT_TOKEN};
use std::time::Duration;
use tokio::time::sleep;

async fn site(zones: usize, daemons: usize) -> TestSite {
    TestSite::start(SiteConfig::zones(zones, daemons, 1, 2))
        .await
        .expect("the site starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_runs_once_whichever_daemon_is_asked() {
    let site = site(2, 2).await;
    let token = site
        .caller("a1", URGENT_TOKEN)
        .issue_token()
        .await
        .expect("a token");
    let mut texts = Vec::new();
    for vm in ["b2", "a1", "a2", "b1", "a1"] {
        let result = site
            .caller(vm, URGENT_TOKEN)
            .post_scan("scan 1", Some(&token))
            .await;
        assert_eq!(result.status, 200, "{vm}: {}", result.message);
        texts.push(result.text);
    }
    texts.dedup();
    assert_eq!(texts.len(), 1, "each repeated call gets the first answer");
    assert_eq!(site.runs_of("scan 1"), 1);
    let other = site
        .caller("b1", URGENT_TOKEN)
        .post_scan("scan 2", Some(&token))
        .await;
    assert_eq!(
        other.status, 422,
        "a token stands for one request: {}",
        other.message
    );
    assert_eq!(site.runs_of("scan 2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_at_once_with_one_token_or_key_run_once() {
    let site = site(1, 3).await;
    site.services
        .values()
        .for_each(|service| service.set_faults(|faults| faults.delay = Duration::from_millis(200)));
    let token = site
        .caller("a1", URGENT_TOKEN)
        .issue_token()
        .await
        .expect("a token");
    for (body, key) in [("by token", token.as_str()), ("by key", "reel 4711")] {
        let callers = ["a1", "a2", "a3"].map(|vm| site.caller(vm, URGENT_TOKEN));
        let (one, two, three) = tokio::join!(
            callers[0].post_scan(body, Some(key)),
            callers[1].post_scan(body, Some(key)),
            callers[2].post_scan(body, Some(key)),
        );
        for result in [one, two, three] {
            assert_eq!(result.status, 200, "{body}: {}", result.message);
        }
        assert_eq!(site.runs_of(body), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_refused_with_the_log_out_and_tokens_work() {
    let site = site(1, 2).await;
    site.platform
        .set_faults(|faults| faults.is_unavailable = true);
    sleep(Duration::from_millis(600)).await;
    let caller = site.caller("a1", URGENT_TOKEN);
    let refused = caller.post_scan("by key", Some("my-key")).await;
    assert_eq!(
        refused.error.as_deref(),
        Some("not_run"),
        "{}",
        refused.message
    );
    assert!(
        refused.message.contains("/v1/idempotency_tokens"),
        "{}",
        refused.message
    );
    assert_eq!(site.runs_of("by key"), 0);
    let token = caller.issue_token().await.expect("a token");
    let result = site
        .caller("a2", URGENT_TOKEN)
        .post_scan("by token", Some(&token))
        .await;
    assert_eq!(result.status, 200, "{}", result.message);
    assert_eq!(site.runs_of("by token"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_of_a_dead_daemon_is_never_run() {
    let mut site = site(1, 2).await;
    let token = site
        .caller("a1", URGENT_TOKEN)
        .issue_token()
        .await
        .expect("a token");
    site.kill_daemon("a1");
    sleep(Duration::from_millis(200)).await;
    let result = site
        .caller("a2", URGENT_TOKEN)
        .post_scan("scan", Some(&token))
        .await;
    assert_eq!(
        result.error.as_deref(),
        Some("outcome_unknown"),
        "{}",
        result.message
    );
    site.start_daemon("a1").await.expect("started");
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("served");
    for vm in ["a1", "a2"] {
        let result = site
            .caller(vm, URGENT_TOKEN)
            .post_scan("scan", Some(&token))
            .await;
        assert_eq!(
            result.error.as_deref(),
            Some("outcome_unknown"),
            "{vm}: {}",
            result.message
        );
    }
    assert_eq!(site.runs_of("scan"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_open_tokens_over() {
    let mut site = site(1, 3).await;
    let used = site
        .caller("a1", URGENT_TOKEN)
        .issue_token()
        .await
        .expect("a token");
    let open = site
        .caller("a1", URGENT_TOKEN)
        .issue_token()
        .await
        .expect("a token");
    assert_eq!(
        site.caller("a1", URGENT_TOKEN)
            .post_scan("used", Some(&used))
            .await
            .status,
        200
    );
    let report = site.stop_daemon("a1").await.expect("the daemon ran");
    assert_eq!(report.open_requests, 0);
    sleep(Duration::from_millis(200)).await;
    for vm in ["a2", "a3"] {
        let result = site
            .caller(vm, URGENT_TOKEN)
            .post_scan("open", Some(&open))
            .await;
        assert_eq!(result.status, 200, "{vm}: {}", result.message);
        let result = site
            .caller(vm, URGENT_TOKEN)
            .post_scan("used", Some(&used))
            .await;
        assert_eq!(
            result.error.as_deref(),
            Some("outcome_unknown"),
            "{vm}: {}",
            result.message
        );
    }
    assert_eq!((site.runs_of("open"), site.runs_of("used")), (1, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_a_service_is_an_unknown_outcome_and_no_second_run() {
    let site = site(1, 2).await;
    site.services
        .values()
        .for_each(|service| service.set_faults(|faults| faults.lost_responses = 1));
    let caller = site.caller("a1", URGENT_TOKEN);
    let token = caller.issue_token().await.expect("a token");
    let first = caller.post_scan("scan", Some(&token)).await;
    assert!(
        !first.complete,
        "a broken answer never looks like a complete one: {first:?}"
    );
    let again = site
        .caller("a2", URGENT_TOKEN)
        .post_scan("scan", Some(&token))
        .await;
    assert_eq!(
        again.error.as_deref(),
        Some("outcome_unknown"),
        "{}",
        again.message
    );
    assert_eq!(site.runs_of("scan"), 1);
}
