//! The policy bench: the core's own decisions in virtual time against baselines and a bound.
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

/// Arguments of the bench.
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
    #[options(no_short, help = "given by cargo bench; nothing depends on it")]
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
    serde_json::from_str(&text)
        .map_err(|error| format!("{path} is no engine model ({error}): see docs/MEASUREMENTS.md"))
}

fn run_all(args: &BenchArgs, model: &EngineModel) -> Vec<RunFigures> {
    let fits =
        |wanted: &Option<String>, name: &str| wanted.as_ref().is_none_or(|wanted| wanted == name);
    let mut jobs = Vec::new();
    for site in Site::ALL
        .into_iter()
        .filter(|site| fits(&args.workload, site.name()))
    {
        for fault in Fault::ALL
            .into_iter()
            .filter(|fault| fits(&args.fault, fault.name()))
        {
            for policy in PolicyName::ALL
                .into_iter()
                .filter(|policy| fits(&args.policy, policy.name()))
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

/// Means over the seeds.
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
    let mut rest = figures;
    while let Some(first) = rest.first() {
        let same = rest.iter().take_while(|line| {
            (line.workload, line.fault, line.policy) == (first.workload, first.fault, first.policy)
        });
        let (group, tail) = rest.split_at(same.count());
        rest = tail;
        let of =
            |figure: fn(&RunFigures) -> f64| mean(&group.iter().map(figure).collect::<Vec<_>>());
        println!(
            "{:<10} {:<14} {:<12} {:>9.1} {:>9.0} {:>6.3} {:>9.0} {:>9.0} {:>8.1} {:>7.0} {:>7.0} {:>6.3} {:>6.0} {:>7.1}",
            first.workload,
            first.fault,
            first.policy,
            of(|line| line.load_stall_ms_mean),
            of(|line| line.load_stall_ms_p99),
            of(|line| line.batch_efficiency),
            of(|line| line.urgent_ttft_ms_p99),
            of(|line| line.normal_ttft_ms_p99),
            of(|line| line.batch_wait_s_max),
            of(|line| line.refused as f64),
            of(|line| line.unfinished as f64),
            of(|line| line.work_share),
            of(|line| line.loads as f64),
            of(|line| line.recovery_s),
        );
    }
}
