//! Collects what servers and clients observe during a run, and computes the metrics at its end.

use crate::Millis;
use crate::recovery;
use crate::results::RunResults;
use crate::scenario::Metric;
use hdrhistogram::Histogram;

/// Maximum number of invariant violations that are described in the results; the others are only counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 20;
/// Length of the windows of which the worst is reported, in seconds.
const WORST_WINDOW_SECONDS: usize = 5;
/// Length of the intervals by which moves are counted, in milliseconds.
const MOVE_INTERVAL_MS: Millis = 200.0;
/// Number of intervals in a window over which moves are compared (30 s).
const MOVE_WINDOW_INTERVALS: usize = 150;

/// Counts for one second of the run.
#[derive(Clone, Debug, Default)]
struct SecondCounts {
    value_wanted: f64,
    value_served: f64,
    established: f64,
    wasted_attempts: f64,
    rejected: f64,
    attempts: f64,
    discovery_calls: f64,
}

/// Counters of a run.
#[derive(Debug)]
pub struct MetricsCollector {
    seconds: Vec<SecondCounts>,
    moves_by_interval: Vec<u32>,
    wait_times: Histogram<u64>,
    /// Established connections by server.
    pub established_by_server: Vec<f64>,
    /// Capacity by server, integrated over the time in which it accepted new connections.
    pub capacity_by_server: Vec<f64>,
    /// Value wanted and value served by tenant, over the time in which the tenant was within its quota.
    within_quota: Vec<(f64, f64)>,
    /// Number of new clients.
    pub new_clients: f64,
    /// Number of requests, reconnections included.
    pub requests: f64,
    attempts: f64,
    pub dropped: f64,
    pub cross_zone: f64,
    /// Attempts sent to draining or stopped servers.
    pub stale_attempts: f64,
    pub probes: f64,
    pub established: f64,
    rejected: f64,
    pub moves: f64,
    discovery_calls: f64,
    pub slow_start_collapses: f64,
    violations: Vec<String>,
    violation_count: f64,
}

impl MetricsCollector {
    pub fn new(duration_s: f64, servers: usize, tenants: usize) -> Self {
        let second_count = duration_s.ceil() as usize + 1;
        Self {
            seconds: vec![SecondCounts::default(); second_count],
            moves_by_interval: vec![0; (duration_s * 1_000.0 / MOVE_INTERVAL_MS) as usize + 2],
            wait_times: Histogram::new_with_bounds(1, 600_000, 3).expect("the histogram bounds are valid"),
            established_by_server: vec![0.0; servers],
            capacity_by_server: vec![0.0; servers],
            within_quota: vec![(0.0, 0.0); tenants],
            new_clients: 0.0,
            requests: 0.0,
            attempts: 0.0,
            dropped: 0.0,
            cross_zone: 0.0,
            stale_attempts: 0.0,
            probes: 0.0,
            established: 0.0,
            rejected: 0.0,
            moves: 0.0,
            discovery_calls: 0.0,
            slow_start_collapses: 0.0,
            violations: Vec::new(),
            violation_count: 0.0,
        }
    }

