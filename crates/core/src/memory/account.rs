//! The account of the memory that is held for callers.

use super::holder::Holder;
use super::{HolderKey, HolderPhase, MemoryBudget};
use slotmap::SlotMap;
use std::time::Instant;

/// Decision about a request for memory or for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryDecision {
    /// It was granted.
    Granted,
    /// The holder has to be closed first; then ask again.
    Evict(HolderKey),
    /// Holders that are being closed will make room; ask again after a release.
    Wait,
    /// There is no room, and no holder makes so little progress that it gives way.
    Full,
}

/// All memory that the VM holds for its callers.
///
/// Memory is granted before it is used. When the account is full, the caller that makes the
/// least progress gives way; if all of them make progress, the newcomer is refused.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: MemoryBudget,
    holders: SlotMap<HolderKey, Holder>,
    used: usize,
    flows: usize,
}

impl MemoryAccount {
    /// Creates an account without holders.
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget,
            holders: SlotMap::with_key(),
            used: 0,
            flows: 0,
        }
    }

    /// Returns the budget in force.
    pub fn get_budget(&self) -> MemoryBudget {
        self.budget
    }

    /// Sets another budget; what was granted stays granted.
    pub fn set_budget(&mut self, budget: MemoryBudget) {
        self.budget = budget;
    }

    /// Returns the bytes granted and not released.
    pub fn get_used(&self) -> usize {
        self.used
    }

    /// Returns the number of connections.
    pub fn count_holders(&self) -> usize {
        self.holders.len()
    }

    /// Decides whether a new connection may be opened. The connection that has been idle for
    /// longest gives way first, then the one that makes the least progress.
    pub fn admit(&mut self, now: Instant) -> MemoryDecision {
        let bytes = MemoryBudget::CONNECTION_BYTES;
        let has_room = self.holders.len() < self.budget.max_connections
            && self.used + bytes <= self.budget.capacity;
        if has_room {
            return MemoryDecision::Granted;
        }
        match self.find_idle().or_else(|| self.find_slowest(now)) {
            Some(victim) => self.evict(victim),
            None => MemoryDecision::Full,
        }
    }

    /// Opens a connection that was admitted.
    pub fn open(&mut self, now: Instant) -> HolderKey {
        let key = self.holders.insert(Holder::new(now));
        self.add(key, MemoryBudget::CONNECTION_BYTES);
        key
    }

    /// Closes a connection. What was granted to it beyond the connection itself stays in use
    /// until it is released, since a request can outlive its connection.
    pub fn close(&mut self, key: HolderKey) {
        self.release(key, MemoryBudget::CONNECTION_BYTES);
        self.holders.remove(key);
    }

    /// Sets what a connection does.
    pub fn enter(&mut self, now: Instant, key: HolderKey, phase: HolderPhase) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.enter(now, phase);
        }
    }

    /// Records bytes that a caller sent or took.
    pub fn record_progress(&mut self, now: Instant, key: HolderKey, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.record_progress(now, bytes);
        }
    }

    /// Asks for memory for a connection.
    pub fn reserve(&mut self, now: Instant, key: HolderKey, bytes: usize) -> MemoryDecision {
        let Some(limit) = self.get_limit(key, bytes) else {
            return MemoryDecision::Full;
        };
        if self.used + bytes <= limit {
            self.add(key, bytes);
            return MemoryDecision::Granted;
        }
        let evicted = self.holders.values().filter(|holder| holder.is_evicted);
        let expected: usize = evicted.map(|holder| holder.bytes).sum();
        if self.used.saturating_sub(expected) + bytes <= limit {
            return MemoryDecision::Wait;
        }
        match self.find_slowest(now).filter(|slowest| *slowest != key) {
            Some(victim) => self.evict(victim),
            None => MemoryDecision::Full,
        }
    }

    /// Reserves memory that the connection can do without; no other connection is closed for it.
    pub fn try_reserve(&mut self, key: HolderKey, bytes: usize) -> bool {
        let is_granted = self
            .get_limit(key, bytes)
            .is_some_and(|limit| self.used + bytes <= limit);
        if is_granted {
            self.add(key, bytes);
        }
        is_granted
    }

    /// Gives memory back.
    pub fn release(&mut self, key: HolderKey, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(holder) = self.holders.get_mut(key) {
            holder.bytes = holder.bytes.saturating_sub(bytes);
        }
    }

    /// Starts to forward a body as it arrives; returns false if too many are forwarded.
    pub fn start_flow(&mut self) -> bool {
        let is_allowed = self.flows < self.budget.max_flows;
        self.flows += usize::from(is_allowed);
        is_allowed
    }

    /// Ends a flow that [`Self::start_flow`] allowed.
    pub fn end_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Returns the bytes up to which the account may be used for a request of the holder,
    /// `None` for a holder that is closed or being closed.
    fn get_limit(&self, key: HolderKey, bytes: usize) -> Option<usize> {
        let holder = self.holders.get(key).filter(|holder| !holder.is_evicted)?;
        let request = holder.bytes + bytes - MemoryBudget::CONNECTION_BYTES;
        Some(if request <= MemoryBudget::SHORT_BYTES {
            self.budget.capacity
        } else {
            self.budget.capacity - self.budget.short_part
        })
    }

    fn add(&mut self, key: HolderKey, bytes: usize) {
        self.used += bytes;
        self.holders[key].bytes += bytes;
    }

    fn evict(&mut self, victim: HolderKey) -> MemoryDecision {
        self.holders[victim].is_evicted = true;
        MemoryDecision::Evict(victim)
    }

    /// Returns the connection that has been idle for longest.
    fn find_idle(&self) -> Option<HolderKey> {
        let idle = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.phase == HolderPhase::Idle && !holder.is_evicted);
        let longest = idle.min_by_key(|(_, holder)| holder.phase_started);
        longest.map(|(key, _)| key)
    }

    /// Returns the connection that makes the least progress, the largest one among equals.
    fn find_slowest(&mut self, now: Instant) -> Option<HolderKey> {
        let slow = self.holders.iter_mut().filter_map(|(key, holder)| {
            let progress = holder.get_slow_progress(now)?;
            Some((progress, usize::MAX - holder.bytes, key))
        });
        slow.min_by_key(|(progress, smallness, _)| (*progress, *smallness))
            .map(|(.., key)| key)
    }
}
