//! A test harness for one service of one VM with a simulated clock.

#![allow(dead_code, unreachable_pub)]

pub mod crowd;

use gentianridge_core::{
    Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, ClassKind, ClassSpec, EventKind,
    LoadReport, MethodSet, Outcome, Output, RepeatLimit, ResultCode, RouteMatch, Sampling, Service,
    ServiceSpec, StopSchedule, TargetKey, TargetSpec,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Class of interactive calls.
pub const SHORT: &str = "short";
/// Class of once-only calls.
pub const ONCE: &str = "once";
/// Class of background calls.
pub const LONG: &str = "long";

/// One attempt that was dispatched.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub call: CallKey,
    pub attempt: AttemptKey,
    pub target: TargetKey,
    pub kind: AttemptKind,
}

/// A service with its clock and the outputs collected so far.
#[derive(Debug)]
pub struct Harness {
    pub service: Service,
    pub now: Instant,
    pub sent: Vec<Sent>,
    pub delivered: Vec<CallKey>,
    pub refused: Vec<(CallKey, ResultCode)>,
    pub cancelled: Vec<AttemptKey>,
    /// Attempts that were withdrawn before anything was sent.
    pub withdrawn: Vec<AttemptKey>,
    pub events: Vec<EventKind>,
    /// Targets to which a load request was sent.
    pub sampled: Vec<TargetKey>,
    outputs: Vec<Output>,
}

/// Declares a service with one class of each kind.
pub fn make_spec(targets: usize, slots: u16) -> ServiceSpec {
    let route = RouteMatch {
        methods: MethodSet::default(),
        prefix: "/".into(),
    };
    let class = |name: &str, kind, reserve| ClassSpec {
        name: name.into(),
        route: route.clone(),
        kind,
        deadline: Duration::from_secs(1),
        reserve,
        queue: 100,
        objective: None,
        priority: 0,
        max_attempts: ClassSpec::DEFAULT_MAX_ATTEMPTS,
    };
    ServiceSpec {
        name: "service".into(),
        route: route.clone(),
        classes: vec![
            class("short", ClassKind::Interactive, targets as u16),
            class("once", ClassKind::Once, 0),
            class("long", ClassKind::Background, 0),
        ],
        targets: (0..targets)
            .map(|index| TargetSpec {
                name: format!("t{index}").into(),
                addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
                domain: "d".into(),
                slots: Some(slots),
                connections: 200,
                weight: 100,
                drain: false,
                note: None,
                incarnation: 0,
                warm_up: None,
                paused_until: None,
                cold_until: None,
                is_emptied: false,
            })
            .collect(),
        retry_percent: 10,
        hedge_percent: 5,
        silence: Duration::from_secs(1),
        probes_per_second: 4,
        probe_path: "/load".into(),
        note: None,
        repeats: None,
        sampling: None,
    }
}

/// Limit on the repeated sends of a fleet.
pub const REPEAT_LIMIT: RepeatLimit = RepeatLimit {
    window: Duration::from_secs(10),
    percent: 20,
    extra: 56,
};

/// Time in milliseconds from the end of targets' work in a planned stop to the last answers.
pub const STOP_ANSWER_MS: u64 = 100;

/// Longest wait for load samples.
pub const SAMPLE_WAIT_MS: u64 = 30;
/// Age up to which a load sample is used.
pub const SAMPLE_FRESH_MS: u64 = 60;

/// Declares a service that samples the load of targets before it dispatches a request.
pub fn make_sampled_spec(targets: usize) -> ServiceSpec {
    let mut spec = make_spec(targets, 3);
    spec.probes_per_second = 10_000;
    spec.sampling = Some(Sampling {
        fanout: 3,
        fresh: Duration::from_millis(SAMPLE_FRESH_MS),
        wait: Duration::from_millis(SAMPLE_WAIT_MS),
    });
    for class in &mut spec.classes {
        class.objective = Some(Duration::from_millis(600));
        class.deadline = Duration::from_secs(4);
    }
    spec
}

impl Harness {
    pub fn new(targets: usize, slots: u16) -> Self {
        Self::with_spec(make_spec(targets, slots))
    }

