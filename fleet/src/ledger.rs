//! What hosts and clients saw, written down as it happens and added up at the end.

use crate::Millis;
use crate::day::Figure;
use crate::figures::Figures;
use crate::service;
use hdrhistogram::Histogram;

/// Rules broken that are told in words; the others are only counted.
const TOLD: usize = 20;
/// The worst time is sought among windows this long, in seconds.
const WINDOW: usize = 5;
/// Moves are counted by steps of so many ms, and compared over windows of so many steps.
const STEP_MS: Millis = 200.0;
const STEPS: usize = 150;

/// What happened within a second.
#[derive(Clone, Debug, Default)]
struct Second {
    wanted: f64,
    served: f64,
    stood: f64,
    vain: f64,
    refused: f64,
    sent: f64,
    calls: f64,
}

/// The book.
#[derive(Debug)]
pub struct Ledger {
    seconds: Vec<Second>,
    moved: Vec<u32>,
    waits: Histogram<u64>,
    /// Set-ups by host.
    pub set_ups: Vec<f64>,
    /// Capacity by host, over the time that it took new connections.
    pub capacity: Vec<f64>,
    /// Worth wanted and served of each tenant while it keeps to its share.
    within: Vec<(f64, f64)>,
    /// First tries of clients.
    pub first: f64,
    /// All tries of clients, and attempts sent for them.
    pub tries: f64,
    sent: f64,
    pub dropped: f64,
    pub crossed: f64,
    /// Attempts sent to hosts that drain or are gone.
    pub stale: f64,
    pub probes: f64,
    pub stood: f64,
    refused: f64,
    pub moves: f64,
    /// Calls to the list service.
    calls: f64,
    pub cold_over: f64,
    broken: Vec<String>,
    breaches: f64,
}

impl Ledger {
    pub fn new(seconds: f64, hosts: usize, tenants: usize) -> Self {
        let whole = seconds.ceil() as usize + 1;
        Self {
            seconds: vec![Second::default(); whole],
            moved: vec![0; (seconds * 1_000.0 / STEP_MS) as usize + 2],
            waits: Histogram::new_with_bounds(1, 600_000, 3).expect("these bounds are sound"),
            set_ups: vec![0.0; hosts],
            capacity: vec![0.0; hosts],
            within: vec![(0.0, 0.0); tenants],
            first: 0.0,
            tries: 0.0,
            sent: 0.0,
            dropped: 0.0,
            crossed: 0.0,
            stale: 0.0,
            probes: 0.0,
            stood: 0.0,
            refused: 0.0,
            moves: 0.0,
            calls: 0.0,
            cold_over: 0.0,
            broken: Vec::new(),
            breaches: 0.0,
        }
    }

