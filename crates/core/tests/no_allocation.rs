//! The steady state of a service allocates nothing.

mod common;

use common::{SHORT, make_spec};
use gentianridge_core::{Arrival, LoadReport, Output, Service};
use std::time::{Duration, Instant};

#[test]
fn steady_state() {
    let mut service = Service::new(make_spec(16, 3), 1);
    let mut now = Instant::now();
    let mut out = Vec::with_capacity(64);
    let mut running = Vec::with_capacity(256);
    let mut turn = |service: &mut Service, running: &mut Vec<_>| {
        now += Duration::from_micros(300);
        let arrival = Arrival {
            class: SHORT,
            deadline: now + Duration::from_secs(1),
            is_replayable: true,
        };
        service.arrive(now, arrival, &mut out);
        for output in out.drain(..) {
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
            service.report(now, target, Some(attempt), report, &mut out);
            service.answered(now, attempt, false, false, &mut out);
            service.finished(now, attempt, &mut out);
        }
        service.tick(now, &mut out);
    };
    for _ in 0..20_000 {
        turn(&mut service, &mut running);
    }
    let counted = allocation_counter::measure(|| {
        for _ in 0..2_000 {
            turn(&mut service, &mut running);
        }
    });
    assert_eq!(counted.count_total, 0, "{counted:?}");
}
