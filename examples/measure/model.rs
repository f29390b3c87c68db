//! Targets, calls and jobs of the simulation.

use crate::scenario::{LENGTH_US, Scenario};
use gentianridge_core::{
    AttemptKey, ClassKind, ClassSpec, LoadReport, MethodSet, RouteMatch, ServiceSpec, TargetSpec,
};
use gentianridge_testkit::{Deployment, ServiceTime};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of requests that wait in a target before it sheds.
const TARGET_QUEUE: usize = 197;
/// Deadline of short work.
pub(crate) const SHORT_DEADLINE: Duration = Duration::from_millis(500);
const LONG_DEADLINE: Duration = Duration::from_secs(30);
/// Service time of background work.
const LONG_TIME: Duration = Duration::from_millis(400);
/// Time without a byte after which an attempt fails.
pub(crate) const SILENCE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    Short,
    Long,
}

/// A call with its arrival time and its service time.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) at_us: u64,
    pub(crate) work: Work,
    pub(crate) service_us: u64,
    pub(crate) vm: usize,
    pub(crate) is_done: bool,
}

/// One attempt, from its dispatch until its response arrives.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) call: usize,
    pub(crate) vm: usize,
    pub(crate) target: usize,
    pub(crate) attempt: Option<AttemptKey>,
    pub(crate) is_cancelled: bool,
    /// True while the omniscient queue counts the job in `reserved_slots`.
    pub(crate) has_reserved_slot: bool,
    /// Load report that the target sent with its response.
    pub(crate) report: LoadReport,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) slots: usize,
    pub(crate) domain: usize,
    pub(crate) running: Vec<usize>,
    pub(crate) queue: VecDeque<usize>,
    pub(crate) slow_factor: u32,
    pub(crate) fails_fast: bool,
    pub(crate) is_dead: bool,
    /// Times in microseconds and requests in flight, for delayed load reports.
    pub(crate) history: VecDeque<(u64, u16)>,
}

impl Target {
    pub(crate) fn get_in_flight(&self) -> u16 {
        (self.running.len() + self.queue.len()) as u16
    }

    pub(crate) fn is_full(&self) -> bool {
        self.running.len() + self.queue.len() >= self.slots + TARGET_QUEUE
    }

    /// Records the requests in flight and drops records older than `keep_us`.
    ///
    /// The newest of the older records stays, as it is the value at the start of
    /// the period.
    pub(crate) fn record_in_flight(&mut self, now_us: u64, keep_us: u64) {
        let in_flight = self.get_in_flight();
        self.history.push_back((now_us, in_flight));
        while self.history.len() > 1 && self.history[1].0 + keep_us < now_us {
            self.history.pop_front();
        }
    }

    /// Returns the requests in flight at a past time.
    pub(crate) fn get_in_flight_at(&self, at_us: u64) -> u16 {
        self.history
            .iter()
            .rev()
            .find(|(time, _)| *time <= at_us)
            .map_or(0, |(_, in_flight)| *in_flight)
    }
}

/// Sizes of the first service of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sizes {
    pub(crate) targets: usize,
    pub(crate) slots: u16,
    pub(crate) time: ServiceTime,
    /// One-way time between failure domains in microseconds.
    pub(crate) remote_us: u64,
}

impl Sizes {
    pub(crate) const VMS: usize = 5;
    pub(crate) const DOMAINS: usize = 3;
    /// One-way time within a failure domain in microseconds.
    pub(crate) const LOCAL_US: u64 = 150;

    pub(crate) fn new(deployment: Deployment) -> Self {
        let service = &deployment.get_services()[0];
        Self {
            targets: service.targets,
            slots: service.slots,
            time: service.time,
            remote_us: match deployment {
                Deployment::SorteggioNero => 1_500,
                Deployment::RenaKarl => 1_000,
            },
        }
    }

