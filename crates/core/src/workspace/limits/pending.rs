//! Asks that have no reply yet.

use super::super::WorkspaceKey;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// An ask that was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingAsk {
    pub(super) nonce: u32,
    pub(super) sent_at: Duration,
    pub(super) addr: SocketAddr,
    pub(super) workspace: WorkspaceKey,
    pub(super) tokens: u32,
    /// True once the reply is no longer waited for.
    pub(super) is_overdue: bool,
}

/// Asks that have no reply yet, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct PendingAsks {
    asks: VecDeque<PendingAsk>,
}

impl PendingAsks {
    /// Time in which a reply is expected. VMs of one region reach each other in a few
    /// milliseconds.
    const REPLY_TIME: Duration = Duration::from_millis(20);

    pub(super) fn push(&mut self, ask: PendingAsk) {
        self.asks.push_back(ask);
    }

    /// Takes the ask to which a reply from `addr` belongs. A second reply finds none.
    pub(super) fn take(&mut self, nonce: u32, addr: SocketAddr) -> Option<PendingAsk> {
        let index = self
            .asks
            .iter()
            .position(|ask| ask.nonce == nonce && ask.addr == addr)?;
        self.asks.remove(index)
    }

    /// Returns the tokens that are expected for a workspace.
    pub(super) fn count_expected(&self, workspace: WorkspaceKey) -> u32 {
        let asks = self.asks.iter();
        let asks = asks.filter(|ask| ask.workspace == workspace && !ask.is_overdue);
        asks.map(|ask| ask.tokens).sum()
    }

    /// Marks the asks whose replies are late at `now`, and returns them; asks older than
    /// `retention` are forgotten.
    pub(super) fn expire(&mut self, now: Duration, retention: Duration) -> Vec<PendingAsk> {
        let is_old = |ask: &PendingAsk| now.saturating_sub(ask.sent_at) >= retention;
        let mut overdue = Vec::new();
        for ask in &mut self.asks {
            if !ask.is_overdue && now.saturating_sub(ask.sent_at) >= Self::REPLY_TIME {
                ask.is_overdue = true;
                overdue.push(*ask);
            }
        }
        while self.asks.front().is_some_and(is_old) {
            self.asks.pop_front();
        }
        overdue
    }

    /// Returns the time at which the next reply is late.
    pub(super) fn get_next_overdue(&self) -> Option<Duration> {
        let waiting = self.asks.iter().find(|ask| !ask.is_overdue)?;
        Some(waiting.sent_at + Self::REPLY_TIME)
    }
}
