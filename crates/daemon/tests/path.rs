//! Request path over real sockets: completions, plain services, invalid requests, slow callers and quotas.

use hoplanding_standins::engine::{EngineModel, expected_completion};
use hoplanding_testbed::{
    CompletionCall, LoadConfig, SiteConfig, TestSite, run_load,
    site::{BATCH_TOKEN, NORMAL_TOKEN, URGENT_TOKEN},
};
use serde_json::{Value, json};
use std::time::Duration;

fn call(model: &str, tokens: usize, stream: bool) -> CompletionCall {
    CompletionCall {
        model: model.to_owned(),
        prompt: "held reel 4711".to_owned(),
        tokens,
        stream,
    }
}

async fn small_site() -> TestSite {
    TestSite::start(SiteConfig::with_zones(1, 2, 2, 20))
        .await
        .expect("the site starts")
}

/// Whole and streamed completions must come from the requested adapter, at each daemon.
#[tokio::test(flavor = "multi_thread")]
async fn completions_return_the_answer_of_the_requested_adapter() {
    let site = small_site().await;
    for vm in ["a1", "a2"] {
        for stream in [false, true] {
            let result = site
                .caller(vm, NORMAL_TOKEN)
                .complete(&call("adapter-0003", 9, stream))
                .await;
            assert_eq!(result.status, 200, "{}", result.message);
            assert!(result.is_complete);
            assert_eq!(result.model, "adapter-0003@v1");
            assert_eq!(
                result.text,
                expected_completion("adapter-0003@v1", "held reel 4711", 9)
            );
        }
    }
}

/// Chat completions, the model list, and the selection of a version: publishing a version must not change the current
/// one, and a version named in the request must be used.
#[tokio::test(flavor = "multi_thread")]
async fn chat_model_list_and_version_selection() {
    let site = small_site().await;
    let caller = site.caller("a1", NORMAL_TOKEN);
    let body = json!({ "model": "adapter-0001", "messages": [{ "role": "user", "content": "hi" }], "max_tokens": 4 });
    let response = caller
        .post("/v1/chat/completions")
        .json(&body)
        .send()
        .await
        .expect("an answer");
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(answer["object"], "chat.completion");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_completion("adapter-0001@v1", "hi", 4)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 4);
    let (status, models) = caller.get("/v1/models").await;
    assert_eq!(status, 200);
    assert_eq!(
        serde_json::from_str::<Value>(&models).expect("JSON")["data"]
            .as_array()
            .map(Vec::len),
        Some(20)
    );

    site.execute_statement("a2", "publish version v2 of adapter-0001")
        .await
        .expect("published");
    let unversioned = caller.complete(&call("adapter-0001", 3, false)).await;
    assert_eq!(
        unversioned.model, "adapter-0001@v1",
        "publishing changes no current version"
    );
    site.execute_statement("a1", "make current version v2 of adapter-0001")
        .await
        .expect("made current");
    let unversioned = caller.complete(&call("adapter-0001", 3, false)).await;
    assert_eq!(unversioned.model, "adapter-0001@v2");
    let named = caller.complete(&call("adapter-0001@v1", 3, true)).await;
    assert_eq!(
        named.text,
        expected_completion("adapter-0001@v1", "held reel 4711", 3)
    );
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// Calls of a plain service must arrive unchanged, and callers without a right must not reach it.
#[tokio::test(flavor = "multi_thread")]
async fn plain_services_pass_method_headers_and_body_through() {
    let site = small_site().await;
    let caller = site.caller("a1", URGENT_TOKEN);
    let request = caller
        .post("/services/ledger/tags/7?full=1")
        .header("x-echo", "kept")
        .body("lookup");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.headers()["x-echo"], "kept");
    assert_eq!(response.headers()["x-method"], "POST");
    assert_eq!(
        response.text().await.expect("a body"),
        "POST /tags/7?full=1 lookup"
    );
    let no_right = site.caller("a1", BATCH_TOKEN).post_scan("scan", None).await;
    assert_eq!(
        (no_right.status, no_right.error.as_deref()),
        (403, Some("invalid_request"))
    );
    assert_eq!(site.runs_of("scan"), 0);
}

