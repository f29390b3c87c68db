//! Daemons as separate processes.

use super::keys::REVOKE;
use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

/// Ports of every daemon. Each daemon has its own loopback address, so that no other
/// program on the machine occupies a port between two starts.
const CALLERS_PORT: u16 = 18_001;
const READY_PORT: u16 = 18_002;
const PEERS_PORT: u16 = 18_003;

/// The daemon of one VM and its settings.
#[derive(Debug)]
pub(super) struct VmProcess {
    binary: PathBuf,
    dir: PathBuf,
    ip: Ipv4Addr,
    index: usize,
    store: SocketAddr,
    /// True if keys are accepted by proof.
    is_keyed: bool,
    child: Option<Child>,
    starts: u32,
}

impl VmProcess {
    pub(super) fn new(
        binary: &Path,
        dir: &Path,
        ip: Ipv4Addr,
        index: usize,
        store: SocketAddr,
        is_keyed: bool,
    ) -> Self {
        Self {
            binary: binary.into(),
            dir: dir.into(),
            ip,
            index,
            store,
            is_keyed,
            child: None,
            starts: 0,
        }
    }

    pub(super) fn get_callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub(super) fn get_ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// Starts the daemon; each start writes its output to a log file of its own.
    pub(super) fn start(&mut self) -> anyhow::Result<()> {
        let settings = self.dir.join(format!("vm{}.ini", self.index));
        self.write_settings(60)?;
        self.starts += 1;
        let log = format!("vm{}-{}.log", self.index, self.starts);
        let log = File::create(self.dir.join(log))?;
        let child = Command::new(&self.binary)
            .arg("--gateway")
            .arg(&settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", self.binary.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Writes the settings; `probes` is the value that a reload changes.
    pub(super) fn write_settings(&self, probes: u16) -> anyhow::Result<()> {
        let Self { ip, index, .. } = self;
        let keys = if self.is_keyed {
            let revoke = REVOKE.as_millis();
            format!("[workspaces]\nstrict = true\nrevoke = {revoke}ms\n\n")
        } else {
            String::new()
        };
        let text = format!(
            "[vm]\nname = vm-{index}\ndomain = d1\n\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nready = {ip}:{READY_PORT}\npeers = {ip}:{PEERS_PORT}\n\n\
             [store]\naddress = {}\n\n\
             [bounds]\ndrain = 2s\napply = 2s\ngrace = 6s\nprobes = {probes}\n\n\
             [repeats]\nwindow = 10s\nratio = 0.2\nextra = 56\n\n{keys}\
             [log]\nlevel = info\nformat = json\n",
            self.store
        );
        Ok(std::fs::write(
            self.dir.join(format!("vm{index}.ini")),
            text,
        )?)
    }

    /// Sends a signal, unless the daemon has exited.
    pub(super) fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id);
        let pid = pid.and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("vm-{}: cannot send {signal:?}: {error}", self.index);
        }
    }

    /// Kills a daemon and waits for its exit, so that the next run can bind its
    /// addresses.
    pub(super) async fn kill(mut child: Child) {
        if let Err(error) = child.kill().await {
            eprintln!("cannot kill a daemon: {error}");
        }
    }

    /// Removes the process and returns it, so that the caller can kill it.
    pub(super) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Returns true if the daemon has exited; false after [`Self::take_child`].
    pub(super) fn has_exited(&mut self) -> bool {
        match &mut self.child {
            None => false,
            Some(child) => !matches!(child.try_wait(), Ok(None)),
        }
    }
}
