//! The operators' tool: sends statements to any daemon and shows what it answers.
//!
//! | module | job |
//! |---|---|
//! | [`account`] | what became of requests, and why, from the logs of several daemons |
//! | [`args`] | arguments and subcommands |
//! | [`client`] | the daemon's operators' interface |
//! | [`explain_log`] | a request's way through the logs of several daemons |
//! | [`log_lines`] | lines of the daemons' logs |
//! | [`show`] | tables and JSON for people and scripts |
//! | [`prompt`] | the prompt that `hoplanding` alone opens |

pub mod account;
pub mod args;
pub mod client;
pub mod explain_log;
pub mod log_lines;
pub mod prompt;
pub mod show;

pub use args::CliArgs;

use crate::{
    account::{RequestLog, account},
    args::{AccountArgs, CliCommand, LogArgs, OutputFormat},
    client::{DaemonClient, StatementError},
    explain_log::{find_lines, verdict},
};
use std::process::ExitCode;

/// Runs the tool. Exit codes: 0 done, 1 refused, 2 wrong use, 3 daemon out of reach, 4 outcome unknown.
pub async fn run(args: CliArgs) -> ExitCode {
    if args.version {
        println!("hoplanding {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(help) = args.help_text() {
        println!("{help}");
        return ExitCode::SUCCESS;
    }
    let format = if args.json {
        OutputFormat::Json
    } else {
        OutputFormat::Table
    };
    let client = DaemonClient::new(&args.daemon_url(), &args.operator_token());
    match &args.command {
        Some(CliCommand::ExplainLog(args)) => explain_logs(args),
        Some(CliCommand::Account(args)) => show_account(args, format),
        Some(command) => {
            let statement = command.statement().unwrap_or_default();
            run_statement(&client, &statement, format).await
        }
        None => prompt::run(&client, format).await,
    }
}

/// Shows the lines of logs that name a request or a target, and how the request ended.
fn explain_logs(args: &LogArgs) -> ExitCode {
    match find_lines(&args.subject, &args.files) {
        Ok(lines) if lines.is_empty() => {
            println!(
                "no line names {}: name the logs of all VMs, or look whether lines of its time are there at all",
                args.subject
            );
            ExitCode::from(1)
        }
        Ok(lines) => {
            for line in &lines {
                println!("{line}");
            }
            if let Some(verdict) = verdict(&lines) {
                println!("\n{verdict}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Shows what became of the requests in logs, and why.
fn show_account(args: &AccountArgs, format: OutputFormat) -> ExitCode {
    if args.files.is_empty() {
        eprintln!("no log is named: name the files that the daemons' output went to");
        return ExitCode::from(2);
    }
    let log = match RequestLog::read(&args.files) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let table = account(&log, args.span);
    match format {
        OutputFormat::Table => println!("{table}"),
        OutputFormat::Json => println!("{}", serde_json::json!(table)),
    }
    ExitCode::SUCCESS
}

/// Sends one statement and shows the answer.
pub async fn run_statement(client: &DaemonClient, text: &str, format: OutputFormat) -> ExitCode {
    match client.send(text).await {
        Ok(answer) => {
            show::print_answer(&answer, format);
            ExitCode::SUCCESS
        }
        Err(error) => {
            show::print_error(&error, format);
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &StatementError) -> u8 {
    match error {
        StatementError::Unreachable { .. } => 3,
        StatementError::Refused { code, .. } => match code.as_str() {
            "parse" | "query" => 2,
            "outcome_unknown" => 4,
            _ => 1,
        },
    }
}
