//! Requests for the state of peers, and the answers to theirs, over connections.

use crate::gateway::state::Gateway;
use crate::telemetry::STATE_LOG_TARGET;
use anyhow::Context;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use gentianridge_core::TargetListUpdate;
use gentianridge_wire::{ConfigState, Framed, StateReply, StateRequest, new_framed_with};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Longest time for a connection to a peer; within a region it takes milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time for a request and its reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time in which a peer has to send its request and to receive the reply.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that are answered at the same time; others wait in the listener.
const MAX_CONCURRENT: usize = 8;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Requests from a peer the state that this VM lacks.
///
/// # Errors
///
/// Fails if the peer does not answer in time or its reply cannot be decoded.
pub(super) async fn fetch_state(
    addr: SocketAddr,
    request: &StateRequest,
) -> anyhow::Result<StateReply> {
    let exchange = async {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connect.await.context("no connection")??;
        stream.set_nodelay(true)?;
        let mut framed = new_framed_with(stream, StateReply::MAX_BYTES);
        framed.send(Bytes::from(request.encode())).await?;
        let reply = framed.next().await.context("no reply")??;
        Ok(StateReply::decode(&reply)?)
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .context("no reply in time")?
}

/// Answers the requests of peers until the task is dropped.
pub(crate) async fn run_state_server(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    let limit = Arc::new(Semaphore::new(MAX_CONCURRENT));
    loop {
        let Ok(permit) = limit.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection of a peer: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let served = tokio::time::timeout(SERVE_TIMEOUT, serve(&gateway, stream)).await;
            match served {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::info!(
                    target: STATE_LOG_TARGET,
                    "request of a peer for the state failed: {error:#}"
                ),
                Err(_) => log::debug!("request of a peer for the state timed out"),
            }
            drop(permit);
        });
    }
}

async fn serve(gateway: &Gateway, stream: TcpStream) -> anyhow::Result<()> {
    stream.set_nodelay(true)?;
    let mut framed: Framed<TcpStream> = new_framed_with(stream, StateRequest::MAX_BYTES);
    let Some(frame) = framed.next().await else {
        return Ok(());
    };
    let request = StateRequest::decode(&frame?)?;
    let reply = make_reply(gateway, &request).encode();
    gateway.metrics.record_state_reply(reply.len());
    framed
        .codec_mut()
        .set_max_frame_length(StateReply::MAX_BYTES);
    framed.send(Bytes::from(reply)).await?;
    Ok(())
}

fn make_reply(gateway: &Gateway, request: &StateRequest) -> StateReply {
    let now = gateway.clock.now();
    let is_config_newer = gateway.get_version() > request.revision;
    let config = gateway.get_config_value().filter(|_| is_config_newer);
    let mut reply = StateReply {
        config: config.map(|value| ConfigState {
            revision: gateway.get_version(),
            value: value.to_vec(),
        }),
        list: make_list(gateway, request),
        peers: Vec::new(),
        absent: Vec::new(),
        vms: 0,
        evacuations: gateway.list.borrow().get_emptied().get_message(),
        proof: gateway.get_proof(),
        store_time: gateway.get_store_time(),
        era: gateway.get_era_notice(),
    };
    if request.needs_peers {
        let mut gossip = gateway.peers.gossip.borrow_mut();
        reply.peers = gossip.get_live_views(now);
        reply.absent = gossip.get_absent(now);
        reply.vms = u32::from(gossip.count_vms(now));
        drop(gossip);
        reply.peers.push(gateway.make_own_view());
    }
    reply
}

/// Returns what the peer lacks of the target list: the changes since its version if
/// this VM has them, otherwise the complete list.
fn make_list(gateway: &Gateway, request: &StateRequest) -> Option<TargetListUpdate> {
    let now = gateway.clock.now();
    let list = gateway.list.borrow();
    let version = list.get_version()?;
    if request.list_version > Some(version) {
        return None;
    }
    let since = request.list_version.filter(|_| !request.needs_full_list);
    let changes = since.and_then(|since| gateway.update_log.borrow().merge_since(since));
    let update = match changes.filter(|changes| changes.version == version) {
        Some(mut changes) => {
            list.update_cold_left(now, &mut changes.entries);
            TargetListUpdate {
                age: list.get_age(now)?,
                settle_left: list.get_settle_left(now),
                ..changes
            }
        }
        None => list.make_full_update(now)?,
    };
    Some(TargetListUpdate {
        revision: gateway.get_version(),
        ..update
    })
}
