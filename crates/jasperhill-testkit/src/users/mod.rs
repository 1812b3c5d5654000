//! Simulated users of the public API.
//!
//! Users submit jobs, query, cancel and resubmit them, and send invalid requests. Every answer is
//! passed to the checker of the protocol's rules; answers that no rule allows are recorded as
//! violations.

mod jobs;

pub use jobs::{
    bound_id, dependent_jobs, failing_array, flood_job, huge_array, random_job, uneven_array,
    zone_bound_job,
};

use crate::cluster::{CANCEL, SimulatedCluster};
use jasperhill_http::{Method, Request};
use jasperhill_wire::user::JobRequest;
use jobs::{array_job, invalid_job};
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Class of jobs that no user cancels.
pub const KEPT_CLASS: &str = "kept";

/// Submits the jobs of a pipeline, each as soon as the one before it has been accepted, and watches
/// every accepted job. Stops at the first job that is not accepted.
pub async fn run_dependent_jobs(cluster: Rc<SimulatedCluster>, stages: Vec<Value>) {
    for body in stages {
        if !submit(&cluster, &body).await {
            return;
        }
        tokio::task::spawn_local(watch_job(cluster.clone(), body));
    }
}

/// Submits a job and, once it is accepted, watches it until the end of the run.
pub async fn run_user(cluster: Rc<SimulatedCluster>, body: Value) {
    if submit(&cluster, &body).await {
        watch_job(cluster, body).await;
    }
}

/// Submits a job until it is accepted. Returns false if it is refused, or not accepted within a
/// minute.
async fn submit(cluster: &Rc<SimulatedCluster>, body: &Value) -> bool {
    let request = JobRequest::parse(body.to_string().as_bytes()).unwrap();
    let id = request.id.to_string();
    {
        let mut inner = cluster.inner.borrow_mut();
        inner.jobs.insert(id.clone(), request);
        inner.submitted_bodies.insert(id.clone(), body.clone());
    }
    let submit = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
    let started = Instant::now();
    let mut connection = None;
    loop {
        match cluster.user_request(&submit, &mut connection).await {
            Some((200 | 201, _)) => break,
            Some((400 | 422, text)) => {
                // All requests submitted by this function are valid.
                cluster.record_violation(format!("refused: {id} {text}"));
                return false;
            }
            _ if started.elapsed() > Duration::from_secs(60) => return false,
            Some((503, _)) | None => {
                cluster.inner.borrow_mut().invariants.undecided += 1;
                sleep(Duration::from_secs(2)).await;
            }
            _ => sleep(Duration::from_secs(2)).await,
        }
    }
    let mut inner = cluster.inner.borrow_mut();
    inner.accepted += 1;
    inner.accepted_at.insert(id, Instant::now());
    drop(inner);
    true
}

/// Queries a job at intervals, resubmits it now and then, cancels it at a drawn time if at all, and
/// checks every answer.
async fn watch_job(cluster: Rc<SimulatedCluster>, body: Value) {
    let id = body["uid"].as_str().unwrap().to_owned();
    let submit = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
    let class = body["jobclass"].as_str().unwrap_or_default();
    let cancel_at = match class {
        "tiny" | "uneven" | KEPT_CLASS => None,
        "broken" => Some(Instant::now() + Duration::from_secs(120)),
        "stage" => (cluster.draw(10) == 0)
            .then(|| Instant::now() + Duration::from_secs(2 + cluster.draw(30))),
        _ => (cluster.draw(3) == 0 || body["shape"] == "daemon")
            .then(|| Instant::now() + Duration::from_secs(5 + cluster.draw(80))),
    };
    let cancel_at = match cluster.scenario.long_tasks {
        Some((from_s, to_s)) if class != "uneven" && cluster.draw(3) > 0 => {
            let offset = Duration::from_millis(cluster.draw((to_s - from_s) * 1_000));
            Some(cluster.origin + Duration::from_secs(from_s) + offset)
        }
        Some(_) => None,
        None => cancel_at,
    };
    let (mut asked_to_cancel, mut is_final, mut connection) = (false, false, None);
    let mut cancel_failed = false;
    loop {
        sleep(Duration::from_millis(3_000 + cluster.draw(4_000))).await;
        if !asked_to_cancel && cancel_at.is_some_and(|t| Instant::now() >= t) {
            asked_to_cancel = true;
            cluster
                .inner
                .borrow_mut()
                .invariants
                .cancel_requested
                .insert(id.clone());
        }
        let resubmit = cluster.draw(12) == 0;
        // A query follows every failed attempt to cancel.
        let cancelling = asked_to_cancel && !is_final && !cancel_failed;
        let request = if cancelling {
            Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new())
        } else if resubmit {
            submit.clone()
        } else {
            Request::new(Method::Get, format!("/v1/jobs/{id}"), Vec::new())
        };
        let sent = Instant::now();
        let answer = cluster
            .user_request_with_responder(&request, &mut connection)
            .await;
        let answered = matches!(answer, Some((_, 200 | 201, _)));
        cancel_failed = cancelling && !answered;
        check_answer(&cluster, &id, answer, sent);
        let inner = cluster.inner.borrow();
        is_final = inner.invariants.final_phase(&id).is_some();
        asked_to_cancel |= inner.invariants.cancel_requested.contains(&id);
    }
}

