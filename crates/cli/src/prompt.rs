//! Interactive prompt that sends each line as a statement.

use crate::{args::OutputFormat, client::DaemonClient, run_statement};
use rustyline::{DefaultEditor, error::ReadlineError};
use std::process::ExitCode;

/// Reads statements until `exit`, `quit` or the end of input, and returns the exit code of the last one.
pub async fn run(client: &DaemonClient, format: OutputFormat) -> ExitCode {
    let mut editor = match DefaultEditor::new() {
        Ok(editor) => editor,
        Err(error) => {
            eprintln!(
                "interactive prompt could not be opened ({error}): give the statement as an argument"
            );
            return ExitCode::from(2);
        }
    };
    let mut exit_code = ExitCode::SUCCESS;
    loop {
        match editor.readline("hoplanding> ") {
            Ok(line) if matches!(line.trim(), "exit" | "quit") => return exit_code,
            Ok(line) if line.trim().is_empty() => {}
            Ok(line) => {
                // The history is a convenience; failure to record a line is ignored.
                let _ = editor.add_history_entry(line.as_str());
                exit_code = run_statement(client, &line, format).await;
            }
            Err(ReadlineError::Interrupted) => {}
            Err(_) => return exit_code,
        }
    }
}
