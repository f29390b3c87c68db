//! Durations such as `250ms`.

use std::time::Duration;

const UNITS: [(&str, u64); 5] = [
    ("ms", 1_000_000),
    ("us", 1_000),
    ("s", 1_000_000_000),
    ("m", 60_000_000_000),
    ("h", 3_600_000_000_000),
];

/// Parses an integer with a unit of `us`, `ms`, `s`, `m` or `h`.
///
/// ```
/// use gentianridge_config::parse_duration;
/// use std::time::Duration;
///
/// assert_eq!(parse_duration("250ms"), Some(Duration::from_millis(250)));
/// assert_eq!(parse_duration("250"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let nanos = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.checked_mul(nanos).map(Duration::from_nanos)
}

/// Formats a duration in the largest unit that represents it as an integer.
///
/// ```
/// use gentianridge_config::format_duration;
/// use std::time::Duration;
///
/// assert_eq!(format_duration(Duration::from_millis(1500)), "1500ms");
/// ```
pub fn format_duration(duration: Duration) -> String {
    let nanos = duration.as_nanos() as u64;
    let mut best = ("us", 1_000);
    for (name, unit) in UNITS {
        if nanos.is_multiple_of(unit) && unit > best.1 {
            best = (name, unit);
        }
    }
    format!("{}{}", nanos / best.1, best.0)
}

/// Parses a duration like [`parse_duration`], and also fractions such as `2.5s`,
/// which the platform writes.
///
/// ```
/// use gentianridge_config::parse_fractional_duration;
/// use std::time::Duration;
///
/// assert_eq!(parse_fractional_duration("2.5s"), Some(Duration::from_millis(2_500)));
/// ```
pub fn parse_fractional_duration(text: &str) -> Option<Duration> {
    let digits = text
        .bytes()
        .take_while(|byte| byte.is_ascii_digit() || *byte == b'.')
        .count();
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().ok()?;
    let nanos = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    Duration::try_from_secs_f64(number * nanos as f64 / 1e9).ok()
}
