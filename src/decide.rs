//! All decisions. The types that go in and out are in `interface.rs`.
//!
//! The ordinary path is Greedy(D, d): the server with the lowest own open connections per weight
//! among d uniform draws over the ready servers, d from the weights ([`crate::draws_for`]).
//! Exceptions are named where they act, each with what it guards against; `docs/design.md` lists them.

mod membership;
mod succession;

use crate::interface::*;
use crate::variant::{InjectedBug, Variant};
use marllink_admission::TenantShares;
use marllink_affinity::GroupSizes;
use marllink_rate_limits::{
    ConnectionLimit, Rate, SlowStartRate, choose_weighted, round_stochastic, select_to_shed,
};
use marllink_retries::{Limiter, PossibleExecution};
use marllink_server_state::{Command, Event as Asked, ServerReport, UnresponsiveDetector, Verdict};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};

// ---- Tunables ---------------------------------------------------------------------------------

/// Connections by which a server of the own zone may stand above others and still be picked, for
/// each point in a hundred that crossing all requests costs.
const ZONE_CREDIT: f64 = 0.8;
/// Rounds of draws when all that was drawn is unusable (just tried, or cold and out of budget).
const ROUNDS: usize = 8;
/// A group's hosts, as many as its share of all, are drawn with the others and count as holding so many
/// connections less; of so many beyond those each counts by this factor less than the one before. What a
/// group costs a host that holds any is told nowhere; more would fill the first before others of its kind.
const GROUP_MORE: usize = 2;
const GROUP_CREDIT: f64 = 2.0;
const GROUP_FADE: f64 = 0.7;
/// So many times the draws that the paper asks for: own counts tie, and of more the order is truer.
const MARGIN: usize = 3;
/// Of servers that tie, so many at most are asked for their load before one is picked, and if those are
/// full by what they say, so many draws more are made.
const ASKED: usize = 3;
const MORE_DRAWS: u8 = 2;
/// One that does not answer counts as holding so many more: it is sent what no other may take.
const MUTE: f64 = 1e6;
/// A server of whose load nothing is known is taken to have this much.
const UNKNOWN_LOAD: f64 = 0.5;
/// Housekeeping period in ms: well under the shortest ejection and any set-up aim.
const TICK_MS: Millis = 200.0;
/// First ejection in ms; doubled with each failure running, as a longer trouble is likelier then, but
/// for no longer than this: a recovered server must not stay empty for long.
const EJECT_MS: Millis = 1_000.0;
const MAX_EJECT_MS: Millis = 8_000.0;
/// A server that has been back for so many ms without a failure starts anew. A success alone does
/// not say so: a server that fails most requests has some, and one that sheds accepts all.
const FORGIVE_MS: Millis = 5_000.0;
/// Share of the ready servers out at once at most: if more look bad, the cause is not theirs.
const MAX_EJECTED: f64 = 0.5;
/// Failures within so many ms count as one: a lost server resets all its connections together.
const SAME_FAILURE_MS: Millis = 50.0;
/// A server with this load over what it can do is busy and takes nothing new ...
const BUSY_LOAD: f64 = 0.7;
/// ... and one with more than this is relieved, down to `BUSY_LOAD` ...
const OVER_LOAD: f64 = 0.8;
/// ... and then not for so many ms: reports do not tell yet what other nodes have moved.
const RELIEF_MS: Millis = 2_500.0;
/// A report is corrected by what has become of the own connections since it was made: so many
/// housekeepings before it came, as reports are made now and then and late.
const REPORT_AGE: usize = 4;
/// Where servers tell no loads, none takes more than this multiple of the mean own count per weight:
/// where few are left that take any, all that comes would else fall on those.
const MEAN_BOUND: f64 = 2.0;
/// Time constant in ms of the own rate of set-ups that cold budgets are measured by: longer than
/// a burst of returning clients, shorter than the swing of a day ...
const RATE_TAU_MS: Millis = 20_000.0;
/// ... and of the one that tells a burst, where a budget is too thin to hold a whole connection.
const BURST_TAU_MS: Millis = 1_000.0;
/// A cold server is sent at most this part of what would tip it: the rest is for the error of
/// the guess, for heavy connections, for bursts, and for nodes that do not know yet.
const COLD_MARGIN: f64 = 0.5;
/// But this part while it reports less load than that: if it is smaller than the guess it fills up,
/// and the next report tells so before the time to fall over has passed.
const COLD_IDLE_MARGIN: f64 = 0.8;
const COLD_IDLE: f64 = 0.35;
/// A server that drains is left evenly over so many ms, by chance where no whole connection is due:
/// nodes that hold one each would else all clear it in the same moment.
const LEAVE_MS: Millis = 4_000.0;
/// A refused client is told to stay away for so many ms, give or take half, so that those refused
/// together do not come again together: servers that are full, hot or out need about that long.
const RETRY_AFTER_MS: Millis = 1_000.0;
/// So many servers that answer a request with an error say that it is not theirs.
const MOST_ERRORS: usize = 3;
/// An attempt with less than this left, in ms, cannot succeed any more.
const LEAST_LEFT_MS: Millis = 5.0;

const TICK: TimerToken = TimerToken(0);
const ASK: TimerToken = TimerToken(1);
const PATIENCE: TimerToken = TimerToken(2);
const NOWHERE: usize = usize::MAX;

#[derive(Debug)]
struct Server {
    id: ServerId,
    zone: ZoneId,
    cell: CellId,
    /// As it counts, and as listed: one that is taken out drains whatever the list says.
    state: ServerState,
    listed: ServerState,
    /// As listed.
    listed_weight: f64,
    /// As used: positive and finite.
    weight: f64,
    /// Own attempts out and connections open, a predecessor's among them.
    open: u32,
    /// Own connections open.
    connections: Vec<RequestId>,
    /// A predecessor's attempts and connections, and their load.
    elsewhere: (u32, f64),
    /// What the own connections load it with now; and how many they were and with what load at the last
    /// housekeepings, newest first.
    load: f64,
    loads: [(f64, f64); REPORT_AGE],
    /// When it is to be left for good, once it drains.
    leave_by: Millis,
    /// Place among the servers that may be picked, or `NOWHERE`.
    place: usize,
    /// What a successor is told of it.
    track: ServerHistory,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Waiting for a server.
    Held,
    /// Servers are asked for their load.
    Asking,
    /// An attempt is out.
    Trying,
    /// The connection stands.
    Open,
    /// Final answer given, an attempt still out.
    Over,
}

