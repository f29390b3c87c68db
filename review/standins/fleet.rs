//! A small deployment: the store, the targets, and daemons as separate processes.

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;
use crate::target::{RunCount, Target, Work};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Failure domain and number of the entry VMs in it.
const VMS: [(&str, usize); 3] = [("sicilia-ct", 2), ("sicilia-pa", 2), ("sicilia-me", 1)];
/// Time in which every daemon has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Variables that a process receives from its caller.
const KEPT_VARIABLES: [&str; 3] = ["PATH", "HOME", "LANG"];

/// Ports of a daemon, the same on all machines.
#[derive(Debug, Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

/// A daemon that runs as a process of its own.
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Child>>,
}

impl Daemon {
    /// Returns true if the process has ended.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        end_process(&self.child);
    }
}

/// Processes that were started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started, for a case that does not end by itself.
pub fn end_all_processes() {
    for child in STARTED.lock().unwrap().iter() {
        end_process(child);
    }
}

fn end_process(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap();
    // It may have ended before.
    let _ = child.kill();
    let _ = child.wait();
}

pub struct Fleet {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts a store and writes the first configuration.
    pub fn new(config: &str) -> std::io::Result<Self> {
        let store = Store::start()?;
        store.put("op", "config", config);
        let folder =
            std::env::temp_dir().join(format!("gentianridge-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            daemons: Vec::new(),
            folder,
        })
    }

    /// Starts the targets of a service and registers them.
    pub fn add_targets(
        &self,
        service: &str,
        count: usize,
        work: Work,
        record: &Record,
    ) -> std::io::Result<()> {
        let runs = RunCount::default();
        for index in 0..count {
            let id = format!("i-{service}-{index}");
            let target = Target::start(&id, work, runs.clone(), record)?;
            let zone = VMS[index % VMS.len()].0;
            let entry = format!(
                "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":3,\"state\":\"ready\",\"cold_left\":\"0ms\",\"seq\":1,\"born\":1780000000000}}",
                target.addr
            );
            self.store.put("servers", &id, &entry);
        }
        Ok(())
    }

    /// Starts the daemons with the command and the settings template of the deploy file.
    pub fn start_daemons(&mut self, root: &Path, record: &Record) -> std::io::Result<()> {
        let template = std::fs::read_to_string(root.join("deploy/settings.ini"))?;
        let ips: Vec<String> = (0..VMS.iter().map(|(_, count)| count).sum::<usize>())
            .map(|index| format!("127.0.0.{}", 11 + index))
            .collect();
        let ports = find_ports(&ips)?;
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("{ip}:{}", ports.control))
            .collect();
        let zones = VMS
            .iter()
            .flat_map(|(zone, count)| (0..*count).map(move |i| (zone, i + 1)));
        for (ip, (zone, number)) in ips.iter().zip(zones) {
            let name = format!("edge-{zone}-{number}");
            let values = [
                ("node", name.clone()),
                ("zone", (*zone).into()),
                ("listen.front", format!("{ip}:{}", ports.front)),
                ("listen.ready", format!("{ip}:{}", ports.ready)),
                ("ip", ip.clone()),
                ("internal_ports.0", ports.internal.to_string()),
                ("platform.addr", self.store.addr.to_string()),
                ("seeds", seeds.join(",")),
                ("bootstrap", "true".into()),
                ("bounds.drain", "2000ms".into()),
                ("bounds.config_apply", "2000ms".into()),
                ("bounds.grace", "6s".into()),
                ("bounds.probes_per_s", "60".into()),
                ("bounds.budget_window", "10s".into()),
                ("bounds.budget_ratio", "0.2".into()),
                ("bounds.budget_extra", "56".into()),
            ];
            let mut settings = template.clone();
            for (key, value) in values {
                settings = settings.replace(&format!("{{{{{key}}}}}"), &value);
            }
            let path = self.folder.join(format!("{name}.ini"));
            std::fs::write(&path, settings)?;
            let log = std::fs::File::create(self.folder.join(format!("{name}.log")))?;
            let errors = std::fs::File::create(self.folder.join(format!("{name}.err")))?;
            let child = Command::new(root.join("target/release/gentianridged"))
                .arg("--gateway")
                .arg(&path)
                .env_clear()
                .envs(std::env::vars().filter(|(name, _)| KEPT_VARIABLES.contains(&name.as_str())))
                .env("GENTIANRIDGE_BOOT", &path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(errors)
                .spawn()?;
            record.line(&format!("start    {name} as process {}", child.id()));
            let child = Arc::new(Mutex::new(child));
            STARTED.lock().unwrap().push(child.clone());
            self.daemons.push(Daemon {
                name,
                front: format!("{ip}:{}", ports.front).parse().expect("an address"),
                ready: format!("{ip}:{}", ports.ready).parse().expect("an address"),
                child,
            });
        }
        self.wait_ready()
    }

    fn wait_ready(&mut self) -> std::io::Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            while !is_ready(daemon.ready) {
                if Instant::now() > end {
                    return Err(std::io::Error::other(format!(
                        "{} is not ready",
                        daemon.name
                    )));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Writes a configuration; the return of the call is its acknowledgement.
    pub fn put_config(&self, config: &str, what: &str, record: &Record) {
        record.line(&format!("operator sends a configuration: {what}"));
        self.store.put("op", "config", config);
        record.line("operator's configuration acknowledged");
    }

    /// Copies what the daemons wrote to their standard error to the record.
    pub fn record_errors(&self, record: &Record) {
        for daemon in &self.daemons {
            let path = self.folder.join(format!("{}.err", daemon.name));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            for line in text.lines().filter(|line| !line.is_empty()) {
                record.line(&format!("stderr   {}: {line}", daemon.name));
            }
            if daemon.has_ended() {
                record.line(&format!("end      {} ended by itself", daemon.name));
            }
        }
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut connection = Connection::new(stream);
    let request = "GET /api/readiness HTTP/1.1\r\nhost: ready\r\n\r\n";
    connection.write(request).is_ok()
        && matches!(connection.read(), Ok(Some(answer)) if answer.word(1) == "200")
}

/// Finds four ports that are free on all addresses.
fn find_ports(ips: &[String]) -> std::io::Result<Ports> {
    let mut found = Vec::new();
    for _ in 0..200 {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let is_free = |ip: &String| {
            TcpListener::bind(format!("{ip}:{port}")).is_ok()
                && UdpSocket::bind(format!("{ip}:{port}")).is_ok()
        };
        if !found.contains(&port) && ips.iter().all(is_free) {
            found.push(port);
        }
        if let [front, ready, control, internal] = found[..] {
            return Ok(Ports {
                front,
                ready,
                control,
                internal,
            });
        }
    }
    Err(std::io::Error::other("no free ports"))
}
