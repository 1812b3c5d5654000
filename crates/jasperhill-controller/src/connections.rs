//! Management of this process's connection budget: resizes the budget to the number of machines, and
//! reports in the log and on `/ready` which connection classes have reached their limit.
//!
//! The transport's connection tracker owns the budget. The concurrency limiter of commands, in
//! `CommandState`, is resized with the budget.

use crate::shared::Shared;
use jasperhill_connections::{Class, limiter::Input};
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// A connection class counts as being at its limit if one of its connections was refused within
/// this time.
const REFUSAL_WINDOW: Duration = Duration::from_secs(5);
/// Interval at which the budget is resized.
const RESIZE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the use of connections is logged.
const LOG_INTERVAL: Micros = Micros::from_secs(60);
/// Quantile of the commands' waiting times for a connection that is logged.
const LOGGED_QUANTILE: f64 = 0.99;

impl Shared {
    /// Returns the names of the connection classes in which a connection was refused within
    /// [`REFUSAL_WINDOW`]. Called by `/ready`.
    pub fn classes_at_limit(&self) -> Vec<&'static str> {
        let classes = self
            .transport
            .connection_tracker()
            .recently_refused(REFUSAL_WINDOW);
        classes.into_iter().map(Class::as_str).collect()
    }

    /// Resizes the connection budget to the number of known machines and logs its use, for as long
    /// as the controller runs.
    pub async fn connection_budget_loop(self: Rc<Self>) {
        let (mut logged_classes, mut usage_logged_at) = (Vec::new(), self.now());
        loop {
            sleep(RESIZE_INTERVAL).await;
            self.resize_budget();
            let now = self.now();
            let classes = self.classes_at_limit();
            if classes != logged_classes {
                self.log_limit_changes(&logged_classes, &classes);
                logged_classes = classes;
            }
            if now - usage_logged_at >= LOG_INTERVAL {
                usage_logged_at = now;
                self.log_connection_usage();
                self.log_starvation();
                self.log_waiting_jobs();
                self.state.borrow_mut().commands.metrics.log();
            }
        }
    }

    /// Resizes the connection budget, and the limiter of commands, to the number of known machines.
    fn resize_budget(self: &Rc<Self>) {
        let connections = self.transport.connection_tracker();
        let machines = self.state.borrow().cache.hosts.len();
        connections.resize(machines);
        let size = connections.usage(Class::Commands).guaranteed;
        let now = self.now();
        let ready_hosts = {
            let limiter = &mut self.state.borrow_mut().commands.limiter;
            limiter.apply(Input::SetMaxConcurrency(size), now)
        };
        self.send_commands(ready_hosts);
    }

    /// Logs the connection classes that have reached their limit, or have fallen below it again.
    fn log_limit_changes(&self, before: &[&'static str], after: &[&'static str]) {
        let connections = self.transport.connection_tracker();
        let open = connections.totals().open;
        for class in Class::ALL {
            let name = class.as_str();
            let usage = connections.usage(class);
            match (before.contains(&name), after.contains(&name)) {
                (false, true) => tracing::warn!(
                    class = name,
                    open = usage.open,
                    guaranteed = usage.guaranteed,
                    refused = usage.refused,
                    all = open,
                    "sockets at their bound"
                ),
                (true, false) => tracing::info!(class = name, "sockets free again"),
                _ => {}
            }
        }
    }

    /// Logs the number of connections and how long commands wait for one.
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
            command_wait_ms = limiter.queueing_time_quantile(LOGGED_QUANTILE).0 / 1_000,
            "sockets"
        );
        limiter.reset_queueing_times();
    }

    /// Logs the class or team with the smallest share of started jobs, among those in the owned
    /// partitions that have jobs waiting for too long.
    fn log_starvation(&self) {
        let state = self.state.borrow();
        let partitions = state.scheduling.partitions.values();
        let shares = partitions.flat_map(|partition| partition.starvation.shares());
        let least_served = shares.min_by(|a, b| a.1.share.total_cmp(&b.1.share));
        match least_served {
            Some((group, served)) => tracing::info!(
                least = ?group,
                share = served.share,
                waiting = served.waiting,
                "served"
            ),
            None => tracing::info!("served: nobody waits for too long"),
        }
    }
}
