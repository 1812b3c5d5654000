//! The connections that this process may have: the budget follows the number of machines, and the log and
//! `/ready` say which classes of connections have come to their bound.
//!
//! The budget itself belongs to the transport's connection tracker; the concurrency limiter of commands,
//! in `CommandState`, follows its size.

use crate::shared::Shared;
use jasperhill_connections::{Class, limiter::Input};
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// A class is at its bound while a connection of it was refused within this time.
const REFUSAL_MEMORY: Duration = Duration::from_secs(5);
/// How often the budget is divided anew.
const RESIZE_INTERVAL: Duration = Duration::from_secs(1);
/// How often the log says how many connections there are.
const LOG_INTERVAL: Micros = Micros::from_secs(60);
/// The quantile of the waits for a turn that is logged.
const LOGGED_QUANTILE: f64 = 0.99;

impl Shared {
    /// The classes of connections in which one was just refused. Called by `/ready`.
    pub fn at_bound(&self) -> Vec<&'static str> {
        let at_bound = self
            .transport
            .connection_tracker()
            .recently_refused(REFUSAL_MEMORY);
        at_bound.into_iter().map(Class::as_str).collect()
    }

    /// Divides the connection budget by the machines that are known, and logs its use, for as long as the
    /// controller lives.
    pub async fn connection_budget_loop(self: Rc<Self>) {
        let (mut logged_at_bound, mut usage_logged_at) = (Vec::new(), self.now());
        loop {
            sleep(RESIZE_INTERVAL).await;
            self.resize_budget();
            let now = self.now();
            let at_bound = self.at_bound();
            if at_bound != logged_at_bound {
                self.log_bound_changes(&logged_at_bound, &at_bound);
                logged_at_bound = at_bound;
            }
            if now - usage_logged_at >= LOG_INTERVAL {
                usage_logged_at = now;
                self.log_connection_usage();
                self.log_starvation();
                self.log_waiting_jobs();
            }
        }
    }

    /// Divides the connection budget by the machines that are known now.
    fn resize_budget(self: &Rc<Self>) {
        let connections = self.transport.connection_tracker();
        let machines = self.state.borrow().cache.hosts.len();
        connections.resize(machines);
        let size = connections.usage(Class::Commands).guaranteed;
        let now = self.now();
        let ready_hosts = {
            let limiter = &mut self.state.borrow_mut().commands.limiter;
            limiter.apply(Input::Resize(size), now)
        };
        self.send_commands(ready_hosts);
    }

    /// Logs the classes that have come to their bound, or are below it again.
    fn log_bound_changes(&self, before: &[&'static str], after: &[&'static str]) {
        let connections = self.transport.connection_tracker();
        let open = connections.totals().open;
        for class in Class::ALL {
            let name = class.as_str();
            let report = connections.usage(class);
            match (before.contains(&name), after.contains(&name)) {
                (false, true) => tracing::warn!(
                    class = name,
                    open = report.open,
                    guaranteed = report.guaranteed,
                    refused = report.refused,
                    all = open,
                    "sockets at their bound"
                ),
                (true, false) => tracing::info!(class = name, "sockets free again"),
                _ => {}
            }
        }
    }

    /// Logs how many connections there are, and how long commands wait for theirs.
    fn log_connection_usage(&self) {
        let connections = self.transport.connection_tracker();
        let totals = connections.totals();
        let [heartbeats, users, commands] = [Class::Heartbeats, Class::Users, Class::Commands]
            .map(|class| connections.usage(class));
        let mut state = self.state.borrow_mut();
        let limiter = &mut state.commands.limiter;
        tracing::info!(
            open = totals.open,
            peak = totals.peak,
            limit = totals.max_connections,
            heartbeats = heartbeats.open,
            users = users.open,
            commands = commands.open,
            users_evicted = users.evicted,
            commands_waiting = limiter.queued(),
            command_wait_ms = limiter.wait_time_quantile(LOGGED_QUANTILE).0 / 1_000,
            "sockets"
        );
        limiter.reset_wait_times();
    }

    /// Logs the class or team of whose jobs the smallest share has begun here.
    fn log_starvation(&self) {
        let state = self.state.borrow();
        let partitions = state.scheduling.partitions.values();
        let standings = partitions.flat_map(|partition| partition.starvation.shares());
        let least_served = standings.min_by(|a, b| a.1.share.total_cmp(&b.1.share));
        match least_served {
            Some((group, standing)) => tracing::info!(
                least = ?group,
                share = standing.share,
                waiting = standing.waiting,
                "served"
            ),
            None => tracing::info!("served: nobody waits for too long"),
        }
    }
}
