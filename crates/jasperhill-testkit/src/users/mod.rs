//! A stand-in for users: submits, polls, cancels, submits again, and checks every answer.

mod jobs;

pub use jobs::{
    bound_id, dependent_jobs, failing_array, flood_job, huge_array, random_job, uneven_array,
    zone_bound_job,
};

use crate::cluster::{CANCEL, SimulatedCluster};
use jasperhill_http::{Method, Request};
use jasperhill_wire::user::JobRequest;
use jobs::{array, invalid_job};
use serde_json::{Value, json};
use std::{rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// One user's life with a pipeline: each job is submitted as soon as those before it are accepted.
pub async fn run_dependent_jobs(world: Rc<SimulatedCluster>, stages: Vec<Value>) {
    for body in stages {
        if !submit(&world, &body).await {
            return;
        }
        tokio::task::spawn_local(watch_job(world.clone(), body));
    }
}

/// One user's life with one job.
pub async fn run_user(world: Rc<SimulatedCluster>, body: Value) {
    if submit(&world, &body).await {
        watch_job(world, body).await;
    }
}

/// Submits until the job is accepted; false if that does not come about.
async fn submit(world: &Rc<SimulatedCluster>, body: &Value) -> bool {
    let request = JobRequest::parse(body.to_string().as_bytes()).unwrap();
    let id = request.id.to_string();
    {
        let mut inner = world.inner.borrow_mut();
        inner.jobs.insert(id.clone(), request);
        inner.bodies.insert(id.clone(), body.clone());
    }
    let submit = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
    let began = Instant::now();
    let mut line = None;
    loop {
        match world.user_request(&submit, &mut line).await {
            Some((200 | 201, _)) => break,
            Some((400 | 422, text)) => {
                // Nothing that is made here is wrong.
                world.record_violation(format!("refused: {id} {text}"));
                return false;
            }
            _ if began.elapsed() > Duration::from_secs(60) => return false,
            Some((503, _)) | None => {
                world.inner.borrow_mut().rules.undecided += 1;
                sleep(Duration::from_secs(2)).await;
            }
            _ => sleep(Duration::from_secs(2)).await,
        }
    }
    let mut inner = world.inner.borrow_mut();
    inner.accepted += 1;
    inner.accepted_at.insert(id, Instant::now());
    drop(inner);
    true
}

/// Polls a job, cancels it now and then, submits it again, and minds the answers.
async fn watch_job(world: Rc<SimulatedCluster>, body: Value) {
    let id = body["uid"].as_str().unwrap().to_owned();
    let submit = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
    let class = body["jobclass"].as_str().unwrap_or_default();
    let cancel_at = match class {
        "tiny" | "uneven" => None,
        "broken" => Some(Instant::now() + Duration::from_secs(120)),
        "stage" => {
            (world.draw(10) == 0).then(|| Instant::now() + Duration::from_secs(2 + world.draw(30)))
        }
        _ => (world.draw(3) == 0 || body["shape"] == "daemon")
            .then(|| Instant::now() + Duration::from_secs(5 + world.draw(80))),
    };
    let cancel_at = match world.plan.long_tasks {
        Some((from, to)) if class != "uneven" && world.draw(3) > 0 => {
            let within = Duration::from_millis(world.draw((to - from) * 1_000));
            Some(world.origin + Duration::from_secs(from) + within)
        }
        Some(_) => None,
        None => cancel_at,
    };
    let (mut asked_to_cancel, mut over, mut line) = (false, false, None);
    let mut in_vain = false;
    loop {
        sleep(Duration::from_millis(3_000 + world.draw(4_000))).await;
        if !asked_to_cancel && cancel_at.is_some_and(|t| Instant::now() >= t) {
            asked_to_cancel = true;
            world.inner.borrow_mut().rules.asked.insert(id.clone());
        }
        let again = world.draw(12) == 0;
        // Whoever can't cancel asks in between how it stands.
        let cancelling = asked_to_cancel && !over && !in_vain;
        let ask = if cancelling {
            Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new())
        } else if again {
            submit.clone()
        } else {
            Request::new(Method::Get, format!("/v1/jobs/{id}"), Vec::new())
        };
        let sent = Instant::now();
        let answer = world.user_request_with_responder(&ask, &mut line).await;
        let answered = matches!(answer, Some((_, 200 | 201, _)));
        in_vain = cancelling && !answered;
        check_answer(&world, &id, answer, sent);
        let inner = world.inner.borrow();
        over = inner.rules.final_phase(&id).is_some();
        asked_to_cancel |= inner.rules.asked.contains(&id);
    }
}

