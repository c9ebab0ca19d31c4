//! Entry point of `hoplandingd`.

use gumdrop::Options;
use hoplandingd::{
    RunningDaemon,
    direct::{daemon::DirectDaemon, reload::SettingsFile, settings::DirectSettings},
    event,
    events::Event,
    logging::LogWriter,
    options::{DaemonArgs, DaemonSettings, Settings},
};
use std::{io, process::ExitCode};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code for a planned stop that timed out with requests open.
const EXIT_REQUESTS_LEFT: u8 = 3;

fn main() -> ExitCode {
    let args = DaemonArgs::parse_args_default_or_exit();
    if args.version {
        println!("hoplandingd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let loaded = SettingsFile::open(args.config_path())
        .and_then(|file| Ok((DaemonSettings::parse(file.text())?, file)));
    let (settings, file) = match loaded {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!(
                "E{} {}: {error}",
                Event::SettingsInvalid.number(),
                Event::SettingsInvalid.text()
            );
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    let log = match LogWriter::start(settings.log()) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("the log file can't be opened ({error}): change log.file");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let code = match run(settings, file) {
        Ok(code) => code,
        Err(error) => {
            event!(
                Event::SettingsInvalid,
                "the operating system refused a resource ({error}): change the addresses in the settings, or raise the limits of the system"
            );
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    };
    // Flushes the queued log lines.
    drop(log);
    code
}

/// Runs until a stop signal.
fn run(settings: DaemonSettings, file: SettingsFile) -> io::Result<ExitCode> {
    match settings {
        DaemonSettings::ViaHolder(settings) => tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()?
            .block_on(run_via_holder(*settings)),
        // One thread, as a small VM has only a fraction of a core.
        DaemonSettings::Direct(settings) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?
            .block_on(run_direct(*settings, file)),
    }
}

async fn run_direct(settings: DirectSettings, file: SettingsFile) -> io::Result<ExitCode> {
    let daemon = DirectDaemon::start(settings).await?;
    let hangup = signal(SignalKind::hangup())?;
    tokio::select! {
        () = daemon.watch_settings(file, hangup) => {}
        stopped = stop_signal() => stopped?,
    }
    let open_requests = daemon.stop().await;
    Ok(exit_code(open_requests > 0))
}

async fn run_via_holder(settings: Settings) -> io::Result<ExitCode> {
    let daemon = RunningDaemon::start(settings).await?;
    tokio::spawn(log_hangups(signal(SignalKind::hangup())?));
    stop_signal().await?;
    let report = daemon.stop().await;
    Ok(exit_code(report.open_requests > 0))
}

fn exit_code(has_open_requests: bool) -> ExitCode {
    if has_open_requests {
        ExitCode::from(EXIT_REQUESTS_LEFT)
    } else {
        ExitCode::SUCCESS
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Logs each SIGHUP. It has no effect in this mode, in which settings are only read at the start.
async fn log_hangups(mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        event!(Event::HangupReceived);
    }
}
