//! Description of a simulated run: its workload, faults, limits and scale.

use crate::faults::Fault;
use serde_json::Value;

/// Parameters of a simulated run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Length of the run.
    pub seconds: u64,
    /// Number of random jobs.
    pub jobs: usize,
    /// Faults and the times at which they start, in seconds from the start.
    pub faults: Vec<(u64, Fault)>,
    pub scale: Scale,
    /// Number of arrays submitted with a mistake: their tasks fail on every machine.
    pub failing_arrays: usize,
    /// Whether a team without a guarantee submits a huge array of short, tiny tasks.
    pub huge_guest_array: bool,
    /// Number of chains of dependent jobs, and the second from which they are submitted.
    pub pipelines: (usize, u64),
    /// Whether the state service has limits and announces lower ones.
    pub limits: bool,
    /// Whether all controllers start with the formats of the old version.
    pub old_version: bool,
    /// Number of sockets that the platform allows each controller process.
    pub socket_limit: usize,
    /// Disables the controllers' own connection limits.
    pub without_connection_budget: bool,
    /// Disables the crash-loop backoff: controllers never give up their roles, however often they
    /// crash.
    pub without_crash_loop_backoff: bool,
    /// Disables the starvation guard: no job is preferred because its share has fallen behind.
    pub without_starvation_guard: bool,
    /// Number of urgent jobs of an overload, and the second from which they are submitted.
    pub flood: (usize, u64),
    /// Whether the jobs of `flood` all belong to one team.
    pub flood_of_one_team: bool,
    /// If set, tasks outlast the run, and two of three users cancel their jobs between these two
    /// seconds.
    pub long_tasks: Option<(u64, u64)>,
    /// Number of arrays of two or three tasks that end far apart; nobody cancels these jobs.
    pub uneven_arrays: usize,
    /// Number of arrays, gangs and services that are restricted to one given zone or must have all
    /// tasks in one zone.
    pub zone_bound_jobs: usize,
    /// Requests of further jobs, which nobody cancels if their class is
    /// [`crate::users::KEPT_CLASS`], and the seconds at which they are submitted.
    pub submissions: Vec<(u64, Value)>,
    /// Time in seconds that a controller's session outlives its last renewal, as set by the
    /// operators; `None` if they set none.
    pub session_s: Option<u64>,
    /// Disables the freshness bound: leases are renewed however old the state is that the renewal
    /// rests on.
    pub without_freshness_bound: bool,
    /// Lets late copies of direct commands pass the workers' checks of token and incarnation.
    pub without_fencing_of_copies: bool,
}

impl Scenario {
    /// Returns a small deployment with `jobs` random jobs and these faults, and no other workload.
    pub fn small(seed: u64, seconds: u64, jobs: usize, faults: Vec<(u64, Fault)>) -> Self {
        Self {
            seed,
            seconds,
            jobs,
            faults,
            scale: Scale::Small,
            failing_arrays: 0,
            huge_guest_array: false,
            pipelines: (0, 0),
            limits: false,
            old_version: false,
            socket_limit: DEFAULT_SOCKET_LIMIT,
            without_connection_budget: false,
            without_crash_loop_backoff: false,
            without_starvation_guard: false,
            flood: (0, 0),
            flood_of_one_team: false,
            long_tasks: None,
            uneven_arrays: 0,
            zone_bound_jobs: 0,
            submissions: Vec::new(),
            session_s: None,
            without_freshness_bound: false,
            without_fencing_of_copies: false,
        }
    }
}

/// Number of sockets per controller process unless the scenario sets another.
const DEFAULT_SOCKET_LIMIT: usize = 1_000;

/// Size of the simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scale {
    /// A few machines, and jobs of a few tasks.
    Small,
    /// Hundreds of machines, arrays of hundreds of tasks, and gangs of up to 16 whole machines.
    Large,
    /// Twice as many machines as [`Self::Large`].
    Fleet,
}

impl Scale {
    /// Returns the number of machines that are up at the start.
    pub(crate) fn hosts(self) -> usize {
        match self {
            Self::Small => 6,
            Self::Large => 300,
            Self::Fleet => 600,
        }
    }
    /// Returns the most machines that can be rented at once.
    pub(crate) fn capacity(self) -> usize {
        match self {
            Self::Small => 16,
            Self::Large => 360,
            Self::Fleet => 660,
        }
    }
    /// Returns the number of GPUs that each team may use at once.
    pub(crate) fn gpu_limit(self) -> f64 {
        match self {
            Self::Small => 5.0,
            Self::Large => 200.0,
            Self::Fleet => 400.0,
        }
    }
}
