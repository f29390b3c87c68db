//! A daemon as a process of its own.

use anyhow::Context;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

/// Ports of every daemon; each has an address of its own on loopback, so that
/// no other program of the machine takes one between two starts.
const CALLERS: u16 = 18_001;
const READY: u16 = 18_002;
const PEERS: u16 = 18_003;

/// A VM whose daemon is started, stopped and killed.
#[derive(Debug)]
pub(super) struct VmProcess {
    binary: PathBuf,
    dir: PathBuf,
    ip: Ipv4Addr,
    index: usize,
    store: SocketAddr,
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
    ) -> Self {
        Self {
            binary: binary.into(),
            dir: dir.into(),
            ip,
            index,
            store,
            child: None,
            starts: 0,
        }
    }

    pub(super) fn get_callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }

    pub(super) fn get_ready(&self) -> SocketAddr {
        (self.ip, READY).into()
    }

    /// Starts the daemon with its lines in a file of this start.
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

    /// Writes the settings; `probes` is what a change of settings changes.
    pub(super) fn write_settings(&self, probes: u16) -> anyhow::Result<()> {
        let Self { ip, index, .. } = self;
        let text = format!(
            "[vm]\nname = vm-{index}\ndomain = d1\n\n\
             [listen]\ncallers = {ip}:{CALLERS}\nready = {ip}:{READY}\npeers = {ip}:{PEERS}\n\n\
             [store]\naddress = {}\n\n\
             [bounds]\ndrain = 2s\napply = 2s\ngrace = 6s\nprobes = {probes}\n\n\
             [repeats]\nwindow = 10s\nratio = 0.2\nextra = 56\n\n\
             [log]\nlevel = info\nformat = json\n",
            self.store
        );
        Ok(std::fs::write(
            self.dir.join(format!("vm{index}.ini")),
            text,
        )?)
    }

    /// Sends a signal; none is sent to a daemon that has ended.
    pub(super) fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id);
        let pid = pid.and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("vm-{}: {signal:?} was not sent: {error}", self.index);
        }
    }

    /// Ends the daemon and waits until it has gone, so that the next run can
    /// take its addresses.
    pub(super) async fn end(mut child: Child) {
        if let Err(error) = child.kill().await {
            eprintln!("a daemon was not ended: {error}");
        }
    }

    /// Hands the process over to be ended.
    pub(super) fn take(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Returns true if the daemon has ended; one that was handed over has not.
    pub(super) fn has_exited(&mut self) -> bool {
        match &mut self.child {
            None => false,
            Some(child) => !matches!(child.try_wait(), Ok(None)),
        }
    }
}
