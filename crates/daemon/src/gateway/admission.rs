//! Admission of requests by the limits of workspaces.

use super::exchange::EarlyRefusal;
use super::routing::RouteDecision;
use super::state::Gateway;
use gentianridge_config::GatewaySettings;
use gentianridge_core::{
    Admission, FleetLimits, LimitMessage, ResultCode, RouteTable, SpentToken, WorkspaceKey,
    WorkspaceTable,
};
use rand::RngExt;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The limits of workspaces, with the requests that wait for tokens.
#[derive(Debug)]
pub(crate) struct WorkspaceLimits {
    machine: RefCell<FleetLimits>,
    /// Wakes requests that wait.
    changed: Notify,
    /// Wakes the task that exchanges tokens with peers.
    work: Notify,
}

impl WorkspaceLimits {
    pub(crate) fn new(now: Duration, settings: &GatewaySettings) -> Self {
        let nonce = rand::rng().random();
        let mut machine = FleetLimits::new(now, &settings.vm, nonce, settings.is_bootstrap);
        machine.set_bound(settings.limit_window, settings.limit_bound);
        Self {
            machine: RefCell::new(machine),
            changed: Notify::new(),
            work: Notify::new(),
        }
    }

    /// Calls `change` with the limits, and wakes what may depend on the change.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut FleetLimits) -> T) -> T {
        let result = change(&mut self.machine.borrow_mut());
        self.changed.notify_waiters();
        self.work.notify_one();
        result
    }

    /// Calls `change` with the limits, where no waiting request can depend on the change.
    pub(super) fn update_quietly(&self, change: impl FnOnce(&mut FleetLimits)) {
        let mut machine = self.machine.borrow_mut();
        change(&mut machine);
        if machine.has_work() {
            self.work.notify_one();
        }
    }

    /// Handles what is due.
    pub(super) fn tick(&self, now: Duration) {
        self.machine.borrow_mut().tick(now);
        self.changed.notify_waiters();
    }

    /// Returns the messages to send now.
    pub(super) fn take_messages(&self) -> Vec<(SocketAddr, LimitMessage)> {
        self.machine.borrow_mut().take_messages()
    }

    /// Calls `read` with the limits.
    pub(super) fn read<T>(&self, read: impl FnOnce(&FleetLimits) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Waits until there may be something to send to peers.
    pub(super) async fn wait_work(&self) {
        self.work.notified().await;
    }

    fn decide(&self, decide: impl FnOnce(&mut FleetLimits) -> Admission) -> Admission {
        let mut machine = self.machine.borrow_mut();
        let admission = decide(&mut machine);
        if machine.has_work() {
            self.work.notify_one();
        }
        admission
    }
}

/// A token that goes back if the request ends before it can have run.
#[derive(Debug)]
pub(crate) struct LimitPermit {
    gateway: Rc<Gateway>,
    token: Option<SpentToken>,
}

impl LimitPermit {
    /// Keeps the token spent if the caller goes away, since the request may be sent.
    pub(crate) fn start(mut self) -> StartedPermit {
        StartedPermit {
            gateway: self.gateway.clone(),
            token: self.token.take(),
        }
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.gateway.give_back(self.token);
    }
}

/// The token of a request that may have been sent.
#[derive(Debug)]
pub(crate) struct StartedPermit {
    gateway: Rc<Gateway>,
    token: Option<SpentToken>,
}

impl StartedPermit {
    /// Gives the token back, since the request has not run and will not.
    pub(crate) fn give_back(self) {
        self.gateway.give_back(self.token);
    }
}

/// A request that waits for a token; it no longer waits when this is dropped.
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    key: WorkspaceKey,
    is_waiting: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_waiting {
            self.gateway.give_up(self.key);
        }
    }
}

impl Gateway {
    /// Admits a request by the limit of its workspace.
    ///
    /// # Errors
    ///
    /// Fails if the limit is reached, with the time after which there is room.
    pub(super) async fn admit(
        self: &Rc<Self>,
        decision: &RouteDecision,
    ) -> Result<Option<LimitPermit>, EarlyRefusal> {
        let workspace = decision.workspace.as_ref();
        let Some(workspace) = workspace.filter(|workspace| workspace.limit.is_some()) else {
            return Ok(None);
        };
        let key = WorkspaceKey::from_name(&workspace.name);
        let token = self.wait_token(key, decision.timeout).await;
        let outcome = if token.is_ok() { "admitted" } else { "refused" };
        self.metrics.record_limit(&workspace.name, outcome);
        let token = token.map_err(|retry_after| EarlyRefusal {
            code: ResultCode::LimitReached,
            retry_after: Some(retry_after),
            workspace: Some(workspace.name.clone()),
        })?;
        Ok(Some(LimitPermit {
            gateway: self.clone(),
            token,
        }))
    }

    /// Returns the token of a request, `None` if it needs none, or the time after which
    /// there is room.
    async fn wait_token(
        &self,
        key: WorkspaceKey,
        timeout: Duration,
    ) -> Result<Option<SpentToken>, Duration> {
        let now = self.clock.since_boot();
        let wait_end = Instant::now() + FleetLimits::MAX_WAIT.min(timeout);
        let mut admission = self.limits.decide(|limits| limits.admit(now, key));
        let mut guard = WaitGuard {
            gateway: self,
            key,
            is_waiting: true,
        };
        loop {
            guard.is_waiting = admission == Admission::Waits;
            match admission {
                Admission::Unlimited => return Ok(None),
                Admission::Admitted(token) => return Ok(Some(token)),
                Admission::Refused(retry_after) => return Err(retry_after),
                Admission::Waits => {}
            }
            let changed = self.limits.changed.notified();
            if timeout_at(wait_end, changed).await.is_err() {
                guard.is_waiting = false;
                return Err(self.give_up(key));
            }
            let now = self.clock.since_boot();
            admission = self.limits.decide(|limits| limits.retry(now, key));
        }
    }

    /// Puts the limits of a configuration in force.
    pub(super) fn declare_limits(&self, table: &RouteTable) {
        let now = self.clock.since_boot();
        let workspaces = table
            .get_workspaces()
            .map_or(&[][..], WorkspaceTable::get_all);
        let limits = workspaces.iter().filter_map(|workspace| {
            Some((WorkspaceKey::from_name(&workspace.name), workspace.limit?))
        });
        let limits = limits.collect();
        self.limits.update(|machine| machine.declare(now, limits));
        if table.get_workspaces().is_some() {
            self.limits.update(|machine| machine.introduce(now));
        }
    }

    fn give_up(&self, key: WorkspaceKey) -> Duration {
        let now = self.clock.since_boot();
        self.limits.machine.borrow_mut().give_up(now, key)
    }

    fn give_back(&self, token: Option<SpentToken>) {
        if let Some(token) = token {
            let now = self.clock.since_boot();
            self.limits.update(|limits| limits.give_back(now, token));
        }
    }
}
