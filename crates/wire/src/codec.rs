//! Length-delimited frames on a connection.

use crate::{PeerMessage, WireError, WireErrorKind};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a frame, which must hold a complete operators' file.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A connection that carries length-delimited frames.
pub type Framed<T> = tokio_util::codec::Framed<T, LengthDelimitedCodec>;

/// Wraps a connection in the frame codec.
pub fn new_framed<T: AsyncRead + AsyncWrite>(io: T) -> Framed<T> {
    new_framed_with(io, MAX_FRAME_BYTES)
}

/// Wraps a connection in the frame codec with a maximum size of a frame, in bytes.
pub fn new_framed_with<T: AsyncRead + AsyncWrite>(io: T, max_bytes: usize) -> Framed<T> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec();
    Framed::new(io, codec)
}

/// Sends one message and returns its size in bytes, including the frame header.
///
/// # Errors
///
/// Fails if the connection fails.
pub async fn write_message<T>(
    framed: &mut Framed<T>,
    message: &PeerMessage,
) -> Result<usize, WireError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let bytes = message.encode();
    let size = bytes.len() + FRAME_HEADER_BYTES;
    framed.send(Bytes::from(bytes)).await?;
    Ok(size)
}

/// Receives one message, or `None` if the peer closed the connection.
///
/// # Errors
///
/// Fails if the connection fails or if the frame is not a message.
pub async fn read_message<T>(framed: &mut Framed<T>) -> Result<Option<PeerMessage>, WireError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    match framed.next().await {
        None => Ok(None),
        Some(Ok(bytes)) => PeerMessage::decode(&bytes).map(Some),
        Some(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
            Err(WireError::new(WireErrorKind::Malformed, error.to_string()))
        }
        Some(Err(error)) => Err(error.into()),
    }
}

const FRAME_HEADER_BYTES: usize = 4;
