//! Command-line arguments.
//!
//! `gumdrop` prints the doc comments of option structs as help text.

use gumdrop::{Options, ParsingStyle};

/// Output format of answers and errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned text.
    Table,
    /// JSON on one line, for scripts.
    Json,
}

/// Arguments of `hoplanding`.
#[derive(Debug, Default, Options)]
pub struct CliArgs {
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// URL of a daemon.
    #[options(
        help = "URL of any daemon (default: $HOPLANDING_URL, or http://127.0.0.1:7400)",
        meta = "URL"
    )]
    pub url: Option<String>,
    /// Token of the operator.
    #[options(
        help = "token of the operator (default: $HOPLANDING_TOKEN)",
        meta = "TOKEN"
    )]
    pub token: Option<String>,
    /// Selects JSON output.
    #[options(help = "show JSON in place of tables")]
    pub json: bool,
    /// Prints the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// Subcommand; without one the interactive prompt opens.
    #[options(command)]
    pub command: Option<CliCommand>,
}

/// Subcommands of `hoplanding`.
#[derive(Debug, Options)]
pub enum CliCommand {
    /// Sends a statement as typed.
    #[options(help = "send a statement: do 'TEXT'")]
    Do(StatementArgs),
    /// Shows a table.
    #[options(help = "show a table: show TABLE [where ...] [order by ...] [limit N]")]
    Show(StatementArgs),
    /// Explains an adapter, a request, or where a call would go.
    #[options(
        help = "explain adapter NAME, explain request ID, or explain call HOST PATH [MODEL [TOKENS]]"
    )]
    Explain(StatementArgs),
    /// Drains a target.
    #[options(help = "drain a target: drain NAME")]
    Drain(StatementArgs),
    /// Returns a drained target to service.
    #[options(help = "give a drained target work again: undrain NAME")]
    Undrain(StatementArgs),
    /// Explains a request or a target from logs.
    #[options(help = "explain from logs: explain-log REQUEST-OR-TARGET FILE...")]
    ExplainLog(ExplainLogArgs),
    /// Summarizes late, refused and failed requests from logs.
    #[options(help = "late, refused and failed requests by cause, from logs: account FILE...")]
    Account(AccountArgs),
}

/// The logs that are summed.
#[derive(Debug, Options)]
pub struct AccountArgs {
    /// Prints the help.
    #[options(help = "print this help; docs/OPERATIONS.md says what the causes mean")]
    pub help: bool,
    /// Length of a time span in seconds; 0 puts everything into one span.
    #[options(help = "seconds of a span (default: all in one)", meta = "SECONDS")]
    pub span: u32,
    /// Log files of the daemons.
    #[options(free, help = "files that the daemons' output went to")]
    pub files: Vec<String>,
}

/// What is looked for, and in which logs.
#[derive(Debug, Options)]
pub struct ExplainLogArgs {
    /// Prints the help.
    #[options(help = "print this help; docs/EVENTS.md has every event")]
    pub help: bool,
    /// Id of a request, or name of a target.
    #[options(free, required, help = "id of a request, or name of a target")]
    pub subject: String,
    /// Log files of the daemons.
    #[options(free, help = "files that the daemons' output went to")]
    pub files: Vec<String>,
}

/// Words of a statement.
#[derive(Debug, Options)]
pub struct StatementArgs {
    /// Prints the help.
    #[options(help = "print this help; docs/LANGUAGE.md has every statement")]
    pub help: bool,
    /// Words of the statement, joined by spaces.
    #[options(free, help = "the rest of the statement")]
    pub words: Vec<String>,
}

impl CliCommand {
    /// Statement that the subcommand sends; `None` for those that read only logs.
    #[must_use]
    pub fn statement(&self) -> Option<String> {
        let (prefix, args) = match self {
            Self::Do(args) => ("", args),
            Self::Show(args) => ("show ", args),
            Self::Explain(args) => ("explain ", args),
            Self::Drain(args) => ("drain target ", args),
            Self::Undrain(args) => ("undrain target ", args),
            Self::ExplainLog(_) | Self::Account(_) => return None,
        };
        Some(format!("{prefix}{}", args.words.join(" ")))
    }
}

/// Names of the subcommands; any other first word begins a statement.
const COMMANDS: [&str; 7] = [
    "do",
    "show",
    "explain",
    "drain",
    "undrain",
    "explain-log",
    "account",
];
/// Options followed by a value.
const VALUE_OPTIONS: [&str; 4] = ["-u", "--url", "-t", "--token"];

impl CliArgs {
    /// Parses the arguments; `hoplanding 'TEXT'` is short for `hoplanding do 'TEXT'`.
    ///
    /// # Errors
    /// Returns a message for the user if an argument is unknown or a value is missing.
    pub fn parse(words: &[String]) -> Result<Self, String> {
        let words = insert_default_command(words);
        let args = Self::parse_args(&words, ParsingStyle::AllOptions);
        args.map_err(|error| format!("{error}: see hoplanding --help"))
    }

    /// Help text, if `--help` was given.
    #[must_use]
    pub fn help_text(&self) -> Option<String> {
        match &self.command {
            Some(command) if self.help || command.help_requested() => {
                Some(command.self_usage().to_owned())
            }
            None if self.help => Some(format!(
                "Usage: hoplanding [OPTIONS] ['STATEMENT' | COMMAND WORDS...]\n\n{}\n\nCommands:\n{}\n\n\
                 Without a statement a prompt opens. docs/LANGUAGE.md has every statement.",
                Self::usage(),
                Self::command_list().unwrap_or_default()
            )),
            _ => None,
        }
    }

    /// URL of the daemon: `--url`, `HOPLANDING_URL` or the default port on this machine.
    #[must_use]
    pub fn daemon_url(&self) -> String {
        let url = self
            .url
            .clone()
            .or_else(|| std::env::var("HOPLANDING_URL").ok());
        url.unwrap_or_else(|| "http://127.0.0.1:7400".to_owned())
    }

    /// Token of the operator: `--token`, `HOPLANDING_TOKEN` or empty.
    #[must_use]
    pub fn operator_token(&self) -> String {
        let token = self
            .token
            .clone()
            .or_else(|| std::env::var("HOPLANDING_TOKEN").ok());
        token.unwrap_or_default()
    }
}

/// Inserts `do` before a statement that is given without a subcommand.
fn insert_default_command(words: &[String]) -> Vec<String> {
    let mut index = 0;
    while let Some(word) = words.get(index) {
        if !word.starts_with('-') {
            break;
        }
        index += if VALUE_OPTIONS.contains(&word.as_str()) {
            2
        } else {
            1
        };
    }
    let mut words = words.to_vec();
    if let Some(position) = words.iter().position(|word| word == "--json") {
        // `--json` is also accepted after the statement.
        let json = words.remove(position);
        words.insert(0, json);
        index += usize::from(position >= index);
    }
    if words
        .get(index)
        .is_some_and(|first| !COMMANDS.contains(&first.as_str()))
    {
        words.insert(index, "do".to_owned());
    }
    words
}
