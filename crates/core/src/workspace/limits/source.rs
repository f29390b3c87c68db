//! A holder as a VM that asks it for tokens sees it.

use std::time::Duration;

/// What is known about the tokens of one holder.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source {
    /// Position of the VM among the members.
    pub(super) member: u16,
    /// Parts of the limit that the VM holds.
    parts: f32,
    /// True while a reply is expected.
    pub(super) is_asked: bool,
    level: f32,
    at: Duration,
    pause: Duration,
    resume_at: Duration,
}

impl Source {
    /// Pause after a reply with fewer tokens than asked for, since others ask as well.
    const EMPTY_PAUSE: Duration = Duration::from_millis(50);
    /// Longest pause after asks without a reply.
    const MAX_PAUSE: Duration = Duration::from_secs(1);

    /// Creates a source that is assumed to be full.
    pub(super) fn new(member: u16, parts: u16, capacity: f64) -> Self {
        Self {
            member,
            parts: f32::from(parts),
            is_asked: false,
            level: capacity as f32 * f32::from(parts),
            at: Duration::ZERO,
            pause: Duration::ZERO,
            resume_at: Duration::ZERO,
        }
    }

    /// Returns the whole tokens that the source probably has, 0 while it is asked or
    /// pauses; `rate` and `capacity` are those of one part.
    pub(super) fn estimate(&self, now: Duration, rate: f64, capacity: f64) -> u32 {
        if self.is_asked || now < self.resume_at {
            return 0;
        }
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let parts = f64::from(self.parts);
        (f64::from(self.level) + elapsed * rate * parts).min(capacity * parts) as u32
    }

    /// Records a reply.
    pub(super) fn record_grant(&mut self, now: Duration, asked: u32, granted: u32, left: f64) {
        self.is_asked = false;
        self.level = left as f32;
        self.at = now;
        self.pause = Duration::ZERO;
        if granted < asked {
            self.resume_at = now + Self::EMPTY_PAUSE;
        }
    }

    /// Records that no reply came in time.
    pub(super) fn record_silence(&mut self, now: Duration) {
        self.is_asked = false;
        self.pause = (self.pause * 2).clamp(Self::EMPTY_PAUSE, Self::MAX_PAUSE);
        self.resume_at = now + self.pause;
    }
}
