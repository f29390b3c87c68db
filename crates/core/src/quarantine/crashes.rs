//! Crash marks and quarantined fingerprints.

use crate::VmName;
use std::time::{Duration, Instant};

/// One crash that was seen under a request, as VMs tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// VM that saw the crash.
    pub vm: VmName,
    /// Crashes that the VM has seen under the request since its last success.
    pub count: u16,
    /// Times at which a success has reset the count.
    pub epoch: u16,
    /// Time since the crash.
    pub age: Duration,
}

/// A change that an operator may want to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is refused from now on.
    Quarantined(u64),
    /// The request is accepted again.
    Lifted(u64),
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    vm: VmName,
    count: u16,
    epoch: u16,
    at: Instant,
}

/// Crash marks of the whole fleet, merged by maximum.
///
/// Marks are counts per VM, so a mark that arrives twice or late counts once.
/// A success under the same request takes a VM's own count back, because a
/// target that dies takes innocent requests with it, and a popular one would
/// otherwise be charged for two deaths. The table is bounded; the oldest mark
/// goes first.
#[derive(Debug)]
pub struct Quarantine {
    entries: Vec<Entry>,
    quarantined: Vec<u64>,
    period: Duration,
}

impl Quarantine {
    /// Crashes over the fleet from which a request is quarantined.
    pub const CRASHES: u16 = 2;
    /// Most marks kept.
    pub const MAX_RECORDS: usize = 512;

    /// Creates an empty table whose marks expire after `period`.
    pub fn new(period: Duration) -> Self {
        Self {
            entries: Vec::new(),
            quarantined: Vec::new(),
            period,
        }
    }

    /// Sets the period after which marks expire.
    pub fn set_period(&mut self, period: Duration) {
        self.period = period;
    }

    /// Returns true if the request is to be refused.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantined.binary_search(&fingerprint).is_ok()
    }

    /// Returns the quarantined fingerprints in ascending order.
    pub fn get_quarantined(&self) -> &[u64] {
        &self.quarantined
    }

    /// Notes a crash that this VM saw.
    pub fn record_crash(
        &mut self,
        now: Instant,
        vm: &VmName,
        fingerprint: u64,
    ) -> Option<QuarantineChange> {
        let (epoch, count) = self.get_state(vm, fingerprint);
        let entry = Entry {
            fingerprint,
            vm: vm.clone(),
            count: count + 1,
            epoch,
            at: now,
        };
        self.insert(now, entry);
        self.judge(fingerprint)
    }

    /// Notes that a target answered the request.
    pub fn record_success(&mut self, vm: &VmName, fingerprint: u64) {
        if self.entries.is_empty() {
            return;
        }
        if let Ok(index) = self.find(vm, fingerprint)
            && self.entries[index].count > 0
        {
            self.entries[index].count = 0;
            self.entries[index].epoch += 1;
        }
    }

    /// Takes in a mark of a peer.
    pub fn merge(&mut self, now: Instant, mark: &CrashRecord) -> Option<QuarantineChange> {
        let known = self.get_state(&mark.vm, mark.fingerprint);
        if mark.age >= self.period || (mark.epoch, mark.count) <= known {
            return None;
        }
        let at = now.checked_sub(mark.age).unwrap_or(now);
        self.insert(
            now,
            Entry {
                fingerprint: mark.fingerprint,
                vm: mark.vm.clone(),
                count: mark.count,
                epoch: mark.epoch,
                at,
            },
        );
        self.judge(mark.fingerprint)
    }

    /// Returns the newest marks for the peers, at most `limit`.
    pub fn get_crash_records(&self, now: Instant, limit: usize) -> Vec<CrashRecord> {
        let mut crashes: Vec<CrashRecord> = self
            .entries
            .iter()
            .map(|entry| CrashRecord {
                fingerprint: entry.fingerprint,
                vm: entry.vm.clone(),
                count: entry.count,
                epoch: entry.epoch,
                age: now.saturating_duration_since(entry.at),
            })
            .collect();
        crashes.sort_by_key(|mark| mark.age);
        crashes.truncate(limit);
        crashes
    }

    /// Drops expired marks and lifts what they quarantined.
    pub fn expire(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let period = self.period;
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.at) < period);
        self.lift_unsupported()
    }

    /// Releases a request by an operator's choice.
    pub fn release(&mut self, fingerprint: u64) -> Option<QuarantineChange> {
        self.entries
            .retain(|entry| entry.fingerprint != fingerprint);
        self.lift_unsupported().pop()
    }

    fn lift_unsupported(&mut self) -> Vec<QuarantineChange> {
        let entries = &self.entries;
        let mut lifted = Vec::new();
        self.quarantined.retain(|&fingerprint| {
            let stays = total_of(entries, fingerprint) >= Self::CRASHES;
            if !stays {
                lifted.push(QuarantineChange::Lifted(fingerprint));
            }
            stays
        });
        lifted
    }

    fn get_state(&self, vm: &VmName, fingerprint: u64) -> (u16, u16) {
        self.find(vm, fingerprint).map_or((0, 0), |index| {
            (self.entries[index].epoch, self.entries[index].count)
        })
    }

    fn find(&self, vm: &VmName, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.fingerprint, &entry.vm).cmp(&(fingerprint, vm)))
    }

    fn insert(&mut self, now: Instant, entry: Entry) {
        match self.find(&entry.vm, entry.fingerprint) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => {
                self.entries.insert(index, entry);
                self.drop_excess(now);
            }
        }
    }

    fn drop_excess(&mut self, now: Instant) {
        if self.entries.len() <= Self::MAX_RECORDS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .enumerate()
            .max_by_key(|(_, entry)| now.saturating_duration_since(entry.at))
            .map(|(index, _)| index);
        if let Some(index) = oldest {
            self.entries.remove(index);
        }
    }

    fn judge(&mut self, fingerprint: u64) -> Option<QuarantineChange> {
        if total_of(&self.entries, fingerprint) < Self::CRASHES {
            return None;
        }
        match self.quarantined.binary_search(&fingerprint) {
            Ok(_) => None,
            Err(index) => {
                self.quarantined.insert(index, fingerprint);
                Some(QuarantineChange::Quarantined(fingerprint))
            }
        }
    }
}

fn total_of(entries: &[Entry], fingerprint: u64) -> u16 {
    let start = entries.partition_point(|entry| entry.fingerprint < fingerprint);
    entries[start..]
        .iter()
        .take_while(|entry| entry.fingerprint == fingerprint)
        .map(|entry| entry.count)
        .sum()
}
