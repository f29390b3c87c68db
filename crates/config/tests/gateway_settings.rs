//! Settings of a daemon on the platform.

use gentianridge_config::{FaultKind, parse_gateway_settings};
use std::time::Duration;

const VALID: &str = "\
[vm]
name = edge-1
domain = d1
[listen]
callers = 10.0.0.1:8080
ready = 10.0.0.1:8081
peers = 10.0.0.1:7000
[store]
address = 10.0.0.9:9000
[bounds]
drain = 2000ms
apply = 2.5s
grace = 6s
probes = 60
[repeats]
window = 10s
ratio = 0.2
extra = 56
";

#[test]
fn valid_settings() {
    let settings = parse_gateway_settings(VALID).unwrap();
    assert_eq!(settings.vm, "edge-1");
    assert_eq!(settings.apply, Duration::from_millis(2_500));
    assert_eq!(settings.repeats.percent, 20);
    assert_eq!(settings.probes_per_target, 60);
    assert!(settings.metrics.is_none());
}

#[test]
fn fault_kinds() {
    for (from, to, kind) in [
        ("ratio = 0.2", "ratio = much", FaultKind::BadValue),
        ("name = edge-1\n", "", FaultKind::Missing),
        ("extra = 56", "extra = -1", FaultKind::BadValue),
        ("address = 10.0.0.9:9000\n", "", FaultKind::Missing),
        ("grace = 6s", "grace = soon", FaultKind::BadValue),
        ("[bounds]", "[bound]", FaultKind::UnknownSection),
        (
            "domain = d1",
            "domain = d1\nregion = r",
            FaultKind::UnknownKey,
        ),
    ] {
        let report = parse_gateway_settings(&VALID.replace(from, to)).unwrap_err();
        let kinds: Vec<FaultKind> = report.get_faults().iter().map(|f| f.get_kind()).collect();
        assert!(kinds.contains(&kind), "{to:?}: {kinds:?}");
    }
}

/// The platform leaves the value of a bound that it does not have empty.
#[test]
fn empty_bounds() {
    let text = VALID
        .replace("= 56", "=")
        .replace("= 60\n", "=\n")
        .replace("= 6s", "=");
    let settings = parse_gateway_settings(&text).unwrap();
    assert_eq!(settings.repeats.extra, 0);
    assert_eq!(
        settings.probes_per_target, 0,
        "no load requests are sent without a budget"
    );
    assert!(settings.grace > Duration::from_secs(1));
}

/// A ratio is rounded down, because a limit must not be exceeded.
#[test]
fn ratio_rounds_down() {
    let settings = parse_gateway_settings(&VALID.replace("0.2", "0.159")).unwrap();
    assert_eq!(settings.repeats.percent, 15);
}

#[test]
fn memory_limits() {
    let stated = format!("{VALID}[memory]\nmegabytes = 112\ndescriptors = 2870\n");
    let settings = parse_gateway_settings(&stated).unwrap();
    assert_eq!(settings.memory_megabytes, Some(112));
    assert_eq!(settings.descriptors, Some(2_870));
    let empty = format!("{VALID}[memory]\nmegabytes =\ndescriptors = {{{{limits.max_fds}}}}\n");
    let settings = parse_gateway_settings(&empty).unwrap();
    assert_eq!(settings.memory_megabytes, None);
    assert_eq!(settings.descriptors, None);
    let zero = format!("{VALID}[memory]\nmegabytes = 0\n");
    assert!(parse_gateway_settings(&zero).is_err());
}

#[test]
fn caller_limits() {
    let settings = parse_gateway_settings(VALID).unwrap();
    assert_eq!(settings.body_idle, Duration::from_secs(5));
    assert_eq!(settings.min_rate, 1_024);
    assert_eq!(settings.answer_idle, Duration::from_secs(30));
    assert_eq!(settings.max_flows, 4);
    let stated =
        format!("{VALID}[callers]\nbody_idle = 2s\nmin_rate = 4KiB\nanswer_idle = 9s\nflows = 1\n");
    let settings = parse_gateway_settings(&stated).unwrap();
    assert_eq!(settings.body_idle, Duration::from_secs(2));
    assert_eq!(settings.min_rate, 4_096);
    assert_eq!(settings.answer_idle, Duration::from_secs(9));
    assert_eq!(settings.max_flows, 1);
    let wrong = format!("{VALID}[callers]\nmin_rate = fast\n");
    assert!(parse_gateway_settings(&wrong).is_err());
}
