//! The state machine of one service.

use super::budget::Budget;
use super::class::{Class, HedgeCheck, Waiting};
use super::demand::ShortDemand;
use super::long_slots::{LongRoom, deal, reserve_of};
use super::records::{Attempt, Call, CallState};
use super::target::Target;
use super::{
    Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, Counters, LoadReport, Outcome, Output,
    TargetCondition, TargetKey, TargetStatus,
};
use crate::{ClassKind, EventKind, ResultCode, ServiceSpec};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::SlotMap;
use std::time::{Duration, Instant};

/// Routing state of one service on one VM.
///
/// Every method takes the current time and appends what has to be done to
/// `out`, which the caller keeps and clears, so that a decision allocates
/// nothing in the steady state.
///
/// ```
/// use gentianridge_core::{Arrival, ClassKey, Output, Service};
/// # use gentianridge_core::{ClassKind, ClassSpec, MethodSet, RouteMatch, ServiceSpec, TargetSpec};
/// # use std::time::{Duration, Instant};
/// # let route = RouteMatch { methods: MethodSet::default(), prefix: "/".into() };
/// # let spec = ServiceSpec {
/// #     name: "recipient".into(), route: route.clone(), retry_percent: 10, hedge_percent: 5,
/// #     silence: Duration::from_secs(1), probes_per_second: 1, probe_path: "/load".into(), note: None,
/// #     classes: vec![ClassSpec { name: "lookup".into(), route, kind: ClassKind::Interactive,
/// #         deadline: Duration::from_secs(1), reserve: 0, queue: 100 }],
/// #     targets: vec![TargetSpec { name: "r1".into(), addr: "127.0.0.1:9001".parse().unwrap(),
/// #         domain: "d1".into(), slots: Some(3), connections: 200, weight: 100, drain: false, note: None }],
/// # };
/// let now = Instant::now();
/// let mut service = Service::new(spec, 7);
/// let mut out = Vec::new();
/// let arrival = Arrival {
///     class: ClassKey(0),
///     deadline: now + Duration::from_secs(1),
///     is_replayable: true,
/// };
/// let call = service.arrive(now, arrival, &mut out);
/// assert!(matches!(out[0], Output::Dispatch { call: sent, .. } if sent == call));
/// ```
#[derive(Debug)]
pub struct Service {
    pub(super) spec: ServiceSpec,
    pub(super) targets: Vec<Target>,
    pub(super) classes: Vec<Class>,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) retries: Budget,
    pub(super) hedges: Budget,
    pub(super) counters: Counters,
    pub(super) rng: Pcg32,
    pub(super) vms: u16,
    pub(super) rank: u16,
    pub(super) own_total: u32,
    pub(super) own_short: u32,
    pub(super) short_demand: ShortDemand,
    pub(super) reserved_seen: Option<Instant>,
}

/// Construction and changes of what is declared.
impl Service {
    /// Creates the state of a service on a fleet of one VM.
    ///
    /// `seed` drives every random choice.
    pub fn new(mut spec: ServiceSpec, seed: u64) -> Self {
        let targets = std::mem::take(&mut spec.targets);
        let classes = std::mem::take(&mut spec.classes);
        let mut service = Self {
            retries: Budget::new(spec.retry_percent),
            hedges: Budget::new(spec.hedge_percent),
            targets: targets.into_iter().map(|t| Target::new(t, None)).collect(),
            classes: classes.into_iter().map(Class::new).collect(),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            counters: Counters::default(),
            rng: Pcg32::seed_from_u64(seed),
            vms: 1,
            rank: 0,
            own_total: 0,
            own_short: 0,
            short_demand: ShortDemand::new(),
            reserved_seen: None,
            spec,
        };
        service.deal_long_slots();
        service
    }

    /// Puts a new declaration in force and keeps what is known.
    ///
    /// Targets are matched by name and address. Calls that wait in a class
    /// that is gone move to the first class of the same kind or are refused.
    pub fn apply(&mut self, now: Instant, mut spec: ServiceSpec, out: &mut Vec<Output>) {
        let targets = std::mem::take(&mut spec.targets);
        let classes = std::mem::take(&mut spec.classes);
        self.retries.set_percent(spec.retry_percent);
        self.hedges.set_percent(spec.hedge_percent);
        self.spec = spec;
        self.apply_targets(now, targets);
        self.apply_classes(classes, out);
        self.deal_long_slots();
        self.pump(now, out);
    }

