//! Tokens received from peers.

use std::time::Duration;

/// Tokens that are void after some time, those that end first in front.
#[derive(Debug, Clone, Default)]
pub(super) struct BorrowedTokens {
    /// Ends and numbers of tokens, in ascending order.
    parts: Vec<(Duration, u32)>,
}

impl BorrowedTokens {
    /// Adds tokens that are void from `expires`.
    pub(super) fn add(&mut self, now: Duration, expires: Duration, tokens: u32) {
        if tokens == 0 || expires <= now {
            return;
        }
        let index = self.parts.partition_point(|(end, _)| *end < expires);
        match self.parts.get_mut(index) {
            Some((end, held)) if *end == expires => *held += tokens,
            _ => self.parts.insert(index, (expires, tokens)),
        }
    }

    /// Takes the token that ends first; returns its end.
    pub(super) fn take(&mut self, now: Duration) -> Option<Duration> {
        self.expire(now);
        let (end, held) = self.parts.first_mut()?;
        let expires = *end;
        *held -= 1;
        if *held == 0 {
            self.parts.remove(0);
        }
        Some(expires)
    }

    /// Returns the number of valid tokens.
    pub(super) fn count(&mut self, now: Duration) -> u32 {
        self.expire(now);
        self.parts.iter().map(|(_, held)| held).sum()
    }

    fn expire(&mut self, now: Duration) {
        self.parts.retain(|(end, _)| *end > now);
    }
}