/// Minds an answer about an accepted job to a question sent at that moment.
fn check_answer(
    world: &Rc<SimulatedCluster>,
    id: &str,
    answer: Option<(usize, u16, String)>,
    sent: Instant,
) {
    let now = Instant::now();
    let answered = matches!(answer, Some((_, 200 | 201, _)));
    let mut guarded = world.inner.borrow_mut();
    let inner = &mut *guarded;
    let rules = &mut inner.rules;
    let over = rules.final_phase(id).is_some();
    rules.record_query(id, answered, over, now);
    let (node, text) = match answer {
        Some((node, 200, text)) => (node, text),
        Some((_, status @ (201 | 400 | 404 | 422), _)) => {
            rules.record_violation(format!("forgotten: {id} {status}"));
            return;
        }
        _ => return,
    };
    let answer: Value = serde_json::from_str(&text).unwrap();
    let phase = answer["phase"].as_str().unwrap();
    rules.told(id, phase, sent, now);
    let job = &inner.jobs[id];
    match phase {
        "done" => {
            if !rules.all_done(job) {
                rules.record_violation(format!("not_done: {id}"));
            }
            if !over {
                inner.finished += 1;
                rules.staged += usize::from(job.class.as_str() == "stage");
                rules.uneven += usize::from(job.class.as_str() == "uneven");
            }
        }
        "aborted" => {
            let asked = rules.asked.contains(id);
            drop(guarded);
            let before = world.inner.borrow().upstream_jobs(id);
            let mut guarded = world.inner.borrow_mut();
            let inner = &mut *guarded;
            let rules = &mut inner.rules;
            if !asked && !before.iter().any(|b| rules.asked.contains(b.as_str())) {
                rules.record_violation(format!("went_back: {id} cancelled by nobody"));
            }
            if !over && !asked {
                rules.swept += 1;
            }
            rules.cancelled.entry(id.to_owned()).or_insert(now);
            rules.confirmed(id, node, &inner.workers, now);
        }
        _ => {
            drop(guarded);
            let orphaned = {
                let inner = world.inner.borrow();
                let told = &inner.rules.cancelled;
                let over = |b: &String| told.get(b).is_some_and(|t| t.elapsed() > CANCEL);
                inner.upstream_jobs(id).iter().any(over)
            };
            if orphaned {
                world.record_violation(format!("orphaned: {id} is still {phase}"));
            }
        }
    }
}

/// Calls a job off, and asks again until it is told what became of it.
pub async fn cancel(world: &Rc<SimulatedCluster>, id: &str) {
    world.inner.borrow_mut().rules.asked.insert(id.to_owned());
    let abort = Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new());
    loop {
        let sent = Instant::now();
        let answer = world.user_request_with_responder(&abort, &mut None).await;
        let answered = matches!(answer, Some((_, 200, _)));
        check_answer(world, id, answer, sent);
        if answered {
            return;
        }
        sleep(Duration::from_secs(2)).await;
    }
}

/// A job whose last task has just ended is called off, asked about and submitted again, at once.
pub fn cancel_at_end(world: &Rc<SimulatedCluster>, id: String) {
    let body = {
        let inner = world.inner.borrow();
        let asked = inner.rules.asked.contains(&id) || !inner.accepted_at.contains_key(&id);
        inner.bodies.get(&id).filter(|_| !asked).cloned()
    };
    let Some(body) = body else { return };
    world.inner.borrow_mut().faults.met.at_end += 1;
    for request in [
        Request::new(Method::Get, format!("/v1/jobs/{id}"), Vec::new()),
        Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes()),
    ] {
        let (world, id) = (world.clone(), id.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..3 {
                sleep(Duration::from_millis(world.draw(150))).await;
                let sent = Instant::now();
                let answer = world.user_request_with_responder(&request, &mut None).await;
                check_answer(&world, &id, answer, sent);
            }
        });
    }
    let world = world.clone();
    tokio::task::spawn_local(async move {
        sleep(Duration::from_millis(world.draw(700))).await;
        cancel(&world, &id).await;
        let mut inner = world.inner.borrow_mut();
        let done = inner.rules.final_phase(&id) == Some("done");
        inner.faults.met.at_end_done += usize::from(done);
    });
}

