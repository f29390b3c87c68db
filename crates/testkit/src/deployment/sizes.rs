//! Services, targets and classes of the deployments.

use crate::ServiceTime;
use gentianridge_core::ClassKind;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// A deployment that a local fleet stands in for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Secret santa draws over three failure domains.
    SorteggioNero,
    /// Bin washing over three failure domains.
    RenaKarl,
}

/// A class of a service.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentClass {
    /// Name of the class.
    pub name: &'static str,
    /// Path of its calls.
    pub path: &'static str,
    /// HTTP method of its calls.
    pub method: &'static str,
    /// Kind of the class.
    pub kind: ClassKind,
    /// Deadline of its calls.
    pub deadline: Duration,
    /// Share of the calls of the service.
    pub share: f64,
}

/// A service of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentService {
    /// Name of the service.
    pub name: &'static str,
    /// Number of targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u16,
    /// Service time of calls outside background classes.
    pub time: ServiceTime,
    /// Service time of background calls.
    pub long_time: Duration,
    /// Classes in the order in which they are matched.
    pub classes: Vec<DeploymentClass>,
}

impl Deployment {
    /// Parses the name used on command lines.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "sorteggio-nero" => Some(Self::SorteggioNero),
            "rena-karl" => Some(Self::RenaKarl),
            _ => None,
        }
    }

    /// Returns the name used on command lines.
    pub fn get_name(self) -> &'static str {
        match self {
            Self::SorteggioNero => "sorteggio-nero",
            Self::RenaKarl => "rena-karl",
        }
    }

    /// Returns the names of the failure domains.
    pub fn get_domains(self) -> [&'static str; 3] {
        match self {
            Self::SorteggioNero => ["catania", "palermo", "messina"],
            Self::RenaKarl => ["vasteras", "eskilstuna", "enkoping"],
        }
    }

    /// Returns the services.
    pub fn get_services(self) -> Vec<DeploymentService> {
        match self {
            Self::SorteggioNero => vec![
                make_service(
                    "recipient",
                    10,
                    3,
                    8,
                    lookup_classes("open", "/recipient/open", "archive", "/recipient/history"),
                ),
                make_service(
                    "draw",
                    6,
                    3,
                    20,
                    vec![once_class("confirm", "/draw/confirm")],
                ),
                make_service(
                    "history",
                    10,
                    3,
                    12,
                    lookup_classes("list", "/past/list", "pull", "/past/history"),
                ),
            ],
            Self::RenaKarl => vec![
                make_service(
                    "route",
                    10,
                    4,
                    8,
                    lookup_classes("next", "/route/next", "export", "/route/history"),
                ),
                make_service("booking", 7, 4, 20, vec![once_class("pay", "/booking/pay")]),
                make_service(
                    "archive",
                    10,
                    4,
                    12,
                    lookup_classes("list", "/archive/list", "pull", "/archive/history"),
                ),
            ],
        }
    }

    /// Returns the operators' file with targets at the given addresses.
    ///
    /// `addrs` holds the addresses of each service in the order of
    /// [`Self::get_services`].
    pub fn write_file(self, addrs: &[Vec<SocketAddr>]) -> String {
        let mut text = String::from("[fleet]\nmax_vms = 8\nquarantine = 10m\nkeep_records = 24h\n");
        for (service, addrs) in self.get_services().iter().zip(addrs) {
            self.write_service(&mut text, service, addrs);
        }
        text
    }

    fn write_service(self, text: &mut String, service: &DeploymentService, addrs: &[SocketAddr]) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "\n[service {}]\npath = {}\nretry = 10%\nhedge = 5%\nsilence = 2s\nprobes = 4\nprobe_path = /load",
            service.name,
            service.get_prefix()
        );
        for class in &service.classes {
            let reserve = if class.kind == ClassKind::Background {
                0
            } else {
                service.targets
            };
            let _ = writeln!(
                text,
                "\n[class {}.{}]\nmethods = {}\npath = {}\nkind = {}\ndeadline = {}ms\nreserve = {}\nqueue = 512",
                service.name,
                class.name,
                class.method,
                class.path,
                class.kind.as_str(),
                class.deadline.as_millis(),
                reserve
            );
        }
        let domains = self.get_domains();
        for (index, addr) in addrs.iter().enumerate() {
            let _ = writeln!(
                text,
                "\n[target {0}.{0}-{1}]\naddress = {addr}\ndomain = {2}\nslots = {3}\nconnections = 200",
                service.name,
                index + 1,
                domains[index % domains.len()],
                service.slots
            );
        }
    }
}

impl DeploymentService {
    /// Returns the calls per second that the slots can serve without background calls.
    pub fn get_capacity(&self) -> f64 {
        f64::from(self.slots) * self.targets as f64 / self.time.get_mean().as_secs_f64()
    }

    fn get_prefix(&self) -> String {
        let path = self.classes[0].path;
        let end = path[1..].find('/').map_or(path.len(), |index| index + 1);
        path[..end].to_owned()
    }
}

fn make_service(
    name: &'static str,
    targets: usize,
    slots: u16,
    mean_ms: u64,
    classes: Vec<DeploymentClass>,
) -> DeploymentService {
    DeploymentService {
        name,
        targets,
        slots,
        time: ServiceTime::Exponential(Duration::from_millis(mean_ms)),
        long_time: Duration::from_millis(400),
        classes,
    }
}

fn lookup_classes(
    short: &'static str,
    short_path: &'static str,
    long: &'static str,
    long_path: &'static str,
) -> Vec<DeploymentClass> {
    vec![
        DeploymentClass {
            name: long,
            path: long_path,
            method: "GET",
            kind: ClassKind::Background,
            deadline: Duration::from_secs(30),
            share: 0.002,
        },
        DeploymentClass {
            name: short,
            path: short_path,
            method: "GET",
            kind: ClassKind::Interactive,
            deadline: Duration::from_millis(500),
            share: 0.998,
        },
    ]
}

fn once_class(name: &'static str, path: &'static str) -> DeploymentClass {
    DeploymentClass {
        name,
        path,
        method: "POST",
        kind: ClassKind::Once,
        deadline: Duration::from_secs(2),
        share: 1.0,
    }
}
