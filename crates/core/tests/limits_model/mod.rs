//! A fleet that shares limits, on a virtual clock: links that lose, delay and repeat
//! messages, VMs that pause and restart, partitions, and changes of members and limits.

mod processes;

use gentianridge_core::{
    Admission, FleetLimits, LimitMember, LimitMessage, MemberMessage, MemberReply, RateLimit,
    RequestBound, SpentToken, TokenGrant, WorkspaceKey,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Window over which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// Tolerance of the limits.
pub(crate) const BOUND: RequestBound = RequestBound {
    excess_percent: 10,
    slack: 20,
};
/// Time between two lists of the known VMs.
const LIST_PERIOD: Duration = Duration::from_millis(300);
/// Failure domains of the fleet.
const DOMAINS: usize = 3;
/// VMs that a process asks for their state when it starts.
const SEEDS: usize = 3;
/// VMs to which a VM sends in one round.
const FANOUT: usize = 4;

/// A guard that the model leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// The product as it is.
    None,
    /// A process that has just started assumes that no token was spent before.
    FullAtStart,
    /// VMs that are out of reach are forgotten at once.
    ForgetsSilent,
    /// The clock stands still while a VM is paused.
    ClockStops,
    /// A repeated grant brings its tokens again.
    RepeatsCount,
    /// Limits are divided before the other VMs are known.
    AssumesAlone,
    /// The VMs that one peer names are taken for all, and the members of others are not
    /// merged.
    TrustsOnePeer,
    /// A process holds parts before the others count it.
    SkipsReplies,
    /// A new VM does not wait for those that it cannot reach.
    NewIsReturning,
}

/// How links behave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Links {
    pub(crate) lost: f64,
    pub(crate) repeated: f64,
    pub(crate) min_delay: Duration,
    pub(crate) max_delay: Duration,
}

impl Links {
    /// Links within a region.
    pub(crate) const CALM: Self = Self {
        lost: 0.0,
        repeated: 0.0,
        min_delay: Duration::from_micros(500),
        max_delay: Duration::from_millis(3),
    };
}

/// A workspace and what it asked for.
#[derive(Debug)]
pub(crate) struct Workspace {
    pub(crate) key: WorkspaceKey,
    pub(crate) limit: RateLimit,
    /// Times at which requests were admitted.
    pub(crate) admitted: Vec<Duration>,
    /// Requests that a single bucket of the whole limit admits.
    pub(crate) within: u64,
    /// Of these, requests that were refused.
    pub(crate) refused: u64,
    level: f64,
    level_at: Duration,
}

#[derive(Debug)]
struct Waiting {
    workspace: usize,
    until: Duration,
    is_within: bool,
}

#[derive(Debug)]
struct Vm {
    limits: FleetLimits,
    member: LimitMember,
    group: u32,
    paused_until: Duration,
    /// Time for which the VM's clock stood still; only a mutant's does.
    lag: Duration,
    waiting: Vec<Waiting>,
    /// Senders and numbers of the grants that have arrived, and a spent token of each
    /// workspace; for a mutant.
    granted: HashSet<(usize, u32)>,
    spent: HashMap<WorkspaceKey, SpentToken>,
    /// VMs that gossip or rows have named.
    known: BTreeSet<usize>,
    /// False while there is no process.
    is_up: bool,
    started_at: Duration,
    /// Number of the process.
    process: u32,
    /// Time of the next tick, so that each VM has one at a time.
    tick_at: Option<Duration>,
    /// True if a row of this VM is in the store.
    has_row: bool,
    bytes: u64,
}

/// A VM and the number of its process; what is due for an earlier process is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Process {
    vm: usize,
    number: u32,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Arrive(usize, usize),
    Deliver(usize, usize, LimitMessage),
    Tick(usize),
    /// A VM lists the VMs that it knows.
    List(Process),
    /// A VM reads the rows; true if its own was there before.
    ReadRows(Process, bool),
    /// The answer of a seed that names these VMs.
    SeedReply(Process, Vec<usize>),
}

/// The fleet and its workspaces.
pub(crate) struct Model {
    pub(crate) now: Duration,
    pub(crate) workspaces: Vec<Workspace>,
    pub(crate) links: Links,
    pub(crate) rng: Pcg32,
    mutant: Mutant,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    /// True while the store answers no VM.
    pub(crate) is_store_away: bool,
    /// Longest time until a seed answers.
    pub(crate) seed_delay: Duration,
}

fn make_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_540))
}

fn get_index(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("the fleet has IPv4 addresses");
    };
    let octets = addr.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

