//! Idle connections by target.

use super::Connection;
use gentianridge_core::Incarnation;
use std::cell::RefCell;
use std::time::{Duration, Instant};

/// Which idle connections a request may reuse.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReusePolicy {
    /// Any within its keep-alive timeout.
    AnyUsable,
    /// Only one that carried an answer within this time, which proves that the
    /// target is alive and that no hop in between has dropped the connection.
    AnsweredWithin(Duration),
}

/// Idle connections to one target.
#[derive(Debug)]
struct IdleConnections {
    target: Incarnation,
    idle: Vec<Connection>,
}

/// Idle connections of all targets, sorted by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    pools: RefCell<Vec<IdleConnections>>,
}

impl ConnectionPool {
    /// Takes the idle connection to a target that answered last, if `reuse`
    /// allows it.
    pub(crate) fn take(
        &self,
        now: Instant,
        target: &Incarnation,
        reuse: ReusePolicy,
    ) -> Option<Connection> {
        let mut pools = self.pools.borrow_mut();
        let index = find(&pools, target).ok()?;
        let idle = &mut pools[index].idle;
        idle.retain(|connection| connection.is_usable(now));
        let is_allowed = idle.last().is_some_and(|connection| match reuse {
            ReusePolicy::AnyUsable => true,
            ReusePolicy::AnsweredWithin(limit) => connection.get_idle_time(now) <= limit,
        });
        if is_allowed { idle.pop() } else { None }
    }

    /// Keeps a connection whose answer is complete.
    pub(crate) fn keep(&self, target: &Incarnation, connection: Connection) {
        let mut pools = self.pools.borrow_mut();
        let index = find(&pools, target).unwrap_or_else(|index| {
            let pool = IdleConnections {
                target: target.clone(),
                idle: Vec::new(),
            };
            pools.insert(index, pool);
            index
        });
        pools[index].idle.push(connection);
    }

    /// Closes every idle connection to a target.
    pub(crate) fn close(&self, target: &Incarnation) {
        let mut pools = self.pools.borrow_mut();
        if let Ok(index) = find(&pools, target) {
            pools.remove(index);
        }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut pools = self.pools.borrow_mut();
        for pool in pools.iter_mut() {
            pool.idle.retain(|connection| connection.is_usable(now));
        }
        pools.retain(|pool| !pool.idle.is_empty());
    }
}

fn find(pools: &[IdleConnections], target: &Incarnation) -> Result<usize, usize> {
    pools.binary_search_by(|pool| pool.target.cmp(target))
}