/// Each kind of invalid request must get its own status and reason, and a revoked right must affect its caller only.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_specific_errors() {
    let site = small_site().await;
    let caller = site.caller("a1", NORMAL_TOKEN);
    let unknown_caller = site.caller("a1", "no-such-token");
    let post = async |path: &str, body: String| {
        let response = caller
            .post(path)
            .body(body)
            .send()
            .await
            .expect("an answer");
        let status = response.status().as_u16();
        let body: Value = response.json().await.expect("errors are JSON");
        (
            status,
            body["error"]["reason"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
        )
    };
    let refused = |status: u16, reason: &str| (status, reason.to_owned());
    let path = "/v1/completions";
    assert_eq!(
        post(path, "{".to_owned()).await,
        refused(400, "malformed_json")
    );
    assert_eq!(
        post(path, "[]".to_owned()).await,
        refused(400, "wrong_body")
    );
    assert_eq!(
        post(path, json!({ "prompt": "x" }).to_string()).await,
        refused(400, "wrong_model")
    );
    assert_eq!(
        post(path, json!({ "model": "adapter-0001" }).to_string()).await,
        refused(400, "wrong_prompt")
    );
    let tokens = json!({ "model": "adapter-0001", "prompt": "x", "max_tokens": -1 });
    assert_eq!(
        post(path, tokens.to_string()).await,
        refused(400, "wrong_max_tokens")
    );
    let large = json!({ "model": "adapter-0001", "prompt": "x".repeat(2 << 20) });
    assert_eq!(
        post(path, large.to_string()).await,
        refused(413, "oversized_body")
    );
    let unknown = json!({ "model": "nobody", "prompt": "x" });
    assert_eq!(
        post(path, unknown.to_string()).await,
        refused(404, "unknown_adapter")
    );
    let version = json!({ "model": "adapter-0001@v9", "prompt": "x" });
    assert_eq!(
        post(path, version.to_string()).await,
        refused(404, "unknown_version")
    );
    assert_eq!(
        post("/services/nobody/x", String::new()).await,
        refused(404, "unknown_service")
    );
    assert_eq!(
        post("/nowhere", String::new()).await,
        refused(404, "unknown_path")
    );
    let result = unknown_caller
        .complete(&call("adapter-0001", 3, false))
        .await;
    assert_eq!(result.status, 401, "{}", result.message);
    site.execute_statement("a1", "revoke normal-desk on all adapters")
        .await
        .expect("revoked");
    let result = caller.complete(&call("adapter-0001", 3, false)).await;
    assert_eq!(result.status, 403, "{}", result.message);
    let result = site
        .caller("a1", URGENT_TOKEN)
        .complete(&call("adapter-0001", 3, false))
        .await;
    assert_eq!(
        result.status, 200,
        "other callers keep their rights: {}",
        result.message
    );
}

/// A request body that never ends must not keep its connection open beyond the body timeout.
#[tokio::test(flavor = "multi_thread")]
async fn slow_request_body_times_out() {
    let mut config = SiteConfig::with_zones(1, 1, 1, 2);
    config.overrides = json!({ "limits": { "body_timeout_ms": 100 } });
    let site = TestSite::start(config).await.expect("the site starts");
    let pending_body = futures_util::stream::pending::<Result<Vec<u8>, std::io::Error>>();
    let request = site
        .caller("a1", NORMAL_TOKEN)
        .post("/v1/completions")
        .body(reqwest::Body::wrap_stream(pending_body));
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status().as_u16(), 408);
}

/// A caller that disconnects during a stream must not leave the engine generating tokens.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_cancels_its_stream() {
    let site = small_site().await;
    let caller = site.caller("a1", NORMAL_TOKEN);
    let body =
        json!({ "model": "adapter-0002", "prompt": "long", "max_tokens": 4000, "stream": true });
    let response = caller
        .post("/v1/completions")
        .json(&body)
        .send()
        .await
        .expect("an answer");
    drop(response);
    let busy = || {
        site.engines
            .values()
            .map(hoplanding_standins::engine::EngineStandin::in_flight)
            .sum::<usize>()
    };
    for _ in 0..200 {
        if busy() == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(busy(), 0, "the engines still run a stream without a caller");
}

