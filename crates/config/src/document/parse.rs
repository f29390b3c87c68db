//! Sections and entries of an INI document.

use super::lines::LineIndex;
use crate::{Fault, FaultKind};
use ini::{Ini, ParseOption};
use smol_str::SmolStr;

/// One `key = value` line.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) key: SmolStr,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// One `[name]` with its entries.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    pub(crate) name: SmolStr,
    pub(crate) line: usize,
    pub(crate) entries: Vec<Entry>,
}

/// A parsed INI document.
#[derive(Debug)]
pub(crate) struct Document {
    pub(crate) sections: Vec<Section>,
}

impl Document {
    /// Parses a text, or returns the syntax fault if it is not INI.
    pub(crate) fn parse(text: &str) -> Result<Self, Box<Fault>> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| syntax_fault(&error))?;
        let lines = LineIndex::new(text);
        let mut sections = Vec::new();
        for (position, (name, properties)) in ini.iter().enumerate() {
            let entries = properties
                .iter()
                .enumerate()
                .map(|(index, (key, value))| Entry {
                    key: key.into(),
                    value: value.trim().to_owned(),
                    line: lines.get_key(position, index),
                })
                .collect();
            sections.push(Section {
                name: name.unwrap_or_default().into(),
                line: lines.get_section(position),
                entries,
            });
        }
        Ok(Self { sections })
    }
}

fn syntax_fault(error: &ini::ParseError) -> Box<Fault> {
    let fault = Fault::new(FaultKind::Syntax, error.line + 1, "")
        .found(error.msg.to_string())
        .expected("[section] lines and key = value lines");
    Box::new(fault)
}
