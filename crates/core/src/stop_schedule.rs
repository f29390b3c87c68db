//! Times of a planned stop.

use std::time::{Duration, Instant};

/// Times of a planned stop, from its signal to the exit of the process.
///
/// Callers that send their requests late get an answer too: a request that can be
/// completed is served, and one that cannot is refused at once.
/// docs/decisions/0020-planned-stop.md explains the steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time from which idle connections of callers are closed.
    pub close_idle: Instant,
    /// Latest deadline that is stated to targets.
    pub work_until: Instant,
    /// Time by which every request has its answer. Later ones are refused.
    pub answer_until: Instant,
    /// Time by which the process exits.
    pub exit: Instant,
}

impl StopSchedule {
    /// Time in which the balancer notices that this VM is not ready: it polls once a
    /// second and requires two failed polls.
    const READINESS_DELAY: Duration = Duration::from_millis(2_500);
    /// Part of the grace time that is reserved for the exit of the process.
    const EXIT_MARGIN: Duration = Duration::from_millis(300);
    /// Time before the exit in which connections are closed, and requests that still
    /// arrive are refused.
    const CLOSE_TIME: Duration = Duration::from_millis(100);
    /// Time for the answer of a target that stops work at its deadline. Targets count the
    /// time from the start of the work, before which a request may wait in their queue.
    const ANSWER_TIME: Duration = Duration::from_millis(500);

    /// Creates the schedule of a stop that was requested at `now`; the process is
    /// killed after `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let until_exit = grace.saturating_sub(Self::EXIT_MARGIN);
        let until_answer = until_exit.saturating_sub(Self::CLOSE_TIME);
        let until_work = until_answer.saturating_sub(Self::ANSWER_TIME);
        Self {
            close_idle: now + until_answer.min(Self::READINESS_DELAY),
            work_until: now + until_work,
            answer_until: now + until_answer,
            exit: now + until_exit,
        }
    }
}
