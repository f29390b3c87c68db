//! Admission by the limits of workspaces.

use super::bucket::BucketStart;
use super::byte_budget::LimitByteBudget;
use super::declared::DeclaredLimit;
use super::members::LimitMembers;
use super::pending::{PendingAsk, PendingAsks};
use super::state::LimitState;
use super::{Admission, LimitMember, LimitMessage, LimitTerms, SpentToken, TokenAsk, TokenGrant};
use crate::{RateLimit, RequestBound, VmName, WorkspaceKey};
use slotmap::{SlotMap, new_key_type};
use std::net::SocketAddr;
use std::time::Duration;

new_key_type! {
    /// Place of the state of one limit.
    struct StateKey;
}

/// The limits of all workspaces, on one VM.
///
/// Times are those of a clock that counts while the machine is suspended: a token that
/// waited in a suspended machine is void.
#[derive(Debug)]
pub struct FleetLimits {
    window: Duration,
    bound: RequestBound,
    members: LimitMembers,
    /// Time of the start, or of the last change that may have made this VM a holder:
    /// nothing is known of tokens that were spent before. `None` if none were.
    since: Option<Duration>,
    /// True if `since` is the start of this process.
    is_since_start: bool,
    is_first_start: bool,
    /// Raised by each change that divides limits anew.
    division: u32,
    /// In the order of keys.
    declared: Vec<DeclaredLimit>,
    states: SlotMap<StateKey, LimitState>,
    /// Workspaces with state, in the order of keys.
    active: Vec<(WorkspaceKey, StateKey)>,
    pending: PendingAsks,
    next_nonce: u32,
    budget: LimitByteBudget,
    outgoing: Vec<(SocketAddr, LimitMessage)>,
    /// Workspaces that may need tokens ahead of requests.
    due: Vec<WorkspaceKey>,
    next_sweep: Duration,
}

/// Setting up.
impl FleetLimits {
    /// Time for which a removed limit is remembered. After it, nothing that the limit
    /// admitted is in a window any more.
    const REMOVED_RETENTION: Duration = Duration::from_secs(60);

