//! Memory that is held for callers, reserved before it is used.

mod connection;
mod keeper;
mod reservation;

pub(crate) use connection::ConnectionMemory;
pub(crate) use keeper::MemoryKeeper;
pub(crate) use reservation::{FlowPermit, Reservation};
