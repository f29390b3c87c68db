//! A log line of a daemon.

use anyhow::Context;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// A log line in the daemon's JSON format, with the VM that wrote it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// Name of the VM, as added by the collector.
    #[serde(default)]
    pub(crate) vm: SmolStr,
    pub(crate) timestamp: Timestamp,
    /// Log target of the line, such as `request`, `attempt` or `belief`.
    #[serde(rename = "target")]
    pub(crate) log_target: SmolStr,
    pub(crate) message: String,
    #[serde(rename = "kvs", default)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` if it contains no JSON object.
    ///
    /// The collector adds the text before the object. Its last word is the name
    /// of the VM; without such text, `source` is the name of the VM.
    ///
    /// # Errors
    ///
    /// Fails if the object is not a log line of a daemon.
    pub(crate) fn parse(text: &str, source: &str) -> anyhow::Result<Option<Self>> {
        let Some(at) = text.find('{') else {
            return Ok(None);
        };
        let (prefix, object) = text.split_at(at);
        let mut line: Self = serde_json::from_str(object).context("not a log line of a daemon")?;
        line.vm = prefix.split_whitespace().last().unwrap_or(source).into();
        Ok(Some(line))
    }

    /// Returns a field as text.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field as a number.
    pub(crate) fn get_number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns true if the line refers to a service or target, in a field or, for
    /// events, in the message.
    pub(crate) fn is_about(&self, name: &str) -> bool {
        let is_field = |field: &str| self.get(field) == Some(name);
        let mut words = self.message.split([' ', '/', ',']);
        is_field("target") || is_field("service") || words.any(|word| word == name)
    }
}
