//! Draws the calls of the demo.

use gentianridge_core::ClassKind;
use gentianridge_testkit::{CallPlan, DeploymentClass, DeploymentService};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// Load as a share of the capacity outside the load peak.
const BASE_SHARE: f64 = 0.25;
/// Load as a share of the capacity during the load peak.
const PEAK_SHARE: f64 = 0.6;
/// Highest rate of confirmations; the platform's store limits it.
const MAX_ONCE_PER_SECOND: f64 = 60.0;
const SEED: u64 = 7;

/// Draws the calls of all services with random gaps.
pub(crate) fn make_plan(services: &[DeploymentService], load: Duration) -> Vec<CallPlan> {
    let mut rng = Pcg32::seed_from_u64(SEED);
    let mut plan = Vec::new();
    for service in services {
        for class in &service.classes {
            draw_class_calls(&mut plan, service, class, load, &mut rng);
        }
    }
    plan.sort_by_key(|call| call.at);
    plan
}

fn draw_class_calls(
    plan: &mut Vec<CallPlan>,
    service: &DeploymentService,
    class: &DeploymentClass,
    load: Duration,
    rng: &mut Pcg32,
) {
    let mut at = 0.0;
    let length = load.as_secs_f64();
    let mut number = 0;
    while at < length {
        let rate = get_rate(service, class, at / length);
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -unit.ln() / rate;
        number += 1;
        plan.push(make_call(class, at, number, rng.next_u32()));
    }
}

fn get_rate(service: &DeploymentService, class: &DeploymentClass, progress: f64) -> f64 {
    let is_peak = (1.0 / 3.0..2.0 / 3.0).contains(&progress);
    let share = if is_peak { PEAK_SHARE } else { BASE_SHARE };
    let rate = service.get_capacity() * share * class.share;
    if class.kind == ClassKind::Once {
        rate.min(MAX_ONCE_PER_SECOND)
    } else {
        rate
    }
}

fn make_call(class: &DeploymentClass, at: f64, number: usize, word: u32) -> CallPlan {
    let is_once = class.kind == ClassKind::Once;
    CallPlan {
        at: Duration::from_secs_f64(at),
        group: class.path,
        method: class.method,
        path: format!("{}?n={number}&w={word}", class.path),
        key: is_once.then(|| format!("{}-{number}", class.name)),
        body: is_once.then(|| format!("group={number}")),
    }
}
