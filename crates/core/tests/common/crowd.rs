//! Callers of one service: they wait, give up and come back as their load says.

use super::{Harness, Sent};
use gentianridge_core::{Arrival, CallKey, ServiceSpec, WorkspaceKey};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub class: &'static str,
    /// Requests a second, at random times.
    pub per_second: u64,
    pub work_ms: u64,
    pub objective_ms: u64,
    pub patience_ms: u64,
    /// Attempts that a caller makes after refusals.
    pub retries: u32,
    /// True if the caller comes back at once.
    pub is_impatient: bool,
    /// Time after which the caller leaves.
    pub gives_up_ms: Option<u64>,
    pub workspace: Option<WorkspaceKey>,
}

impl Load {
    pub fn of_class(class: &'static str) -> Self {
        Self {
            class,
            per_second: 0,
            work_ms: 100,
            objective_ms: 600,
            patience_ms: 3_000,
            retries: 2,
            is_impatient: false,
            gives_up_ms: None,
            workspace: None,
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    InTime,
    Late,
    Refused,
    Left,
    /// Neither answered nor refused when the caller's time was over.
    Lost,
}

/// Numbers of ended requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub in_time: usize,
    pub late: usize,
    pub refused: usize,
}

#[derive(Debug)]
struct Request {
    load: Load,
    first_at: Instant,
    attempt_at: Instant,
    call: Option<CallKey>,
    again_at: Option<Instant>,
    retries_left: u32,
    end: Option<Ended>,
}

/// A service and its callers, in steps of a millisecond.
#[derive(Debug)]
pub struct Crowd {
    harness: Harness,
    requests: Vec<Request>,
    by_call: BTreeMap<CallKey, usize>,
    /// Attempts that targets work on, with the time at which they answer.
    working: Vec<(Instant, Sent)>,
    seen_sent: usize,
    seen_refused: usize,
    longest_refused_wait: Duration,
    sent_after_leaving: usize,
    random: u64,
}

impl Crowd {
    /// Time between the end of a caller's patience and the report of a lost request.
    const LOST_AFTER: Duration = Duration::from_millis(100);

    pub fn new(spec: ServiceSpec) -> Self {
        Self {
            harness: Harness::with_spec(spec),
            requests: Vec::new(),
            by_call: BTreeMap::new(),
            working: Vec::new(),
            seen_sent: 0,
            seen_refused: 0,
            longest_refused_wait: Duration::ZERO,
            sent_after_leaving: 0,
            random: 0x9E37_79B9_7F4A_7C15,
        }
    }

    /// Lets requests of the loads come for some time.
    pub fn run(&mut self, loads: &[Load], millis: u64) {
        for _ in 0..millis {
            self.harness.advance(1);
            self.answer_done();
            for load in loads {
                if self.draw(1_000) < load.per_second {
                    self.add_request(*load);
                }
            }
            self.collect_outputs();
            self.move_callers();
            self.collect_outputs();
        }
    }

    pub fn count(&self) -> Counts {
        self.count_where(|_| true)
    }

    /// Counts the requests of callers that come back as they are told.
    pub fn count_patient(&self) -> Counts {
        self.count_where(|load| !load.is_impatient)
    }

    /// Returns the share of a class's requests that were answered, among those whose callers
    /// stayed.
    pub fn get_served_share(&self, class: &str) -> f64 {
        let counts = self.count_where(|load| load.class == class && load.gives_up_ms.is_none());
        let served = counts.in_time + counts.late;
        served as f64 / (served + counts.refused).max(1) as f64
    }

    /// Returns the share of a workspace's requests that were answered in time.
    pub fn get_share_of(&self, workspace: WorkspaceKey) -> f64 {
        let counts = self.count_where(|load| load.workspace == Some(workspace));
        let ended = counts.in_time + counts.late + counts.refused;
        counts.in_time as f64 / ended.max(1) as f64
    }

    pub fn get_longest_refused_wait(&self) -> Duration {
        self.longest_refused_wait
    }

    pub fn count_sent_after_leaving(&self) -> usize {
        self.sent_after_leaving
    }

    pub fn has_lost(&self) -> bool {
        self.requests.iter().any(|r| r.end == Some(Ended::Lost))
    }

