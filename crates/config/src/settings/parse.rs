//! Parsing of the settings.

use super::{LogFormat, Settings};
use crate::FaultReport;
use crate::document::Document;
use crate::reader::{SectionReader, read_sections};
use smol_str::SmolStr;
use std::net::SocketAddr;

const SECTIONS: [&str; 6] = ["vm", "listen", "platform", "limits", "stop", "log"];
const LOG_LEVELS: [(&str, &str); 5] = [
    ("error", "error"),
    ("warn", "warn"),
    ("info", "info"),
    ("debug", "debug"),
    ("trace", "trace"),
];

/// Parses the settings of a daemon.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn parse_settings(text: &str) -> Result<Settings, FaultReport> {
    let document = Document::parse(text).map_err(|fault| FaultReport::new(vec![*fault]))?;
    let mut faults = Vec::new();
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    let mut settings = Settings::new("", unspecified, unspecified, unspecified);
    read_sections(&document, &SECTIONS, &mut faults, |name, reader| {
        read_section(name, reader, &mut settings);
    });
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(FaultReport::new(faults))
    }
}

fn read_section(name: &str, reader: &mut SectionReader<'_>, settings: &mut Settings) {
    match name {
        "vm" => read_vm(reader, settings),
        "listen" => read_listen(reader, settings),
        "platform" => read_platform(reader, settings),
        "limits" => read_limits(reader, settings),
        "stop" => read_stop(reader, settings),
        _ => (settings.log_level, settings.log_format) = read_log(reader),
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
            "IP addresses and ports, separated by commas",
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
    let expected = "a whole number above 0";
    settings.max_connections = reader.optional("connections", expected, |text| {
        text.parse().ok().filter(|number| *number > 0)
    });
    if settings.max_replay > settings.max_body {
        reader.report_conflict("replay", "a size above body", "at most the size of body");
    }
}

fn read_stop(reader: &mut SectionReader<'_>, settings: &mut Settings) {
    settings.stop_notice = reader.duration("notice", settings.stop_notice);
    settings.stop_grace = reader.duration("grace", settings.stop_grace);
}

/// Reads the level and the format of log lines.
pub(crate) fn read_log(reader: &mut SectionReader<'_>) -> (SmolStr, LogFormat) {
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let level = reader.choice("level", &LOG_LEVELS, Some("info"));
    let format = reader.choice("format", &formats, Some(LogFormat::Text));
    (
        level.unwrap_or("info").into(),
        format.unwrap_or(LogFormat::Text),
    )
}

fn parse_addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(|part| part.trim().parse().ok())
        .collect()
}
