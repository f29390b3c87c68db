//! Reads the body of a request as far as it is held.

use super::flow::{Flow, FlowStart};
use super::held::{HeldBody, HeldBuilder};
use super::outgoing::OutgoingBody;
use super::pace::BodyPace;
use crate::gateway::memory::ConnectionMemory;
use crate::gateway::state::Gateway;
use gentianridge_core::ResultCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;
use tokio::time::timeout_at;

/// The body of a caller's request.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// Read completely; it can be sent more than once.
    Held(HeldBody),
    /// Longer than what is held; one attempt can take it, as it arrives.
    Flowing(Rc<Flow>),
}

impl RequestBody {
    /// Returns the part that was read: the whole body, or the start of a flow.
    pub(crate) fn get_start(&self) -> &HeldBody {
        match self {
            Self::Held(held) => held,
            Self::Flowing(flow) => flow.get_start(),
        }
    }

    /// Returns the bytes by which a repeated request is recognised: the whole body, or the
    /// first bytes of a flow, always the same number of them.
    pub(crate) fn get_identity(&self) -> impl Iterator<Item = &[u8]> {
        let mut left = match self {
            Self::Held(held) => held.get_length(),
            Self::Flowing(_) => FLOW_START,
        };
        self.get_start().get_blocks().iter().map(move |block| {
            let size = block.len().min(left);
            left -= size;
            &block[..size]
        })
    }

    /// Returns the length of the body, `None` if it is not known yet.
    pub(crate) fn get_length(&self) -> Option<u64> {
        match self {
            Self::Held(held) => Some(held.get_length() as u64),
            Self::Flowing(flow) => flow.get_length(),
        }
    }

    /// Returns true if the body is forwarded as it arrives, so that it can be sent only once.
    pub(crate) fn is_flowing(&self) -> bool {
        matches!(self, Self::Flowing(_))
    }

    /// Returns true if the caller is the reason for which a flow ended early.
    pub(crate) fn is_broken(&self) -> bool {
        matches!(self, Self::Flowing(flow) if flow.is_broken())
    }

    /// Returns the body for an attempt.
    pub(crate) fn make_outgoing(&self) -> OutgoingBody {
        match self {
            Self::Held(held) => OutgoingBody::Held {
                blocks: held.get_blocks().clone(),
                next: 0,
                left: held.get_length() as u64,
            },
            Self::Flowing(flow) => OutgoingBody::Flowing(flow.clone()),
        }
    }

    /// Discards what no target has taken of a flow, in a task of its own.
    pub(crate) fn discard_rest(&self) {
        if let Self::Flowing(flow) = self {
            let flow = flow.clone();
            tokio::task::spawn_local(async move { flow.discard().await });
        }
    }
}

/// Bytes of a flow that are read before a target is chosen, so that a caller that sends
/// nothing occupies no slot.
const FLOW_START: usize = 256 * 1024;

/// Reads a body whole, or the start of one that is longer than what is held.
pub(crate) async fn read_body(
    gateway: &Gateway,
    memory: &ConnectionMemory,
    mut body: Incoming,
    max: usize,
) -> Result<RequestBody, ResultCode> {
    let hint = body.size_hint();
    if hint.lower() > max as u64 {
        return Err(ResultCode::TooLarge);
    }
    let length = hint.exact();
    let max_held = memory.get_max_held_body().max(FLOW_START);
    let is_long = length.is_some_and(|length| length > max_held as u64);
    let held_limit = if is_long { FLOW_START } else { max_held };
    let expected = length.and_then(|length| usize::try_from(length).ok());
    let mut pace = BodyPace::new(gateway.clock.now(), &gateway.get_settings());
    let mut held = HeldBuilder::new(memory);
    while !body.is_end_stream() {
        if held.get_length() >= held_limit {
            let permit = memory.start_flow().ok_or(ResultCode::MemoryFull)?;
            return Ok(RequestBody::Flowing(Rc::new(Flow::new(FlowStart {
                start: held.build(),
                rest: body,
                length,
                max_length: max as u64,
                pace,
                permit,
                evicted: memory.get_evicted().clone(),
                clock: gateway.clock.clone(),
            }))));
        }
        let due = pace.get_due(gateway.clock.now());
        let frame = tokio::select! {
            biased;
            () = memory.get_evicted().cancelled() => return Err(ResultCode::MemoryFull),
            frame = timeout_at(due.into(), body.frame()) => frame.map_err(|_| ResultCode::SlowCaller)?,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => {
                log::debug!("request body truncated: {error}");
                return Err(ResultCode::BadRequest);
            }
            None => break,
        };
        if let Some(data) = frame.data_ref() {
            if held.get_length() + data.len() > max {
                return Err(ResultCode::TooLarge);
            }
            pace.record(data.len());
            held.push(memory, data, expected).await?;
        }
    }
    Ok(RequestBody::Held(held.build()))
}
