//! Answers without end, of bytes that are no answer or no part of one.

use super::http::MessageStream;
use std::time::Duration;

/// What a target repeats without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// The reason of the start line.
    StartLine,
    /// The value of a header.
    HeaderValue,
    /// Headers.
    Headers,
    /// Interim answers, with status 103.
    InterimAnswers,
    /// Digits of a chunk's size.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// Chunks of one byte.
    Chunks,
    /// Trailers after a complete body.
    Trailers,
    /// A body without a length.
    UnframedBody,
}

impl EndlessPart {
    /// All parts.
    pub const ALL: [Self; 9] = [
        Self::Chunks,
        Self::StartLine,
        Self::HeaderValue,
        Self::Headers,
        Self::InterimAnswers,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::UnframedBody,
    ];

    /// Returns what precedes the repeated piece; `headers` are the lines of a usual answer.
    fn get_start(self, headers: &str) -> String {
        let head = format!("HTTP/1.1 200 x\r\n{headers}");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::StartLine => "HTTP/1.1 200 ".into(),
            Self::HeaderValue => format!("{head}x-more: "),
            Self::Headers => head,
            Self::InterimAnswers => String::new(),
            Self::ChunkSize | Self::Chunks => chunked,
            Self::ChunkExtension => format!("{chunked}5;"),
            Self::Trailers => format!("{chunked}5\r\nhello\r\n0\r\n"),
            Self::UnframedBody => format!("{head}\r\n"),
        }
    }

    fn get_piece(self) -> &'static str {
        match self {
            Self::StartLine | Self::HeaderValue | Self::ChunkExtension | Self::UnframedBody => "x",
            Self::Headers | Self::Trailers => "x-more: 1\r\n",
            Self::InterimAnswers => "HTTP/1.1 103 x\r\n\r\n",
            Self::ChunkSize => "0",
            Self::Chunks => "1\r\nx\r\n",
        }
    }
}

/// How fast the bytes come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPace {
    /// Some pieces a millisecond, each in a packet of its own.
    Slow,
    /// As fast as the caller reads.
    Full,
}

/// Bytes without end in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endless {
    /// What is repeated.
    pub part: EndlessPart,
    /// How fast.
    pub pace: EndlessPace,
}

impl Endless {
    /// Bytes of one write at full speed.
    const BLOCK_BYTES: usize = 64 * 1024;
    /// Pieces after which a slow target pauses.
    const SLOW_PIECES: usize = 8;

    /// Sends until the caller closes the connection; returns the number of bytes written.
    pub(super) async fn send(self, messages: &mut MessageStream, headers: &str) -> usize {
        let piece = self.part.get_piece();
        let block = match self.pace {
            EndlessPace::Slow => piece.to_owned(),
            EndlessPace::Full => piece.repeat(Self::BLOCK_BYTES / piece.len()),
        };
        // Without it the system would join the pieces.
        let _ = messages.stream.set_nodelay(true);
        let start = self.part.get_start(headers);
        let (mut sent, mut blocks) = (start.len(), 0);
        let mut is_open = messages.write(start.as_bytes()).await.is_ok();
        while is_open {
            is_open = messages.write(block.as_bytes()).await.is_ok();
            sent += block.len();
            blocks += 1;
            match self.pace {
                EndlessPace::Slow if blocks % Self::SLOW_PIECES == 0 => {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                EndlessPace::Slow | EndlessPace::Full => tokio::task::yield_now().await,
            }
        }
        sent
    }
}