    fn apply_targets(&mut self, now: Instant, specs: Vec<crate::TargetSpec>) {
        for target in &mut self.targets {
            target.is_removed = true;
        }
        for spec in specs {
            let known = self
                .targets
                .iter()
                .position(|t| t.spec.name == spec.name && t.spec.addr == spec.addr);
            match known {
                Some(index) => self.targets[index].redeclare(now, spec),
                None => self.add_target(Target::new(spec, Some(now))),
            }
        }
    }

    fn add_target(&mut self, target: Target) {
        let free = self.targets.iter().position(|t| t.is_removed && t.own == 0);
        match free {
            Some(index) => self.targets[index] = target,
            None => self.targets.push(target),
        }
    }

    fn apply_classes(&mut self, specs: Vec<crate::ClassSpec>, out: &mut Vec<Output>) {
        let same_order = specs.len() == self.classes.len()
            && specs
                .iter()
                .zip(&self.classes)
                .all(|(new, old)| new.name == old.spec.name && new.kind == old.spec.kind);
        if same_order {
            for (class, spec) in self.classes.iter_mut().zip(specs) {
                class.spec = spec;
            }
            return;
        }
        self.rebuild_classes(specs, out);
    }

    fn rebuild_classes(&mut self, specs: Vec<crate::ClassSpec>, out: &mut Vec<Output>) {
        let old = std::mem::take(&mut self.classes);
        self.classes = specs.into_iter().map(Class::new).collect();
        let moves: Vec<Option<ClassKey>> = old
            .iter()
            .map(|class| find_successor(&self.classes, class))
            .collect();
        for attempt in self.attempts.values_mut() {
            attempt.class = moves[attempt.class.get_index()].unwrap_or(ClassKey(0));
        }
        let keys: Vec<CallKey> = self.calls.keys().collect();
        for key in keys {
            self.move_call(key, &moves, out);
        }
    }

    fn move_call(&mut self, key: CallKey, moves: &[Option<ClassKey>], out: &mut Vec<Output>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let successor = moves[call.class.get_index()];
        call.class = successor.unwrap_or(ClassKey(0));
        let waits = call.state == CallState::Waiting;
        let entry = Waiting {
            deadline: call.deadline,
            call: key,
        };
        match successor {
            Some(class) if waits => self.classes[class.get_index()].insert(entry),
            None if waits => self.refuse(key, ResultCode::NoService, out),
            _ => {}
        }
    }

    /// Tells the service how many VMs are live and which rank this one has.
    ///
    /// Ranks are positions in the sorted list of live names.
    pub fn set_fleet(&mut self, now: Instant, vms: u16, rank: u16, out: &mut Vec<Output>) {
        if (self.vms, self.rank) == (vms, rank) {
            return;
        }
        self.vms = vms.max(1);
        self.rank = rank;
        self.deal_long_slots();
        self.pump(now, out);
    }

    pub(super) fn deal_long_slots(&mut self) {
        let declared = self.classes.iter().map(|c| c.spec.reserve).sum::<u16>();
        let reserve = declared.max(self.short_demand.get_slots(self.vms));
        let total: u32 = self
            .targets
            .iter()
            .filter(|t| t.is_usable())
            .map(|t| u32::from(t.spec.get_slots()))
            .sum();
        let rooms: Vec<LongRoom> = self
            .targets
            .iter()
            .map(|target| long_room(target, total, reserve, self.has_short_classes()))
            .collect();
        let mut shares = Vec::with_capacity(rooms.len());
        deal(&rooms, self.vms, self.rank, &mut shares);
        for (target, share) in self.targets.iter_mut().zip(shares) {
            target.long_share = share;
        }
    }

    fn has_short_classes(&self) -> bool {
        self.classes
            .iter()
            .any(|class| class.spec.kind != ClassKind::Background)
    }
}

