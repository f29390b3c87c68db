//! Numbered result codes of refusals.
//!
//! The table for operators is docs/RESULT-CODES.md; a test checks that both agree.

use serde::{Deserialize, Serialize};

/// Whether a refused request may have run on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// No target has run the request, and none will on behalf of this call.
    NotRun,
    /// A target may have run the request.
    Unknown,
}

impl RunState {
    /// Returns the value used in the answer header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $run:ident, $text:literal;)+) => {
        /// A numbered reason for which the daemon itself answers a call.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// Every code in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the number that answers, logs and the docs use.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the HTTP status of the answer.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns whether the request may have run.
            pub fn run_state(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)+ }
            }

            /// Returns a short explanation for a caller or an operator.
            pub fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)+ }
            }
        }
    };
}

result_codes! {
    /// No service of the configuration matches the request.
    NoService = 1001, 404, NotRun, "no service matches the request";
    /// The request is not acceptable as HTTP or exceeds a size limit.
    BadRequest = 1002, 400, NotRun, "the request is malformed or too large";
    /// The caller sent its request too slowly.
    SlowCaller = 1003, 408, NotRun, "the request body did not arrive in time";
    /// The daemon has no configuration yet.
    NoConfiguration = 1004, 503, NotRun, "no configuration is in force on this VM";
    /// The daemon is stopping and takes no new calls.
    Stopping = 1005, 503, NotRun, "this VM is stopping";
    /// The caller closed its connection before the answer.
    CallerGone = 1006, 499, Unknown, "the caller has gone";
    /// The request body exceeds the limit of the configuration.
    TooLarge = 1007, 413, NotRun, "the request body is too large";
    /// The request needs a key, and carries none that the configuration names.
    UnknownKey = 1008, 401, NotRun, "the key is missing or unknown";
    /// The configuration of this VM is so old that the key may have been withdrawn since.
    KeyUnproven = 1009, 503, NotRun, "this VM cannot prove that the key is in force";
    /// The workspace has sent more requests than its limit admits.
    LimitReached = 1010, 429, NotRun, "the workspace has reached its limit";
    /// The memory for requests is in use.
    MemoryFull = 1011, 503, NotRun, "this VM has no memory left for the request";
    /// The queue of the class is full.
    QueueFull = 2001, 503, NotRun, "the queue of this class is full";
    /// The wait would exceed the deadline of the call.
    DeadlineUnreachable = 2002, 503, NotRun, "the deadline cannot be met";
    /// The call waited until its deadline and was never dispatched.
    DeadlinePassed = 2003, 503, NotRun, "the deadline passed while the call waited";
    /// No target of the service is eligible for work.
    NoTarget = 2004, 503, NotRun, "no target of the service takes work";
    /// Every attempt was refused by a target before it ran.
    TargetsRefused = 2005, 503, NotRun, "the targets refused the request unrun";
    /// The request crashed several targets and is temporarily not sent to others.
    CrashesTargets = 2006, 503, NotRun, "this request crashed targets and is not run again for now";
    /// All targets of the service requested a pause that is too long for the call.
    TargetsPaused = 2007, 503, NotRun, "all targets of the service requested a pause";
    /// Requests that cost callers more to turn away took the place of this one.
    GaveWay = 2008, 503, NotRun, "the request gave way to more urgent ones";
    /// Operators have emptied the failure domains of all targets of the service.
    DomainsEmptied = 2009, 503, NotRun, "the failure domains of all targets are emptied";
    /// The attempt failed after dispatch and no retry was possible.
    AttemptFailed = 3001, 502, Unknown, "the attempt failed after it was dispatched";
    /// The target did not answer before the deadline.
    AttemptTimeout = 3002, 504, Unknown, "the target did not answer before the deadline";
    /// The request is quarantined because it crashed targets.
    Quarantined = 3003, 422, NotRun, "this request crashed targets and is quarantined";
    /// The idempotency key is missing for a class of kind once.
    KeyMissing = 4001, 400, NotRun, "this request needs an Idempotency-Key header";
    /// The idempotency key was used with another request.
    KeyReused = 4002, 422, NotRun, "this Idempotency-Key belongs to a different request";
    /// A request with this key is still running.
    KeyRunning = 4003, 409, Unknown, "a request with this Idempotency-Key is still running";
    /// The outcome of the request with this key is not known.
    OutcomeUnknown = 4004, 504, Unknown, "whether the request with this Idempotency-Key ran is unknown";
    /// The platform's table service cannot record the claim.
    StoreUnavailable = 4005, 503, NotRun, "the table service does not accept the claim";
    /// The recorded answer cannot be read.
    AnswerUnavailable = 4006, 503, Unknown, "the recorded answer cannot be read now";
}

impl ResultCode {
    /// Returns the code with the given number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .binary_search_by_key(&number, |code| code.number())
            .ok()
            .map(|index| Self::ALL[index])
    }

    /// Returns true if a load balancer in front of this one must not retry the call.
    ///
    /// The service has no capacity or the attempts have failed, and the retries
    /// that are allowed have been made. If a VM is stopping or has no
    /// configuration, another VM can take the call.
    pub fn is_final_for_levels_above(self) -> bool {
        !matches!(self, Self::Stopping | Self::NoConfiguration)
    }

    /// Returns true if the call may be sent again unchanged after a pause.
    pub fn is_retryable(self) -> bool {
        self.run_state() == RunState::NotRun && matches!(self.http_status(), 429 | 503)
    }
}
