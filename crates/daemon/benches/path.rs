//! The path's cost: the same load direct to the stand-in engine and through the system, in one run.
//!
//! `cargo bench --bench path`. Wall-clock figures, so this is no part of CI.

use hoplanding_standins::engine::{EngineModel, expected_completion};
use hoplanding_testbed::{
    CallerClient, CompletionCall, SiteConfig, TestSite,
    load::percentile,
    site::NORMAL_TOKEN,
    usage::{resident_bytes, thread_seconds},
};
use std::{io, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

/// Requests a second of the latency run.
const RATE: u64 = 1000;
/// Requests of one latency run.
const REQUESTS: usize = 5000;
/// Streams at once.
const STREAMS: usize = 2000;
/// Tokens of each of these streams.
const STREAM_TOKENS: usize = 100;

fn call(prompt: String, tokens: usize) -> CompletionCall {
    CompletionCall {
        model: "adapter-0000".to_owned(),
        prompt,
        tokens,
        stream: true,
    }
}

/// Times to the first token, in microseconds, sorted.
async fn first_tokens(caller: &CallerClient, model: &str) -> Vec<u64> {
    let mut pace = interval(Duration::from_micros(1_000_000 / RATE));
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        pace.tick().await;
        let caller = caller.clone();
        let mut call = call(format!("p{}", number % 50), 2);
        call.model = model.to_owned();
        calls.spawn(async move { caller.complete(&call).await });
    }
    let mut times = Vec::new();
    while let Some(Ok(result)) = calls.join_next().await {
        assert!(result.complete, "{} {}", result.status, result.message);
        times.push(result.first_token.as_micros() as u64);
    }
    times.sort_unstable();
    times
}

fn print_latency(name: &str, times: &[u64], direct: &[u64]) {
    let of = |share| percentile(times, share) as f64 / 1000.0;
    let added = |share| of(share) - percentile(direct, share) as f64 / 1000.0;
    println!(
        "first token {name:<18} p50 {:>7.3} ms  p99 {:>7.3} ms   added p50 {:>7.3} ms  p99 {:>7.3} ms",
        of(0.5),
        of(0.99),
        added(0.5),
        added(0.99)
    );
}

async fn many_streams(site: &TestSite, gateway: &str) {
    let caller = site.caller(gateway, NORMAL_TOKEN);
    let memory = resident_bytes();
    let cpu = thread_seconds("d-");
    let began = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..STREAMS {
        let caller = caller.clone();
        calls.spawn(async move {
            let call = call(format!("stream {number}"), STREAM_TOKENS);
            let result = caller.complete(&call).await;
            result.text == expected_completion("adapter-0000@v1", &call.prompt, STREAM_TOKENS)
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let grown = resident_bytes().saturating_sub(memory);
    let mut equal = 0;
    while let Some(Ok(is_equal)) = calls.join_next().await {
        equal += usize::from(is_equal);
    }
    let seconds = began.elapsed().as_secs_f64();
    let cpu = thread_seconds("d-") - cpu;
    let frames = (STREAMS * STREAM_TOKENS) as f64;
    println!("streams at once     {STREAMS}, equal byte for byte {equal}");
    println!(
        "frames              {:.0} a second; {:.0} a second and daemon core; {:.1} us of daemon time a frame",
        frames / seconds,
        frames / cpu,
        cpu / frames * 1e6
    );
    println!(
        "memory a stream     {:.1} KiB, caller, both daemons and engine together",
        grown as f64 / STREAMS as f64 / 1024.0
    );
    assert_eq!(equal, STREAMS);
}

fn main() -> io::Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run())
}

async fn run() -> io::Result<()> {
    let mut config = SiteConfig::zones(1, 2, 1, 1);
    config.model = EngineModel {
        batch: 4096,
        step_us: 300,
        sequence_us: 0,
        prefill_us: 0,
        ..EngineModel::default()
    };
    // The direct load carries no token.
    config.engines[0].checks_fencing = false;
    config.overrides = serde_json::json!({ "limits": { "waiting_per_target": 4096 } });
    let site = TestSite::start(config).await?;
    site.operate(
        "a1",
        "set quota of normal-desk to 100000 per second waiting 100000",
    )
    .await
    .map_err(io::Error::other)?;
    let shown = site
        .operate("a1", "show targets where target = engine-a1")
        .await
        .map_err(io::Error::other)?;
    let holder = shown["table"]["rows"][0][4]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let other = if holder == "a1" { "a2" } else { "a1" };
    // The first request loads the adapter.
    site.caller(other, NORMAL_TOKEN)
        .complete(&call("warm".to_owned(), 2))
        .await;
    let direct_caller = CallerClient::new(
        &format!("http://{}", site.engines["engine-a1"].address()),
        "",
    );
    let cpu = thread_seconds("d-");
    let direct = first_tokens(&direct_caller, "adapter-0000@v1").await;
    print_latency("direct", &direct, &direct);
    let local = first_tokens(&site.caller(&holder, NORMAL_TOKEN), "adapter-0000").await;
    print_latency("gateway = holder", &local, &direct);
    let local_cpu = thread_seconds("d-") - cpu;
    let hop = first_tokens(&site.caller(other, NORMAL_TOKEN), "adapter-0000").await;
    print_latency("one peer hop", &hop, &direct);
    let hop_cpu = thread_seconds("d-") - cpu - local_cpu;
    println!(
        "daemon time         {:.0} us a request at the holder, {:.0} us with one hop (both daemons); {:.0} and {:.0} requests a second and core",
        local_cpu / REQUESTS as f64 * 1e6,
        hop_cpu / REQUESTS as f64 * 1e6,
        REQUESTS as f64 / local_cpu,
        REQUESTS as f64 / hop_cpu
    );
    many_streams(&site, other).await;
    Ok(())
}
