//! Parsing of the operators' file.

use super::sections::{read_class, read_fleet, read_service, read_target};
use crate::document::{Document, Section};
use crate::{Fault, FaultKind, FaultReport};
use gentianridge_core::{ClassSpec, FleetSpec, ServiceSpec, TargetSpec};
use smol_str::SmolStr;

const SECTION_FORMS: &str =
    "[fleet], [service NAME], [class SERVICE.NAME] or [target SERVICE.NAME]";

/// Parses the operators' file.
///
/// # Errors
///
/// Returns every fault of the file. No part of a faulty file may be applied.
///
/// ```
/// let report = gentianridge_config::parse_fleet("[service a]\npth = /").unwrap_err();
/// let nearest = report.get_faults().iter().find_map(|fault| fault.get_nearest());
/// assert_eq!(nearest, Some("path"));
/// ```
pub fn parse_fleet(text: &str) -> Result<FleetSpec, FaultReport> {
    let document = Document::parse(text).map_err(|fault| FaultReport::new(vec![*fault]))?;
    let mut builder = Builder::default();
    for section in &document.sections {
        builder.add(section);
    }
    builder.finish()
}

/// Collects the sections. Their names and lines are kept for the faults of checks that
/// involve several sections.
#[derive(Debug, Default)]
struct Builder {
    fleet: Option<FleetSpec>,
    services: Vec<ServiceSpec>,
    service_lines: Vec<usize>,
    classes: Vec<Member<ClassSpec>>,
    targets: Vec<Member<TargetSpec>>,
    faults: Vec<Fault>,
}

/// A class or target with the name of its service, which may not be declared yet.
#[derive(Debug)]
struct Member<T> {
    service: SmolStr,
    section: SmolStr,
    line: usize,
    spec: T,
}

impl Builder {
    fn add(&mut self, section: &Section) {
        if section.name.is_empty() {
            self.report_entries_without_section(section);
            return;
        }
        let (keyword, rest) = section.name.split_once(' ').unwrap_or((&section.name, ""));
        match (keyword, rest.trim()) {
            ("fleet", "") => self.add_fleet(section),
            ("service", name) if is_name(name) => self.add_service(name, section),
            ("class", path) => self.add_class(path, section),
            ("target", path) => self.add_target(path, section),
            _ => self.report_unknown_section(keyword, section),
        }
    }

    fn report_entries_without_section(&mut self, section: &Section) {
        for entry in &section.entries {
            let fault = Fault::new(FaultKind::UnknownKey, entry.line, "")
                .key(&entry.key)
                .expected("a [section] line before the first key");
            self.faults.push(fault);
        }
    }

    fn report_unknown_section(&mut self, keyword: &str, section: &Section) {
        let fault = Fault::new(FaultKind::UnknownSection, section.line, &section.name)
            .expected(SECTION_FORMS)
            .suggest(keyword, &["fleet", "service", "class", "target"]);
        self.faults.push(fault);
    }

    fn add_fleet(&mut self, section: &Section) {
        if self.fleet.is_some() {
            self.report_duplicate(section);
        }
        self.fleet = Some(read_fleet(section, &mut self.faults));
    }

    fn add_service(&mut self, name: &str, section: &Section) {
        if self.services.iter().any(|service| service.name == name) {
            self.report_duplicate(section);
            return;
        }
        self.services
            .push(read_service(name, section, &mut self.faults));
        self.service_lines.push(section.line);
    }

    fn add_class(&mut self, path: &str, section: &Section) {
        let Some((service, name)) = split_member(path) else {
            self.report_unknown_section("class", section);
            return;
        };
        let is_same = |m: &Member<ClassSpec>| m.service == service && m.spec.name == name;
        if self.classes.iter().any(is_same) {
            self.report_duplicate(section);
        }
        let spec = read_class(name, section, &mut self.faults);
        self.classes.push(Member::new(service, section, spec));
    }

