//! Benchmarks of the decisions that a service takes for one call.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use gentianridge_core::{
    Arrival, ClassKey, ClassKind, ClassSpec, LoadReport, MethodSet, Output, RouteMatch, Service,
    ServiceSpec, TargetKey, TargetSpec,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn make_service(targets: usize) -> Service {
    let route = RouteMatch {
        methods: MethodSet::default(),
        prefix: "/".into(),
    };
    let spec = ServiceSpec {
        name: "bench".into(),
        route: route.clone(),
        classes: vec![ClassSpec {
            name: "short".into(),
            route,
            kind: ClassKind::Interactive,
            deadline: Duration::from_secs(3600),
            reserve: 0,
            queue: u16::MAX,
            objective: None,
            priority: 0,
            max_attempts: ClassSpec::DEFAULT_MAX_ATTEMPTS,
        }],
        targets: (0..targets)
            .map(|index| TargetSpec {
                name: format!("t{index}").into(),
                addr: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
                domain: "d".into(),
                slots: Some(3),
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
        silence: Duration::from_secs(2),
        probes_per_second: 1,
        probe_path: "/load".into(),
        note: None,
        repeats: None,
        sampling: None,
    };
    Service::new(spec, 1)
}

/// A service that has no free slot and holds `waiting` calls in its queue.
struct SaturatedService {
    service: Service,
    class: ClassKey,
    now: Instant,
    running: Vec<(gentianridge_core::AttemptKey, TargetKey)>,
    outputs: Vec<Output>,
}

impl SaturatedService {
    fn new(targets: usize, waiting: usize) -> Self {
        let service = make_service(targets);
        let class = service.get_class_keys().next().expect("a class");
        let mut saturated = Self {
            class,
            service,
            now: Instant::now(),
            running: Vec::new(),
            outputs: Vec::new(),
        };
        while saturated.service.count_waiting() < waiting.max(1) {
            saturated.arrive();
        }
        saturated
    }

    fn arrive(&mut self) {
        let arrival = Arrival {
            class: self.class,
            kind: ClassKind::Interactive,
            deadline: self.now + Duration::from_secs(3600),
            time_left: None,
            is_replayable: true,
            workspace: None,
        };
        self.service.arrive(self.now, arrival, &mut self.outputs);
        self.collect_outputs();
    }

    fn collect_outputs(&mut self) {
        for output in self.outputs.drain(..) {
            if let Output::Dispatch {
                attempt, target, ..
            } = output
            {
                self.running.push((attempt, target));
            }
        }
    }

    /// Handles one answer with its load report, the dispatch of a queued call and one arrival.
    fn run_cycle(&mut self) {
        self.now += Duration::from_micros(100);
        let (attempt, target) = self.running.swap_remove(0);
        let report = LoadReport {
            in_flight: 3,
            slots: Some(3),
            is_leaving: false,
            work_percent: None,
        };
        self.service
            .report(self.now, target, Some(attempt), report, &mut self.outputs);
        self.service
            .answered(self.now, attempt, false, false, &mut self.outputs);
        self.service.finished(self.now, attempt, &mut self.outputs);
        self.collect_outputs();
        self.arrive();
    }
}

fn bench_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("turn");
    for targets in [10, 16, 64, 256] {
        let mut saturated = SaturatedService::new(targets, 1_000);
        group.bench_function(BenchmarkId::new("targets", targets), |b| {
            b.iter(|| saturated.run_cycle());
        });
    }
    for waiting in [1, 100, 1_000, 10_000] {
        let mut saturated = SaturatedService::new(16, waiting);
        group.bench_function(BenchmarkId::new("waiting", waiting), |b| {
            b.iter(|| saturated.run_cycle());
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