/// Checks the answer to a request about an accepted job. `sent` is the time at which the request
/// was sent; `answer` holds the controller, status and body, or `None` if there was no answer.
fn check_answer(
    cluster: &Rc<SimulatedCluster>,
    id: &str,
    answer: Option<(usize, u16, String)>,
    sent: Instant,
) {
    let now = Instant::now();
    let answered = matches!(answer, Some((_, 200 | 201, _)));
    let mut inner_borrow = cluster.inner.borrow_mut();
    let inner = &mut *inner_borrow;
    let rules = &mut inner.invariants;
    let was_final = rules.final_phase(id).is_some();
    rules.record_query(id, answered, was_final, now);
    let (node, text) = match answer {
        Some((node, 200, text)) => (node, text),
        Some((_, status @ (201 | 400 | 404 | 422), _)) => {
            rules.record_violation(format!("forgotten: {id} answered with status {status}"));
            return;
        }
        _ => return,
    };
    let answer: Value = serde_json::from_str(&text).unwrap();
    let phase = answer["phase"].as_str().unwrap();
    rules.record_phase(id, phase, sent, now);
    let job = &inner.jobs[id];
    match phase {
        "done" => {
            if !rules.all_done(job) {
                rules.record_violation(format!(
                    "not_done: {id} is reported done before all its tasks are"
                ));
            }
            if !was_final {
                inner.finished += 1;
                rules.pipeline_jobs_done += usize::from(job.class.as_str() == "stage");
                rules.uneven_jobs_done += usize::from(job.class.as_str() == "uneven");
            }
        }
        "aborted" => {
            let asked = rules.cancel_requested.contains(id);
            drop(inner_borrow);
            let upstream = cluster.inner.borrow().upstream_jobs(id);
            let mut inner_borrow = cluster.inner.borrow_mut();
            let inner = &mut *inner_borrow;
            let rules = &mut inner.invariants;
            if !asked
                && !upstream
                    .iter()
                    .any(|u| rules.cancel_requested.contains(u.as_str()))
            {
                rules.record_violation(format!("went_back: {id} is cancelled without a request"));
            }
            if !was_final && !asked {
                rules.cancelled_with_dependency += 1;
            }
            rules.cancelled.entry(id.to_owned()).or_insert(now);
            rules.record_cancellation(id, node, &inner.workers, now);
        }
        _ => {
            drop(inner_borrow);
            let orphaned = {
                let inner = cluster.inner.borrow();
                let cancelled_at = &inner.invariants.cancelled;
                let is_long_cancelled =
                    |u: &String| cancelled_at.get(u).is_some_and(|t| t.elapsed() > CANCEL);
                inner.upstream_jobs(id).iter().any(is_long_cancelled)
            };
            if orphaned {
                cluster.record_violation(format!(
                    "orphaned: {id} is still {phase} after a job it depends on was cancelled"
                ));
            }
        }
    }
}

/// Cancels a job: sends the request until it is answered with 200.
pub async fn cancel(cluster: &Rc<SimulatedCluster>, id: &str) {
    cluster
        .inner
        .borrow_mut()
        .invariants
        .cancel_requested
        .insert(id.to_owned());
    let abort = Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new());
    loop {
        let sent = Instant::now();
        let answer = cluster.user_request_with_responder(&abort, &mut None).await;
        let answered = matches!(answer, Some((_, 200, _)));
        check_answer(cluster, id, answer, sent);
        if answered {
            return;
        }
        sleep(Duration::from_secs(2)).await;
    }
}

/// Queries, resubmits and cancels a job whose last task has just completed, starting within a
/// second. Does nothing if the job was not accepted or its user has asked to cancel it.
pub fn cancel_at_end(cluster: &Rc<SimulatedCluster>, id: String) {
    let body = {
        let inner = cluster.inner.borrow();
        let is_excluded =
            inner.invariants.cancel_requested.contains(&id) || !inner.accepted_at.contains_key(&id);
        inner
            .submitted_bodies
            .get(&id)
            .filter(|_| !is_excluded)
            .cloned()
    };
    let Some(body) = body else { return };
    cluster.inner.borrow_mut().faults.counts.cancelled_at_end += 1;
    for request in [
        Request::new(Method::Get, format!("/v1/jobs/{id}"), Vec::new()),
        Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes()),
    ] {
        let (cluster, id) = (cluster.clone(), id.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..3 {
                sleep(Duration::from_millis(cluster.draw(150))).await;
                let sent = Instant::now();
                let answer = cluster
                    .user_request_with_responder(&request, &mut None)
                    .await;
                check_answer(&cluster, &id, answer, sent);
            }
        });
    }
    let cluster = cluster.clone();
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(cluster.draw(700))).await;
        cancel(&cluster, &id).await;
        let mut inner = cluster.inner.borrow_mut();
        let is_done = inner.invariants.final_phase(&id) == Some("done");
        inner.faults.counts.done_despite_cancellation += usize::from(is_done);
    });
}

