//! The account of this process, and the connections that it closes.

use super::connection::ConnectionMemory;
use super::reservation::{FlowPermit, Reservation};
use crate::system::{get_descriptors, get_memory};
use gentianridge_config::GatewaySettings;
use gentianridge_core::{
    Clock, HolderKey, HolderPhase, MemoryAccount, MemoryBudget, MemoryDecision, ResultCode,
};
use slotmap::SecondaryMap;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

/// Bytes of a megabyte, the unit of the settings.
const MEGABYTE: usize = 1_000_000;

/// Grants memory to callers' connections and closes those that give way.
#[derive(Debug)]
pub(crate) struct MemoryKeeper {
    clock: Arc<dyn Clock>,
    account: RefCell<MemoryAccount>,
    /// Cancelled when the account chooses the connection to be closed.
    evictions: RefCell<SecondaryMap<HolderKey, CancellationToken>>,
    released: Notify,
}

impl MemoryKeeper {
    /// Longest wait of a request for memory of connections that are being closed. Closing
    /// takes one turn of their tasks.
    const RELEASE_WAIT: Duration = Duration::from_millis(500);

    pub(crate) fn new(settings: &GatewaySettings, clock: Arc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            account: RefCell::new(MemoryAccount::new(make_budget(settings))),
            evictions: RefCell::default(),
            released: Notify::new(),
        })
    }

    /// Applies changed settings.
    pub(crate) fn apply_settings(&self, settings: &GatewaySettings) {
        self.account.borrow_mut().set_budget(make_budget(settings));
    }

    pub(crate) fn get_budget(&self) -> MemoryBudget {
        self.account.borrow().get_budget()
    }

    /// Returns the bytes in use and the number of callers' connections.
    pub(crate) fn get_use(&self) -> (usize, usize) {
        let account = self.account.borrow();
        (account.get_used(), account.count_holders())
    }

    /// Opens the account of a new connection; `None` if the connection has to be closed.
    ///
    /// The connection that gives way is closed right after; until then there is one more
    /// connection than the bound, which leaves room for that.
    pub(crate) fn open(self: &Rc<Self>) -> Option<ConnectionMemory> {
        let now = self.clock.now();
        let mut account = self.account.borrow_mut();
        match account.admit(now) {
            MemoryDecision::Granted => {}
            MemoryDecision::Evict(victim) => self.close_evicted(victim),
            MemoryDecision::Wait | MemoryDecision::Full => return None,
        }
        let key = account.open(now);
        let evicted = CancellationToken::new();
        self.evictions.borrow_mut().insert(key, evicted.clone());
        Some(ConnectionMemory::new(self.clone(), key, evicted))
    }

    pub(super) fn close(&self, key: HolderKey) {
        self.account.borrow_mut().close(key);
        self.evictions.borrow_mut().remove(key);
        self.released.notify_waiters();
    }

    pub(super) fn enter(&self, key: HolderKey, phase: HolderPhase) {
        let now = self.clock.now();
        self.account.borrow_mut().enter(now, key, phase);
    }

    pub(super) fn record_progress(&self, key: HolderKey, bytes: u64) {
        let now = self.clock.now();
        self.account.borrow_mut().record_progress(now, key, bytes);
    }

    /// Reserves memory for a connection, for which others that make too little progress are
    /// closed.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub(super) async fn reserve(
        self: &Rc<Self>,
        key: HolderKey,
        bytes: usize,
    ) -> Result<Reservation, ResultCode> {
        let until = self.clock.now() + Self::RELEASE_WAIT;
        loop {
            let released = self.released.notified();
            match self.decide(key, bytes) {
                MemoryDecision::Granted => {
                    return Ok(Reservation::new(self.clone(), key, bytes));
                }
                MemoryDecision::Evict(_) => continue,
                MemoryDecision::Wait => {}
                MemoryDecision::Full => return Err(ResultCode::MemoryFull),
            }
            if timeout_at(until.into(), released).await.is_err() {
                return Err(ResultCode::MemoryFull);
            }
        }
    }

    /// Asks for memory without a wait. The connection that gives way leaves room for later
    /// requests.
    pub(super) fn reserve_now(
        self: &Rc<Self>,
        key: HolderKey,
        bytes: usize,
    ) -> Option<Reservation> {
        let is_granted = self.decide(key, bytes) == MemoryDecision::Granted;
        is_granted.then(|| Reservation::new(self.clone(), key, bytes))
    }

    fn decide(&self, key: HolderKey, bytes: usize) -> MemoryDecision {
        let now = self.clock.now();
        let decision = self.account.borrow_mut().reserve(now, key, bytes);
        if let MemoryDecision::Evict(victim) = decision {
            self.close_evicted(victim);
        }
        decision
    }

    fn close_evicted(&self, victim: HolderKey) {
        if let Some(evicted) = self.evictions.borrow().get(victim) {
            evicted.cancel();
        }
    }

    pub(super) fn try_reserve(&self, key: HolderKey, bytes: usize) -> bool {
        self.account.borrow_mut().try_reserve(key, bytes)
    }

    pub(super) fn release(&self, key: HolderKey, bytes: usize) {
        self.account.borrow_mut().release(key, bytes);
        self.released.notify_waiters();
    }

    pub(super) fn start_flow(self: &Rc<Self>) -> Option<FlowPermit> {
        let is_allowed = self.account.borrow_mut().start_flow();
        is_allowed.then(|| FlowPermit::new(self.clone()))
    }

    pub(super) fn end_flow(&self) {
        self.account.borrow_mut().end_flow();
    }
}

fn make_budget(settings: &GatewaySettings) -> MemoryBudget {
    let memory = settings.memory_megabytes.map_or_else(get_memory, |number| {
        (number as usize).saturating_mul(MEGABYTE)
    });
    let descriptors = settings.descriptors.map(|number| number as usize);
    MemoryBudget::new(
        memory,
        descriptors.unwrap_or_else(get_descriptors),
        usize::from(settings.max_flows),
    )
}
