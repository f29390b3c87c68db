//! A service that is shared between tasks.

use super::{Command, TargetPools};
use crate::telemetry::Journal;
use gentianridge_core::{
    Arrival, AttemptKey, CallKey, Clock, ColdFleet, ColdPlan, LoadReport, Outcome, Output,
    ProbeBudget, Service, ServiceSpec, StopSchedule, TargetKey,
};
use parking_lot::Mutex;
use slotmap::SecondaryMap;
use smol_str::SmolStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Receives the commands for one call.
pub(crate) type CommandReceiver = mpsc::UnboundedReceiver<Command>;

/// One service with its lock, its timer and its connections.
///
/// Decisions are direct calls of the state machine and take only the lock of
/// this service.
#[derive(Debug)]
pub(crate) struct ServiceHandle {
    pub(crate) name: SmolStr,
    pub(crate) pools: TargetPools,
    pub(crate) probes: AtomicU64,
    pub(crate) probe_budget: Mutex<ProbeBudget>,
    is_retired: AtomicBool,
    load_requests: Mutex<Option<mpsc::UnboundedSender<TargetKey>>>,
    state: Mutex<State>,
    wake: Notify,
    clock: Arc<dyn Clock>,
    journal: Arc<Journal>,
}

struct State {
    machine: Service,
    waiters: SecondaryMap<CallKey, mpsc::UnboundedSender<Command>>,
    out: Vec<Output>,
    timer_due: Option<Instant>,
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
            pools: TargetPools::new(),
            probes: AtomicU64::new(0),
            is_retired: AtomicBool::new(false),
            load_requests: Mutex::new(None),
            probe_budget: Mutex::new(ProbeBudget::new(spec.probes_per_second, max_vms)),
            state: Mutex::new(State {
                machine: Service::new(spec, seed),
                waiters: SecondaryMap::new(),
                out: Vec::new(),
                timer_due: None,
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

    /// Returns a channel of the targets to which a load request is to be sent.
    ///
    /// A later call replaces the channel of an earlier one.
    pub(crate) fn subscribe_load_requests(&self) -> mpsc::UnboundedReceiver<TargetKey> {
        let (tx, rx) = mpsc::unbounded_channel();
        *self.load_requests.lock() = Some(tx);
        rx
    }

    /// Limits the calls to a planned stop of this VM.
    pub(crate) fn stop(&self, schedule: StopSchedule) {
        self.with(|machine, now, out| machine.stop(now, schedule, out));
    }

    pub(crate) fn set_cold_plan(&self, plan: Option<ColdPlan>) {
        self.with(|machine, now, _| machine.set_cold_plan(now, plan));
    }

    pub(crate) fn set_cold_fleet(&self, fleet: ColdFleet) {
        self.with(|machine, now, _| machine.set_cold_fleet(now, fleet));
    }

    /// Records for how long a target says it is cold; returns true if that is new.
    pub(crate) fn record_cold_answer(&self, target: TargetKey, left: Duration) -> bool {
        let mut is_new = false;
        self.with(|machine, now, out| {
            is_new = machine.record_cold_answer(now, target, left, out);
        });
        is_new
    }

    /// Returns true if an attempt may be sent now, see [`Service::claim_send`].
    pub(crate) fn claim_send(&self, attempt: AttemptKey) -> bool {
        let now = self.clock.now();
        self.state.lock().machine.claim_send(now, attempt)
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
        self.process_outputs(state, now);
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

    /// Records that a target requested a pause from a peer.
    pub(crate) fn record_peer_pause(&self, target: &str) {
        self.with(|machine, now, _| {
            if let Some(key) = machine.find_target(target) {
                machine.record_peer_pause(now, key);
            }
        });
    }

    /// Reads the state machine without changing it.
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
        self.process_outputs(&mut state, now);
    }

    /// Dispatches the pending outputs and wakes the timer if the next wake-up is
    /// earlier than the time that the timer waits for.
    fn process_outputs(&self, state: &mut State, now: Instant) {
        let mut out = std::mem::take(&mut state.out);
        for output in out.drain(..) {
            self.handle_output(state, output);
        }
        state.out = out;
        let wake = state.machine.next_wake(now);
        let is_earlier = match (wake, state.timer_due) {
            (Some(wake), Some(timer_due)) => wake < timer_due,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_earlier {
            state.timer_due = wake;
            self.wake.notify_one();
        }
    }

    fn handle_output(&self, state: &mut State, output: Output) {
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
            // A call that has ended has no waiter, and its task drops all attempts.
            Output::Cancel { call, attempt } => send(state, call, Command::Cancel { attempt }),
            Output::Sample { target } => {
                if let Some(tx) = &*self.load_requests.lock() {
                    // Without a receiver no load request is sent, and the wait for its
                    // answer times out.
                    let _ = tx.send(target);
                }
            }
            Output::Event(kind) => self.journal.record(kind),
        }
    }
}

/// The timer of a service.
impl ServiceHandle {
    /// Longest sleep of the timer, also if no wake-up is due earlier.
    const MAX_SLEEP: Duration = Duration::from_secs(1);

    /// Runs the timer until the service is retired and has no call left.
    pub(crate) async fn run_timer(self: Arc<Self>) {
        while !self.is_done() {
            let wake = self.arm_timer();
            tokio::select! {
                () = tokio::time::sleep_until(wake.into()) => {
                    self.with(|machine, now, out| machine.tick(now, out));
                }
                () = self.wake.notified() => {}
            }
        }
    }

    /// Retires the service when the file in force no longer declares it.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Release);
    }

    fn is_done(&self) -> bool {
        self.is_retired.load(Ordering::Acquire)
            && self.read(|machine, _| machine.count_calls() == 0)
    }

    fn arm_timer(&self) -> Instant {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let latest = now + Self::MAX_SLEEP;
        let wake = state
            .machine
            .next_wake(now)
            .map_or(latest, |at| at.min(latest));
        state.timer_due = Some(wake);
        wake
    }

    pub(crate) fn count_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
    }
}

fn send(state: &State, call: CallKey, command: Command) {
    if let Some(tx) = state.waiters.get(call) {
        // A task cancels its call when it ends, so a lost command is harmless.
        let _ = tx.send(command);
    }
}
