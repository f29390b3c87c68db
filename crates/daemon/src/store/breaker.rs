//! Store operations with metrics and a circuit breaker.

use crate::telemetry::{Journal, Metrics};
use gentianridge_core::{Clock, EventKind, Version};
use gentianridge_platform::{Member, Platform, Row, RowWrite, StoreError, StoreErrorKind};
use parking_lot::Mutex;
use rand::RngExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Consecutive failures after which the store counts as down.
const MAX_FAILURES: u32 = 3;
/// Shortest time between two trial operations while the store is down.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The platform's store as the tasks of a daemon use it.
///
/// While the store is down, operations fail at once, except for one trial
/// operation per pause. The jitter of the pause keeps the VMs of a fleet from
/// retrying at the same time.
#[derive(Debug)]
pub(crate) struct Store {
    platform: Platform,
    breaker: Mutex<Breaker>,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
    metrics: Arc<Metrics>,
}

#[derive(Debug, Default)]
struct Breaker {
    failures: u32,
    blocked_until: Option<Instant>,
}

impl Store {
    pub(crate) fn new(
        platform: Platform,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            platform,
            breaker: Mutex::new(Breaker::default()),
            clock,
            journal,
            metrics,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.breaker.lock().failures < MAX_FAILURES
    }

    pub(crate) async fn read(&self, table: &str, key: &str) -> Result<Option<Row>, StoreError> {
        self.check_breaker()?;
        let result = self.platform.read(table, key).await;
        self.record_result("read", result)
    }

    pub(crate) async fn write(
        &self,
        table: &str,
        key: &str,
        write: RowWrite,
    ) -> Result<Version, StoreError> {
        self.check_breaker()?;
        let result = self.platform.write(table, key, write).await;
        self.record_result("write", result)
    }

    pub(crate) async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), StoreError> {
        self.check_breaker()?;
        let result = self.platform.put_object(name, bytes).await;
        self.record_result("put-object", result)
    }

    pub(crate) async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_breaker()?;
        let result = self.platform.get_object(name).await;
        self.record_result("get-object", result)
    }

    /// Reads the list of VMs. It is a separate service, so the result does not
    /// count for the state of the store.
    pub(crate) async fn members(&self) -> Result<Vec<Member>, StoreError> {
        self.platform.members().await
    }

    fn check_breaker(&self) -> Result<(), StoreError> {
        let now = self.clock.now();
        let mut breaker = self.breaker.lock();
        if breaker.failures < MAX_FAILURES {
            return Ok(());
        }
        if breaker.blocked_until.is_some_and(|until| now < until) {
            return Err(StoreError::new(
                StoreErrorKind::Refused,
                "the store is down",
            ));
        }
        breaker.blocked_until = Some(now + add_jitter(RETRY_PAUSE));
        Ok(())
    }

    fn record_result<T>(
        &self,
        operation: &'static str,
        result: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let kind = result.as_ref().err().map(StoreError::get_kind);
        let (outcome, is_failure) = match kind {
            None => ("ok", false),
            Some(StoreErrorKind::Conflict) => ("conflict", false),
            Some(StoreErrorKind::Malformed) => ("malformed", false),
            Some(StoreErrorKind::Refused) => ("refused", true),
            Some(StoreErrorKind::OutcomeUnknown) => ("open", true),
        };
        self.metrics.record_store_operation(operation, outcome);
        if is_failure {
            self.record_failure();
        } else {
            self.record_success();
        }
        result
    }

    fn record_failure(&self) {
        let now = self.clock.now();
        let mut breaker = self.breaker.lock();
        breaker.failures = breaker.failures.saturating_add(1);
        if breaker.failures == MAX_FAILURES {
            breaker.blocked_until = Some(now + add_jitter(RETRY_PAUSE));
            drop(breaker);
            self.journal.record(EventKind::StoreDown);
        }
    }

    fn record_success(&self) {
        let was_down = {
            let mut breaker = self.breaker.lock();
            let was_down = breaker.failures >= MAX_FAILURES;
            *breaker = Breaker::default();
            was_down
        };
        if was_down {
            self.journal.record(EventKind::StoreUp);
        }
    }
}

/// Returns a random duration between `time` and twice `time`.
pub(crate) fn add_jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(1.0..2.0))
}
