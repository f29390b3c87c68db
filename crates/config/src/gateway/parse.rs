//! Parsing of the settings.

use super::GatewaySettings;
use crate::document::Document;
use crate::reader::{SectionReader, read_sections};
use crate::settings::read_log;
use crate::{FaultReport, parse_fractional_duration, parse_size};
use gentianridge_core::RequestBound;
use std::net::SocketAddr;
use std::num::NonZeroU16;
use std::time::Duration;

const SECTIONS: [&str; 11] = [
    "vm",
    "listen",
    "store",
    "fleet",
    "bounds",
    "repeats",
    "workspaces",
    "cold",
    "memory",
    "callers",
    "log",
];

/// Parses the settings of a daemon on the platform.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, FaultReport> {
    let document = Document::parse(text).map_err(|fault| FaultReport::new(vec![*fault]))?;
    let mut faults = Vec::new();
    let mut settings = make_placeholder();
    read_sections(&document, &SECTIONS, &mut faults, |name, reader| {
        read_section(name, reader, &mut settings);
    });
    if faults.is_empty() {
        Ok(settings)
    } else {
        Err(FaultReport::new(faults))
    }
}

fn make_placeholder() -> GatewaySettings {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    GatewaySettings::new("", unspecified, unspecified, unspecified, unspecified)
}

fn read_section(name: &str, reader: &mut SectionReader<'_>, settings: &mut GatewaySettings) {
    match name {
        "vm" => {
            settings.vm = reader.required_text("name", "a name that no other VM of the fleet has");
            settings.domain = reader.required_text("domain", "the failure domain of this VM");
        }
        "listen" => {
            settings.callers = reader.address("callers").unwrap_or(settings.callers);
            settings.ready = reader.address("ready").unwrap_or(settings.ready);
            settings.peers = reader.address("peers").unwrap_or(settings.peers);
            settings.metrics = reader.optional("metrics", "an IP address and port", |text| {
                text.parse().ok()
            });
        }
        "store" => {
            settings.store = reader.address("address").unwrap_or(settings.store);
        }
        "fleet" => read_fleet(reader, settings),
        "bounds" => {
            read_duration(reader, "drain", &mut settings.drain);
            read_duration(reader, "apply", &mut settings.apply);
            read_duration(reader, "grace", &mut settings.grace);
            read_duration(reader, "evacuate", &mut settings.evacuate);
            read_count(reader, "probes", &mut settings.probes_per_target);
        }
        "repeats" => {
            let repeats = &mut settings.repeats;
            read_duration(reader, "window", &mut repeats.window);
            read_count(reader, "extra", &mut repeats.extra);
            let ratio = reader.optional_non_empty("ratio", "a fraction such as 0.2", parse_ratio);
            repeats.percent = ratio.unwrap_or(repeats.percent);
        }
        "workspaces" => read_workspaces(reader, settings),
        "cold" => read_bound(reader, &mut settings.cold_bound),
        "memory" => read_memory(reader, settings),
        "callers" => read_callers(reader, settings),
        _ => (settings.log_level, settings.log_format) = read_log(reader),
    }
}

/// Reads the bounds on keys and limits of workspaces. Without `strict`, withdrawn keys have
/// the bound of any other change of the configuration.
fn read_workspaces(reader: &mut SectionReader<'_>, settings: &mut GatewaySettings) {
    let strict = reader.optional_non_empty("strict", "true or false", |text| text.parse().ok());
    let expected = "a duration such as 250ms or 2.5s";
    let revoke = reader.optional_non_empty("revoke", expected, parse_fractional_duration);
    settings.revoke = revoke.filter(|_| strict == Some(true));
    read_duration(reader, "window", &mut settings.limit_window);
    read_bound(reader, &mut settings.limit_bound);
}

fn read_bound(reader: &mut SectionReader<'_>, bound: &mut RequestBound) {
    let expected = "a fraction such as 0.2";
    let excess = reader.optional_non_empty("excess", expected, parse_ratio);
    bound.excess_percent = excess.unwrap_or(bound.excess_percent);
    read_count(reader, "slack", &mut bound.slack);
}

/// Reads the memory and the descriptors that this process may use.
fn read_memory(reader: &mut SectionReader<'_>, settings: &mut GatewaySettings) {
    let expected = "a whole number above 0";
    let parse = |text: &str| text.parse().ok().filter(|number| *number > 0);
    settings.memory_megabytes = reader.optional_non_empty("megabytes", expected, parse);
    settings.descriptors = reader.optional_non_empty("descriptors", expected, parse);
}

/// Reads how slow callers may be.
fn read_callers(reader: &mut SectionReader<'_>, settings: &mut GatewaySettings) {
    read_duration(reader, "body_idle", &mut settings.body_idle);
    read_duration(reader, "answer_idle", &mut settings.answer_idle);
    read_count(reader, "flows", &mut settings.max_flows);
    let expected = "a size a second such as 1KiB";
    let rate = reader.optional_non_empty("min_rate", expected, |text| {
        parse_size(text).and_then(|rate| u32::try_from(rate).ok())
    });
    settings.min_rate = rate.unwrap_or(settings.min_rate);
}

/// Reads how to find other VMs. `seed_port` replaces the ports of the seeds, if a
/// platform lists the VMs with another port than the one for messages of peers.
fn read_fleet(reader: &mut SectionReader<'_>, settings: &mut GatewaySettings) {
    let expected = "IP addresses with ports, separated by commas";
    let seeds = reader.optional_non_empty("seeds", expected, parse_addrs);
    settings.seeds = seeds.unwrap_or_default();
    let expected = "a port from 1 to 65535";
    let port: Option<NonZeroU16> =
        reader.optional_non_empty("seed_port", expected, |text| text.parse().ok());
    for seed in &mut settings.seeds {
        seed.set_port(port.map_or(seed.port(), NonZeroU16::get));
    }
    let bootstrap =
        reader.optional_non_empty("bootstrap", "true or false", |text| text.parse().ok());
    settings.is_bootstrap = bootstrap.unwrap_or(false);
}

fn parse_addrs(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',')
        .map(|addr| addr.trim().parse().ok())
        .collect()
}

fn read_duration(reader: &mut SectionReader<'_>, key: &'static str, setting: &mut Duration) {
    let expected = "a duration such as 250ms or 2.5s";
    if let Some(value) = reader.optional_non_empty(key, expected, parse_fractional_duration) {
        *setting = value;
    }
}

fn read_count(reader: &mut SectionReader<'_>, key: &'static str, setting: &mut u16) {
    let expected = "a whole number up to 65535";
    if let Some(value) = reader.optional_non_empty(key, expected, |text| text.parse().ok()) {
        *setting = value;
    }
}

/// Parses a fraction as an integer percentage, rounded down so that a limit is
/// never exceeded.
fn parse_ratio(text: &str) -> Option<u16> {
    let ratio: f64 = text.parse().ok()?;
    let percent = (ratio * 100.0 + 1e-6).floor();
    (0.0..=1_000.0).contains(&percent).then_some(percent as u16)
}
