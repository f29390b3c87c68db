//! Failure domains that operators have emptied.

use super::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use gentianridge_adapter::Row;
use gentianridge_core::{DomainName, Evacuations, StoreVersion};

/// Prefix of the keys of the operators' rows that empty a failure domain.
const KEY_PREFIX: &str = "evacuate/";

impl Gateway {
    /// Applies the rows of the operators' table that a read returned.
    ///
    /// The changes of an incremental read are applied to the newest known set. If a peer has
    /// sent that set, the read either contains all that led to it or has an older version,
    /// which is not applied.
    pub(super) fn apply_evacuation_rows(&self, rows: &[Row], version: StoreVersion, is_full: bool) {
        let changes: Vec<(DomainName, bool)> = rows
            .iter()
            .filter_map(|row| {
                let domain = row.key.strip_prefix(KEY_PREFIX)?;
                Some((domain.into(), row.value.is_some()))
            })
            .collect();
        if changes.is_empty() && !is_full {
            return;
        }
        let known = match is_full {
            true => Evacuations::default(),
            false => self.list.borrow().get_emptied().get_listed().clone(),
        };
        self.apply_evacuations(known.after(version, &changes), "store");
    }

    /// Puts a set of emptied failure domains in force, and sends it to peers at once if it
    /// changes anything.
    pub(super) fn apply_evacuations(&self, evacuations: Evacuations, source: &'static str) {
        let now = self.clock.now();
        let restored = self.get_restored(evacuations.version.era);
        let is_changed = self.change_targets(|list, changed| {
            list.apply_evacuations(now, evacuations, restored, changed)
        });
        if !is_changed {
            return;
        }
        self.peers.queue_evacuations();
        let list = self.list.borrow();
        let emptied = list.get_emptied();
        log::warn!(
            target: STATE_LOG_TARGET,
            domains = emptied.get().join(",").as_str(),
            held = emptied.get_held().join(",").as_str(),
            store_version = emptied.get_version().to_string().as_str(),
            source = source;
            "emptied failure domains changed"
        );
    }
}