/// Inputs from callers and timers.
impl Service {
    /// Takes in a call and either dispatches, queues or refuses it.
    ///
    /// # Panics
    ///
    /// Panics if the class is not one of the service.
    pub fn arrive(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Output>) -> CallKey {
        self.counters.arrivals += 1;
        let class = &self.classes[arrival.class.get_index()];
        if class.spec.kind != ClassKind::Background {
            self.reserved_seen = Some(now);
        }
        let call = Call::new(arrival.class, arrival.deadline, arrival.is_replayable);
        let key = self.calls.insert(call);
        if let Some(code) = self.judge_arrival(now, arrival) {
            self.refuse(key, code, out);
            return key;
        }
        self.enqueue(key);
        self.pump(now, out);
        key
    }

    fn judge_arrival(&mut self, now: Instant, arrival: Arrival) -> Option<ResultCode> {
        if !self.targets.iter().any(Target::is_usable) {
            return Some(ResultCode::NoTarget);
        }
        let class = &self.classes[arrival.class.get_index()];
        if class.is_full() {
            return Some(ResultCode::QueueFull);
        }
        let wait = self.estimate_wait(class);
        let finish = now + wait + class.usual.get_high();
        (finish > arrival.deadline).then_some(ResultCode::DeadlineUnreachable)
    }

    /// Waiting time of a new call of the class, from the slots this VM works with.
    fn estimate_wait(&self, class: &Class) -> Duration {
        let is_background = class.spec.kind == ClassKind::Background;
        let ahead: usize = self
            .classes
            .iter()
            .filter(|c| (c.spec.kind == ClassKind::Background) == is_background)
            .map(Class::len)
            .sum();
        if ahead == 0 {
            return Duration::ZERO;
        }
        let slots = if is_background {
            self.targets.iter().map(|t| u32::from(t.long_share)).sum()
        } else {
            self.own_total.max(self.get_fair_share())
        };
        class
            .usual
            .get_hold()
            .mul_f32(ahead as f32 / slots.max(1) as f32)
    }

    /// Ends a call whose caller has gone; its attempts are cancelled.
    pub fn cancel(&mut self, now: Instant, key: CallKey, out: &mut Vec<Output>) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        let entry = Waiting {
            deadline: call.deadline,
            call: key,
        };
        if call.state == CallState::Waiting {
            self.classes[call.class.get_index()].remove(entry);
        }
        for attempt in call.running.into_iter().flatten() {
            self.abort(now, attempt, out);
        }
        self.pump(now, out);
    }

    /// Handles everything that is due: hedges, expired calls, free room.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.expire(now, out);
        self.check_hedges(now, out);
        self.pump(now, out);
    }

    /// Returns the time at which [`Self::tick`] has to be called at the latest.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let expiry = self
            .classes
            .iter()
            .filter_map(|c| c.front())
            .map(|w| w.deadline);
        let hedge = self.classes.iter().filter_map(|c| self.next_hedge(c));
        let mut wake = expiry.chain(hedge).min();
        if self.classes.iter().any(|c| c.len() > 0) {
            let recheck = now + Self::RECHECK;
            wake = Some(wake.map_or(recheck, |at| at.min(recheck)));
        }
        wake
    }

    /// Time after which waiting calls are tried again, since reports fade.
    const RECHECK: Duration = Duration::from_millis(1);

    fn enqueue(&mut self, key: CallKey) {
        let call = &mut self.calls[key];
        call.state = CallState::Waiting;
        let entry = Waiting {
            deadline: call.deadline,
            call: key,
        };
        self.classes[call.class.get_index()].insert(entry);
    }

    fn expire(&mut self, now: Instant, out: &mut Vec<Output>) {
        for index in 0..self.classes.len() {
            let margin = self.classes[index].usual.get_high();
            while let Some(front) = self.classes[index].front() {
                if front.deadline > now + margin {
                    break;
                }
                self.classes[index].pop_front();
                self.refuse_expired(front.call, out);
            }
        }
    }

    fn refuse_expired(&mut self, key: CallKey, out: &mut Vec<Output>) {
        let may_have_run = self.calls.get(key).is_some_and(|call| call.may_have_run);
        let code = if may_have_run {
            ResultCode::AttemptFailed
        } else {
            ResultCode::DeadlinePassed
        };
        self.refuse(key, code, out);
    }

    pub(super) fn refuse(&mut self, key: CallKey, code: ResultCode, out: &mut Vec<Output>) {
        if self.calls.remove(key).is_none() {
            return;
        }
        match code.run_state() {
            crate::RunState::NotRun => self.counters.refused_not_run += 1,
            crate::RunState::Unknown => self.counters.refused_unknown += 1,
        }
        out.push(Output::Refuse { call: key, code });
    }
}

