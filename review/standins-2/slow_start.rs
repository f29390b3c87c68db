//! A final fault, after which all targets are slow for some seconds.

use crate::Verdict;
use crate::bystanders;
use crate::client;
use crate::config::{self, Path as Route};
use crate::fleet::{Fleet, Terms};
use crate::http::{Outcome, call};
use crate::store::Store;
use crate::target::Target;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One kind of request of the site.
struct Kind {
    name: &'static str,
    service: &'static str,
    method: &'static str,
    path: &'static str,
    deadline_ms: u64,
    /// Pause between two requests over the whole deployment.
    pause: Duration,
}

const KINDS: [Kind; 3] = [
    Kind {
        name: "schema-las",
        service: "ruttplan",
        method: "GET",
        path: "/schema/2f",
        deadline_ms: 1_500,
        pause: Duration::from_micros(28_500),
    },
    Kind {
        name: "bokning",
        service: "bokningstjanst",
        method: "POST",
        path: "/boka/2f",
        deadline_ms: 2_000,
        pause: Duration::from_micros(55_500),
    },
    Kind {
        name: "historik",
        service: "tvattarkiv",
        method: "GET",
        path: "/historik/2f",
        deadline_ms: 4_000,
        pause: Duration::from_micros(73_000),
    },
];

const VMS: u8 = 5;
const FAULT_AT: Duration = Duration::from_secs(10);
const DOWN: Duration = Duration::from_millis(1_300);
/// Time for which the targets are slow after the machines are back, and how slow.
const SLOW_FOR: Duration = Duration::from_secs(9);
const SLOWNESS: usize = 4;
const RECOVERY: Duration = Duration::from_secs(15);
const LENGTH: Duration = Duration::from_secs(50);

/// A request with its retry, and whether it was served.
struct Request {
    kind: usize,
    at: Instant,
    is_served: bool,
    outcomes: Vec<Outcome>,
}

type Log = Arc<Mutex<Vec<Request>>>;

