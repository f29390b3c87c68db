//! The state machine of one service.

use super::admission::Turns;
use super::budget::Budget;
use super::classes::Classes;
use super::demand::ShortDemand;
use super::fleet_budget::FleetBudget;
use super::long_slots::{LongCapacity, assign, reserve_of};
use super::records::{Attempt, Call};
use super::sampling::Sampler;
use super::target::Target;
use super::{AttemptKey, CallKey, ClassKey, Counters, Output};
use crate::{
    ClassKind, ColdFleet, ColdPlan, DomainName, RepeatLimit, ServiceSpec, StopSchedule, VmName,
};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use slotmap::SlotMap;
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Routing state of one service on one VM.
///
/// Every input method takes the current time and appends its outputs to `out`.
/// The caller reuses and clears `out`, so that a decision allocates nothing in
/// the steady state.
///
/// ```
/// use gentianridge_core::{Arrival, ClassKind, Output, Service};
/// # use gentianridge_core::{ClassSpec, MethodSet, RouteMatch, ServiceSpec, TargetSpec};
/// # use std::time::{Duration, Instant};
/// # let route = RouteMatch { methods: MethodSet::default(), prefix: "/".into() };
/// # let spec = ServiceSpec {
/// #     name: "recipient".into(), route: route.clone(), retry_percent: 10, hedge_percent: 5,
/// #     silence: Duration::from_secs(1), probes_per_second: 1, probe_path: "/load".into(), note: None,
/// #     repeats: None, sampling: None,
/// #     classes: vec![ClassSpec { name: "lookup".into(), route, kind: ClassKind::Interactive,
/// #         deadline: Duration::from_secs(1), reserve: 0, queue: 100, objective: None,
/// #         priority: 0, max_attempts: 4 }],
/// #     targets: vec![TargetSpec { name: "r1".into(), addr: "127.0.0.1:9001".parse().unwrap(),
/// #         domain: "d1".into(), slots: Some(3), connections: 200, weight: 100, drain: false, note: None,
/// #         incarnation: 0, warm_up: None, paused_until: None,
/// #         cold_until: None, is_emptied: false }],
/// # };
/// let now = Instant::now();
/// let mut service = Service::new(spec, 7);
/// let mut out = Vec::new();
/// let arrival = Arrival {
///     class: service.find_class_by_name("lookup").unwrap(),
///     kind: ClassKind::Interactive,
///     deadline: now + Duration::from_secs(1),
///     time_left: None,
///     is_replayable: true,
///     workspace: None,
/// };
/// let call = service.arrive(now, arrival, &mut out);
/// assert!(matches!(out[0], Output::Dispatch { call: sent, .. } if sent == call));
/// ```
#[derive(Debug)]
pub struct Service {
    pub(super) spec: ServiceSpec,
    pub(super) targets: Vec<Target>,
    pub(super) classes: Classes,
    pub(super) calls: SlotMap<CallKey, Call>,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) retries: Budget,
    pub(super) hedges: Budget,
    pub(super) fleet_budget: Option<FleetBudget>,
    pub(super) sampler: Sampler,
    pub(super) domain: DomainName,
    /// Hash of this VM's name, used to choose its subset of the targets.
    pub(super) vm_hash: u64,
    pub(super) counters: Counters,
    pub(super) rng: Pcg32,
    pub(super) vms: u16,
    pub(super) rank: u16,
    pub(super) own_total: u32,
    pub(super) own_short: u32,
    pub(super) short_demand: ShortDemand,
    pub(super) last_short_arrival: Option<Instant>,
    /// Time of the last refusal, which its caller may answer with another attempt.
    pub(super) last_refusal: Option<Instant>,
    /// Time of the last refusal of a call that could have been in time.
    pub(super) last_turned_away: Option<Instant>,
    /// Turns of workspaces at a full service.
    pub(super) turns: Turns,
    /// Schedule of the planned stop of the VM, after its signal.
    pub(super) stop: Option<StopSchedule>,
    /// How the rate of cold targets is shared, `None` if the service has none.
    pub(super) cold_plan: Option<ColdPlan>,
    pub(super) cold_fleet: ColdFleet,
}

