//! Every decision of gentianridge, without input or output.
//!
//! The crate holds state machines only. Time, random seeds and everything that
//! a socket, a file or another VM says comes in as a plain value, and what
//! should happen leaves as a plain value. The same inputs therefore give the
//! same outputs on every machine, which is what the tests rely on. The map of
//! crates is in docs/ARCHITECTURE.md.

mod clock;
mod code;
mod discovery;
mod event;
mod ledger;
mod membership;
mod probe;
mod quarantine;
mod revision;
mod routes;
mod service;
mod spec;

pub use clock::{Clock, HybridClock, HybridTime};
pub use code::{ResultCode, RunState};
pub use discovery::{
    Directory, Incarnation, ListNews, Reading, Refresh, Relayed, TakenReading, TargetEntry,
    TargetList,
};
pub use event::{Event, EventKind, EventRing};
pub use ledger::{
    Claim, ClaimState, Ledger, LedgerAction, LedgerInput, RecordedAnswer, RequestPrint, Version,
};
pub use membership::{
    ByteBudget, Heartbeat, Membership, Partners, PeerState, PeerView, PlatformState, Pulse, Roster,
    TargetNotice, TargetNotices,
};
pub use probe::{ProbeBudget, is_probe_owner};
pub use quarantine::{CrashMark, Quarantine, QuarantineChange};
pub use revision::{
    Adoption, RevisionLog, RevisionRecord, Submission, SubmissionAction, SubmissionInput, Verdict,
};
pub use routes::{
    CallerLimits, HostRoutes, Part, Route, RouteKey, RouteTable, RoutedService, Split,
};
pub use service::{
    Arrival, AttemptKey, AttemptKind, CallKey, ClassKey, Counters, LoadReport, Outcome, Output,
    PlacementInputs, Service, TargetCondition, TargetKey, TargetStatus,
};
pub use spec::{
    ClassKind, ClassSpec, DomainName, FleetSpec, MethodSet, Note, RepeatLimit, RouteMatch,
    Sampling, ServiceSpec, TargetSpec, VmName,
};
