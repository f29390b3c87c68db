//! Admission by the limits of workspaces.

use super::bucket::BucketStart;
use super::byte_budget::LimitByteBudget;
use super::declared::DeclaredLimit;
use super::introduction::Introduction;
use super::members::LimitMembers;
use super::pending::PendingAsks;
use super::state::LimitState;
use super::{Admission, LimitMember, LimitMessage, LimitTerms, SpentToken};
use crate::{RateLimit, RequestBound, VmName, WorkspaceKey};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;

new_key_type! {
    /// Place of the state of one limit.
    pub(super) struct StateKey;
}

/// The limits of all workspaces, on one VM.
///
/// Times are those of a clock that counts while the machine is suspended: a token that
/// waited in a suspended machine is void.
#[derive(Debug)]
pub struct FleetLimits {
    pub(super) window: Duration,
    pub(super) bound: RequestBound,
    pub(super) members: LimitMembers,
    pub(super) introduction: Introduction,
    /// Time at which the known VMs were last listed.
    listed_at: Option<Duration>,
    /// Time of the start, or of the last change that may have made this VM a holder:
    /// nothing is known of tokens that were spent before. `None` if none were.
    pub(super) since: Option<Duration>,
    /// True if `since` is the start of this process.
    pub(super) is_since_start: bool,
    pub(super) is_first_start: bool,
    /// Time of the start of this process, or of its last introduction if it did not run for
    /// long.
    pub(super) started: Duration,
    /// Division from which on this VM may hold parts.
    pub(super) introduced_at: u32,
    /// Raised by each change that divides limits anew.
    pub(super) division: u32,
    /// In the order of keys.
    pub(super) declared: Vec<DeclaredLimit>,
    pub(super) states: SlotMap<StateKey, LimitState>,
    /// Workspaces with state, in the order of keys.
    pub(super) active: Vec<(WorkspaceKey, StateKey)>,
    pub(super) pending: PendingAsks,
    pub(super) next_nonce: u32,
    pub(super) budget: LimitByteBudget,
    pub(super) outgoing: Vec<(SocketAddr, LimitMessage)>,
    /// Workspaces that may need tokens ahead of requests.
    pub(super) due: Vec<WorkspaceKey>,
    pub(super) next_sweep: Duration,
}

/// Setting up.
impl FleetLimits {
    /// Time for which a removed limit is remembered. After it, nothing that the limit
    /// admitted is in a window any more.
    const REMOVED_RETENTION: Duration = Duration::from_secs(60);
    /// Time after which a VM that did not run introduces itself again, before others take its
    /// parts.
    const MAX_PAUSE: Duration = Duration::from_secs(30);

    /// Creates the limits of a VM that has just started; `nonce` is random, so that
    /// replies to an earlier process are not taken for replies to this one. No token was
    /// spent before the first start of a fleet.
    pub fn new(now: Duration, me: &VmName, nonce: u32, is_first_start: bool) -> Self {
        Self {
            window: Duration::from_secs(1),
            bound: RequestBound::EXACT,
            members: LimitMembers::new(me),
            introduction: Introduction::new(nonce),
            listed_at: None,
            since: (!is_first_start).then_some(now),
            is_since_start: true,
            is_first_start,
            started: now,
            introduced_at: 0,
            division: 0,
            declared: Vec::new(),
            states: SlotMap::with_key(),
            active: Vec::new(),
            pending: PendingAsks::default(),
            next_nonce: nonce,
            budget: LimitByteBudget::default(),
            outgoing: Vec::new(),
            due: Vec::new(),
            next_sweep: now,
        }
    }

    /// Sets the window and the tolerance of all limits.
    pub fn set_bound(&mut self, window: Duration, bound: RequestBound) {
        if (self.window, self.bound) != (window, bound) {
            (self.window, self.bound) = (window, bound);
            self.division += 1;
        }
    }

    /// Sets the limits of the configuration in force.
    ///
    /// A workspace that this process sees added starts with all its tokens, and a changed
    /// limit with none beyond those that are there. Removed limits are remembered for a
    /// while, so that one that returns brings no tokens.
    pub fn declare(&mut self, now: Duration, mut limits: Vec<(WorkspaceKey, RateLimit)>) {
        limits.sort_unstable_by_key(|(key, _)| *key);
        let is_first = self.declared.is_empty() && !self.is_first_start;
        let declared = limits.into_iter().map(|(key, limit)| {
            let since = match self.find_known(key) {
                Some(known) if known.limit == limit => known.since,
                None if !is_first => None,
                Some(_) | None => Some(now),
            };
            DeclaredLimit::new(key, limit, since)
        });
        let mut declared: Vec<DeclaredLimit> = declared.collect();
        for known in &self.declared {
            let is_declared = declared.binary_search_by_key(&known.key, |limit| limit.key);
            if let Err(index) = is_declared
                && let Some(removed) = known.remove(now, Self::REMOVED_RETENTION)
            {
                declared.insert(index, removed);
            }
        }
        self.declared = declared;
    }

    /// Records the VMs that are known now; all others are kept for a long time.
    pub fn list_members(&mut self, now: Duration, members: &[LimitMember]) {
        let listed_at = self.listed_at.replace(now).unwrap_or(now);
        if now.saturating_sub(listed_at) >= Self::MAX_PAUSE {
            self.introduce_again(now);
        }
        let change = self.members.list(now, members);
        if change.has_added || change.has_removed {
            self.division += 1;
        }
        // The VMs that are added take the place of others; only where some are removed
        // may this VM hold what it did not hold before.
        if change.has_removed {
            self.since = Some(now);
            self.is_since_start = false;
        }
        self.advance_introduction(now);
    }

