//! Reloads the settings file while the daemon runs.
//!
//! The file is read again on a hang-up signal (SIGHUP), and periodically, because it may change without a signal.
//! Settings that can change in a running process take effect at once; the keys of all others are logged and need a
//! restart.

use crate::{
    direct::{daemon::DirectDaemon, settings::DirectSettings},
    event,
    events::Event,
    logging::set_level,
    options::{SettingsError, read_settings_file},
};
use std::time::Duration;
use tokio::{
    signal::unix::Signal,
    time::{MissedTickBehavior, interval},
};

/// Interval between checks of the file.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file and its text as last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: String,
    text: String,
}

impl SettingsFile {
    /// Reads the file at this path.
    ///
    /// # Errors
    /// Returns [`SettingsError::Unreadable`] if the file cannot be read.
    pub fn open(path: &str) -> Result<Self, SettingsError> {
        Ok(Self {
            path: path.to_owned(),
            text: read_settings_file(path)?,
        })
    }

    /// The text of the file as last read.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Reads the file again and returns its settings if the text has changed.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or its settings are invalid. The same invalid text is reported only
    /// once.
    pub fn read_changes(&mut self) -> Result<Option<DirectSettings>, SettingsError> {
        let text = read_settings_file(&self.path)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        DirectSettings::parse(&self.text).map(Some)
    }
}

impl DirectDaemon {
    /// Applies changes of the settings file until the future is dropped.
    pub async fn watch_settings(&self, mut file: SettingsFile, mut hang_up: Signal) {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = hang_up.recv() => event!(Event::HangupReceived),
                _ = poll.tick() => {}
            }
            match file.read_changes() {
                Ok(Some(settings)) => self.apply_settings(&settings),
                Ok(None) => {}
                Err(error) => event!(Event::ReloadRejected, "{error}"),
            }
        }
    }

    /// Applies the settings that can change in a running process, and logs the keys that need a restart.
    pub fn apply_settings(&self, settings: &DirectSettings) {
        {
            let mut tables = self.fleet().tables();
            tables.retries.set_rule(settings.retries);
            tables.policy = settings.policy;
        }
        self.fleet().answer_buffers.set_rule(settings.answers);
        // Logs the change regardless of the previous and the new log level.
        set_level("info");
        let pending_keys = self.settings().keys_needing_restart(settings);
        if pending_keys.is_empty() {
            event!(Event::SettingsReloaded, "all changes are in force");
        } else {
            event!(
                Event::SettingsReloaded,
                "but for {}: restart the daemon to apply these",
                pending_keys.join(", ")
            );
        }
        set_level(&settings.log.level);
    }
}

impl DirectSettings {
    /// Keys that differ in the new settings and take effect only after a restart.
    #[must_use]
    pub fn keys_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let comparisons = [
            ("vm", self.vm != new.vm),
            ("zone", self.zone != new.zone),
            ("zones", self.zones != new.zones),
            ("cores", self.cpu_millicores != new.cpu_millicores),
            ("caller_address", self.caller_address != new.caller_address),
            ("ready_address", self.ready_address != new.ready_address),
            (
                "platform_address",
                self.platform_address != new.platform_address,
            ),
            (
                "metrics_address",
                self.metrics_address != new.metrics_address,
            ),
            ("revocation", self.revocation != new.revocation),
            ("quotas", self.quotas != new.quotas),
            ("returns", self.returns != new.returns),
            ("plain", self.has_uneven_targets != new.has_uneven_targets),
            ("leases", self.leases != new.leases),
            (
                "orders_fenced",
                self.has_order_fencing != new.has_order_fencing,
            ),
            ("zone_choice", self.zone_choice != new.zone_choice),
            ("pace", self.timing != new.timing),
            ("log.file", self.log.file != new.log.file),
        ];
        comparisons
            .into_iter()
            .filter_map(|(key, differs)| differs.then_some(key))
            .collect()
    }
}
