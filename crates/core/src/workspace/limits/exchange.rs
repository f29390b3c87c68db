//! How tokens move between VMs.

use super::machine::StateKey;
use super::pending::PendingAsk;
use super::{FleetLimits, LimitMessage, LimitTerms, TokenAsk, TokenGrant};
use std::net::SocketAddr;
use std::time::Duration;

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
            LimitMessage::Members(message) => {
                self.receive_members(now, from, message);
                false
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
        let set = self.members.get_set();
        let introduction = self.introduction.get_next(now, set);
        let times = [due, sweep, self.pending.get_next_overdue(), introduction];
        times.into_iter().flatten().min()
    }

    /// Handles replies that are late, and asks for tokens ahead of requests.
    pub fn tick(&mut self, now: Duration) {
        self.advance_introduction(now);
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
        // A holder gives no more than it was asked for; a larger figure would lift the limit.
        let tokens = grant.tokens.min(ask.tokens);
        // The holder gave the tokens after this ask was sent.
        let expires = ask.sent_at + state.terms.hold;
        state.borrowed.add(now, expires, tokens);
        self.ask(now, index);
        tokens > 0
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
    pub(super) fn ask(&mut self, now: Duration, index: StateKey) {
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
