//! The targets that this VM believes in, and the connections to them.

use super::connections::Connection;
use super::state::Gateway;
use gentianridge_core::{Incarnation, TargetList};
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Instant;

/// Targets.
impl Gateway {
    /// Changes the list and lets the services that it touches follow.
    pub(crate) fn change_targets<T>(
        &self,
        change: impl FnOnce(&mut TargetList, &mut Vec<SmolStr>) -> T,
    ) -> T {
        let mut changed = Vec::new();
        let result = change(&mut self.list.borrow_mut(), &mut changed);
        changed.sort();
        changed.dedup();
        for name in changed {
            self.apply_service(&name);
        }
        result
    }

    /// Returns when this VM has to read the list of targets, none if it has to
    /// at once.
    pub(crate) fn get_list_due(&self) -> Option<Instant> {
        self.list.borrow().get_due()
    }

    /// Forgets a target at whose address another one answered.
    pub(crate) fn remove_replaced(&self, incarnation: &Incarnation) {
        self.connections.close(incarnation);
        self.change_targets(|list, changed| list.set_replaced(incarnation, changed));
    }

    /// Keeps a connection as soon as it can take another request.
    pub(crate) fn keep_connection(
        self: &Rc<Self>,
        target: Incarnation,
        mut connection: Connection,
    ) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if connection.wait_ready().await {
                gateway.connections.keep(&target, connection);
            }
        });
    }
}
