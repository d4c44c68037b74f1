//! The state that this node advertises to clients: its health, its capacity, and whether it is draining.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The state in health checks and in the headers of every response. The event loop writes it; connections read it.
#[derive(Debug, Default)]
pub struct AdvertisedState {
    healthy: AtomicBool,
    draining: AtomicBool,
    /// The capacity, as the bits of an `f64`.
    capacity_bits: AtomicU64,
    has_capacity: AtomicBool,
}

impl AdvertisedState {
    /// Sets the health that health checks report.
    pub fn set_healthy(&self, is_healthy: bool) {
        self.healthy.store(is_healthy, Ordering::Release);
    }

    /// Whether health checks report that this node is healthy.
    pub fn is_healthy(&self) -> bool {
        self.healthy.load(Ordering::Acquire)
    }

    /// Makes connections close after their next response, from now on.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Whether connections close after their next response.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Sets the capacity that responses advertise.
    pub fn set_capacity(&self, capacity: f64) {
        self.capacity_bits.store(capacity.to_bits(), Ordering::Release);
        self.has_capacity.store(true, Ordering::Release);
    }

    /// Returns the advertised capacity, or `None` before the first one is set.
    pub fn capacity(&self) -> Option<f64> {
        let bits = || f64::from_bits(self.capacity_bits.load(Ordering::Acquire));
        self.has_capacity.load(Ordering::Acquire).then(bits)
    }
}
