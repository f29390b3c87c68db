//! Time of one decision.

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

/// A service whose slots are taken and whose queue holds `waiting` calls.
struct Busy {
    service: Service,
    now: Instant,
    running: Vec<(gentianridge_core::AttemptKey, TargetKey)>,
    out: Vec<Output>,
}

impl Busy {
    fn new(targets: usize, waiting: usize) -> Self {
        let mut busy = Self {
            service: make_service(targets),
            now: Instant::now(),
            running: Vec::new(),
            out: Vec::new(),
        };
        while busy.service.count_waiting() < waiting.max(1) {
            busy.arrive();
        }
        busy
    }

    fn arrive(&mut self) {
        let arrival = Arrival {
            class: ClassKey(0),
            deadline: self.now + Duration::from_secs(3600),
            is_replayable: true,
        };
        self.service.arrive(self.now, arrival, &mut self.out);
        self.take_out();
    }

    fn take_out(&mut self) {
        for output in self.out.drain(..) {
            if let Output::Dispatch {
                attempt, target, ..
            } = output
            {
                self.running.push((attempt, target));
            }
        }
    }

    /// One answer with its report, one dispatch from the queue, one arrival.
    fn turn(&mut self) {
        self.now += Duration::from_micros(100);
        let (attempt, target) = self.running.swap_remove(0);
        let report = LoadReport {
            in_flight: 3,
            slots: Some(3),
            is_leaving: false,
            work_percent: None,
        };
        self.service
            .report(self.now, target, Some(attempt), report, &mut self.out);
        self.service
            .answered(self.now, attempt, false, false, &mut self.out);
        self.service.finished(self.now, attempt, &mut self.out);
        self.take_out();
        self.arrive();
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("turn");
    for targets in [10, 16, 64, 256] {
        let mut busy = Busy::new(targets, 1_000);
        group.bench_function(BenchmarkId::new("targets", targets), |b| {
            b.iter(|| busy.turn());
        });
    }
    for waiting in [1, 100, 1_000, 10_000] {
        let mut busy = Busy::new(16, waiting);
        group.bench_function(BenchmarkId::new("waiting", waiting), |b| {
            b.iter(|| busy.turn());
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
