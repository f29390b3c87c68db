//! A daemon in a process of its own, and what the system reports about it.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};

const CALLERS_PORT: u16 = 18_101;
const READY_PORT: u16 = 18_102;
const PEERS_PORT: u16 = 18_103;

/// Memory and descriptors that the settings state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VmLimits {
    pub(crate) megabytes: u64,
    pub(crate) descriptors: usize,
}

/// A running daemon; it is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct VmProcess {
    child: Child,
    ip: Ipv4Addr,
    limits: VmLimits,
}

impl VmProcess {
    /// Starts a daemon on a loopback address that no other test process uses.
    pub(crate) fn start(name: &str, store: SocketAddr, limits: VmLimits) -> Self {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 90, high, low.clamp(1, 254));
        let text = format!(
            "[vm]\nname = vm-1\ndomain = d1\n\n\
             [listen]\ncallers = {ip}:{CALLERS_PORT}\nready = {ip}:{READY_PORT}\npeers = {ip}:{PEERS_PORT}\n\n\
             [store]\naddress = {store}\n\n\
             [bounds]\ndrain = 2s\napply = 2s\ngrace = 6s\nprobes = 60\n\n\
             [memory]\nmegabytes = {}\ndescriptors = {}\n\n\
             [log]\nlevel = info\nformat = json\n",
            limits.megabytes, limits.descriptors
        );
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("outsiders-{name}.ini"));
        std::fs::write(&path, text).unwrap();
        let log = std::fs::File::create(path.with_extension("log")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_gentianridged"))
            .arg("--gateway")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { child, ip, limits }
    }

    pub(crate) fn get_callers(&self) -> SocketAddr {
        (self.ip, CALLERS_PORT).into()
    }

    pub(crate) fn get_ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// Checks that the process lives, and that its memory and its descriptors were and are
    /// below those of the VM.
    pub(crate) fn check_limits(&mut self) {
        let exit = self.child.try_wait().unwrap();
        assert!(exit.is_none(), "the process has ended: {exit:?}");
        let (peak, descriptors) = (self.get_peak_kilobytes(), self.count_descriptors());
        println!("peak memory {peak} kB, {descriptors} descriptors");
        let bound = self.limits.megabytes * 1_000_000 / 1_024;
        assert!(peak <= bound, "peak memory {peak} kB of {bound} kB");
        let bound = self.limits.descriptors;
        assert!(descriptors <= bound, "{descriptors} descriptors of {bound}");
    }

    /// Returns the largest resident memory so far.
    pub(crate) fn get_peak_kilobytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|text| text.parse().ok()).unwrap()
    }

    fn count_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended, which the test reports.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