/// Dispatching and hedging.
impl Service {
    /// Dispatches waiting calls for as long as there is room.
    pub(super) fn pump(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.expire(now, out);
        if self.short_demand.observe(now, self.own_short) {
            self.deal_long_slots();
        }
        while let Some(index) = self.find_next_class(false) {
            if !self.dispatch_front(now, index, out) {
                break;
            }
        }
        // Background work gives way as long as short work waits.
        if self.find_next_class(false).is_some() {
            return;
        }
        while let Some(index) = self.find_next_class(true) {
            if !self.dispatch_front(now, index, out) {
                break;
            }
        }
    }

    /// Returns the class whose first waiting call has the earliest deadline.
    fn find_next_class(&self, is_background: bool) -> Option<usize> {
        self.classes
            .iter()
            .enumerate()
            .filter(|(_, class)| (class.spec.kind == ClassKind::Background) == is_background)
            .filter_map(|(index, class)| class.front().map(|front| (front.deadline, index)))
            .min()
            .map(|(_, index)| index)
    }

    fn dispatch_front(&mut self, now: Instant, index: usize, out: &mut Vec<Output>) -> bool {
        let Some(front) = self.classes[index].front() else {
            return false;
        };
        let Some(choice) = self.pick(now, front.call) else {
            return false;
        };
        self.classes[index].pop_front();
        self.start(now, front.call, choice.target, choice.kind, out);
        true
    }

    pub(super) fn start(
        &mut self,
        now: Instant,
        key: CallKey,
        target: TargetKey,
        kind: AttemptKind,
        out: &mut Vec<Output>,
    ) {
        let class = self.calls[key].class;
        let is_long = self.classes[class.get_index()].spec.kind == ClassKind::Background;
        let attempt = self.attempts.insert(Attempt {
            call: key,
            class,
            target,
            kind,
            started: now,
            is_delivered: false,
            is_long,
        });
        self.calls[key].start(attempt, target);
        self.occupy(target, attempt, is_long);
        self.count_start(kind);
        if kind == AttemptKind::Trial {
            self.targets[target.get_index()].health.start_trial();
        }
        let check = HedgeCheck {
            started: now,
            attempt,
        };
        self.classes[class.get_index()]
            .hedge_checks
            .push_back(check);
        out.push(Output::Dispatch {
            call: key,
            attempt,
            target,
            kind,
        });
    }

