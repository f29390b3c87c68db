//! Decision logic of gentianridge, without input or output.
//!
//! The crate holds state machines only. The time, random seeds and everything
//! received from sockets, files and other VMs are passed in as plain values, and
//! the resulting actions are returned as plain values. The same inputs therefore
//! give the same outputs on every machine, which the tests rely on. The map of
//! crates is in docs/ARCHITECTURE.md.

mod clock;
mod code;
mod cold;
mod discovery;
mod event;
mod ledger;
mod membership;
mod memory;
mod probe;
mod quarantine;
mod revision;
mod routes;
mod service;
mod spec;
mod stop_schedule;
mod store;
mod workspace;

pub use clock::{Clock, HybridClock, HybridTime, MAX_SPAN, add_span};
pub use code::{ResultCode, RunState};
pub use cold::{ColdBudget, ColdFleet, ColdPlan, ColdState};
pub use discovery::{
    AppliedRead, Directory, EmptiedDomains, Evacuations, Incarnation, LeavingTargets,
    PausedTargets, ReadTurn, RefreshTimer, SendCheck, TargetEntry, TargetList, TargetListRead,
    TargetListUpdate, UpdateContent, UpdateLog, UpdateOutcome,
};
pub use event::{Event, EventKind, EventRing};
pub use ledger::{
    Claim, ClaimState, Ledger, LedgerAction, LedgerInput, RecordedAnswer, RequestFingerprint,
    Version,
};
pub use membership::{
    ByteBudget, GossipState, Heartbeat, HeartbeatSummary, Membership, NoticeQueue, PeerState,
    PeerView, PlatformState, RoundPeers, StallDetector, TargetNotice, TargetNotices,
};
pub use memory::{HolderKey, HolderPhase, MemoryAccount, MemoryBudget, MemoryDecision};
pub use probe::{ProbeBudget, is_probe_owner};
pub use quarantine::{CrashRecord, Quarantine, QuarantineChange};
pub use revision::{
    RevisionLog, RevisionRecord, RevisionUpdate, Submission, SubmissionAction, SubmissionInput,
    Verdict,
};
pub use routes::{
    CallerLimits, ColdRate, HostRoutes, Route, RouteKey, RouteTable, RoutedService, Split,
    SplitPart,
};
pub use service::{
    Arrival, AttemptKey, AttemptKind, CallKey, Candidate, ClassKey, Counters, LoadReport, Obstacle,
    Outcome, Output, PlacementInputs, Preview, PreviewStep, Service, TargetCondition, TargetKey,
    TargetStatus,
};
pub use spec::{
    ClassKind, ClassSpec, DomainName, FleetSpec, MethodSet, Note, RepeatLimit, RequestBound,
    RouteMatch, Sampling, ServiceSpec, TargetSpec, VmName,
};
pub use stop_schedule::StopSchedule;
pub use store::{EraNotice, EraOrder, StoreEra, StoreVersion};
pub use workspace::{
    Admission, ConfigProof, FleetLimits, LimitMember, LimitMessage, LimitTerms, MemberMessage,
    MemberReply, Proofs, RateLimit, SpentToken, StoreClock, StoreTime, TokenAsk, TokenGrant,
    WorkspaceFault, WorkspaceKey, WorkspaceSpec, WorkspaceTable, parse_credential,
};
