//! Short notices that are sent to peers in a few rounds.

/// Digests to send to the peers, the newest first, each in a limited number of
/// rounds.
///
/// A datagram may be lost and goes to a few peers only, so a notice is sent more
/// than once. Receivers relay a notice that is new to them in the same way.
#[derive(Debug, Default)]
pub struct NoticeQueue {
    notices: Vec<(u64, u8)>,
}

impl NoticeQueue {
    /// Number of rounds in which a notice is sent.
    pub const ROUNDS: u8 = 3;
    /// Maximum number of notices in one message, eight bytes each.
    pub const MAX_IN_MESSAGE: usize = 32;
    /// Maximum number of notices that wait; the oldest is dropped first.
    pub const MAX_WAITING: usize = 512;

    /// Adds a notice.
    pub fn push(&mut self, digest: u64) {
        self.notices.retain(|(other, _)| *other != digest);
        self.notices.insert(0, (digest, Self::ROUNDS));
        self.notices.truncate(Self::MAX_WAITING);
    }

    /// Returns the notices of the next round.
    pub fn next_round(&mut self) -> Vec<u64> {
        let count = self.notices.len().min(Self::MAX_IN_MESSAGE);
        let mut round = Vec::with_capacity(count);
        for (digest, rounds_left) in &mut self.notices[..count] {
            round.push(*digest);
            *rounds_left -= 1;
        }
        self.notices.retain(|(_, rounds_left)| *rounds_left > 0);
        round
    }

    /// Returns true if no notice waits.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }
}
