//! The targets that this VM believes in, and the connections to them.

use super::links::Link;
use super::state::Gateway;
use gentianridge_core::{Directory, Incarnation, Refresh};
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Instant;

/// Targets.
impl Gateway {
    /// Changes the directory and lets the services that it touches follow.
    pub(crate) fn change_targets(&self, change: impl FnOnce(&mut Directory, &mut Vec<SmolStr>)) {
        let mut changed = Vec::new();
        change(&mut self.directory.borrow_mut(), &mut changed);
        changed.sort();
        changed.dedup();
        for name in changed {
            self.apply_service(&name);
        }
    }

    /// Uses the timer of the list of targets.
    pub(crate) fn with_refresh<T>(&self, act: impl FnOnce(&mut Refresh) -> T) -> T {
        act(&mut self.refresh.borrow_mut())
    }

    /// Returns when a lapsed target is due to be dropped.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.directory.borrow().next_expiry()
    }

    /// Forgets a target at whose address another one answered.
    pub(crate) fn forget_replaced(&self, incarnation: &Incarnation) {
        self.links.close(incarnation);
        self.change_targets(|directory, changed| directory.set_replaced(incarnation, changed));
    }

    /// Keeps a connection as soon as it can take another request.
    pub(crate) fn keep_link(self: &Rc<Self>, target: Incarnation, mut link: Link) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if link.wait_ready().await {
                gateway.links.keep(&target, link);
            }
        });
    }
}
