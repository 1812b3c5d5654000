//! The queue of hosts with outstanding commands. A limiter bounds the number of hosts that are sent
//! commands at the same time.

use crate::shared::Shared;
use jasperhill_connections::limiter::Input;
use jasperhill_wire::HostId;
use std::rc::Rc;

impl Shared {
    /// Queues hosts with outstanding commands, given as pairs of partition number and host, and sends
    /// commands to as many hosts as the limiter allows. `tick` is true if time has passed since the
    /// last call, so that the back-off of hosts may have ended. Called by each scheduling pass.
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

    /// Sends commands to the hosts that the limiter has released, given as pairs of partition number
    /// and host. Hosts that the limiter releases when a request completes follow.
    pub fn send_commands(self: &Rc<Self>, ready_hosts: Vec<(u32, HostId)>) {
        for (partition_id, host) in ready_hosts {
            let shared = self.clone();
            self.clone().spawn(async move {
                let answered = shared
                    .send_outstanding_commands(partition_id, host.clone())
                    .await;
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