#[derive(Debug)]
struct Pending {
    class: ClassId,
    tenant: TenantId,
    group: u64,
    phase: Phase,
    /// Servers tried last, newest first.
    tried: [usize; 2],
    /// Servers that have answered it with an error or a break.
    erred: Vec<usize>,
    /// Servers drawn, and draws made for the next attempt.
    drawn: Vec<usize>,
    redrawn: u8,
    /// The next attempt is not made before that.
    again_at: Millis,
    /// The server of the attempt out or the connection open.
    slot: usize,
    arrived: Millis,
    deadline: Millis,
    sent_at: Millis,
    attempts: u8,
    /// Microseconds of work a second, once told.
    load: f64,
    ran: Option<PossibleExecution>,
}

/// The decisions of one node.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    now: Millis,
    servers: Vec<Server>,
    free: Vec<usize>,
    index: FxHashMap<ServerId, usize>,
    /// Ready and not ejected.
    pickable: Vec<usize>,
    ejected: Vec<usize>,
    ready: usize,
    ready_weight: f64,
    ready_open: f64,
    /// Weight of the ready servers, each as far as it is warm.
    warm_weight: f64,
    draws: usize,
    least: f64,
    requests: FxHashMap<RequestId, Pending>,
    held: Vec<RequestId>,
    /// What a successor is told of the fleet.
    fleet: FleetHistory,
    /// What servers have said of their load, and which picks wait for that.
    reports: marllink_server_state::ProbePool<ServerId, ReportedLoad>,
    silence: UnresponsiveDetector<ServerId>,
    retries: Limiter,
    burst: Rate,
    shares: TenantShares,
    /// Connections seen by group.
    groups: GroupSizes,
    variant: Variant,
    /// Own connections, a predecessor's among them.
    total: usize,
    /// Servers that the operators have taken out, and those put back that have held nothing since.
    out: FxHashSet<ServerId>,
    back: FxHashSet<ServerId>,
    /// When housekeeping is due; `INFINITY` before the first event.
    tick_at: Millis,
    slow_aim: Millis,
}

