//! Memory and descriptors that the system reports.

use rustix::process::{Resource, getrlimit};

/// Memory in bytes that is assumed if the system reports none.
const DEFAULT_MEMORY: usize = 256 * 1024 * 1024;
/// Descriptors that are assumed if the system reports no limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Returns the memory of the machine in bytes.
pub(crate) fn get_memory() -> usize {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.map_or(DEFAULT_MEMORY, |kilobytes| kilobytes.saturating_mul(1_024))
}

/// Returns the limit of the descriptors of this process.
pub(crate) fn get_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(DEFAULT_DESCRIPTORS, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    })
}
