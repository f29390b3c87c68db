//! Messages between the VMs of a fleet.
//!
//! Messages are `prost` values in length-delimited frames over TCP. Every
//! frame is bounded, and a frame that cannot be read is an error for the
//! reader to count, never a panic. docs/decisions/0010-membership.md says what
//! is exchanged and why it stays within its budget of bytes.

mod codec;
mod convert;
mod datagram;
mod error;
mod message;

pub use codec::{Framed, MAX_FRAME_BYTES, new_framed, read_message, write_message};
pub use convert::PeerMessage;
pub use datagram::PeerDatagram;
pub use error::{WireError, WireErrorKind};