    fn count_where(&self, is_counted: impl Fn(&Load) -> bool) -> Counts {
        let mut counts = Counts::default();
        for request in self.requests.iter().filter(|r| is_counted(&r.load)) {
            match request.end {
                Some(Ended::InTime) => counts.in_time += 1,
                Some(Ended::Late) => counts.late += 1,
                Some(Ended::Refused | Ended::Lost) => counts.refused += 1,
                Some(Ended::Left) | None => {}
            }
        }
        counts
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn add_request(&mut self, load: Load) {
        let now = self.harness.now;
        self.requests.push(Request {
            load,
            first_at: now,
            attempt_at: now,
            call: None,
            again_at: None,
            retries_left: load.retries,
            end: None,
        });
        self.send_attempt(self.requests.len() - 1);
    }

    fn send_attempt(&mut self, index: usize) {
        let now = self.harness.now;
        let request = &mut self.requests[index];
        request.attempt_at = now;
        request.again_at = None;
        let class = self.harness.get_class(request.load.class);
        let kind = self.harness.service.get_class(class).expect("a class").kind;
        let deadline = request.first_at + Duration::from_millis(request.load.patience_ms);
        let call = self.harness.arrive_call(Arrival {
            class,
            kind,
            deadline,
            time_left: Some(deadline.saturating_duration_since(now)),
            is_replayable: true,
            workspace: request.load.workspace,
        });
        request.call = Some(call);
        self.by_call.insert(call, index);
    }

    fn answer_done(&mut self) {
        let now = self.harness.now;
        let (done, working) = self.working.iter().partition(|(at, _)| *at <= now);
        self.working = working;
        let done: Vec<(Instant, Sent)> = done;
        for (_, sent) in done {
            if self.harness.cancelled.contains(&sent.attempt) {
                continue;
            }
            self.harness.answer(sent);
            let request = &mut self.requests[self.by_call[&sent.call]];
            let took = now.saturating_duration_since(request.first_at);
            let is_in_time = took <= Duration::from_millis(request.load.objective_ms);
            let end = if is_in_time {
                Ended::InTime
            } else {
                Ended::Late
            };
            request.end.get_or_insert(end);
        }
        self.collect_outputs();
    }

    fn collect_outputs(&mut self) {
        for at in self.seen_sent..self.harness.sent.len() {
            let sent = self.harness.sent[at];
            let request = &self.requests[self.by_call[&sent.call]];
            self.sent_after_leaving += usize::from(request.end.is_some());
            let work = Duration::from_millis(request.load.work_ms);
            self.working.push((self.harness.now + work, sent));
        }
        self.seen_sent = self.harness.sent.len();
        for at in self.seen_refused..self.harness.refused.len() {
            let (call, _) = self.harness.refused[at];
            self.turn_away(self.by_call[&call]);
        }
        self.seen_refused = self.harness.refused.len();
    }

    fn turn_away(&mut self, index: usize) {
        let now = self.harness.now;
        let part = 500 + self.draw(500);
        let request = &mut self.requests[index];
        let waited = now.saturating_duration_since(request.attempt_at);
        self.longest_refused_wait = self.longest_refused_wait.max(waited);
        request.call = None;
        if request.retries_left == 0 {
            request.end.get_or_insert(Ended::Refused);
            return;
        }
        request.retries_left -= 1;
        let deadline = request.first_at + Duration::from_millis(request.load.patience_ms);
        let left = deadline.saturating_duration_since(now);
        let pause = if request.load.is_impatient {
            Duration::from_millis(5)
        } else {
            left / 3 * part as u32 / 1_000
        };
        request.again_at = Some(now + pause);
    }

    /// Lets callers come back, give up, or end their wait.
    fn move_callers(&mut self) {
        let now = self.harness.now;
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            if request.end.is_some() {
                continue;
            }
            let waited = now.saturating_duration_since(request.first_at);
            let is_after = |limit_ms: u64| waited >= Duration::from_millis(limit_ms);
            if request.load.gives_up_ms.is_some_and(is_after) {
                request.end = Some(Ended::Left);
                if let Some(call) = request.call {
                    self.harness.cancel(call);
                }
            } else if waited > Duration::from_millis(request.load.patience_ms) + Self::LOST_AFTER {
                request.end = Some(Ended::Lost);
            } else if request.again_at.is_some_and(|at| at <= now) {
                self.send_attempt(index);
            }
        }
    }
}
