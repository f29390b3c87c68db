//! A service that tasks can call.

use super::{Command, Links};
use crate::telemetry::Journal;
use gentianridge_core::{
    Arrival, AttemptKey, CallKey, Clock, LoadReport, Outcome, Output, ProbeBudget, Service,
    ServiceSpec, TargetKey,
};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Receives the steps of one call.
pub(crate) type CommandReceiver = mpsc::UnboundedReceiver<Command>;

/// One service with its lock, its timer and its connections.
///
/// A decision is a direct call under the lock of this service alone.
#[derive(Debug)]
pub(crate) struct ServiceHandle {
    pub(crate) name: SmolStr,
    pub(crate) links: Links,
    pub(crate) probes: AtomicU64,
    pub(crate) probe_budget: Mutex<ProbeBudget>,
    is_retired: AtomicBool,
    samples: Mutex<Option<mpsc::UnboundedSender<TargetKey>>>,
    state: Mutex<State>,
    wake: Notify,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
}

struct State {
    machine: Service,
    waiters: SecondaryMap<CallKey, mpsc::UnboundedSender<Command>>,
    out: Vec<Output>,
    armed: Option<Instant>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("waiters", &self.waiters.len())
            .finish_non_exhaustive()
    }
}

/// Construction and configuration.
impl ServiceHandle {
    pub(crate) fn new(
        spec: ServiceSpec,
        max_vms: u16,
        seed: u64,
        clock: Arc<dyn Clock>,
        journal: Arc<Journal>,
    ) -> Self {
        Self {
            name: spec.name.clone(),
            links: Links::new(),
            probes: AtomicU64::new(0),
            is_retired: AtomicBool::new(false),
            samples: Mutex::new(None),
            probe_budget: Mutex::new(ProbeBudget::new(spec.probes_per_second, max_vms)),
            state: Mutex::new(State {
                machine: Service::new(spec, seed),
                waiters: SecondaryMap::new(),
                out: Vec::new(),
                armed: None,
            }),
            wake: Notify::new(),
            clock,
            journal,
        }
    }

    pub(crate) fn apply(&self, spec: ServiceSpec, max_vms: u16) {
        self.probe_budget
            .lock()
            .set_declared(spec.probes_per_second, max_vms);
        self.with(|machine, now, out| machine.apply(now, spec, out));
    }

    pub(crate) fn set_location(&self, vm: &SmolStr, domain: SmolStr) {
        self.with(|machine, _, _| machine.set_location(vm, domain));
    }

    /// Returns the targets that the service wants to be asked for their load.
    pub(crate) fn open_samples(&self) -> mpsc::UnboundedReceiver<TargetKey> {
        let (tx, rx) = mpsc::unbounded_channel();
        *self.samples.lock() = Some(tx);
        rx
    }

    pub(crate) fn set_fleet(&self, vms: u16, rank: u16) {
        self.with(|machine, now, out| machine.set_fleet(now, vms, rank, out));
    }
}

/// Inputs of calls, attempts and targets.
impl ServiceHandle {
    pub(crate) fn arrive(&self, arrival: Arrival) -> (CallKey, CommandReceiver) {
        let (tx, rx) = mpsc::unbounded_channel();
        let now = self.clock.now();
        let mut state = self.state.lock();
        let state = &mut *state;
        let key = state.machine.arrive(now, arrival, &mut state.out);
        state.waiters.insert(key, tx);
        self.settle(state, now);
        (key, rx)
    }

    pub(crate) fn cancel(&self, call: CallKey) {
        self.with_state(|state, now| {
            state.waiters.remove(call);
            state.machine.cancel(now, call, &mut state.out);
        });
    }

    pub(crate) fn answered(&self, attempt: AttemptKey, is_error: bool, is_retried_by_target: bool) {
        self.with(|machine, now, out| {
            machine.answered(now, attempt, is_error, is_retried_by_target, out);
        });
    }

