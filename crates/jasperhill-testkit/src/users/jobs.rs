//! Job requests that simulated users submit, as JSON bodies.
//!
//! Every kind of job has a class of its own, which the workers, users and checks recognise, and a
//! range of job numbers of its own, so that ids don't collide.

use crate::{cluster::SimulatedCluster, scenario::Scale};
use serde_json::{Value, json};

/// Returns a service, a gang or one of two kinds of array, drawn from the cluster's random numbers.
pub fn random_job(cluster: &SimulatedCluster, number: usize) -> Value {
    let pick = |n: u64| cluster.draw(n);
    // Most tasks of a job, by kind: service, gang, `batch` array, `loose` array.
    let max_tasks: [u64; 4] = match cluster.scale {
        Scale::Small => [2, 2, 6, 4],
        Scale::Large | Scale::Fleet => [12, 5, 250, 60],
    };
    let task_count = |kind: usize| {
        let n = 1 + pick(max_tasks[kind]);
        // Gangs come in powers of two, up to 16.
        if kind == 1 && cluster.scale != Scale::Small {
            1 << (n - 1)
        } else {
            n
        }
    };
    let (class, shape, urgency, tasks, gpus, spot, mut due_s) = match pick(4) {
        0 => (
            "service",
            "daemon",
            "prod",
            task_count(0),
            1.0,
            false,
            Value::Null,
        ),
        1 => (
            "gang",
            "ensemble",
            "urgent",
            task_count(1),
            2.0,
            false,
            Value::Null,
        ),
        2 => (
            "batch",
            "array",
            "standard",
            task_count(2),
            1.0,
            true,
            json!(60.0 + pick(120) as f64),
        ),
        _ => (
            "loose",
            "array",
            "idle",
            task_count(3),
            1.0,
            true,
            Value::Null,
        ),
    };
    let mut expected_s = if shape == "daemon" {
        0.0
    } else {
        8.0 + pick(30) as f64
    };
    if cluster.scenario.long_tasks.is_some() {
        // Tasks outlast the run, and the job has no deadline, which it would miss.
        expected_s *= 60.0;
        due_s = Value::Null;
    }
    json!({
        "uid": format!("job-{number:06}"), "jobclass": class, "tenant": format!("team-{}", pick(4)),
        "shape": shape, "urgency": urgency, "shards": tasks, "vcpus": 4.0, "accelerators": gpus,
        "memory_gb": 20.0, "bundle": format!("img-{}", pick(4)), "size_gb": 2.0 + pick(4) as f64,
        "hosttypes": null, "hall": null, "together": shape == "ensemble" && pick(2) == 0,
        "apart": shape == "daemon", "reclaimable": spot, "expected_s": expected_s,
        "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": due_s,
    })
}

/// Returns an `idle` array without GPUs that may run on spot machines. `run_s` is the expected run
/// time of a task.
pub(super) fn array_job(
    id: String,
    class: &str,
    team: &str,
    tasks: u32,
    cpus: f64,
    run_s: f64,
) -> Value {
    json!({
        "uid": id, "jobclass": class, "tenant": team, "shape": "array", "urgency": "idle",
        "shards": tasks, "vcpus": cpus, "accelerators": 0.0, "memory_gb": 0.5, "bundle": "img-9",
        "size_gb": 0.5, "hosttypes": null, "hall": null, "together": false, "apart": false,
        "reclaimable": true, "expected_s": run_s, "snapshot_every_s": 0.0, "snapshot_s": 0.0,
        "due_s": null,
    })
}

/// Returns an array of two or three tasks, each of which runs longer than the one before.
pub fn uneven_array(number: usize) -> Value {
    let (id, team) = (650_000 + number, number % 4);
    let tasks = 2 + number as u32 % 2;
    array_job(
        format!("job-{id:06}"),
        "uneven",
        &format!("team-{team}"),
        tasks,
        1.0,
        6.0,
    )
}

/// Returns the id of the job that [`zone_bound_job`] makes for this number.
pub fn bound_id(number: usize) -> String {
    format!("job-{:06}", 660_000 + number)
}

