//! Health reports to the control plane, from which callers learn that this node may be used.

use crate::counters::Counters;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tracing::debug;

/// The control plane lists a node for ten of these intervals after its last report: a healthy node stays listed though
/// most of its reports are lost. A report costs one datagram.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// What the reporting coroutine is told.
#[derive(Clone, Copy, Debug)]
pub enum ReporterMessage {
    /// The node is healthy, or is not, from now on.
    HealthChanged(bool),
    /// The control plane has this address from now on.
    AddressChanged(SocketAddr),
    /// It is time for the next report.
    ReportDue,
}

/// The reporting coroutine.
pub struct HealthReports<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Where the control plane is.
    pub address: SocketAddr,
    /// For its own message that the next report is due.
    pub sender: &'a Sender<ReporterMessage>,
    /// Sends that message.
    pub timer: &'a Timer,
    /// Where reports are counted.
    pub counters: &'a Counters,
}

impl HealthReports<'_> {
    /// Reports each change of health, and the same again at each interval. Reports that can't be sent, as while the
    /// control plane is down, are counted and do no harm.
    pub fn run(mut self, messages: &Receiver<ReporterMessage>) {
        let mut socket: Option<UdpSocket> = None;
        let mut health = None;
        while let Ok(message) = messages.recv() {
            match message {
                ReporterMessage::HealthChanged(is_healthy) => health = Some(is_healthy),
                ReporterMessage::AddressChanged(address) => {
                    self.address = address;
                    socket = None;
                }
                ReporterMessage::ReportDue => self.schedule_next(),
            }
            if let Some(is_healthy) = health {
                self.report(&mut socket, is_healthy);
            }
        }
    }

    fn schedule_next(&self) {
        let sender = self.sender.clone();
        self.timer.run_after(REPORT_INTERVAL, move || {
            // The receiver is gone only where the program ends.
            let _ = sender.send(ReporterMessage::ReportDue);
        });
    }

    fn report(&self, socket: &mut Option<UdpSocket>, is_healthy: bool) {
        match self.send(socket, is_healthy) {
            Ok(_) => self.counters.health_reports.increment(),
            Err(error) => {
                self.counters.health_reports_failed.increment();
                debug!(%error, "health report not sent");
            }
        }
    }

    /// Sends one report, as the control plane reads it: `lease NAME Ready` or `lease NAME NotReady`.
    fn send(&self, socket: &mut Option<UdpSocket>, is_healthy: bool) -> io::Result<usize> {
        let state = if is_healthy { "Ready" } else { "NotReady" };
        let text = format!("lease {} {state}", self.name);
        let socket = match socket {
            Some(socket) => socket,
            None => socket.insert(self.open_socket()?),
        };
        socket.send_to(text.as_bytes(), self.address)
    }

    fn open_socket(&self) -> io::Result<UdpSocket> {
        let any_port: SocketAddr =
            if self.address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0_u16; 8], 0).into() };
        let socket = UdpSocket::bind(any_port)?;
        socket.set_nonblocking(true)?;
        Ok(socket)
    }
}

/// The event loop's side: passes changes of health on, and nothing that was passed on already.
pub struct HealthReporter {
    messages: Sender<ReporterMessage>,
    last_reported: Option<bool>,
}

impl HealthReporter {
    /// A reporter that has reported nothing yet.
    pub fn new(messages: Sender<ReporterMessage>) -> Self {
        Self { messages, last_reported: None }
    }

    /// Reports whether this node is healthy.
    pub fn set_healthy(&mut self, is_healthy: bool) {
        if self.last_reported.replace(is_healthy) != Some(is_healthy) {
            // The receiver is gone only where the program ends.
            let _ = self.messages.send(ReporterMessage::HealthChanged(is_healthy));
        }
    }

    /// Reports go to this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        // As above.
        let _ = self.messages.send(ReporterMessage::AddressChanged(address));
    }
}
