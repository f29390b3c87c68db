//! Budgets for extra attempts as a share of first attempts.

/// Token budget for extra attempts; each first attempt adds a share of a token.
///
/// The share bounds the extra load when every target fails, and the initial
/// tokens and the burst allow retries in a service with little traffic. The
/// comparison with fixed counts is in docs/decisions/0003-retries-and-hedges.md.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: f32,
    share: f32,
}

impl Budget {
    /// Maximum number of tokens that the budget holds.
    pub(crate) const BURST_TOKENS: f32 = 50.0;
    /// Tokens of a new budget, so that the first calls can be retried.
    pub(crate) const INITIAL_TOKENS: f32 = 10.0;

    pub(crate) fn new(percent: u8) -> Self {
        let share = f32::from(percent) / 100.0;
        let tokens = if percent == 0 {
            0.0
        } else {
            Self::INITIAL_TOKENS
        };
        Self { tokens, share }
    }

    pub(crate) fn set_percent(&mut self, percent: u8) {
        self.share = f32::from(percent) / 100.0;
        if percent == 0 {
            self.tokens = 0.0;
        }
    }

    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::BURST_TOKENS);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    pub(crate) fn try_consume(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
