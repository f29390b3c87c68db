//! Behaviors and entries of a stand-in for a target.

use super::Endless;

/// How a target handles a request that it has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetBehavior {
    /// Runs the request and answers.
    Normal,
    /// Refuses with 503 and states that the request has not run.
    NotRun,
    /// Runs the request, then closes the connection without an answer.
    LostAnswer,
    /// Runs the request and answers with the id of another request.
    OtherId,
    /// Runs the request and answers without the response signature.
    Unsigned,
    /// Runs the request and closes the connection before the end of the body.
    TruncatedBody,
    /// Runs the request and answers 503, without stating whether it ran.
    PlainRefusal,
    /// Neither runs nor answers the request, nor any later one on its connection.
    Silent,
    /// Runs the request and sends the same answer twice.
    DuplicateAnswer,
    /// Runs the request and closes its connection without an answer; the target accepts
    /// no connections from then on.
    Crash,
    /// Runs the request and answers with a body of [`FakeTarget::LARGE_BODY`](super::FakeTarget::LARGE_BODY) bytes.
    LargeBody,
    /// Runs the request and answers with a body of the given number of bytes.
    SizedBody(usize),
    /// Runs the request and answers before it reads the body, keeps the connection and reads
    /// the body later.
    EarlyAnswer,
    /// Refuses with 503 before it reads the body, states that the request has not run, and
    /// reads the body later.
    EarlyRefusal,
    /// Runs the request, sends the head of a large body and a part of it, and closes the
    /// connection.
    TruncatedLargeBody,
    /// Runs the request and sends a body without end.
    EndlessBody,
    /// Runs the request and answers with a refusal that bears no id.
    UnidentifiedRefusal,
    /// Runs the request, sends the given number of bytes of the answer's head and closes
    /// the connection.
    TruncatedHead(usize),
    /// Runs the request and answers with the given start line, and with the headers and the
    /// body of a usual answer.
    StartLine(&'static str),
    /// Runs the request and sends bytes without end.
    Endless(Endless),
}

/// Which answers a target sends once more on their connections, late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateCopies {
    /// None.
    None,
    /// A refusal, before the next answer.
    Refusals,
    /// The last answer to a request, when a load request arrives, whose answer follows
    /// some milliseconds later.
    BeforeLoadAnswers,
}

/// Fields of a target's entry in the store.
#[derive(Debug, Clone)]
pub struct TargetEntryValue {
    /// Service of the target.
    pub service: String,
    /// Failure domain.
    pub zone: String,
    /// True if the target announces that it leaves.
    pub is_draining: bool,
    /// Start of the target in Unix milliseconds.
    pub born: u64,
}
