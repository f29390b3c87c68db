//! A service in its steady state does not allocate.

mod common;

use common::{SHORT, make_spec};
use gentianridge_core::{Arrival, ClassKind, LoadReport, Output, Service};
use std::time::{Duration, Instant};

#[test]
fn steady_state() {
    let mut service = Service::new(make_spec(16, 3), 1);
    let class = service.find_class_by_name(SHORT).expect("a class");
    let mut now = Instant::now();
    let mut outputs = Vec::with_capacity(64);
    let mut running = Vec::with_capacity(256);
    let mut run_cycle = |service: &mut Service, running: &mut Vec<_>| {
        now += Duration::from_micros(300);
        let arrival = Arrival {
            class,
            kind: ClassKind::Interactive,
            deadline: now + Duration::from_secs(1),
            time_left: None,
            is_replayable: true,
            workspace: None,
        };
        service.arrive(now, arrival, &mut outputs);
        for output in outputs.drain(..) {
            if let Output::Dispatch {
                attempt, target, ..
            } = output
            {
                running.push((attempt, target));
            }
        }
        if running.len() > 40 {
            let (attempt, target) = running.swap_remove(0);
            let report = LoadReport {
                in_flight: 2,
                slots: None,
                is_leaving: false,
                work_percent: None,
            };
            service.report(now, target, Some(attempt), report, &mut outputs);
            service.answered(now, attempt, false, false, &mut outputs);
            service.finished(now, attempt, &mut outputs);
        }
        service.tick(now, &mut outputs);
    };
    for _ in 0..20_000 {
        run_cycle(&mut service, &mut running);
    }
    let allocations = allocation_counter::measure(|| {
        for _ in 0..2_000 {
            run_cycle(&mut service, &mut running);
        }
    });
    assert_eq!(allocations.count_total, 0, "{allocations:?}");
}
