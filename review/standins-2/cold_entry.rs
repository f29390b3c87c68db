//! An entry of another writer with a number too large, among the entries of the targets.

use crate::Verdict;
use crate::client::{self, Log, Plan};
use crate::config::{self, Path as Route};
use crate::fleet::{Fleet, Terms};
use crate::http::Outcome;
use crate::store::Store;
use crate::target::Target;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2_500);
/// Time after which the odd entry is written.
const ODD_AT: Duration = Duration::from_secs(5);
/// Time after which two targets report that they are draining.
const DRAIN_AT: Duration = Duration::from_secs(10);
/// Time for which they serve on: `drain` and a little longer.
const SERVE_ON: Duration = Duration::from_secs(8);
const LENGTH: Duration = Duration::from_secs(30);
const ODD_ENTRY: &str = "{\"service\":\"timetable\",\"addr\":\"127.0.0.1:9\",\"zone\":\"zone0\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_left\":\"9999999999999999999s\",\"seq\":1,\"born\":1788000000000}";

pub fn play(root: &Path, dir: &Path, has_trouble: bool, lines: &mut Vec<String>) -> Verdict {
    let store = Store::start();
    let targets: Vec<Arc<Target>> = (0..6)
        .map(|i| Target::start(&format!("i-7f3a9{i}"), 2, Duration::from_millis(90)))
        .collect();
    let routes = [Route {
        name: "r-look",
        prefix: "/look/",
        kind: "idempotent",
        service: "timetable",
        timeout: "2500ms",
        objective: "250ms",
    }];
    let fields = ",\"cold_start\":\"3s\",\"cold_per_s\":6.5";
    store.put(
        "op",
        "config",
        &config::write(1, &["timetable"], fields, &routes),
    );
    let born = 1_788_000_000_000;
    let register = |seq: u64, is_left: bool| {
        for (index, target) in targets.iter().enumerate() {
            if index < 2 && is_left {
                continue;
            }
            let zone = format!("zone{}", index % 3);
            store.put(
                "servers",
                &target.id,
                &target.entry("timetable", &zone, "0ms", seq, born),
            );
        }
    };
    register(1, false);
    let mut terms = Terms::small();
    terms.bounds.extend([
        ("bounds.evacuate", "5000ms"),
        ("bounds.cold_excess", "1.5"),
        ("bounds.cold_slack", "8"),
    ]);
    for (name, value) in &mut terms.bounds {
        if *name == "bounds.drain" || *name == "bounds.config_apply" {
            *value = "2500ms";
        }
    }
    let mut fleet = Fleet::start(root, dir, 5, store.addr, terms);
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemons are not ready".into());
    }
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let log = Log::default();
    let mut clients = Vec::new();
    for index in 0..10 {
        let vm = index % fleet.vms.len();
        let plan = Plan {
            name: format!("look{index}"),
            vm,
            front: fleet.vms[vm].front,
            method: "GET",
            path: "/look/2f",
            deadline_ms: 2_500,
            pause: Duration::from_millis(400),
        };
        clients.push(client::run(plan, log.clone(), stop.clone()));
    }
    let mut seq = 1;
    let (mut odd, mut drained, mut left) = (false, None, false);
    while started.elapsed() < LENGTH {
        fleet.supervise(started);
        if !odd && started.elapsed() >= ODD_AT {
            odd = true;
            if has_trouble {
                store.put("servers", "i-90d2e6b4", ODD_ENTRY);
                lines.push(format!(
                    "{:.2} s: another writer leaves the entry i-90d2e6b4: {ODD_ENTRY}",
                    ODD_AT.as_secs_f64()
                ));
            }
        }
        if drained.is_none() && started.elapsed() >= DRAIN_AT {
            targets[0].drain();
            targets[1].drain();
            seq += 1;
            register(seq, false);
            drained = Some(Instant::now());
            lines.push(format!(
                "{:.2} s: the store has accepted that {} and {} are draining",
                started.elapsed().as_secs_f64(),
                targets[0].id,
                targets[1].id
            ));
        }
        if !left && drained.is_some_and(|at| at.elapsed() >= SERVE_ON) {
            left = true;
            for target in &targets[..2] {
                store.remove("servers", &target.id);
                target.exit();
            }
            lines.push(format!(
                "{:.2} s: they have left",
                started.elapsed().as_secs_f64()
            ));
        }
        if started.elapsed().as_millis() as u64 / 1_500 > seq {
            seq += 1;
            register(seq, left);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let Some(drained) = drained else {
        return Verdict::NotRun("no target drained".into());
    };
    let sent = log.lock().unwrap();
    let mut late = 0;
    for target in &targets[..2] {
        for run in target.runs.lock().unwrap().iter() {
            let after = run.at.saturating_duration_since(drained);
            if after <= DRAIN {
                continue;
            }
            late += 1;
            if late <= 20 {
                let by = sent.iter().find(|s| s.id == run.id);
                let by = by.map_or("?".into(), |s| {
                    format!(
                        "{} sent at {:.2} s",
                        fleet.vms[s.vm].name,
                        s.at.duration_since(started).as_secs_f64()
                    )
                });
                lines.push(format!(
                    "{:.2} s: {} reached {} {} ms after its draining was acknowledged; by {by}",
                    run.at.duration_since(started).as_secs_f64(),
                    run.id,
                    target.id,
                    after.as_millis()
                ));
            }
        }
    }
    let answered = sent
        .iter()
        .filter(|s| matches!(s.outcome, Outcome::Answer(200, _)))
        .count();
    lines.push(format!(
        "{} requests sent, {answered} answered 200",
        sent.len()
    ));
    let ends: Vec<String> = fleet.vms.iter().flat_map(|vm| vm.ends.clone()).collect();
    lines.extend(ends);
    lines.extend(fleet.find_logs("panicked", 5));
    lines.extend(fleet.find_logs("starting it again", 5));
    lines.push(format!("{late} requests reached a target later than {} ms after the acknowledgement of its draining", DRAIN.as_millis()));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
