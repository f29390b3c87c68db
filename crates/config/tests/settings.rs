//! The daemon's settings.

use gentianridge_config::{FaultKind, LogFormat, parse_duration, parse_settings, parse_size};
use std::time::Duration;

const SAMPLE: &str = include_str!("../../../samples/settings.ini");

#[test]
fn sample_file() {
    let settings = parse_settings(SAMPLE).unwrap_or_else(|report| panic!("{report}"));
    assert_eq!(settings.vm, "vm1");
    assert_eq!(settings.max_replay, 64 << 10);
    assert_eq!(settings.stop_grace, Duration::from_secs(600));
    assert_eq!(settings.log_format, LogFormat::Text);
}

#[test]
fn unknown_key() {
    let report = parse_settings(&SAMPLE.replace("replay =", "reply =")).expect_err("faulty");
    assert_eq!(report.get_faults()[0].get_kind(), FaultKind::UnknownKey);
    assert_eq!(report.get_faults()[0].get_nearest(), Some("replay"));
}

#[test]
fn missing_section() {
    let text = SAMPLE.replace("[platform]", "[plattform]");
    let report = parse_settings(&text).expect_err("faulty");
    assert_eq!(report.get_faults().len(), 2, "{report}");
}

#[test]
fn units_needed() {
    for text in ["5", "5 parsecs", "", "-1s", "1.5s", "99999999999999999999s"] {
        assert_eq!(parse_duration(text), None, "{text}");
    }
    for text in ["64", "64KB", "KiB", "1.5MiB"] {
        assert_eq!(parse_size(text), None, "{text}");
    }
}