impl Balancer {
    /// A balancer that knows nothing yet. `seed` should differ between nodes and restarts; the
    /// first event should be the list of servers as last known, empty if there is none.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Self::with_variant(settings, seed, now, Variant::default())
    }

    /// The same, but for what differs: for experiments.
    #[must_use]
    pub fn with_variant(settings: Settings, seed: u64, now: Millis, variant: Variant) -> Self {
        Self {
            slow_aim: settings.strictest_message_goal(),
            reports: marllink_server_state::ProbePool::new(settings.probe_settings()),
            silence: UnresponsiveDetector::default(),
            retries: Limiter::new(variant.retries.clone(), settings.nodes, now),
            burst: Rate::new(BURST_TAU_MS, now),
            shares: TenantShares::new(settings.tenant_quotas(), settings.nodes),
            groups: GroupSizes::default(),
            variant,
            settings,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now,
            servers: Vec::new(),
            free: Vec::new(),
            index: FxHashMap::default(),
            pickable: Vec::new(),
            ejected: Vec::new(),
            ready: 0,
            ready_weight: 0.0,
            ready_open: 0.0,
            warm_weight: 0.0,
            draws: 2,
            least: 1.0,
            requests: FxHashMap::default(),
            held: Vec::new(),
            fleet: FleetHistory {
                setup_rate: Rate::new(RATE_TAU_MS, now),
                shortage: ConnectionLimit::new(now),
                ..FleetHistory::default()
            },
            total: 0,
            out: FxHashSet::default(),
            back: FxHashSet::default(),
            tick_at: f64::INFINITY,
        }
    }

    /// Takes one event at `now` and appends what is to be done. A clock that steps back stands
    /// still; ids that are not known are ignored.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        if self.tick_at == f64::INFINITY {
            // Nodes that start together should not keep house together.
            let delay_ms = TICK_MS * self.uniform();
            self.tick_at = self.now + delay_ms;
            out.push(Action::SetTimer { delay_ms, token: TICK });
        }
        match event {
            Event::ServerList { kind, entries } => self.on_list(kind, &entries, out),
            Event::Maintenance { server, begins } => self.on_maintenance(server, begins, out),
            Event::Settings(settings) => {
                self.slow_aim = settings.strictest_message_goal();
                self.retries.set_balancer_count(settings.nodes);
                self.shares.update_quotas(settings.tenant_quotas(), settings.nodes);
                self.settings = settings;
            }
            Event::TakeOver(knowledge) => self.take_over(knowledge),
            Event::PredecessorHoldings(holdings) => self.on_elsewhere(&holdings),
            Event::Request(request) => self.on_request(&request, out),
            Event::OpenConnection { request, server } => self.on_open(&request, server),
            Event::Established { request, attempt, .. } => self.on_established(request, attempt),
            Event::ConnectionLoad { request, load } => {
                if let Some(pending) = self.requests.get_mut(&request) {
                    let before = std::mem::replace(&mut pending.load, load);
                    if pending.phase == Phase::Open {
                        self.servers[pending.slot].load += load - before;
                    }
                }
            }
            Event::AttemptEnded { request, attempt, outcome, closed } => {
                self.on_ended(request, attempt, outcome, closed, out);
            }
            Event::MessageDelay { request, delay_ms } => self.on_delay(request, delay_ms, out),
            Event::Unresponsive { server, symptom: sign } => self.on_silent(server, sign, out),
            Event::Timer(TICK) => self.on_tick(out),
            Event::Timer(ASK) => out.push(Action::WatchList),
            Event::ClientGone(request) => self.on_client_gone(request, out),
            Event::AnswerNow(request) => self.answer_now(request, out),
            Event::ProbeResult { server, ok, report } => self.on_report(server, ok, &report, out),
            Event::Timer(PATIENCE) => self.ask(Asked::Timeout, out),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
        }
    }

    /// May an attempt at this server begin? One that was ready when it was picked may have been told to drain
    /// while its connection came up.
    #[must_use]
    pub fn accepts_new(&self, server: ServerId) -> bool {
        self.index.get(&server).is_some_and(|slot| self.servers[*slot].state == ServerState::Ready)
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// What carries the own load today: of the own zone, as far as crossing has a price and any is there.
    fn weigh_warm(&mut self) {
        let weigh = |slot: &usize| self.servers[*slot].weight * self.capacity(*slot);
        let ready = || self.pickable.iter().chain(&self.ejected);
        let home = ready().filter(|slot| self.servers[**slot].zone == self.settings.zone).map(weigh).sum();
        let stays = self.settings.prices.cross_zone > 0.0 && home > 0.0;
        self.warm_weight = if stays { home } else { ready().map(weigh).sum() };
    }

    /// What a set-up is for each unit of that; nothing where there is none.
    fn per_warm(&self) -> f64 {
        if self.warm_weight > 0.0 { 1.0 / self.warm_weight } else { 0.0 }
    }

    // ---- Load counts and draws ------------------------------------------------------------------

    fn add_open(&mut self, slot: usize, by: i32) {
        let server = &mut self.servers[slot];
        server.open = server.open.saturating_add_signed(by);
        if server.state == ServerState::Ready {
            self.ready_open += f64::from(by);
        } else if server.open == 0 && server.state == ServerState::Gone {
            let id = server.id;
            self.forget(slot, id);
        }
    }

    fn age(&self, slot: usize) -> Millis {
        let s = &self.servers[slot];
        if s.track.started_at > 0.0 { (self.now - s.track.started_at).max(0.0) } else { f64::INFINITY }
    }

    /// How warm a server is: 0 at its start, 1 when it must be warm.
    fn warmth(&self, slot: usize) -> f64 {
        let warm_after = self.settings.rules.warm_up_ms.max(1.0);
        (self.age(slot) / warm_after).min(1.0)
    }

    /// What a server can surely do, as a share of what it can do when warm.
    fn capacity(&self, slot: usize) -> f64 {
        let cold_from = self.settings.rules.initial_capacity_ratio;
        cold_from + (1.0 - cold_from) * self.warmth(slot)
    }

    /// Own connections per weight. A new or restarted server starts at the others' mean and fades
    /// to its real count, or it would draw every new connection while it can do least.
    fn load(&mut self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let (open, weight) = (f64::from(s.open), s.weight);
        let warmth = self.warmth(slot);
        let others = self.ready_weight - weight;
        let mean = if others > 0.0 { (self.ready_open - open).max(0.0) / others * weight } else { 0.0 };
        let count = mean * (1.0 - warmth) + open * warmth;
        round_stochastic(count * self.least / weight, self.uniform()) as f64 / self.least
    }

    /// Zone credit: where crossing zones has a price, servers of the own zone count as holding some
    /// connections less. Own counts are even over all zones, so the plain rule crosses nearly always.
    fn zone_credit(&self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let price = if s.zone == self.settings.zone { self.settings.prices.cross_zone } else { 0.0 };
        if self.variant.injected_bug == Some(InjectedBug::CreditByWeight) {
            return ZONE_CREDIT * 100.0 * price / s.weight;
        }
        // By the mean weight: a connection less must not count for more on a smaller server.
        ZONE_CREDIT * 100.0 * price * self.ready as f64 / self.ready_weight
    }

    /// The draw for a pick: of uniform draws those with the least own connections per weight, and of those
    /// some by chance in proportion to weight, as a large fleet leaves most at 0.
    fn draw_some(&mut self, pending: &Pending) -> Vec<usize> {
        if let Some(slot) = self.first_back(pending) {
            return vec![slot];
        }
        // A few draws seldom meet the own zone where there are many: as many again for each other zone.
        let prefers = self.settings.prices.cross_zone > 0.0;
        let draws = MARGIN * self.draws * if prefers { usize::from(self.settings.zones.max(1)) } else { 1 };
        let (mut seen, mut drawn) = (Vec::new(), Vec::<(f64, usize)>::new());
        let (first, wide) = self.group_first(pending.group);
        for round in 0..ROUNDS {
            for nth in 0..draws + first.len() {
                let Some(slot) = first.get(nth).copied().or_else(|| self.draw()) else { return Vec::new() };
                // What is left to chance is asked once for each pick.
                if seen.contains(&slot) || (round + 1 < ROUNDS && pending.tried.contains(&slot)) {
                    continue;
                }
                seen.push(slot);
                if self.may_run_on(pending, slot) && !self.full(slot) {
                    let known = first.iter().position(|host| *host == slot);
                    let credit = known.map_or(0.0, |at| {
                        GROUP_CREDIT * GROUP_FADE.powi((at + 1).saturating_sub(wide) as i32)
                    }) + if prefers { self.zone_credit(slot) } else { 0.0 };
                    let mute = self.reports.is_unresponsive(self.now, self.servers[slot].id);
                    drawn.push((self.load(slot) + if mute { MUTE } else { -credit }, slot));
                }
            }
            // A cold one is let by its budget once it would be sent to: nearly every pick draws it.
            while !drawn.is_empty() {
                let mut best = self.best_of(&drawn, pending.group);
                let share = 1.0 / best.len() as f64;
                let mut asked = best.clone();
                asked.sort_unstable();
                asked.dedup();
                asked.retain(|slot| !self.cold_allows(*slot, share));
                drawn.retain(|d| !asked.contains(&d.1));
                best.retain(|slot| !asked.contains(slot));
                if !best.is_empty() {
                    return best;
                }
            }
        }
        Vec::new()
    }

    /// Some with the least connections, by chance in proportion to weight.
    fn best_of(&mut self, drawn: &[(f64, usize)], group: u64) -> Vec<usize> {
        let least = drawn.iter().map(|d| d.0).fold(f64::INFINITY, f64::min);
        let drawn: Vec<_> = drawn.iter().filter(|d| d.0 == least).collect();
        // The order of a group's hosts goes by weight already.
        let weight = |d: &&(f64, usize)| if group == 0 { self.servers[d.1].weight } else { 1.0 };
        let weights: Vec<_> = drawn.iter().map(weight).collect();
        // One that is chosen twice stays so: it is asked once, and has two chances.
        (0..ASKED).filter_map(|_| choose_weighted(&weights, self.uniform())).map(|at| drawn[at].1).collect()
    }

    /// The hosts where a group goes first, in the order in which all nodes find them, and how many of
    /// them are for its share; none for no group.
    fn group_first(&mut self, group: u64) -> (Vec<usize>, usize) {
        if group == 0 {
            return (Vec::new(), 0);
        }
        let uniform = self.uniform();
        let wide = self.groups.server_count(group, self.pickable.len(), uniform);
        let of = |slot: &usize| (self.servers[*slot].id.0, self.servers[*slot].weight, *slot);
        (marllink_affinity::top_servers(group, self.pickable.iter().map(of), wide + GROUP_MORE), wide)
    }

    /// The pick among them: by chance in proportion to the square of the room that they have. The one with
    /// most room would be the same for all nodes, as reports are a second old, and be overrun.
    fn pick(&mut self, pending: &Pending) -> Option<usize> {
        let room = |slot: &usize| {
            let (slot, id) = (*slot, self.servers[*slot].id);
            let mute = pending.redrawn < MORE_DRAWS && self.reports.is_unresponsive(self.now, id);
            if self.servers[slot].place == NOWHERE || mute || !self.may_run_on(pending, slot) {
                return 0.0;
            }
            let known = self.reports.report(self.now, id).is_some();
            let load = if known { self.load_now(slot) } else { UNKNOWN_LOAD };
            if load >= BUSY_LOAD { 0.0 } else { (OVER_LOAD - load).powi(2) }
        };
        let rooms: Vec<_> = pending.drawn.iter().map(room).collect();
        choose_weighted(&rooms, self.uniform()).map(|at| pending.drawn[at])
    }

    /// First back: a server that the operators have put back gets one connection without a draw. They
    /// see by that whether it serves, and draws may pass over it for long while it counts as the mean.
    fn first_back(&mut self, pending: &Pending) -> Option<usize> {
        let slots: Vec<_> = self.back.iter().filter_map(|id| self.index.get(id).copied()).collect();
        slots.into_iter().find(|&slot| {
            let s = &self.servers[slot];
            let out = s.open as usize - s.connections.len() - s.elsewhere.0 as usize;
            s.place != NOWHERE
                && out == 0
                && self.may_run_on(pending, slot)
                && !self.full(slot)
                && self.cold_allows(slot, 1.0)
        })
    }

    /// A uniform draw over the servers that may be picked.
    fn draw(&mut self) -> Option<usize> {
        if self.pickable.is_empty() {
            return None;
        }
        let i = (self.uniform() * self.pickable.len() as f64) as usize;
        Some(self.pickable[i])
    }

    // ---- Health ---------------------------------------------------------------------------------

    /// Outlier ejection: takes a server out of the ready set for a while.
    fn eject(&mut self, slot: usize, for_ms: Millis, most: usize) {
        let until = self.now + for_ms;
        let server = &mut self.servers[slot];
        if server.place == NOWHERE {
            server.track.ejected_until = server.track.ejected_until.max(until);
            return;
        }
        if self.ejected.len() >= most {
            return;
        }
        server.track.ejected_until = until;
        let place = std::mem::replace(&mut server.place, NOWHERE);
        self.pickable.swap_remove(place);
        if let Some(moved) = self.pickable.get(place) {
            self.servers[*moved].place = place;
        }
        self.ejected.push(slot);
    }

    fn most_ejected(&self) -> usize {
        (self.ready as f64 * MAX_EJECTED) as usize
    }

    /// A server has failed: it is out for a while, unless as many are as `most`.
    fn on_failure(&mut self, slot: usize, most: usize) {
        let server = &mut self.servers[slot];
        if self.now - server.track.last_failure_at < SAME_FAILURE_MS {
            return;
        }
        server.track.last_failure_at = self.now;
        if self.now > server.track.ejected_until + FORGIVE_MS {
            server.track.consecutive_failures = 0;
        }
        let for_ms = EJECT_MS * f64::from(1u32 << server.track.consecutive_failures.min(8));
        server.track.consecutive_failures += 1;
        let spread = 0.75 + 0.5 * self.uniform();
        self.eject(slot, for_ms.min(MAX_EJECT_MS) * spread, most);
    }

    /// A server that has fallen silent serves nobody: its clients find another sooner than it comes back.
    fn on_silent(&mut self, id: ServerId, sign: Symptom, out: &mut Vec<Action>) {
        let Some(&slot) = self.index.get(&id) else { return };
        match self.silence.record(self.now, id, sign) {
            Verdict::Unresponsive => {
                let (zone, own) = (self.servers[slot].zone, self.servers[slot].connections.clone());
                self.move_these(slot, own, out);
                self.on_failure(slot, self.ready.saturating_sub(1));
                let near = self.servers.iter().filter(|s| s.zone == zone && !s.connections.is_empty());
                let near: Vec<_> = near.map(|s| s.id).collect();
                near.into_iter().for_each(|id| self.on_silent(id, Symptom::NeighbourUnresponsive, out));
            }
            Verdict::Suspect if self.may_ask() => self.ask(Asked::Suspected(id), out),
            Verdict::Suspect | Verdict::Unchanged => {}
        }
    }

    /// A server on which messages are slow has more than it can do, be it slow, pausing or just
    /// unlucky: new connections would only add to it, and if it lasts some must go.
    fn on_delay(&mut self, request: RequestId, delay_ms: Millis, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&request) else { return };
        if pending.phase != Phase::Open {
            return;
        }
        let slot = pending.slot;
        let server = &mut self.servers[slot];
        let excess =
            server.track.strain.record_delay(self.now, delay_ms, self.slow_aim, f64::from(server.open));
        let planted = self.variant.injected_bug == Some(InjectedBug::MoveWhenAllSlow);
        self.move_some(slot, if planted { excess / marllink_rebalancing::MOVED_RATIO } else { excess }, out);
    }

    /// True if a server must take nothing new: messages on it are slow, or it is at its limit.
    fn full(&mut self, slot: usize) -> bool {
        let some = self.uniform();
        let s = &self.servers[slot];
        let mean = self.ready_open / self.warm_weight.max(f64::MIN_POSITIVE) * s.weight;
        let bound = if self.may_ask() { NO_LIMIT } else { MEAN_BOUND * mean + 1.0 };
        // Between whole numbers they hold on the mean over nodes and tries.
        let room = s.track.strain.connection_limit(self.now).min(bound) + some;
        s.track.strain.is_overloaded(self.now)
            || self.load_now(slot) >= BUSY_LOAD
            || f64::from(s.open) + 1.0 > room
    }

    fn may_ask(&self) -> bool {
        self.settings.reports_load()
    }

    /// Asks servers with own connections for their load though no pick is due, as far as set-ups pay
    /// for that: where message delays are not told, one that has too much is known by its report alone.
    fn ask_due(&mut self, out: &mut Vec<Action>) {
        if self.may_ask() {
            let own = |s: &&Server| s.state == ServerState::Ready && !s.connections.is_empty();
            let hosts = self.servers.iter().filter(own).map(|s| s.id).collect();
            self.ask(Asked::Refresh(hosts), out);
        }
    }

    fn ask(&mut self, event: Asked<ServerId, ReportedLoad>, out: &mut Vec<Action>) {
        let mut commands = Vec::new();
        self.reports.handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                Command::Probe(id) => out.push(Action::Probe(id)),
                Command::Proceed(id) => self.go(RequestId(id), out),
            }
        }
    }

    /// Takes a server's report of its load over what it can do.
    fn on_report(&mut self, id: ServerId, ok: bool, report: &[f32], out: &mut Vec<Action>) {
        let Some(&slot) = self.index.get(&id) else { return };
        let at = self.settings.report_fields.iter().position(|f| *f == ReportField::Utilization);
        let load = at.filter(|_| ok).and_then(|at| report.get(at)).map(|x| f64::from(*x));
        let server = &self.servers[slot];
        let held = self.settings.report_fields.iter().position(|f| *f == ReportField::InFlight);
        let held = held.and_then(|at| report.get(at)).map_or(0.0, |x| f64::from(*x));
        let (own, own_load) = server.loads[REPORT_AGE - 1];
        let told = load.map(|load| ReportedLoad { load, own_load: own_load });
        ok.then(|| self.silence.clear(id));
        if let Some(load) = load {
            self.fleet.capacity.record(&ServerReport {
                weight: server.weight,
                utilization: load,
                connections: held,
                own_connections: own,
                own_load,
            });
        }
        self.ask(Asked::ProbeCompleted { server: id, report: told }, out);
    }

    /// A server's load over what it can do as of now: as last reported, and what the own connections
    /// have added or taken away since. A report alone is a second old or more, in which a burst can
    /// fill a server that looks idle.
    fn load_now(&self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let Some(told) = self.reports.report(self.now, s.id) else { return 0.0 };
        let capacity = self.fleet.capacity.load_per_weight() * s.weight;
        let since = if capacity > 0.0 { (s.load - told.own_load) / capacity } else { 0.0 };
        told.load + since
    }

    /// Relieves servers that have more than they can do.
    fn relieve_over(&mut self, out: &mut Vec<Action>) {
        for slot in 0..self.servers.len() {
            let server = &mut self.servers[slot];
            server.loads.rotate_right(1);
            let own = server.connections.len() as f64 + f64::from(server.elsewhere.0);
            server.loads[0] = (own, server.load);
            let due = own > 0.0 && server.track.next_rebalance_at <= self.now;
            let load = if due { self.load_now(slot) } else { 0.0 };
            if load >= OVER_LOAD {
                self.servers[slot].track.next_rebalance_at = self.now + RELIEF_MS;
                self.relieve(slot, 1.0 - BUSY_LOAD / load, out);
            }
        }
    }

    /// What is left on a draining server when it stops is cut off, and when that is, is told nowhere.
    fn leave_draining(&mut self, out: &mut Vec<Action>) {
        for slot in 0..self.servers.len() {
            let s = &self.servers[slot];
            if s.state == ServerState::Draining && !s.connections.is_empty() {
                let part = TICK_MS / (s.leave_by - self.now).max(TICK_MS);
                let count = s.connections.len() as f64 * part;
                let at_once = self.variant.injected_bug == Some(InjectedBug::DrainAtLeastOne);
                self.move_some(slot, if at_once { count.ceil() } else { count }, out);
            }
        }
    }

    /// Relief by load: moves own connections that make up this share of what they load the server with.
    fn relieve(&mut self, slot: usize, share: f64, out: &mut Vec<Action>) {
        let own = self.own_by_weight(slot);
        let loads: Vec<_> = own.iter().map(|id| self.requests.get(id).map_or(0.0, |p| p.load)).collect();
        let chosen = select_to_shed(&loads, share, || self.uniform());
        self.move_these(slot, chosen.into_iter().map(|at| own[at]).collect(), out);
    }

    /// Relief: moves some of the own connections away from a server that cannot carry them,
    /// heaviest for its worth first, as those relieve it most for each client disturbed.
    fn move_some(&mut self, slot: usize, excess: f64, out: &mut Vec<Action>) {
        let count = round_stochastic(excess, self.uniform());
        if count == 0 {
            return;
        }
        let chosen = self.own_by_weight(slot).into_iter().take(count).collect();
        self.move_these(slot, chosen, out);
    }

    /// The own connections of a server, the heaviest for its worth first, the newest of equals.
    fn own_by_weight(&self, slot: usize) -> Vec<RequestId> {
        let mut own = Vec::with_capacity(self.servers[slot].connections.len());
        for (at, id) in self.servers[slot].connections.iter().enumerate() {
            let Some(pending) = self.requests.get(id) else { continue };
            own.push((pending.load / self.worth(pending), at, *id));
        }
        own.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        own.into_iter().map(|(_, _, id)| id).collect()
    }

    fn move_these(&mut self, slot: usize, chosen: Vec<RequestId>, out: &mut Vec<Action>) {
        for id in chosen {
            out.push(Action::Move(id));
            // The request is over with that; its attempt still gets an end.
            self.drop_connection(slot, id);
            if let Some(pending) = self.requests.get_mut(&id) {
                pending.phase = Phase::Over;
            }
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        // A timer that nobody set must not start a second chain of them. Clocks round.
        if self.now < self.tick_at - 1.0 {
            return;
        }
        self.tick_at = self.now + TICK_MS;
        out.push(Action::SetTimer { delay_ms: TICK_MS, token: TICK });
        let over = |slot: &usize| self.servers[*slot].track.ejected_until <= self.now;
        let (back, out_yet): (Vec<_>, Vec<_>) = self.ejected.iter().partition(|slot| over(slot));
        self.ejected = out_yet;
        for slot in back {
            self.servers[slot].place = self.pickable.len();
            self.pickable.push(slot);
        }
        self.shares.review(self.now, self.total as f64, self.on_hot());
        self.leave_draining(out);
        self.relieve_over(out);
        self.ask_due(out);
        if self.fleet.shortage.review_due(self.now) {
            self.weigh_warm();
            self.fleet.shortage.review(self.now, self.total as f64, self.on_hot());
        }
        self.retry_held(out);
    }

    fn drop_connection(&mut self, slot: usize, id: RequestId) {
        let connections = &mut self.servers[slot].connections;
        if let Some(at) = connections.iter().position(|c| *c == id) {
            // In order of age: of connections that seem alike the newest is moved first.
            connections.remove(at);
            self.total -= 1;
            let (load, tenant) = self.requests.get(&id).map_or((0.0, u16::MAX), |p| (p.load, p.tenant.0));
            self.servers[slot].load -= load;
            self.shares.closed(tenant);
        }
    }

    /// Own connections on servers that have more than they can do: what tells a general overload.
    fn on_hot(&self) -> f64 {
        let hot = |slot: &usize| {
            self.servers[*slot].track.strain.is_overloaded(self.now) || self.load_now(*slot) >= OVER_LOAD
        };
        let own = (0..self.servers.len()).filter(|slot| !self.servers[*slot].connections.is_empty());
        let hot = own.filter(hot).map(|slot| self.servers[slot].connections.len());
        hot.sum::<usize>() as f64
    }

    // ---- Cold budgets ---------------------------------------------------------------------------

    /// True unless the server is cold and this node has sent its part. A cold server's capacity is
    /// guessed from what this node sends to others of its weight; since each node measures by its
    /// own traffic, unequal nodes together still keep to the multiple. `wanted` is this part of a connection.
    fn cold_allows(&mut self, slot: usize, wanted: f64) -> bool {
        let warmth = self.warmth(slot);
        if warmth >= 1.0 {
            return true;
        }
        let alone = self.variant.injected_bug == Some(InjectedBug::ColdBudgetNotDivided);
        let nodes = if alone { 1.0 } else { f64::from(self.settings.nodes.max(1)) };
        let uniform = self.uniform();
        let (rules, s) = (&self.settings.rules, &self.servers[slot]);
        let idle = self.reports.report(self.now, s.id).is_some() && self.load_now(slot) < COLD_IDLE;
        let margin = if idle { COLD_IDLE_MARGIN } else { COLD_MARGIN };
        let most = rules.collapse_load_ratio * margin * self.capacity(slot) * s.weight;
        let pace = SlowStartRate {
            // What would fill the server in its time to warm up, as far as reports tell that: refused
            // clients add nothing to the own rate. All nodes together send that much.
            share_per_ms: most * self.fleet.capacity.connections_per_weight()
                / rules.warm_up_ms.max(1.0)
                / nodes,
            baseline_per_ms: most * self.fleet.setup_rate.per_ms(self.now),
            recent_per_ms: s.weight * self.burst.per_ms(self.now),
            window_ms: rules.collapse_after_ms,
            demand: wanted,
        };
        self.servers[slot].track.budget.allows(self.now, &pace, uniform)
    }

    // ---- Request life ---------------------------------------------------------------------------

    fn effect(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(usize::from(class.0)).map_or(Idempotency::Safe, |c| c.idempotency)
    }

    /// By class, and whether its tenant is above its share.
    fn worth(&self, pending: &Pending) -> f64 {
        let above = self.shares.exceeds_share(pending.tenant.0, 0.0);
        let worth = self.settings.classes.get(usize::from(pending.class.0)).map_or(1.0, |c| c.value);
        (worth * if above { self.settings.over_quota_value_ratio } else { 1.0 }).max(0.01)
    }

    fn aim(&self, class: ClassId) -> Millis {
        self.settings.classes.get(usize::from(class.0)).map_or(0.0, |c| c.setup_goal_ms)
    }

    fn on_request(&mut self, new: &NewRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&new.request) {
            return;
        }
        let pending = self.pending(new, NOWHERE);
        self.groups.record(pending.group);
        self.retries.record_request(self.now);
        self.attempt(new.request, pending, out);
    }

    fn pending(&self, new: &NewRequest, slot: usize) -> Pending {
        Pending {
            class: new.class,
            tenant: new.tenant,
            group: if self.settings.group_affinity { new.group } else { 0 },
            phase: Phase::Held,
            tried: [NOWHERE; 2],
            erred: Vec::new(),
            drawn: Vec::new(),
            redrawn: 0,
            again_at: self.now,
            slot,
            arrived: self.now,
            deadline: self.now + new.time_left_ms.max(0.0),
            sent_at: self.now,
            attempts: 0,
            load: 0.0,
            ran: None,
        }
    }

    fn on_open(&mut self, new: &NewRequest, server: ServerId) {
        if self.requests.contains_key(&new.request) {
            return;
        }
        let slot = match self.index.get(&server) {
            Some(slot) => *slot,
            // Not in the list any more: remembered for its count alone, never sent to.
            None => self.add_server(&ServerEntry {
                server,
                zone: self.settings.zone,
                cell: CellId(0),
                state: ServerState::Gone,
                weight: 0.0,
                started_at: 0.0,
            }),
        };
        let (phase, deadline, attempts) = (Phase::Open, f64::INFINITY, 1);
        let pending = Pending { phase, deadline, attempts, ..self.pending(new, slot) };
        self.groups.record(pending.group);
        self.add_open(slot, 1);
        self.servers[slot].connections.push(new.request);
        self.shares.opened(new.tenant.0);
        self.total += 1;
        self.requests.insert(new.request, pending);
    }

    /// May the next attempt go to this server?
    fn may_run_on(&self, pending: &Pending, slot: usize) -> bool {
        let server = &self.servers[slot];
        self.effect(pending.class).may_execute_on(self.now, pending.ran, server.zone.0, server.cell.0)
    }

    /// Draws servers for the next attempt and asks for their load, or holds the request, or gives its
    /// final answer.
    fn attempt(&mut self, id: RequestId, mut pending: Pending, out: &mut Vec<Action>) {
        let (left, uniform) = (pending.deadline - self.now, self.uniform());
        let tries_left = self.settings.limits.max_attempts.saturating_sub(pending.attempts);
        let over = left < LEAST_LEFT_MS
            || tries_left == 0
            || !self.effect(pending.class).may_repeat(self.now, pending.ran);
        let above = self.shares.rejects(self.now, pending.tenant.0);
        if over || above || self.throttled(&pending) || self.fleet.shortage.is_reached(self.total, uniform) {
            self.answer(id, &pending, out);
            return;
        }
        pending.drawn = self.draw_some(&pending);
        let hosts: Vec<_> = pending.drawn.iter().map(|slot| self.servers[*slot].id).collect();
        pending.phase = Phase::Asking;
        self.requests.insert(id, pending);
        if hosts.is_empty() || !self.may_ask() || left < 2.0 * TICK_MS {
            self.go(id, out);
            return;
        }
        self.ask(Asked::PickRequested { pick: id.0, servers: hosts }, out);
        // Also where others have asked already: their question may get no answer.
        if self.reports.next_timeout().is_some() {
            out.push(Action::SetTimer {
                delay_ms: self.settings.probe_settings().pick_timeout_ms,
                token: PATIENCE,
            });
        }
    }

    /// Picks among what was drawn and sends the attempt, or draws again, or holds the request.
    fn go(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|p| p.phase != Phase::Asking) {
            return;
        }
        let mut pending = self.requests.remove(&id).expect("just seen");
        let Some(slot) = self.pick(&pending) else {
            if !pending.drawn.is_empty() && pending.redrawn < MORE_DRAWS {
                pending.redrawn += 1;
                self.attempt(id, pending, out);
                return;
            }
            // A list or a warmer server may come while the aim can still be met.
            let give_up = (pending.arrived + self.aim(pending.class)).min(pending.deadline);
            if self.now + 2.0 * TICK_MS > give_up {
                self.answer(id, &pending, out);
            } else {
                (pending.phase, pending.redrawn) = (Phase::Held, 1);
                self.requests.insert(id, pending);
                self.held.push(id);
            }
            return;
        };
        let left = pending.deadline - self.now;
        let tries_left = self.settings.limits.max_attempts.saturating_sub(pending.attempts);
        // Half of the time stays for another server, unless the aim takes more or none may follow.
        let another = tries_left > 1 && self.effect(pending.class) != Idempotency::Unsafe;
        let timeout_ms = if another && left / 2.0 >= self.aim(pending.class) / 2.0 {
            (left / 2.0).max(self.aim(pending.class)).min(left)
        } else {
            left
        };
        out.push(Action::Send { request: id, server: self.servers[slot].id, timeout_ms });
        self.add_open(slot, 1);
        self.servers[slot].track.budget.spend();
        self.burst.add(self.now, self.per_warm());
        self.reports.handle(self.now, Asked::ReportUsed(self.servers[slot].id), &mut Vec::new());
        self.retries.record_attempt();
        pending.phase = Phase::Trying;
        pending.redrawn = 0;
        pending.tried = [slot, pending.tried[0]];
        pending.slot = slot;
        pending.sent_at = self.now;
        pending.attempts += 1;
        self.requests.insert(id, pending);
    }

    /// Throttle: refuses part of the attempts while many fail, as more of them only feed the cause.
    fn throttled(&mut self, pending: &Pending) -> bool {
        let uniform = self.uniform();
        if pending.redrawn > 0 || self.variant.injected_bug == Some(InjectedBug::RetryStorm) {
            return false;
        }
        let limit = if pending.attempts == 0 { Limiter::allows_first } else { Limiter::allows_retry };
        !limit(&mut self.retries, self.now, uniform)
    }

    /// The final answer when nothing more can be tried.
    fn answer(&mut self, id: RequestId, pending: &Pending, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        self.blame(&pending.erred, false);
        let retry_after_ms = self.retry_after();
        out.push(self.refuse_or_fail(id, pending, retry_after_ms));
    }

    /// Refused says that trying again is harmless: not where one may have run that must not run twice.
    fn refuse_or_fail(&self, id: RequestId, pending: &Pending, retry_after_ms: Millis) -> Action {
        let harmless = self.effect(pending.class).client_may_retry(pending.ran);
        if harmless { Action::Reject { request: id, retry_after_ms } } else { Action::Fail(id) }
    }

    /// The final answer when nothing more can be waited for. An attempt that is out may run yet.
    fn answer_now(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.phase == Phase::Trying {
            let server = &self.servers[pending.slot];
            let sent =
                PossibleExecution { sent_at: pending.sent_at, zone: server.zone.0, cell: server.cell.0 };
            pending.ran = pending.ran.or(Some(sent));
        }
        if !matches!(pending.phase, Phase::Open | Phase::Over) {
            out.push(self.refuse_or_fail(id, &self.requests[&id], 0.0));
            self.on_client_gone(id, out);
        }
    }

    /// When a refused client should come again; 0 where clients are not told.
    fn retry_after(&mut self) -> Millis {
        if !self.settings.limits.retry_after {
            return 0.0;
        }
        (RETRY_AFTER_MS * (0.5 + self.uniform())).min(self.settings.limits.max_retry_after_ms)
    }

    fn retry_held(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.held) {
            // A held request may have been withdrawn meanwhile.
            let Some(pending) = self.requests.get(&id).filter(|p| p.phase == Phase::Held) else { continue };
            if pending.again_at > self.now {
                self.held.push(id);
            } else {
                let pending = self.requests.remove(&id).expect("just seen");
                self.attempt(id, pending, out);
            }
        }
    }

    fn on_established(&mut self, id: RequestId, attempt: AttemptNo) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if pending.phase != Phase::Trying || pending.attempts != attempt.0.wrapping_add(1) {
            return;
        }
        pending.phase = Phase::Open;
        self.shares.opened(pending.tenant.0);
        let erred = std::mem::take(&mut pending.erred);
        let slot = pending.slot;
        let server = &mut self.servers[slot];
        self.back.remove(&server.id);
        server.connections.push(id);
        server.load += pending.load;
        self.total += 1;
        let took_ms = self.now - pending.sent_at;
        // Where loads are told they say more, and a set-up across zones may take as long on a sound host.
        let aim = if self.may_ask() { f64::INFINITY } else { self.slow_aim };
        let server = &mut self.servers[slot];
        server.track.strain.record_connect(self.now, took_ms, aim, f64::from(server.open));
        self.retries.record_success(self.now, took_ms);
        self.reports.handle(self.now, Asked::RefreshCredited, &mut Vec::new());
        self.fleet.setup_rate.add(self.now, self.per_warm());
        self.blame(&erred, true);
    }

    /// Tells whose fault errors were, once that is known. A request that errs wherever it goes is
    /// itself at fault: its servers must not be left out for it, and it counts as one failure.
    fn blame(&mut self, erred: &[usize], stood: bool) {
        if stood || erred.len() == 1 {
            self.retries.record_failures(self.now, erred.len() as f64);
            erred.iter().for_each(|slot| self.on_failure(*slot, self.most_ejected()));
        } else if !erred.is_empty() {
            self.retries.record_failures(self.now, 1.0);
        }
    }

    fn on_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else { return };
        if matches!(pending.phase, Phase::Held | Phase::Asking)
            || pending.attempts != attempt.0.wrapping_add(1)
        {
            return;
        }
        let slot = pending.slot;
        self.drop_connection(slot, id);
        let Some(mut pending) = self.requests.remove(&id) else { return };
        self.add_open(slot, -1);
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Error | Outcome::Reset if pending.phase == Phase::Trying => {
                if !pending.erred.contains(&slot) {
                    pending.erred.push(slot);
                }
            }
            // Nobody is there: that is no cause which servers share, and all but one may be out for it.
            Outcome::ConnectFailed => self.on_failure(slot, self.ready.saturating_sub(1)),
            Outcome::Error | Outcome::Full | Outcome::TimedOut | Outcome::Reset => {
                self.retries.record_failures(self.now, f64::from(u8::from(pending.phase == Phase::Trying)));
                self.on_failure(slot, self.most_ejected());
            }
        }
        if closed || pending.phase == Phase::Over {
            self.blame(&pending.erred, false);
            return;
        }
        if !outcome.never_ran() && pending.ran.is_none() {
            let server = &self.servers[slot];
            pending.ran = Some(PossibleExecution {
                sent_at: pending.sent_at,
                zone: server.zone.0,
                cell: server.cell.0,
            });
        }
        if pending.phase == Phase::Open && outcome != Outcome::Ok {
            // A broken stream has ended for its client; nothing may follow it.
            out.push(Action::Fail(id));
            return;
        }
        // A break says less: the network may cut off several attempts running.
        if outcome == Outcome::Error && pending.erred.len() >= MOST_ERRORS {
            self.answer(id, &pending, out);
            return;
        }
        let wait = Limiter::backoff_ms(usize::from(pending.attempts), self.uniform());
        let storm = self.variant.injected_bug == Some(InjectedBug::RetryStorm);
        if wait > TICK_MS && self.now + wait + 2.0 * TICK_MS < pending.deadline && !storm {
            pending.phase = Phase::Held;
            pending.again_at = self.now + wait;
            self.requests.insert(id, pending);
            self.held.push(id);
            return;
        }
        self.attempt(id, pending, out);
    }

    fn on_client_gone(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        match pending.phase {
            Phase::Held | Phase::Asking => {
                let erred = std::mem::take(&mut pending.erred);
                self.requests.remove(&id);
                self.reports.handle(self.now, Asked::PickCancelled(id.0), &mut Vec::new());
                self.blame(&erred, false);
            }
            Phase::Trying | Phase::Open => {
                // Work for a client that has left serves nobody.
                if pending.phase == Phase::Trying && self.settings.limits.cancel {
                    let attempt = AttemptNo(pending.attempts - 1);
                    out.push(Action::Cancel { request: id, attempt });
                }
                pending.phase = Phase::Over;
            }
            Phase::Over => {}
        }
    }
}
