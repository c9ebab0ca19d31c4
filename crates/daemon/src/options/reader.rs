//! Settings reader that finds all faults in one pass.
//!
//! Each key is read from its section by name. An invalid value is recorded as a fault and replaced by a default, so that
//! reading goes on. When a section is finished, keys that were never read are recorded as unknown.

use serde_json::{Map, Value};
use std::{
    cell::RefCell,
    collections::BTreeSet,
    fmt, fs,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// One fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Key, prefixed with its sections.
    pub key: String,
    /// Value as found, or `missing`.
    pub value: String,
    /// How to correct the value.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.key, self.value, self.remedy)
    }
}

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {path} can't be read ({source}): name the file with --config")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// I/O error of the read.
        source: std::io::Error,
    },
    /// The file is not valid JSON.
    #[error("settings are not valid JSON ({0}): compare them with docs/hoplandingd.sample.json")]
    InvalidJson(#[from] serde_json::Error),
    /// Some keys or values are invalid.
    #[error("{} faults in the settings:\n{}", .0.len(), format_faults(.0))]
    Faults(Vec<SettingsFault>),
}

fn format_faults(faults: &[SettingsFault]) -> String {
    faults
        .iter()
        .map(|fault| format!("  {fault}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Reads the text of a settings file.
///
/// # Errors
/// Returns [`SettingsError::Unreadable`] if the file can't be read.
pub fn read_settings_file(path: &str) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Parses settings from JSON, collecting all faults.
pub(crate) fn parse_settings<T>(
    text: &str,
    read: impl FnOnce(&SectionReader<'_>) -> T,
) -> Result<T, SettingsError> {
    let value: Value = serde_json::from_str(text)?;
    let faults = RefCell::default();
    let root = SectionReader::root(&value, &faults);
    let settings = read(&root);
    root.finish();
    let faults = faults.take();
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(SettingsError::Faults(faults))
    }
}

/// Reader of one section of the settings.
pub(crate) struct SectionReader<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    read_keys: RefCell<BTreeSet<&'static str>>,
    faults: &'a RefCell<Vec<SettingsFault>>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn root(value: &'a Value, faults: &'a RefCell<Vec<SettingsFault>>) -> Self {
        Self::new(String::new(), Some(value), faults)
    }

    fn new(
        path: String,
        value: Option<&'a Value>,
        faults: &'a RefCell<Vec<SettingsFault>>,
    ) -> Self {
        let map = value.and_then(Value::as_object);
        let section = Self {
            path,
            map,
            read_keys: RefCell::default(),
            faults,
        };
        if let (Some(value), None) = (value, map) {
            section.add_fault_at(&section.path, Some(value), "write an object in braces");
        }
        section
    }

    fn key(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }

    fn add_fault_at(&self, key: &str, value: Option<&Value>, remedy: &str) {
        self.faults.borrow_mut().push(SettingsFault {
            key: key.to_owned(),
            value: value.map_or_else(|| "missing".to_owned(), Value::to_string),
            remedy: remedy.to_owned(),
        });
    }

    fn add_fault(&self, name: &str, remedy: &str) {
        self.add_fault_at(&self.key(name), self.peek(name), remedy);
    }

    fn peek(&self, name: &str) -> Option<&'a Value> {
        self.map.and_then(|map| map.get(name))
    }

    fn get(&self, name: &'static str) -> Option<&'a Value> {
        self.read_keys.borrow_mut().insert(name);
        self.peek(name)
    }

    /// Reads a required text.
    pub(crate) fn text(&self, name: &'static str, remedy: &str) -> String {
        match self.get(name).and_then(Value::as_str) {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.add_fault(name, remedy);
                String::new()
            }
        }
    }

    /// Reads an optional text.
    pub(crate) fn optional_text(&self, name: &'static str, remedy: &str) -> Option<String> {
        match self.get(name) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if !text.is_empty() => Some(text.clone()),
            Some(_) => {
                self.add_fault(name, remedy);
                None
            }
        }
    }

    /// Reads a required `IP:port`.
    pub(crate) fn address(&self, name: &'static str) -> SocketAddr {
        let parsed = self
            .get(name)
            .and_then(Value::as_str)
            .and_then(|text| text.parse().ok());
        parsed.unwrap_or_else(|| {
            self.add_fault(name, "write IP:port, such as 10.0.0.7:7400");
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    /// Reads an optional `IP:port`.
    pub(crate) fn optional_address(&self, name: &'static str) -> Option<SocketAddr> {
        match self.peek(name) {
            None | Some(Value::Null) => {
                self.get(name);
                None
            }
            Some(_) => Some(self.address(name)),
        }
    }

    /// Reads an IP address, or `None` if the key is absent or null.
    pub(crate) fn optional_ip(&self, name: &'static str) -> Option<IpAddr> {
        let value = self.get(name).filter(|value| !value.is_null())?;
        let address = value.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            self.add_fault(name, "write an IP address, such as 10.0.0.7");
        }
        address
    }

    /// Reads a whole number from `low` to `high`.
    pub(crate) fn number(&self, name: &'static str, default: u64, low: u64, high: u64) -> u64 {
        match self.get(name) {
            None => default,
            Some(value) => match value.as_u64() {
                Some(number) if (low..=high).contains(&number) => number,
                _ => {
                    self.add_fault(name, &format!("write a whole number from {low} to {high}, or leave it out for {default}"));
                    default
                }
            },
        }
    }

    /// Reads a duration in whole milliseconds from `low` to `high`.
    pub(crate) fn millis(&self, name: &'static str, default: u64, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.number(name, default, low, high))
    }

    /// Reads a duration in milliseconds, possibly with a fraction, from `low` to `high`.
    pub(crate) fn fractional_millis(
        &self,
        name: &'static str,
        default: u64,
        low: u64,
        high: u64,
    ) -> Duration {
        let millis = self.fraction(name, default as f64, low as f64, high as f64);
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Reads a number, possibly with a fraction, from `low` to `high`; `null` stands for the default.
    pub(crate) fn fraction(&self, name: &'static str, default: f64, low: f64, high: f64) -> f64 {
        match self.get(name) {
            None | Some(Value::Null) => default,
            Some(value) => match value.as_f64() {
                Some(number) if (low..=high).contains(&number) => number,
                _ => {
                    self.add_fault(
                        name,
                        &format!(
                            "write a number from {low} to {high}, or leave it out for {default}"
                        ),
                    );
                    default
                }
            },
        }
    }

    /// Reads a required, non-empty list of texts.
    pub(crate) fn text_list(&self, name: &'static str, remedy: &str) -> Vec<String> {
        let texts: Vec<_> = self
            .get(name)
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .map(str::to_owned)
            .collect();
        if texts.is_empty() {
            self.add_fault(name, remedy);
        }
        texts
    }

    /// Reads a boolean; false if it is missing.
    pub(crate) fn boolean(&self, name: &'static str) -> bool {
        match self.get(name) {
            None => false,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.add_fault(name, "write true or false, or leave it out for false");
                false
            }
        }
    }

    /// Reads one of several words.
    pub(crate) fn choice(&self, name: &'static str, default: &str, choices: &[&str]) -> String {
        match self.get(name) {
            None => default.to_owned(),
            Some(Value::String(text)) if choices.contains(&text.as_str()) => text.clone(),
            Some(_) => {
                self.add_fault(name, &format!("write one of {}", choices.join(", ")));
                default.to_owned()
            }
        }
    }

    /// Reads a subsection; a missing one is read as empty.
    pub(crate) fn section<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(&SectionReader<'a>) -> T,
    ) -> T {
        let section = Self::new(self.key(name), self.get(name), self.faults);
        let result = read(&section);
        section.finish();
        result
    }

    /// Reads a list of sections; a missing one is empty.
    pub(crate) fn sections<T>(
        &self,
        name: &'static str,
        read: impl Fn(&SectionReader<'a>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.add_fault(name, "write a list in brackets");
            return Vec::new();
        };
        let sections = items.iter().enumerate().map(|(index, item)| {
            let section = Self::new(
                format!("{}[{index}]", self.key(name)),
                Some(item),
                self.faults,
            );
            let result = read(&section);
            section.finish();
            result
        });
        sections.collect()
    }

    /// Records the keys that were not read as unknown.
    pub(crate) fn finish(&self) {
        let read_keys = self.read_keys.borrow();
        for (name, value) in self.map.into_iter().flatten() {
            if !read_keys.contains(name.as_str()) {
                let known_keys = read_keys.iter().copied().collect::<Vec<_>>().join(", ");
                self.add_fault_at(
                    &self.key(name),
                    Some(value),
                    &format!("unknown key: remove it, or use one of {known_keys}"),
                );
            }
        }
    }
}