    fn count_start(&mut self, kind: AttemptKind) {
        match kind {
            AttemptKind::First | AttemptKind::Trial => {
                self.counters.first_attempts += 1;
                self.retries.earn();
                self.hedges.earn();
            }
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
    }

    fn occupy(&mut self, target: TargetKey, attempt: AttemptKey, is_long: bool) {
        self.targets[target.get_index()].occupy(attempt, is_long);
        self.own_total += 1;
        self.own_short += u32::from(!is_long);
    }

    fn next_hedge(&self, class: &Class) -> Option<Instant> {
        let check = class.hedge_checks.front()?;
        Some(check.started + class.usual.get_high())
    }

    fn check_hedges(&mut self, now: Instant, out: &mut Vec<Output>) {
        for index in 0..self.classes.len() {
            while let Some(due) = self.next_hedge(&self.classes[index]) {
                if due > now {
                    break;
                }
                if let Some(check) = self.classes[index].hedge_checks.pop_front() {
                    self.check_hedge(now, index, check, out);
                }
            }
        }
    }

    fn check_hedge(
        &mut self,
        now: Instant,
        index: usize,
        check: HedgeCheck,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(check.attempt) else {
            return;
        };
        if attempt.is_delivered {
            return;
        }
        let (key, target, kind) = (attempt.call, attempt.target, attempt.kind);
        self.note_late(now, index, target, check.started, out);
        if kind == AttemptKind::Hedge {
            self.give_up_hedge(now, key, check.attempt, out);
            return;
        }
        let may_hedge = self.classes[index].spec.kind == ClassKind::Interactive
            && self.calls.get(key).is_some_and(can_hedge)
            && (kind == AttemptKind::Trial || self.hedges.has_token());
        if !may_hedge {
            return;
        }
        let Some(spare) = self.pick_spare(now, key) else {
            return;
        };
        if kind != AttemptKind::Trial {
            self.hedges.spend();
        }
        self.start(now, key, spare, AttemptKind::Hedge, out);
    }

    /// Ends a hedge that is late as well.
    ///
    /// Two late targets say that the work itself is long, and the first
    /// attempt is nearer to its end.
    fn give_up_hedge(
        &mut self,
        now: Instant,
        key: CallKey,
        hedge: AttemptKey,
        out: &mut Vec<Output>,
    ) {
        let is_doubled = self
            .calls
            .get(key)
            .is_some_and(|call| call.count_running() > 1);
        if is_doubled {
            self.abort(now, hedge, out);
            self.pump(now, out);
        }
    }

    /// Counts an attempt that is still unanswered against its target.
    fn note_late(
        &mut self,
        now: Instant,
        index: usize,
        target: TargetKey,
        started: Instant,
        out: &mut Vec<Output>,
    ) {
        let usual = &self.classes[index].usual;
        if !usual.is_known() {
            return;
        }
        let ratio = ratio_of(now.saturating_duration_since(started), usual.get_median());
        let health = &mut self.targets[target.get_index()].health;
        health.record_time(now, ratio);
        health.record_lateness(true);
        self.eject_if_slow(now, target, out);
    }
}

/// Inputs about attempts.
impl Service {
    /// Takes in the first byte of an answer.
    ///
    /// `is_error` says that the answer is a server error, which counts against
    /// the target and may be retried; `is_retried_below` says that the target
    /// has already retried, so that retries do not multiply over levels.
    pub fn answered(
        &mut self,
        now: Instant,
        key: AttemptKey,
        is_error: bool,
        is_retried_below: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (call, target) = (attempt.call, attempt.target);
        if is_error {
            self.counters.failures += 1;
            self.note_failure(now, target, out);
            if !is_retried_below && self.try_retry(now, key, out) {
                return;
            }
        } else {
            self.note_answer(now, key, out);
        }
        self.deliver(now, call, key, out);
    }

    fn note_answer(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        let attempt = &self.attempts[key];
        let elapsed = now.saturating_duration_since(attempt.started);
        let (target, kind) = (attempt.target, attempt.kind);
        let usual = &mut self.classes[attempt.class.get_index()].usual;
        let ratio = ratio_of(elapsed, usual.get_median());
        let is_known = usual.is_known();
        let is_late = elapsed >= usual.get_high();
        usual.record_answer(elapsed);
        if kind == AttemptKind::Hedge {
            self.counters.hedge_wins += 1;
        }
        let state = &mut self.targets[target.get_index()];
        if is_known {
            state.health.record_time(now, ratio);
        }
        if is_known && !is_late {
            // A late attempt was counted when its high time had passed.
            state.health.record_lateness(false);
        }
        state.limit.on_answer(now, state.own, ratio);
        if state.health.record_success(now, ratio) {
            state.start_warming(now);
            let event = EventKind::TargetReturned {
                service: self.spec.name.clone(),
                target: state.spec.name.clone(),
            };
            out.push(Output::Event(event));
        }
        self.eject_if_slow(now, target, out);
    }

    fn deliver(&mut self, now: Instant, call: CallKey, key: AttemptKey, out: &mut Vec<Output>) {
        self.attempts[key].is_delivered = true;
        let Some(record) = self.calls.remove(call) else {
            return;
        };
        self.counters.delivered += 1;
        out.push(Output::Deliver { call, attempt: key });
        let losers = record
            .running
            .into_iter()
            .flatten()
            .filter(|other| *other != key);
        let mut is_freed = false;
        for loser in losers {
            self.abort(now, loser, out);
            is_freed = true;
        }
        if is_freed {
            self.pump(now, out);
        }
    }

    /// Takes in the end of an answer that was handed on.
    pub fn finished(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        let Some(attempt) = self.release(key) else {
            return;
        };
        let elapsed = now.saturating_duration_since(attempt.started);
        let class = &mut self.classes[attempt.class.get_index()];
        class.usual.record_hold(elapsed);
        self.note_straggler(&attempt, elapsed, out);
        self.pump(now, out);
    }