    /// Returns true if the configuration limits any workspace.
    pub fn is_limiting(&self) -> bool {
        self.declared.iter().any(DeclaredLimit::is_declared)
    }

    /// Returns the parts of a workspace's limit that this VM holds, and all of them; `None` if
    /// it has no limit.
    pub fn get_parts(&mut self, now: Duration, key: WorkspaceKey) -> Option<(u16, usize)> {
        let index = self.activate(now, key)?;
        let state = &self.states[index];
        Some((state.get_own_parts(), state.terms.parts))
    }

    /// Returns the number of workspaces with state.
    pub fn count_active(&self) -> usize {
        self.active.len()
    }
}

/// Requests.
impl FleetLimits {
    /// Longest time for which a request waits for tokens: some replies of peers.
    pub const MAX_WAIT: Duration = Duration::from_millis(60);

    /// Decides about a request that has just arrived. One that [`Admission::Waits`] is
    /// followed by [`Self::retry`] or [`Self::give_up`].
    pub fn admit(&mut self, now: Duration, key: WorkspaceKey) -> Admission {
        let Some(index) = self.activate(now, key) else {
            return Admission::Unlimited;
        };
        let state = &mut self.states[index];
        state.last_use = now;
        state.demand.record(now);
        if state.count_held(now) > state.waiting
            && let Some(token) = state.take(now)
        {
            if state.count_needed(now, 0) > 0 && !self.due.contains(&key) {
                self.due.push(key);
            }
            return Admission::Admitted(token);
        }
        state.waiting += 1;
        self.ask(now, index);
        let state = &mut self.states[index];
        if state.count_held(now) + self.pending.count_expected(key) >= state.waiting {
            return Admission::Waits;
        }
        Admission::Refused(self.refuse(now, index))
    }

    /// Decides about a request that waits.
    pub fn retry(&mut self, now: Duration, key: WorkspaceKey) -> Admission {
        let Some(index) = self.activate(now, key) else {
            return Admission::Unlimited;
        };
        let state = &mut self.states[index];
        if let Some(token) = state.take(now) {
            state.waiting = state.waiting.saturating_sub(1);
            return Admission::Admitted(token);
        }
        if self.pending.count_expected(key) > 0 {
            return Admission::Waits;
        }
        Admission::Refused(self.refuse(now, index))
    }

    /// Ends the wait of a request; returns the time after which there is room.
    pub fn give_up(&mut self, now: Duration, key: WorkspaceKey) -> Duration {
        match self.activate(now, key) {
            Some(index) => self.refuse(now, index),
            None => Duration::ZERO,
        }
    }

    /// Takes back the token of a request that has not run and will not.
    pub fn give_back(&mut self, now: Duration, token: SpentToken) {
        if let Some(index) = self.find_active(token.workspace) {
            self.states[index].borrowed.add(now, token.expires, 1);
        }
    }

    fn refuse(&mut self, now: Duration, index: StateKey) -> Duration {
        let members = self.members.count();
        let state = &mut self.states[index];
        state.waiting = state.waiting.saturating_sub(1);
        state.next_return(now, members)
    }
}

/// Finding states.
impl FleetLimits {
    /// Returns the key of a workspace's state, which is created if it is missing;
    /// `None` if the workspace has no limit.
    pub(super) fn activate(&mut self, now: Duration, key: WorkspaceKey) -> Option<StateKey> {
        let declared = *self.find_declared(key)?;
        let found = self.find_active(key);
        if let Some(index) = found {
            let state = &self.states[index];
            if state.division == self.division && state.limit == declared.limit {
                return Some(index);
            }
        }
        let terms = LimitTerms::new(declared.limit, self.window, self.bound);
        Some(match found {
            Some(index) => {
                let is_introduced_since = self.states[index].division < self.introduced_at;
                let start = match is_introduced_since {
                    true => self.make_start(now, &declared, terms.start_level),
                    false => BucketStart::empty(now),
                };
                let (division, members) = (self.division, &self.members);
                let state = &mut self.states[index];
                state.divide(now, declared.limit, division, terms, members, start);
                index
            }
            None => {
                let start = self.make_start(now, &declared, terms.start_level);
                let (division, members) = (self.division, &self.members);
                let state = LimitState::new(now, declared, division, terms, members, start);
                let index = self.states.insert(state);
                let place = self.active.partition_point(|(other, _)| *other < key);
                self.active.insert(place, (key, index));
                index
            }
        })
    }

    /// Returns what is known of the tokens of a limit without state.
    fn make_start(&self, now: Duration, declared: &DeclaredLimit, level: f64) -> BucketStart {
        let Some(since) = self.since.max(declared.since) else {
            return BucketStart::full(now);
        };
        let is_since_start = self.is_since_start && Some(since) == self.since;
        BucketStart {
            since,
            level: if is_since_start { level } else { 0.0 },
        }
    }

    fn find_declared(&self, key: WorkspaceKey) -> Option<&DeclaredLimit> {
        self.find_known(key).filter(|limit| limit.is_declared())
    }

    /// Returns a limit that is declared or was removed lately.
    fn find_known(&self, key: WorkspaceKey) -> Option<&DeclaredLimit> {
        let index = self.declared.binary_search_by_key(&key, |limit| limit.key);
        index.ok().map(|index| &self.declared[index])
    }

    pub(super) fn find_active(&self, key: WorkspaceKey) -> Option<StateKey> {
        let place = self.active.binary_search_by_key(&key, |(other, _)| *other);
        place.ok().map(|place| self.active[place].1)
    }
}
