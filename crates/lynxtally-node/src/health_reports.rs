//! Reports to the control plane, by which sidecars learn of this node.

use crate::counters::Counters;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{Receiver, Sender};
use std::net::{SocketAddr, UdpSocket};

use std::time::Duration;
use tracing::debug;

/// A node is listed for ten of these after its last report. One that is well stays listed though most of its
/// reports are lost; they cost one datagram each.
const EVERY: Duration = Duration::from_millis(300);

/// What the reporting coroutine hears.
#[derive(Clone, Copy, Debug)]
pub enum State {
    /// This is how the node is from now on.
    Is(bool),
    /// The control plane is here from now on.
    At(SocketAddr),
    /// It is time for the next report.
    Again,
}

/// Tells the control plane how this node is, and again and again. That datagrams can't be sent, as while
/// the control plane is down, is counted and does no harm.
pub fn report(
    name: &str,
    mut at: SocketAddr,
    states: &Receiver<State>,
    again: &Sender<State>,
    alarm: &Timer,
    counters: &Counters,
) {
    let mut socket: Option<UdpSocket> = None;
    let mut ready = None;
    while let Ok(state) = states.recv() {
        match state {
            State::Is(now) => ready = Some(now),
            State::At(now) => (at, socket) = (now, None),
            State::Again => {
                let again = again.clone();
                // Nobody hears it only where the program ends.
                alarm.run_after(EVERY, move || {
                    let _ = again.send(State::Again);
                });
            }
        }
        let Some(ready) = ready else { continue };
        let text = format!("lease {name} {}", if ready { "Ready" } else { "NotReady" });
        let any: SocketAddr = if at.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
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
    }
}

/// Where the owner says how this node is; only changes are passed on.
pub struct Reporter {
    states: Sender<State>,
    told: Option<bool>,
}

impl Reporter {
    /// A reporter that has said nothing yet.
    pub fn new(states: Sender<State>) -> Self {
        Self { states, told: None }
    }

    /// Says how this node is.
    pub fn say(&mut self, ready: bool) {
        if self.told.replace(ready) != Some(ready) {
            // The other side ends only with the program.
            let _ = self.states.send(State::Is(ready));
        }
    }

    /// The control plane is elsewhere from now on.
    pub fn move_to(&self, at: SocketAddr) {
        // As above.
        let _ = self.states.send(State::At(at));
    }
}
