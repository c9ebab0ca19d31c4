//! Policy bench: simulates the core's scheduling decisions in virtual time, and compares them with baselines and with a
//! policy that knows the future.
//!
//! `cargo bench --bench policy -- --json` prints one object a line.

mod adaptive;
mod baselines;
mod model;
mod report;
mod sim;
mod workload;

use gumdrop::Options;
use model::EngineModel;
use report::{PolicyName, RunFigures, mean, run};
use std::{process::ExitCode, sync::Mutex, thread};
use workload::{Fault, Site};

/// Command-line options.
#[derive(Options)]
struct BenchArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "print one JSON object a line")]
    json: bool,
    #[options(no_short, help = "first seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of seeds", default = "5")]
    seeds: u64,
    #[options(no_short, help = "only this workload")]
    workload: Option<String>,
    #[options(no_short, help = "only this fault")]
    fault: Option<String>,
    #[options(no_short, help = "only this policy")]
    policy: Option<String>,
    #[options(no_short, help = "JSON file of an engine model")]
    model: Option<String>,
    #[options(no_short, help = "passed by cargo bench; ignored")]
    bench: bool,
}

fn main() -> ExitCode {
    let args = BenchArgs::parse_args_default_or_exit();
    let model = match read_model(args.model.as_deref()) {
        Ok(model) => model,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(2);
        }
    };
    let figures = run_all(&args, &model);
    if args.json {
        for line in &figures {
            println!(
                "{}",
                serde_json::to_string(line).expect("figures have a JSON form")
            );
        }
    } else {
        print_table(&figures);
    }
    ExitCode::SUCCESS
}

fn read_model(path: Option<&str>) -> Result<EngineModel, String> {
    let Some(path) = path else {
        return Ok(EngineModel::default());
    };
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("{path} can't be read ({error}): name a JSON file"))?;
    serde_json::from_str(&text).map_err(|error| {
        format!("{path} is not a valid engine model ({error}): see docs/MEASUREMENTS.md")
    })
}

fn run_all(args: &BenchArgs, model: &EngineModel) -> Vec<RunFigures> {
    let matches_filter =
        |wanted: &Option<String>, name: &str| wanted.as_ref().is_none_or(|wanted| wanted == name);
    let mut jobs = Vec::new();
    for site in Site::ALL
        .into_iter()
        .filter(|site| matches_filter(&args.workload, site.name()))
    {
        for fault in Fault::ALL
            .into_iter()
            .filter(|fault| matches_filter(&args.fault, fault.name()))
        {
            for policy in PolicyName::ALL
                .into_iter()
                .filter(|policy| matches_filter(&args.policy, policy.name()))
            {
                jobs.extend(
                    (0..args.seeds).map(|offset| (site, fault, policy, args.seed + offset)),
                );
            }
        }
    }
    let next = Mutex::new(jobs.iter().enumerate());
    let results = Mutex::new(vec![None; jobs.len()]);
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| {
                loop {
                    let job = next.lock().expect("no job panics").next();
                    let Some((index, (site, fault, policy, seed))) = job else {
                        return;
                    };
                    let figures = run(*site, *fault, *policy, model, *seed);
                    results.lock().expect("no job panics")[index] = Some(figures);
                }
            });
        }
    });
    results
        .into_inner()
        .expect("no job panics")
        .into_iter()
        .flatten()
        .collect()
}

/// Prints the means over all seeds of each workload, fault and policy.
fn print_table(figures: &[RunFigures]) {
    println!(
        "{:<10} {:<14} {:<12} {:>9} {:>9} {:>6} {:>9} {:>9} {:>8} {:>7} {:>7} {:>6} {:>6} {:>7}",
        "workload",
        "fault",
        "policy",
        "stall_ms",
        "p99_ms",
        "batch",
        "urgent99",
        "normal99",
        "wait_max",
        "refused",
        "unfin",
        "work",
        "loads",
        "recov"
    );
    let mut remaining = figures;
    while let Some(first) = remaining.first() {
        let same_run = remaining.iter().take_while(|line| {
            (line.workload, line.fault, line.policy) == (first.workload, first.fault, first.policy)
        });
        let (group, tail) = remaining.split_at(same_run.count());
        remaining = tail;
        let group_mean =
            |figure: fn(&RunFigures) -> f64| mean(&group.iter().map(figure).collect::<Vec<_>>());
        println!(
            "{:<10} {:<14} {:<12} {:>9.1} {:>9.0} {:>6.3} {:>9.0} {:>9.0} {:>8.1} {:>7.0} {:>7.0} {:>6.3} {:>6.0} {:>7.1}",
            first.workload,
            first.fault,
            first.policy,
            group_mean(|line| line.load_stall_ms_mean),
            group_mean(|line| line.load_stall_ms_p99),
            group_mean(|line| line.batch_efficiency),
            group_mean(|line| line.urgent_ttft_ms_p99),
            group_mean(|line| line.normal_ttft_ms_p99),
            group_mean(|line| line.batch_wait_s_max),
            group_mean(|line| line.refused as f64),
            group_mean(|line| line.unfinished as f64),
            group_mean(|line| line.work_share),
            group_mean(|line| line.loads as f64),
            group_mean(|line| line.recovery_s),
        );
    }
}
