//! The hosts that have commands outstanding, sent to as many at a time as the connections allow.

use crate::shared::Shared;
use jasperhill_connections::limiter::Input;
use jasperhill_wire::HostId;
use std::rc::Rc;

impl Shared {
    /// Queues hosts, each with its partition, that have commands outstanding, and sends to as many as
    /// the limiter allows. `tick`: time has passed since the last call, so that hosts may have become
    /// due. Called by each scheduling pass.
    pub fn queue_commands(self: &Rc<Self>, hosts: Vec<(u32, HostId)>, tick: bool) {
        let now = self.now();
        let mut ready_hosts = Vec::new();
        {
            let limiter = &mut self.state.borrow_mut().commands.limiter;
            for host in hosts {
                ready_hosts.extend(limiter.apply(Input::Enqueue(host), now));
            }
            if tick {
                ready_hosts.extend(limiter.apply(Input::Tick, now));
            }
        }
        self.send_commands(ready_hosts);
    }

    /// Sends commands to hosts, each with its partition, that the limiter has let through.
    pub fn send_commands(self: &Rc<Self>, ready_hosts: Vec<(u32, HostId)>) {
        for (partition_id, host) in ready_hosts {
            let shared = self.clone();
            self.clone().spawn(async move {
                let answered = shared.send_commands_to(partition_id, host.clone()).await;
                let completed = Input::Completed((partition_id, host), answered);
                let now = shared.now();
                let ready_hosts = {
                    let limiter = &mut shared.state.borrow_mut().commands.limiter;
                    limiter.apply(completed, now)
                };
                shared.send_commands(ready_hosts);
            });
        }
    }
}
