//! Sizes such as `64KiB`.

const UNITS: [(&str, usize); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];

/// Parses an integer with a unit of `B`, `KiB`, `MiB` or `GiB`.
///
/// ```
/// use gentianridge_config::parse_size;
///
/// assert_eq!(parse_size("64KiB"), Some(65_536));
/// assert_eq!(parse_size("64"), None);
/// ```
pub fn parse_size(text: &str) -> Option<usize> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: usize = number.parse().ok()?;
    let bytes = UNITS.iter().find(|(name, _)| *name == unit.trim())?.1;
    number.checked_mul(bytes)
}
