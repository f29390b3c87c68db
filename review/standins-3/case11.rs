//! Case 11: the store comes back from a copy, and the operator withdraws a key as soon as it
//! is back; the daemons go on accepting the key.

mod kit;

use kit::{Daemon, Record, Run, Store, Target, exchange, make_dir, make_ip, make_settings};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DAEMONS: u8 = 3;
/// Targets of the two services together; a small deployment has 26 or 27.
const TARGETS: u8 = 26;
/// Drills, one after the other, each with a key of its own.
const DRILLS: usize = 5;
/// Time between the copy and the start of the outage.
const COPY_LEAD: Duration = Duration::from_millis(1_750);
/// Length of the outage; the copy is two seconds old when the store is back.
const AWAY: Duration = Duration::from_millis(250);
/// `revoke` of the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Time for which requests are sent after each withdrawal, and after the last one.
const OBSERVED: Duration = Duration::from_millis(7_500);
const OBSERVED_LAST: Duration = Duration::from_secs(20);

fn make_config(version: usize, withdrawn: usize) -> String {
    let keys: Vec<String> = (withdrawn..=DRILLS)
        .map(|key| format!("\"key-{key}\""))
        .collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":"{version:08x}","base_version":"00000000","services":[
        {{"name":"alpha","health_path":"/health","max_conns":220}},
        {{"name":"beta","health_path":"/health","max_conns":220}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
        "tenants":[{{"name":"t1","api_keys":[{keys}],"priority":0,"rate_per_s":0,"burst":0}}],
        "hosts":[{{"host":"shop.example","paths":[
        {{"name":"r1","path_prefix":"/a/","kind":"non_idempotent","timeout":"1200ms","slo_latency":"250ms","priority":1,"service":"alpha","max_attempts":2,"public":false}}]}}]}}"#
    )
}

struct Sent {
    at: Duration,
    id: String,
    key: usize,
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
    let dir = make_dir("review-11")?;
    let store = Store::start(make_ip(250), record)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("op", "config", Some(make_config(1, 0).as_bytes()));
    for index in 0..TARGETS {
        let service = if index % 2 == 0 { "alpha" } else { "beta" };
        let id = format!("i-{service}-{index}");
        let work = Duration::from_millis(20);
        let target = Target::start(
            make_ip(100 + index),
            &id,
            (service, "z1"),
            work,
            &runs,
            record,
        )?;
        // Heartbeats are spread evenly.
        let first = Duration::from_millis(1_500 * u64::from(index + 1) / u64::from(TARGETS));
        target.register(&store, first);
    }
    let seeds = [make_ip(1), make_ip(2), make_ip(3)];
    let mut daemons = Vec::new();
    for index in 1..=DAEMONS {
        let settings = make_settings(&format!("vm-{index}"), make_ip(index), store.addr, &seeds);
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

    let fronts: Vec<(String, SocketAddr)> = daemons
        .iter()
        .map(|daemon| (daemon.name.clone(), daemon.front))
        .collect();
    let mut sent = Vec::new();
    let mut withdrawals = Vec::new();
    for key in 0..DRILLS {
        if has_trouble {
            let copied = Instant::now();
            thread::sleep(COPY_LEAD);
            store.leave();
            thread::sleep(AWAY);
            store.return_from_copy(copied);
        } else {
            thread::sleep(COPY_LEAD + AWAY);
        }
        let changed = make_config(key + 2, key + 1);
        while !store.write("op", "config", Some(changed.as_bytes())) {
            thread::sleep(Duration::from_millis(5));
        }
        let acknowledged = record.elapsed();
        withdrawals.push(acknowledged);
        record.add(format!(
            "operator: configuration {} without key-{key} acknowledged, store version {}",
            key + 2,
            store.get_version()
        ));
        let is_last = key + 1 == DRILLS;
        let observed = if is_last { OBSERVED_LAST } else { OBSERVED };
        send_requests(record, &fronts, key, acknowledged + observed, &mut sent);
    }
    drop(daemons);
    let _ = std::fs::remove_dir_all(&dir);

    let mut is_held = true;
    for (key, acknowledged) in withdrawals.iter().enumerate() {
        let runs = runs.lock().unwrap();
        let late = sent
            .iter()
            .filter(|sent| sent.key == key && sent.at > *acknowledged + REVOKE);
        let ran = late
            .filter(|sent| runs.iter().any(|run| run.id == sent.id))
            .count();
        is_held &= ran == 0;
        record.add(format!(
            "CONFIG: {ran} requests with key-{key} ran that were sent later than {} s after its withdrawal",
            REVOKE.as_secs()
        ));
        println!("key-{key}: {ran} requests ran too late");
    }
    Ok(is_held)
}

/// Sends a request with the withdrawn key and one with a key in force to each daemon, again
/// and again.
fn send_requests(
    record: &Record,
    fronts: &[(String, SocketAddr)],
    key: usize,
    until: Duration,
    sent: &mut Vec<Sent>,
) {
    while record.elapsed() < until {
        for (name, front) in fronts {
            for key in [key, DRILLS] {
                let number = sent.len() + 1;
                let id = format!("{number:016x}");
                let at = record.elapsed();
                let request = format!(
                    "POST /a/{number} HTTP/1.1\r\nHost: shop.example\r\nGentianridge-Attempt-Id: {id}\r\n\
                     Gentianridge-Deadline-Ms: 2500\r\nAuthorization: Bearer key-{key}\r\n\
                     Content-Length: 4\r\n\r\nbody"
                );
                let answer = exchange(*front, &request, Duration::from_millis(2_500));
                let status = answer.map_or(0, |answer| answer.status());
                record.add(format!(
                    "caller: {id} with key-{key} to {name} answered {status}"
                ));
                sent.push(Sent { at, id, key });
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
}