/// Users who repeat submissions of unfinished jobs, some of them in part, cancel what is over, and send what can't run or
/// lacks a field.
pub async fn send_invalid_requests(world: Rc<SimulatedCluster>, until: Instant) {
    for number in 0.. {
        sleep(Duration::from_millis(200 + world.draw(500))).await;
        if Instant::now() >= until {
            return;
        }
        let known = {
            let inner = world.inner.borrow();
            let all: Vec<String> = inner.accepted_at.keys().cloned().collect();
            drop(inner);
            (!all.is_empty()).then(|| all[world.draw(all.len() as u64) as usize].clone())
        };
        if let Some(id) = known.filter(|_| number % 2 == 0) {
            let (over, body) = {
                let inner = world.inner.borrow();
                let over = inner.rules.final_phase(&id).is_some();
                (over, inner.bodies[&id].clone())
            };
            let mut body = body;
            if number % 8 == 0 {
                // A repeat that says less than the first time: the job is known all the same.
                body.as_object_mut().unwrap().remove("bundle");
            }
            let request = if over {
                Request::new(Method::Post, format!("/v1/jobs/{id}/abort"), Vec::new())
            } else {
                Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes())
            };
            let sent = Instant::now();
            let answer = world.user_request_with_responder(&request, &mut None).await;
            let verdict = matches!(answer, Some((_, 200, _)));
            check_answer(&world, &id, answer, sent);
            world.inner.borrow_mut().faults.met.odd += usize::from(verdict);
            continue;
        }
        let (body, status, named) = invalid_job(number / 2);
        let request = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
        match world.user_request(&request, &mut None).await {
            Some((got, text)) if got == status && text.contains(named) => {
                world.inner.borrow_mut().faults.met.odd += 1;
            }
            // It can't decide yet.
            None | Some((503, _)) => {}
            other => world.record_violation(format!("odd: {body} got {other:?}")),
        }
    }
}

/// Submits what no list of jobs to wait for may be, and names jobs that nobody has submitted or
/// that never end: each is refused with the field's name, and never accepted.
pub async fn send_bad_dependencies(world: Rc<SimulatedCluster>) {
    let body = |n: usize, waits: Value| {
        let mut body = array(format!("job-{n:06}"), "picky", "team-0", 1, 1.0, 2.0);
        body["waits_on"] = waits;
        body
    };
    let mut service = body(810_000, Value::Null);
    service["shape"] = json!("daemon");
    service["urgency"] = json!("prod");
    if !submit(&world, &service).await {
        return;
    }
    let long: Vec<String> = (0..4_000).map(|n| format!("job-{n:06}")).collect();
    let bad = [
        (400, json!("job-000001")),
        (400, json!([1])),
        (400, json!({"job-000001": true})),
        (400, json!(["job-000001", null])),
        (400, json!(["task-1"])),
        (422, json!(["job-899999"])),
        (422, json!(["job-810006"])),
        (422, json!(["job-810000", "job-810000"])),
        (422, json!(long)),
    ];
    for (n, (status, waits)) in bad.into_iter().enumerate() {
        let body = body(810_001 + n, waits);
        let ask = Request::new(Method::Post, "/v1/jobs", body.to_string().into_bytes());
        loop {
            match world.user_request(&ask, &mut None).await {
                Some((got, text)) if got == status && text.contains("waits_on") => break,
                None | Some((503, _)) => sleep(Duration::from_secs(1)).await,
                other => {
                    world.record_violation(format!("picky: {} got {other:?}", body["uid"]));
                    break;
                }
            }
        }
    }
    // What is null, missing, empty or done already needs nothing.
    for (n, waits) in [json!(null), json!([])].into_iter().enumerate() {
        let body = body(811_000 + n, waits);
        if submit(&world, &body).await {
            tokio::task::spawn_local(watch_job(world.clone(), body));
        }
    }
    world.inner.borrow_mut().rules.picked = true;
}

/// Asks about jobs that nobody has submitted.
pub async fn ask_for_unknown_jobs(world: Rc<SimulatedCluster>) {
    for number in 900_000.. {
        sleep(Duration::from_secs(3)).await;
        let ask = Request::new(Method::Get, format!("/v1/jobs/job-{number}"), Vec::new());
        if let Some((200, text)) = world.user_request(&ask, &mut None).await {
            world.record_violation(format!("invented: {text}"));
        }
    }
}
