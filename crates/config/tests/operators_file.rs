//! The operators' file.

use gentianridge_config::{FaultKind, Warning, compare_fleets, parse_fleet};
use gentianridge_core::{ClassKind, FleetSpec};
use proptest::prelude::*;
use std::time::Duration;

const SORTEGGIO: &str = include_str!("../../../samples/sorteggio-nero.ini");
const RENA: &str = include_str!("../../../samples/rena-karl.ini");
const MINIMAL: &str = include_str!("../../../samples/minimal.ini");

fn parse(text: &str) -> FleetSpec {
    parse_fleet(text).unwrap_or_else(|report| panic!("{report}"))
}

fn kinds(text: &str) -> Vec<FaultKind> {
    let report = parse_fleet(text).expect_err("the file is faulty");
    report
        .get_faults()
        .iter()
        .map(|fault| fault.get_kind())
        .collect()
}

#[test]
fn sample_files() {
    let sizes = |fleet: &FleetSpec| -> Vec<(String, usize, u32)> {
        fleet
            .services
            .iter()
            .map(|s| (s.name.to_string(), s.targets.len(), s.count_usable_slots()))
            .collect()
    };
    let sorteggio = sizes(&parse(SORTEGGIO));
    assert_eq!(
        sorteggio,
        [
            ("recipient".into(), 10, 30),
            ("draw".into(), 6, 18),
            ("history".into(), 10, 30)
        ]
    );
    let rena = sizes(&parse(RENA));
    assert_eq!(
        rena,
        [
            ("route".into(), 10, 40),
            ("booking".into(), 7, 28),
            ("archive".into(), 10, 40)
        ]
    );
}

#[test]
fn class_values() {
    let fleet = parse(SORTEGGIO);
    let confirm = &fleet.services[1].classes[0];
    assert_eq!(confirm.kind, ClassKind::Once);
    assert_eq!(confirm.deadline, Duration::from_secs(2));
    assert!(confirm.route.is_match("POST", "/draw/confirm"));
    assert!(!confirm.route.is_match("GET", "/draw/confirm"));
    assert!(!confirm.route.is_match("POST", "/draw/confirmed"));
}

#[test]
fn longest_prefix() {
    let text = MINIMAL.replace("[service web]\npath = /", "[service web]\npath = /\n\n[service api]\npath = /api\n[class api.all]\npath = /\nkind = interactive\ndeadline = 1s\n[target api.one]\naddress = 127.0.0.1:9001\ndomain = here");
    let fleet = parse(&text);
    assert_eq!(fleet.find_service("GET", "/api/x"), Some(1));
    assert_eq!(fleet.find_service("GET", "/apix"), Some(0));
}

#[test]
fn all_faults() {
    let report =
        parse_fleet(include_str!("../../../samples/faulty.ini")).expect_err("the file is faulty");
    let lines: Vec<(usize, FaultKind)> = report
        .get_faults()
        .iter()
        .map(|fault| (fault.get_line(), fault.get_kind()))
        .collect();
    assert_eq!(
        lines,
        [
            (3, FaultKind::UnknownSection),
            (7, FaultKind::BadValue),
            (9, FaultKind::Missing),
            (10, FaultKind::UnknownKey),
            (14, FaultKind::BadValue),
            (15, FaultKind::BadValue),
            (17, FaultKind::Conflict),
            (21, FaultKind::Conflict),
            (24, FaultKind::BadValue),
            (26, FaultKind::Conflict),
            (27, FaultKind::Duplicate),
        ],
        "{report}"
    );
}

#[test]
fn nearest_word() {
    let text = MINIMAL.replace("deadline", "dedline");
    let report = parse_fleet(&text).expect_err("the file is faulty");
    let fault = report
        .get_faults()
        .iter()
        .find(|f| f.get_kind() == FaultKind::UnknownKey);
    assert_eq!(
        fault.and_then(|fault| fault.get_nearest()),
        Some("deadline")
    );
}

#[test]
fn duplicate_sections() {
    assert!(kinds(&format!("{MINIMAL}\n[fleet]\n")).contains(&FaultKind::Duplicate));
    let twice = MINIMAL.replace(
        "[target web.one]",
        "[target web.one]\naddress = 127.0.0.1:9009\ndomain = here\n[target web.one]",
    );
    assert!(kinds(&twice).contains(&FaultKind::Duplicate));
}

#[test]
fn same_address() {
    let twice = MINIMAL.replace(
        "[target web.one]",
        "[target web.two]\naddress = 127.0.0.1:9000\ndomain = here\n[target web.one]",
    );
    assert_eq!(kinds(&twice), [FaultKind::Conflict]);
}

#[test]
fn reserve_above_slots() {
    let text = MINIMAL.replace("deadline = 1s", "deadline = 1s\nreserve = 5");
    assert_eq!(kinds(&text), [FaultKind::Conflict]);
}

#[test]
fn empty_text() {
    assert_eq!(kinds(""), [FaultKind::Missing, FaultKind::Missing]);
    assert_eq!(kinds("]["), [FaultKind::Syntax]);
}

#[test]
fn fleet_warnings() {
    let old = parse(SORTEGGIO);
    assert!(compare_fleets(Some(&old), &old).is_empty());
    let drained = parse(&SORTEGGIO.replace("slots = 3", "slots = 3\ndrain = yes"));
    assert_eq!(compare_fleets(Some(&old), &drained).len(), 3);
    let gone = compare_fleets(Some(&old), &parse(MINIMAL));
    assert!(gone.contains(&Warning::RemovesService("draw".into())));
    let mut small = old.clone();
    small.services[0].targets.truncate(5);
    let shrunk = Warning::ShrinksService {
        service: "recipient".into(),
        before: 30,
        after: 15,
    };
    assert_eq!(compare_fleets(Some(&old), &small), [shrunk]);
}

proptest! {
    #[test]
    fn arbitrary_text(text in "\\PC{0,200}") {
        let _ = parse_fleet(&text);
    }

    #[test]
    fn replaced_byte(at in 0_usize..2_000, byte in any::<u8>()) {
        let mut bytes = SORTEGGIO.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let text = String::from_utf8_lossy(&bytes);
        if let Err(report) = parse_fleet(&text) {
            prop_assert!(!report.get_faults().is_empty());
        }
    }
}