impl Vm {
    /// Adds the tokens of grants as if they were returned.
    fn repeat_grants(&mut self, now: Duration, grants: &[TokenGrant]) {
        for grant in grants {
            if let Some(token) = self.spent.get(&grant.workspace) {
                (0..grant.tokens).for_each(|_| self.limits.give_back(now, *token));
            }
        }
    }
}

impl Model {
    /// Starts a fleet whose VMs know each other.
    pub(crate) fn start(vms: usize, limits: &[RateLimit], seed: u64, mutant: Mutant) -> Self {
        let workspaces = limits.iter().enumerate().map(|(index, limit)| Workspace {
            key: WorkspaceKey::from_name(&format!("workspace-{index}")),
            limit: *limit,
            admitted: Vec::new(),
            within: 0,
            refused: 0,
            level: limit.burst,
            level_at: Duration::ZERO,
        });
        let mut model = Self {
            now: Duration::from_secs(1_000),
            workspaces: workspaces.collect(),
            links: Links::CALM,
            rng: Pcg32::seed_from_u64(seed),
            mutant,
            vms: Vec::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            is_store_away: false,
            seed_delay: Duration::from_millis(5),
        };
        for index in 0..vms {
            model.add_vm(index);
        }
        for index in 0..vms {
            model.vms[index].known = (0..vms).collect();
            model.start_process(index, true);
            model.read_rows(index, false);
        }
        model
    }

    /// Adds a VM; returns its index.
    pub(crate) fn join(&mut self) -> usize {
        let index = self.vms.len();
        self.add_vm(index);
        self.vms[index].is_up = false;
        self.vms[index].has_row = false;
        self.revive(index);
        index
    }

    /// Returns the share of a workspace's limit that a VM holds.
    pub(crate) fn get_share(&mut self, vm: usize, workspace: usize) -> f64 {
        let now = self.read_clock(vm);
        let key = self.workspaces[workspace].key;
        let (own, all) = self.vms[vm].limits.get_parts(now, key).unwrap();
        f64::from(own) / all as f64
    }

    pub(crate) fn count_vms(&self) -> usize {
        self.vms.len()
    }

    /// Schedules requests of a workspace at one VM, with random gaps.
    pub(crate) fn load(
        &mut self,
        workspace: usize,
        vm: usize,
        rate: f64,
        from: Duration,
        to: Duration,
    ) {
        let mut at = self.now + from;
        let end = self.now + to;
        loop {
            let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
            at += Duration::from_secs_f64(-draw.ln() / rate);
            if at >= end {
                return;
            }
            self.schedule(at, Event::Arrive(vm, workspace));
        }
    }

    /// Runs for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, id))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Parts the VMs into groups that do not reach each other.
    pub(crate) fn part(&mut self, groups: u32) {
        for index in 0..self.vms.len() {
            self.vms[index].group = self.rng.random_range(0..groups);
        }
        if self.mutant == Mutant::ForgetsSilent {
            for index in 0..self.vms.len() {
                self.restart(index);
            }
        }
    }

    /// Cuts one VM off from all others.
    pub(crate) fn cut_off(&mut self, index: usize) {
        self.vms[index].group = u32::MAX;
    }

    /// Reconnects all VMs.
    pub(crate) fn heal(&mut self) {
        for vm in &mut self.vms {
            vm.group = 0;
        }
    }

