//! Bodies that fail visibly.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::io;
use tokio_util::sync::CancellationToken;

/// Repeats the first error of a body for ever.
///
/// A server that polls a failed body again would otherwise find its end there
/// and finish the answer as if it were whole.
pub fn breaking<S>(body: S) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let state = (Box::pin(body), None::<String>);
    futures_util::stream::unfold(state, |(mut body, broken)| async move {
        if let Some(text) = broken {
            return Some((Err(io::Error::other(text.clone())), (body, Some(text))));
        }
        match body.next().await? {
            Ok(chunk) => Some((Ok(chunk), (body, None))),
            Err(error) => {
                let text = error.to_string();
                Some((Err(error), (body, Some(text))))
            }
        }
    })
}

/// Ends a body with an error when the other end has gone.
pub fn until_gone<S>(
    body: S,
    gone: CancellationToken,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let state = (Box::pin(body), gone);
    futures_util::stream::unfold(state, |(mut body, gone)| async move {
        let item = tokio::select! {
            biased;
            () = gone.cancelled() => {
                Some(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the caller has gone")))
            }
            item = body.next() => item,
        };
        item.map(|item| (item, (body, gone)))
    })
}
