//! Formatting of command output.

mod explain;
mod lines;
mod preview;
mod status;
mod svg;
mod timeline;

pub(crate) use explain::render_trace;
pub(crate) use lines::{render_line, render_result_code};
pub(crate) use preview::render_preview;
pub(crate) use status::render_status;
pub use svg::render_timeline_svg;
pub use timeline::merge_timelines;
pub(crate) use timeline::render_event;