    /// Pauses a VM.
    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        let until = self.now + time;
        let vm = &mut self.vms[index];
        vm.paused_until = until;
        if self.mutant == Mutant::ClockStops {
            vm.lag += time;
        }
        self.schedule(until, Event::Tick(index));
    }

    fn get_process(&self, vm: usize) -> Process {
        Process {
            vm,
            number: self.vms[vm].process,
        }
    }

    /// Returns true if there is a process on both VMs and they reach each other.
    fn is_reached(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.vms[from], &self.vms[to]);
        from.is_up && to.is_up && from.group == to.group
    }

    /// Changes a limit, which all VMs learn at once.
    pub(crate) fn change_limit(&mut self, workspace: usize, limit: RateLimit) {
        self.workspaces[workspace].limit = limit;
        for index in 0..self.vms.len() {
            let now = self.now;
            let declared = self.get_declared();
            self.vms[index].limits.declare(now, declared);
        }
    }

    /// Returns the bytes that the VM with the most has sent.
    pub(crate) fn get_most_bytes(&self) -> u64 {
        self.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0)
    }

    /// Returns the largest number of workspaces with state on one VM.
    pub(crate) fn get_most_active(&self) -> usize {
        let active = self.vms.iter().map(|vm| vm.limits.count_active());
        active.max().unwrap_or(0)
    }

    /// Returns the largest excess over `limit` x window + burst + `tolerance` of any
    /// window and workspace.
    pub(crate) fn get_worst_excess(&self, tolerance: impl Fn(&RateLimit) -> f64) -> f64 {
        let mut worst = f64::NEG_INFINITY;
        for workspace in &self.workspaces {
            let limit = workspace.limit;
            let allowed = limit.per_second * WINDOW.as_secs_f64() + limit.burst;
            let allowed = allowed + tolerance(&limit);
            let mut times = workspace.admitted.clone();
            times.sort_unstable();
            let mut first = 0;
            for (index, at) in times.iter().enumerate() {
                while *at - times[first] >= WINDOW {
                    first += 1;
                }
                worst = worst.max((index - first + 1) as f64 - allowed);
            }
        }
        worst
    }

    fn get_declared(&self) -> Vec<(WorkspaceKey, RateLimit)> {
        let workspaces = self.workspaces.iter();
        workspaces.map(|w| (w.key, w.limit)).collect()
    }

    fn make_limits(&mut self, index: usize, is_first_start: bool) -> FleetLimits {
        let now = self.read_clock(index);
        let is_first_start = is_first_start || self.mutant == Mutant::FullAtStart;
        let started = now;
        let nonce = self.rng.random();
        let mut limits = FleetLimits::new(
            started,
            &format!("vm-{index}").into(),
            nonce,
            is_first_start,
        );
        limits.set_bound(WINDOW, BOUND);
        limits.declare(started, self.get_declared());
        if self.mutant == Mutant::AssumesAlone {
            limits.set_fleet_listed(started, true);
        }
        limits.introduce(started);
        limits
    }

    fn add_vm(&mut self, index: usize) {
        let name = format!("vm-{index}").into();
        // Whether a VM is near depends on the observer; the first domain is near for all.
        let member = LimitMember::new(&name, make_addr(index), index.is_multiple_of(DOMAINS));
        let limits = self.make_limits(index, true);
        self.vms.push(Vm {
            limits,
            member,
            group: 0,
            paused_until: Duration::ZERO,
            lag: Duration::ZERO,
            waiting: Vec::new(),
            granted: HashSet::new(),
            spent: HashMap::new(),
            known: BTreeSet::new(),
            is_up: true,
            started_at: self.now,
            process: 0,
            tick_at: None,
            has_row: true,
            bytes: 0,
        });
    }

    fn read_clock(&self, index: usize) -> Duration {
        let lag = self.vms.get(index).map_or(Duration::ZERO, |vm| vm.lag);
        self.now - lag
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at, id)));
    }

    fn list(&mut self, index: usize) {
        let now = self.read_clock(index);
        if self.mutant == Mutant::AssumesAlone {
            return;
        }
        let known = self.vms[index].known.iter().copied();
        let forgets = self.mutant == Mutant::ForgetsSilent;
        let known = known.filter(|peer| !forgets || self.is_reached(*peer, index));
        let members: Vec<LimitMember> = known.map(|peer| self.vms[peer].member).collect();
        self.vms[index].limits.list_members(now, &members);
    }

    /// Sends a VM and another one that it knows to some of those that it knows.
    fn gossip(&mut self, index: usize) {
        let known: Vec<usize> = self.vms[index].known.iter().copied().collect();
        for _ in 0..FANOUT.min(known.len()) {
            let peer = known[self.rng.random_range(0..known.len())];
            let named = known[self.rng.random_range(0..known.len())];
            if !self.is_reached(index, peer) || self.rng.random_bool(self.links.lost) {
                continue;
            }
            self.vms[peer].known.insert(index);
            // Where one round reaches all that a VM knows, it names no others.
            if known.len() > FANOUT + 1 {
                self.vms[peer].known.insert(named);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let index = match event {
            Event::Arrive(vm, _) | Event::Deliver(vm, _, _) | Event::Tick(vm) => vm,
            Event::List(process) | Event::ReadRows(process, _) | Event::SeedReply(process, _) => {
                if process != self.get_process(process.vm) {
                    return;
                }
                process.vm
            }
        };
        if !self.vms[index].is_up {
            return;
        }
        if self.vms[index].paused_until > self.now {
            let at = self.vms[index].paused_until;
            self.schedule(at, event);
            return;
        }
        let now = self.read_clock(index);
        match event {
            Event::Arrive(vm, workspace) => self.arrive(vm, workspace),
            Event::Deliver(vm, from, message) => self.deliver(vm, from, message),
            Event::Tick(vm) => {
                self.vms[vm].tick_at = None;
                self.vms[vm].limits.tick(now);
            }
            Event::List(process) => {
                self.list(index);
                self.gossip(index);
                self.schedule(self.now + LIST_PERIOD, Event::List(process));
            }
            Event::ReadRows(_, is_returning) => self.read_rows(index, is_returning),
            Event::SeedReply(_, named) => {
                self.vms[index].known.extend(named);
                self.list(index);
                if self.mutant == Mutant::TrustsOnePeer {
                    self.vms[index].limits.set_fleet_listed(now, true);
                }
            }
        }
        self.retry_waiting(index);
        self.send(index);
        if let Some(at) = self.vms[index].limits.get_next_tick(now) {
            let at = at + self.vms[index].lag;
            let at = at.max(self.now + Duration::from_millis(1));
            let next = &mut self.vms[index].tick_at;
            if next.is_none_or(|next| at < next) {
                *next = Some(at);
                self.schedule(at, Event::Tick(index));
            }
        }
    }

    fn arrive(&mut self, vm: usize, index: usize) {
        let now = self.read_clock(vm);
        let workspace = &mut self.workspaces[index];
        let elapsed = self.now.saturating_sub(workspace.level_at).as_secs_f64();
        let filled = workspace.level + elapsed * workspace.limit.per_second;
        workspace.level = filled.min(workspace.limit.burst);
        workspace.level_at = self.now;
        let is_within = workspace.level >= 1.0;
        if is_within {
            workspace.level -= 1.0;
            workspace.within += 1;
        }
        match self.vms[vm].limits.admit(now, workspace.key) {
            Admission::Waits => self.vms[vm].waiting.push(Waiting {
                workspace: index,
                until: now + FleetLimits::MAX_WAIT,
                is_within,
            }),
            Admission::Refused(_) => workspace.refused += u64::from(is_within),
            Admission::Admitted(token) => {
                self.vms[vm].spent.insert(workspace.key, token);
                workspace.admitted.push(self.now);
            }
            Admission::Unlimited => workspace.admitted.push(self.now),
        }
    }

    fn deliver(&mut self, vm: usize, from: usize, message: LimitMessage) {
        let now = self.read_clock(vm);
        let message = self.alter(vm, message);
        let vm = &mut self.vms[vm];
        if let LimitMessage::Grants(nonce, grants) = &message
            && !vm.granted.insert((from, *nonce))
            && self.mutant == Mutant::RepeatsCount
        {
            vm.repeat_grants(now, grants);
        }
        vm.limits.receive(now, make_addr(from), message);
    }

    /// Returns a message as a mutant takes it.
    fn alter(&self, vm: usize, message: LimitMessage) -> LimitMessage {
        let LimitMessage::Members(MemberMessage::Known(nonce, reply)) = message else {
            return message;
        };
        let reply = match self.mutant {
            Mutant::TrustsOnePeer => MemberReply {
                set: self.vms[vm].limits.get_member_set(),
                ..reply
            },
            _ => reply,
        };
        LimitMessage::Members(MemberMessage::Known(nonce, reply))
    }

    fn retry_waiting(&mut self, vm: usize) {
        let now = self.read_clock(vm);
        let waiting = std::mem::take(&mut self.vms[vm].waiting);
        for request in waiting {
            let workspace = &mut self.workspaces[request.workspace];
            let limits = &mut self.vms[vm].limits;
            match limits.retry(now, workspace.key) {
                Admission::Waits if now < request.until => self.vms[vm].waiting.push(request),
                Admission::Waits => {
                    limits.give_up(now, workspace.key);
                    workspace.refused += u64::from(request.is_within);
                }
                Admission::Refused(_) => workspace.refused += u64::from(request.is_within),
                Admission::Admitted(token) => {
                    self.vms[vm].spent.insert(workspace.key, token);
                    workspace.admitted.push(self.now);
                }
                Admission::Unlimited => workspace.admitted.push(self.now),
            }
        }
    }

    fn send(&mut self, from: usize) {
        for (addr, message) in self.vms[from].limits.take_messages() {
            let to = get_index(addr);
            self.vms[from].bytes += match message {
                // The introduction is not part of the bytes that limits take in steady state.
                LimitMessage::Members(_) => 0,
                _ => message.get_max_size() as u64,
            };
            if self.mutant == Mutant::SkipsReplies
                && let LimitMessage::Members(MemberMessage::Hello(nonce, _)) = message
            {
                let reply = MemberReply {
                    is_introduced: true,
                    known_for: Duration::MAX,
                    set: self.vms[from].limits.get_member_set(),
                };
                let reply = LimitMessage::Members(MemberMessage::Known(nonce, reply));
                self.schedule(self.now, Event::Deliver(from, to, reply));
                continue;
            }
            let is_cut = !self.is_reached(from, to);
            if is_cut || self.rng.random_bool(self.links.lost) {
                continue;
            }
            let copies = if self.rng.random_bool(self.links.repeated) {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let span = self.links.min_delay..self.links.max_delay;
                let delay = self.rng.random_range(span);
                self.schedule(self.now + delay, Event::Deliver(to, from, message.clone()));
            }
        }
    }
}
