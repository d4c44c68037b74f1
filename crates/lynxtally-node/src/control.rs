//! Reports to the control plane, by which sidecars learn of this node.

use crate::counters::Counters;
use may::sync::mpsc::{Receiver, Sender};
use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// A node is listed for three of these after its last report.
const EVERY: Duration = Duration::from_secs(1);

/// Tells the control plane how this node is, and again each second, until the owner is gone. That datagrams can't be
/// sent, as while the control plane is down, is counted and does no harm.
pub fn report(name: &str, at: SocketAddr, states: &Receiver<bool>, counters: &Arc<Counters>) {
    let any: SocketAddr = if at.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
    let mut socket: Option<UdpSocket> = None;
    let Ok(mut ready) = states.recv() else { return };
    loop {
        let text = format!("lease {name} {}", if ready { "Ready" } else { "NotReady" });
        let made = || UdpSocket::bind(any).and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
        let sent = match &socket {
            Some(socket) => Ok(socket),
            None => made().map(|made| &*socket.insert(made)),
        };
        match sent.and_then(|socket| socket.send_to(text.as_bytes(), at)) {
            Ok(_) => counters.reports.add(),
            Err(fault) => {
                counters.reports_failed.add();
                debug!(%fault, "report not sent");
            }
        }
        match states.recv_timeout(EVERY) {
            Ok(state) => ready = state,
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Where the owner says how this node is; only changes are passed on.
pub struct Reporter {
    states: Sender<bool>,
    told: Option<bool>,
}

impl Reporter {
    /// A reporter that has said nothing yet.
    pub fn new(states: Sender<bool>) -> Self {
        Self { states, told: None }
    }

    /// Says how this node is.
    pub fn say(&mut self, ready: bool) {
        if self.told.replace(ready) != Some(ready) {
            // The other side ends only with the program.
            let _ = self.states.send(ready);
        }
    }
}
