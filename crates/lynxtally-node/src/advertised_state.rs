//! What this node tells callers of itself: its health, its capacity, and whether it drains.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What goes with every response and what health checks report. The event loop sets it, connections read it.
#[derive(Debug, Default)]
pub struct AdvertisedState {
    healthy: AtomicBool,
    draining: AtomicBool,
    /// The bits of the capacity, an `f64`.
    capacity_bits: AtomicU64,
    has_capacity: AtomicBool,
}

impl AdvertisedState {
    /// Sets what health checks report.
    pub fn set_healthy(&self, is_healthy: bool) {
        self.healthy.store(is_healthy, Ordering::Release);
    }

    /// Whether health checks report that this node is healthy.
    pub fn is_healthy(&self) -> bool {
        self.healthy.load(Ordering::Acquire)
    }

    /// From now on every response is the last on its connection.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether every response is the last on its connection.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Sets the capacity that responses advertise.
    pub fn set_capacity(&self, capacity: f64) {
        self.capacity_bits.store(capacity.to_bits(), Ordering::Release);
        self.has_capacity.store(true, Ordering::Release);
    }

    /// The advertised capacity, once there is one.
    pub fn capacity(&self) -> Option<f64> {
        let bits = || f64::from_bits(self.capacity_bits.load(Ordering::Acquire));
        self.has_capacity.load(Ordering::Acquire).then(bits)
    }
}
