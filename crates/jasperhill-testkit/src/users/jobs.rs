//! The jobs that users submit.

use crate::{cluster::SimulatedCluster, scenario::Scale};
use serde_json::{Value, json};

/// A job of some kind, by the world's luck.
pub fn random_job(world: &SimulatedCluster, number: usize) -> Value {
    let pick = |n: u64| world.draw(n);
    // Tasks of a job, by its kind.
    let most: [u64; 4] = match world.scale {
        Scale::Small => [2, 2, 6, 4],
        Scale::Large | Scale::Fleet => [12, 5, 250, 60],
    };
    let size = |kind: usize| {
        let n = 1 + pick(most[kind]);
        // Gangs come in powers of two, up to 16.
        if kind == 1 && world.scale != Scale::Small {
            1 << (n - 1)
        } else {
            n
        }
    };
    let (class, shape, urgency, tasks, gpus, spot, mut due) = match pick(4) {
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
    let mut estimate = if shape == "daemon" {
        0.0
    } else {
        8.0 + pick(30) as f64
    };
    if world.plan.long_tasks.is_some() {
        // Longer than the day.
        estimate *= 60.0;
        due = Value::Null;
    }
    json!({
        "uid": format!("job-{number:06}"), "jobclass": class, "tenant": format!("team-{}", pick(4)),
        "shape": shape, "urgency": urgency, "shards": tasks, "vcpus": 4.0, "accelerators": gpus,
        "memory_gb": 20.0, "bundle": format!("img-{}", pick(4)), "size_gb": 2.0 + pick(4) as f64,
        "hosttypes": null, "hall": null, "together": shape == "ensemble" && pick(2) == 0,
        "apart": shape == "daemon", "reclaimable": spot, "expected_s": estimate,
        "snapshot_every_s": 0.0, "snapshot_s": 0.0, "due_s": due,
    })
}

pub(super) fn array(
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

/// An array of two or three tasks, each of which lasts longer than the one before.
pub fn uneven_array(number: usize) -> Value {
    let (id, team) = (650_000 + number, number % 4);
    let tasks = 2 + number as u32 % 2;
    array(
        format!("job-{id:06}"),
        "uneven",
        &format!("team-{team}"),
        tasks,
        1.0,
        6.0,
    )
}

pub fn bound_id(number: usize) -> String {
    format!("job-{:06}", 660_000 + number)
}

/// A job of any shape that is bound to one zone: a named one, or one for all of its tasks.
pub fn zone_bound_job(number: usize) -> Value {
    let team = format!("team-{}", number % 4);
    let tasks = 1 + number as u32 % 3;
    let run = 10.0 + (number % 5) as f64 * 6.0;
    let mut job = array(bound_id(number), "bound", &team, tasks, 3.0, run);
    job["accelerators"] = json!(1.0);
    match number % 5 {
        0 => {}
        1 => job["shape"] = json!("ensemble"),
        2 => {
            job["shape"] = json!("daemon");
            job["expected_s"] = json!(0.0);
        }
        // At most half of an array at a time.
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

/// An array that fails on every machine.
pub fn failing_array(number: usize) -> Value {
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

/// One of very many urgent jobs.
pub fn flood_job(number: usize, team: usize) -> Value {
    let id = format!("job-{:06}", 400_000 + number);
    let mut job = array(id, "flood", &format!("team-{team}"), 40, 4.0, 20.0);
    job["urgency"] = json!("urgent");
    job["accelerators"] = json!(1.0);
    job
}

/// A guest's huge array of short, tiny tasks.
pub fn huge_array() -> Value {
    array("job-600000".to_owned(), "tiny", "guest", 4_000, 0.25, 3.0)
}

/// The jobs of a pipeline: one, two after it, a gang after these, a last one with a deadline.
pub fn dependent_jobs(world: &SimulatedCluster, number: usize) -> Vec<Value> {
    let needs: [&[usize]; 5] = [&[], &[0], &[0], &[1, 2], &[3, 0]];
    let id = |stage: usize| format!("job-{:06}", 700_000 + number * 10 + stage);
    let stage = |n: usize| {
        let team = format!("team-{}", world.draw(4));
        let tasks = 1 + world.draw(4) as u32;
        let mut job = array(
            id(n),
            "stage",
            &team,
            tasks,
            1.0,
            4.0 + world.draw(8) as f64,
        );
        if n == 3 {
            job["shape"] = json!("ensemble");
        }
        if n == 4 {
            job["urgency"] = json!("urgent");
            job["due_s"] = json!(150.0);
        }
        let needs: Vec<String> = needs[n].iter().map(|m| id(*m)).collect();
        job["waits_on"] = json!(needs);
        job
    };
    (0..needs.len()).map(stage).collect()
}

/// What can never run, or lacks something, with the answer that it gets and the field that this
/// names.
pub(super) fn invalid_job(number: usize) -> (Value, u16, &'static str) {
    let team = format!("team-{}", number % 4);
    let id = format!("job-{:06}", 820_000 + number);
    let mut body = array(id, "odd", &team, 3, 1.0, 5.0);
    let mut gang = body.clone();
    gang["shape"] = json!("ensemble");
    gang["apart"] = json!(true);
    let fields: Vec<String> = body.as_object().unwrap().keys().cloned().collect();
    let needed = |f: &&String| !["hosttypes", "hall", "due_s", "uid"].contains(&f.as_str());
    let needed: Vec<&String> = fields.iter().filter(needed).collect();
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
            let field = needed[number / 8 % needed.len()].clone();
            body.as_object_mut().unwrap().remove(&field);
            (body, 400, "missing")
        }
    }
}
