//! Command line of the fault soak.

use gumdrop::Options;
use hoplanding_soak::{
    report,
    run::{RunOutcome, RunPlan, SkewPlan, run_soak},
    schedule::PlannedFault,
    targets::InjectedDefect,
};
use std::{fs, io, path::PathBuf, process::ExitCode, time::Duration};
use tokio::signal::unix::{SignalKind, signal};

/// Arguments of `hoplanding-soak`.
#[derive(Debug, Options)]
struct SoakArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "first seed", default = "1")]
    seed: u64,
    #[options(no_short, help = "number of seeds", default = "1")]
    seeds: u64,
    #[options(help = "number of requests in a run", default = "600")]
    requests: usize,
    #[options(no_short, help = "number of faults in a run", default = "8")]
    faults: usize,
    #[options(
        no_short,
        help = "number of extra faults in a run: log restores, Retry-After answers, draining announced in answers",
        default = "4"
    )]
    beside: usize,
    #[options(
        no_short,
        help = "number of losses of acknowledged configurations in a run; operators may take 10 s to rewrite them, so use 1800 requests or more",
        default = "0"
    )]
    losses: usize,
    #[options(
        no_short,
        help = "number of times in a run that one VM, or all but one, lose the path to all targets",
        default = "2"
    )]
    path_losses: usize,
    #[options(
        no_short,
        help = "number of times in a run that requests with one part in their prompts crash engines",
        default = "1"
    )]
    deadly: usize,
    #[options(
        no_short,
        help = "number of times in a run that most new connections go to one VM while all VMs have little processor time; engines are doubled",
        default = "0"
    )]
    skews: usize,
    #[options(
        no_short,
        help = "additional calls per second in such a time",
        default = "200"
    )]
    skew_rate: f64,
    #[options(
        no_short,
        help = "share of these calls that goes to one VM",
        default = "0.9"
    )]
    skew_share: f64,
    #[options(
        no_short,
        help = "microseconds of processor time that each daemon may use in every 50 ms of such a time",
        default = "1500"
    )]
    slice: u64,
    #[options(
        no_short,
        help = "number of times in a run that all, half or one of the targets fall silent several times for up to 4 s, with open connections",
        default = "0"
    )]
    silences: usize,
    #[options(
        no_short,
        help = "callers at each VM that keep their connection until the process is gone, and send some bodies seconds after the heads",
        default = "0"
    )]
    residents: usize,
    #[options(help = "number of availability zones", default = "2")]
    zones: usize,
    #[options(help = "number of VMs in each zone", default = "2")]
    vms: usize,
    #[options(
        no_short,
        help = "number of software versions among the targets",
        default = "2"
    )]
    software: usize,
    #[options(
        no_short,
        help = "number of adapters that requests name",
        default = "12"
    )]
    adapters: usize,
    #[options(
        no_short,
        help = "repeat a failed run with fewer faults to find those needed for the failure"
    )]
    shrink: bool,
    #[options(
        no_short,
        help = "inject the faults of this schedule file instead of drawing them",
        meta = "FILE"
    )]
    schedule: Option<PathBuf>,
    #[options(
        help = "path of the daemon's executable",
        default = "target/release/hoplandingd",
        meta = "FILE"
    )]
    daemon: PathBuf,
    #[options(
        help = "directory for settings, logs, schedules and the report",
        default = "target/soak",
        meta = "DIR"
    )]
    out: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = SoakArgs::parse_args_default_or_exit();
    match tokio::select! {
        result = run_all(&args) => result,
        // Dropping the unfinished run kills its daemons.
        result = wait_for_interrupt() => result,
    } {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            eprintln!("interrupted by a signal; all daemons of the run were killed");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!(
                "run failed: {error}; if the daemon is missing, build it with `cargo build --release` or give its path with --daemon"
            );
            ExitCode::from(2)
        }
    }
}

/// Waits for SIGINT, SIGTERM or SIGHUP and returns an `Interrupted` error.
async fn wait_for_interrupt() -> io::Result<usize> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
        _ = hang_up.recv() => {}
    }
    Err(io::ErrorKind::Interrupted.into())
}

/// Executes a run for every seed and returns the number of runs with violations.
async fn run_all(args: &SoakArgs) -> io::Result<usize> {
    let mut outcomes = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let plan = plan(args, seed)?;
        let outcome = run_soak(&plan).await?;
        println!("{}", report::text(&outcome));
        if !outcome.violations.is_empty() {
            let folder = plan.folder.display();
            println!(
                "  reproduce with: hoplanding-soak --seed {seed} --requests {} --zones {} --vms {} --adapters {} --software {} --schedule {folder}/faults.json",
                args.requests, args.zones, args.vms, args.adapters, args.software
            );
            if args.shrink {
                shrink(&plan, &outcome).await?;
            }
        }
        outcomes.push(outcome);
    }
    let page = report::page(&outcomes).map_err(io::Error::other)?;
    fs::write(args.out.join("report.html"), page)?;
    let failed = outcomes
        .iter()
        .filter(|outcome| !outcome.violations.is_empty());
    let failed = failed.count();
    println!("{} seeds, {failed} with violations", outcomes.len());
    Ok(failed)
}

fn plan(args: &SoakArgs, seed: u64) -> io::Result<RunPlan> {
    let faults: Option<Vec<PlannedFault>> = match &args.schedule {
        Some(path) => Some(serde_json::from_str(&fs::read_to_string(path)?)?),
        None => None,
    };
    Ok(RunPlan {
        seed,
        requests: args.requests,
        rate: 60.0,
        zones: args.zones,
        vms_per_zone: args.vms,
        engines_per_zone: if args.skews > 0 { 4 } else { 2 },
        software_versions: args.software,
        adapters: args.adapters,
        faults,
        fault_count: args.faults,
        extra_fault_count: args.beside,
        config_loss_count: args.losses,
        path_loss_count: args.path_losses,
        deadly_part_count: args.deadly,
        skew_count: args.skews,
        silence_count: args.silences,
        residents: args.residents,
        skew: SkewPlan {
            rate: args.skew_rate,
            share: args.skew_share,
            processor_slice: Duration::from_micros(args.slice),
        },
        program: args.daemon.clone(),
        folder: args.out.join(format!("seed-{seed}")),
        defect: InjectedDefect::None,
    })
}

/// Repeats a failed run with one fault removed at a time, and drops each fault without which the run still fails.
async fn shrink(plan: &RunPlan, failed: &RunOutcome) -> io::Result<()> {
    let mut needed = failed.faults.clone();
    let mut index = 0;
    while index < needed.len() {
        let mut fewer = needed.clone();
        fewer.remove(index);
        let mut smaller = plan.clone();
        smaller.folder = plan.folder.join("shrunk");
        smaller.faults = Some(fewer.clone());
        if run_soak(&smaller).await?.violations.is_empty() {
            index += 1;
        } else {
            needed = fewer;
        }
    }
    let written = serde_json::to_string_pretty(&needed)?;
    fs::write(plan.folder.join("needed.json"), &written)?;
    println!("  faults needed for the failure: {written}");
    Ok(())
}
