//! Sizes derived from the memory and the descriptors of the VM.

/// How much a VM may hold for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes for all connections, heads, bodies and answers.
    pub capacity: usize,
    /// Part of `capacity` that only requests of at most [`Self::SHORT_BYTES`] use.
    pub short_part: usize,
    /// Largest number of callers' connections.
    pub max_connections: usize,
    /// Largest body in bytes that is held whole; a longer one is forwarded as it arrives.
    pub max_held_body: usize,
    /// Largest number of bodies that are forwarded as they arrive.
    pub max_flows: usize,
}

impl MemoryBudget {
    /// Bytes up to which a request is short: nearly all heads, bodies and answers are.
    pub const SHORT_BYTES: usize = 64 * 1024;
    /// Bytes that an open connection occupies in this process: its task, its timers and the
    /// first buffer of the HTTP library.
    pub const CONNECTION_BYTES: usize = 16 * 1024;
    /// Bytes that the process takes without callers: code, runtime, routes, targets, peers.
    const FIXED_BYTES: usize = 24 * 1024 * 1024;
    /// Share of the rest that is handed out; the allocator and the buffers of the HTTP
    /// library and of the system take what is left.
    const CAPACITY_PERCENT: usize = 60;
    /// Descriptors that the platform reserves for files.
    const FILE_DESCRIPTORS: usize = 200;

    /// Derives the budget from the memory in bytes and the number of descriptors.
    pub fn new(memory: usize, descriptors: usize, max_flows: usize) -> Self {
        let variable = memory.saturating_sub(Self::FIXED_BYTES).max(memory / 4);
        let capacity = variable / 100 * Self::CAPACITY_PERCENT;
        let sockets = descriptors - Self::FILE_DESCRIPTORS.min(descriptors / 4);
        // The rest is for targets, the store and peers.
        let for_callers = sockets / 4 * 3;
        let affordable = capacity / 4 / Self::CONNECTION_BYTES;
        Self {
            capacity,
            short_part: capacity / 4,
            max_connections: for_callers.min(affordable).max(1),
            max_held_body: capacity / 4,
            max_flows,
        }
    }
}
