//! A configuration is applied at the crest, a minute after another one.

use crate::Case;
use crate::client::{End, Outcome, Request};
use crate::config::{HOST, Route, write_config};
use crate::fleet::Fleet;
use crate::target::Work;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time between the first change and the second one.
const BETWEEN_CHANGES: Duration = Duration::from_secs(64);
/// Time of the crest before the second change, and after it.
const CREST_BEFORE: Duration = Duration::from_secs(6);
const CREST_AFTER: Duration = Duration::from_secs(6);
/// Clients of each daemon; each sends its next request when the last one has ended.
const CLIENTS: usize = 24;
/// `config_apply` and the second that planned work lasts after it.
const PLANNED_MS: u64 = 3_000;
const LOSS_SLACK_MS: u64 = 200;
const TIMEOUT_MS: u64 = 2_500;

pub fn run(case: &Case) -> std::io::Result<Vec<String>> {
    let record = &case.record;
    let mut routes = vec![
        Route::new("lookup", "abbinamenti", true, 2_000),
        Route::new("archive-read", "storico", true, 5_000),
        // Organisers read the state of a draw from the service that runs it.
        Route::new("draw-state", "estrazione", true, 2_000),
        Route::new("draw-confirm", "estrazione", false, TIMEOUT_MS),
    ];
    let mut fleet = Fleet::new(&write_config(5, &routes))?;
    let work = Work {
        usual: Duration::from_millis(250),
        long_each: 33,
        long: Duration::from_millis(1_750),
    };
    fleet.add_targets("abbinamenti", 9, work, record)?;
    fleet.add_targets("estrazione", 6, work, record)?;
    fleet.add_targets("storico", 11, work, record)?;
    fleet.start_daemons(&case.root, record)?;
    std::thread::sleep(Duration::from_secs(4));
    routes[2].timeout_ms = 2_200;
    fleet.put_config(
        &write_config(7, &routes),
        "time-out of draw-state 2200 ms",
        record,
    );
    std::thread::sleep(BETWEEN_CHANGES - CREST_BEFORE);
    let outcomes = Mutex::new(Vec::new());
    let has_ended = AtomicBool::new(false);
    let mut changed_ms = u64::MAX;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS * fleet.daemons.len() {
            let daemon = client % fleet.daemons.len();
            let front = fleet.daemons[daemon].front;
            let (outcomes, has_ended) = (&outcomes, &has_ended);
            scope.spawn(move || {
                let mut count = 0;
                while !has_ended.load(Ordering::Relaxed) {
                    count += 1;
                    let request = Request {
                        id: format!("draw-{client:02}-{count:03}"),
                        method: "POST",
                        host: HOST,
                        path: format!("/draw-confirm/{client}-{count}"),
                        body: "x".repeat(1_200),
                        deadline: Duration::from_secs(5),
                        parts: 1,
                        pause: Duration::ZERO,
                    };
                    let outcome = request.send(daemon, front, record);
                    // A refused client comes back when it was told to.
                    if let End::Answered {
                        retry_after: Some(wait),
                        ..
                    } = outcome.end
                    {
                        std::thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 1.6)));
                    }
                    outcomes.lock().unwrap().push(outcome);
                }
            });
        }
        std::thread::sleep(CREST_BEFORE);
        changed_ms = record.now_ms();
        if case.has_trouble {
            routes[0].timeout_ms = 2_100;
            fleet.put_config(
                &write_config(9, &routes),
                "time-out of lookup 2100 ms",
                record,
            );
        }
        std::thread::sleep(CREST_AFTER);
        has_ended.store(true, Ordering::Relaxed);
    });
    fleet.record_errors(record);
    let outcomes = outcomes.into_inner().unwrap();
    Ok(find_lost(case, &outcomes, changed_ms, fleet.daemons.len()))
}

/// Returns the requests that were cut beside the configuration, of each daemon that cuts
/// over three times as often then as at other times.
fn find_lost(case: &Case, outcomes: &[Outcome], changed_ms: u64, daemons: usize) -> Vec<String> {
    let runs = case.record.get_runs();
    let planned = changed_ms..changed_ms.saturating_add(PLANNED_MS);
    let is_cut = |outcome: &&Outcome| {
        let has_run = runs.iter().any(|run| run.id == outcome.id);
        let used_ms = outcome.end_ms - outcome.sent_ms;
        outcome.end == End::Closed
            && (has_run || used_ms > LOSS_SLACK_MS)
            && used_ms < TIMEOUT_MS * 7 / 10
    };
    let mut broken = Vec::new();
    for daemon in 0..daemons {
        let own: Vec<&Outcome> = outcomes.iter().filter(|o| o.daemon == daemon).collect();
        let (near, far): (Vec<&Outcome>, Vec<&Outcome>) = own
            .into_iter()
            .partition(|outcome| planned.contains(&outcome.end_ms));
        let cut: Vec<&Outcome> = near.iter().copied().filter(is_cut).collect();
        let other = far.iter().copied().filter(is_cut).count();
        let rate = cut.len() as f64 / near.len().max(1) as f64;
        let other_rate = other as f64 / far.len().max(1) as f64;
        case.record.line(&format!(
            "daemon {daemon}: {} of {} cut beside the configuration, {other} of {} at other times",
            cut.len(),
            near.len(),
            far.len()
        ));
        if rate > 3.0 * other_rate {
            broken.extend(cut.iter().map(|outcome| {
                format!(
                    "LOST: {} was read whole by daemon {daemon}, sent at {} ms, closed without an answer at {} ms",
                    outcome.id, outcome.sent_ms, outcome.end_ms
                )
            }));
        }
    }
    broken
}
