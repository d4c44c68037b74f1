//! The engine's responder: sends final responses to the client connections and announces the node's state.

use crate::advertised_state::AdvertisedState;
use crate::counters::Counters;
use crate::health_reports::HealthReporter;
use crate::listener::Listener;
use crate::messages::{ConnectionCommand, ConnectionHandle};
use lynxtally::Span;
use lynxtally_engine::{FinalResponse, Responder};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::info;

/// Delivers the engine's responses, and announces health and capacity to clients and to the control plane.
pub(super) struct NodeResponder {
    pub listener: Arc<Listener>,
    pub advertised: Arc<AdvertisedState>,
    health_reporter: HealthReporter,
    counters: Arc<Counters>,
}

impl NodeResponder {
    pub fn new(
        listener: Arc<Listener>,
        advertised: Arc<AdvertisedState>,
        health_reporter: HealthReporter,
        counters: Arc<Counters>,
    ) -> Self {
        Self { listener, advertised, health_reporter, counters }
    }

    /// Sets the health that health checks return and that is reported to the control plane.
    pub fn announce_health(&mut self, is_healthy: bool) {
        self.advertised.set_healthy(is_healthy);
        self.health_reporter.set_healthy(is_healthy);
    }

    /// Sends health reports to this address from now on.
    pub fn set_control_plane_address(&self, address: SocketAddr) {
        self.health_reporter.set_address(address);
    }
}

impl Responder<ConnectionHandle> for NodeResponder {
    fn respond(&mut self, connection: ConnectionHandle, response: FinalResponse) -> bool {
        self.counters.in_flight.decrement();
        match &response {
            FinalResponse::Completed(_) => self.counters.completed.increment(),
            FinalResponse::Rejected { .. } => self.counters.rejected.increment(),
            FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => {
                self.counters.failed.increment();
            }
        }
        let is_delivered = connection.push(ConnectionCommand::Respond(response));
        if !is_delivered {
            self.counters.responses_undelivered.increment();
        }
        is_delivered
    }

    fn set_health(&mut self, is_healthy: bool) {
        self.announce_health(is_healthy);
    }

    fn advertise_capacity(&mut self, capacity: f64) {
        self.advertised.set_capacity(capacity);
    }

    fn close_idle_connections(&mut self, idle_for: Span) {
        self.listener.close_idle(super::duration(idle_for));
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}
