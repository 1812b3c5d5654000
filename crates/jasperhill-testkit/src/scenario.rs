//! What a simulated day is made of.

use crate::faults::Fault;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub seconds: u64,
    pub jobs: usize,
    /// Troubles at set times.
    pub faults: Vec<(u64, Fault)>,
    pub scale: Scale,
    /// Arrays that were submitted with a mistake: they fail on every machine.
    pub broken: usize,
    /// A team without a guarantee brings a huge array of short, tiny tasks.
    pub huge_guest_array: bool,
    /// Chains of jobs, from this second on.
    pub pipelines: (usize, u64),
    /// The state service has limits, and lower ones are announced.
    pub limits: bool,
    /// All controllers begin with the formats of the old version.
    pub old_version: bool,
    /// What the platform allows each process, and whether processes keep account of it.
    pub sockets: usize,
    pub without_connection_budget: bool,
    /// Controllers never leave their roles, however often they end.
    pub without_crash_loop_backoff: bool,
    /// Nobody gets a turn for having fallen behind.
    pub without_starvation_guard: bool,
    /// So many urgent jobs from this second on, of one team or of all.
    pub flood: (usize, u64),
    pub flood_of_one_team: bool,
    /// Tasks outlast the day, and two of three users cancel between these seconds.
    pub long_tasks: Option<(u64, u64)>,
    /// Arrays of two or three tasks that end far apart; nobody cancels them.
    pub uneven: usize,
    /// Arrays, gangs and services that are bound to one zone, or to all of their tasks in one.
    pub bound: usize,
    /// How long the operators let a session outlive its last renewal, in seconds.
    pub session: Option<u64>,
    /// The guard left out: leases are renewed however old the knowledge is that this rests on.
    pub without_freshness_bound: bool,
}

impl Scenario {
    /// A small deployment with nothing but jobs of its own and these troubles.
    pub fn small(seed: u64, seconds: u64, jobs: usize, troubles: Vec<(u64, Fault)>) -> Self {
        Self {
            seed,
            seconds,
            jobs,
            faults: troubles,
            scale: Scale::Small,
            broken: 0,
            huge_guest_array: false,
            pipelines: (0, 0),
            limits: false,
            old_version: false,
            sockets: SOCKETS,
            without_connection_budget: false,
            without_crash_loop_backoff: false,
            without_starvation_guard: false,
            flood: (0, 0),
            flood_of_one_team: false,
            long_tasks: None,
            uneven: 0,
            bound: 0,
            session: None,
            without_freshness_bound: false,
        }
    }
}

/// What the platform allows where a plan says nothing else.
const SOCKETS: usize = 1_000;

/// How large the deployment is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// A handful of machines and jobs of a few tasks.
    Small,
    /// Hundreds of machines, arrays of hundreds, gangs of up to 16 whole machines.
    Large,
    /// Twice as many.
    Fleet,
}

impl Scale {
    /// Machines that are up at the start.
    pub(crate) fn hosts(self) -> usize {
        match self {
            Self::Small => 6,
            Self::Large => 300,
            Self::Fleet => 600,
        }
    }
    /// Machines that there are.
    pub(crate) fn capacity(self) -> usize {
        match self {
            Self::Small => 16,
            Self::Large => 360,
            Self::Fleet => 660,
        }
    }
    /// What a team may use at once.
    pub(crate) fn gpu_limit(self) -> f64 {
        match self {
            Self::Small => 5.0,
            Self::Large => 200.0,
            Self::Fleet => 400.0,
        }
    }
}
