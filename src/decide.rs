//! All balancing decisions. The input and output types are in `interface.rs`.
//!
//! The basic rule is Greedy(D, d): the server with the fewest own open connections per weight
//! among d uniform draws over the ready servers, with d derived from the weights ([`crate::draw_count`]).
//! "Own" always means this node's, as no node sees the connections of the others.
//!
//! Exceptions are documented where they apply, each with what it guards against; `docs/design.md` lists them.

mod handover;
mod membership;
mod send_check;

use crate::interface::*;
use crate::variant::{InjectedBug, Variant};
use marllink_admission::TenantShares;
use marllink_affinity::GroupSizes;
use marllink_rate_limits::{
    ConnectionLimit, Rate, SlowStartRate, choose_weighted, round_stochastic, select_to_shed,
};
use marllink_retries::{Limiter, PossibleExecution};
use marllink_server_state::{Command, Event as ProbeEvent, ServerReport, UnresponsiveDetector, Verdict};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};

// ---- Tunables ---------------------------------------------------------------------------------

/// Zone credit, in connections per 0.01 of the cross-zone price: a server of the own zone is still preferred
/// if it holds this many connections more than others.
const ZONE_CREDIT_CONNECTIONS: f64 = 0.8;
/// Maximum number of rounds of draws within one pick while all drawn servers are unusable (recently tried, or
/// in slow start with an exhausted budget).
const MAX_DRAW_ROUNDS: usize = 8;
/// Number of servers beyond a group's share of the fleet that also receive group credit, each less of it.
const GROUP_EXTRA_SERVER_COUNT: usize = 2;
/// Group credit: the preferred servers of a group are drawn in addition to the others and count as holding
/// this many connections fewer. What a group costs a server that holds any of it is unknown; a higher credit
/// would fill a group's first server before others of the same size.
const GROUP_CREDIT_CONNECTIONS: f64 = 2.0;
/// Factor by which the group credit falls with each server beyond the group's share.
const GROUP_CREDIT_DECAY_RATIO: f64 = 0.7;
/// Multiple of the number of draws that the theorem requires: a node's own counts often tie, and more draws
/// order the servers more accurately.
const DRAW_MULTIPLIER: usize = 3;
/// Maximum number of tied servers that become candidates and are probed before one of them is picked.
const MAX_CANDIDATE_COUNT: usize = 3;
/// Maximum number of repeated draws if no candidate is usable, for example if all report that they are full.
const MAX_REDRAW_COUNT: u8 = 2;
/// Connections added to the count of a server that does not answer probes: it only receives what no other
/// server may take.
const UNRESPONSIVE_PENALTY_CONNECTIONS: f64 = 1e6;
/// Load assumed for a server without a known load.
const UNKNOWN_LOAD_RATIO: f64 = 0.5;
/// Housekeeping period: well under the shortest ejection and any set-up goal.
const HOUSEKEEPING_MS: Millis = 200.0;
/// Duration of the first ejection. It doubles with each consecutive failure, since a longer outage becomes
/// more likely.
const EJECTION_MS: Millis = 1_000.0;
/// Maximum duration of an ejection: a recovered server must not stay empty for long.
const MAX_EJECTION_MS: Millis = 8_000.0;
/// Time without a failure after an ejection that resets the count of consecutive failures. A success alone
/// does not reset it: a server that fails most requests has some successes, and one that sheds load accepts
/// all connections.
const FAILURE_RESET_MS: Millis = 5_000.0;
/// Maximum share of the ready servers that may be ejected at once: if more appear to fail, the cause lies
/// elsewhere. Servers that accept no connection or are unresponsive are exempt: all but one may be ejected.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// Failures of a server within this time count as one: a lost server resets all its connections together.
const FAILURE_MERGE_MS: Millis = 50.0;
/// Load from which a server is busy and receives no new connections.
const BUSY_LOAD_RATIO: f64 = 0.7;
/// Load from which connections are moved off a server, down to `BUSY_LOAD_RATIO`.
const OVERLOAD_RATIO: f64 = 0.8;
/// Minimum time between two such rebalancings of a server: its reports do not yet reflect what other nodes
/// have moved.
const REBALANCE_INTERVAL_MS: Millis = 2_500.0;
/// Assumed age of a load report on arrival, in housekeeping periods, as reports are made periodically and
/// arrive late. A reported load is corrected by the change of the own connections since then.
const REPORT_AGE_PERIODS: usize = 4;
/// Where servers report no load, maximum own count of a server per weight, as a multiple of the mean: if few
/// servers accept connections, all new ones would otherwise go to those.
const MAX_MEAN_MULTIPLE: f64 = 2.0;
/// Time constant of the own set-up rate that slow-start budgets are based on: longer than a burst of
/// reconnecting clients, shorter than the daily cycle.
const SETUP_RATE_TAU_MS: Millis = 20_000.0;
/// Time constant of the set-up rate that detects bursts, used where a budget is less than one connection.
const BURST_RATE_TAU_MS: Millis = 1_000.0;
/// Maximum load sent to a server in slow start, as a share of the load that makes it collapse. The rest
/// allows for errors of the estimate, heavy connections, bursts, and nodes that do not know of it yet.
const SLOW_START_MARGIN_RATIO: f64 = 0.5;
/// The same share while the server reports less than `SLOW_START_IDLE_LOAD_RATIO`: if it has less capacity
/// than estimated, its load rises and the next report shows that before it collapses.
const SLOW_START_IDLE_MARGIN_RATIO: f64 = 0.8;
/// Reported load below which a server in slow start counts as idle.
const SLOW_START_IDLE_LOAD_RATIO: f64 = 0.35;
/// Time over which connections are moved off a draining server at an even pace, randomized where less than
/// one connection is due: otherwise nodes that hold one each would all move it at the same moment.
const DRAIN_MS: Millis = 4_000.0;
/// Mean retry-after delay of a rejected client, randomized by half of it either way so that clients rejected
/// together do not return together. Servers that are full, overloaded or ejected need about this long.
const RETRY_AFTER_MS: Millis = 1_000.0;
/// Number of servers that must have failed a request, by errors or resets, for an error to end its retries:
/// the request itself is then the likely cause.
const MAX_ERROR_COUNT: usize = 3;
/// Minimum time left for an attempt: with less it can no longer succeed.
const MIN_TIME_LEFT_MS: Millis = 5.0;

const HOUSEKEEPING_TIMER: TimerToken = TimerToken(0);
const LIST_TIMER: TimerToken = TimerToken(1);
const PROBE_TIMER: TimerToken = TimerToken(2);
/// Marks an index as unset.
const NO_INDEX: usize = usize::MAX;

