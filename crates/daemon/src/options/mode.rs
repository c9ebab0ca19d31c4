//! Settings of either mode of the daemon, selected by the key `mode` of the settings file.

use crate::{
    direct::settings::DirectSettings,
    options::{LogSettings, Settings, SettingsError},
};

/// Settings of the daemon in either mode.
#[derive(Clone, Debug)]
pub enum DaemonSettings {
    /// Gateways send requests through the daemon that holds the target.
    ViaHolder(Box<Settings>),
    /// Gateways send requests directly to targets.
    Direct(Box<DirectSettings>),
}

impl DaemonSettings {
    /// Parses settings from JSON; `"mode": "direct"` selects the direct mode.
    ///
    /// # Errors
    /// Lists every fault with its key, value and remedy.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        if DirectSettings::is_direct_mode(text) {
            DirectSettings::parse(text).map(|settings| Self::Direct(Box::new(settings)))
        } else {
            Settings::parse(text).map(|settings| Self::ViaHolder(Box::new(settings)))
        }
    }

    /// Returns the log settings.
    #[must_use]
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::ViaHolder(settings) => &settings.log,
            Self::Direct(settings) => &settings.log,
        }
    }
}