    fn second(&mut self, now: Millis) -> &mut SecondCounts {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((now / 1_000.0) as usize).min(last)]
    }

    /// Adds the value wanted and served since the last call.
    pub fn add_value(&mut self, now: Millis, wanted: f64, served: f64) {
        let second = self.second(now);
        second.value_wanted += wanted;
        second.value_served += served;
    }

    /// Adds a tenant's value wanted and served since the last call. Either is `None` if it is above the
    /// tenant's quota.
    pub fn add_tenant_value(&mut self, tenant: usize, wanted: Option<f64>, served: Option<f64>) {
        if let (Some(wanted), Some(served)) = (wanted, served) {
            self.within_quota[tenant].0 += wanted;
            self.within_quota[tenant].1 += served;
        }
    }

    /// Counts a connection that was established after `waited_ms`.
    pub fn count_established(&mut self, now: Millis, server: usize, waited_ms: Millis) {
        self.second(now).established += 1.0;
        self.established += 1.0;
        self.established_by_server[server] += 1.0;
        self.wait_times.saturating_record(waited_ms.max(1.0) as u64);
    }

    /// Counts an attempt that was sent.
    pub fn count_attempt(&mut self, now: Millis) {
        self.attempts += 1.0;
        self.second(now).attempts += 1.0;
    }

    /// Counts a rejected request.
    pub fn count_rejected(&mut self, now: Millis) {
        self.rejected += 1.0;
        self.second(now).rejected += 1.0;
    }

    /// Counts a call to discovery.
    pub fn count_discovery_call(&mut self, now: Millis) {
        self.discovery_calls += 1.0;
        self.second(now).discovery_calls += 1.0;
    }

    /// Counts an attempt that failed, or whose connection the server dropped.
    pub fn count_wasted_attempt(&mut self, now: Millis) {
        self.second(now).wasted_attempts += 1.0;
    }

    /// Counts a client that was asked to move.
    pub fn count_move(&mut self, now: Millis) {
        self.moves += 1.0;
        let last = self.moves_by_interval.len() - 1;
        self.moves_by_interval[((now / MOVE_INTERVAL_MS) as usize).min(last)] += 1;
    }

    /// Records an invariant violation.
    pub fn record_violation(&mut self, now: Millis, describe: impl FnOnce() -> String) {
        self.violation_count += 1.0;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(format!("{:.3} s: {}", now / 1_000.0, describe()));
        }
    }

    /// Computes the results. `sizes` holds each server's size, or `None` for servers that are excluded from
    /// the skew.
    pub fn results(
        self,
        sizes: &[Option<u64>],
        balancers: usize,
        prices: &marllink::Prices,
        wasted_work_price: f64,
        last_fault_s: Option<f64>,
    ) -> RunResults {
        let sum = |count: fn(&SecondCounts) -> f64| self.seconds.iter().map(count).sum::<f64>();
        let ratio = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let (wanted, served) = (sum(|s| s.value_wanted), sum(|s| s.value_served));
        let ratio_over =
            |window: &[SecondCounts], part: fn(&SecondCounts) -> f64, whole: fn(&SecondCounts) -> f64| {
                ratio(window.iter().map(part).sum(), window.iter().map(whole).sum())
            };
        let worst_served =
            self.seconds.windows(WORST_WINDOW_SECONDS).filter(|w| w.iter().all(|s| s.value_wanted > 0.0));
        let worst_served =
            worst_served.map(|w| ratio_over(w, |s| s.value_served, |s| s.value_wanted)).fold(1.0, f64::min);
        let wasted = self
            .seconds
            .windows(WORST_WINDOW_SECONDS)
            .filter(|w| w.iter().map(|s| s.established).sum::<f64>() >= 1.0);
        let wasted =
            wasted.map(|w| ratio_over(w, |s| s.wasted_attempts, |s| s.established)).fold(0.0, f64::max);
        let new_clients = self.new_clients.max(1.0);
        let served = ratio(served, wanted);
        let price = prices.cross_zone * self.cross_zone / new_clients
            + prices.probe * self.probes / new_clients
            + prices.moves * self.moves / new_clients
            + wasted_work_price;
        // Guards against moving clients in bursts: a drain should spread its moves over its whole duration.
        // Windows with fewer than 30 moves are rated as if they had 30.
        let move_bursts = self
            .moves_by_interval
            .windows(MOVE_WINDOW_INTERVALS.min(self.moves_by_interval.len()))
            .map(|w| {
                let (max, total) = (w.iter().max().copied().unwrap_or(0), w.iter().sum::<u32>());
                ratio(f64::from(max), f64::from(total.max(30)))
            });
        let service = |s: &SecondCounts| recovery::ServiceSecond {
            served_ratio: ratio(s.value_served, s.value_wanted),
            rejected: s.rejected,
        };
        let by_second: Vec<_> = self.seconds.iter().map(service).collect();
        let (fault, last) = (last_fault_s.unwrap_or(0.0) as usize, by_second.len().saturating_sub(1));
        let never = || if last_fault_s.is_some() { last.saturating_sub(fault) } else { 0 };
        // The last second is incomplete, so it is excluded.
        let recovery = recovery::seconds_to_recovery(&by_second[..last], fault).unwrap_or_else(never) as f64;
        let peak_discovery_calls = self.seconds.iter().map(|s| s.discovery_calls).fold(0.0, f64::max);
        let attempt_burst = attempt_burst(&self.seconds[fault.min(last)..last]);
        let values = [
            (Metric::ServedRatio, served),
            (Metric::NetServedRatio, served - price - prices.late_failure * (1.0 - served)),
            (Metric::WorstServedRatio, worst_served),
            (
                Metric::WorstTenantServedRatio,
                self.within_quota.iter().map(|(w, s)| ratio(*s, *w)).fold(1.0, f64::min),
            ),
            (Metric::Skew, self.skew(sizes)),
            (Metric::WastedAttempts, wasted),
            (Metric::Attempts, ratio(self.attempts, self.requests)),
            (Metric::Dropped, self.dropped / new_clients),
            (Metric::CrossZone, self.cross_zone / new_clients),
            (Metric::Probes, ratio(self.probes, self.established)),
            (Metric::SlowStartCollapses, self.slow_start_collapses),
            (Metric::Moves, self.moves / new_clients),
            (Metric::DiscoveryCalls, self.discovery_calls / balancers as f64),
            (Metric::MoveBurst, move_bursts.fold(0.0, f64::max)),
            (Metric::StaleAttempts, self.stale_attempts / new_clients),
            (Metric::Rejected, self.rejected / new_clients),
            (Metric::RecoveryTime, recovery),
            (Metric::PeakDiscoveryCalls, peak_discovery_calls / balancers as f64),
            (Metric::AttemptBurst, attempt_burst),
            (Metric::WaitMedian, self.wait_times.value_at_quantile(0.5) as f64),
            (Metric::WaitP99, self.wait_times.value_at_quantile(0.99) as f64),
            (Metric::Violations, self.violation_count),
        ];
        let seconds = self.seconds.iter().map(|s| ratio(s.value_served, s.value_wanted)).collect();
        RunResults {
            values: values.into_iter().collect(),
            violations: self.violations,
            served_ratio_by_second: seconds,
        }
    }

    /// Returns the largest relative error of a size's share of established connections against its share of
    /// capacity.
    fn skew(&self, sizes: &[Option<u64>]) -> f64 {
        let mut by_size = std::collections::BTreeMap::<u64, (f64, f64)>::new();
        for (server, size) in sizes.iter().enumerate() {
            let Some(size) = size else { continue };
            let entry = by_size.entry(*size).or_default();
            entry.0 += self.established_by_server[server];
            entry.1 += self.capacity_by_server[server];
        }
        let (total_established, total_capacity) =
            by_size.values().fold((0.0, 0.0), |sum, v| (sum.0 + v.0, sum.1 + v.1));
        let error = |(established, capacity): &(f64, f64)| {
            (established / total_established / (capacity / total_capacity) - 1.0).abs()
        };
        if total_established < 1.0 { 0.0 } else { by_size.values().map(error).fold(0.0, f64::max) }
    }
}

/// Returns the attempts of the second with the most attempts, as a ratio to the mean of the seconds after it;
/// 0 if there are none.
fn attempt_burst(seconds: &[SecondCounts]) -> f64 {
    let worst = (0..seconds.len()).max_by(|a, b| seconds[*a].attempts.total_cmp(&seconds[*b].attempts));
    let Some(worst) = worst else { return 0.0 };
    let after = &seconds[worst + 1..];
    let mean = after.iter().map(|s| s.attempts).sum::<f64>() / after.len().max(1) as f64;
    if mean > 0.0 { seconds[worst].attempts / mean } else { 0.0 }
}
