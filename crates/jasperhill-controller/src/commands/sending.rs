//! Sending of a worker's outstanding commands. The worker's response settles the commands; a missing
//! response leaves them in doubt.

use crate::{
    commands::{log::CommandMessage, tokens::raise_token_to_clear},
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

/// The timeout for a worker's response to a request.
const RESPONSE_TIMEOUT: Micros = Micros::from_secs(3);

/// A host that this controller sends commands to, as the owner of the host's partition.
struct CommandTarget {
    /// The partition's number.
    partition_id: u32,
    /// The revision at which this controller became the owner.
    owned_since: Revision,
    /// The host's id.
    host: HostId,
    /// The address that the host's worker listens on.
    address: SocketAddr,
    /// The host's zone.
    zone: Name,
    /// True if the worker's incarnation is known. Commands carry the incarnation.
    is_incarnation_known: bool,
    /// The number of hosts in the partition.
    hosts_in_partition: usize,
}

impl CommandTarget {
    /// Returns the host's worker as the target of a request.
    fn worker(&self) -> Worker<'_> {
        Worker {
            host: &self.host,
            zone: &self.zone,
            host_count: self.hosts_in_partition,
            address: self.address,
        }
    }
}

/// An encoded request with commands.
struct CommandRequest {
    /// The encoded body of the request.
    body: Vec<u8>,
    /// The number of commands in the request.
    command_count: usize,
}

impl Shared {
    /// Sends a worker its outstanding commands, with at most one request in flight. Returns whether the
    /// worker responded, or `None` if no commands were sent.
    pub(super) async fn send_outstanding_commands(
        self: &Rc<Self>,
        partition_id: u32,
        host: HostId,
    ) -> Option<bool> {
        let target = self.command_target(partition_id, host)?;
        // Without a route, nothing is sent. Otherwise every host beyond a network partition would have
        // commands in doubt, and each would need a write that raises its token before its next use.
        if matches!(self.command_route(&target.zone), CommandRoute::None) {
            return None;
        }
        if !target.is_incarnation_known {
            let request = status_request();
            let call = self.call_worker(target.worker(), request, RESPONSE_TIMEOUT);
            match call.await {
                Ok(response) if response.status == 200 => {
                    self.apply_direct_response(&target, &response.body);
                }
                Err(ClientError::NoSocket) => return None,
                _ => return Some(false),
            }
        }
        let CommandRequest {
            body,
            command_count,
        } = self.prepare_commands(&target)?;
        let request = commands_request(body);
        let call = self.call_worker(target.worker(), request, RESPONSE_TIMEOUT);
        let result = call.await;
        self.record_command_outcome(&target, &result, command_count);
        let answered = match &result {
            Err(ClientError::NoSocket) => None,
            result => Some(result.is_ok()),
        };
        if let Ok(response) = result
            && matches!(response.status, 200 | 409)
        {
            self.apply_direct_response(&target, &response.body);
        }
        self.wakeups.scheduler.notify_one();
        answered
    }

    /// Returns the target for commands to a host. Returns `None` if this controller does not own the
    /// host's partition, if the host has commands in flight or in doubt, or if the host's address can't
    /// be parsed.
    fn command_target(&self, partition_id: u32, host: HostId) -> Option<CommandTarget> {
        let state = self.state.borrow();
        let partition = state.scheduling.partitions.get(&partition_id)?;
        let host_state = partition.hosts.get(&host)?;
        if host_state.has_request_in_flight() || host_state.awaits_raised_token() {
            return None;
        }
        Some(CommandTarget {
            partition_id,
            owned_since: partition.owned_since,
            address: host_state.address.parse().ok()?,
            zone: host_state.zone.clone(),
            is_incarnation_known: host_state.incarnation.is_some(),
            hosts_in_partition: partition.hosts.len(),
            host,
        })
    }

    /// Builds the request with a host's outstanding commands and marks the commands as in flight.
    /// Returns `None` if there is nothing to send, or if nothing may be sent now.
    fn prepare_commands(&self, target: &CommandTarget) -> Option<CommandRequest> {
        let now = self.now();
        let mut state_guard = self.state.borrow_mut();
        let state = &mut *state_guard;
        // The authority is checked for every request, as the process may have stalled since the last
        // one.
        if !state.authority.is_valid_at(now) {
            return None;
        }
        let partition = state
            .scheduling
            .partitions
            .get_mut(&target.partition_id)
            .filter(|partition| partition.owned_since == target.owned_since)?;
        raise_token_to_clear(&state.cache, partition, &target.host, now);
        let commands = partition.commands(&target.host);
        let host = partition.hosts.get(&target.host)?;
        let known_as_of = state.authority.cache_fresh_until();
        // A delegate may go on renewing the lease of this host. A start command that arrives late under
        // such a lease could be executed after its job was cancelled: see
        // `Host::outstanding_starts_known_as_of`.
        if host.lease_renewed_at_latest
            > self
                .settings
                .freshness_bounds
                .owner_may_renew_until(known_as_of)
        {
            return None;
        }
        let (incarnation, token) = (host.incarnation?, host.token);
        let is_urgent = commands
            .iter()
            .any(|command| !matches!(command, Command::Clear(..)));
        let is_unfenced = matches!(host.fencing, FencingState::Unfenced { .. });
        if host.has_request_in_flight() || host.awaits_raised_token() || !(is_urgent || is_unfenced)
        {
            return None;
        }
        state.commands.metrics.record_message(
            host,
            CommandMessage::DirectRequest,
            &commands,
            state.cache.revision,
        );
        let request = CommandRequest {
            body: commands_body(token, Some(incarnation), &commands),
            command_count: commands.len(),
        };
        let host_input = HostInput::DirectRequestSent(commands, known_as_of);
        partition.apply(&target.host, host_input, now);
        Some(request)
    }

    /// Records the outcome of a request with commands: the commands are settled (executed, refused or
    /// never sent), or in doubt.
    fn record_command_outcome(
        &self,
        target: &CommandTarget,
        result: &Result<Response, ClientError>,
        command_count: usize,
    ) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let partition = state.scheduling.partitions.get_mut(&target.partition_id);
        let Some(partition) = partition.filter(|found| found.owned_since == target.owned_since)
        else {
            return;
        };
        let input = match result {
            Ok(response) if matches!(response.status, 200 | 400 | 409) => {
                HostInput::DirectRequestSettled
            }
            Err(error) if error.is_unsent() => HostInput::DirectRequestSettled,
            _ => {
                tracing::info!(
                    host = %target.host,
                    command_count,
                    "commands unanswered, outcome in doubt"
                );
                HostInput::DirectRequestUnanswered
            }
        };
        partition.apply(&target.host, input, now);
    }

    /// Applies the status in a worker's response to a direct request, unless another host has responded
    /// or the partition has changed owners.
    fn apply_direct_response(&self, target: &CommandTarget, body: &[u8]) {
        let now = self.now();
        let host = &target.host;
        match Heartbeat::parse(body) {
            Ok(status) if &status.host == host => {
                let mut state = self.state.borrow_mut();
                let partition = state.scheduling.partitions.get_mut(&target.partition_id);
                if let Some(partition) = partition
                    && partition.owned_since == target.owned_since
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
