//! The era of the store in the view of one VM.

use crate::Directory;
use std::time::Duration;

/// How the era of an answer of the store relates to those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraOrder {
    /// It is that of the last answer, or the first one.
    Current,
    /// The store has returned from a copy since the last answer. Holds the era before.
    Newer(u64),
    /// The answer is older than the store's last return. Holds the newest era.
    Older(u64),
}

/// The newest era that a VM knows, for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraNotice {
    /// The era.
    pub era: u64,
    /// Time since the return of the store that began the era was noticed, `None` if it was
    /// not, or long ago.
    pub age: Option<Duration>,
}

/// A return of the store from a copy.
#[derive(Debug, Clone, Copy)]
struct Return {
    /// The era that it began.
    era: u64,
    /// Time at which it was noticed, by this VM or a peer.
    noticed: Duration,
}

/// Newest era in the answers to this VM, and the newest return that any VM noticed.
///
/// What peers report never makes an answer of the store an old one, so that a faulty peer
/// cannot keep this VM from the store.
///
/// Times are those of [`Clock::since_boot`](crate::Clock::since_boot).
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreEra {
    answered: Option<u64>,
    /// Earliest era that a peer has reported.
    reported: Option<u64>,
    returned: Option<Return>,
}

impl StoreEra {
    /// Time after the store's return in which writes that the copy lacks may still be
    /// missing.
    pub const RESTORE_TIME: Duration = Directory::SETTLE_PERIOD;
    /// Time for which peers learn when a return was noticed.
    const NOTICE_TIME: Duration = Duration::from_secs(60);

    /// Returns the newest era in an answer to this VM, 0 if none states one.
    pub fn get(&self) -> u64 {
        self.answered.unwrap_or_default()
    }

    /// Returns true if the store states eras, as far as this VM and its peers know.
    pub fn is_stated(&self) -> bool {
        self.get() > 0 || self.reported.is_some()
    }

    /// Records the era that an answer of the store states.
    pub fn observe(&mut self, now: Duration, era: u64) -> EraOrder {
        match self.answered {
            Some(newest) if era < newest => EraOrder::Older(newest),
            Some(newest) if era == newest => EraOrder::Current,
            newest => {
                self.answered = Some(era);
                // Before the first answer, peers may have reported an earlier era.
                let Some(old) = newest.or(self.reported).filter(|old| *old < era) else {
                    return EraOrder::Current;
                };
                self.record_return(era, now);
                EraOrder::Newer(old)
            }
        }
    }

    /// Records what a peer knows.
    pub fn adopt(&mut self, now: Duration, notice: EraNotice) {
        if notice.era == 0 {
            return;
        }
        self.reported = Some(self.reported.unwrap_or(notice.era).min(notice.era));
        let newest = self.get().max(self.returned.map_or(0, |last| last.era));
        match notice.age {
            Some(age) => self.record_return(notice.era, now.saturating_sub(age)),
            None if newest > 0 && notice.era > newest => self.record_return(notice.era, now),
            None => {}
        }
    }

    /// Returns the newest era for peers, `None` if the store states none.
    pub fn get_notice(&self, now: Duration) -> Option<EraNotice> {
        let last = self.returned.filter(|last| last.era >= self.get());
        let age = last.map(|last| now.saturating_sub(last.noticed));
        let era = last.map_or(self.get(), |last| last.era);
        (era > 0).then_some(EraNotice {
            era,
            age: age.filter(|age| *age < Self::NOTICE_TIME),
        })
    }

    /// Returns the time from which a read of an era shows everything that was acknowledged
    /// before it; `None` if each read of the era does, because it ended with the return or
    /// because no return is known that began it.
    pub fn get_restored(&self, era: u64) -> Option<Duration> {
        let last = self.returned.filter(|last| last.era == era)?;
        Some(last.noticed + Self::RESTORE_TIME)
    }

    /// Returns true while writes that the copy lacks may still be missing.
    pub fn is_restoring(&self, now: Duration) -> bool {
        self.returned
            .is_some_and(|last| now.saturating_sub(last.noticed) < Self::RESTORE_TIME)
    }

    /// Of several notices of one return, the earliest is kept: none precedes the return.
    fn record_return(&mut self, era: u64, noticed: Duration) {
        match &mut self.returned {
            Some(last) if last.era > era => {}
            Some(last) if last.era == era => last.noticed = last.noticed.min(noticed),
            last => *last = Some(Return { era, noticed }),
        }
    }
}
