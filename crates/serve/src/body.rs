//! Bodies whose failure aborts the connection.

use crate::Connection;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::io;

/// Aborts the connection when the body fails, and fails the body when the peer
/// disconnects.
///
/// A server that polls a connection again after its body has failed would
/// otherwise end the answer as if it were complete.
pub fn guard_body<S>(
    body: S,
    connection: Connection,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let busy = connection.mark_busy();
    let state = (Box::pin(body), connection, busy);
    futures_util::stream::unfold(state, |(mut body, connection, busy)| async move {
        let item = tokio::select! {
            biased;
            () = connection.get_closed_token().cancelled() => {
                Some(Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the caller has gone")))
            }
            item = body.next() => item,
        }?;
        if item.is_err() {
            connection.abort();
        }
        Some((item, (body, connection, busy)))
    })
}
