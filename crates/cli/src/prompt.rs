//! The prompt.

use crate::{args::OutputFormat, client::DaemonClient, run_statement};
use rustyline::{DefaultEditor, error::ReadlineError};
use std::process::ExitCode;

/// Reads statements until the end of input, or `exit`.
pub async fn run(client: &DaemonClient, format: OutputFormat) -> ExitCode {
    let mut editor = match DefaultEditor::new() {
        Ok(editor) => editor,
        Err(error) => {
            eprintln!("no prompt can be opened ({error}): give the statement as an argument");
            return ExitCode::from(2);
        }
    };
    let mut last = ExitCode::SUCCESS;
    loop {
        match editor.readline("hoplanding> ") {
            Ok(line) if matches!(line.trim(), "exit" | "quit") => return last,
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                // A history that can't be kept is no reason to stop.
                let _ = editor.add_history_entry(line.as_str());
                last = run_statement(client, &line, format).await;
            }
            Err(ReadlineError::Interrupted) => {}
            Err(_) => return last,
        }
    }
}
