//! Days, strategies and verdicts as data.

use crate::kind::Kind;
use marllink::{InjectedBug, Variant};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Days x strategies x seeds, and what has to come of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Matrix {
    /// Its name, by which the folder of its results is called.
    pub name: String,
    /// Seeds for each day and strategy, from 1 on.
    #[schemars(range(min = 1, max = 100))]
    pub seeds: u64,
    /// What there is.
    pub shape: Shape,
    /// The days.
    #[schemars(length(min = 1))]
    pub days: Vec<Day>,
    /// The strategies; the first is the one that is judged.
    #[schemars(length(min = 1))]
    pub strategies: Vec<Strategy>,
    /// What has to come of the first strategy, on the mean over the seeds.
    #[serde(default)]
    pub verdict: Vec<Bound>,
}

/// What there is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Balancers.
    #[schemars(range(min = 1, max = 1_000))]
    pub balancers: usize,
    /// Form hosts.
    #[schemars(range(min = 1, max = 5_000))]
    pub hosts: usize,
    /// Zones.
    #[schemars(range(min = 1, max = 8))]
    pub zones: usize,
    /// Connections that fill a standard core.
    #[schemars(range(min = 1.0, max = 1_000.0))]
    pub per_core: f64,
    /// A standard core holds so many connections, busy or not.
    #[schemars(range(min = 1.0, max = 10_000.0))]
    pub most_per_core: f64,
    /// Sigma of the lognormal shares of traffic that balancers see.
    #[schemars(range(min = 0.0, max = 3.0))]
    pub uneven: f64,
    /// Mean life of a connection, in seconds.
    #[schemars(range(min = 1.0, max = 3_600.0))]
    pub life_s: f64,
    /// Seconds of a day.
    #[schemars(range(min = 1.0, max = 600.0))]
    pub seconds: f64,
    /// What kind of deployment it is.
    #[serde(default)]
    pub kind: Kind,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Load over what all hosts can do.
    #[schemars(range(min = 0.01, max = 2.0))]
    pub load: f64,
    /// Zones, where not as many as there usually are.
    #[serde(default)]
    #[schemars(range(min = 1, max = 8))]
    pub zones: Option<usize>,
    /// Shares of traffic by zone, and of hosts; even where left out.
    #[serde(default)]
    pub traffic: Vec<f64>,
    /// As above.
    #[serde(default)]
    pub hosts: Vec<f64>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Balancers and hosts, where not as many as there usually are.
    #[serde(default)]
    pub fleet: Option<Fleet>,
    /// The deployment, where it is not of the shape's kind.
    #[serde(default)]
    pub kind: Option<Kind>,
}

/// How many there are on a day.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Balancers.
    #[schemars(range(min = 1, max = 1_000))]
    pub balancers: usize,
    /// Form hosts.
    #[schemars(range(min = 1, max = 5_000))]
    pub hosts: usize,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    pub at_s: f64,
    /// What.
    pub what: What,
}

/// What may go wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum What {
    /// Traffic is so many times what it was.
    Burst {
        /// How many times.
        times: f64,
        /// For how long.
        for_s: f64,
    },
    /// One tenant's clients come so many times as often.
    TenantBurst {
        /// Which.
        tenant: usize,
        /// How many times.
        times: f64,
        /// For how long.
        for_s: f64,
    },
    /// The largest group's connections all break, and their clients come again together.
    GroupReconnect,
    /// A part of the clients drop and come again within a second.
    Reconnect {
        /// Which part.
        share: f64,
    },
    /// A part of the balancers is killed in one instant and starts again from nothing.
    KillBalancers {
        /// Which part.
        share: f64,
        /// After that long.
        back_after_s: f64,
        /// What list they find at their start.
        #[serde(default)]
        list: Known,
    },
    /// All balancers are restarted by SIGTERM, a part each time.
    RestartBalancers {
        /// Which part.
        share: f64,
        /// One part follows another after that long.
        every_s: f64,
    },
    /// A part of the hosts drain and leave, and as many new ones start cold, over a while.
    ReplaceHosts {
        /// Which part.
        share: f64,
        /// Over which time.
        over_s: f64,
        /// A host drains for so long.
        drain_s: f64,
    },
    /// All hosts of a zone end, and come back cold.
    LoseZone {
        /// Which.
        zone: usize,
        /// For how long.
        for_s: f64,
    },
    /// All machines of a zone vanish: what is open there stays open and silent, and new connections never
    /// come up. They come back cold, and reset what was open.
    HushZone {
        /// Which.
        zone: usize,
        /// For how long.
        for_s: f64,
    },
    /// A zone's hosts and the balancers of other zones do not reach each other.
    CutZone {
        /// Which.
        zone: usize,
        /// For how long.
        for_s: f64,
    },
    /// A part of the hosts fails new connections at once, so that they look idle.
    FailHosts {
        /// Which part.
        share: f64,
        /// Of their new connections.
        rate: f64,
        /// For how long.
        for_s: f64,
    },
    /// A part of the hosts does less.
    SlowHosts {
        /// Which part.
        share: f64,
        /// What is left of them.
        factor: f64,
        /// For how long.
        for_s: f64,
    },
    /// Reports are told so much later.
    LateReports {
        /// In ms.
        ms: f64,
        /// For how long.
        for_s: f64,
    },
    /// Probes are refused, or never answered.
    MuteProbes {
        /// They are refused; else nothing comes.
        refused: bool,
        /// For how long.
        for_s: f64,
    },
    /// Hosts hold no more than this part of what they did.
    FewPlaces {
        /// Which part.
        factor: f64,
        /// For how long.
        for_s: f64,
    },
    /// A part of the hosts drops each new connection soon after it has taken it.
    DropNew {
        /// Which part.
        share: f64,
        /// For how long.
        for_s: f64,
    },
    /// The list service refuses three of four calls.
    BusyList {
        /// For how long.
        for_s: f64,
    },
    /// The list service is down.
    NoList {
        /// For how long.
        for_s: f64,
    },
}

