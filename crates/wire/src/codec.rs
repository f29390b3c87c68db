//! Frames on a connection.

use crate::{PeerMessage, WireError, WireErrorKind};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame in bytes, which has to hold a whole operators' file.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// A connection that carries frames.
pub type Framed<T> = tokio_util::codec::Framed<T, LengthDelimitedCodec>;

/// Puts frames on a connection.
pub fn new_framed<T: AsyncRead + AsyncWrite>(io: T) -> Framed<T> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    Framed::new(io, codec)
}

/// Sends one message and returns its size in bytes, the frame included.
///
/// # Errors
///
/// Fails if the connection does.
pub async fn write_message<T>(
    framed: &mut Framed<T>,
    message: &PeerMessage,
) -> Result<usize, WireError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    let bytes = message.encode();
    let size = bytes.len() + FRAME_HEADER;
    framed.send(Bytes::from(bytes)).await?;
    Ok(size)
}

/// Receives one message; none if the peer closed the connection.
///
/// # Errors
///
/// Fails if the connection does, or if the frame is not a message.
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

const FRAME_HEADER: usize = 4;
