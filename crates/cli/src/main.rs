//! Entry point of the `hoplanding` command.

use hoplanding::{CliArgs, run};
use std::process::ExitCode;

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let words: Vec<_> = std::env::args().skip(1).collect();
    match CliArgs::parse(&words) {
        Ok(args) => run(args).await,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