/// A caller that does not read its stream fills its buffer; other streams must continue.
#[tokio::test(flavor = "multi_thread")]
async fn slow_reader_does_not_block_other_callers() {
    let mut config = SiteConfig::with_zones(1, 2, 1, 4);
    config.model = EngineModel {
        step_us: 500,
        sequence_us: 10,
        ..EngineModel::default()
    };
    let site = TestSite::start(config).await.expect("the site starts");
    // These responses are never read. One daemon holds the engine, so both the local and the remote path are covered.
    let mut unread = Vec::new();
    for vm in ["a1", "a2"] {
        let body = json!({ "model": "adapter-0001", "prompt": "slow", "max_tokens": 20_000, "stream": true });
        let response = site
            .caller(vm, BATCH_TOKEN)
            .post("/v1/completions")
            .json(&body)
            .send()
            .await;
        unread.push(response.expect("an answer"));
    }
    for vm in ["a1", "a2"] {
        let result = site
            .caller(vm, URGENT_TOKEN)
            .complete(&call("adapter-0001", 300, true))
            .await;
        assert_eq!(
            result.text,
            expected_completion("adapter-0001@v1", "held reel 4711", 300)
        );
    }
    drop(unread);
}

/// A malformed stream must be resumed, and an engine that answers with another adapter must be quarantined, with the
/// request answered by the other engine.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_stream_is_resumed_and_wrong_adapter_is_quarantined() {
    let site = TestSite::start(SiteConfig::with_zones(1, 1, 2, 8))
        .await
        .expect("the site starts");
    for engine in site.engines.values() {
        engine.set_faults(|faults| faults.malformed_responses = 1);
    }
    let caller = site.caller("a1", NORMAL_TOKEN);
    let result = caller.complete(&call("adapter-0001", 5, false)).await;
    // The stream is resumed, so the answer is complete.
    assert_eq!(
        result.text,
        expected_completion("adapter-0001@v1", "held reel 4711", 5),
        "{}",
        result.message
    );
    let first = &site.engines[&result.target];
    first.set_faults(|faults| faults.wrong_model_responses = 1);
    let result = caller.complete(&call("adapter-0001", 5, false)).await;
    assert_eq!(
        result.text,
        expected_completion("adapter-0001@v1", "held reel 4711", 5),
        "{}",
        result.message
    );
    let shown = site
        .execute_statement("a1", "show targets where state = quarantined")
        .await
        .expect("rows");
    assert_eq!(
        shown["table"]["rows"].as_array().map(Vec::len),
        Some(1),
        "{shown}"
    );
}

/// Requests above the quota must be refused before they run, with status 429 and a retry delay.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_quota_are_refused_as_not_run() {
    let site = small_site().await;
    site.execute_statement("a1", "set quota of normal-desk to 1 per second")
        .await
        .expect("set");
    let caller = site.caller("a1", NORMAL_TOKEN);
    let mut refused = 0;
    for _ in 0..6 {
        let result = caller.complete(&call("adapter-0001", 2, false)).await;
        if result.error.as_deref() == Some("not_run") {
            assert_eq!(result.status, 429);
            assert!(result.has_retry_after);
            refused += 1;
        }
    }
    assert!(
        refused >= 2,
        "{refused} of 6 requests refused at a quota of one per second"
    );
}

/// A mixed load over two zones must cause no failed requests and no violated invariants.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_load_over_two_zones_has_no_violations() {
    let mut config = SiteConfig::with_zones(2, 2, 2, 40);
    config.load_time = Duration::from_millis(10);
    let site = TestSite::start(config).await.expect("the site starts");
    let load = LoadConfig {
        requests: 400,
        concurrency: 32,
        skew: 1.3,
        seed: 5,
        progress: false,
    };
    let report = run_load(&site, &load).await;
    assert!(
        report.is_clean(),
        "{report}\n{:?}\n{:?}",
        report.failed,
        report.violations
    );
    assert_eq!(report.answered + report.not_run, 400);
    assert!(report.answered >= 390, "{report}");
}
