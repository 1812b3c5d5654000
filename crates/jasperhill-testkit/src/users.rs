//! A stand-in for users: submits, polls, cancels, submits again, and minds every answer.

use crate::world::{Scale, World};
use jasperhill_http::{Method, Request};
use jasperhill_wire::user::JobRequest;
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// A job of some kind, by the world's luck.
pub fn make(world: &World, number: usize) -> Value {
    let pick = |n: u64| world.pick(n);
    // Tasks of a job, by its kind.
    let most: [u64; 4] = match world.scale {
        Scale::Small => [2, 2, 6, 4],
        Scale::Large => [12, 5, 250, 60],
    };
    let size = |kind: usize| {
        let n = 1 + pick(most[kind]);
        // Gangs come in powers of two, up to 16.
        if kind == 1 && world.scale == Scale::Large {
            1 << (n - 1)
        } else {
            n
        }
    };
    let (class, shape, urgency, tasks, gpus, spot, due) = match pick(4) {
        0 => (
            "service",
            "daemon",
            "prod",
            size(0),
            1.0,
            false,
            Value::Null,
        ),
        1 => (
            "gang",
            "ensemble",
            "urgent",
            size(1),
            2.0,
            false,
            Value::Null,
        ),
        2 => (
            "batch",
            "array",
            "standard",
            size(2),
            1.0,
            true,
            json!(60.0 + pick(120) as f64),
        ),
        _ => ("loose", "array", "idle", size(3), 1.0, true, Value::Null),
    };
    let estimate = if shape == "daemon" {
        0.0
    } else {
        8.0 + pick(30) as f64
    };
    json!({
        "uid": format!("job-{number:06}"), "jobclass": class, "tenant": format!("team-{}", pick(4)),
        "shape": shape, "urgency": urgency, "shards": tasks, "vcpus": 4.0, "accelerators": gpus,
        "memory_gb": 20.0, "bundle": format!("img-{}", pick(4)), "size_gb": 2.0 + pick(4) as f64,
        "hosttypes": null, "hall": null, "together": shape == "ensemble" && pick(2) == 0,
        "apart": shape == "daemon", "reclaimable": spot, "expected_s": estimate,
        "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": due,
    })
}

fn array(id: String, class: &str, team: &str, tasks: u32, cpus: f64, run_s: f64) -> Value {
    json!({
        "uid": id, "jobclass": class, "tenant": team, "shape": "array", "urgency": "idle",
        "shards": tasks, "vcpus": cpus, "accelerators": 0.0, "memory_gb": 0.5, "bundle": "img-9",
        "size_gb": 0.5, "hosttypes": null, "hall": null, "together": false, "apart": false,
        "reclaimable": true, "expected_s": run_s, "snapshot_every_s": 0.0, "snapshot_s": 0.0,
        "due_s": null,
    })
}

/// An array that fails on every machine.
pub fn broken(number: usize) -> Value {
    let team = format!("team-{}", number % 4);
    array(
        format!("job-{:06}", 500_000 + number),
        "broken",
        &team,
        60,
        1.0,
        20.0,
    )
}

/// A guest's huge array of short, tiny tasks.
pub fn huge() -> Value {
    array("job-600000".to_owned(), "tiny", "guest", 4_000, 0.25, 3.0)
}

/// One user's life with one job.
pub async fn follow(world: Rc<World>, body: Value) {
    let request = JobRequest::parse(body.to_string().as_bytes()).unwrap();
    let id = request.id.to_string();
    world.inner.borrow_mut().jobs.insert(id.clone(), request);
    let submit = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
    let began = Instant::now();
    loop {
        match world.ask(&submit).await {
            Some((200 | 201, _)) => break,
            Some((400 | 422, text)) => {
                // Nothing that is made here is wrong.
                world.breaks(format!("refused: {id} {text}"));
                return;
            }
            _ if began.elapsed() > Duration::from_secs(60) => return,
            _ => sleep(Duration::from_secs(2)).await,
        }
    }
    world.inner.borrow_mut().accepted += 1;
    let class = body["jobclass"].as_str().unwrap_or_default();
    let cancel_at = match class {
        "tiny" => None,
        "broken" => Some(Instant::now() + Duration::from_secs(120)),
        _ => (world.pick(3) == 0 || body["shape"] == "daemon")
            .then(|| Instant::now() + Duration::from_secs(5 + world.pick(80))),
    };
    let (mut asked_to_cancel, mut told) = (false, "");
    loop {
        sleep(Duration::from_millis(3_000 + world.pick(4_000))).await;
        if !asked_to_cancel && cancel_at.is_some_and(|t| Instant::now() >= t) {
            asked_to_cancel = true;
        }
        let again = world.pick(12) == 0;
        let cancelling = asked_to_cancel && told.is_empty();
        let ask = if cancelling {
            Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new())
        } else if again {
            submit.clone()
        } else {
            Request::new(Method::Get, format!("/v1/jobs/{id}"), Vec::new())
        };
        let Some((status, text)) = world.ask(&ask).await else {
            continue;
        };
        match status {
            200 => {}
            404 | 400 | 422 => {
                world.breaks(format!("forgotten: {id} {status}"));
                continue;
            }
            201 => {
                world.breaks(format!("forgotten: {id} accepted once more"));
                continue;
            }
            _ => continue,
        }
        let answer: Value = serde_json::from_str(&text).unwrap();
        let phase = answer["phase"].as_str().unwrap();
        if !told.is_empty() && phase != told {
            world.breaks(format!("went_back: {id} was {told}, is {phase}"));
        }
        match phase {
            "done" => {
                let inner = world.inner.borrow();
                let all = inner.rules.all_done(&inner.jobs[&id]);
                drop(inner);
                if !all {
                    world.breaks(format!("not_done: {id}"));
                }
                if told.is_empty() {
                    world.inner.borrow_mut().finished += 1;
                }
                told = "done";
            }
            "aborted" => {
                if !asked_to_cancel {
                    world.breaks(format!("went_back: {id} cancelled by nobody"));
                }
                let now = Instant::now();
                world
                    .inner
                    .borrow_mut()
                    .rules
                    .cancelled
                    .entry(id.clone())
                    .or_insert(now);
                told = "aborted";
            }
            _ => {}
        }
    }
}

/// Asks about jobs that nobody has submitted.
pub async fn stranger(world: Rc<World>) {
    for number in 900_000.. {
        sleep(Duration::from_secs(3)).await;
        let ask = Request::new(Method::Get, format!("/v1/jobs/job-{number}"), Vec::new());
        if let Some((200, text)) = world.ask(&ask).await {
            world.breaks(format!("invented: {text}"));
        }
    }
}
