//! Tolerance of a limit on requests.

/// By how much the requests that a window holds may exceed a limit.
///
/// The platform judges by this bound; decisions aim at the limit itself and use the
/// tolerance only for what they cannot know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBound {
    /// Requests beyond the limit, in percent of it.
    pub excess_percent: u16,
    /// Further requests beyond the limit.
    pub slack: u16,
}

impl RequestBound {
    /// No tolerance.
    pub const EXACT: Self = Self {
        excess_percent: 0,
        slack: 0,
    };
}
