//! The credential that a request carries.

/// Longest key in bytes that is looked up; operators' keys are far shorter.
const MAX_KEY_BYTES: usize = 1_024;
/// Name of the only scheme, compared without regard to case as HTTP requires.
const SCHEME: &str = "bearer";

/// Returns the key of a request from the values of its `Authorization` headers, `None`
/// if they do not hold exactly one well-formed key.
///
/// A key is visible ASCII of at most 1,024 bytes after the scheme `Bearer` and spaces.
/// Anything else is refused and not interpreted: of two headers, a target or an operator
/// could take either for the caller's.
pub fn parse_credential<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Option<&'a str> {
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, rest) = std::str::from_utf8(value).ok()?.split_once(' ')?;
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        return None;
    }
    let key = rest.trim_matches(' ');
    let is_valid =
        (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then_some(key)
}
