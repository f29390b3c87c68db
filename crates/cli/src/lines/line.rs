//! One line of a daemon.

use anyhow::Context;
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;

/// A line as the daemon's JSON format has it, with the VM that wrote it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LogLine {
    /// VM, as the collector names it.
    #[serde(default)]
    pub(crate) vm: SmolStr,
    pub(crate) timestamp: Timestamp,
    /// What the line is about: `request`, `attempt` or `belief`.
    #[serde(rename = "target")]
    pub(crate) log_target: SmolStr,
    pub(crate) message: String,
    #[serde(rename = "kvs", default)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; none if it holds no object.
    ///
    /// What stands before the object comes from the collector. Its last word
    /// names the VM; without one the line is one of `source`.
    ///
    /// # Errors
    ///
    /// Fails if the object is none of a daemon.
    pub(crate) fn parse(text: &str, source: &str) -> anyhow::Result<Option<Self>> {
        let Some(at) = text.find('{') else {
            return Ok(None);
        };
        let (prefix, object) = text.split_at(at);
        let mut line: Self = serde_json::from_str(object).context("not a line of a daemon")?;
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

    /// Returns true if the line is about a service or target: in a field or, as
    /// in lines of events, in its words.
    pub(crate) fn is_about(&self, name: &str) -> bool {
        let is_field = |field: &str| self.get(field) == Some(name);
        let mut words = self.message.split([' ', '/', ',']);
        is_field("target") || is_field("service") || words.any(|word| word == name)
    }
}
