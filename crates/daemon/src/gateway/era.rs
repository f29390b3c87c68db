//! The era of the store in the view of this VM.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::{Changes, StoreError};
use gentianridge_core::{EraNotice, EraOrder};
use std::time::Instant;

impl Gateway {
    /// Passes on a read of the store unless it is older than the store's last return.
    ///
    /// # Errors
    ///
    /// Fails if the read is of an earlier era than another answer to this VM.
    pub(super) fn check_era(&self, changes: Changes) -> Result<Changes, StoreError> {
        let era = changes.version.era;
        let order = self.era.borrow_mut().observe(self.clock.since_boot(), era);
        match order {
            EraOrder::Current => Ok(changes),
            EraOrder::Newer(old) => {
                self.record_return(old, era);
                Ok(changes)
            }
            EraOrder::Older(newest) => {
                self.metrics.record_era("older");
                log::warn!(
                    target: STATE_LOG_TARGET,
                    era = era,
                    newest_era = newest,
                    discarded_version = changes.version.number;
                    "answer of an earlier era of the store discarded"
                );
                Err(StoreError::new_outdated(era, newest))
            }
        }
    }

    fn record_return(&self, old: u64, era: u64) {
        self.metrics.record_era("newer");
        log::warn!(
            target: STATE_LOG_TARGET,
            era = era,
            earlier_era = old,
            config_version = self.get_version();
            "the store has returned from a copy; tables are read in full"
        );
        self.peers.request_round();
    }

    /// Records the newest era that a peer knows.
    pub(super) fn adopt_era(&self, notice: Option<EraNotice>) {
        if let Some(notice) = notice {
            let now = self.clock.since_boot();
            self.era.borrow_mut().adopt(now, notice);
        }
    }

    /// Returns when everything has been written again after the return of the store that
    /// began an era, `None` if no return is known.
    pub(super) fn get_restored(&self, era: u64) -> Option<Instant> {
        let at = self.era.borrow().get_restored(era)?;
        let (now, boot) = (self.clock.now(), self.clock.since_boot());
        let left = at.saturating_sub(boot);
        let passed = boot.saturating_sub(at);
        (now + left).checked_sub(passed)
    }

    /// Returns the newest era for peers.
    pub(super) fn get_era_notice(&self) -> Option<EraNotice> {
        self.era.borrow().get_notice(self.clock.since_boot())
    }
}