    fn add_target(&mut self, path: &str, section: &Section) {
        let Some((service, name)) = split_member(path) else {
            self.report_unknown_section("target", section);
            return;
        };
        let is_same = |m: &Member<TargetSpec>| m.service == service && m.spec.name == name;
        if self.targets.iter().any(is_same) {
            self.report_duplicate(section);
        }
        let spec = read_target(name, section, &mut self.faults);
        self.targets.push(Member::new(service, section, spec));
    }

    fn report_duplicate(&mut self, section: &Section) {
        let fault = Fault::new(FaultKind::Duplicate, section.line, &section.name)
            .expected("each section once");
        self.faults.push(fault);
    }

    fn finish(mut self) -> Result<FleetSpec, FaultReport> {
        self.attach_members();
        self.check_services();
        let Some(mut fleet) = self.fleet.take() else {
            self.faults
                .push(Fault::new(FaultKind::Missing, 1, "fleet").expected("a [fleet] section"));
            return Err(FaultReport::new(self.faults));
        };
        if !self.faults.is_empty() {
            return Err(FaultReport::new(self.faults));
        }
        fleet.services = self.services;
        Ok(fleet)
    }

    fn attach_members(&mut self) {
        for member in std::mem::take(&mut self.classes) {
            if let Some(index) = self.find_service(&member.service, &member.section, member.line) {
                self.services[index].classes.push(member.spec);
            }
        }
        for member in std::mem::take(&mut self.targets) {
            if let Some(index) = self.find_service(&member.service, &member.section, member.line) {
                self.services[index].targets.push(member.spec);
            }
        }
    }

    fn find_service(&mut self, name: &SmolStr, section: &str, line: usize) -> Option<usize> {
        let found = self
            .services
            .iter()
            .position(|service| service.name == *name);
        if found.is_none() {
            let known: Vec<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
            let fault = Fault::new(FaultKind::Conflict, line, section)
                .found(format!("service {name}"))
                .expected("a service that the file declares")
                .suggest(name, &known);
            self.faults.push(fault);
        }
        found
    }

    fn check_services(&mut self) {
        if self.services.is_empty() {
            self.faults.push(
                Fault::new(FaultKind::Missing, 1, "service")
                    .expected("at least one [service NAME] section"),
            );
        }
        for index in 0..self.services.len() {
            self.check_service(index);
        }
    }

    fn check_service(&mut self, index: usize) {
        let service = &self.services[index];
        let line = self.service_lines[index];
        let name = format!("service {}", service.name);
        let mut report = |kind, expected: &str| {
            self.faults
                .push(Fault::new(kind, line, &name).expected(expected));
        };
        if service.classes.is_empty() {
            report(
                FaultKind::Missing,
                "at least one [class SERVICE.NAME] section",
            );
        }
        if service.targets.is_empty() {
            report(
                FaultKind::Missing,
                "at least one [target SERVICE.NAME] section",
            );
        }
        if service.classes.len() > MAX_CLASSES {
            report(FaultKind::Conflict, "at most 64 classes in a service");
        }
        let reserve: u32 = service.classes.iter().map(|c| u32::from(c.reserve)).sum();
        let slots: u32 = service
            .targets
            .iter()
            .map(|t| u32::from(t.get_slots()))
            .sum();
        if !service.targets.is_empty() && reserve > slots {
            report(
                FaultKind::Conflict,
                "reserves that add up to no more than the targets' slots",
            );
        }
        let mut addresses: Vec<_> = service.targets.iter().map(|t| t.addr).collect();
        addresses.sort();
        if addresses.windows(2).any(|pair| pair[0] == pair[1]) {
            report(FaultKind::Conflict, "a different address for each target");
        }
    }
}

/// Maximum number of classes of one service.
const MAX_CLASSES: usize = 64;

impl<T> Member<T> {
    fn new(service: &str, section: &Section, spec: T) -> Self {
        Self {
            service: service.into(),
            section: section.name.clone(),
            line: section.line,
            spec,
        }
    }
}

fn split_member(path: &str) -> Option<(&str, &str)> {
    path.split_once('.')
        .filter(|(service, name)| is_name(service) && is_name(name))
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}
