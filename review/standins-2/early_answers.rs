//! Long uploads that half of the targets reject before they are in, and read later.

use crate::Verdict;
use crate::bystanders::{self, Bystanders};
use crate::client::{self, Log};
use crate::config::{self, Path as Route};
use crate::fleet::{Fleet, Terms};
use crate::http::{Outcome, send_slowly};
use crate::store::Store;
use crate::target::{LongBody, Target};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Bytes of an upload, within the limit of 67,108,864 that the configuration sets.
const UPLOAD: usize = 60_000_000;
/// Pause between two uploads: 170 MB a second, about half of the link of a VM.
const UPLOAD_PAUSE: Duration = Duration::from_millis(350);
/// Time after which a target that has answered early reads the rest of the body.
const READ_LATER: Duration = Duration::from_secs(10);
/// Time in which a client sends one upload, in equal parts.
const UPLOAD_TIME: Duration = Duration::from_secs(2);
const LENGTH: Duration = Duration::from_secs(90);

pub fn play(root: &Path, dir: &Path, has_trouble: bool, lines: &mut Vec<String>) -> Verdict {
    let store = Store::start();
    let lookups = bystanders::start_targets();
    let scans: Vec<Arc<Target>> = (0..6)
        .map(|i| Target::start(&format!("i-scan{i}"), 4, Duration::from_millis(140)))
        .collect();
    let routes = [
        Route {
            name: "r-look",
            prefix: "/look/",
            kind: "idempotent",
            service: "ruttplan",
            timeout: "1500ms",
            objective: "600ms",
        },
        Route {
            name: "r-scan",
            prefix: "/scan/",
            kind: "upload",
            service: "scanyard",
            timeout: "3000ms",
            objective: "1200ms",
        },
    ];
    let services = ["ruttplan", "scanyard"];
    store.put("op", "config", &config::write(1, &services, "", &routes));
    let register = |seq: u64| {
        bystanders::register(&store, bystanders::SERVICE, &lookups, seq);
        bystanders::register(&store, "scanyard", &scans, seq);
    };
    register(1);
    let mut fleet = Fleet::start(root, dir, 3, store.addr, Terms::small());
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemons are not ready".into());
    }
    if has_trouble {
        for target in scans.iter().step_by(2) {
            target.set_long_body(LongBody::Reject(READ_LATER));
        }
    }
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = Bystanders::start(fleet.vms[0].front);
    let uploads = Log::default();
    let uploader = {
        let (front, uploads, stop) = (fleet.vms[0].front, uploads.clone(), stop.clone());
        std::thread::spawn(move || {
            let body = Arc::new(vec![b'x'; UPLOAD]);
            let mut number = 0;
            let mut threads = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let (uploads, body) = (uploads.clone(), body.clone());
                threads.push(std::thread::spawn(move || {
                    let id = format!("scan-{number:05}");
                    let head = client::head("POST", "/scan/7", &id, 3_000, body.len());
                    let at = Instant::now();
                    let (outcome, took) =
                        send_slowly(front, &head, &body, UPLOAD_TIME, Duration::from_secs(3));
                    let sent = client::Sent {
                        id,
                        at,
                        took,
                        vm: 0,
                        outcome,
                    };
                    uploads.lock().unwrap().push(sent);
                }));
                std::thread::sleep(UPLOAD_PAUSE);
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
    let _ = uploader.join();
    let uploads = uploads.lock().unwrap();
    for sent in uploads.iter() {
        let at = sent.at.duration_since(started).as_secs_f64();
        let text = match &sent.outcome {
            Outcome::Answer(status, _) => format!("answered {status}"),
            other => format!("{other:?}"),
        };
        lines.push(format!(
            "{at:.2} s: upload {} {text} after {} ms",
            sent.id,
            sent.took.as_millis()
        ));
    }
    let lost = callers.judge(&lookups, started, lines);
    let rejected: usize = scans
        .iter()
        .map(|t| t.rejected.load(Ordering::SeqCst))
        .sum();
    let scanned: usize = scans.iter().map(|t| t.runs.lock().unwrap().len()).sum();
    lines.push(format!(
        "uploads: {} sent, {scanned} run, {rejected} rejected early by targets",
        uploads.len()
    ));
    lines.push(format!(
        "largest memory of a process: {most} MB of {} MB",
        fleet.terms.memory_mb
    ));
    let ends: Vec<String> = fleet.vms.iter().flat_map(|vm| vm.ends.clone()).collect();
    lines.extend(ends);
    lines.push(format!(
        "{} kept connections ended without an answer; the rule allows {}",
        lost,
        bystanders::ALLOWED
    ));
    if lost > bystanders::ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
