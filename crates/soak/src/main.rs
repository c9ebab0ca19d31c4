//! Entry of the soak.

use gumdrop::Options;
use hoplanding_soak::{
    report,
    run::{RunOutcome, RunPlan, run_soak},
    schedule::PlannedFault,
    targets::InjectedDefect,
};
use std::{fs, io, path::PathBuf, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

/// Arguments of `hoplanding-soak`.
#[derive(Debug, Options)]
struct SoakArgs {
    /// Prints the help.
    #[options(help = "print this help")]
    help: bool,
    /// First seed.
    #[options(help = "first seed", default = "1")]
    seed: u64,
    /// Number of seeds.
    #[options(no_short, help = "number of seeds", default = "1")]
    seeds: u64,
    /// Requests of a run.
    #[options(help = "requests of a run", default = "600")]
    requests: usize,
    /// Faults of a run.
    #[options(no_short, help = "faults of a run", default = "8")]
    faults: usize,
    /// Faults of a run beside those.
    #[options(
        no_short,
        help = "faults beside those: targets that tell of themselves, logs from a copy",
        default = "4"
    )]
    beside: usize,
    /// Zones.
    #[options(help = "availability zones", default = "2")]
    zones: usize,
    /// VMs of a zone.
    #[options(help = "VMs of a zone", default = "2")]
    vms: usize,
    /// Adapters that are asked for.
    #[options(no_short, help = "adapters that are asked for", default = "12")]
    adapters: usize,
    /// Drops faults that a failure does not need.
    #[options(
        no_short,
        help = "play a failed run again with fewer faults, as long as it fails"
    )]
    shrink: bool,
    /// A schedule to play.
    #[options(no_short, help = "play the faults of this file", meta = "FILE")]
    schedule: Option<PathBuf>,
    /// The daemon.
    #[options(
        help = "the daemon's program",
        default = "target/release/hoplandingd",
        meta = "FILE"
    )]
    daemon: PathBuf,
    /// Where runs are kept.
    #[options(
        help = "folder for settings, logs, schedules and the report",
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
        // Dropping the runs ends what they started.
        result = interrupted() => result,
    } {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {
            eprintln!("the soak was interrupted; the daemons that it started have ended");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!(
                "the soak can't go on ({error}): build the daemon with `cargo build --release`, or name it with --daemon"
            );
            ExitCode::from(2)
        }
    }
}

/// Waits for a signal that asks this program to end.
async fn interrupted() -> io::Result<usize> {
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

/// Plays every seed; returns how many broke a promise.
async fn run_all(args: &SoakArgs) -> io::Result<usize> {
    let mut outcomes = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let plan = plan(args, seed)?;
        let outcome = run_soak(&plan).await?;
        println!("{}", report::text(&outcome));
        if !outcome.violations.is_empty() {
            let kept = plan.folder.display();
            println!(
                "  again: hoplanding-soak --seed {seed} --requests {} --zones {} --vms {} --adapters {} --schedule {kept}/faults.json",
                args.requests, args.zones, args.vms, args.adapters
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
    println!("{} seeds, {failed} with broken promises", outcomes.len());
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
        engines_per_zone: 2,
        adapters: args.adapters,
        faults,
        fault_count: args.faults,
        extra_fault_count: args.beside,
        program: args.daemon.clone(),
        folder: args.out.join(format!("seed-{seed}")),
        defect: InjectedDefect::None,
    })
}

/// Plays a failed run again without one fault after the other, and keeps out what the failure does not need.
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
    println!("  needed faults: {written}");
    Ok(())
}