    pub fn with_spec(spec: ServiceSpec) -> Self {
        Self {
            service: Service::new(spec, 7),
            now: Instant::now(),
            sent: Vec::new(),
            delivered: Vec::new(),
            refused: Vec::new(),
            cancelled: Vec::new(),
            withdrawn: Vec::new(),
            events: Vec::new(),
            sampled: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Creates one VM of a fleet with [`REPEAT_LIMIT`].
    pub fn with_repeat_limit(vms: u16) -> Self {
        let mut spec = make_spec(6, 50);
        spec.repeats = Some(REPEAT_LIMIT);
        spec.retry_percent = 100;
        let mut harness = Self::with_spec(spec);
        harness.set_fleet(vms, 0);
        harness
    }

    /// Sends one request whose first attempt is shed; returns the number of repeats.
    pub fn send_and_shed(&mut self) -> usize {
        let first = self.send(ONCE);
        self.shed_first(first)
    }

    /// Does the same as [`Self::send_and_shed`]; returns `None` if every target counts as
    /// full, and cancels the call.
    pub fn try_send_and_shed(&mut self) -> Option<usize> {
        let call = self.arrive(ONCE);
        if !self.is_sent(call) {
            self.cancel(call);
            return None;
        }
        let first = self.get_last_attempt(call);
        Some(self.shed_first(first))
    }

    fn shed_first(&mut self, first: Sent) -> usize {
        let before = self.sent.len();
        self.fail(first, Outcome::Shed);
        let repeats = self.sent.len() - before;
        if let Some(last) = self.sent.last().copied()
            && repeats > 0
        {
            self.answer(last);
        }
        repeats
    }

    /// Advances the clock and calls `tick`.
    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.service.tick(self.now, &mut self.outputs);
        self.collect_outputs();
    }

    /// Advances the clock without a call of `tick`, as in a process that was paused.
    pub fn pause(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    pub fn arrive(&mut self, class: &str) -> CallKey {
        self.arrive_within(class, 1_000)
    }

    pub fn arrive_within(&mut self, class: &str, millis: u64) -> CallKey {
        let class = self.get_class(class);
        self.arrive_with_key(class, millis)
    }

    /// Returns the key of a class.
    pub fn get_class(&self, name: &str) -> ClassKey {
        let key = self.service.find_class_by_name(name);
        key.unwrap_or_else(|| panic!("no class {name}"))
    }

    /// Submits a call with the key of a declared class.
    pub fn arrive_with_key(&mut self, class: ClassKey, millis: u64) -> CallKey {
        let kind = self
            .service
            .get_class(class)
            .expect("a declared class")
            .kind;
        self.arrive_with_kind(class, kind, millis)
    }

    /// Submits a call with a key that may have been read before a change of the declaration.
    pub fn arrive_with_kind(&mut self, class: ClassKey, kind: ClassKind, millis: u64) -> CallKey {
        let arrival = Arrival {
            class,
            kind,
            deadline: self.now + Duration::from_millis(millis),
            time_left: None,
            is_replayable: true,
            workspace: None,
        };
        self.arrive_call(arrival)
    }

    /// Submits a call.
    pub fn arrive_call(&mut self, arrival: Arrival) -> CallKey {
        let call = self.service.arrive(self.now, arrival, &mut self.outputs);
        self.collect_outputs();
        call
    }

    /// Submits a call whose caller states the time that it has left.
    pub fn arrive_stating(&mut self, class: &str, left_ms: u64) -> CallKey {
        let class = self.get_class(class);
        let left = Duration::from_millis(left_ms);
        self.arrive_call(Arrival {
            class,
            kind: self.service.get_class(class).expect("a class").kind,
            deadline: self.now + left,
            time_left: Some(left),
            is_replayable: true,
            workspace: None,
        })
    }

    /// Submits a call that is dispatched at once; returns its attempt.
    pub fn send(&mut self, class: &str) -> Sent {
        let call = self.arrive(class);
        self.get_last_attempt(call)
    }

    pub fn get_last_attempt(&self, call: CallKey) -> Sent {
        *self
            .sent
            .iter()
            .rev()
            .find(|sent| sent.call == call)
            .unwrap_or_else(|| panic!("the call was not dispatched: {:?}", self.get_code(call)))
    }

    pub fn is_sent(&self, call: CallKey) -> bool {
        self.sent.iter().any(|sent| sent.call == call)
    }

    pub fn answer(&mut self, sent: Sent) {
        self.service
            .answered(self.now, sent.attempt, false, false, &mut self.outputs);
        self.service
            .finished(self.now, sent.attempt, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn answer_error(&mut self, sent: Sent, is_retried_by_target: bool) {
        self.service.answered(
            self.now,
            sent.attempt,
            true,
            is_retried_by_target,
            &mut self.outputs,
        );
        self.service
            .finished(self.now, sent.attempt, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn fail(&mut self, sent: Sent, outcome: Outcome) {
        if outcome == Outcome::Withdrawn {
            self.withdrawn.push(sent.attempt);
        }
        self.service
            .failed(self.now, sent.attempt, outcome, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn report(&mut self, sent: Sent, in_flight: u16, is_leaving: bool) {
        let report = LoadReport {
            in_flight,
            slots: None,
            is_leaving,
            work_percent: None,
        };
        self.service.report(
            self.now,
            sent.target,
            Some(sent.attempt),
            report,
            &mut self.outputs,
        );
        self.collect_outputs();
    }

    /// Reports the relative work time of an idle target, in percent of the usual.
    pub fn report_work_percent(&mut self, target: TargetKey, work_percent: u16) {
        self.report_load(
            target,
            LoadReport {
                in_flight: 0,
                slots: Some(3),
                is_leaving: false,
                work_percent: Some(work_percent),
            },
        );
    }

    /// Records the answer to a load request.
    pub fn report_load(&mut self, target: TargetKey, report: LoadReport) {
        self.service
            .report(self.now, target, None, report, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn cancel(&mut self, call: CallKey) {
        self.service.cancel(self.now, call, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn set_leaving(&mut self, target: TargetKey, is_leaving: bool) {
        self.service
            .set_leaving(self.now, target, is_leaving, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn set_fleet(&mut self, vms: u16, rank: u16) {
        self.service
            .set_fleet(self.now, vms, rank, &mut self.outputs);
        self.collect_outputs();
    }

    /// Starts a planned stop, in which targets work for `millis` at most.
    pub fn stop(&mut self, millis: u64) {
        let work_until = self.now + Duration::from_millis(millis);
        let schedule = StopSchedule {
            close_idle: self.now,
            work_until,
            answer_until: work_until + Duration::from_millis(STOP_ANSWER_MS),
            exit: work_until + Duration::from_millis(2 * STOP_ANSWER_MS),
        };
        self.service.stop(self.now, schedule, &mut self.outputs);
        self.collect_outputs();
    }

    pub fn apply(&mut self, spec: ServiceSpec) {
        self.service.apply(self.now, spec, &mut self.outputs);
        self.collect_outputs();
    }

    /// Sends calls that are answered after `millis`, so that the service records the usual
    /// answer time.
    pub fn warm_up(&mut self, rounds: usize, millis: u64) {
        for _ in 0..rounds {
            let sent = self.send(SHORT);
            self.advance(millis);
            self.answer(sent);
        }
    }

    /// Returns the result code of a refused call.
    pub fn get_code(&self, call: CallKey) -> Option<ResultCode> {
        self.refused
            .iter()
            .find(|(refused, _)| *refused == call)
            .map(|(_, code)| *code)
    }

    fn collect_outputs(&mut self) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Dispatch {
                    call,
                    attempt,
                    target,
                    kind,
                } => self.sent.push(Sent {
                    call,
                    attempt,
                    target,
                    kind,
                }),
                Output::Deliver { call, .. } => self.delivered.push(call),
                Output::Refuse { call, code } => self.refused.push((call, code)),
                Output::Cancel { attempt, .. } => self.cancelled.push(attempt),
                Output::Sample { target } => self.sampled.push(target),
                Output::Event(event) => self.events.push(event),
            }
        }
    }
}
