//! Requests that crash the targets that run them.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_core::{CrashMark, EventKind, QuarantineChange};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a crash counts against a request, and for which it is held.
pub(crate) const CRASH_PERIOD: Duration = Duration::from_secs(60);
/// Marks told in one datagram; each takes some forty bytes.
const TOLD_MARKS: usize = 8;

impl Gateway {
    /// Notes that a target went down under a request; returns true if the
    /// request is held from now on.
    pub(crate) fn record_crash(&self, addr: SocketAddr, fingerprint: u64) -> bool {
        log::warn!(
            target: STATE_LOG_TARGET,
            addr = addr.to_string().as_str(),
            fingerprint = format!("{fingerprint:016x}").as_str();
            "a target went down under a request"
        );
        let now = self.clock.now();
        let me = self.get_settings().vm.clone();
        let change = self
            .quarantine
            .borrow_mut()
            .record_crash(now, &me, fingerprint);
        self.note_quarantine(change);
        self.peers.note_urgent();
        self.is_held(fingerprint)
    }

    /// Returns true if the request has crashed targets and is held.
    pub(crate) fn is_held(&self, fingerprint: u64) -> bool {
        self.quarantine.borrow().is_quarantined(fingerprint)
    }

    /// Notes that a target answered the request.
    pub(crate) fn note_survived(&self, fingerprint: u64) {
        let me = self.get_settings().vm.clone();
        self.quarantine
            .borrow_mut()
            .record_success(&me, fingerprint);
    }

    /// Takes in what a peer saw.
    pub(crate) fn take_marks(&self, marks: &[CrashMark]) {
        let now = self.clock.now();
        for mark in marks {
            let change = self.quarantine.borrow_mut().merge(now, mark);
            if change.is_some() {
                self.peers.note_urgent();
            }
            self.note_quarantine(change);
        }
    }

    /// Returns the marks to tell the peers, those of other VMs included, since
    /// each VM talks to a few only.
    pub(crate) fn get_marks_to_tell(&self) -> Vec<CrashMark> {
        let now = self.clock.now();
        self.quarantine.borrow().get_marks(now, TOLD_MARKS)
    }

    /// Lifts what has expired.
    pub(crate) fn expire_marks(&self) {
        let changes = self.quarantine.borrow_mut().expire(self.clock.now());
        for change in changes {
            self.note_quarantine(Some(change));
        }
    }

    fn note_quarantine(&self, change: Option<QuarantineChange>) {
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
