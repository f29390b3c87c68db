//! Notices of targets that are leaving, as VMs exchange them.

use crate::HybridTime;
use smol_str::SmolStr;

/// Notice of a target that it is leaving or is back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// Service of the target.
    pub service: SmolStr,
    /// Name of the target.
    pub target: SmolStr,
    /// True if the target is going to stop, false if it is back.
    pub is_leaving: bool,
    /// Time of the answer that carried the notice.
    pub at: HybridTime,
}

/// The newest notice of each target that has announced that it is leaving.
///
/// The newest answer of a target overrides older ones, whichever VM received
/// it, so an old message does not remove a target that is back.
#[derive(Debug, Default)]
pub struct TargetNotices {
    notices: Vec<TargetNotice>,
}

impl TargetNotices {
    /// Time for which the notice of a target that is back is still sent to
    /// peers, in milliseconds.
    pub const RETURNED_RETENTION_MILLIS: u64 = 60_000;

    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a notice and returns true if it changes whether the target is leaving.
    pub fn merge(&mut self, notice: TargetNotice) -> bool {
        match self.find(&notice.service, &notice.target) {
            Ok(index) if notice.at <= self.notices[index].at => false,
            Ok(index) => {
                let is_change = self.notices[index].is_leaving != notice.is_leaving;
                self.notices[index] = notice;
                is_change
            }
            Err(_) if !notice.is_leaving => false,
            Err(index) => {
                self.notices.insert(index, notice);
                true
            }
        }
    }

    /// Returns the newest notices, at most `limit`.
    pub fn get_newest(&self, limit: usize) -> Vec<TargetNotice> {
        let mut newest = self.notices.clone();
        newest.sort_by_key(|notice| std::cmp::Reverse(notice.at));
        newest.truncate(limit);
        newest
    }

    /// Removes the notices of targets that have been back for the retention time.
    pub fn expire(&mut self, now: HybridTime) {
        self.notices.retain(|notice| {
            let kept_until = notice
                .at
                .millis
                .saturating_add(Self::RETURNED_RETENTION_MILLIS);
            notice.is_leaving || kept_until > now.millis
        });
    }

    fn find(&self, service: &str, target: &str) -> Result<usize, usize> {
        self.notices.binary_search_by(|known| {
            (known.service.as_str(), known.target.as_str()).cmp(&(service, target))
        })
    }
}
