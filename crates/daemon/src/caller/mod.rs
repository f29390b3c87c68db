//! Requests of callers: the HTTP endpoint, attempts on targets and answers.

mod answer;
mod call;
mod endpoint;
mod forward;
pub(crate) mod headers;
mod incoming;
mod once;
mod refusal;
mod report;

pub(crate) use endpoint::CallerEndpoint;
pub(crate) use report::read_report;
