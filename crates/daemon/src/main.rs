//! Entry of the daemon.

use gumdrop::Options;
use hoplandingd::{
    RunningDaemon, event,
    events::Event,
    options::{DaemonArgs, LogSettings, Settings},
};
use simplelog::{
    ColorChoice, Config, ConfigBuilder, LevelFilter, TermLogger, TerminalMode, WriteLogger,
};
use std::{fs::OpenOptions, process::ExitCode};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a planned stop that left work.
const EXIT_WORK_LEFT: u8 = 3;

#[tokio::main]
async fn main() -> ExitCode {
    let args = DaemonArgs::parse_args_default_or_exit();
    if args.version {
        println!("hoplandingd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match Settings::read(args.config_path()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!(
                "E{} {}: {error}",
                Event::SettingsWrong.number(),
                Event::SettingsWrong.text()
            );
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("settings are in order");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(&settings.log) {
        eprintln!("the log file can't be opened ({error}): change log.file");
        return ExitCode::from(EXIT_SETTINGS);
    }
    run(settings).await
}

async fn run(settings: Settings) -> ExitCode {
    let daemon = match RunningDaemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            event!(
                Event::SettingsWrong,
                "an address can't be had ({error}): change caller_address or peer_address"
            );
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return ExitCode::FAILURE;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let report = daemon.stop().await;
    if report.open_requests > 0 {
        ExitCode::from(EXIT_WORK_LEFT)
    } else {
        ExitCode::SUCCESS
    }
}

fn start_logging(settings: &LogSettings) -> std::io::Result<()> {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let config: Config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .add_filter_allow_str("hoplanding")
        .build();
    let result = match &settings.file {
        Some(path) => WriteLogger::init(
            level,
            config,
            OpenOptions::new().create(true).append(true).open(path)?,
        ),
        None => TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never),
    };
    // A second logger can't be set, and there is none before this one.
    debug_assert!(result.is_ok());
    Ok(())
}
