//! How a process's sockets are divided: what each class is guaranteed, and how many there are in
//! all. Derived from the platform's limit and the number of machines seen, nothing else.

use enum_map::{Enum, EnumMap, enum_map};

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Enum)]
pub enum Class {
    /// To the state service.
    State,
    /// To the cloud.
    Cloud,
    /// To other controllers.
    Peers,
    /// To workers.
    Commands,
    /// Accepted, and nothing was said on it yet.
    Accepted,
    /// From whoever asks whether this controller is ready.
    Health,
    /// From other controllers.
    Mesh,
    /// From workers.
    Heartbeats,
    /// From users.
    Users,
}

impl Class {
    pub const ALL: [Self; 9] = [
        Self::State,
        Self::Cloud,
        Self::Peers,
        Self::Commands,
        Self::Accepted,
        Self::Health,
        Self::Mesh,
        Self::Heartbeats,
        Self::Users,
    ];

    /// As it stands in the log and in the answer to `/ready`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::State => "state",
            Self::Cloud => "cloud",
            Self::Peers => "peers",
            Self::Commands => "orders",
            Self::Accepted => "door",
            Self::Health => "health",
            Self::Mesh => "mesh",
            Self::Heartbeats => "reports",
            Self::Users => "users",
        }
    }
}

/// What a plan is made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanInputs {
    /// What the platform allows the process, as its settings say.
    pub most: usize,
    /// Other controllers.
    pub peers: usize,
    /// Machines that are known; all of them may come here.
    pub machines: usize,
}

/// Numbers of sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetPlan {
    /// What the platform allows.
    pub most: usize,
    /// In all, for what is counted here.
    pub bound: usize,
    /// Beyond this, connections of users are closed with their answers.
    pub soft: usize,
    pub guaranteed: EnumMap<Class, usize>,
}

impl BudgetPlan {
    /// A quarter of the platform's limit stays free: for connections that the kernel still closes,
    /// and those that the account has never heard of.
    pub fn new(sizes: PlanInputs) -> Self {
        let most = sizes.most.max(16);
        let bound = (most * 3 / 4).max(12);
        // Parts of the bound, so that a small limit is divided in the same way as a large one.
        let part = |of: usize, least: usize, top: usize| (bound / of).clamp(least, top);
        let mut floors = enum_map! {
            Class::State => part(100, 3, 12),
            Class::Cloud => part(400, 1, 4),
            Class::Peers | Class::Mesh => part(60, 1, 16) * sizes.peers.clamp(1, 8),
            Class::Commands => part(20, 1, 128),
            Class::Accepted => part(30, 1, 64),
            Class::Health => part(300, 1, 8),
            Class::Users => part(12, 1, 4_096),
            Class::Heartbeats => 0,
        };
        // As many as there are machines, as far as the others leave it.
        let others: usize = floors.values().sum();
        let workers = sizes.machines + sizes.machines / 20 + 1;
        floors[Class::Heartbeats] = workers.min(bound.saturating_sub(others)).max(1);
        // A limit of a few dozen: nobody is guaranteed more than there is.
        while floors.values().sum::<usize>() > bound {
            let most = Class::ALL.into_iter().max_by_key(|c| floors[*c]);
            match most.filter(|c| floors[*c] > 1) {
                Some(class) => floors[class] -= 1,
                None => break,
            }
        }
        Self {
            most,
            bound,
            soft: bound * 23 / 25,
            guaranteed: floors,
        }
    }
}