    fn note_straggler(&mut self, attempt: &Attempt, elapsed: Duration, out: &mut Vec<Output>) {
        let usual = &self.classes[attempt.class.get_index()].usual;
        if !usual.is_known() || elapsed < usual.get_high() * Self::STRAGGLER_FACTOR {
            return;
        }
        self.counters.stragglers += 1;
        out.push(Output::Event(EventKind::Straggler {
            service: self.spec.name.clone(),
            target: self.targets[attempt.target.get_index()].spec.name.clone(),
            elapsed_ms: elapsed.as_millis() as u64,
        }));
    }

    /// Multiple of the class's high answer time from which an attempt is a straggler.
    const STRAGGLER_FACTOR: u32 = 4;

    /// Takes in the end of an attempt that gave no answer.
    pub fn failed(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (call, target) = (attempt.call, attempt.target);
        self.note_outcome(now, target, outcome, out);
        if !outcome.is_not_run()
            && let Some(record) = self.calls.get_mut(call)
        {
            record.may_have_run = true;
        }
        if self.try_retry_after(now, key, outcome, out) {
            return;
        }
        self.release(key);
        self.refuse_failed(call, outcome, out);
        self.pump(now, out);
    }

    fn note_outcome(
        &mut self,
        now: Instant,
        target: TargetKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        if outcome.is_target_failure() {
            self.counters.failures += 1;
            self.note_failure(now, target, out);
            return;
        }
        let state = &mut self.targets[target.get_index()];
        state.health.abandon_trial(now);
        if matches!(outcome, Outcome::Shed | Outcome::Declined) {
            self.counters.sheds += 1;
            self.note_shed(now, target, out);
        }
    }

    /// A shed target is full or its slots are fewer than declared.
    fn note_shed(&mut self, now: Instant, target: TargetKey, out: &mut Vec<Output>) {
        let fallback = self.get_mean_others();
        let hold = self.get_hold();
        let state = &mut self.targets[target.get_index()];
        let slots = state.get_slots(now);
        let is_surprise = state.get_occupancy(now, hold, fallback) < slots - 0.5;
        if is_surprise && state.limit.on_shed(now) {
            out.push(Output::Event(EventKind::TargetLimited {
                service: self.spec.name.clone(),
                target: state.spec.name.clone(),
                limit: state.limit.get().round() as u16,
            }));
        }
        state.assume_full(now);
    }

    fn refuse_failed(&mut self, key: CallKey, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        if call.count_running() > 0 || call.state == CallState::Waiting {
            return;
        }
        let code = if !call.may_have_run {
            ResultCode::TargetsRefused
        } else if matches!(outcome, Outcome::TimedOut | Outcome::Silent) {
            ResultCode::AttemptTimeout
        } else {
            ResultCode::AttemptFailed
        };
        self.refuse(key, code, out);
    }

    fn try_retry_after(
        &mut self,
        now: Instant,
        key: AttemptKey,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) -> bool {
        match outcome {
            Outcome::Withdrawn | Outcome::TimedOut | Outcome::Declined | Outcome::Quarantined => {
                false
            }
            Outcome::Shed | Outcome::Refused | Outcome::Broken | Outcome::Silent => {
                self.try_retry(now, key, out)
            }
        }
    }

    /// Repeats the call of a failed attempt if that is allowed.
    fn try_retry(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) -> bool {
        let call_key = self.attempts[key].call;
        let Some(call) = self.calls.get(call_key) else {
            return false;
        };
        if call.count_running() > 1 {
            self.release(key);
            return true;
        }
        let kind = self.classes[call.class.get_index()].spec.kind;
        let is_safe = !call.may_have_run || kind.is_idempotent();
        if !is_safe || !call.is_replayable || !call.may_attempt() || now >= call.deadline {
            return false;
        }
        if !self.retries.spend() {
            self.counters.retries_denied += 1;
            return false;
        }
        self.release(key);
        match self.pick_retry(now, call_key) {
            Some(target) => self.start(now, call_key, target, AttemptKind::Retry, out),
            None => self.enqueue(call_key),
        }
        true
    }

    /// Frees the slot of an attempt.
    fn release(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.targets[attempt.target.get_index()].release(key, attempt.is_long);
        self.own_total -= 1;
        self.own_short -= u32::from(!attempt.is_long);
        if let Some(call) = self.calls.get_mut(attempt.call) {
            call.stop(key);
        }
        Some(attempt)
    }