    /// Creates the limits of a VM that has just started; `nonce` is random, so that
    /// replies to an earlier process are not taken for replies to this one. No token was
    /// spent before the first start of a fleet.
    pub fn new(now: Duration, me: &VmName, nonce: u32, is_first_start: bool) -> Self {
        Self {
            window: Duration::from_secs(1),
            bound: RequestBound::EXACT,
            members: LimitMembers::new(me),
            since: (!is_first_start).then_some(now),
            is_since_start: true,
            is_first_start,
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
    }

    /// Records that the VMs listed so far are all of the fleet. Until then this VM
    /// holds no part of any limit.
    pub fn set_fleet_known(&mut self) {
        if self.members.set_known() {
            self.division += 1;
        }
    }

    /// Returns true if the configuration limits any workspace.
    pub fn is_limiting(&self) -> bool {
        self.declared.iter().any(DeclaredLimit::is_declared)
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

/// Exchange with peers.
impl FleetLimits {
    /// Holders that are asked at once for one workspace.
    const MAX_ASKED: usize = 4;
    /// Time for which an ask is remembered, at least as long as tokens are held.
    const ASK_RETENTION: Duration = Duration::from_secs(1);
    /// Time between two checks of the workspaces that need tokens ahead.
    const DUE_PERIOD: Duration = Duration::from_millis(20);
    /// Time between two sweeps of unused states.
    const SWEEP_PERIOD: Duration = Duration::from_secs(1);

    /// Applies a message of a peer; returns true if tokens were received.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, message: LimitMessage) -> bool {
        match message {
            LimitMessage::Asks(nonce, asks) => {
                self.grant(now, from, nonce, &asks);
                false
            }
            LimitMessage::Grants(nonce, grants) => {
                let mut has_tokens = false;
                for grant in grants {
                    has_tokens |= self.receive_grant(now, from, nonce, grant);
                }
                has_tokens
            }
        }
    }

    /// Returns true if there are messages to send or workspaces that need tokens ahead.
    pub fn has_work(&self) -> bool {
        !self.outgoing.is_empty() || !self.due.is_empty()
    }

    /// Returns the messages to send now.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, LimitMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the time of the next [`Self::tick`], `None` while nothing is active.
    pub fn get_next_tick(&self, now: Duration) -> Option<Duration> {
        let due = (!self.due.is_empty()).then(|| now + Self::DUE_PERIOD);
        let sweep = (!self.active.is_empty()).then_some(self.next_sweep);
        let times = [due, sweep, self.pending.get_next_overdue()];
        times.into_iter().flatten().min()
    }

    /// Handles replies that are late, and asks for tokens ahead of requests.
    pub fn tick(&mut self, now: Duration) {
        for ask in self.pending.expire(now, Self::ASK_RETENTION) {
            self.record_silence(now, &ask);
        }
        for key in std::mem::take(&mut self.due) {
            if let Some(index) = self.activate(now, key) {
                self.ask(now, index);
            }
        }
        if now >= self.next_sweep {
            self.next_sweep = now + Self::SWEEP_PERIOD;
            let states = &mut self.states;
            self.active.retain(|(_, index)| {
                let is_idle = states.get(*index).is_none_or(|state| state.is_idle(now));
                if is_idle {
                    states.remove(*index);
                }
                !is_idle
            });
        }
    }

    /// Hands tokens over to a peer. They leave this VM even if the reply is lost.
    fn grant(&mut self, now: Duration, to: SocketAddr, nonce: u32, asks: &[TokenAsk]) {
        let empty = asks.iter().map(|ask| TokenGrant {
            workspace: ask.workspace,
            tokens: 0,
            left_percent: 0,
        });
        let mut reply = LimitMessage::Grants(nonce, empty.collect());
        if !self.budget.try_grant(now, reply.get_max_size()) {
            return;
        }
        if let LimitMessage::Grants(_, grants) = &mut reply {
            for (grant, ask) in grants.iter_mut().zip(asks) {
                if let Some(index) = self.activate(now, ask.workspace) {
                    let state = &mut self.states[index];
                    state.last_use = now;
                    let (tokens, left) = state.hand_over(now, ask.tokens);
                    grant.tokens = tokens;
                    grant.left_percent = (left * 100.0) as u32;
                }
            }
        }
        self.outgoing.push((to, reply));
    }

    fn receive_grant(
        &mut self,
        now: Duration,
        from: SocketAddr,
        nonce: u32,
        grant: TokenGrant,
    ) -> bool {
        let Some(ask) = self.pending.take(nonce, from) else {
            return false;
        };
        let Some(index) = self.activate(now, ask.workspace) else {
            return false;
        };
        let members = &self.members;
        let state = &mut self.states[index];
        let mut sources = state.sources.iter_mut();
        let source = sources.find(|source| members.get_addr(source.member) == Some(from));
        if let Some(source) = source {
            let left = f64::from(grant.left_percent) / 100.0;
            source.record_grant(now, ask.tokens, grant.tokens, left);
        }
        let holders = state.sources.len() as u32;
        state.contention.record(now, grant.tokens > 0, holders);
        if ask.workspace != grant.workspace {
            return false;
        }
        // The holder gave the tokens after this ask was sent.
        let expires = ask.sent_at + state.terms.hold;
        state.borrowed.add(now, expires, grant.tokens);
        self.ask(now, index);
        grant.tokens > 0
    }

    fn record_silence(&mut self, now: Duration, ask: &PendingAsk) {
        let Some(index) = self.activate(now, ask.workspace) else {
            return;
        };
        let members = &self.members;
        let sources = self.states[index].sources.iter_mut();
        for source in sources {
            if members.get_addr(source.member) == Some(ask.addr) {
                source.record_silence(now);
            }
        }
        if self.states[index].waiting > 0 {
            self.ask(now, index);
        }
    }

    /// Asks holders for the tokens that a workspace needs beside those asked for.
    fn ask(&mut self, now: Duration, index: StateKey) {
        let state = &mut self.states[index];
        let key = state.key;
        if !state.contention.may_ask(now) {
            return;
        }
        let expected = self.pending.count_expected(key);
        let mut needed = state.count_needed(now, expected);
        let LimitTerms { rate, capacity, .. } = state.terms;
        for _ in 0..Self::MAX_ASKED {
            if needed == 0 {
                return;
            }
            // The first of equal ones is the last in reverse order.
            let sources = state.get_sources(&self.members).iter_mut().rev();
            let best = sources.max_by_key(|source| source.estimate(now, rate, capacity));
            let Some(source) = best else { return };
            let tokens = source.estimate(now, rate, capacity).min(needed);
            let asks = vec![TokenAsk {
                workspace: key,
                tokens,
            }];
            let message = LimitMessage::Asks(self.next_nonce, asks);
            if tokens == 0 || !self.budget.try_ask(now, message.get_max_size()) {
                return;
            }
            source.is_asked = true;
            needed -= tokens;
            let addr = self.members.get(source.member).addr;
            self.pending.push(PendingAsk {
                nonce: self.next_nonce,
                sent_at: now,
                addr,
                workspace: key,
                tokens,
                is_overdue: false,
            });
            self.next_nonce = self.next_nonce.wrapping_add(1);
            self.outgoing.push((addr, message));
        }
    }
}

/// Finding states.
impl FleetLimits {
    /// Returns the key of a workspace's state, which is created if it is missing;
    /// `None` if the workspace has no limit.
    fn activate(&mut self, now: Duration, key: WorkspaceKey) -> Option<StateKey> {
        let declared = *self.find_declared(key)?;
        let found = self.find_active(key);
        if let Some(index) = found {
            let state = &self.states[index];
            if state.division == self.division && state.limit == declared.limit {
                return Some(index);
            }
        }
        let members = self.members.count();
        let terms = LimitTerms::new(declared.limit, self.window, self.bound, members);
        Some(match found {
            Some(index) => {
                let state = &mut self.states[index];
                state.divide(now, declared.limit, self.division, terms, &self.members);
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

    fn find_active(&self, key: WorkspaceKey) -> Option<StateKey> {
        let place = self.active.binary_search_by_key(&key, |(other, _)| *other);
        place.ok().map(|place| self.active[place].1)
    }
}
