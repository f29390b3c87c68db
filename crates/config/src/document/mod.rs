//! INI documents with line numbers.

mod lines;
mod parse;

pub(crate) use parse::{Document, Entry, Section};
