//! Calls that must run at most once, and whose outcome is reported as unknown where it can't be determined.

use hoplanding_testbed::{SiteConfig, TestSite, site::URGENT_TOKEN};
use std::time::Duration;
use tokio::time::sleep;

async fn site(zones: usize, daemons: usize) -> TestSite {
    TestSite::start(SiteConfig::with_zones(zones, daemons, 1, 2))
        .await
        .expect("the site starts")
}

/// A request repeated with its token at other daemons must get the first answer without a second run.
/// A token used for another request must be refused.
#[tokio::test(flavor = "multi_thread")]
async fn token_runs_once_on_any_daemon() {
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

/// Concurrent calls at three daemons with one token or key must run once and all get the answer.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_token_or_key_run_once() {
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

/// A key can only be claimed in the log. During an outage requests with keys must be refused as not run, with a hint
/// at tokens, which need no log.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_log_keys_are_refused_and_tokens_work() {
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

/// Nobody knows whether a token of a killed daemon was used, so its request must not run, even after the daemon
/// started again.
#[tokio::test(flavor = "multi_thread")]
async fn token_of_a_killed_daemon_is_never_run() {
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

/// After a planned stop, unused tokens of the stopped daemon must still run, and used ones must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_hands_over_unused_tokens() {
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

/// A service that runs a call and drops its answer must not be called again for the same token.
#[tokio::test(flavor = "multi_thread")]
async fn lost_service_answer_is_an_unknown_outcome_without_a_second_run() {
    let site = site(1, 2).await;
    site.services
        .values()
        .for_each(|service| service.set_faults(|faults| faults.lost_responses = 1));
    let caller = site.caller("a1", URGENT_TOKEN);
    let token = caller.issue_token().await.expect("a token");
    let first = caller.post_scan("scan", Some(&token)).await;
    assert!(
        !first.is_complete,
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
