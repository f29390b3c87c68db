//! Routing of one service: queues, limits, target choice, retries and hedges.
//!
//! Each service is a separate state machine, so a process can guard each with
//! its own lock. The design is explained in docs/decisions/0002-routing.md.

mod admission;
mod answer_times;
mod attempts;
mod budget;
mod calls;
mod class;
mod classes;
mod cold;
mod counters;
mod demand;
mod dispatch;
mod ejection;
mod fleet_budget;
mod input;
mod key;
mod limit;
mod long_slots;
mod machine;
mod output;
mod pauses;
mod pick;
mod preview;
mod records;
mod reports;
mod sampling;
mod status;
mod stop;
mod subset;
mod target;
mod view;
mod weighted_mean;

pub use counters::Counters;
pub use input::{Arrival, LoadReport, Outcome};
pub use key::{AttemptKey, CallKey, ClassKey, TargetKey};
pub use machine::Service;
pub use output::{AttemptKind, Output};
pub use preview::{Candidate, Obstacle, Preview, PreviewStep};
pub use status::{PlacementInputs, TargetCondition, TargetStatus};
