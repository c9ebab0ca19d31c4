//! Command-line tool for operators: sends statements to any daemon and prints the answers.
//!
//! | module | purpose |
//! |---|---|
//! | [`account`] | summary of late, refused and failed requests by cause, from logs |
//! | [`args`] | command-line arguments and subcommands |
//! | [`client`] | HTTP client of the daemons' operator API |
//! | [`explain_call`] | where a request would go now, by a daemon in direct mode |
//! | [`explain_log`] | log lines of several daemons about one request or target |
//! | [`log_lines`] | parser of the daemons' log lines |
//! | [`output`] | output as tables or JSON |
//! | [`prompt`] | interactive prompt, opened when no statement is given |

pub mod account;
pub mod args;
pub mod client;
pub mod explain_call;
pub mod explain_log;
pub mod log_lines;
pub mod output;
pub mod prompt;

pub use args::CliArgs;

use crate::{
    account::{RequestLog, summarize},
    args::{AccountArgs, CliCommand, ExplainLogArgs, OutputFormat},
    client::{DaemonClient, StatementError},
    explain_call::{ExplainError, fetch_explanations, format_explanation},
    explain_log::{describe_outcome, find_lines},
};
use std::process::ExitCode;

/// Runs the tool.
///
/// Exit codes: 0 success, 1 refused by the daemon, 2 usage error, 3 daemon unreachable, 4 outcome unknown.
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
        Some(CliCommand::Explain(words))
            if words.words.first().is_some_and(|word| word == "call") =>
        {
            explain_call(&args.daemon_url(), &words.words[1..], format).await
        }
        Some(command) => {
            let statement = command.statement().unwrap_or_default();
            run_statement(&client, &statement, format).await
        }
        None => prompt::run(&client, format).await,
    }
}

/// Prints where a request would go now.
async fn explain_call(url: &str, words: &[String], format: OutputFormat) -> ExitCode {
    match fetch_explanations(url, words).await {
        Ok(explanations) => {
            match format {
                OutputFormat::Json => println!("{}", serde_json::json!(explanations)),
                OutputFormat::Table => {
                    for explanation in &explanations {
                        println!("{}", format_explanation(explanation));
                    }
                }
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(match error {
                ExplainError::Usage => 2,
                ExplainError::Unreachable { .. } => 3,
                ExplainError::Refused(_) => 1,
            })
        }
    }
}

/// Prints the log lines that mention a request or target, and how the request ended.
fn explain_logs(args: &ExplainLogArgs) -> ExitCode {
    match find_lines(&args.subject, &args.files) {
        Ok(lines) if lines.is_empty() => {
            println!(
                "no log line mentions {}: name the logs of all VMs, and check that they cover the time in question",
                args.subject
            );
            ExitCode::from(1)
        }
        Ok(lines) => {
            for line in &lines {
                println!("{line}");
            }
            if let Some(outcome) = describe_outcome(&lines) {
                println!("\n{outcome}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Prints the summary of requests by cause.
fn show_account(args: &AccountArgs, format: OutputFormat) -> ExitCode {
    if args.files.is_empty() {
        eprintln!("no log file given: name the files that the daemons' output went to");
        return ExitCode::from(2);
    }
    let log = match RequestLog::read(&args.files) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let table = summarize(&log, args.span);
    match format {
        OutputFormat::Table => println!("{table}"),
        OutputFormat::Json => println!("{}", serde_json::json!(table)),
    }
    ExitCode::SUCCESS
}

/// Sends one statement, prints the answer or error, and returns the exit code (see [`run`]).
pub async fn run_statement(client: &DaemonClient, text: &str, format: OutputFormat) -> ExitCode {
    match client.send(text).await {
        Ok(answer) => {
            output::print_answer(&answer, format);
            ExitCode::SUCCESS
        }
        Err(error) => {
            output::print_error(&error, format);
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
