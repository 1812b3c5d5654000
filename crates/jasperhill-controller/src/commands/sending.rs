//! Sending a worker its outstanding commands, and what the answer, or its absence, means for them.

use crate::{
    relay::{
        CommandRoute, Worker,
        requests::{commands_request, status_request},
    },
    shared::Shared,
};
use jasperhill_http::{ClientError, Response};
use jasperhill_scheduler::{FencingState, HeartbeatSource, HostInput};
use jasperhill_wire::{
    HostId, Micros, Name, Revision,
    worker::{Command, Heartbeat, commands_body},
};
use std::{net::SocketAddr, rc::Rc};

/// How long a worker may take to answer.
const ANSWER_LIMIT: Micros = Micros::from_secs(3);

/// A host of a partition that this controller owns.
struct CommandTarget {
    /// The partition's number.
    partition_id: u32,
    /// The revision at which this controller became the owner.
    owned_since: Revision,
    /// The host's id.
    host: HostId,
    /// Where its worker listens.
    address: SocketAddr,
    /// The host's zone.
    zone: Name,
    /// Whether the worker's incarnation is known; commands name it.
    is_incarnation_known: bool,
    /// How many hosts the partition has.
    hosts_in_partition: usize,
}

impl CommandTarget {
    /// The host as the target of a request.
    fn worker(&self) -> Worker<'_> {
        Worker {
            host: &self.host,
            zone: &self.zone,
            host_count: self.hosts_in_partition,
            address: self.address,
        }
    }
}

/// A request with commands.
struct CommandRequest {
    /// The body of the request.
    body: Vec<u8>,
    /// How many commands it has.
    commands: usize,
}

impl Shared {
    /// Sends a worker its outstanding commands, one request at a time. Whether it answered; `None` if
    /// nothing was sent.
    pub(super) async fn send_commands_to(
        self: &Rc<Self>,
        partition_id: u32,
        host: HostId,
    ) -> Option<bool> {
        let target = self.command_target(partition_id, host)?;
        // Guards against commands in doubt for every host beyond a partition of the network: each would
        // have to have its token raised by a write before it could be used again.
        if matches!(self.command_route(&target.zone), CommandRoute::None) {
            return None;
        }
        if !target.is_incarnation_known {
            let request = status_request();
            let answer = self.call_worker(target.worker(), request, ANSWER_LIMIT);
            match answer.await {
                Ok(response) if response.status == 200 => {
                    self.apply_direct_response(&target, &response.body);
                }
                Err(ClientError::NoSocket) => return None,
                _ => return Some(false),
            }
        }
        let CommandRequest { body, commands } = self.prepare_commands(&target)?;
        let request = commands_request(body);
        let answer = self.call_worker(target.worker(), request, ANSWER_LIMIT);
        let answer = answer.await;
        self.settle_commands(&target, &answer, commands);
        let answered = match &answer {
            Err(ClientError::NoSocket) => None,
            answer => Some(answer.is_ok()),
        };
        if let Ok(response) = answer
            && matches!(response.status, 200 | 409)
        {
            self.apply_direct_response(&target, &response.body);
        }
        self.wake.scheduler.notify_one();
        answered
    }

    /// Where commands for a host go; `None` if it is not owned here, or commands to it are under way or
    /// in doubt.
    fn command_target(&self, partition_id: u32, host: HostId) -> Option<CommandTarget> {
        let state = self.state.borrow();
        let partition = state.scheduling.partitions.get(&partition_id)?;
        let host_state = partition.hosts.get(&host)?;
        if host_state.in_flight() || host_state.in_doubt() {
            return None;
        }
        Some(CommandTarget {
            partition_id,
            owned_since: partition.since,
            address: host_state.address.parse().ok()?,
            zone: host_state.zone.clone(),
            is_incarnation_known: host_state.incarnation.is_some(),
            hosts_in_partition: partition.hosts.len(),
            host,
        })
    }

    /// The request with the commands outstanding for a host, which count as under way from now on; `None`
    /// if there is nothing to send, or it may not be sent now.
    fn prepare_commands(&self, target: &CommandTarget) -> Option<CommandRequest> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        // Checked for every request: the process may have been stalled since the last one.
        if !state.authority.holds(now) {
            return None;
        }
        let partition = state
            .scheduling
            .partitions
            .get_mut(&target.partition_id)
            .filter(|partition| partition.since == target.owned_since)?;
        let commands = partition.commands(&target.host);
        let host = partition.hosts.get(&target.host)?;
        let known_as_of = state.authority.fresh();
        // Guards against a start that is executed late under a lease that a delegate renews, after its
        // job was cancelled: see `Host::in_flight_known_as_of`.
        if host.last_answer > self.settings.bounds.until(known_as_of) {
            return None;
        }
        let (incarnation, token) = (host.incarnation?, host.token);
        let is_urgent = commands
            .iter()
            .any(|command| !matches!(command, Command::Clear(..)));
        let is_unfenced = matches!(host.fencing, FencingState::Unfenced { .. });
        if host.in_flight() || host.in_doubt() || !(is_urgent || is_unfenced) {
            return None;
        }
        let request = CommandRequest {
            body: commands_body(token, Some(incarnation), &commands),
            commands: commands.len(),
        };
        let sent = HostInput::DirectSent(commands, known_as_of);
        partition.apply(&target.host, sent, now);
        Some(request)
    }

    /// Notes that commands were executed or refused, or that this is in doubt.
    fn settle_commands(
        &self,
        target: &CommandTarget,
        answer: &Result<Response, ClientError>,
        commands: usize,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let partition = state.scheduling.partitions.get_mut(&target.partition_id);
        let Some(partition) = partition.filter(|found| found.since == target.owned_since) else {
            return;
        };
        let input = match answer {
            Ok(response) if matches!(response.status, 200 | 400 | 409) => HostInput::DirectSettled,
            Err(error) if error.is_unsent() => HostInput::DirectSettled,
            _ => {
                tracing::debug!(host = %target.host, commands, "direct commands in doubt");
                HostInput::DirectUnanswered
            }
        };
        partition.apply(&target.host, input, now);
    }

    /// Takes in the status that a worker has answered a direct request with.
    fn apply_direct_response(&self, target: &CommandTarget, body: &[u8]) {
        let now = self.now();
        let host = &target.host;
        match Heartbeat::parse(body) {
            Ok(status) if &status.host == host => {
                let mut state = self.state.borrow_mut();
                let partition = state.scheduling.partitions.get_mut(&target.partition_id);
                if let Some(partition) = partition
                    && partition.since == target.owned_since
                {
                    partition.on_heartbeat(&status, HeartbeatSource::Direct, now);
                }
            }
            Ok(status) => {
                tracing::warn!(%host, other = %status.host, "another host answers at this address");
            }
            Err(error) => tracing::warn!(%host, %error, "malformed response of a worker"),
        }
    }
}
