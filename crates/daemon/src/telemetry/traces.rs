//! Traces of recent requests.

use gentianridge_api::{AttemptTrace, RequestTrace};
use gentianridge_core::{AttemptKind, ResultCode, VmName};
use parking_lot::Mutex;
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Largest number of ordinary requests kept.
const ORDINARY_CAPACITY: usize = 2048;
/// Largest number of notable requests kept: refused, repeated, hedged or slow.
const NOTABLE_CAPACITY: usize = 2048;
/// Elapsed time from which a request is notable.
const SLOW_THRESHOLD: Duration = Duration::from_millis(100);

/// Traces of the newest requests on this VM.
///
/// Notable requests have a buffer of their own, so that a burst of ordinary
/// ones does not evict a request that an operator may look up.
#[derive(Debug)]
pub(crate) struct TraceBuffer {
    ordinary: Mutex<VecDeque<RequestTrace>>,
    notable: Mutex<VecDeque<RequestTrace>>,
}

impl TraceBuffer {
    pub(crate) fn new() -> Self {
        Self {
            ordinary: Mutex::new(VecDeque::new()),
            notable: Mutex::new(VecDeque::new()),
        }
    }

    pub(crate) fn add(&self, trace: RequestTrace) {
        if is_notable(&trace) {
            push(&self.notable, trace, NOTABLE_CAPACITY);
        } else {
            push(&self.ordinary, trace, ORDINARY_CAPACITY);
        }
    }

    pub(crate) fn find(&self, request: &str) -> Option<RequestTrace> {
        [&self.notable, &self.ordinary]
            .into_iter()
            .find_map(|ring| {
                let ring = ring.lock();
                ring.iter()
                    .rev()
                    .find(|trace| trace.request == request)
                    .cloned()
            })
    }

    /// Returns the newest notable requests.
    pub(crate) fn get_notable(&self, limit: usize) -> Vec<RequestTrace> {
        let ring = self.notable.lock();
        ring.iter().rev().take(limit).cloned().collect()
    }
}

fn is_notable(trace: &RequestTrace) -> bool {
    trace.code.is_some()
        || trace.attempts.len() > 1
        || u128::from(trace.elapsed_us) >= SLOW_THRESHOLD.as_micros()
}

fn push(ring: &Mutex<VecDeque<RequestTrace>>, trace: RequestTrace, capacity: usize) {
    let mut ring = ring.lock();
    if ring.len() == capacity {
        ring.pop_front();
    }
    ring.push_back(trace);
}

/// Collects the trace of one request.
#[derive(Debug)]
pub(crate) struct TraceBuilder {
    arrived: Instant,
    trace: RequestTrace,
}

impl TraceBuilder {
    pub(crate) fn new(request: SmolStr, vm: VmName, now: Instant, wall: SystemTime) -> Self {
        let arrived_ms = wall
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        Self {
            arrived: now,
            trace: RequestTrace {
                request,
                vm,
                arrived_ms,
                service: None,
                class: None,
                queued_us: 0,
                attempts: Vec::new(),
                elapsed_us: 0,
                status: 0,
                code: None,
            },
        }
    }

    pub(crate) fn get_request(&self) -> &SmolStr {
        &self.trace.request
    }

    pub(crate) fn route(&mut self, service: &SmolStr, class: &SmolStr) {
        self.trace.service = Some(service.clone());
        self.trace.class = Some(class.clone());
    }

    pub(crate) fn get_elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }

    pub(crate) fn get_queued(&self) -> Duration {
        Duration::from_micros(self.trace.queued_us)
    }

    /// Records the start of an attempt and returns its index.
    pub(crate) fn start(&mut self, now: Instant, target: &SmolStr, kind: AttemptKind) -> usize {
        let started = self.get_elapsed(now).as_micros() as u64;
        if self.trace.attempts.is_empty() {
            self.trace.queued_us = started;
        }
        self.trace.attempts.push(AttemptTrace {
            target: target.clone(),
            kind: kind.as_str().into(),
            started_us: started,
            elapsed_us: None,
            outcome: "running".into(),
        });
        self.trace.attempts.len() - 1
    }

    pub(crate) fn end(&mut self, now: Instant, index: usize, outcome: &str) {
        let elapsed = self.get_elapsed(now).as_micros() as u64;
        let attempt = &mut self.trace.attempts[index];
        attempt.elapsed_us = Some(elapsed.saturating_sub(attempt.started_us));
        attempt.outcome = outcome.into();
    }

    pub(crate) fn finish(
        mut self,
        now: Instant,
        status: u16,
        code: Option<ResultCode>,
    ) -> RequestTrace {
        self.trace.elapsed_us = self.get_elapsed(now).as_micros() as u64;
        self.trace.status = status;
        self.trace.code = code.map(ResultCode::number);
        for attempt in &mut self.trace.attempts {
            if attempt.elapsed_us.is_none() {
                attempt.outcome = "cancelled".into();
            }
        }
        self.trace
    }
}
