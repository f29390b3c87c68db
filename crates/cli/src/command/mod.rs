//! The commands.

mod check;
mod explain;
mod preview;
mod run;
mod status;
mod submit;
mod timeline;

pub use run::run;