    fn second(&mut self, now: Millis) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((now / 1_000.0) as usize).min(last)]
    }

    /// Worth wanted and served since the last time.
    pub fn worth(&mut self, now: Millis, wanted: f64, served: f64) {
        let second = self.second(now);
        second.wanted += wanted;
        second.served += served;
    }

    /// Worth wanted and served of a tenant since the last time, none where that is above its share.
    pub fn tenant(&mut self, tenant: usize, wanted: Option<f64>, served: Option<f64>) {
        if let (Some(wanted), Some(served)) = (wanted, served) {
            self.within[tenant].0 += wanted;
            self.within[tenant].1 += served;
        }
    }

    /// A connection stands, after so many ms.
    pub fn stands(&mut self, now: Millis, host: usize, waited: Millis) {
        self.second(now).stood += 1.0;
        self.stood += 1.0;
        self.set_ups[host] += 1.0;
        self.waits.saturating_record(waited.max(1.0) as u64);
    }

    /// An attempt was sent.
    pub fn sent(&mut self, now: Millis) {
        self.sent += 1.0;
        self.second(now).sent += 1.0;
    }

    /// A client was refused.
    pub fn refused(&mut self, now: Millis) {
        self.refused += 1.0;
        self.second(now).refused += 1.0;
    }

    /// The list service was called.
    pub fn called(&mut self, now: Millis) {
        self.calls += 1.0;
        self.second(now).calls += 1.0;
    }

    /// An attempt came to nothing, or a host dropped its connection.
    pub fn vain(&mut self, now: Millis) {
        self.second(now).vain += 1.0;
    }

    /// A client was moved.
    pub fn moved(&mut self, now: Millis) {
        self.moves += 1.0;
        let last = self.moved.len() - 1;
        self.moved[((now / STEP_MS) as usize).min(last)] += 1;
    }

    /// A rule was broken.
    pub fn breach(&mut self, now: Millis, what: impl FnOnce() -> String) {
        self.breaches += 1.0;
        if self.broken.len() < TOLD {
            self.broken.push(format!("{:.3} s: {}", now / 1_000.0, what()));
        }
    }

    /// Adds all up. `sizes` tells which hosts are of one size, and which count for the skew.
    pub fn figures(
        self,
        sizes: &[Option<u64>],
        balancers: usize,
        prices: &marllink::Prices,
        waste: f64,
        last_fault_s: Option<f64>,
    ) -> Figures {
        let sum = |of: fn(&Second) -> f64| self.seconds.iter().map(of).sum::<f64>();
        let share = |part: f64, of: f64| if of > 0.0 { part / of } else { 0.0 };
        let (wanted, served) = (sum(|s| s.wanted), sum(|s| s.served));
        let over = |from: &[Second], a: fn(&Second) -> f64, b: fn(&Second) -> f64| {
            share(from.iter().map(a).sum(), from.iter().map(b).sum())
        };
        let worst = self.seconds.windows(WINDOW).filter(|w| w.iter().all(|s| s.wanted > 0.0));
        let worst = worst.map(|w| over(w, |s| s.served, |s| s.wanted)).fold(1.0, f64::min);
        let vain = self.seconds.windows(WINDOW).filter(|w| w.iter().map(|s| s.stood).sum::<f64>() >= 1.0);
        let vain = vain.map(|w| over(w, |s| s.vain, |s| s.stood)).fold(0.0, f64::max);
        let first = self.first.max(1.0);
        let served = share(served, wanted);
        let price = prices.cross_zone * self.crossed / first
            + prices.probe * self.probes / first
            + prices.moves * self.moves / first
            + waste;
        // In how short a time moves came that a whole drain has for them.
        let at_once = self.moved.windows(STEPS.min(self.moved.len())).map(|w| {
            let (most, all) = (w.iter().max().copied().unwrap_or(0), w.iter().sum::<u32>());
            share(f64::from(most), f64::from(all.max(30)))
        });
        let counted = |s: &Second| service::Second { served: share(s.served, s.wanted), refused: s.refused };
        let by_second: Vec<_> = self.seconds.iter().map(counted).collect();
        let (fault, last) = (last_fault_s.unwrap_or(0.0) as usize, by_second.len().saturating_sub(1));
        let never = || if last_fault_s.is_some() { last.saturating_sub(fault) } else { 0 };
        // The last second is not whole.
        let back = service::back_after(&by_second[..last], fault).unwrap_or_else(never) as f64;
        let calls_worst = self.seconds.iter().map(|s| s.calls).fold(0.0, f64::max);
        let wave = wave(&self.seconds[fault.min(last)..last]);
        let values = [
            (Figure::Served, served),
            (Figure::Net, served - price - prices.late_failure * (1.0 - served)),
            (Figure::Worst, worst),
            (Figure::LeastTenant, self.within.iter().map(|(w, s)| share(*s, *w)).fold(1.0, f64::min)),
            (Figure::Skew, self.skew(sizes)),
            (Figure::Vain, vain),
            (Figure::Attempts, share(self.sent, self.tries)),
            (Figure::Dropped, self.dropped / first),
            (Figure::Crossed, self.crossed / first),
            (Figure::Probes, share(self.probes, self.stood)),
            (Figure::ColdOver, self.cold_over),
            (Figure::Moves, self.moves / first),
            (Figure::Calls, self.calls / balancers as f64),
            (Figure::MovedAtOnce, at_once.fold(0.0, f64::max)),
            (Figure::Stale, self.stale / first),
            (Figure::Refused, self.refused / first),
            (Figure::Back, back),
            (Figure::CallsWorst, calls_worst / balancers as f64),
            (Figure::Wave, wave),
            (Figure::WaitMedian, self.waits.value_at_quantile(0.5) as f64),
            (Figure::WaitTail, self.waits.value_at_quantile(0.99) as f64),
            (Figure::Broken, self.breaches),
        ];
        let seconds = self.seconds.iter().map(|s| share(s.served, s.wanted)).collect();
        Figures { values: values.into_iter().collect(), broken: self.broken, seconds }
    }

    /// Largest error of a size's share of set-ups against its share of capacity.
    fn skew(&self, sizes: &[Option<u64>]) -> f64 {
        let mut by_size = std::collections::BTreeMap::<u64, (f64, f64)>::new();
        for (host, size) in sizes.iter().enumerate() {
            let Some(size) = size else { continue };
            let entry = by_size.entry(*size).or_default();
            entry.0 += self.set_ups[host];
            entry.1 += self.capacity[host];
        }
        let (all, capacity) = by_size.values().fold((0.0, 0.0), |sum, v| (sum.0 + v.0, sum.1 + v.1));
        let error = |(set_ups, of): &(f64, f64)| (set_ups / all / (of / capacity) - 1.0).abs();
        if all < 1.0 { 0.0 } else { by_size.values().map(error).fold(0.0, f64::max) }
    }
}

/// The worst second of these by attempts sent, over the mean of those after it; 0 if there are none.
fn wave(seconds: &[Second]) -> f64 {
    let worst = (0..seconds.len()).max_by(|a, b| seconds[*a].sent.total_cmp(&seconds[*b].sent));
    let Some(worst) = worst else { return 0.0 };
    let after = &seconds[worst + 1..];
    let mean = after.iter().map(|s| s.sent).sum::<f64>() / after.len().max(1) as f64;
    if mean > 0.0 { seconds[worst].sent / mean } else { 0.0 }
}
