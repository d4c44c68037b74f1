//! Applies a reloaded configuration to the running node.

use super::EventLoop;
use crate::config::Config;
use tracing::{info, warn};

impl EventLoop {
    /// Applies the keys that can change in a running program: the addresses of the executor, the dependency and the
    /// control plane, and the shutdown timeout. Open requests, runs and counters are not affected.
    pub(super) fn reload(&mut self, newer: &Config) {
        let Config { executor, downstream, control_plane, .. } = *newer;
        let downstream_text = downstream.map_or_else(|| "none".to_owned(), |address| address.to_string());
        info!(%executor, downstream = downstream_text, %control_plane, "configuration reloaded");
        let fixed_keys = self.config.changed_fixed_keys(newer);
        if !fixed_keys.is_empty() {
            warn!(
                keys = fixed_keys.join(", "),
                "changed configuration keys take effect only after a restart"
            );
        }
        if self.config.executor != executor {
            self.executor.set_executor_address(executor);
        }
        if self.config.downstream != downstream {
            self.executor.set_downstream_address(downstream);
        }
        if self.config.control_plane != control_plane {
            self.responder.set_control_plane_address(control_plane);
        }
        self.config.executor = executor;
        self.config.downstream = downstream;
        self.config.control_plane = control_plane;
        self.config.shutdown_timeout = newer.shutdown_timeout;
    }
}