    fn abort(&mut self, now: Instant, key: AttemptKey, out: &mut Vec<Output>) {
        if let Some(attempt) = self.release(key) {
            let health = &mut self.targets[attempt.target.get_index()].health;
            health.abandon_trial(now);
            out.push(Output::Cancel {
                call: attempt.call,
                attempt: key,
            });
        }
    }
}

/// Inputs about targets.
impl Service {
    /// Takes in what a target says about itself.
    ///
    /// `attempt` is the one whose answer carried the report, none for a probe.
    /// It has to be given before the attempt ends.
    pub fn report(
        &mut self,
        now: Instant,
        key: TargetKey,
        attempt: Option<AttemptKey>,
        report: LoadReport,
        out: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(key.get_index()) else {
            return;
        };
        if let Some(attempt) = attempt {
            target.weigh_report(report, attempt);
        }
        target.take_report(now, report);
        if target.is_leaving != report.is_leaving {
            self.set_leaving(now, key, report.is_leaving, out);
        }
    }

    /// Notes that a target is leaving, or that it came back.
    pub fn set_leaving(
        &mut self,
        now: Instant,
        key: TargetKey,
        is_leaving: bool,
        out: &mut Vec<Output>,
    ) {
        let Some(target) = self.targets.get_mut(key.get_index()) else {
            return;
        };
        if target.is_leaving == is_leaving {
            return;
        }
        target.is_leaving = is_leaving;
        if !is_leaving {
            target.start_warming(now);
        }
        out.push(Output::Event(EventKind::TargetLeaving {
            service: self.spec.name.clone(),
            target: target.spec.name.clone(),
            is_leaving,
        }));
        self.deal_long_slots();
        self.pump(now, out);
    }

    fn note_failure(&mut self, now: Instant, key: TargetKey, out: &mut Vec<Output>) {
        let cause = self.targets[key.get_index()].health.record_failure(now);
        if let Some(cause) = cause {
            self.eject(now, key, cause, out);
        }
    }

    fn eject_if_slow(&mut self, now: Instant, key: TargetKey, out: &mut Vec<Output>) {
        let cause = self.targets[key.get_index()].health.judge_times();
        if let Some(cause) = cause {
            self.eject(now, key, cause, out);
        }
    }

    fn eject(
        &mut self,
        now: Instant,
        key: TargetKey,
        cause: super::ejection::EjectCause,
        out: &mut Vec<Output>,
    ) {
        if !self.may_eject() {
            self.counters.ejections_denied += 1;
            return;
        }
        self.counters.ejections += 1;
        let target = &mut self.targets[key.get_index()];
        target.health.eject(now);
        out.push(Output::Event(EventKind::TargetEjected {
            service: self.spec.name.clone(),
            target: target.spec.name.clone(),
            cause: cause.as_str().into(),
        }));
    }

    /// At least half of the usable targets stay in use.
    fn may_eject(&self) -> bool {
        let usable = self.targets.iter().filter(|t| t.is_usable());
        let (mut total, mut active) = (0, 0);
        for target in usable {
            total += 1;
            active += u32::from(target.health.is_active());
        }
        active > 0 && (active - 1) * 2 >= total
    }
}

/// What the process and operators read.
impl Service {
    /// Returns the declaration without classes and targets.
    pub fn get_spec(&self) -> &ServiceSpec {
        &self.spec
    }

    /// Returns the declaration of a class.
    pub fn get_class(&self, class: ClassKey) -> &crate::ClassSpec {
        &self.classes[class.get_index()].spec
    }

    /// Returns the keys of all classes.
    pub fn get_class_keys(&self) -> impl Iterator<Item = ClassKey> + '_ {
        (0..self.classes.len()).map(|index| ClassKey(index as u8))
    }

    /// Returns the first class that takes the request.
    pub fn find_class(&self, method: &str, path: &str) -> Option<ClassKey> {
        self.classes
            .iter()
            .position(|class| class.spec.route.is_match(method, path))
            .map(|index| ClassKey(index as u8))
    }

    /// Returns the declaration of a target.
    pub fn get_target(&self, key: TargetKey) -> Option<&crate::TargetSpec> {
        self.targets.get(key.get_index()).map(|t| &t.spec)
    }

