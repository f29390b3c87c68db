//! One of the six targets of a service answers with a body in small pieces without end.

use crate::Verdict;
use crate::bystanders::{self, Bystanders};
use crate::client::{self, Log};
use crate::config::{self, Path as Route};
use crate::fleet::{Fleet, Terms};
use crate::http::{Outcome, call};
use crate::store::Store;
use crate::target::Target;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const SERVICE: &str = "estrazione";
const DEADLINE_MS: u64 = 5_000;
/// Requests that come together, and the pause between two groups: ten a second, about the usual
/// traffic of the deployment.
const GROUP: usize = 6;
const PAUSE: Duration = Duration::from_millis(600);
const LENGTH: Duration = Duration::from_secs(40);

pub fn play(root: &Path, dir: &Path, has_trouble: bool, lines: &mut Vec<String>) -> Verdict {
    let store = Store::start();
    let lookups = bystanders::start_targets();
    let draws: Vec<Arc<Target>> = (0..6)
        .map(|i| Target::start(&format!("i-draw{i}"), 3, Duration::from_millis(250)))
        .collect();
    let routes = [
        Route {
            name: "r-look",
            prefix: "/look/",
            kind: "idempotent",
            service: bystanders::SERVICE,
            timeout: "1500ms",
            objective: "600ms",
        },
        Route {
            name: "r-draw",
            prefix: "/draw/",
            kind: "non_idempotent",
            service: SERVICE,
            timeout: "5000ms",
            objective: "800ms",
        },
    ];
    let services = [bystanders::SERVICE, SERVICE];
    store.put("op", "config", &config::write(1, &services, "", &routes));
    let register = |seq: u64| {
        bystanders::register(&store, bystanders::SERVICE, &lookups, seq);
        bystanders::register(&store, SERVICE, &draws, seq);
    };
    register(1);
    let mut fleet = Fleet::start(root, dir, 3, store.addr, Terms::small());
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemons are not ready".into());
    }
    if has_trouble {
        draws[0].set_endless();
    }
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = Bystanders::start(fleet.vms[0].front);
    let confirmations = Log::default();
    let sender = {
        let (front, log, stop) = (fleet.vms[0].front, confirmations.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut number = 0;
            let mut threads = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                for _ in 0..GROUP {
                    number += 1;
                    let log = log.clone();
                    threads.push(std::thread::spawn(move || {
                        let id = format!("draw-{number:05}");
                        let head = client::head("POST", "/draw/7", &id, DEADLINE_MS, 0);
                        let at = Instant::now();
                        let limit = Duration::from_millis(DEADLINE_MS);
                        let (outcome, took) = call(front, &head, b"", limit);
                        let vm = 0;
                        log.lock().unwrap().push(client::Sent {
                            id,
                            at,
                            took,
                            vm,
                            outcome,
                        });
                    }));
                }
                std::thread::sleep(PAUSE);
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    let mut most = 0;
    let mut seq = 1;
    let mut last_report = 0;
    while started.elapsed() < LENGTH {
        most = most.max(fleet.supervise(started));
        if started.elapsed().as_millis() as u64 / 1_500 > seq {
            seq += 1;
            register(seq);
        }
        let second = started.elapsed().as_secs();
        if second > last_report {
            last_report = second;
            let used = crate::fleet::resident_mb(fleet.vms[0].child.id());
            lines.push(format!("{second} s: {} holds {used} MB", fleet.vms[0].name));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    let lost = callers.judge(&lookups, started, lines);
    let _ = sender.join();
    let sent = confirmations.lock().unwrap();
    let answered = sent
        .iter()
        .filter(|s| matches!(s.outcome, Outcome::Answer(200, _)));
    let endless: usize = draws.iter().map(|t| t.endless.load(Ordering::SeqCst)).sum();
    lines.push(format!(
        "confirmations: {} sent, {} answered 200, {endless} answered without end by a target",
        sent.len(),
        answered.count()
    ));
    lines.push(format!(
        "largest memory of a process: {most} MB of {} MB",
        fleet.terms.memory_mb
    ));
    lines.extend(fleet.vms.iter().flat_map(|vm| vm.ends.clone()));
    lines.push(format!(
        "{lost} kept connections ended without an answer; the rule allows {}",
        bystanders::ALLOWED
    ));
    if lost > bystanders::ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