/// Returns a job of any shape whose tasks must all run in one zone: a zone that the request names,
/// or any single one.
pub fn zone_bound_job(number: usize) -> Value {
    let team = format!("team-{}", number % 4);
    let tasks = 1 + number as u32 % 3;
    let run_s = 10.0 + (number % 5) as f64 * 6.0;
    let mut job = array_job(bound_id(number), "bound", &team, tasks, 3.0, run_s);
    job["accelerators"] = json!(1.0);
    match number % 5 {
        0 => {}
        1 => job["shape"] = json!("ensemble"),
        2 => {
            job["shape"] = json!("daemon");
            job["expected_s"] = json!(0.0);
        }
        // Spread: at most half of an array runs at a time.
        3 => job["apart"] = json!(true),
        _ => job["urgency"] = json!("urgent"),
    }
    if number.is_multiple_of(2) {
        job["hall"] = json!(["a", "b"][number / 2 % 2]);
    } else {
        job["together"] = json!(true);
    }
    job
}

/// Returns an array whose tasks fail on every machine.
pub fn failing_array(number: usize) -> Value {
    let team = format!("team-{}", number % 4);
    array_job(
        format!("job-{:06}", 500_000 + number),
        "broken",
        &team,
        60,
        1.0,
        20.0,
    )
}

/// Returns one job of a flood: very many urgent jobs submitted within a short time.
pub fn flood_job(number: usize, team: usize) -> Value {
    let id = format!("job-{:06}", 400_000 + number);
    let mut job = array_job(id, "flood", &format!("team-{team}"), 40, 4.0, 20.0);
    job["urgency"] = json!("urgent");
    job["accelerators"] = json!(1.0);
    job
}

/// Returns an array of 4,000 short, small tasks of the team `guest`.
pub fn huge_array() -> Value {
    array_job("job-600000".to_owned(), "tiny", "guest", 4_000, 0.25, 3.0)
}

/// Returns the five jobs of a pipeline: the first one, two that depend on it, a gang that depends
/// on both, and a last one with a deadline that depends on the gang and the first one.
pub fn dependent_jobs(cluster: &SimulatedCluster, number: usize) -> Vec<Value> {
    let dependencies: [&[usize]; 5] = [&[], &[0], &[0], &[1, 2], &[3, 0]];
    let id = |stage: usize| format!("job-{:06}", 700_000 + number * 10 + stage);
    let stage = |n: usize| {
        let team = format!("team-{}", cluster.draw(4));
        let tasks = 1 + cluster.draw(4) as u32;
        let mut job = array_job(
            id(n),
            "stage",
            &team,
            tasks,
            1.0,
            4.0 + cluster.draw(8) as f64,
        );
        if n == 3 {
            job["shape"] = json!("ensemble");
        }
        if n == 4 {
            job["urgency"] = json!("urgent");
            job["due_s"] = json!(150.0);
        }
        let dependency_ids: Vec<String> = dependencies[n].iter().map(|m| id(*m)).collect();
        job["waits_on"] = json!(dependency_ids);
        job
    };
    (0..dependencies.len()).map(stage).collect()
}

/// Returns an invalid request (a job that can never run, or one that lacks a field), with the
/// status that it must be answered with and a word that the answer must contain: the name of the
/// field at fault, or `missing`.
pub(super) fn invalid_job(number: usize) -> (Value, u16, &'static str) {
    let team = format!("team-{}", number % 4);
    let id = format!("job-{:06}", 820_000 + number);
    let mut body = array_job(id, "odd", &team, 3, 1.0, 5.0);
    let mut gang = body.clone();
    gang["shape"] = json!("ensemble");
    gang["apart"] = json!(true);
    let fields: Vec<String> = body.as_object().unwrap().keys().cloned().collect();
    let is_required = |f: &&String| !["hosttypes", "hall", "due_s", "uid"].contains(&f.as_str());
    let required: Vec<&String> = fields.iter().filter(is_required).collect();
    match number % 8 {
        0 => {
            body["accelerators"] = json!(1_000.0);
            (body, 422, "hosttypes")
        }
        1 => {
            body["hosttypes"] = json!(["no-such"]);
            (body, 422, "hosttypes")
        }
        2 => {
            body["hall"] = json!("z");
            (body, 422, "hosttypes")
        }
        3 => {
            body["tenant"] = json!("nobody");
            (body, 422, "tenant")
        }
        4 => {
            gang["together"] = json!(true);
            (gang, 422, "apart")
        }
        5 => {
            gang["hall"] = json!("a");
            (gang, 422, "apart")
        }
        6 => {
            body["shards"] = json!(0);
            (body, 400, "shards")
        }
        _ => {
            let field = required[number / 8 % required.len()].clone();
            body.as_object_mut().unwrap().remove(&field);
            (body, 400, "missing")
        }
    }
}
