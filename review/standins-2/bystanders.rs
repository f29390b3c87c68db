//! Callers of a service whose targets are sound, on kept connections to one VM.

use crate::client::{self, Log, Plan};
use crate::http::Outcome;
use crate::store::Store;
use crate::target::Target;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "ruttplan";
/// Connections without an answer that the rule allows.
pub const ALLOWED: usize = 3;
const CALLERS: usize = 8;
/// Lost requests that have a line of their own in the record.
const MOST_LINES: usize = 20;

/// Starts the targets of the service.
pub fn start_targets() -> Vec<Arc<Target>> {
    (0..6)
        .map(|i| Target::start(&format!("i-look{i}"), 4, Duration::from_millis(190)))
        .collect()
}

/// Writes the entries of targets, as they do at every heartbeat.
pub fn register(store: &Store, service: &str, targets: &[Arc<Target>], seq: u64) {
    for (index, target) in targets.iter().enumerate() {
        let zone = format!("zone{}", index % 3);
        let entry = target.entry(service, &zone, "0ms", seq, 1_788_000_000_000);
        store.put("servers", &target.id, &entry);
    }
}

/// The callers and what they have sent.
pub struct Bystanders {
    log: Log,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Bystanders {
    pub fn start(front: SocketAddr) -> Self {
        let (log, stop) = (Log::default(), Arc::new(AtomicBool::new(false)));
        let threads = (0..CALLERS)
            .map(|index| {
                let plan = Plan {
                    name: format!("look{index}"),
                    vm: 0,
                    front,
                    method: "GET",
                    path: "/look/2f",
                    deadline_ms: 1_500,
                    pause: Duration::from_millis(150),
                };
                client::run(plan, log.clone(), stop.clone())
            })
            .collect();
        Self { log, stop, threads }
    }

    /// Ends the callers; returns the number of requests that a target ran and whose kept
    /// connection ended without an answer.
    pub fn judge(
        self,
        targets: &[Arc<Target>],
        started: Instant,
        lines: &mut Vec<String>,
    ) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut ran: Vec<String> = Vec::new();
        for target in targets {
            ran.extend(target.runs.lock().unwrap().iter().map(|run| run.id.clone()));
        }
        let sent = self.log.lock().unwrap();
        let mut lost = 0;
        for sent in sent.iter() {
            if matches!(sent.outcome, Outcome::Broken(_)) && ran.contains(&sent.id) {
                lost += 1;
                if lost > MOST_LINES {
                    continue;
                }
                let at = sent.at.duration_since(started).as_secs_f64();
                lines.push(format!(
                    "{at:.2} s: {} was run by a sound target, its kept connection ended without an answer: {:?}",
                    sent.id, sent.outcome
                ));
            }
        }
        let is_answered = |outcome: &Outcome| matches!(outcome, Outcome::Answer(200, _));
        let answered = sent.iter().filter(|s| is_answered(&s.outcome)).count();
        lines.push(format!(
            "lookups: {} sent, {answered} answered 200, {} run",
            sent.len(),
            ran.len()
        ));
        lost
    }
}