    pub(crate) fn make_targets(&self) -> Vec<Target> {
        (0..self.targets)
            .map(|index| Target {
                slots: usize::from(self.slots),
                domain: index % Self::DOMAINS,
                running: Vec::new(),
                queue: VecDeque::new(),
                slow_factor: 1,
                fails_fast: false,
                is_dead: false,
                history: VecDeque::from([(0, 0)]),
            })
            .collect()
    }

    /// Draws the calls of a run, the same for every policy.
    pub(crate) fn make_calls(&self, scenario: Scenario, seed: u64) -> Vec<Call> {
        let mut rng = Pcg32::seed_from_u64(seed);
        let time = if scenario.has_stragglers() {
            ServiceTime::Straggling(self.time.get_mean())
        } else {
            self.time
        };
        let slots = self.targets as f64 * f64::from(self.slots);
        let short_rate = slots / time.get_mean().as_secs_f64();
        let long_rate = slots / LONG_TIME.as_secs_f64();
        let mut calls = Vec::new();
        let mut at = 0.0;
        while (at * 1e6) < LENGTH_US as f64 {
            let rate = short_rate * scenario.get_short_share((at * 1e6) as u64);
            at += draw_exponential(&mut rng) / rate;
            let service = time.draw(&mut rng);
            calls.push(make_call(at, Work::Short, service, &mut rng));
        }
        if scenario.get_long_share() > 0.0 {
            let mut at = 0.0;
            while (at * 1e6) < LENGTH_US as f64 {
                at += draw_exponential(&mut rng) / (long_rate * scenario.get_long_share());
                calls.push(make_call(at, Work::Long, LONG_TIME, &mut rng));
            }
        }
        calls.sort_by_key(|call| call.at_us);
        calls
    }

    /// Returns the specification of the service that the core is given.
    pub(crate) fn make_spec(&self, hedge_percent: u8) -> ServiceSpec {
        let route = RouteMatch {
            methods: MethodSet::default(),
            prefix: "/".into(),
        };
        let class = |name: &str, kind, deadline, reserve| ClassSpec {
            name: name.into(),
            route: route.clone(),
            kind,
            deadline,
            reserve,
            queue: 2_000,
            objective: None,
            priority: 0,
            max_attempts: ClassSpec::DEFAULT_MAX_ATTEMPTS,
        };
        ServiceSpec {
            name: "measured".into(),
            route: route.clone(),
            classes: vec![
                class(
                    "short",
                    ClassKind::Interactive,
                    SHORT_DEADLINE,
                    self.targets as u16,
                ),
                class("long", ClassKind::Background, LONG_DEADLINE, 0),
            ],
            targets: (0..self.targets)
                .map(|index| self.make_target(index))
                .collect(),
            retry_percent: 10,
            hedge_percent,
            silence: SILENCE,
            probes_per_second: 4,
            probe_path: "/load".into(),
            note: None,
            repeats: None,
            sampling: None,
        }
    }

    fn make_target(&self, index: usize) -> TargetSpec {
        TargetSpec {
            name: format!("t{index}").into(),
            addr: SocketAddr::from(([10, 0, 0, index as u8], 80)),
            domain: format!("d{}", index % Self::DOMAINS).into(),
            slots: Some(self.slots),
            connections: 200,
            weight: 100,
            drain: false,
            note: None,
            incarnation: 0,
            warm_up: None,
            paused_until: None,
            cold_until: None,
            is_emptied: false,
        }
    }
}

fn make_call(at: f64, work: Work, service: Duration, rng: &mut Pcg32) -> Call {
    Call {
        at_us: (at * 1e6) as u64,
        work,
        service_us: service.as_micros() as u64,
        vm: rng.random_range(0..Sizes::VMS),
        is_done: false,
    }
}

fn draw_exponential(rng: &mut Pcg32) -> f64 {
    let unit: f64 = rng.random_range(f64::EPSILON..1.0);
    -unit.ln()
}
