//! Measures what a daemon costs per target, call, peer and event.
//! docs/CAPACITY.md is calculated from these figures.
//!
//! `cargo run --release --example capacity` builds the core with 840 targets
//! in 54 services, and the membership of fleets of 5, 50 and 500 VMs.

use gentianridge_api::TimelineAnswer;
use gentianridge_cli::merge_timelines;
use gentianridge_config::parse_fleet;
use gentianridge_core::{
    Arrival, ClassKey, ClassKind, Event, EventKind, EventRing, Heartbeat, HybridClock, LoadReport,
    Membership, Output, PeerView, Service, WorkspaceSpec, WorkspaceTable, is_probe_owner,
};
use gentianridge_wire::PeerMessage;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

const SERVICES: usize = 54;
const TARGETS: usize = 840;
const FLEETS: [usize; 3] = [5, 50, 500];
const WORKSPACES: [usize; 3] = [72, 1_000, 10_000];
const KEYS_PER_WORKSPACE: usize = 2;
const EVENTS: usize = 8_192;
const ITERATIONS: u32 = 200_000;

fn main() {
    measure_file(&write_file(3 * SERVICES, 3 * TARGETS));
    let text = write_file(SERVICES, TARGETS);
    measure_file(&text);
    measure_connections();
    measure_state(&text);
    measure_decision(&text);
    for vms in FLEETS {
        measure_fleet(vms);
    }
    measure_events();
    for workspaces in WORKSPACES {
        measure_workspaces(workspaces);
    }
}

fn write_file(services: usize, targets: usize) -> String {
    let mut text = String::from("[fleet]\nmax_vms = 60\n");
    for service in 0..services {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[service s{service}]\npath = /s{service}\n\n[class s{service}.short]\npath = /s{service}\n\
             kind = interactive\ndeadline = 500ms\nreserve = 8\n"
        );
    }
    for target in 0..targets {
        let service = target % services;
        let _ = write!(
            text,
            "\n[target s{service}.t{target}]\naddress = 10.0.{}.{}:80\ndomain = d{}\nslots = 4\n",
            target / 250,
            target % 250,
            target % 5
        );
    }
    text
}

/// Prints what the keys of workspaces take, and how long the lookup of one lasts.
fn measure_workspaces(count: usize) {
    let make_key = |index: usize| format!("{:020x}", index * 7_919);
    let specs: Vec<WorkspaceSpec> = (0..count)
        .map(|index| WorkspaceSpec {
            name: format!("workspace{index}").into(),
            api_keys: (0..KEYS_PER_WORKSPACE)
                .map(|key| make_key(index * KEYS_PER_WORKSPACE + key).into())
                .collect(),
            priority: Some(0),
            limit: None,
        })
        .collect();
    let memory = allocation_counter::measure(|| {
        std::hint::black_box(WorkspaceTable::new(specs.clone()));
    });
    let started = Instant::now();
    let table = WorkspaceTable::new(specs);
    let built = started.elapsed();
    let keys: Vec<String> = (0..count).map(make_key).collect();
    let time_lookups = |prefix: &str| {
        let keys: Vec<String> = keys.iter().map(|key| format!("{prefix}{key}")).collect();
        let started = Instant::now();
        for index in 0..ITERATIONS as usize {
            std::hint::black_box(table.find_by_key(&keys[index % count]));
        }
        started.elapsed() / ITERATIONS
    };
    let (held, unknown) = (time_lookups(""), time_lookups("x"));
    println!(
        "{count} workspaces with {KEYS_PER_WORKSPACE} keys each: {} KB, built in {built:?}, a lookup \
         {held:?}, of an unknown key {unknown:?}",
        memory.bytes_max / 1_024
    );
}

fn measure_file(text: &str) {
    let started = Instant::now();
    let rounds = 20;
    for _ in 0..rounds {
        parse_fleet(text).expect("the file is valid");
    }
    let parse_time = started.elapsed() / rounds;
    println!(
        "file: {} bytes, read and checked in {parse_time:?}",
        text.len()
    );
}

fn measure_state(text: &str) {
    let fleet = parse_fleet(text).expect("the file is valid");
    let services_memory = allocation_counter::measure(|| {
        let services: Vec<Service> = fleet
            .services
            .iter()
            .map(|s| Service::new(s.clone(), 1))
            .collect();
        std::mem::forget(services);
    });
    println!(
        "state: {} bytes for {TARGETS} targets in {SERVICES} services, {} a target",
        services_memory.bytes_current,
        services_memory.bytes_current / TARGETS as i64
    );
    let spec = fleet.services[0].clone();
    let calls_memory = allocation_counter::measure(|| {
        let mut service = Service::new(spec, 1);
        let (class, kind) = get_first_class(&service);
        let now = Instant::now();
        let mut out = Vec::new();
        for _ in 0..256 {
            let arrival = Arrival {
                class,
                kind,
                deadline: now + Duration::from_secs(60),
                time_left: None,
                is_replayable: true,
                workspace: None,
            };
            service.arrive(now, arrival, &mut out);
            out.clear();
        }
        std::mem::forget(service);
    });
    println!(
        "state: {} bytes for a service with 256 calls waiting or running",
        calls_memory.bytes_current
    );
}

