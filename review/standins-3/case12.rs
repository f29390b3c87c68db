//! Case 12: three of five daemons are killed at once and start again; each of them takes the
//! survivors and itself for the whole fleet, and a tenant gets more than its quota.

mod kit;

use kit::{Daemon, Record, Run, Store, Target, exchange, make_dir, make_ip, make_settings};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DAEMONS: u8 = 5;
/// Daemons that are killed, the last ones: 0.6 of them.
const KILLED: usize = 3;
/// Time from the kill to the start of the new processes.
const DOWN: Duration = Duration::from_secs(2);
/// Time from the start of the new processes to the rush, longer than `stable_window`.
const CALM: Duration = Duration::from_secs(4);
const TARGETS: u8 = 26;
/// Quota of the tenant.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
/// `quota_window`, `quota_excess` and `quota_slack` of the settings.
const WINDOW: Duration = Duration::from_secs(5);
const EXCESS: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Length of the rush of the tenant.
const RUSH: Duration = Duration::from_secs(8);
/// Callers of the tenant at each daemon, and the time between two requests of each.
const CALLERS: usize = 5;
const PACE: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version":"00000001","base_version":"00000000","services":[
    {"name":"alpha","health_path":"/health","max_conns":220}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
    "tenants":[{"name":"t1","api_keys":["key-1"],"priority":0,"rate_per_s":40,"burst":40}],
    "hosts":[{"host":"shop.example","paths":[
    {"name":"r1","path_prefix":"/a/","kind":"non_idempotent","timeout":"1200ms","slo_latency":"250ms","priority":1,"service":"alpha","max_attempts":2,"public":false}]}]}"#;

struct Sent {
    at: Duration,
    id: String,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let code = match run(&record, has_trouble) {
        Ok(is_held) => i32::from(!is_held),
        Err(error) => {
            record.add(format!("could not run: {error}"));
            2
        }
    };
    record.add(format!("exit code {code}"));
    let _ = record.write(&Path::new(&folder).join("record.txt"));
    std::process::exit(code);
}

fn run(record: &Record, has_trouble: bool) -> std::io::Result<bool> {
    let dir = make_dir("review-12")?;
    let store = Store::start(make_ip(250), record)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("op", "config", Some(CONFIG.as_bytes()));
    for index in 0..TARGETS {
        let id = format!("i-{index}");
        let work = Duration::from_millis(10);
        let target = Target::start(
            make_ip(100 + index),
            &id,
            ("alpha", "z1"),
            work,
            &runs,
            record,
        )?;
        let first = Duration::from_millis(1_500 * u64::from(index + 1) / u64::from(TARGETS));
        target.register(&store, first);
    }
    let seeds = [make_ip(1), make_ip(2), make_ip(3)];
    let start = |index: u8, is_first: bool| {
        let mut settings =
            make_settings(&format!("vm-{index}"), make_ip(index), store.addr, &seeds);
        for (name, value) in &mut settings {
            if *name == "bootstrap" {
                *value = is_first.to_string();
            }
        }
        Daemon::start(&dir, &settings)
    };
    let mut daemons = Vec::new();
    for index in 1..=DAEMONS {
        daemons.push(start(index, true)?);
    }
    wait_ready(&daemons)?;
    thread::sleep(Duration::from_secs(8));

    if has_trouble {
        let survivors = daemons.len() - KILLED;
        daemons.truncate(survivors);
        record.add("vm-3, vm-4 and vm-5 are killed");
        thread::sleep(DOWN);
        for index in survivors as u8 + 1..=DAEMONS {
            daemons.push(start(index, false)?);
        }
        record.add("vm-3, vm-4 and vm-5 are started again");
        wait_ready(&daemons)?;
        record.add("all are ready");
    } else {
        thread::sleep(DOWN);
    }
    thread::sleep(CALM);

    record.add("the rush of the tenant begins");
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let until = Instant::now() + RUSH;
    let mut callers = Vec::new();
    for daemon in &daemons {
        for caller in 0..CALLERS {
            let (record, sent) = (record.clone(), sent.clone());
            let (name, front) = (daemon.name.clone(), daemon.front);
            callers.push(thread::spawn(move || {
                let offset = PACE.mul_f64(caller as f64 / CALLERS as f64);
                thread::sleep(offset);
                send_requests(&record, &name, front, caller, until, &sent);
            }));
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    record.add("the rush of the tenant ends");
    drop(daemons);
    let _ = std::fs::remove_dir_all(&dir);

    // Requests that were sent and arrived within a window, for every start of a window.
    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    let ran: Vec<(Duration, Duration)> = runs
        .iter()
        .filter_map(|run| Some((sent.iter().find(|sent| sent.id == run.id)?.at, run.at)))
        .collect();
    let most = sent.iter().map(|first| {
        let end = first.at + WINDOW;
        ran.iter()
            .filter(|(at, run)| *at >= first.at && *run <= end)
            .count()
    });
    let most = most.max().unwrap_or(0);
    let limit = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + SLACK;
    record.add(format!(
        "QUOTA: at most {most} requests were sent and run within {} s; the rule allows {limit:.0}",
        WINDOW.as_secs()
    ));
    println!(
        "{} sent, {} run, {most} within a window, {limit:.0} allowed",
        sent.len(),
        ran.len()
    );
    Ok(most as f64 <= limit)
}

fn wait_ready(daemons: &[Daemon]) -> std::io::Result<()> {
    for daemon in daemons {
        if !daemon.wait_ready(Duration::from_secs(15)) {
            return Err(std::io::Error::other(format!(
                "{} is not ready",
                daemon.name
            )));
        }
    }
    Ok(())
}

fn send_requests(
    record: &Record,
    name: &str,
    front: SocketAddr,
    caller: usize,
    until: Instant,
    sent: &Mutex<Vec<Sent>>,
) {
    let mut number = 0;
    while Instant::now() < until {
        let next = Instant::now() + PACE;
        number += 1;
        let id = format!("{name}-{caller}-{number}");
        let at = record.elapsed();
        sent.lock().unwrap().push(Sent { at, id: id.clone() });
        let request = format!(
            "POST /a/{id} HTTP/1.1\r\nHost: shop.example\r\nGentianridge-Attempt-Id: {id}\r\n\
             Gentianridge-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n\
             Content-Length: 4\r\n\r\nbody"
        );
        let answer = exchange(front, &request, Duration::from_millis(2_500));
        let status = answer.map_or(0, |answer| answer.status());
        record.add(format!("caller: {id} answered {status}"));
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
