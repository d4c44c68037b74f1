//! Periodic health reports to the control plane, which tells clients which nodes are healthy.

use crate::counters::Counters;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{Receiver, Sender};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tracing::debug;

/// The interval between reports. The control plane lists a node for ten intervals after its last report, so that a
/// healthy node stays listed even if most of its reports are lost. Each report is one datagram.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// A message to the reporting coroutine.
#[derive(Clone, Copy, Debug)]
pub enum ReporterMessage {
    /// The health of the node changed; true means healthy.
    HealthChanged(bool),
    /// The address of the control plane changed.
    AddressChanged(SocketAddr),
    /// The next periodic report is due.
    ReportDue,
}

/// The coroutine that sends the reports.
pub struct HealthReports<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The address of the control plane.
    pub address: SocketAddr,
    /// Sends `ReportDue` messages to this coroutine itself.
    pub sender: &'a Sender<ReporterMessage>,
    /// Schedules the `ReportDue` messages.
    pub timer: &'a Timer,
    /// The counters of sent and failed reports.
    pub counters: &'a Counters,
}

impl HealthReports<'_> {
    /// Reports each change of health at once, and repeats the last report at each interval. A report that can't be
    /// sent, for example because the control plane is down, is counted and not retried before the next interval.
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
            // Sending fails only after the reporting coroutine has ended, and then the program ends too.
            let _ = sender.send(ReporterMessage::ReportDue);
        });
    }

    fn report(&self, socket: &mut Option<UdpSocket>, is_healthy: bool) {
        match self.send(socket, is_healthy) {
            Ok(_) => self.counters.health_reports.increment(),
            Err(error) => {
                self.counters.health_reports_failed.increment();
                debug!(%error, control_plane = %self.address, "failed to send a health report to the control plane");
            }
        }
    }

    /// Sends one report. Its format is `lease NAME Ready` or `lease NAME NotReady`.
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

/// The event loop's handle to the reporting coroutine. It forwards health values only when they change.
pub struct HealthReporter {
    messages: Sender<ReporterMessage>,
    last_reported: Option<bool>,
}

impl HealthReporter {
    /// Creates a reporter; its first health value counts as a change.
    pub fn new(messages: Sender<ReporterMessage>) -> Self {
        Self { messages, last_reported: None }
    }

    /// Sets the health of this node, and reports it if it changed.
    pub fn set_healthy(&mut self, is_healthy: bool) {
        if self.last_reported.replace(is_healthy) != Some(is_healthy) {
            // Sending fails only after the reporting coroutine has ended, and then the program ends too.
            let _ = self.messages.send(ReporterMessage::HealthChanged(is_healthy));
        }
    }

    /// Sends reports to this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        // Sending fails only after the reporting coroutine has ended, and then the program ends too.
        let _ = self.messages.send(ReporterMessage::AddressChanged(address));
    }
}