/// Measures the memory of the HTTP client for one target without connections.
fn measure_connections() {
    let clients = 100;
    let clients_memory = allocation_counter::measure(|| {
        for _ in 0..clients {
            let client = reqwest::Client::builder()
                .no_proxy()
                .http1_only()
                .build()
                .expect("the client is built");
            std::mem::forget(client);
        }
    });
    println!(
        "connections: {} bytes a target before the first connection",
        clients_memory.bytes_current / clients
    );
}

fn get_first_class(service: &Service) -> (ClassKey, ClassKind) {
    let key = service.get_class_keys().next().expect("a class");
    let class = service.get_class(key).expect("a declared class");
    (key, class.kind)
}

fn measure_decision(text: &str) {
    let fleet = parse_fleet(text).expect("the file is valid");
    let mut service = Service::new(fleet.services[0].clone(), 1);
    let (class, kind) = get_first_class(&service);
    let mut now = Instant::now();
    let mut out = Vec::new();
    let mut running = std::collections::VecDeque::new();
    let started = Instant::now();
    for _ in 0..ITERATIONS {
        now += Duration::from_micros(100);
        let arrival = Arrival {
            class,
            kind,
            deadline: now + Duration::from_secs(1),
            time_left: None,
            is_replayable: true,
            workspace: None,
        };
        service.arrive(now, arrival, &mut out);
        for output in out.drain(..) {
            if let Output::Dispatch {
                attempt, target, ..
            } = output
            {
                running.push_back((attempt, target));
            }
        }
        if running.len() > 40
            && let Some((attempt, target)) = running.pop_front()
        {
            let report = LoadReport {
                in_flight: 3,
                slots: None,
                is_leaving: false,
                work_percent: None,
            };
            service.report(now, target, Some(attempt), report, &mut out);
            service.answered(now, attempt, false, false, &mut out);
            service.finished(now, attempt, &mut out);
        }
    }
    let targets = fleet.services[0].targets.len();
    println!(
        "decision: {:?} a call at {targets} targets, arrival to end",
        started.elapsed() / ITERATIONS
    );
}

fn make_peer(number: usize, seq: u64) -> PeerView {
    let addr = SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8082));
    PeerView {
        vm: format!("vm{number:04}").into(),
        incarnation: 1_700_000_000_000,
        seq,
        addr,
        operator_addr: Some(addr),
        is_leaving: false,
        revision: 400,
        domain: "d1".into(),
    }
}

fn measure_fleet(vms: usize) {
    let now = Instant::now();
    let mut membership = Membership::new("vm0000".into());
    let state = allocation_counter::measure(|| {
        for number in 1..vms {
            membership.record_heartbeat(now, make_peer(number, 1));
        }
    });
    let peers_described = if vms > 5 { 4 } else { 0 };
    let heartbeat = PeerMessage::Heartbeat(Heartbeat {
        fleet: "fleet".into(),
        me: make_peer(1, 9),
        at: HybridClock::new().tick(SystemTime::now()),
        crashes: Vec::new(),
        notices: Vec::new(),
        peers: (2..2 + peers_described)
            .map(|number| make_peer(number, 9))
            .collect(),
    });
    let bytes = heartbeat.encode().len() + 4;
    let rounds: u32 = 2_000;
    let started = Instant::now();
    for seq in 0..u64::from(rounds) {
        let message = PeerMessage::decode(&heartbeat.encode()).expect("the message is valid");
        if let PeerMessage::Heartbeat(heartbeat) = message {
            let mut me = heartbeat.me;
            me.seq = seq + 10;
            membership.record_heartbeat(now, me);
        }
        membership.tick(now);
    }
    let time_per_message = started.elapsed() / rounds;
    let started = Instant::now();
    let live = membership.get_live(now);
    let owned = (0..TARGETS)
        .filter(|target| is_probe_owner(&"vm0000".into(), &live, "s", &format!("t{target}")))
        .count();
    let owner_time = started.elapsed();
    let peers_per_round = 4.min(vms - 1) as f64;
    println!(
        "fleet of {vms}: {} bytes of state; heartbeat {bytes} bytes, {:.0} bytes/s sent; {time_per_message:?} to encode, decode, \
         apply and tick; owners of {TARGETS} targets in {owner_time:?} ({owned} owned)",
        state.bytes_current,
        bytes as f64 * peers_per_round * 4.0
    );
}

fn make_event(clock: &mut HybridClock, vm: &str) -> Event {
    Event {
        at: clock.tick(SystemTime::now()),
        vm: vm.into(),
        kind: EventKind::TargetEjected {
            service: "recipient".into(),
            target: "recipient-1".into(),
            cause: "consecutive failures".into(),
        },
    }
}

fn measure_events() {
    let mut clock = HybridClock::new();
    let mut ring = EventRing::new(EVENTS);
    let started = Instant::now();
    for _ in 0..ITERATIONS {
        ring.push(make_event(&mut clock, "vm1"));
    }
    let time_per_event = started.elapsed() / ITERATIONS;
    let answers: Vec<TimelineAnswer> = (0..5)
        .map(|vm| {
            let name = format!("vm{vm}");
            TimelineAnswer {
                vm: name.as_str().into(),
                dropped: 0,
                events: (0..EVENTS).map(|_| make_event(&mut clock, &name)).collect(),
            }
        })
        .collect();
    let started = Instant::now();
    let merged = merge_timelines(answers);
    println!(
        "events: {time_per_event:?} each ({:.0}/s), {} bytes each; {} of 5 VMs merged in {:?}",
        1.0 / time_per_event.as_secs_f64(),
        size_of::<Event>(),
        merged.len(),
        started.elapsed()
    );
}
