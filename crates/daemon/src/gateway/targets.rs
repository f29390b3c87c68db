//! The list of targets and the connections to them.

use super::connections::Connection;
use super::state::Gateway;
use gentianridge_core::{Incarnation, TargetList};
use smol_str::SmolStr;
use std::rc::Rc;
use std::time::Instant;

/// Changes of the target list.
impl Gateway {
    /// Changes the list and updates the services whose targets changed.
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

    /// Returns when this VM must read the list of targets, `None` if it must do
    /// so at once.
    pub(crate) fn get_list_due(&self) -> Option<Instant> {
        self.list.borrow().get_due()
    }

    /// Removes a target at whose address another one answered.
    pub(crate) fn remove_replaced(&self, incarnation: &Incarnation) {
        self.connections.close(incarnation);
        self.change_targets(|list, changed| list.set_replaced(incarnation, changed));
    }

    /// Adds a connection to the pool when it can carry another request.
    pub(crate) fn keep_connection(
        self: &Rc<Self>,
        target: Incarnation,
        mut connection: Connection,
    ) {
        let gateway = self.clone();
        tokio::task::spawn_local(async move {
            if connection.wait_ready().await {
                gateway.keep_ready_connection(&target, connection);
            }
        });
    }

    /// Adds a connection to the pool, unless its target is leaving.
    pub(crate) fn keep_ready_connection(&self, target: &Incarnation, connection: Connection) {
        if !self.list.borrow().is_leaving(target) {
            self.connections.keep(target, connection);
        }
    }
}