#[derive(Debug)]
struct Server {
    id: ServerId,
    zone: ZoneId,
    cell: CellId,
    /// Effective state: a server in maintenance drains whatever the list says.
    state: ServerState,
    listed_state: ServerState,
    listed_weight: f64,
    /// Effective weight: positive and finite.
    weight: f64,
    /// Number of own pending attempts and open connections, including those of a predecessor.
    open: u32,
    /// Own open connections, oldest first.
    connections: Vec<RequestId>,
    /// Number and load of a predecessor's attempts and connections.
    predecessor_held: (u32, f64),
    /// Current load of the own connections.
    own_load: f64,
    /// Number and load of the own connections in the last housekeeping cycles, newest first.
    own_history: [(f64, f64); REPORT_AGE_PERIODS],
    /// While draining, when all connections should have been moved.
    drain_by: Millis,
    /// Index in `Balancer::pickable`, or `NO_INDEX`.
    pickable_index: usize,
    /// State that a successor receives.
    history: ServerHistory,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Waiting for a server that can take it.
    Queued,
    /// Waiting for load probes of its candidates.
    Probing,
    /// An attempt is pending.
    Attempting,
    /// The connection is established.
    Open,
    /// The client needs no further answer, but an attempt or connection has not ended yet.
    Finished,
}

/// A request, from its arrival until its connection has ended.
#[derive(Debug)]
struct RequestState {
    class: ClassId,
    tenant: TenantId,
    group: u64,
    phase: Phase,
    /// Slots of the servers tried last, newest first.
    last_tried: [usize; 2],
    /// Slots of the servers that answered with an error or reset the connection.
    errored: Vec<usize>,
    /// Slots of the candidates for the next attempt.
    candidates: Vec<usize>,
    /// Number of repeated draws for the next attempt; above 0, the retry limiter is not consulted again.
    redraws: u8,
    /// Earliest time of the next attempt.
    retry_at: Millis,
    /// Slot of the server of the pending attempt or open connection.
    slot: usize,
    arrived_at: Millis,
    deadline: Millis,
    sent_at: Millis,
    attempts: u8,
    /// Load of its connection, in microseconds of work per second; 0 until reported.
    load: f64,
    /// The first attempt that may have been executed.
    possible_execution: Option<PossibleExecution>,
}

/// Makes the balancing decisions of one node.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Xoshiro256PlusPlus,
    now: Millis,
    /// All known servers; an index into this is called a slot.
    servers: Vec<Server>,
    free_slots: Vec<usize>,
    slot_by_id: FxHashMap<ServerId, usize>,
    /// Slots of the servers that are ready and not ejected.
    pickable: Vec<usize>,
    ejected: Vec<usize>,
    ready_count: usize,
    ready_weight: f64,
    /// Number of own attempts and connections at the ready servers.
    ready_open: f64,
    /// Weight of the ready servers that carry the own load, scaled down for those in slow start.
    available_weight: f64,
    draw_count: usize,
    /// Lowest weight of the ready servers.
    min_weight: f64,
    requests: FxHashMap<RequestId, RequestState>,
    queued: Vec<RequestId>,
    /// State of the fleet that a successor receives.
    fleet: FleetHistory,
    /// Reported loads of servers, and the picks that wait for probes.
    probe_pool: marllink_server_state::ProbePool<ServerId, ReportedLoad>,
    unresponsive_detector: UnresponsiveDetector<ServerId>,
    retry_limiter: Limiter,
    /// Rate of attempts sent per unit of available weight, over a short time.
    burst_rate: Rate,
    tenant_shares: TenantShares,
    /// Number of connections seen by group.
    group_sizes: GroupSizes,
    variant: Variant,
    /// Number of own open connections, including those of a predecessor.
    connection_count: usize,
    in_maintenance: FxHashSet<ServerId>,
    /// Servers returned from maintenance that have held no connection since.
    returned: FxHashSet<ServerId>,
    /// When housekeeping is due; `INFINITY` before the first event.
    housekeeping_at: Millis,
    /// The strictest latency goal for a message.
    message_goal: Millis,
}

