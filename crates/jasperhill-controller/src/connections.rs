//! The room that this process has for connections: what goes out to workers through the window,
//! and what the log and `/ready` say of classes that have come to their bound.

use crate::shared::Shared;
use jasperhill_connections::{Class, limiter::Input};
use jasperhill_wire::Micros;
use std::{rc::Rc, time::Duration};
use tokio::time::sleep;

/// A class is at its bound while somebody was refused within this time.
const LATELY: Duration = Duration::from_secs(5);
/// How often the log tells how many sockets there are.
const TELL: Micros = Micros::from_secs(60);

impl Shared {
    /// The classes of connections in which somebody was just refused.
    pub fn at_bound(&self) -> Vec<&'static str> {
        let at_bound = self.transport.connection_tracker().at_bound(LATELY);
        at_bound.into_iter().map(Class::as_str).collect()
    }

    /// Divides the sockets by the machines that are known, and tells how they stand.
    pub async fn connection_budget_loop(self: Rc<Self>) {
        let (mut told, mut said) = (Vec::new(), self.now());
        loop {
            sleep(Duration::from_secs(1)).await;
            let sockets = self.transport.connection_tracker();
            let machines = self.state.borrow().cache.hosts.len();
            sockets.resize(machines);
            let size = sockets.report(Class::Commands).guaranteed;
            let now = self.now();
            let turns = self
                .state
                .borrow_mut()
                .commands
                .limiter
                .apply(Input::Resize(size), now);
            self.send_commands(turns);
            let at_bound = self.at_bound();
            let (open, peak, most) = sockets.totals();
            if at_bound != told {
                for class in Class::ALL {
                    let (was, is) = (
                        told.contains(&class.as_str()),
                        at_bound.contains(&class.as_str()),
                    );
                    let r = sockets.report(class);
                    let name = class.as_str();
                    match (was, is) {
                        (false, true) => tracing::warn!(
                            class = name,
                            open = r.open,
                            guaranteed = r.guaranteed,
                            refused = r.refused,
                            all = open,
                            "sockets at their bound"
                        ),
                        (true, false) => tracing::info!(class = name, "sockets free again"),
                        _ => {}
                    }
                }
                told = at_bound;
            }
            if now - said >= TELL {
                said = now;
                self.log_connection_usage(open, peak, most);
            }
        }
    }

    fn log_connection_usage(&self, open: usize, peak: usize, most: usize) {
        let sockets = self.transport.connection_tracker();
        let [reports, users, orders] =
            [Class::Heartbeats, Class::Users, Class::Commands].map(|c| sockets.report(c));
        let mut state = self.state.borrow_mut();
        tracing::info!(
            open,
            peak,
            most,
            reports = reports.open,
            users = users.open,
            orders = orders.open,
            users_made_way = users.evicted,
            orders_waiting = state.commands.limiter.waiting(),
            order_waited_ms = state.commands.limiter.waited(0.99).0 / 1_000,
            "sockets"
        );
        state.commands.limiter.forget_waits();
        // The class or team of whose jobs the smallest part has begun, here.
        let standings = state
            .scheduling
            .partitions
            .values()
            .flat_map(|p| p.starvation.standing());
        let least = standings.min_by(|a, b| a.1.share.total_cmp(&b.1.share));
        match least {
            Some((group, s)) => tracing::info!(
                least = ?group,
                share = s.share,
                waiting = s.waiting,
                "served"
            ),
            None => tracing::info!("served: nobody waits for too long"),
        }
    }
}
