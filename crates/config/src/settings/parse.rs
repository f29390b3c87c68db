//! Reading the settings.

use super::{LogFormat, Settings};
use crate::document::{Document, Section};
use crate::reader::SectionReader;
use crate::{Fault, FaultKind, FaultReport};
use std::net::SocketAddr;

const SECTIONS: [&str; 6] = ["vm", "listen", "platform", "limits", "stop", "log"];
const LOG_LEVELS: [(&str, &str); 5] = [
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

/// Reads the settings of a daemon.
///
/// # Errors
///
/// Returns every fault of the file at once.
pub fn parse_settings(text: &str) -> Result<Settings, FaultReport> {
    let document = Document::parse(text).map_err(|fault| FaultReport::new(vec![*fault]))?;
    let mut faults = Vec::new();
    check_sections(&document, &mut faults);
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    let mut settings = Settings::new("", nowhere, nowhere, nowhere);
    for name in SECTIONS {
        let empty = Section {
            name: name.into(),
            line: 1,
            entries: Vec::new(),
        };
        let found = document
            .sections
            .iter()
            .find(|s| s.name == name)
            .unwrap_or(&empty);
        let mut reader = SectionReader::new(found, &mut faults);
        read_section(name, &mut reader, &mut settings);
        reader.finish();
    }
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(FaultReport::new(faults))
    }
}

fn check_sections(document: &Document, faults: &mut Vec<Fault>) {
    let mut seen: Vec<&str> = Vec::new();
    for section in &document.sections {
        let name = section.name.as_str();
        if name.is_empty() && section.entries.is_empty() {
            continue;
        }
        if !SECTIONS.contains(&name) {
            let fault = Fault::new(FaultKind::UnknownSection, section.line, name)
                .expected(format!("one of {}", SECTIONS.join(", ")))
                .suggest(name, &SECTIONS);
            faults.push(fault);
        } else if seen.contains(&name) {
            faults.push(
                Fault::new(FaultKind::Duplicate, section.line, name).expected("each section once"),
            );
        }
        seen.push(name);
    }
}

fn read_section(name: &str, reader: &mut SectionReader<'_>, settings: &mut Settings) {
    match name {
        "vm" => read_vm(reader, settings),
        "listen" => read_listen(reader, settings),
        "platform" => read_platform(reader, settings),
        "limits" => read_limits(reader, settings),
        "stop" => read_stop(reader, settings),
        _ => read_log(reader, settings),
    }
}

fn read_vm(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.vm = reader.required_text("name", "a name that no other VM of the fleet has");
    settings.fleet = reader.required_text("fleet", "the name of the fleet");
    settings.domain = reader.required_text("domain", "the failure domain of this VM");
}

fn read_listen(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.callers = reader.address("callers").unwrap_or(settings.callers);
    settings.operators = reader.address("operators").unwrap_or(settings.operators);
    settings.peers = reader.address("peers").unwrap_or(settings.peers);
    settings.seeds = reader
        .optional(
            "seeds",
            "IP addresses and ports, parted by commas",
            parse_addresses,
        )
        .unwrap_or_default();
    settings.operator_token =
        reader.required_text("operator_token", "a secret that operators send");
}

fn read_platform(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.platform = reader.address("address");
    settings.store_timeout = reader.duration("timeout", settings.store_timeout);
    settings.store_poll = reader.duration("poll", settings.store_poll);
}

fn read_limits(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.max_body = reader.size("body", settings.max_body);
    settings.max_replay = reader.size("replay", settings.max_replay);
    settings.caller_idle = reader.duration("caller_idle", settings.caller_idle);
    if settings.max_replay > settings.max_body {
        reader.report_conflict("replay", "a size above body", "at most the size of body");
    }
}

fn read_stop(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.stop_notice = reader.duration("notice", settings.stop_notice);
    settings.stop_grace = reader.duration("grace", settings.stop_grace);
}

fn read_log(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let level = reader.word("level", &LOG_LEVELS, Some("info"));
    settings.log_level = level.unwrap_or("info").into();
    settings.log_format = reader
        .word("format", &formats, Some(LogFormat::Text))
        .unwrap_or(LogFormat::Text);
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(|part| part.trim().parse().ok())
        .collect()
}
