//! Command-line arguments of the daemon.

use gumdrop::Options;

/// Arguments of `hoplandingd`.
#[derive(Clone, Debug, Default, Options)]
pub struct DaemonArgs {
    /// Prints the help and exits.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the settings file.
    #[options(
        help = "path of the settings (default: hoplandingd.json)",
        meta = "FILE"
    )]
    pub config: Option<String>,
    /// Checks the settings, reports all faults and exits.
    #[options(no_short, help = "check the settings, report every fault, and end")]
    pub check: bool,
    /// Prints the version and exits.
    #[options(no_short, help = "print the version")]
    pub version: bool,
}

impl DaemonArgs {
    /// Returns the path of the settings file, `hoplandingd.json` by default.
    #[must_use]
    pub fn config_path(&self) -> &str {
        self.config.as_deref().unwrap_or("hoplandingd.json")
    }
}
