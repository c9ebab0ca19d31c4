//! Overhead of the request path: the same load sent directly to the stand-in engine and through the daemons.
//!
//! `cargo bench --bench path`. The figures are wall-clock times, so this is not part of CI.

use hoplanding_standins::engine::{EngineModel, expected_completion};
use hoplanding_testbed::{
    CallerClient, CompletionCall, SiteConfig, TestSite,
    load::percentile,
    site::NORMAL_TOKEN,
    usage::{resident_bytes, thread_cpu_seconds},
};
use std::{io, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, interval},
};

/// Request rate of a latency run.
const REQUESTS_PER_SECOND: u64 = 1000;
/// Requests of one latency run.
const REQUESTS: usize = 5000;
/// Concurrent streams of the throughput run.
const STREAMS: usize = 2000;
/// Tokens per stream of the throughput run.
const STREAM_TOKENS: usize = 100;

fn streamed_call(prompt: String, tokens: usize) -> CompletionCall {
    CompletionCall {
        model: "adapter-0000".to_owned(),
        prompt,
        tokens,
        stream: true,
    }
}

/// Times to first token of one latency run, in microseconds, ascending.
async fn measure_first_tokens(caller: &CallerClient, model: &str) -> Vec<u64> {
    let mut ticks = interval(Duration::from_micros(1_000_000 / REQUESTS_PER_SECOND));
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        ticks.tick().await;
        let caller = caller.clone();
        let mut call = streamed_call(format!("p{}", number % 50), 2);
        call.model = model.to_owned();
        calls.spawn(async move { caller.complete(&call).await });
    }
    let mut times = Vec::new();
    while let Some(Ok(result)) = calls.join_next().await {
        assert!(result.is_complete, "{} {}", result.status, result.message);
        times.push(result.time_to_first_token.as_micros() as u64);
    }
    times.sort_unstable();
    times
}

fn print_latency(name: &str, times: &[u64], direct: &[u64]) {
    let ms_at = |share| percentile(times, share) as f64 / 1000.0;
    let added = |share| ms_at(share) - percentile(direct, share) as f64 / 1000.0;
    println!(
        "first token {name:<18} p50 {:>7.3} ms  p99 {:>7.3} ms   added p50 {:>7.3} ms  p99 {:>7.3} ms",
        ms_at(0.5),
        ms_at(0.99),
        added(0.5),
        added(0.99)
    );
}

async fn measure_streams(site: &TestSite, gateway: &str) {
    let caller = site.caller(gateway, NORMAL_TOKEN);
    let bytes_before = resident_bytes();
    let cpu = thread_cpu_seconds("d-");
    let started_at = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0..STREAMS {
        let caller = caller.clone();
        calls.spawn(async move {
            let call = streamed_call(format!("stream {number}"), STREAM_TOKENS);
            let result = caller.complete(&call).await;
            result.text == expected_completion("adapter-0000@v1", &call.prompt, STREAM_TOKENS)
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    let added_bytes = resident_bytes().saturating_sub(bytes_before);
    let mut equal = 0;
    while let Some(Ok(is_equal)) = calls.join_next().await {
        equal += usize::from(is_equal);
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let cpu = thread_cpu_seconds("d-") - cpu;
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
        added_bytes as f64 / STREAMS as f64 / 1024.0
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
    let mut config = SiteConfig::with_zones(1, 2, 1, 1);
    config.model = EngineModel {
        batch: 4096,
        step_us: 300,
        sequence_us: 0,
        prefill_us: 0,
        ..EngineModel::default()
    };
    // Direct requests carry no fencing token.
    config.engines[0].checks_fencing = false;
    config.overrides = serde_json::json!({ "limits": { "waiting_per_target": 4096 } });
    let site = TestSite::start(config).await?;
    site.execute_statement(
        "a1",
        "set quota of normal-desk to 100000 per second waiting 100000",
    )
    .await
    .map_err(io::Error::other)?;
    let shown = site
        .execute_statement("a1", "show targets where target = engine-a1")
        .await
        .map_err(io::Error::other)?;
    let holder = shown["table"]["rows"][0][4]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let gateway = if holder == "a1" { "a2" } else { "a1" };
    // Warm-up: the first request loads the adapter.
    site.caller(gateway, NORMAL_TOKEN)
        .complete(&streamed_call("warm".to_owned(), 2))
        .await;
    let direct_caller = CallerClient::new(
        &format!("http://{}", site.engines["engine-a1"].address()),
        "",
    );
    let cpu = thread_cpu_seconds("d-");
    let direct = measure_first_tokens(&direct_caller, "adapter-0000@v1").await;
    print_latency("direct", &direct, &direct);
    let local = measure_first_tokens(&site.caller(&holder, NORMAL_TOKEN), "adapter-0000").await;
    print_latency("gateway = holder", &local, &direct);
    let local_cpu = thread_cpu_seconds("d-") - cpu;
    let one_hop = measure_first_tokens(&site.caller(gateway, NORMAL_TOKEN), "adapter-0000").await;
    print_latency("one peer hop", &one_hop, &direct);
    let hop_cpu = thread_cpu_seconds("d-") - cpu - local_cpu;
    println!(
        "daemon time         {:.0} us a request at the holder, {:.0} us with one hop (both daemons); {:.0} and {:.0} requests a second and core",
        local_cpu / REQUESTS as f64 * 1e6,
        hop_cpu / REQUESTS as f64 * 1e6,
        REQUESTS as f64 / local_cpu,
        REQUESTS as f64 / hop_cpu
    );
    measure_streams(&site, gateway).await;
    Ok(())
}
