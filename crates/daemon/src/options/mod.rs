//! Command-line arguments and the settings file.
//!
//! The file is JSON. All faults are collected in one pass and reported together, each with its key, value and remedy.

mod args;
mod mode;
mod reader;
mod settings;

pub use args::DaemonArgs;
pub use mode::DaemonSettings;
pub(crate) use reader::{SectionReader, parse_settings};
pub use reader::{SettingsError, SettingsFault, read_settings_file};
pub(crate) use settings::read_log_settings;
pub use settings::{
    CallerSettings, LimitSettings, LogSettings, MembershipSettings, OperatorSettings,
    PlatformSettings, SeedSettings, Settings, StopSettings,
};
