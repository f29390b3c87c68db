//! Case 13: the store comes back from a copy; a zone that the operator evacuates afterwards
//! goes on getting requests, since the daemons hold its last taking back for newer.

mod kit;

use kit::{Daemon, Record, Run, Store, Target, exchange, make_dir, make_ip, make_settings};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DAEMONS: u8 = 3;
/// Targets, half of them in each zone.
const TARGETS: u8 = 26;
/// Time from the first evacuation to the copy.
const BEFORE_COPY: Duration = Duration::from_secs(2);
/// Time from the copy to the taking back of the zone, and from there to the outage.
const EMPTIED: Duration = Duration::from_secs(8);
const TAKEN_BACK: Duration = Duration::from_millis(500);
/// Length of the outage.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return to the second evacuation, longer than `stable_window`.
const STABLE: Duration = Duration::from_millis(3_500);
/// `evacuate` of the settings.
const EVACUATE: Duration = Duration::from_secs(5);
/// Time for which requests are sent after the second evacuation.
const OBSERVED: Duration = Duration::from_secs(20);
const ROW: &str = "evacuate/z2";

const CONFIG: &str = r#"{"version":"00000001","base_version":"00000000","services":[
    {"name":"alpha","health_path":"/health","max_conns":220}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
    "hosts":[{"host":"shop.example","paths":[
    {"name":"r1","path_prefix":"/a/","kind":"non_idempotent","timeout":"1200ms","slo_latency":"250ms","priority":1,"service":"alpha","max_attempts":2}]}]}"#;

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
    let dir = make_dir("review-13")?;
    let store = Store::start(make_ip(250), record)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("op", "config", Some(CONFIG.as_bytes()));
    for index in 0..TARGETS {
        let zone = if index % 2 == 0 { "z1" } else { "z2" };
        let id = format!("i-{zone}-{index}");
        let work = Duration::from_millis(20);
        let target = Target::start(
            make_ip(100 + index),
            &id,
            ("alpha", zone),
            work,
            &runs,
            record,
        )?;
        let first = Duration::from_millis(1_500 * u64::from(index + 1) / u64::from(TARGETS));
        target.register(&store, first);
    }
    let seeds = [make_ip(1), make_ip(2), make_ip(3)];
    let mut daemons = Vec::new();
    for index in 1..=DAEMONS {
        let mut settings =
            make_settings(&format!("vm-{index}"), make_ip(index), store.addr, &seeds);
        for (name, value) in &mut settings {
            // The last daemon is in the zone that is evacuated.
            if *name == "zone" && index == DAEMONS {
                *value = "z2".into();
            }
        }
        daemons.push(Daemon::start(&dir, &settings)?);
    }
    for daemon in &daemons {
        if !daemon.wait_ready(Duration::from_secs(15)) {
            return Err(std::io::Error::other(format!(
                "{} is not ready",
                daemon.name
            )));
        }
    }
    thread::sleep(Duration::from_secs(8));

    let put = |text: &str| {
        store.write("op", ROW, Some(b"{}"));
        record.add(format!(
            "operator: {text} acknowledged, store version {}",
            store.get_version()
        ));
    };
    put("first evacuation of z2");
    thread::sleep(BEFORE_COPY);
    let copied = Instant::now();
    thread::sleep(EMPTIED);
    store.write("op", ROW, None);
    record.add(format!(
        "operator: z2 taken back, store version {}",
        store.get_version()
    ));
    thread::sleep(TAKEN_BACK);
    if has_trouble {
        store.leave();
        thread::sleep(AWAY);
        store.return_from_copy(copied);
        // What the operator wrote is written again.
        store.write("op", ROW, None);
        record.add(format!(
            "operator: z2 taken back again, store version {}",
            store.get_version()
        ));
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(STABLE);
    put("second evacuation of z2");
    let acknowledged = record.elapsed();

    let mut sent: Vec<(Duration, String)> = Vec::new();
    while record.elapsed() < acknowledged + OBSERVED {
        for daemon in &daemons {
            let id = format!("{:016x}", sent.len() + 1);
            let request = format!(
                "POST /a/{id} HTTP/1.1\r\nHost: shop.example\r\nGentianridge-Attempt-Id: {id}\r\n\
                 Gentianridge-Deadline-Ms: 2500\r\nContent-Length: 4\r\n\r\nbody"
            );
            sent.push((record.elapsed(), id.clone()));
            let answer = exchange(daemon.front, &request, Duration::from_millis(2_500));
            let status = answer.map_or(0, |answer| answer.status());
            record.add(format!("caller: {id} to {} answered {status}", daemon.name));
        }
        thread::sleep(Duration::from_millis(100));
    }
    drop(daemons);
    let _ = std::fs::remove_dir_all(&dir);

    let from = acknowledged + EVACUATE;
    let runs = runs.lock().unwrap();
    let late = runs
        .iter()
        .filter(|run| run.zone == "z2" && run.at > from)
        .count();
    record.add(format!(
        "EVAC: {late} requests reached a target in z2 later than {} s after its evacuation",
        EVACUATE.as_secs()
    ));
    println!(
        "{late} requests in the evacuated zone, of {} sent",
        sent.len()
    );
    Ok(late == 0)
}