impl Balancer {
    /// Creates a balancer without any knowledge. `seed` should differ between nodes and restarts. The
    /// first event should be the last known server list, which may be empty.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        Self::with_variant(settings, seed, now, Variant::default())
    }

    /// Creates a balancer with a variant of the decisions, for experiments.
    #[must_use]
    pub fn with_variant(settings: Settings, seed: u64, now: Millis, variant: Variant) -> Self {
        Self {
            message_goal: settings.strictest_message_goal(),
            probe_pool: marllink_server_state::ProbePool::new(settings.probe_settings()),
            unresponsive_detector: UnresponsiveDetector::default(),
            retry_limiter: Limiter::new(variant.retries.clone(), settings.nodes, now),
            burst_rate: Rate::new(BURST_RATE_TAU_MS, now),
            tenant_shares: TenantShares::new(settings.tenant_quotas(), settings.nodes),
            group_sizes: GroupSizes::default(),
            variant,
            settings,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now,
            servers: Vec::new(),
            free_slots: Vec::new(),
            slot_by_id: FxHashMap::default(),
            pickable: Vec::new(),
            ejected: Vec::new(),
            ready_count: 0,
            ready_weight: 0.0,
            ready_open: 0.0,
            available_weight: 0.0,
            draw_count: 2,
            min_weight: 1.0,
            requests: FxHashMap::default(),
            queued: Vec::new(),
            fleet: FleetHistory {
                setup_rate: Rate::new(SETUP_RATE_TAU_MS, now),
                connection_limit: ConnectionLimit::new(now),
                ..FleetHistory::default()
            },
            connection_count: 0,
            in_maintenance: FxHashSet::default(),
            returned: FxHashSet::default(),
            housekeeping_at: f64::INFINITY,
        }
    }

    /// Handles one event that happened at `now` and appends the resulting actions. A clock that steps back
    /// counts as stopped; unknown ids are ignored.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if now > self.now {
            self.now = now;
        }
        if self.housekeeping_at == f64::INFINITY {
            // A random offset: nodes that start together must not run housekeeping in step.
            let delay_ms = HOUSEKEEPING_MS * self.uniform();
            self.housekeeping_at = self.now + delay_ms;
            actions.push(Action::SetTimer { delay_ms, token: HOUSEKEEPING_TIMER });
        }
        match event {
            Event::ServerList { kind, entries } => self.on_list(kind, &entries, actions),
            Event::Maintenance { server, begins } => self.on_maintenance(server, begins, actions),
            Event::Settings(settings) => {
                self.message_goal = settings.strictest_message_goal();
                self.retry_limiter.set_balancer_count(settings.nodes);
                self.tenant_shares.update_quotas(settings.tenant_quotas(), settings.nodes);
                self.settings = settings;
            }
            Event::TakeOver(learned) => self.take_over(learned),
            Event::PredecessorHoldings(holdings) => self.on_predecessor_holdings(&holdings),
            Event::Request(request) => self.on_request(&request, actions),
            Event::OpenConnection { request, server } => self.on_open_connection(&request, server),
            Event::Established { request, attempt, .. } => self.on_established(request, attempt),
            Event::ConnectionLoad { request, load } => {
                if let Some(state) = self.requests.get_mut(&request) {
                    let before = std::mem::replace(&mut state.load, load);
                    if state.phase == Phase::Open {
                        self.servers[state.slot].own_load += load - before;
                    }
                }
            }
            Event::AttemptEnded { request, attempt, outcome, closed } => {
                self.on_attempt_ended(request, attempt, outcome, closed, actions);
            }
            Event::MessageDelay { request, delay_ms } => self.on_message_delay(request, delay_ms, actions),
            Event::Unresponsive { server, symptom } => self.on_unresponsive(server, symptom, actions),
            Event::Timer(HOUSEKEEPING_TIMER) => self.on_housekeeping(actions),
            Event::Timer(LIST_TIMER) => actions.push(Action::WatchList),
            Event::ClientGone(request) => self.on_client_gone(request, actions),
            Event::AnswerNow(request) => self.answer_now(request, actions),
            Event::ProbeResult { server, ok, report } => self.on_probe_result(server, ok, &report, actions),
            Event::Timer(PROBE_TIMER) => self.handle_probe_event(ProbeEvent::Timeout, actions),
            Event::Timer(_) | Event::PeerMessage { .. } => {}
        }
    }

    /// Returns a random number in 0..1.
    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Updates the weight that carries the own load: that of the own zone if crossing zones has a price and
    /// the zone has ready servers, otherwise that of all ready servers.
    fn update_available_weight(&mut self) {
        let available = |slot: &usize| self.servers[*slot].weight * self.capacity_ratio(*slot);
        let ready = || self.pickable.iter().chain(&self.ejected);
        let in_zone =
            ready().filter(|slot| self.servers[**slot].zone == self.settings.zone).map(available).sum();
        let stays_in_zone = self.settings.prices.cross_zone > 0.0 && in_zone > 0.0;
        self.available_weight = if stays_in_zone { in_zone } else { ready().map(available).sum() };
    }

    /// Returns what one set-up adds per unit of available weight; 0 if no weight is available.
    fn setup_per_weight(&self) -> f64 {
        if self.available_weight > 0.0 { 1.0 / self.available_weight } else { 0.0 }
    }

    // ---- Load counts and draws ------------------------------------------------------------------

    /// Changes the count of own attempts and connections of a server. Releases its slot once it is gone and
    /// holds nothing.
    fn add_open(&mut self, slot: usize, change: i32) {
        let server = &mut self.servers[slot];
        server.open = server.open.saturating_add_signed(change);
        if server.state == ServerState::Ready {
            self.ready_open += f64::from(change);
        } else if server.open == 0 && server.state == ServerState::Gone {
            let id = server.id;
            self.release_slot(slot, id);
        }
    }

    fn age(&self, slot: usize) -> Millis {
        let s = &self.servers[slot];
        if s.history.started_at > 0.0 { (self.now - s.history.started_at).max(0.0) } else { f64::INFINITY }
    }

    /// Returns how far a server has warmed up: 0 at its start, 1 once slow start is over.
    fn warmup(&self, slot: usize) -> f64 {
        let warm_up_ms = self.settings.rules.warm_up_ms.max(1.0);
        (self.age(slot) / warm_up_ms).min(1.0)
    }

    /// Returns the guaranteed capacity of a server as a share of its capacity when warmed up.
    fn capacity_ratio(&self, slot: usize) -> f64 {
        let initial = self.settings.rules.initial_capacity_ratio;
        initial + (1.0 - initial) * self.warmup(slot)
    }

    /// Returns the own connections per weight. A new or restarted server starts at the mean of the others
    /// and fades to its actual count: otherwise it would attract every new connection while its capacity
    /// is lowest.
    fn own_connections_per_weight(&mut self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let (open, weight) = (f64::from(s.open), s.weight);
        let warmup = self.warmup(slot);
        let others = self.ready_weight - weight;
        let mean = if others > 0.0 { (self.ready_open - open).max(0.0) / others * weight } else { 0.0 };
        let count = mean * (1.0 - warmup) + open * warmup;
        round_stochastic(count * self.min_weight / weight, self.uniform()) as f64 / self.min_weight
    }

    /// Returns the zone credit: if crossing zones has a price, servers of the own zone count as holding fewer
    /// connections. Own counts are balanced over all zones, so the basic rule would nearly always cross.
    fn zone_credit(&self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let price = if s.zone == self.settings.zone { self.settings.prices.cross_zone } else { 0.0 };
        if self.variant.injected_bug == Some(InjectedBug::CreditByWeight) {
            return ZONE_CREDIT_CONNECTIONS * 100.0 * price / s.weight;
        }
        // Divided by the mean weight of all servers, so that it does not count for more on a lighter one.
        ZONE_CREDIT_CONNECTIONS * 100.0 * price * self.ready_count as f64 / self.ready_weight
    }

    /// Draws the candidates of a pick: the drawn servers with the fewest own connections per weight. Ties
    /// are broken at random in proportion to weight, as most counts are 0 in a large fleet.
    fn draw_candidates(&mut self, request: &RequestState) -> Vec<usize> {
        if let Some(slot) = self.returned_server(request) {
            return vec![slot];
        }
        // With many zones a few draws rarely hit the own one, so the draws are multiplied by the zones.
        let prefers_zone = self.settings.prices.cross_zone > 0.0;
        let draws = DRAW_MULTIPLIER
            * self.draw_count
            * if prefers_zone { usize::from(self.settings.zones.max(1)) } else { 1 };
        let (mut seen, mut drawn) = (Vec::new(), Vec::<(f64, usize)>::new());
        let (preferred, in_share_count) = self.group_servers(request.group);
        for round in 0..MAX_DRAW_ROUNDS {
            for nth in 0..draws + preferred.len() {
                let Some(slot) = preferred.get(nth).copied().or_else(|| self.draw()) else {
                    return Vec::new();
                };
                // `is_full` is randomized, so it runs only once per server and pick.
                if seen.contains(&slot) || (round + 1 < MAX_DRAW_ROUNDS && request.last_tried.contains(&slot))
                {
                    continue;
                }
                seen.push(slot);
                if self.may_execute_on(request, slot) && !self.is_full(slot) {
                    let group_rank = preferred.iter().position(|server| *server == slot);
                    let credit = group_rank.map_or(0.0, |rank| {
                        GROUP_CREDIT_CONNECTIONS
                            * GROUP_CREDIT_DECAY_RATIO.powi((rank + 1).saturating_sub(in_share_count) as i32)
                    }) + if prefers_zone { self.zone_credit(slot) } else { 0.0 };
                    let unresponsive = self.probe_pool.is_unresponsive(self.now, self.servers[slot].id);
                    drawn.push((
                        self.own_connections_per_weight(slot)
                            + if unresponsive { UNRESPONSIVE_PENALTY_CONNECTIONS } else { -credit },
                        slot,
                    ));
                }
            }
            // The slow-start budget is only checked for servers that would be picked, since nearly every pick
            // draws some server in slow start.
            while !drawn.is_empty() {
                let mut best = self.least_loaded(&drawn, request.group);
                let share = 1.0 / best.len() as f64;
                let mut denied = best.clone();
                denied.sort_unstable();
                denied.dedup();
                denied.retain(|slot| !self.slow_start_allows(*slot, share));
                drawn.retain(|d| !denied.contains(&d.1));
                best.retain(|slot| !denied.contains(slot));
                if !best.is_empty() {
                    return best;
                }
            }
        }
        Vec::new()
    }

    /// Returns up to `MAX_CANDIDATE_COUNT` of the drawn servers with the lowest count, chosen at random in
    /// proportion to weight.
    fn least_loaded(&mut self, drawn: &[(f64, usize)], group: u64) -> Vec<usize> {
        let least = drawn.iter().map(|d| d.0).fold(f64::INFINITY, f64::min);
        let drawn: Vec<_> = drawn.iter().filter(|d| d.0 == least).collect();
        // The order of a group's servers already accounts for weight.
        let weight = |d: &&(f64, usize)| if group == 0 { self.servers[d.1].weight } else { 1.0 };
        let weights: Vec<_> = drawn.iter().map(weight).collect();
        // Duplicates stay: such a server is probed once and has twice the chance.
        (0..MAX_CANDIDATE_COUNT)
            .filter_map(|_| choose_weighted(&weights, self.uniform()))
            .map(|at| drawn[at].1)
            .collect()
    }

    /// Returns the preferred servers of a group, in an order that is the same at all nodes, and how many of
    /// them are within the group's share of the fleet; none without a group.
    fn group_servers(&mut self, group: u64) -> (Vec<usize>, usize) {
        if group == 0 {
            return (Vec::new(), 0);
        }
        let uniform = self.uniform();
        let in_share_count = self.group_sizes.server_count(group, self.pickable.len(), uniform);
        let server = |slot: &usize| (self.servers[*slot].id.0, self.servers[*slot].weight, *slot);
        (
            marllink_affinity::top_servers(
                group,
                self.pickable.iter().map(server),
                in_share_count + GROUP_EXTRA_SERVER_COUNT,
            ),
            in_share_count,
        )
    }

    /// Picks one of the candidates at random, in proportion to the square of their spare capacity. The one
    /// with the most would be the same for all nodes, as reports are about a second old, and would be
    /// overrun.
    fn pick(&mut self, request: &RequestState) -> Option<usize> {
        let spare = |slot: &usize| {
            let (slot, id) = (*slot, self.servers[*slot].id);
            let unresponsive =
                request.redraws < MAX_REDRAW_COUNT && self.probe_pool.is_unresponsive(self.now, id);
            if self.servers[slot].pickable_index == NO_INDEX
                || unresponsive
                || !self.may_execute_on(request, slot)
            {
                return 0.0;
            }
            let known = self.probe_pool.report(self.now, id).is_some();
            let load = if known { self.current_load(slot) } else { UNKNOWN_LOAD_RATIO };
            if load >= BUSY_LOAD_RATIO { 0.0 } else { (OVERLOAD_RATIO - load).powi(2) }
        };
        let shares: Vec<_> = request.candidates.iter().map(spare).collect();
        choose_weighted(&shares, self.uniform()).map(|at| request.candidates[at])
    }

    /// Returns a server that came back from maintenance and should get one connection without a draw.
    /// Operators see from that whether it serves; draws may skip it for long while it counts as the mean.
    fn returned_server(&mut self, request: &RequestState) -> Option<usize> {
        let slots: Vec<_> = self.returned.iter().filter_map(|id| self.slot_by_id.get(id).copied()).collect();
        slots.into_iter().find(|&slot| {
            let s = &self.servers[slot];
            let pending_attempts = s.open as usize - s.connections.len() - s.predecessor_held.0 as usize;
            s.pickable_index != NO_INDEX
                && pending_attempts == 0
                && self.may_execute_on(request, slot)
                && !self.is_full(slot)
                && self.slow_start_allows(slot, 1.0)
        })
    }

    /// Draws one of the servers that may be picked, uniformly.
    fn draw(&mut self) -> Option<usize> {
        if self.pickable.is_empty() {
            return None;
        }
        let i = (self.uniform() * self.pickable.len() as f64) as usize;
        Some(self.pickable[i])
    }

    // ---- Health ---------------------------------------------------------------------------------

    /// Outlier ejection: removes a server from the ready set for some time, unless `max_ejected` servers
    /// are already ejected.
    fn eject(&mut self, slot: usize, duration_ms: Millis, max_ejected: usize) {
        let until = self.now + duration_ms;
        let server = &mut self.servers[slot];
        if server.pickable_index == NO_INDEX {
            server.history.ejected_until = server.history.ejected_until.max(until);
            return;
        }
        if self.ejected.len() >= max_ejected {
            return;
        }
        server.history.ejected_until = until;
        let index = std::mem::replace(&mut server.pickable_index, NO_INDEX);
        self.pickable.swap_remove(index);
        if let Some(moved) = self.pickable.get(index) {
            self.servers[*moved].pickable_index = index;
        }
        self.ejected.push(slot);
    }

    fn max_ejected(&self) -> usize {
        (self.ready_count as f64 * MAX_EJECTED_RATIO) as usize
    }

    /// Records a failure of a server and ejects it, unless `max_ejected` servers are already ejected.
    fn on_failure(&mut self, slot: usize, max_ejected: usize) {
        let server = &mut self.servers[slot];
        if self.now - server.history.last_failure_at < FAILURE_MERGE_MS {
            return;
        }
        server.history.last_failure_at = self.now;
        if self.now > server.history.ejected_until + FAILURE_RESET_MS {
            server.history.consecutive_failures = 0;
        }
        let duration_ms = EJECTION_MS * f64::from(1u32 << server.history.consecutive_failures.min(8));
        server.history.consecutive_failures += 1;
        let jitter = 0.75 + 0.5 * self.uniform();
        self.eject(slot, duration_ms.min(MAX_EJECTION_MS) * jitter, max_ejected);
    }

    /// Records a symptom of an unresponsive server and probes a suspected one. Once confirmed, moves all its
    /// connections, as their clients reach another server sooner than it recovers. Its neighbours become
    /// suspect, as servers of a zone are often lost together.
    fn on_unresponsive(&mut self, id: ServerId, symptom: Symptom, actions: &mut Vec<Action>) {
        let Some(&slot) = self.slot_by_id.get(&id) else { return };
        match self.unresponsive_detector.record(self.now, id, symptom) {
            Verdict::Unresponsive => {
                let (zone, own) = (self.servers[slot].zone, self.servers[slot].connections.clone());
                self.move_connections(slot, own, actions);
                self.on_failure(slot, self.ready_count.saturating_sub(1));
                let neighbours = self.servers.iter().filter(|s| s.zone == zone && !s.connections.is_empty());
                let neighbours: Vec<_> = neighbours.map(|s| s.id).collect();
                neighbours
                    .into_iter()
                    .for_each(|id| self.on_unresponsive(id, Symptom::NeighbourUnresponsive, actions));
            }
            Verdict::Suspect if self.may_probe() => {
                self.handle_probe_event(ProbeEvent::Suspected(id), actions);
            }
            Verdict::Suspect | Verdict::Unchanged => {}
        }
    }

    /// Records a message delay. A server with slow messages is overloaded, whether it is slow, pausing or
    /// overcommitted: new connections would make it worse, and if it lasts some connections must move.
    fn on_message_delay(&mut self, id: RequestId, delay_ms: Millis, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.phase != Phase::Open {
            return;
        }
        let slot = request.slot;
        let server = &mut self.servers[slot];
        let excess = server.history.overload.record_delay(
            self.now,
            delay_ms,
            self.message_goal,
            f64::from(server.open),
        );
        let move_all = self.variant.injected_bug == Some(InjectedBug::MoveWhenAllSlow);
        self.move_excess(
            slot,
            if move_all { excess / marllink_rebalancing::MOVED_RATIO } else { excess },
            actions,
        );
    }

    /// Returns true if a server must not receive new connections: its messages are slow, its reported load is
    /// high, or it is at its limit.
    fn is_full(&mut self, slot: usize) -> bool {
        let uniform = self.uniform();
        let s = &self.servers[slot];
        let mean = self.ready_open / self.available_weight.max(f64::MIN_POSITIVE) * s.weight;
        let bound = if self.may_probe() { NO_LIMIT } else { MAX_MEAN_MULTIPLE * mean + 1.0 };
        // A fractional limit holds on average over nodes and attempts.
        let limit = s.history.overload.connection_limit(self.now).min(bound) + uniform;
        s.history.overload.is_overloaded(self.now)
            || self.current_load(slot) >= BUSY_LOAD_RATIO
            || f64::from(s.open) + 1.0 > limit
    }

    fn may_probe(&self) -> bool {
        self.settings.reports_load()
    }

    /// Probes servers with own connections although no pick is due, within a budget that grows with set-ups:
    /// where no message delays are reported, only load reports show that a server is overloaded.
    fn refresh_loads(&mut self, actions: &mut Vec<Action>) {
        if self.may_probe() {
            let own = |s: &&Server| s.state == ServerState::Ready && !s.connections.is_empty();
            let servers = self.servers.iter().filter(own).map(|s| s.id).collect();
            self.handle_probe_event(ProbeEvent::Refresh(servers), actions);
        }
    }

    /// Passes an event to the probe pool and carries out the resulting commands.
    fn handle_probe_event(&mut self, event: ProbeEvent<ServerId, ReportedLoad>, actions: &mut Vec<Action>) {
        let mut commands = Vec::new();
        self.probe_pool.handle(self.now, event, &mut commands);
        for command in commands {
            match command {
                Command::Probe(id) => actions.push(Action::Probe(id)),
                Command::Proceed(id) => self.pick_and_send(RequestId(id), actions),
            }
        }
    }

    /// Handles the result of a load probe.
    fn on_probe_result(&mut self, id: ServerId, ok: bool, report: &[f32], actions: &mut Vec<Action>) {
        let Some(&slot) = self.slot_by_id.get(&id) else { return };
        let load_index = self.settings.report_fields.iter().position(|f| *f == ReportField::Utilization);
        let load = load_index.filter(|_| ok).and_then(|index| report.get(index)).map(|x| f64::from(*x));
        let server = &self.servers[slot];
        let count_index = self.settings.report_fields.iter().position(|f| *f == ReportField::InFlight);
        let connection_count = count_index.and_then(|index| report.get(index)).map_or(0.0, |x| f64::from(*x));
        let (own, own_load) = server.own_history[REPORT_AGE_PERIODS - 1];
        let reported = load.map(|load| ReportedLoad { load, own_load });
        ok.then(|| self.unresponsive_detector.clear(id));
        if let Some(load) = load {
            self.fleet.capacity.record(&ServerReport {
                weight: server.weight,
                utilization: load,
                connections: connection_count,
                own_connections: own,
                own_load,
            });
        }
        self.handle_probe_event(ProbeEvent::ProbeCompleted { server: id, report: reported }, actions);
    }

    /// Returns a server's current load as a ratio of its capacity: the last reported load, corrected by the
    /// change of the own connections since then. The report alone is a second old or more, enough for a
    /// burst to fill a server that appears idle.
    fn current_load(&self, slot: usize) -> f64 {
        let s = &self.servers[slot];
        let Some(reported) = self.probe_pool.report(self.now, s.id) else { return 0.0 };
        let capacity = self.fleet.capacity.load_per_weight() * s.weight;
        let change = if capacity > 0.0 { (s.own_load - reported.own_load) / capacity } else { 0.0 };
        reported.load + change
    }

    /// Records the own load of all servers and moves connections off overloaded ones.
    fn rebalance_overloaded(&mut self, actions: &mut Vec<Action>) {
        for slot in 0..self.servers.len() {
            let server = &mut self.servers[slot];
            server.own_history.rotate_right(1);
            let own = server.connections.len() as f64 + f64::from(server.predecessor_held.0);
            server.own_history[0] = (own, server.own_load);
            let due = own > 0.0 && server.history.next_rebalance_at <= self.now;
            let load = if due { self.current_load(slot) } else { 0.0 };
            if load >= OVERLOAD_RATIO {
                self.servers[slot].history.next_rebalance_at = self.now + REBALANCE_INTERVAL_MS;
                self.move_load_share(slot, 1.0 - BUSY_LOAD_RATIO / load, actions);
            }
        }
    }

    /// Moves connections off draining servers, evenly over `DRAIN_MS`. Connections left on a server are cut
    /// off when it stops, and that time is not known in advance.
    fn move_off_draining(&mut self, actions: &mut Vec<Action>) {
        for slot in 0..self.servers.len() {
            let s = &self.servers[slot];
            if s.state == ServerState::Draining && !s.connections.is_empty() {
                let share = HOUSEKEEPING_MS / (s.drain_by - self.now).max(HOUSEKEEPING_MS);
                let count = s.connections.len() as f64 * share;
                let at_least_one = self.variant.injected_bug == Some(InjectedBug::DrainAtLeastOne);
                self.move_excess(slot, if at_least_one { count.ceil() } else { count }, actions);
            }
        }
    }

    /// Moves own connections that make up this share of the own load on a server.
    fn move_load_share(&mut self, slot: usize, share: f64, actions: &mut Vec<Action>) {
        let own = self.connections_by_load(slot);
        let loads: Vec<_> = own.iter().map(|id| self.requests.get(id).map_or(0.0, |r| r.load)).collect();
        let chosen = select_to_shed(&loads, share, || self.uniform());
        self.move_connections(slot, chosen.into_iter().map(|at| own[at]).collect(), actions);
    }

    /// Moves this number of own connections off a server that can't carry them, those with the highest load
    /// per value first: they free the most capacity per client disturbed.
    fn move_excess(&mut self, slot: usize, excess: f64, actions: &mut Vec<Action>) {
        let count = round_stochastic(excess, self.uniform());
        if count == 0 {
            return;
        }
        let chosen = self.connections_by_load(slot).into_iter().take(count).collect();
        self.move_connections(slot, chosen, actions);
    }

    /// Returns the own connections of a server by descending load per value, newest first among equals.
    fn connections_by_load(&self, slot: usize) -> Vec<RequestId> {
        let mut own = Vec::with_capacity(self.servers[slot].connections.len());
        for (age_rank, id) in self.servers[slot].connections.iter().enumerate() {
            let Some(request) = self.requests.get(id) else { continue };
            own.push((request.load / self.value(request), age_rank, *id));
        }
        own.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        own.into_iter().map(|(_, _, id)| id).collect()
    }

    fn move_connections(&mut self, slot: usize, chosen: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in chosen {
            actions.push(Action::Move(id));
            // The request needs no further answer, but its attempt has yet to end.
            self.remove_connection(slot, id);
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = Phase::Finished;
            }
        }
    }

    fn on_housekeeping(&mut self, actions: &mut Vec<Action>) {
        // An unexpected timer event must not start a second chain of timers. The tolerance of 1 ms allows
        // for clocks that round.
        if self.now < self.housekeeping_at - 1.0 {
            return;
        }
        self.housekeeping_at = self.now + HOUSEKEEPING_MS;
        actions.push(Action::SetTimer { delay_ms: HOUSEKEEPING_MS, token: HOUSEKEEPING_TIMER });
        let expired = |slot: &usize| self.servers[*slot].history.ejected_until <= self.now;
        let (readmitted, still_ejected): (Vec<_>, Vec<_>) =
            self.ejected.iter().partition(|slot| expired(slot));
        self.ejected = still_ejected;
        for slot in readmitted {
            self.servers[slot].pickable_index = self.pickable.len();
            self.pickable.push(slot);
        }
        self.tenant_shares.review(self.now, self.connection_count as f64, self.connections_on_overloaded());
        self.move_off_draining(actions);
        self.rebalance_overloaded(actions);
        self.refresh_loads(actions);
        if self.fleet.connection_limit.review_due(self.now) {
            self.update_available_weight();
            self.fleet.connection_limit.review(
                self.now,
                self.connection_count as f64,
                self.connections_on_overloaded(),
            );
        }
        self.retry_queued(actions);
    }

    fn remove_connection(&mut self, slot: usize, id: RequestId) {
        let connections = &mut self.servers[slot].connections;
        if let Some(at) = connections.iter().position(|c| *c == id) {
            // Keeps the order by age: of equal connections the newest is moved first.
            connections.remove(at);
            self.connection_count -= 1;
            let (load, tenant) = self.requests.get(&id).map_or((0.0, u16::MAX), |r| (r.load, r.tenant.0));
            self.servers[slot].own_load -= load;
            self.tenant_shares.closed(tenant);
        }
    }

    /// Returns the number of own connections on overloaded servers, which indicates a general overload.
    fn connections_on_overloaded(&self) -> f64 {
        let overloaded = |slot: &usize| {
            self.servers[*slot].history.overload.is_overloaded(self.now)
                || self.current_load(*slot) >= OVERLOAD_RATIO
        };
        let own = (0..self.servers.len()).filter(|slot| !self.servers[*slot].connections.is_empty());
        let counts = own.filter(overloaded).map(|slot| self.servers[slot].connections.len());
        counts.sum::<usize>() as f64
    }

    // ---- Slow-start budgets ---------------------------------------------------------------------

    /// Returns true unless the server is in slow start and this node has used up its budget for it. The
    /// server's capacity is estimated from what this node sends to others of its weight. Each node measures
    /// by its own traffic, so that nodes of unequal traffic together stay within the collapse ratio.
    /// `demand` is the part of a connection that would be sent.
    fn slow_start_allows(&mut self, slot: usize, demand: f64) -> bool {
        let warmup = self.warmup(slot);
        if warmup >= 1.0 {
            return true;
        }
        let undivided = self.variant.injected_bug == Some(InjectedBug::ColdBudgetNotDivided);
        let nodes = if undivided { 1.0 } else { f64::from(self.settings.nodes.max(1)) };
        let uniform = self.uniform();
        let (rules, s) = (&self.settings.rules, &self.servers[slot]);
        let idle = self.probe_pool.report(self.now, s.id).is_some()
            && self.current_load(slot) < SLOW_START_IDLE_LOAD_RATIO;
        let margin = if idle { SLOW_START_IDLE_MARGIN_RATIO } else { SLOW_START_MARGIN_RATIO };
        let max_load = rules.collapse_load_ratio * margin * self.capacity_ratio(slot) * s.weight;
        let rate = SlowStartRate {
            // This node's share of the rate at which all nodes together fill the server within its warm-up
            // time. Estimated from load reports, as the own set-up rate does not include rejected clients.
            share_per_ms: max_load * self.fleet.capacity.connections_per_weight()
                / rules.warm_up_ms.max(1.0)
                / nodes,
            baseline_per_ms: max_load * self.fleet.setup_rate.per_ms(self.now),
            recent_per_ms: s.weight * self.burst_rate.per_ms(self.now),
            window_ms: rules.collapse_after_ms,
            demand,
        };
        self.servers[slot].history.budget.allows(self.now, &rate, uniform)
    }

    // ---- Request lifecycle ----------------------------------------------------------------------

    fn idempotency(&self, class: ClassId) -> Idempotency {
        self.settings.classes.get(usize::from(class.0)).map_or(Idempotency::Safe, |c| c.idempotency)
    }

    /// Returns the value of a request, by its class and whether its tenant is above its quota; never 0, as
    /// loads are divided by it.
    fn value(&self, request: &RequestState) -> f64 {
        let above_quota = self.tenant_shares.exceeds_share(request.tenant.0, 0.0);
        let value = self.settings.classes.get(usize::from(request.class.0)).map_or(1.0, |c| c.value);
        (value * if above_quota { self.settings.over_quota_value_ratio } else { 1.0 }).max(0.01)
    }

    fn setup_goal(&self, class: ClassId) -> Millis {
        self.settings.classes.get(usize::from(class.0)).map_or(0.0, |c| c.setup_goal_ms)
    }

    fn on_request(&mut self, new: &NewRequest, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&new.request) {
            return;
        }
        let request = self.new_request_state(new, NO_INDEX);
        self.group_sizes.record(request.group);
        self.retry_limiter.record_request(self.now);
        self.attempt(new.request, request, actions);
    }

    fn new_request_state(&self, new: &NewRequest, slot: usize) -> RequestState {
        RequestState {
            class: new.class,
            tenant: new.tenant,
            group: if self.settings.group_affinity { new.group } else { 0 },
            phase: Phase::Queued,
            last_tried: [NO_INDEX; 2],
            errored: Vec::new(),
            candidates: Vec::new(),
            redraws: 0,
            retry_at: self.now,
            slot,
            arrived_at: self.now,
            deadline: self.now + new.time_left_ms.max(0.0),
            sent_at: self.now,
            attempts: 0,
            load: 0.0,
            possible_execution: None,
        }
    }

    fn on_open_connection(&mut self, new: &NewRequest, server: ServerId) {
        if self.requests.contains_key(&new.request) {
            return;
        }
        let slot = match self.slot_by_id.get(&server) {
            Some(slot) => *slot,
            // No longer listed: added only to count the connection, and never picked.
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
        let request = RequestState { phase, deadline, attempts, ..self.new_request_state(new, slot) };
        self.group_sizes.record(request.group);
        self.add_open(slot, 1);
        self.servers[slot].connections.push(new.request);
        self.tenant_shares.opened(new.tenant.0);
        self.connection_count += 1;
        self.requests.insert(new.request, request);
    }

    /// Returns true if the next attempt may go to this server.
    fn may_execute_on(&self, request: &RequestState, slot: usize) -> bool {
        self.may_execute_at(self.now, request, slot)
    }

    fn may_execute_at(&self, now: Millis, request: &RequestState, slot: usize) -> bool {
        let server = &self.servers[slot];
        self.idempotency(request.class).may_execute_on(
            now,
            request.possible_execution,
            server.zone.0,
            server.cell.0,
        )
    }

    /// Draws candidates for the next attempt and probes their load, or queues the request, or gives its
    /// final answer.
    fn attempt(&mut self, id: RequestId, mut request: RequestState, actions: &mut Vec<Action>) {
        let (time_left, uniform) = (request.deadline - self.now, self.uniform());
        let attempts_left = self.settings.limits.max_attempts.saturating_sub(request.attempts);
        let finished = time_left < MIN_TIME_LEFT_MS
            || attempts_left == 0
            || !self.idempotency(request.class).may_repeat(self.now, request.possible_execution);
        let over_quota = self.tenant_shares.rejects(self.now, request.tenant.0);
        if finished
            || over_quota
            || self.throttled(&request)
            || self.fleet.connection_limit.is_reached(self.connection_count, uniform)
        {
            self.answer(id, &request, actions);
            return;
        }
        request.candidates = self.draw_candidates(&request);
        let servers: Vec<_> = request.candidates.iter().map(|slot| self.servers[*slot].id).collect();
        request.phase = Phase::Probing;
        self.requests.insert(id, request);
        if servers.is_empty() || !self.may_probe() || time_left < 2.0 * HOUSEKEEPING_MS {
            self.pick_and_send(id, actions);
            return;
        }
        self.handle_probe_event(ProbeEvent::PickRequested { pick: id.0, servers }, actions);
        // Also needed if the probes were sent for other picks or on suspicion: they may remain unanswered.
        if self.probe_pool.next_timeout().is_some() {
            actions.push(Action::SetTimer {
                delay_ms: self.settings.probe_settings().pick_timeout_ms,
                token: PROBE_TIMER,
            });
        }
    }

    /// Picks one of the candidates and sends the attempt, or draws again, or queues the request, or gives its
    /// final answer.
    fn pick_and_send(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_none_or(|r| r.phase != Phase::Probing) {
            return;
        }
        let mut request = self.requests.remove(&id).expect("checked above");
        let Some(slot) = self.pick(&request) else {
            if !request.candidates.is_empty() && request.redraws < MAX_REDRAW_COUNT {
                request.redraws += 1;
                self.attempt(id, request, actions);
                return;
            }
            // A list update or a server further through slow start may arrive while the goal can be met.
            let give_up_at = (request.arrived_at + self.setup_goal(request.class)).min(request.deadline);
            if self.now + 2.0 * HOUSEKEEPING_MS > give_up_at {
                self.answer(id, &request, actions);
            } else {
                (request.phase, request.redraws) = (Phase::Queued, 1);
                self.requests.insert(id, request);
                self.queued.push(id);
            }
            return;
        };
        let time_left = request.deadline - self.now;
        let attempts_left = self.settings.limits.max_attempts.saturating_sub(request.attempts);
        // Reserves half of the time for another server, unless the goal needs more or no retry is possible.
        let may_retry = attempts_left > 1 && self.idempotency(request.class) != Idempotency::Unsafe;
        let timeout_ms = if may_retry && time_left / 2.0 >= self.setup_goal(request.class) / 2.0 {
            (time_left / 2.0).max(self.setup_goal(request.class)).min(time_left)
        } else {
            time_left
        };
        actions.push(Action::Send { request: id, server: self.servers[slot].id, timeout_ms });
        self.add_open(slot, 1);
        self.servers[slot].history.budget.spend();
        self.burst_rate.add(self.now, self.setup_per_weight());
        self.probe_pool.handle(self.now, ProbeEvent::ReportUsed(self.servers[slot].id), &mut Vec::new());
        self.retry_limiter.record_attempt();
        request.phase = Phase::Attempting;
        request.redraws = 0;
        request.last_tried = [slot, request.last_tried[0]];
        request.slot = slot;
        request.sent_at = self.now;
        request.attempts += 1;
        self.requests.insert(id, request);
    }

    /// Returns true if this attempt is throttled: while many attempts fail, more of them only feed the cause.
    fn throttled(&mut self, request: &RequestState) -> bool {
        let uniform = self.uniform();
        if request.redraws > 0 || self.variant.injected_bug == Some(InjectedBug::RetryStorm) {
            return false;
        }
        let allows = if request.attempts == 0 { Limiter::allows_first } else { Limiter::allows_retry };
        !allows(&mut self.retry_limiter, self.now, uniform)
    }

    /// Gives the final answer when no further attempt is possible.
    fn answer(&mut self, id: RequestId, request: &RequestState, actions: &mut Vec<Action>) {
        self.requests.remove(&id);
        self.attribute_errors(&request.errored, false);
        let retry_after_ms = self.retry_after();
        actions.push(self.reject_or_fail(id, request, retry_after_ms));
    }

    /// Returns the final answer. A rejection states that a retry is harmless, so a request that must not be
    /// executed twice fails instead if it may have been executed.
    fn reject_or_fail(&self, id: RequestId, request: &RequestState, retry_after_ms: Millis) -> Action {
        let harmless = self.idempotency(request.class).client_may_retry(request.possible_execution);
        if harmless { Action::Reject { request: id, retry_after_ms } } else { Action::Fail(id) }
    }

    /// Gives the final answer when the node can't wait any longer. A pending attempt may still execute.
    fn answer_now(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::Attempting {
            let server = &self.servers[request.slot];
            let sent =
                PossibleExecution { sent_at: request.sent_at, zone: server.zone.0, cell: server.cell.0 };
            request.possible_execution = request.possible_execution.or(Some(sent));
        }
        if !matches!(request.phase, Phase::Open | Phase::Finished) {
            actions.push(self.reject_or_fail(id, &self.requests[&id], 0.0));
            self.on_client_gone(id, actions);
        }
    }

    /// Returns the retry-after delay for a rejected client; 0 if clients receive none.
    fn retry_after(&mut self) -> Millis {
        if !self.settings.limits.retry_after {
            return 0.0;
        }
        (RETRY_AFTER_MS * (0.5 + self.uniform())).min(self.settings.limits.max_retry_after_ms)
    }

    fn retry_queued(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queued) {
            // A queued request may have been withdrawn in the meantime.
            let Some(request) = self.requests.get(&id).filter(|r| r.phase == Phase::Queued) else { continue };
            if request.retry_at > self.now {
                self.queued.push(id);
            } else {
                let request = self.requests.remove(&id).expect("checked above");
                self.attempt(id, request, actions);
            }
        }
    }

    fn on_established(&mut self, id: RequestId, attempt: AttemptNo) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase != Phase::Attempting || request.attempts != attempt.0.wrapping_add(1) {
            return;
        }
        request.phase = Phase::Open;
        self.tenant_shares.opened(request.tenant.0);
        let errored = std::mem::take(&mut request.errored);
        let slot = request.slot;
        let server = &mut self.servers[slot];
        self.returned.remove(&server.id);
        server.connections.push(id);
        server.own_load += request.load;
        self.connection_count += 1;
        let took_ms = self.now - request.sent_at;
        // Load reports are more accurate where they exist, and a set-up across zones may be slow although
        // the server is healthy.
        let goal = if self.may_probe() { f64::INFINITY } else { self.message_goal };
        let server = &mut self.servers[slot];
        server.history.overload.record_connect(self.now, took_ms, goal, f64::from(server.open));
        self.retry_limiter.record_success(self.now, took_ms);
        self.probe_pool.handle(self.now, ProbeEvent::RefreshCredited, &mut Vec::new());
        self.fleet.setup_rate.add(self.now, self.setup_per_weight());
        self.attribute_errors(&errored, true);
    }

    /// Attributes the errors of a request once their cause is known. A request that fails on several servers
    /// and succeeds on none is itself the likely cause: they must not be ejected for it, and it counts as one
    /// failure.
    fn attribute_errors(&mut self, errored: &[usize], established: bool) {
        if established || errored.len() == 1 {
            self.retry_limiter.record_failures(self.now, errored.len() as f64);
            errored.iter().for_each(|slot| self.on_failure(*slot, self.max_ejected()));
        } else if !errored.is_empty() {
            self.retry_limiter.record_failures(self.now, 1.0);
        }
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNo,
        outcome: Outcome,
        closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if matches!(request.phase, Phase::Queued | Phase::Probing)
            || request.attempts != attempt.0.wrapping_add(1)
        {
            return;
        }
        let slot = request.slot;
        self.remove_connection(slot, id);
        let Some(mut request) = self.requests.remove(&id) else { return };
        self.add_open(slot, -1);
        match outcome {
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::Error | Outcome::Reset if request.phase == Phase::Attempting => {
                if !request.errored.contains(&slot) {
                    request.errored.push(slot);
                }
            }
            // Nothing listens there. Servers do not share such a cause, so all but one may be ejected.
            Outcome::ConnectFailed => self.on_failure(slot, self.ready_count.saturating_sub(1)),
            Outcome::Error | Outcome::Full | Outcome::TimedOut | Outcome::Reset => {
                self.retry_limiter
                    .record_failures(self.now, f64::from(u8::from(request.phase == Phase::Attempting)));
                self.on_failure(slot, self.max_ejected());
            }
        }
        if closed || request.phase == Phase::Finished {
            self.attribute_errors(&request.errored, false);
            return;
        }
        if !outcome.never_executed() && request.possible_execution.is_none() {
            let server = &self.servers[slot];
            request.possible_execution = Some(PossibleExecution {
                sent_at: request.sent_at,
                zone: server.zone.0,
                cell: server.cell.0,
            });
        }
        if request.phase == Phase::Open && outcome != Outcome::Ok {
            // A broken stream has ended for its client: no retry may follow.
            actions.push(Action::Fail(id));
            return;
        }
        // A reset does not end the retries here: the network may break several attempts in a row.
        if outcome == Outcome::Error && request.errored.len() >= MAX_ERROR_COUNT {
            self.answer(id, &request, actions);
            return;
        }
        let wait = Limiter::backoff_ms(usize::from(request.attempts), self.uniform());
        let retry_at_once = self.variant.injected_bug == Some(InjectedBug::RetryStorm);
        if wait > HOUSEKEEPING_MS
            && self.now + wait + 2.0 * HOUSEKEEPING_MS < request.deadline
            && !retry_at_once
        {
            request.phase = Phase::Queued;
            request.retry_at = self.now + wait;
            self.requests.insert(id, request);
            self.queued.push(id);
            return;
        }
        self.attempt(id, request, actions);
    }

    fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        match request.phase {
            Phase::Queued | Phase::Probing => {
                let errored = std::mem::take(&mut request.errored);
                self.requests.remove(&id);
                self.probe_pool.handle(self.now, ProbeEvent::PickCancelled(id.0), &mut Vec::new());
                self.attribute_errors(&errored, false);
            }
            Phase::Attempting | Phase::Open => {
                // Work for a client that has disconnected is wasted.
                if request.phase == Phase::Attempting && self.settings.limits.cancel {
                    let attempt = AttemptNo(request.attempts - 1);
                    actions.push(Action::Cancel { request: id, attempt });
                }
                request.phase = Phase::Finished;
            }
            Phase::Finished => {}
        }
    }
}
