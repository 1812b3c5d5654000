//! A stand-in for the cloud: types, rentals, a list that lags.

use jasperhill_http::{Method, Request, Response};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
pub struct Machine {
    pub id: String,
    pub zone: String,
    pub spot: bool,
    pub rented: Instant,
    pub boots: Instant,
    pub up: bool,
}

pub struct Cloud {
    pub zones: Vec<String>,
    pub capacity: usize,
    pub machines: BTreeMap<String, Machine>,
    /// The list as it was, to be shown late.
    past: VecDeque<(Instant, BTreeMap<String, Machine>)>,
    answers: BTreeMap<String, Value>,
    next: usize,
    pub lag: Duration,
    /// Machines come up at once, late, or never.
    pub bad_boots: bool,
}

pub const CPUS: f64 = 16.0;
pub const GPUS: f64 = 2.0;

impl Cloud {
    pub fn new(zones: Vec<String>, capacity: usize, lag: Duration) -> Self {
        Self {
            zones,
            capacity,
            machines: BTreeMap::new(),
            past: VecDeque::new(),
            answers: BTreeMap::new(),
            next: 0,
            lag,
            bad_boots: false,
        }
    }

    pub fn add(&mut self, zone: &str, spot: bool, now: Instant, boot: Duration) -> String {
        self.next += 1;
        let id = format!("n-{:06}", self.next);
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

    /// Remembers the present for lists that come later.
    pub fn remember(&mut self, now: Instant) {
        self.past.push_back((now, self.machines.clone()));
        while self
            .past
            .front()
            .is_some_and(|(t, _)| now - *t > self.lag * 2)
        {
            self.past.pop_front();
        }
    }

    /// Machines that are deleted are named in the second part: gone, with all on them.
    pub fn serve(
        &mut self,
        request: &Request,
        now: Instant,
        pick: impl Fn(u64) -> u64,
    ) -> (Response, Vec<String>) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let answer = match (request.method, request.path()) {
            (Method::Get, "/machine_types") => json!({"hosttypes":[{
                "name":"box","vcpus":CPUS,"accelerators":GPUS,"memory_gb":128.0,"local_gb":90.0,
                "pull_gb_per_s":1.0,"hourly":4.0,"spot_price":2.0,"ready_s":20.0,
                "halls":self.zones}]}),
            (Method::Get, "/rentals") => {
                let shown = &self.past[pick(self.past.len() as u64) as usize].1;
                let hosts: Vec<Value> = shown
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
                let name = body["rental"].as_str().unwrap().to_owned();
                if let Some(old) = self.answers.get(&name) {
                    old.clone()
                } else {
                    let wanted = body["how_many"].as_u64().unwrap() as usize;
                    let room = self
                        .capacity
                        .saturating_sub(self.machines.len())
                        .min(wanted);
                    if room == 0 {
                        let body = b"{\"error\":\"no capacity\"}".to_vec();
                        return (Response::new(503, body), Vec::new());
                    }
                    let zone = body["hall"].as_str().unwrap().to_owned();
                    let spot = body["reclaimable"].as_bool().unwrap();
                    let hosts: Vec<String> = (0..room)
                        .map(|_| {
                            let boot = match (self.bad_boots, pick(20)) {
                                (false, n) => 12 + n,
                                (true, 0..6) => 1,
                                (true, 6..14) => 90,
                                (true, _) => 100_000,
                            };
                            self.add(&zone, spot, now, Duration::from_secs(boot))
                        })
                        .collect();
                    let answer = json!({ "hosts": hosts });
                    self.answers.insert(name, answer.clone());
                    answer
                }
            }
            (Method::Post, "/rentals/release") => {
                let names: Vec<String> = serde_json::from_value(body["hosts"].clone()).unwrap();
                assert!(names.len() <= 100);
                let gone: Vec<String> = names
                    .into_iter()
                    .filter(|n| self.machines.remove(n).is_some())
                    .collect();
                return (Response::new(200, b"{}".to_vec()), gone);
            }
            other => panic!("the cloud was asked {other:?}"),
        };
        (
            Response::new(200, answer.to_string().into_bytes()),
            Vec::new(),
        )
    }
}

/// Machines have addresses by their numbers.
pub fn address(id: &str) -> String {
    let number: u32 = id[2..].parse().unwrap();
    format!("10.1.{}.{}:9000", number / 200, number % 200 + 1)
}