    pub(crate) fn failed(&self, attempt: AttemptKey, outcome: Outcome) {
        self.with(|machine, now, out| machine.failed(now, attempt, outcome, out));
    }

    pub(crate) fn finished(&self, attempt: AttemptKey) {
        self.with(|machine, now, out| machine.finished(now, attempt, out));
    }

    pub(crate) fn report(
        &self,
        target: TargetKey,
        attempt: Option<AttemptKey>,
        report: LoadReport,
    ) {
        self.with(|machine, now, out| machine.report(now, target, attempt, report, out));
    }

    pub(crate) fn set_leaving(&self, target: &str, is_leaving: bool) {
        self.with(|machine, now, out| {
            if let Some(key) = machine.find_target(target) {
                machine.set_leaving(now, key, is_leaving, out);
            }
        });
    }

    /// Reads the machine without changing it.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Service, Instant) -> T) -> T {
        let now = self.clock.now();
        read(&self.state.lock().machine, now)
    }

    fn with(&self, act: impl FnOnce(&mut Service, Instant, &mut Vec<Output>)) {
        self.with_state(|state, now| act(&mut state.machine, now, &mut state.out));
    }

    fn with_state(&self, act: impl FnOnce(&mut State, Instant)) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        act(&mut state, now);
        self.settle(&mut state, now);
    }

    /// Hands outputs to the tasks of their calls and arms the timer.
    fn settle(&self, state: &mut State, now: Instant) {
        let mut out = std::mem::take(&mut state.out);
        for output in out.drain(..) {
            self.route(state, output);
        }
        state.out = out;
        let wake = state.machine.next_wake(now);
        let is_earlier = match (wake, state.armed) {
            (Some(wake), Some(armed)) => wake < armed,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_earlier {
            state.armed = wake;
            self.wake.notify_one();
        }
    }

    fn route(&self, state: &mut State, output: Output) {
        match output {
            Output::Dispatch {
                call,
                attempt,
                target,
                kind,
            } => {
                send(
                    state,
                    call,
                    Command::Dispatch {
                        attempt,
                        target,
                        kind,
                    },
                );
            }
            Output::Deliver { call, attempt } => {
                send(state, call, Command::Deliver { attempt });
                state.waiters.remove(call);
            }
            Output::Refuse { call, code } => {
                send(state, call, Command::Refuse(code));
                state.waiters.remove(call);
            }
            // A call that is over has no waiter, and its task drops every attempt.
            Output::Cancel { call, attempt } => send(state, call, Command::Cancel { attempt }),
            Output::Sample { target } => {
                if let Some(tx) = &*self.samples.lock() {
                    // Without a receiver the question is not asked, and its wait ends by time.
                    let _ = tx.send(target);
                }
            }
            Output::Event(kind) => self.journal.record(kind),
        }
    }
}

/// The timer of a service.
impl ServiceHandle {
    /// Longest sleep, after which the timer looks again whatever was armed.
    const MAX_SLEEP: Duration = Duration::from_secs(1);

    /// Runs the timer until the service is retired and has no call left.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        while !self.is_done() {
            let wake = self.arm();
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => {
                    self.with(|machine, now, out| machine.tick(now, out));
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Notes that the file in force no longer names the service.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Release);
    }

    fn is_done(&self) -> bool {
        self.is_retired.load(Ordering::Acquire)
            && self.read(|machine, _| machine.count_calls() == 0)
    }

    fn arm(&self) -> Instant {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let longest = now + Self::MAX_SLEEP;
        let wake = state
            .machine
            .next_wake(now)
            .map_or(longest, |at| at.min(longest));
        state.armed = Some(wake);
        wake
    }

    pub(crate) fn count_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
    }
}

fn send(state: &State, call: CallKey, command: Command) {
    if let Some(tx) = state.waiters.get(call) {
        // A task that has gone cancels its call, so a lost command is harmless.
        let _ = tx.send(command);
    }
}
