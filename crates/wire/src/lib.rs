//! Messages between the VMs of a fleet.
//!
//! Messages are `prost` values in length-delimited frames over TCP, and
//! datagrams on the platform. The size of a frame is bounded, and a frame that
//! cannot be decoded is an error that the reader counts, never a panic.
//! docs/decisions/0010-membership.md describes what is exchanged and why it
//! stays within its byte budget.

mod codec;
mod convert;
mod datagram;
mod error;
mod limits;
mod message;
mod state;

pub use codec::{
    Framed, MAX_FRAME_BYTES, new_framed, new_framed_with, read_message, write_message,
};
pub use convert::PeerMessage;
pub use datagram::PeerDatagram;
pub use error::{WireError, WireErrorKind};
pub use limits::LimitDatagram;
pub use state::{ConfigState, StateReply, StateRequest};
