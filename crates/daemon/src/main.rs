//! Entry of the daemon.

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

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a planned stop that left work.
const EXIT_WORK_LEFT: u8 = 3;

fn main() -> ExitCode {
    let args = DaemonArgs::parse_args_default_or_exit();
    if args.version {
        println!("hoplandingd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let opened = SettingsFile::open(args.config_path())
        .and_then(|file| Ok((DaemonSettings::parse(file.text())?, file)));
    let (settings, file) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!(
                "E{} {}: {error}",
                Event::SettingsInvalid.number(),
                Event::SettingsInvalid.text()
            );
            return ExitCode::from(EXIT_SETTINGS);
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
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let code = match run(settings, file) {
        Ok(code) => code,
        Err(error) => {
            event!(
                Event::SettingsInvalid,
                "the system refuses what the daemon needs ({error}): change the addresses in the settings, or its limits"
            );
            ExitCode::from(EXIT_SETTINGS)
        }
    };
    // Writes the lines that wait.
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
        // One thread: a small VM has a part of one core.
        DaemonSettings::Direct(settings) => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?
            .block_on(run_direct(*settings, file)),
    }
}

async fn run_direct(settings: DirectSettings, file: SettingsFile) -> io::Result<ExitCode> {
    let daemon = DirectDaemon::start(settings).await?;
    let hang_up = signal(SignalKind::hangup())?;
    tokio::select! {
        () = daemon.watch_settings(file, hang_up) => {}
        stopped = stop_signal() => stopped?,
    }
    let left = daemon.stop().await;
    Ok(exit_code(left > 0))
}

async fn run_via_holder(settings: Settings) -> io::Result<ExitCode> {
    let daemon = RunningDaemon::start(settings).await?;
    tokio::spawn(note_hang_ups(signal(SignalKind::hangup())?));
    stop_signal().await?;
    let report = daemon.stop().await;
    Ok(exit_code(report.open_requests > 0))
}

fn exit_code(is_work_left: bool) -> ExitCode {
    if is_work_left {
        ExitCode::from(EXIT_WORK_LEFT)
    } else {
        ExitCode::SUCCESS
    }
}

/// Waits for a signal to stop.
async fn stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Says that a hang-up came, which changes nothing in this mode: its settings are read at the start.
async fn note_hang_ups(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        event!(Event::HangupReceived);
    }
}