/// What list of hosts a balancer finds at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Known {
    /// As it is at that moment.
    #[default]
    Fresh,
    /// As it was when the day began: with hosts that have drained and gone since.
    Old,
    /// None.
    Nothing,
}

/// How balancers decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Strategy {
    /// As marllink does.
    Marllink,
    /// As marllink does, but for this.
    Varied {
        /// Its name in the table.
        name: String,
        /// What differs.
        with: Variant,
    },
    /// Each host with the same chance, and again on failure.
    Random,
    /// By each host's true load as it was a while ago.
    Seeing {
        /// How long ago, in ms.
        late_ms: f64,
    },
}

impl Strategy {
    /// Its name in the table.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Marllink => "marllink".into(),
            Self::Varied { name, .. } => name.clone(),
            Self::Random => "random".into(),
            Self::Seeing { late_ms } => format!("seeing-{late_ms}ms"),
        }
    }

    /// True if this bug is planted in it.
    #[must_use]
    pub fn is_planted(&self, plant: InjectedBug) -> bool {
        matches!(self, Self::Varied { with, .. } if with.injected_bug == Some(plant))
    }

    /// The same with a bug planted, where it is marllink.
    #[must_use]
    pub fn planted(&self, plant: InjectedBug) -> Self {
        match self {
            Self::Marllink => Self::Varied {
                name: "marllink".into(),
                with: Variant { injected_bug: Some(plant), ..Variant::default() },
            },
            Self::Varied { name, with } => Self::Varied {
                name: name.clone(),
                with: Variant { injected_bug: Some(plant), ..with.clone() },
            },
            other => other.clone(),
        }
    }
}

/// A figure of a run; [`crate::Figures`] tells what each means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Figure {
    /// Worth served over worth wanted.
    Served,
    /// The same less prices.
    Net,
    /// The same over the worst 5 s.
    Worst,
    /// The same of the tenant that is served worst, over the time in which it keeps to its share.
    LeastTenant,
    /// Largest error of a size's share of set-ups against its share of capacity.
    Skew,
    /// Attempts that did not stand for each that did, over the worst 5 s.
    Vain,
    /// Attempts for each try of a client.
    Attempts,
    /// Connections that hosts dropped for each first try.
    Dropped,
    /// Attempts that crossed zones for each first try.
    Crossed,
    /// Probes for each set-up.
    Probes,
    /// Times that a cold host was sent more than its limit.
    ColdOver,
    /// Moves for each first try.
    Moves,
    /// Calls to the list service for each balancer.
    Calls,
    /// Largest part of the moves within 30 s that fell into one 200 ms.
    MovedAtOnce,
    /// Attempts sent to hosts that drain or are gone, told or not, for each first try.
    Stale,
    /// Refusals for each first try.
    Refused,
    /// Seconds from the day's last fault until service is full again; the rest of the day where it never is.
    Back,
    /// Calls to the list service in the worst second, for each balancer.
    CallsWorst,
    /// Set-ups asked of hosts in the worst second after the last fault, over the mean of the seconds that follow.
    Wave,
    /// Median ms from a client's try to its connection.
    WaitMedian,
    /// The same, which one of a hundred exceeds.
    WaitTail,
    /// Rules broken.
    Broken,
}

/// A bound on a figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Of these days; of all if empty.
    #[serde(default)]
    pub days: Vec<String>,
    /// Which figure.
    pub figure: Figure,
    /// How it compares.
    pub is: Comparison,
    /// To what.
    pub bound: f64,
}

/// How a figure compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Comparison {
    /// At most the bound.
    AtMost,
    /// At least the bound.
    AtLeast,
}

impl Comparison {
    /// Whether a value compares so to a bound.
    #[must_use]
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Self::AtMost => value <= bound,
            Self::AtLeast => value >= bound,
        }
    }
}

impl Bound {
    /// Whether the figure is as it has to be.
    #[must_use]
    pub fn holds(&self, value: f64) -> bool {
        self.is.holds(value, self.bound)
    }

    /// True if it is a bound on that day.
    #[must_use]
    pub fn binds(&self, day: &str) -> bool {
        self.days.is_empty() || self.days.iter().any(|d| d == day)
    }
}