pub fn play(root: &Path, dir: &Path, has_trouble: bool, lines: &mut Vec<String>) -> Verdict {
    // TROUBLE=kill plays the final fault alone.
    let is_slow = has_trouble && std::env::var("TROUBLE").map_or(true, |value| value != "kill");
    let store = Store::start();
    let start = |name: &str, count: usize, work: u64| -> Vec<Arc<Target>> {
        (0..count)
            .map(|i| Target::start(&format!("i-{name}{i}"), 4, Duration::from_millis(work)))
            .collect()
    };
    let targets = [
        start("rutt", 10, 190),
        start("bok", 7, 250),
        start("arkiv", 10, 470),
    ];
    let routes = [
        Route {
            name: "r-schema",
            prefix: "/schema/",
            kind: "idempotent",
            service: KINDS[0].service,
            timeout: "1500ms",
            objective: "600ms",
        },
        Route {
            name: "r-boka",
            prefix: "/boka/",
            kind: "non_idempotent",
            service: KINDS[1].service,
            timeout: "2000ms",
            objective: "800ms",
        },
        Route {
            name: "r-historik",
            prefix: "/historik/",
            kind: "idempotent",
            service: KINDS[2].service,
            timeout: "4000ms",
            objective: "1500ms",
        },
    ];
    let services: Vec<&str> = KINDS.iter().map(|kind| kind.service).collect();
    store.put("op", "config", &config::write(1, &services, "", &routes));
    let register = |seq: u64| {
        for (kind, targets) in KINDS.iter().zip(&targets) {
            bystanders::register(&store, kind.service, targets, seq);
        }
    };
    register(1);
    let mut fleet = Fleet::start(root, dir, VMS, store.addr, Terms::small());
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the daemons are not ready".into());
    }
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let log = Log::default();
    let fronts: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.front).collect();
    let senders: Vec<_> = (0..KINDS.len())
        .map(|kind| start_sender(kind, fronts.clone(), log.clone(), stop.clone()))
        .collect();
    let set_slowness = |factor: usize| {
        for target in targets.iter().flatten() {
            target.set_slowness(factor);
        }
    };
    let mut seq = 1;
    let mut back: Option<Instant> = None;
    let mut is_over = false;
    while started.elapsed() < LENGTH {
        let now = started.elapsed().as_secs_f64();
        if back.is_none() && started.elapsed() >= FAULT_AT {
            if has_trouble {
                fleet.kill_all(DOWN);
                lines.push(format!(
                    "{now:.2} s: all daemons were killed, and started again"
                ));
            }
            if is_slow {
                set_slowness(SLOWNESS);
                lines.push(format!("from then on work takes {SLOWNESS} times as long"));
            }
            back = Some(Instant::now());
        }
        if !is_over && back.is_some_and(|at| at.elapsed() >= SLOW_FOR) {
            is_over = true;
            set_slowness(1);
            lines.push(format!("{now:.2} s: work takes as long as usual"));
        }
        if started.elapsed().as_millis() as u64 / 1_500 > seq {
            seq += 1;
            register(seq);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    let Some(back) = back else {
        return Verdict::NotRun("no final fault".into());
    };
    judge(&log.lock().unwrap(), started, back, lines)
}

fn judge(log: &[Request], started: Instant, back: Instant, lines: &mut Vec<String>) -> Verdict {
    for second in 0..LENGTH.as_secs() {
        let from = started + Duration::from_secs(second);
        let is_in = |r: &&Request| r.at >= from && r.at < from + Duration::from_secs(1);
        let sent: Vec<&Request> = log.iter().filter(is_in).collect();
        let served: Vec<String> = KINDS
            .iter()
            .enumerate()
            .map(|(index, kind)| {
                let of_kind = || sent.iter().filter(|r| r.kind == index);
                let served = of_kind().filter(|r| r.is_served).count();
                format!("{} {served} of {}", kind.name, of_kind().count())
            })
            .collect();
        lines.push(format!("{second} s: served {}", served.join(", ")));
    }
    let fault = started + FAULT_AT;
    let before: Vec<&Request> = log
        .iter()
        .filter(|r| r.at + RECOVERY / 15 < fault)
        .collect();
    let after: Vec<&Request> = log.iter().filter(|r| r.at >= back + RECOVERY).collect();
    let count = |requests: &[&Request]| requests.iter().filter(|r| r.is_served).count();
    for status in [200, 429, 502, 503, 504] {
        let is_last = |r: &&&Request| matches!(r.outcomes.last(), Some(Outcome::Answer(s, _)) if *s == status);
        let found = after.iter().filter(is_last).count();
        lines.push(format!(
            "after the recovery time: {found} ended with {status}"
        ));
    }
    lines.push(format!(
        "before the fault {} of {} requests were served; of those sent later than {} s after the machines were back, {} of {}; a quarter is the least",
        count(&before),
        before.len(),
        RECOVERY.as_secs(),
        count(&after),
        after.len()
    ));
    if count(&before) * 4 < before.len() || after.is_empty() {
        return Verdict::NotRun("too little was served before the fault".into());
    }
    if count(&after) * 4 < after.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends the requests of one kind, to one VM after the other.
fn start_sender(
    kind: usize,
    fronts: Vec<SocketAddr>,
    log: Log,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let started = Instant::now();
        let mut number = 0;
        let mut threads = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let due = started + KINDS[kind].pause * number;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let (fronts, log, number_now) = (fronts.clone(), log.clone(), number as usize);
            threads.push(std::thread::spawn(move || {
                let request = send(kind, &fronts, number_now);
                log.lock().unwrap().push(request);
            }));
            number += 1;
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

/// Sends a request; one that was refused, or an idempotent one that failed, is sent once more
/// to another VM, as the clients of the site do.
fn send(kind: usize, fronts: &[SocketAddr], number: usize) -> Request {
    let spec = &KINDS[kind];
    let at = Instant::now();
    let deadline = at + Duration::from_millis(spec.deadline_ms);
    let mut outcomes = Vec::new();
    for attempt in 0..2 {
        let left = deadline.saturating_duration_since(Instant::now());
        let front = fronts[(number + attempt) % fronts.len()];
        let id = format!("{}-{number:05}-{attempt}", spec.name);
        let left_ms = left.as_millis() as u64;
        let head = client::head(spec.method, spec.path, &id, left_ms, 0);
        let (outcome, _) = call(front, &head, b"", left + Duration::from_millis(1));
        let is_refused = matches!(outcome, Outcome::Answer(429 | 503, _));
        let is_served = matches!(outcome, Outcome::Answer(200, _));
        let may_retry =
            is_refused || spec.method == "GET" || matches!(outcome, Outcome::NoConnection(_));
        outcomes.push(outcome);
        if is_served || !may_retry {
            break;
        }
        // A refusal states a pause of up to a third of the time that is left.
        let left = deadline.saturating_duration_since(Instant::now());
        std::thread::sleep(left / 4);
    }
    let is_served = matches!(outcomes.last(), Some(Outcome::Answer(200, _)));
    Request {
        kind,
        at,
        is_served,
        outcomes,
    }
}
