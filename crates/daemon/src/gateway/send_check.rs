//! The check of a target directly before a request is sent to it.

use super::state::Gateway;
use gentianridge_core::{Incarnation, SendCheck};
use std::time::{Duration, Instant};
use tokio::time::timeout_at;

/// Longest wait of a request for a newer target list. A read takes a few
/// milliseconds; if it takes longer than this, the store is disrupted.
const LIST_WAIT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Checks that a request may be sent to a target now.
    ///
    /// If the list is too old, a read of it is due on this VM and the request waits
    /// for it. If the store does not answer, the request is sent all the same: no
    /// VM can then receive a newer list, and refusing requests would stop the
    /// service. docs/decisions/0018-leaving-targets.md has the cases.
    ///
    /// # Errors
    ///
    /// Returns the reason for which nothing may be sent.
    pub(super) async fn check_send(
        &self,
        incarnation: &Incarnation,
        deadline: Instant,
    ) -> Result<(), &'static str> {
        let wait_end = deadline.min(self.clock.now() + LIST_WAIT);
        loop {
            let refreshed = self.list_reader.refreshed.notified();
            let now = self.clock.now();
            let check = self.list.borrow().check_send(now, incarnation);
            match check {
                SendCheck::Allowed => return Ok(()),
                SendCheck::Withdrawn => return Err("the target is leaving"),
                SendCheck::Paused => return Err("the target requested a pause"),
                SendCheck::Emptied => return Err("the failure domain is emptied"),
                SendCheck::Outdated => {}
            }
            let is_answering = !self.list_reader.is_failing(now);
            if !is_answering || timeout_at(wait_end.into(), refreshed).await.is_err() {
                self.metrics.record_outdated_send();
                return Ok(());
            }
        }
    }
}
