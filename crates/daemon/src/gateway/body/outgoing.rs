//! The body of a request to a target.

use super::flow::Flow;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Sends a held body, or a flow to the one attempt that takes it.
#[derive(Debug)]
pub(crate) enum OutgoingBody {
    /// A body that can be sent again.
    Held {
        /// All blocks of the body.
        blocks: Rc<[Bytes]>,
        /// Index of the next block.
        next: usize,
        /// Bytes from the next block on.
        left: u64,
    },
    /// A body that arrives while it is sent.
    Flowing(Rc<Flow>),
}

impl OutgoingBody {
    /// Returns an empty body.
    pub(crate) fn empty() -> Self {
        Self::Held {
            blocks: Rc::new([]),
            next: 0,
            left: 0,
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Held { blocks, next, left } => {
                let block = blocks.get(*next).cloned();
                *next += 1;
                Poll::Ready(block.map(|block| {
                    *left -= block.len() as u64;
                    Ok(Frame::data(block))
                }))
            }
            Self::Flowing(flow) => flow.poll_part(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Held { left: 0, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held { left, .. } => SizeHint::with_exact(*left),
            Self::Flowing(flow) => flow
                .get_length()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
