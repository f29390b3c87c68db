//! Configurations that a run publishes.

use super::keys::{WITHDRAWABLE_KEYS, write_soak_config};
use super::run::Run;
use crate::write_path;
use std::time::Instant;

impl Run {
    /// Publishes a new configuration version with an additional path, so that only this
    /// version and later ones answer on the path.
    pub(super) fn add_route(&self) {
        let mut config = self.config.lock();
        let (version, paths) = &mut *config;
        *version += 3;
        let path = write_path(
            &format!("v{version}"),
            &format!("/v{version}/"),
            "idempotent",
        );
        paths.push(',');
        paths.push_str(&path);
        self.publish(*version, paths);
        self.record.versions.lock().push((*version, Instant::now()));
    }

    /// Publishes a new configuration version without the first key that may be withdrawn.
    pub(super) fn withdraw_key(&self) {
        let mut config = self.config.lock();
        let (version, paths) = &mut *config;
        let withdrawn = self.record.withdrawals.lock().len();
        let Some(key) = WITHDRAWABLE_KEYS.get(withdrawn) else {
            return;
        };
        *version += 1;
        // The key counts as withdrawn from the publication on, not before.
        self.publish_without(*version, paths, withdrawn + 1);
        let withdrawal = (*key, Instant::now());
        self.record.withdrawals.lock().push(withdrawal);
    }

    fn publish(&self, version: u64, paths: &str) {
        let withdrawn = self.record.withdrawals.lock().len();
        self.publish_without(version, paths, withdrawn);
    }

    fn publish_without(&self, version: u64, paths: &str, withdrawn: usize) {
        let withdrawn = self.fleet.is_keyed.then_some(withdrawn);
        let text = write_soak_config(version, paths, withdrawn);
        self.store.put("op", "config", text.as_bytes());
    }
}
