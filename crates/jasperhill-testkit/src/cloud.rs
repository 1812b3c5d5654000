//! Simulated cloud that controllers rent machines from.
//!
//! [`Cloud`] offers one machine type, rents machines up to its capacity and releases them. Its list
//! of machines lags: a request is answered from a snapshot of the recent past, drawn at random.

use jasperhill_http::{Method, Request, Response};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Rented machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine: `n-` followed by its six-digit number.
    pub id: String,
    /// Zone the machine is in.
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Time of the rental.
    pub rented: Instant,
    /// Time at which the machine is up.
    pub boots: Instant,
    /// Whether the machine is up.
    pub up: bool,
}

/// Simulated cloud service that rents out machines.
pub struct Cloud {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Most machines that can be rented at the same time.
    pub capacity: usize,
    /// Rented machines by name, including those that still boot.
    pub machines: BTreeMap<String, Machine>,
    /// Snapshots of the machines, oldest first, from which listings are answered.
    snapshots: VecDeque<(Instant, BTreeMap<String, Machine>)>,
    /// Responses to rental requests by the name of the rental, so that a repeated request rents
    /// nothing more.
    rental_responses: BTreeMap<String, Value>,
    /// Number of the machine that was added last.
    last_number: usize,
    /// Mean age of the snapshot that a listing is answered from; the oldest one is twice as old.
    pub list_lag: Duration,
    /// Whether boot times of new machines are abnormal: one second, 90 seconds, or longer than any
    /// run.
    pub bad_boots: bool,
}

/// CPUs of a machine.
pub const MACHINE_CPUS: f64 = 16.0;
/// GPUs of a machine.
pub const MACHINE_GPUS: f64 = 2.0;

impl Cloud {
    /// Returns a cloud without machines.
    pub fn new(zones: Vec<String>, capacity: usize, list_lag: Duration) -> Self {
        Self {
            zones,
            capacity,
            machines: BTreeMap::new(),
            snapshots: VecDeque::new(),
            rental_responses: BTreeMap::new(),
            last_number: 0,
            list_lag,
            bad_boots: false,
        }
    }

    /// Adds a machine that is up after `boot`, and returns its name. Does not check the capacity.
    pub fn add(&mut self, zone: &str, spot: bool, now: Instant, boot: Duration) -> String {
        self.last_number += 1;
        let id = format!("n-{:06}", self.last_number);
        let machine = Machine {
            id: id.clone(),
            zone: zone.to_owned(),
            spot,
            rented: now,
            boots: now + boot,
            up: false,
        };
        self.machines.insert(id.clone(), machine);
        id
    }

    /// Takes a snapshot for later listings and drops those older than twice the list lag.
    pub fn remember(&mut self, now: Instant) {
        self.snapshots.push_back((now, self.machines.clone()));
        while self
            .snapshots
            .front()
            .is_some_and(|(t, _)| now - *t > self.list_lag * 2)
        {
            self.snapshots.pop_front();
        }
    }

    /// Executes a request. The second part of the result names the machines that the request
    /// released: they end together with all tasks on them. `pick(n)` returns a random number below
    /// `n`.
    ///
    /// # Panics
    ///
    /// Panics on a request that is not part of the cloud's protocol.
    pub fn serve(
        &mut self,
        request: &Request,
        now: Instant,
        pick: impl Fn(u64) -> u64,
    ) -> (Response, Vec<String>) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let answer = match (request.method, request.path()) {
            (Method::Get, "/machine_types") => json!({"hosttypes":[{
                "name":"box","vcpus":MACHINE_CPUS,"accelerators":MACHINE_GPUS,
                "memory_gb":128.0,"local_gb":90.0,
                "pull_gb_per_s":1.0,"hourly":4.0,"spot_price":2.0,"ready_s":20.0,
                "halls":self.zones}]}),
            (Method::Get, "/rentals") => {
                let snapshot = &self.snapshots[pick(self.snapshots.len() as u64) as usize].1;
                let hosts: Vec<Value> = snapshot
                    .values()
                    .map(|m| {
                        json!({"uid":m.id,"address":address(&m.id),"hosttype":"box","hall":m.zone,
                            "reclaimable":m.spot,"phase":if m.up {"running"} else {"booting"},
                            "held_s":(now - m.rented).as_secs_f64()})
                    })
                    .collect();
                json!({"hosts":hosts,"more":false})
            }
            (Method::Post, "/rentals") => {
                let rental = body["rental"].as_str().unwrap().to_owned();
                if let Some(first_response) = self.rental_responses.get(&rental) {
                    first_response.clone()
                } else {
                    let requested = body["how_many"].as_u64().unwrap() as usize;
                    let granted = self
                        .capacity
                        .saturating_sub(self.machines.len())
                        .min(requested);
                    if granted == 0 {
                        let body = b"{\"error\":\"no capacity\"}".to_vec();
                        return (Response::new(503, body), Vec::new());
                    }
                    let zone = body["hall"].as_str().unwrap().to_owned();
                    let spot = body["reclaimable"].as_bool().unwrap();
                    let hosts: Vec<String> = (0..granted)
                        .map(|_| {
                            let boot_s = match (self.bad_boots, pick(20)) {
                                (false, n) => 12 + n,
                                (true, 0..6) => 1,
                                (true, 6..14) => 90,
                                (true, _) => 100_000,
                            };
                            self.add(&zone, spot, now, Duration::from_secs(boot_s))
                        })
                        .collect();
                    let answer = json!({ "hosts": hosts });
                    self.rental_responses.insert(rental, answer.clone());
                    answer
                }
            }
            (Method::Post, "/rentals/release") => {
                let names: Vec<String> = serde_json::from_value(body["hosts"].clone()).unwrap();
                assert!(names.len() <= 100);
                let released: Vec<String> = names
                    .into_iter()
                    .filter(|n| self.machines.remove(n).is_some())
                    .collect();
                return (Response::new(200, b"{}".to_vec()), released);
            }
            other => panic!("unexpected request to the cloud: {other:?}"),
        };
        (
            Response::new(200, answer.to_string().into_bytes()),
            Vec::new(),
        )
    }
}

/// Returns the address of a machine's agent, which follows from the number in its name.
pub fn address(id: &str) -> String {
    let number: u32 = id[2..].parse().unwrap();
    format!("10.1.{}.{}:9000", number / 200, number % 200 + 1)
}
