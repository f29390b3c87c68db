//! Requests that crash the targets that run them.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{CrashRecord, EventKind, QuarantineChange};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a crash counts against a request, and for which a request is
/// quarantined.
pub(crate) const CRASH_PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of crash records in a datagram; each takes about 40 bytes.
const MAX_RECORDS_SENT: usize = 8;

impl Gateway {
    /// Records that a target crashed while it ran a request; returns true if the
    /// request is quarantined.
    pub(crate) fn record_crash(&self, addr: SocketAddr, fingerprint: u64) -> bool {
        log::warn!(
            target: STATE_LOG_TARGET,
            addr = addr.to_string().as_str(),
            fingerprint = format!("{fingerprint:016x}").as_str();
            "target crashed while it ran a request"
        );
        let now = self.clock.now();
        let me = self.get_settings().vm.clone();
        let change = self
            .quarantine
            .borrow_mut()
            .record_crash(now, &me, fingerprint);
        self.record_quarantine_change(change);
        self.peers.request_round();
        self.is_quarantined(fingerprint)
    }

    /// Returns true if the request has crashed targets and is quarantined.
    pub(crate) fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.quarantine.borrow().is_quarantined(fingerprint)
    }

    /// Records that a target answered the request.
    pub(crate) fn record_success(&self, fingerprint: u64) {
        let me = self.get_settings().vm.clone();
        self.quarantine
            .borrow_mut()
            .record_success(&me, fingerprint);
    }

    /// Applies the crash records that a peer sent.
    pub(crate) fn apply_crash_records(&self, records: &[CrashRecord]) {
        let now = self.clock.now();
        for record in records {
            let change = self.quarantine.borrow_mut().merge(now, record);
            if change.is_some() {
                self.peers.request_round();
            }
            self.record_quarantine_change(change);
        }
    }

    /// Returns the crash records to send to the peers. Records of other VMs are
    /// included, since each VM sends datagrams to a few peers only.
    pub(crate) fn get_crash_records(&self) -> Vec<CrashRecord> {
        let now = self.clock.now();
        self.quarantine
            .borrow()
            .get_crash_records(now, MAX_RECORDS_SENT)
    }

    /// Lifts the quarantines that have expired.
    pub(crate) fn expire_quarantine(&self) {
        let changes = self.quarantine.borrow_mut().expire(self.clock.now());
        for change in changes {
            self.record_quarantine_change(Some(change));
        }
    }

    fn record_quarantine_change(&self, change: Option<QuarantineChange>) {
        match change {
            Some(QuarantineChange::Quarantined(fingerprint)) => {
                self.journal.record(EventKind::Quarantined { fingerprint });
            }
            Some(QuarantineChange::Lifted(fingerprint)) => {
                self.journal
                    .record(EventKind::QuarantineLifted { fingerprint });
            }
            None => {}
        }
    }
}
