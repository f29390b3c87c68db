//! Parsing of each kind of section in the operators' file.

use crate::Fault;
use crate::document::Section;
use crate::reader::SectionReader;
use gentianridge_core::{
    ClassKind, ClassSpec, FleetSpec, MethodSet, Note, RouteMatch, ServiceSpec, TargetSpec,
};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;

/// Reads `[fleet]`.
pub(super) fn read_fleet(section: &Section, faults: &mut Vec<Fault>) -> FleetSpec {
    let mut reader = SectionReader::new(section, faults);
    let fleet = FleetSpec {
        max_vms: reader.count("max_vms", 8).max(1),
        quarantine: reader.duration("quarantine", Duration::from_secs(600)),
        keep_records: reader.duration("keep_records", Duration::from_secs(86_400)),
        release: reader
            .optional(
                "release",
                "fingerprints of 16 hex digits",
                parse_fingerprints,
            )
            .unwrap_or_default(),
        services: Vec::new(),
    };
    reader.finish();
    fleet
}

/// Reads `[service NAME]`.
pub(super) fn read_service(name: &str, section: &Section, faults: &mut Vec<Fault>) -> ServiceSpec {
    let mut reader = SectionReader::new(section, faults);
    let service = ServiceSpec {
        name: name.into(),
        route: read_route(&mut reader),
        classes: Vec::new(),
        targets: Vec::new(),
        retry_percent: reader.percent("retry", 10),
        hedge_percent: reader.percent("hedge", 5),
        silence: reader.duration("silence", Duration::from_secs(2)),
        probes_per_second: reader.count("probes", 2),
        probe_path: reader.text("probe_path").unwrap_or_else(|| "/load".into()),
        note: read_note(&mut reader),
        repeats: None,
        sampling: None,
    };
    reader.finish();
    service
}

/// Reads `[class SERVICE.NAME]`.
pub(super) fn read_class(name: &str, section: &Section, faults: &mut Vec<Fault>) -> ClassSpec {
    let mut reader = SectionReader::new(section, faults);
    let kinds = [
        ClassKind::Interactive,
        ClassKind::Once,
        ClassKind::Background,
    ]
    .map(|kind| (kind.as_str(), kind));
    let class = ClassSpec {
        name: name.into(),
        route: read_route(&mut reader),
        kind: reader
            .choice("kind", &kinds, None)
            .unwrap_or(ClassKind::Interactive),
        deadline: reader.required_duration("deadline"),
        reserve: reader.count("reserve", 0),
        queue: reader.count("queue", 256),
        objective: None,
        priority: 0,
        max_attempts: ClassSpec::DEFAULT_MAX_ATTEMPTS,
    };
    if class.kind == ClassKind::Background && class.reserve > 0 {
        reader.report_conflict(
            "reserve",
            class.reserve.to_string(),
            "no reserve, because a class of kind background yields to the others",
        );
    }
    if class.deadline.is_zero() {
        reader.report_conflict("deadline", "0", "a deadline above zero");
    }
    reader.finish();
    class
}

/// Reads `[target SERVICE.NAME]`.
pub(super) fn read_target(name: &str, section: &Section, faults: &mut Vec<Fault>) -> TargetSpec {
    let mut reader = SectionReader::new(section, faults);
    let target = TargetSpec {
        name: name.into(),
        addr: reader
            .address("address")
            .unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))),
        domain: reader.required_text("domain", "the name of a failure domain"),
        slots: reader.optional_count("slots"),
        connections: reader.count("connections", 200),
        weight: reader.percent("weight", 100),
        drain: reader.flag("drain"),
        note: read_note(&mut reader),
        incarnation: 0,
        warm_up: None,
        paused_until: None,
        cold_until: None,
        is_emptied: false,
    };
    if target.slots == Some(0) {
        reader.report_conflict("slots", "0", "at least 1, or drain = yes to stop new work");
    }
    if target.connections == 0 {
        reader.report_conflict("connections", "0", "at least 1");
    }
    reader.finish();
    target
}

fn read_route(reader: &mut SectionReader<'_>) -> RouteMatch {
    let methods = reader
        .optional(
            "methods",
            "methods in upper case such as GET, POST",
            parse_methods,
        )
        .unwrap_or_default();
    let prefix = reader
        .required("path", "a path that starts with /", parse_path)
        .unwrap_or_else(|| "/".into());
    RouteMatch { methods, prefix }
}

fn read_note(reader: &mut SectionReader<'_>) -> Option<Note> {
    let reason = reader.text("reason");
    let author = reader.text("author");
    reason.map(|reason| Note { reason, author })
}

fn parse_methods(text: &str) -> Option<MethodSet> {
    let names: Vec<SmolStr> = text.split(',').map(|name| name.trim().into()).collect();
    let is_upper =
        |name: &SmolStr| !name.is_empty() && name.bytes().all(|b| b.is_ascii_uppercase());
    names.iter().all(is_upper).then(|| MethodSet::new(names))
}

fn parse_path(text: &str) -> Option<SmolStr> {
    let is_path = text.starts_with('/') && !text.contains(['?', '#', ' ']);
    is_path.then(|| text.into())
}

fn parse_fingerprints(text: &str) -> Option<Vec<u64>> {
    text.split(',')
        .map(|part| u64::from_str_radix(part.trim(), 16).ok())
        .collect()
}
