//! Settings that change while the daemon runs.
//!
//! A hang-up signal says that the file has changed, and it may also change without one, so it is compared from time to
//! time. What can be changed in a running process is; the rest is named and waits for a restart.

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

/// Pause between two looks at the file.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// The settings file, as it was last read.
#[derive(Debug)]
pub struct SettingsFile {
    path: String,
    text: String,
}

impl SettingsFile {
    /// The file as it is now.
    ///
    /// # Errors
    /// When it can't be read.
    pub fn open(path: &str) -> Result<Self, SettingsError> {
        Ok(Self {
            path: path.to_owned(),
            text: read_settings_file(path)?,
        })
    }

    /// Its text at the last look.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Its settings, if it has changed since the last look.
    ///
    /// # Errors
    /// When it can't be read, or the settings are wrong; the same text is not complained about twice.
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
    /// Takes over changes of the settings file until the future is dropped.
    pub async fn watch_settings(&self, mut file: SettingsFile, mut hang_up: Signal) {
        let mut look = interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = hang_up.recv() => event!(Event::HangupReceived),
                _ = look.tick() => {}
            }
            match file.read_changes() {
                Ok(Some(settings)) => self.apply_settings(&settings),
                Ok(None) => {}
                Err(error) => event!(Event::ReloadRejected, "{error}"),
            }
        }
    }

    /// Takes over what can change in a running process.
    pub fn apply_settings(&self, settings: &DirectSettings) {
        {
            let mut tables = self.fleet().tables();
            tables.retries.set_rule(settings.retries);
            tables.policy = settings.policy;
        }
        // The line about the change is written whatever the level was and will be.
        set_level("info");
        let waiting = self.settings().keys_needing_restart(settings);
        if waiting.is_empty() {
            event!(Event::SettingsReloaded, "all of it");
        } else {
            event!(
                Event::SettingsReloaded,
                "but for {}: restart the daemon for these",
                waiting.join(", ")
            );
        }
        set_level(&settings.log.level);
    }
}

impl DirectSettings {
    /// Keys whose changes wait for a restart.
    #[must_use]
    pub fn keys_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let differs = [
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
            ("leases", self.leases != new.leases),
            (
                "orders_fenced",
                self.has_order_fencing != new.has_order_fencing,
            ),
            ("pace", self.timing != new.timing),
            ("log.file", self.log.file != new.log.file),
        ];
        differs
            .into_iter()
            .filter_map(|(key, differs)| differs.then_some(key))
            .collect()
    }
}
