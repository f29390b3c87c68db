//! Crash records and quarantined fingerprints.

use crate::VmName;
use std::time::{Duration, Instant};

/// Crashes of targets during a request, as counted by one VM and sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// VM that observed the crashes.
    pub vm: VmName,
    /// Crashes that the VM has observed since the last success of the request.
    pub count: u16,
    /// Number of times that a success has reset the count.
    pub epoch: u16,
    /// Time since the last crash.
    pub age: Duration,
}

/// A change that is reported to operators.
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

/// Crash records of the entire fleet, merged by maximum.
///
/// Records are counts per VM, so a record that arrives twice or late counts
/// once. A success of the same request resets the VM's own count: when a target
/// crashes, all requests that run on it are counted, and a frequent request
/// would otherwise be quarantined because two targets crashed for other
/// reasons. The table is bounded; the oldest record is evicted first.
#[derive(Debug)]
pub struct Quarantine {
    entries: Vec<Entry>,
    quarantined: Vec<u64>,
    period: Duration,
}

impl Quarantine {
    /// Crashes in the entire fleet after which a request is quarantined.
    pub const CRASHES: u16 = 2;
    /// Maximum number of records kept.
    pub const MAX_RECORDS: usize = 512;

    /// Creates an empty table whose records expire after `period`.
    pub fn new(period: Duration) -> Self {
        Self {
            entries: Vec::new(),
            quarantined: Vec::new(),
            period,
        }
    }

    /// Sets the period after which records expire.
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

    /// Records a crash that this VM observed.
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
            count: count.saturating_add(1),
            epoch,
            at: now,
        };
        self.insert(now, entry);
        self.check_threshold(fingerprint)
    }

    /// Records that a target answered the request.
    pub fn record_success(&mut self, vm: &VmName, fingerprint: u64) {
        if self.entries.is_empty() {
            return;
        }
        if let Ok(index) = self.find(vm, fingerprint)
            && self.entries[index].count > 0
        {
            self.entries[index].count = 0;
            self.entries[index].epoch = self.entries[index].epoch.saturating_add(1);
        }
    }

    /// Merges a record of a peer.
    pub fn merge(&mut self, now: Instant, record: &CrashRecord) -> Option<QuarantineChange> {
        let known = self.get_state(&record.vm, record.fingerprint);
        if record.age >= self.period || (record.epoch, record.count) <= known {
            return None;
        }
        let at = now.checked_sub(record.age).unwrap_or(now);
        self.insert(
            now,
            Entry {
                fingerprint: record.fingerprint,
                vm: record.vm.clone(),
                count: record.count,
                epoch: record.epoch,
                at,
            },
        );
        self.check_threshold(record.fingerprint)
    }

    /// Returns the newest records to send to peers, at most `limit`.
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
        crashes.sort_by_key(|record| record.age);
        crashes.truncate(limit);
        crashes
    }

    /// Removes expired records and lifts the quarantines that depended on them.
    pub fn expire(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let period = self.period;
        self.entries
            .retain(|entry| now.saturating_duration_since(entry.at) < period);
        self.lift_below_threshold()
    }

    /// Lifts the quarantine of a request that an operator releases.
    pub fn release(&mut self, fingerprint: u64) -> Option<QuarantineChange> {
        self.entries
            .retain(|entry| entry.fingerprint != fingerprint);
        self.lift_below_threshold().pop()
    }

    fn lift_below_threshold(&mut self) -> Vec<QuarantineChange> {
        let entries = &self.entries;
        let mut lifted = Vec::new();
        self.quarantined.retain(|&fingerprint| {
            let is_kept = count_crashes(entries, fingerprint) >= Self::CRASHES;
            if !is_kept {
                lifted.push(QuarantineChange::Lifted(fingerprint));
            }
            is_kept
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
                self.evict_excess(now);
            }
        }
    }

    fn evict_excess(&mut self, now: Instant) {
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

    fn check_threshold(&mut self, fingerprint: u64) -> Option<QuarantineChange> {
        if count_crashes(&self.entries, fingerprint) < Self::CRASHES {
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

fn count_crashes(entries: &[Entry], fingerprint: u64) -> u16 {
    let start = entries.partition_point(|entry| entry.fingerprint < fingerprint);
    entries[start..]
        .iter()
        .take_while(|entry| entry.fingerprint == fingerprint)
        .map(|entry| entry.count)
        .fold(0, u16::saturating_add)
}
