//! Arguments and settings.

mod args;
mod reader;
mod settings;

pub use args::DaemonArgs;
pub use reader::{SettingsError, SettingsFault};
pub use settings::{
    CallerSettings, LimitSettings, LogSettings, MembershipSettings, OperatorSettings,
    PlatformSettings, SeedSettings, Settings, StopSettings,
};
