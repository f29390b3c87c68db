//! State of one limit on one VM.

use super::super::RateLimit;
use super::borrowed::BorrowedTokens;
use super::bucket::{BucketStart, TokenBucket};
use super::contention::Contention;
use super::decaying_rate::DecayingRate;
use super::declared::DeclaredLimit;
use super::members::{Holders, LimitMembers};
use super::source::Source;
use super::{LimitTerms, SpentToken};
use crate::WorkspaceKey;
use std::time::Duration;

/// State of a limit that was used lately.
#[derive(Debug)]
pub(super) struct LimitState {
    pub(super) key: WorkspaceKey,
    pub(super) limit: RateLimit,
    pub(super) terms: LimitTerms,
    /// Number of the division that `terms` and `holders` belong to.
    pub(super) division: u32,
    /// Tokens of this VM, if it is a holder.
    pub(super) bucket: Option<TokenBucket>,
    pub(super) borrowed: BorrowedTokens,
    holders: Holders,
    /// The other holders, once this VM has needed one.
    pub(super) sources: Vec<Source>,
    pub(super) contention: Contention,
    pub(super) demand: DecayingRate,
    admitted: DecayingRate,
    /// Requests that wait for tokens.
    pub(super) waiting: u32,
    /// Time stated to the last refused caller.
    next_return: Duration,
    pub(super) last_use: Duration,
}

impl LimitState {
    /// Part of the requests of the time for which tokens are held that are fetched ahead.
    const AHEAD_PART: f64 = 0.75;
    /// Part of the tokens ahead that is left when more are fetched.
    const LOW_PART: f64 = 0.4;
    /// Longest time stated to refused callers.
    const MAX_RETURN: Duration = Duration::from_secs(5);
    /// Time beside that of filling the bucket after which an unused state is dropped.
    const IDLE_TIME: Duration = Duration::from_secs(2);

    /// Creates the state of a limit that has not been used since `start`.
    pub(super) fn new(
        now: Duration,
        declared: DeclaredLimit,
        division: u32,
        terms: LimitTerms,
        members: &LimitMembers,
        start: BucketStart,
    ) -> Self {
        let holders = members.choose_holders(declared.key, terms.parts);
        let parts = f64::from(holders.own_parts);
        let (rate, capacity) = (terms.rate * parts, terms.capacity * parts);
        let bucket =
            (parts > 0.0).then(|| TokenBucket::new(now, start.scale(parts), rate, capacity));
        Self {
            key: declared.key,
            limit: declared.limit,
            terms,
            division,
            bucket,
            borrowed: BorrowedTokens::default(),
            holders,
            sources: Vec::new(),
            contention: Contention::default(),
            demand: DecayingRate::default(),
            admitted: DecayingRate::default(),
            waiting: 0,
            next_return: now,
            last_use: now,
        }
    }

    /// Divides the limit anew. The first parts of this VM are those of a bucket that started
    /// at `start`; further ones bring no tokens, and what the parts that it keeps cannot hold
    /// is dropped.
    pub(super) fn divide(
        &mut self,
        now: Duration,
        limit: RateLimit,
        division: u32,
        terms: LimitTerms,
        members: &LimitMembers,
        start: BucketStart,
    ) {
        self.limit = limit;
        self.terms = terms;
        self.division = division;
        self.holders = members.choose_holders(self.key, terms.parts);
        self.sources.clear();
        let parts = f64::from(self.holders.own_parts);
        let (rate, capacity) = (terms.rate * parts, terms.capacity * parts);
        self.bucket = (parts > 0.0).then(|| match self.bucket {
            Some(mut bucket) => {
                bucket.set_size(now, rate, capacity);
                bucket
            }
            None => TokenBucket::new(now, start.scale(parts), rate, capacity),
        });
    }

    /// Returns the number of parts of this VM.
    pub(super) fn get_own_parts(&self) -> u16 {
        self.holders.own_parts
    }

    /// Takes a token for a request, a borrowed one first.
    pub(super) fn take(&mut self, now: Duration) -> Option<SpentToken> {
        let expires = self.borrowed.take(now).or_else(|| {
            let taken = self.bucket.as_mut()?.take(now, 1);
            (taken == 1).then(|| now + self.terms.hold)
        })?;
        self.admitted.record(now);
        Some(SpentToken {
            workspace: self.key,
            expires,
        })
    }

    /// Takes up to `count` tokens for a peer; returns how many, and the level that is left.
    pub(super) fn hand_over(&mut self, now: Duration, count: u32) -> (u32, f64) {
        let Some(bucket) = &mut self.bucket else {
            return (0, 0.0);
        };
        let reserved = self.waiting.min(bucket.get_level(now) as u32);
        let free = bucket.get_level(now) as u32 - reserved;
        let taken = bucket.take(now, count.min(free));
        (taken, bucket.get_level(now))
    }

    /// Returns the whole tokens of this VM.
    pub(super) fn count_held(&mut self, now: Duration) -> u32 {
        let own = self.bucket.as_mut().map_or(0.0, |b| b.get_level(now));
        own as u32 + self.borrowed.count(now)
    }

    /// Returns the tokens that this VM needs beside those that it has and `expected` ones;
    /// 0 while these last for a while, so that one message brings several.
    pub(super) fn count_needed(&mut self, now: Duration, expected: u32) -> u32 {
        let held = self.count_held(now) + expected;
        // Only what is used before it is void is fetched ahead.
        let ahead = self.demand.get(now) * self.terms.hold.as_secs_f64() * Self::AHEAD_PART;
        let low = self.waiting + (ahead * Self::LOW_PART) as u32;
        if held > low {
            return 0;
        }
        (self.waiting + ahead as u32).saturating_sub(held)
    }

    /// Returns the sources, those in the own failure domain first; each VM has another
    /// order, so that not all start with the same one.
    pub(super) fn get_sources(&mut self, members: &LimitMembers) -> &mut Vec<Source> {
        if self.sources.is_empty() {
            let capacity = self.terms.capacity;
            let sources = self.holders.others.iter();
            self.sources = sources
                .map(|&(at, parts)| Source::new(at, parts, capacity))
                .collect();
            self.sources
                .sort_by_key(|source| members.get_order(source.member));
        }
        &mut self.sources
    }

    /// Returns the time after which the next refused caller finds room.
    ///
    /// Each caller gets a time of its own, at the rate at which this VM admits requests.
    pub(super) fn next_return(&mut self, now: Duration, members: usize) -> Duration {
        let share = self.limit.per_second / members as f64;
        let rate = self.admitted.get(now).max(share).max(f64::MIN_POSITIVE);
        let gap = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Self::MAX_RETURN);
        let next = self.next_return.max(now) + gap;
        self.next_return = next.min(now + Self::MAX_RETURN);
        self.next_return - now
    }

    /// Returns true if the state is as it would be if it were created now.
    pub(super) fn is_idle(&self, now: Duration) -> bool {
        let fill = self.terms.capacity / self.terms.rate;
        let fill = Duration::try_from_secs_f64(fill).unwrap_or(Duration::MAX);
        self.waiting == 0
            && now.saturating_sub(self.last_use) > fill.saturating_add(Self::IDLE_TIME)
    }
}
