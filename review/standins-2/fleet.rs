//! Starts daemons with the command and the settings template of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Terms {
    pub memory_mb: u64,
    pub bounds: Vec<(&'static str, &'static str)>,
}

impl Terms {
    /// The settings that `fleetbench wire` shows for a small site.
    pub fn small() -> Self {
        Self {
            memory_mb: 650,
            bounds: vec![
                ("bounds.drain", "2000ms"),
                ("bounds.config_apply", "2000ms"),
                ("bounds.grace", "6s"),
                ("bounds.budget_window", "10s"),
                ("bounds.budget_ratio", "0.2"),
                ("bounds.budget_extra", "58"),
                ("bounds.probes_per_s", "60"),
            ],
        }
    }
}

/// One VM with its daemon.
pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub child: Child,
    /// Times at which the process was found ended, or was killed for its memory.
    pub ends: Vec<String>,
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    pub terms: Terms,
    root: PathBuf,
    dir: PathBuf,
}

fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if UdpSocket::bind(("0.0.0.0", port)).is_ok() {
            return port;
        }
    }
}

impl Fleet {
    /// Starts `count` daemons on addresses of their own; `root` is the repository.
    pub fn start(root: &Path, dir: &Path, count: u8, store: SocketAddr, terms: Terms) -> Self {
        let ports: Vec<u16> = (0..5).map(|_| free_port()).collect();
        let ip = |index: u8| Ipv4Addr::new(127, 0, 1, 34 + index);
        let seeds: Vec<String> = (0..count.min(3))
            .map(|index| format!("{}:{}", ip(index), ports[2]))
            .collect();
        let mut vms = Vec::new();
        for index in 0..count {
            let name = format!("edge-zone{}-{index}", index % 3);
            let addr = |port: usize| SocketAddr::from((ip(index), ports[port]));
            let mut values = vec![
                ("node", name.clone()),
                ("zone", format!("zone{}", index % 3)),
                ("listen.front", addr(0).to_string()),
                ("listen.ready", addr(1).to_string()),
                ("ip", ip(index).to_string()),
                ("internal_ports.0", ports[3].to_string()),
                ("platform.addr", store.to_string()),
                ("seeds", seeds.join(",")),
                ("bootstrap", "true".into()),
                ("limits.memory_mb", terms.memory_mb.to_string()),
                ("limits.max_fds", "12300".into()),
            ];
            values.extend(terms.bounds.iter().map(|(k, v)| (*k, (*v).to_owned())));
            let template = fs::read_to_string(root.join("deploy/settings.ini")).expect("template");
            let text = fill(&template.replace("9464", &ports[4].to_string()), &values);
            let settings = dir.join(format!("{name}.ini"));
            fs::write(&settings, text).expect("settings are written");
            let log = dir.join(format!("{name}.log"));
            let child = spawn(root, &settings, &log);
            vms.push(Vm {
                name,
                front: addr(0),
                ready: addr(1),
                settings,
                log,
                child,
                ends: Vec::new(),
            });
        }
        Self {
            vms,
            terms,
            root: root.into(),
            dir: dir.into(),
        }
    }

    /// Waits until all daemons are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        self.vms.iter().all(|vm| {
            while !is_ready(vm.ready) {
                if Instant::now() > end {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            true
        })
    }

    /// Does what the platform does: a process that exceeds its memory is killed, and one that
    /// has ended is started again. Returns the largest memory seen, in MB.
    pub fn supervise(&mut self, since: Instant) -> u64 {
        let limit = self.terms.memory_mb;
        let mut most = 0;
        for vm in &mut self.vms {
            let used = resident_mb(vm.child.id());
            most = most.max(used);
            let mut reason = None;
            if used > limit {
                let _ = vm.child.kill();
                let _ = vm.child.wait();
                reason = Some(format!("held {used} MB of {limit} MB and was killed"));
            } else if let Ok(Some(status)) = vm.child.try_wait() {
                reason = Some(format!("ended by itself: {status}"));
            }
            if let Some(reason) = reason {
                let at = since.elapsed().as_secs_f64();
                vm.ends.push(format!("{at:.2} s: {} {reason}", vm.name));
                // Later starts are not the first one of the system.
                let text = fs::read_to_string(&vm.settings).unwrap_or_default();
                let text = text.replace("bootstrap = true", "bootstrap = false");
                let _ = fs::write(&vm.settings, text);
                vm.child = spawn(&self.root, &vm.settings, &vm.log);
            }
        }
        most
    }

    /// Kills all daemons at once; they are started again after `delay`.
    pub fn kill_all(&mut self, delay: Duration) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
        }
        for vm in &mut self.vms {
            let _ = vm.child.wait();
            // Later starts are not the first one of the system.
            let text = fs::read_to_string(&vm.settings).unwrap_or_default();
            let text = text.replace("bootstrap = true", "bootstrap = false");
            let _ = fs::write(&vm.settings, text);
        }
        std::thread::sleep(delay);
        for vm in &mut self.vms {
            vm.child = spawn(&self.root, &vm.settings, &vm.log);
        }
    }

    /// Lines of all logs that contain a text.
    pub fn find_logs(&self, text: &str, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        for vm in &self.vms {
            let log = fs::read_to_string(&vm.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(text)).collect();
            if let Some(first) = lines.first() {
                found.push(format!(
                    "{}: {} lines such as: {first}",
                    vm.name,
                    lines.len()
                ));
            }
        }
        found.truncate(most);
        found
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    Command::new(root.join("target/release/gentianridged"))
        .arg("--gateway")
        .arg(settings)
        .current_dir(root)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("HOME", std::env::var_os("HOME").unwrap_or_default())
        .env("GENTIANRIDGE_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon of the deploy build")
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let head = format!("GET /api/readiness HTTP/1.1\r\nhost: {addr}\r\n\r\n");
    let (outcome, _) = crate::http::call(addr, &head, b"", Duration::from_secs(1));
    matches!(outcome, crate::http::Outcome::Answer(200, _))
}

/// Resident memory of a process in MB of 1,048,576 bytes.
pub fn resident_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: u64 = line
        .and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    kib / 1024
}

/// Fills in the template; a placeholder without a value gets nothing.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, tail) = after.split_once("}}").expect("a closed placeholder");
        out.push_str(before);
        if let Some((_, value)) = values.iter().find(|(key, _)| *key == name) {
            out.push_str(value);
        }
        rest = tail;
    }
    out + rest
}