/// Construction and changes of the declaration.
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
            fleet_budget: spec.repeats.map(FleetBudget::new),
            sampler: Sampler::default(),
            domain: DomainName::default(),
            vm_hash: 0,
            targets: targets.into_iter().map(|t| Target::new(t, None)).collect(),
            classes: Classes::new(classes),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            counters: Counters::default(),
            rng: Pcg32::seed_from_u64(seed),
            vms: 1,
            rank: 0,
            own_total: 0,
            own_short: 0,
            short_demand: ShortDemand::new(),
            last_short_arrival: None,
            last_refusal: None,
            last_turned_away: None,
            turns: Turns::default(),
            stop: None,
            cold_plan: None,
            cold_fleet: ColdFleet::default(),
            spec,
        };
        service.assign_long_slots();
        service
    }

    /// Applies a new declaration and keeps the existing state.
    ///
    /// Targets are matched by name, address and incarnation, classes by name and kind.
    /// Calls of a removed class are served to their end.
    pub fn apply(&mut self, now: Instant, mut spec: ServiceSpec, out: &mut Vec<Output>) {
        let targets = std::mem::take(&mut spec.targets);
        let classes = std::mem::take(&mut spec.classes);
        self.retries.set_percent(spec.retry_percent);
        self.hedges.set_percent(spec.hedge_percent);
        self.apply_repeat_limit(spec.repeats);
        self.spec = spec;
        self.apply_targets(now, targets);
        self.assign_cold_owners(now);
        self.choose_subset();
        self.apply_classes(classes);
        self.assign_long_slots();
        self.dispatch_waiting(now, out);
    }

    pub(super) fn apply_targets(&mut self, now: Instant, specs: Vec<crate::TargetSpec>) {
        for target in &mut self.targets {
            target.is_removed = true;
        }
        for spec in specs {
            let known = self.targets.iter().position(|t| t.is_same_process(&spec));
            match known {
                Some(index) => self.targets[index].update_spec(now, spec, self.cold_plan),
                None => {
                    let mut target = Target::new(spec, Some(now));
                    if let Some(until) = target.spec.cold_until.filter(|_| self.cold_plan.is_some())
                    {
                        target.cold.state(until);
                    }
                    self.add_target(target);
                }
            }
        }
    }

    fn apply_repeat_limit(&mut self, limit: Option<RepeatLimit>) {
        match (&mut self.fleet_budget, limit) {
            (Some(budget), Some(limit)) => budget.set_limit(limit),
            (budget, limit) => *budget = limit.map(FleetBudget::new),
        }
    }

    pub(super) fn add_target(&mut self, target: Target) {
        let free = self.targets.iter().position(|t| t.is_removed && t.own == 0);
        match free {
            Some(index) => self.targets[index] = target,
            None => self.targets.push(target),
        }
    }

    /// Applies the declaration of the classes. A call keeps the class in which it arrived,
    /// and a removed class is dropped after its last call.
    fn apply_classes(&mut self, specs: Vec<crate::ClassSpec>) {
        self.classes.apply(specs);
        if !self.classes.has_removed() {
            return;
        }
        let calls = self.calls.values().map(|call| call.class);
        let attempts = self.attempts.values().map(|attempt| attempt.class);
        let mut used: Vec<ClassKey> = calls.chain(attempts).collect();
        used.sort_unstable();
        self.classes.drop_unused(&used);
    }

    /// Sets the number of live VMs and the rank of this one.
    ///
    /// Ranks are positions in the sorted list of live names.
    pub fn set_fleet(&mut self, now: Instant, vms: u16, rank: u16, out: &mut Vec<Output>) {
        if (self.vms, self.rank) == (vms, rank) {
            return;
        }
        self.vms = vms.max(1);
        self.rank = rank;
        if let Some(budget) = &mut self.fleet_budget {
            budget.set_vms(vms);
        }
        self.assign_long_slots();
        self.dispatch_waiting(now, out);
    }

    /// Sets this VM's name and failure domain.
    ///
    /// Targets in the same domain are preferred, since bytes between domains cost
    /// money and time.
    pub fn set_location(&mut self, vm: &VmName, domain: DomainName) {
        self.vm_hash = xxh3_64(vm.as_bytes());
        self.domain = domain;
        self.choose_subset();
    }

    pub(super) fn assign_long_slots(&mut self) {
        let declared = self
            .classes
            .iter_declared()
            .map(|(_, class)| class.spec.reserve)
            .sum::<u16>();
        let reserve = declared.max(self.short_demand.get_slots(self.vms));
        let total: u32 = self
            .targets
            .iter()
            .filter(|t| t.is_usable())
            .map(|t| u32::from(t.spec.get_slots()))
            .sum();
        let capacities: Vec<LongCapacity> = self
            .targets
            .iter()
            .map(|target| get_long_capacity(target, total, reserve, self.has_short_classes()))
            .collect();
        let mut shares = Vec::with_capacity(capacities.len());
        assign(&capacities, self.vms, self.rank, &mut shares);
        for (target, share) in self.targets.iter_mut().zip(shares) {
            target.long_share = share;
        }
    }

    pub(super) fn has_short_classes(&self) -> bool {
        self.classes
            .iter()
            .any(|(_, class)| class.spec.kind != ClassKind::Background)
    }
}

impl Target {
    /// Returns true if the declaration is of the process that this state belongs to.
    fn is_same_process(&self, spec: &crate::TargetSpec) -> bool {
        self.spec.name == spec.name
            && self.spec.addr == spec.addr
            && self.spec.incarnation == spec.incarnation
    }

    pub(super) fn update_spec(
        &mut self,
        now: Instant,
        spec: crate::TargetSpec,
        cold_plan: Option<ColdPlan>,
    ) {
        let was_usable = self.is_usable() || self.is_removed;
        self.is_removed = false;
        self.limit.set_declared(spec.slots, spec.get_slots());
        let old = std::mem::replace(&mut self.spec, spec);
        if let Some(plan) = cold_plan {
            self.update_cold(now, &old, plan);
        }
        if !was_usable && self.is_usable() {
            self.start_warming(now);
        }
    }
}

fn get_long_capacity(target: &Target, total: u32, reserve: u16, has_short: bool) -> LongCapacity {
    if !target.is_usable() {
        return LongCapacity {
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
    LongCapacity { slots, reserve }
}
