//! Typed access to the values of a section.

use crate::document::{Document, Entry, Section};
use crate::{Fault, FaultKind, parse_duration, parse_size};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Reads the values of one section and collects its faults.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    /// Start of a value that the platform did not fill in.
    const PLACEHOLDER: &'static str = "{{";

    pub(crate) fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> Self {
        Self {
            section,
            known: Vec::new(),
            faults,
        }
    }

    /// Reports unknown keys and duplicate keys. Only keys that were read are known.
    pub(crate) fn finish(self) {
        let mut seen: Vec<&str> = Vec::new();
        for entry in &self.section.entries {
            let key = entry.key.as_str();
            if !self.known.contains(&key) {
                let fault = Fault::new(FaultKind::UnknownKey, entry.line, &self.section.name)
                    .key(key)
                    .expected(format!("one of {}", self.known.join(", ")))
                    .suggest(key, &self.known);
                self.faults.push(fault);
            } else if seen.contains(&key) {
                let fault = Fault::new(FaultKind::Duplicate, entry.line, &self.section.name)
                    .key(key)
                    .expected("each key once");
                self.faults.push(fault);
            }
            seen.push(key);
        }
    }

    pub(crate) fn text(&mut self, key: &'static str) -> Option<SmolStr> {
        self.find(key).map(|entry| entry.value.as_str().into())
    }

    pub(crate) fn required_text(&mut self, key: &'static str, expected: &str) -> SmolStr {
        self.required(key, expected, |value| {
            (!value.is_empty()).then(|| value.into())
        })
        .unwrap_or_default()
    }

    pub(crate) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(
            key,
            "an IP address and port such as 10.0.0.1:8080",
            |value| value.parse().ok(),
        )
    }

    pub(crate) fn duration(&mut self, key: &'static str, default: Duration) -> Duration {
        self.optional(
            key,
            "a duration such as 250ms, 5s, 10m or 24h",
            parse_duration,
        )
        .unwrap_or(default)
    }

    pub(crate) fn required_duration(&mut self, key: &'static str) -> Duration {
        self.required(
            key,
            "a duration such as 250ms, 5s, 10m or 24h",
            parse_duration,
        )
        .unwrap_or(Duration::from_secs(1))
    }

    pub(crate) fn size(&mut self, key: &'static str, default: usize) -> usize {
        self.optional(key, "a size such as 64KiB", parse_size)
            .unwrap_or(default)
    }

    pub(crate) fn count(&mut self, key: &'static str, default: u16) -> u16 {
        self.optional_count(key).unwrap_or(default)
    }

    pub(crate) fn optional_count(&mut self, key: &'static str) -> Option<u16> {
        self.optional(key, "a whole number up to 65535", |value| {
            value.parse().ok()
        })
    }

    pub(crate) fn percent(&mut self, key: &'static str, default: u8) -> u8 {
        self.optional(key, "a share from 0% to 100%", parse_percent)
            .unwrap_or(default)
    }

    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.optional(key, "yes or no", parse_flag).unwrap_or(false)
    }

    /// Reads a value that is one of `choices`; the key is required if there is no default.
    pub(crate) fn choice<T: Copy>(
        &mut self,
        key: &'static str,
        choices: &[(&'static str, T)],
        default: Option<T>,
    ) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let Some(entry) = self.find(key) else {
            if default.is_none() {
                self.report_missing(key, &format!("one of {}", names.join(", ")));
            }
            return default;
        };
        let found = choices.iter().find(|(name, _)| *name == entry.value);
        if found.is_none() {
            let fault = Fault::new(FaultKind::BadValue, entry.line, &self.section.name)
                .key(key)
                .found(entry.value.clone())
                .expected(format!("one of {}", names.join(", ")))
                .suggest(&entry.value, &names);
            self.faults.push(fault);
        }
        found.map(|(_, value)| *value).or(default)
    }

    /// Reports a value that conflicts with another one.
    pub(crate) fn report_conflict(
        &mut self,
        key: &'static str,
        found: impl Into<String>,
        expected: &str,
    ) {
        let line = self.find(key).map_or(self.section.line, |entry| entry.line);
        let fault = Fault::new(FaultKind::Conflict, line, &self.section.name)
            .key(key)
            .found(found)
            .expected(expected);
        self.faults.push(fault);
    }

    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        if self.find(key).is_none() {
            self.report_missing(key, expected);
            return None;
        }
        self.optional(key, expected, parse)
    }

    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.find(key)?;
        let parsed = parse(&entry.value);
        if parsed.is_none() {
            let fault = Fault::new(FaultKind::BadValue, entry.line, &self.section.name)
                .key(key)
                .found(entry.value.clone())
                .expected(expected);
            self.faults.push(fault);
        }
        parsed
    }

    /// Reads an optional value; an empty value counts as missing, and so does a
    /// placeholder.
    ///
    /// The platform fills in a template and leaves the values that it lacks empty. What
    /// renders only some values leaves the placeholders of the others.
    pub(crate) fn optional_non_empty<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let entry = self.find(key)?;
        if entry.value.is_empty() || entry.value.starts_with(Self::PLACEHOLDER) {
            return None;
        }
        self.optional(key, expected, parse)
    }

    fn report_missing(&mut self, key: &'static str, expected: &str) {
        let fault = Fault::new(FaultKind::Missing, self.section.line, &self.section.name)
            .key(key)
            .expected(expected);
        self.faults.push(fault);
    }

    fn find(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known.push(key);
        self.section.entries.iter().find(|entry| entry.key == key)
    }
}

/// Reads each section in `names` and reports unknown and duplicate sections.
///
/// A missing section is read as an empty one.
pub(crate) fn read_sections(
    document: &Document,
    names: &[&str],
    faults: &mut Vec<Fault>,
    mut read: impl FnMut(&str, &mut SectionReader<'_>),
) {
    check_sections(document, names, faults);
    for name in names {
        let empty = Section {
            name: (*name).into(),
            line: 1,
            entries: Vec::new(),
        };
        let found = document.sections.iter().find(|s| s.name == *name);
        let mut reader = SectionReader::new(found.unwrap_or(&empty), faults);
        read(name, &mut reader);
        reader.finish();
    }
}

fn check_sections(document: &Document, names: &[&str], faults: &mut Vec<Fault>) {
    let mut seen: Vec<&str> = Vec::new();
    for section in &document.sections {
        let name = section.name.as_str();
        if name.is_empty() && section.entries.is_empty() {
            continue;
        }
        if !names.contains(&name) {
            let fault = Fault::new(FaultKind::UnknownSection, section.line, name)
                .expected(format!("one of {}", names.join(", ")))
                .suggest(name, names);
            faults.push(fault);
        } else if seen.contains(&name) {
            faults.push(
                Fault::new(FaultKind::Duplicate, section.line, name).expected("each section once"),
            );
        }
        seen.push(name);
    }
}

fn parse_percent(text: &str) -> Option<u8> {
    let number: u8 = text.strip_suffix('%')?.trim().parse().ok()?;
    (number <= 100).then_some(number)
}

fn parse_flag(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}