/// Repeats submissions of unfinished jobs, some of them without one field, cancels jobs that have
/// ended, and submits jobs that can never run or lack a field, until the given time.
pub async fn send_invalid_requests(cluster: Rc<SimulatedCluster>, until: Instant) {
    for number in 0.. {
        sleep(Duration::from_millis(200 + cluster.draw(500))).await;
        if Instant::now() >= until {
            return;
        }
        let accepted_id = {
            let inner = cluster.inner.borrow();
            let ids: Vec<String> = inner.accepted_at.keys().cloned().collect();
            drop(inner);
            (!ids.is_empty()).then(|| ids[cluster.draw(ids.len() as u64) as usize].clone())
        };
        if let Some(id) = accepted_id.filter(|_| number % 2 == 0) {
            let (is_final, body) = {
                let inner = cluster.inner.borrow();
                let is_final = inner.invariants.final_phase(&id).is_some();
                (is_final, inner.submitted_bodies[&id].clone())
            };
            let mut body = body;
            if number % 8 == 0 {
                // An accepted job must be recognised by its id even if the repeated request lacks a
                // field.
                body.as_object_mut().unwrap().remove("bundle");
            }
            let request = if is_final {
                Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new())
            } else {
                Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes())
            };
            let sent = Instant::now();
            let answer = cluster
                .user_request_with_responder(&request, &mut None)
                .await;
            let is_answered = matches!(answer, Some((_, 200, _)));
            check_answer(&cluster, &id, answer, sent);
            cluster
                .inner
                .borrow_mut()
                .faults
                .counts
                .invalid_requests_answered += usize::from(is_answered);
            continue;
        }
        let (body, status, expected_text) = invalid_job(number / 2);
        let request = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
        match cluster.user_request(&request, &mut None).await {
            Some((got, text)) if got == status && text.contains(expected_text) => {
                cluster
                    .inner
                    .borrow_mut()
                    .faults
                    .counts
                    .invalid_requests_answered += 1;
            }
            // The controller could not yet decide whether the job is valid.
            None | Some((503, _)) => {}
            other => cluster.record_violation(format!("odd: {body} was answered with {other:?}")),
        }
    }
}

/// Submits jobs with invalid dependency lists: malformed or too long ones, and ones that name a job
/// that was never submitted or was refused, or a service, which never ends. Each must be refused
/// with the name of the field, and never be accepted. Empty lists must be accepted.
pub async fn send_bad_dependencies(cluster: Rc<SimulatedCluster>) {
    let body = |n: usize, dependencies: Value| {
        let mut body = array_job(format!("job-{n:06}"), "picky", "team-0", 1, 1.0, 2.0);
        body["waits_on"] = dependencies;
        body
    };
    let mut service = body(810_000, Value::Null);
    service["shape"] = json!("daemon");
    service["urgency"] = json!("prod");
    if !submit(&cluster, &service).await {
        return;
    }
    let too_long: Vec<String> = (0..4_000).map(|n| format!("job-{n:06}")).collect();
    let invalid_lists = [
        (400, json!("job-000001")),
        (400, json!([1])),
        (400, json!({"job-000001": true})),
        (400, json!(["job-000001", null])),
        (400, json!(["task-1"])),
        (422, json!(["job-899999"])),
        (422, json!(["job-810006"])),
        (422, json!(["job-810000", "job-810000"])),
        (422, json!(too_long)),
    ];
    for (n, (status, dependencies)) in invalid_lists.into_iter().enumerate() {
        let body = body(810_001 + n, dependencies);
        let request = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
        loop {
            match cluster.user_request(&request, &mut None).await {
                Some((got, text)) if got == status && text.contains("waits_on") => break,
                None | Some((503, _)) => sleep(Duration::from_secs(1)).await,
                other => {
                    cluster.record_violation(format!(
                        "picky: {} was answered with {other:?}",
                        body["uid"]
                    ));
                    break;
                }
            }
        }
    }
    // A list that is null, missing or empty, or names only completed jobs, holds nothing up. Null
    // and empty lists are tried here.
    for (n, dependencies) in [json!(null), json!([])].into_iter().enumerate() {
        let body = body(811_000 + n, dependencies);
        if submit(&cluster, &body).await {
            tokio::task::spawn_local(watch_job(cluster.clone(), body));
        }
    }
    cluster
        .inner
        .borrow_mut()
        .invariants
        .invalid_dependencies_refused = true;
}

/// Queries jobs that were never submitted; an answer of 200 is a violation.
pub async fn ask_for_unknown_jobs(cluster: Rc<SimulatedCluster>) {
    for number in 900_000.. {
        sleep(Duration::from_secs(3)).await;
        let request = Request::new(Method::Get, format!("/v1/jobs/job-{number}"), Vec::new());
        if let Some((200, text)) = cluster.user_request(&request, &mut None).await {
            cluster.record_violation(format!(
                "invented: answer about a job that was never submitted: {text}"
            ));
        }
    }
}