    /// Returns the key of the declared target with the name.
    pub fn find_target(&self, name: &str) -> Option<TargetKey> {
        self.targets
            .iter()
            .position(|t| !t.is_removed && t.spec.name == name)
            .map(|index| TargetKey(index as u16))
    }

    /// Returns the keys of all declared targets.
    pub fn get_target_keys(&self) -> impl Iterator<Item = TargetKey> + '_ {
        (0..self.targets.len())
            .filter(|&index| !self.targets[index].is_removed)
            .map(|index| TargetKey(index as u16))
    }

    /// Returns the age of the newest report of a target, if it ever reported.
    pub fn get_report_age(&self, now: Instant, key: TargetKey) -> Option<Duration> {
        self.targets[key.get_index()].get_report_age(now)
    }

    /// Returns true if the target said that it is going to stop.
    pub fn is_leaving(&self, key: TargetKey) -> bool {
        self.targets[key.get_index()].is_leaving
    }

    /// Returns attempts of this VM in flight on a target.
    pub fn get_in_flight(&self, key: TargetKey) -> u16 {
        self.targets[key.get_index()].own
    }

    /// Returns the number of calls that wait.
    pub fn count_waiting(&self) -> usize {
        self.classes.iter().map(Class::len).sum()
    }

    /// Returns the number of calls that wait in one class.
    pub fn count_waiting_in(&self, class: ClassKey) -> usize {
        self.classes[class.get_index()].len()
    }

    /// Returns the number of calls that are not answered yet.
    pub fn count_calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of attempts that occupy a slot.
    pub fn count_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the totals since the service was created.
    pub fn get_counters(&self) -> Counters {
        self.counters
    }

    /// Returns each declared target as this VM sees it.
    pub fn get_status(&self, now: Instant) -> Vec<TargetStatus> {
        let fallback = self.get_mean_others();
        let hold = self.get_hold();
        self.targets
            .iter()
            .filter(|target| !target.is_removed)
            .map(|target| target_status(target, now, hold, fallback))
            .collect()
    }
}

impl Target {
    fn redeclare(&mut self, now: Instant, spec: crate::TargetSpec) {
        let was_usable = self.is_usable() || self.is_removed;
        self.is_removed = false;
        self.limit.set_declared(spec.slots, spec.get_slots());
        self.spec = spec;
        if !was_usable && self.is_usable() {
            self.start_warming(now);
        }
    }

    fn get_condition(&self) -> TargetCondition {
        if self.spec.drain || self.spec.weight == 0 {
            TargetCondition::Drained
        } else if self.is_leaving {
            TargetCondition::Leaving
        } else if self.health.is_active() {
            TargetCondition::Active
        } else {
            TargetCondition::Ejected
        }
    }
}

fn target_status(target: &Target, now: Instant, hold: Duration, fallback: f32) -> TargetStatus {
    let note = target.spec.note.as_ref();
    TargetStatus {
        name: target.spec.name.clone(),
        domain: target.spec.domain.clone(),
        condition: target.get_condition(),
        own: target.own,
        occupancy: target.get_occupancy(now, hold, fallback),
        slots: target.get_slots(now),
        slowness: target.health.get_slowness(now),
        report_age_ms: target.get_report_age(now).map(|age| age.as_millis() as u64),
        reason: note.map(|note| note.reason.clone()),
        author: note.and_then(|note| note.author.clone()),
    }
}

fn long_room(target: &Target, total: u32, reserve: u16, has_short: bool) -> LongRoom {
    if !target.is_usable() {
        return LongRoom {
            slots: 0,
            reserve: 0,
        };
    }
    let slots = target.spec.get_slots();
    let reserve = if has_short {
        reserve_of(slots, total, reserve)
    } else {
        0
    };
    LongRoom { slots, reserve }
}

fn find_successor(classes: &[Class], old: &Class) -> Option<ClassKey> {
    classes
        .iter()
        .position(|class| class.spec.name == old.spec.name)
        .or_else(|| {
            classes
                .iter()
                .position(|class| class.spec.kind == old.spec.kind)
        })
        .map(|index| ClassKey(index as u8))
}

fn can_hedge(call: &Call) -> bool {
    call.is_replayable && call.count_running() == 1 && call.may_attempt()
}

fn ratio_of(elapsed: Duration, usual: Duration) -> f32 {
    elapsed.as_secs_f32() / usual.as_secs_f32().max(0.000_1)
}
