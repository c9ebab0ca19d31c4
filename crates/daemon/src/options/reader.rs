//! Reading settings so that every fault is found in one pass.
//!
//! A section hands out its keys one by one; what is wrong is noted and a default goes on in its place. At the end the
//! keys that nobody asked for are noted as unknown.

use serde_json::{Map, Value};
use std::{cell::RefCell, collections::BTreeSet, fmt, fs, net::SocketAddr, time::Duration};

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The key, with its sections.
    pub key: String,
    /// The value as found.
    pub value: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.key, self.value, self.remedy)
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {path} can't be read ({source}): name the file with --config")]
    Unreadable {
        /// The path.
        path: String,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The file is no JSON.
    #[error("settings are no JSON ({0}): compare them with docs/hoplandingd.sample.json")]
    InvalidJson(#[from] serde_json::Error),
    /// Keys are wrong.
    #[error("{} faults in the settings:\n{}", .0.len(), list(.0))]
    Faults(Vec<SettingsFault>),
}

fn list(faults: &[SettingsFault]) -> String {
    faults
        .iter()
        .map(|fault| format!("  {fault}"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// The text of a settings file.
///
/// # Errors
/// When it can't be read.
pub fn read_settings_file(path: &str) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })
}

/// Reads settings from JSON, and notes every fault of theirs.
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

/// One section of the settings.
pub(crate) struct SectionReader<'a> {
    path: String,
    map: Option<&'a Map<String, Value>>,
    used: RefCell<BTreeSet<&'static str>>,
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
            used: RefCell::default(),
            faults,
        };
        if let (Some(value), None) = (value, map) {
            section.note_at(&section.path, Some(value), "write an object in braces");
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

    fn note_at(&self, key: &str, value: Option<&Value>, remedy: &str) {
        self.faults.borrow_mut().push(SettingsFault {
            key: key.to_owned(),
            value: value.map_or_else(|| "missing".to_owned(), Value::to_string),
            remedy: remedy.to_owned(),
        });
    }

    fn note(&self, name: &str, remedy: &str) {
        self.note_at(&self.key(name), self.peek(name), remedy);
    }

    fn peek(&self, name: &str) -> Option<&'a Value> {
        self.map.and_then(|map| map.get(name))
    }

    fn get(&self, name: &'static str) -> Option<&'a Value> {
        self.used.borrow_mut().insert(name);
        self.peek(name)
    }

    /// A text that must be there.
    pub(crate) fn text(&self, name: &'static str, remedy: &str) -> String {
        match self.get(name).and_then(Value::as_str) {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.note(name, remedy);
                String::new()
            }
        }
    }

    /// A text that may be missing.
    pub(crate) fn optional_text(&self, name: &'static str, remedy: &str) -> Option<String> {
        match self.get(name) {
            None | Some(Value::Null) => None,
            Some(Value::String(text)) if !text.is_empty() => Some(text.clone()),
            Some(_) => {
                self.note(name, remedy);
                None
            }
        }
    }

    /// An `IP:port` that must be there.
    pub(crate) fn address(&self, name: &'static str) -> SocketAddr {
        let parsed = self
            .get(name)
            .and_then(Value::as_str)
            .and_then(|text| text.parse().ok());
        parsed.unwrap_or_else(|| {
            self.note(name, "write IP:port, such as 10.0.0.7:7400");
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }

    /// An `IP:port` that may be missing.
    pub(crate) fn optional_address(&self, name: &'static str) -> Option<SocketAddr> {
        match self.peek(name) {
            None | Some(Value::Null) => {
                self.get(name);
                None
            }
            Some(_) => Some(self.address(name)),
        }
    }

    /// A whole number within bounds.
    pub(crate) fn number(&self, name: &'static str, default: u64, low: u64, high: u64) -> u64 {
        match self.get(name) {
            None => default,
            Some(value) => match value.as_u64() {
                Some(number) if (low..=high).contains(&number) => number,
                _ => {
                    self.note(name, &format!("write a whole number from {low} to {high}, or leave it out for {default}"));
                    default
                }
            },
        }
    }

    /// A span in milliseconds within bounds.
    pub(crate) fn millis(&self, name: &'static str, default: u64, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.number(name, default, low, high))
    }

    /// A span in milliseconds that may have a fraction, within bounds.
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

    /// A number that may have a fraction, within bounds; `null` is the same as leaving it out.
    pub(crate) fn fraction(&self, name: &'static str, default: f64, low: f64, high: f64) -> f64 {
        match self.get(name) {
            None | Some(Value::Null) => default,
            Some(value) => match value.as_f64() {
                Some(number) if (low..=high).contains(&number) => number,
                _ => {
                    self.note(
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

    /// A list of texts that must not be empty.
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
            self.note(name, remedy);
        }
        texts
    }

    /// A yes or no; no if it is missing.
    pub(crate) fn boolean(&self, name: &'static str) -> bool {
        match self.get(name) {
            None => false,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.note(name, "write true or false, or leave it out for false");
                false
            }
        }
    }

    /// One word of several.
    pub(crate) fn choice(&self, name: &'static str, default: &str, words: &[&str]) -> String {
        match self.get(name) {
            None => default.to_owned(),
            Some(Value::String(text)) if words.contains(&text.as_str()) => text.clone(),
            Some(_) => {
                self.note(name, &format!("write one of {}", words.join(", ")));
                default.to_owned()
            }
        }
    }

    /// A section of its own; an empty one if it is missing.
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

    /// A list of sections; empty if it is missing.
    pub(crate) fn sections<T>(
        &self,
        name: &'static str,
        read: impl Fn(&SectionReader<'a>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.get(name) else {
            return Vec::new();
        };
        let Some(items) = value.as_array() else {
            self.note(name, "write a list in brackets");
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

    /// Notes the keys that nobody asked for.
    pub(crate) fn finish(&self) {
        let used = self.used.borrow();
        for (name, value) in self.map.into_iter().flatten() {
            if !used.contains(name.as_str()) {
                let known = used.iter().copied().collect::<Vec<_>>().join(", ");
                self.note_at(
                    &self.key(name),
                    Some(value),
                    &format!("unknown key: remove it, or use one of {known}"),
                );
            }
        }
    }
}
