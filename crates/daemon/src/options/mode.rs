//! The settings of either mode, by the file's own word.

use crate::{
    direct::settings::DirectSettings,
    options::{LogSettings, Settings, SettingsError},
};

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub enum DaemonSettings {
    /// Requests go by way of the holder of a target.
    ViaHolder(Box<Settings>),
    /// Gateways send straight to targets.
    Direct(Box<DirectSettings>),
}

impl DaemonSettings {
    /// Reads settings from JSON; `"mode": "direct"` asks for the direct mode.
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

    /// Where logs go.
    #[must_use]
    pub fn log(&self) -> &LogSettings {
        match self {
            Self::ViaHolder(settings) => &settings.log,
            Self::Direct(settings) => &settings.log,
        }
    }
}
