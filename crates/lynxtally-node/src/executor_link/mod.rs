//! The link to the executor, the process that runs the requests. A link is one connection; a new one is made whenever
//! it breaks or the executor's address changes.
//!
//! When a link breaks, the node doesn't know which commands the executor has read, and which of its events were lost.
//! A lost event would leave a request without a response. A command that is sent twice could be mistaken for another
//! one: the response to a call could be taken for the response to the run's next call. Links and events are numbered
//! to prevent both. Each link starts with the replay of all events after the last one that the node read. Commands
//! for an earlier link are dropped. After the replay ([`ExecutorEvent::CaughtUp`]), the event loop resends the
//! commands that are still unconfirmed.

mod protocol;

pub use protocol::{Command, EventReader, NumberedEvent};

use crate::counters::Counters;
use crate::messages::{ExecutorEvent, Message};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{Connection, ReadProgress};
use lynxtally_net::mailbox::Mailbox;
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tracing::{debug, info, warn};

/// The timeout of one attempt to connect to the executor.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before the next attempt to connect. There is no pause if the executor's address has changed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// A message from the event loop to the link.
enum LinkMessage {
    /// Write this command to the executor.
    Send(Command),
    /// The following commands belong to the link with this number, and all previous commands to earlier links.
    BeginLink(u64),
}

/// The event loop's handle to the link. It queues commands and sets the executor's address.
pub struct ExecutorHandle {
    mailbox: Mailbox<LinkMessage>,
    address: Mutex<SocketAddr>,
}

impl ExecutorHandle {
    /// Creates a handle for an executor at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self { mailbox: Mailbox::default(), address: Mutex::new(address) }
    }

    /// Queues a command for the current link. The command is dropped if the link breaks before it is written.
    pub fn send(&self, command: Command) {
        self.mailbox.push(LinkMessage::Send(command));
    }

    /// Assigns the following commands to the link with this number.
    pub fn begin_link(&self, link: u64) {
        self.mailbox.push(LinkMessage::BeginLink(link));
    }

    /// Changes the executor's address, which closes the current link.
    pub fn set_address(&self, address: SocketAddr) {
        *lock(&self.address) = address;
        self.mailbox.wake();
    }

    fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }
}

/// The coroutine that maintains the link.
pub struct ExecutorLink<'a> {
    /// The handle with the queued commands and the address.
    pub handle: &'a ExecutorHandle,
    /// Sends events to the event loop.
    pub event_loop: &'a Sender<Message>,
    /// Provides the pause between attempts to connect.
    pub timer: &'a Timer,
    /// The counters of links.
    pub counters: &'a Counters,
}

impl ExecutorLink<'_> {
    /// Connects and reconnects to the executor until the event loop ends.
    pub fn run(&self) {
        let mut last_event = 0;
        let mut link = 0;
        loop {
            let address = self.handle.address();
            match Connection::connect(address, CONNECT_TIMEOUT) {
                Ok(connection) => {
                    self.counters.executor_links.increment();
                    info!(events_read = last_event, %address, "connected to the executor");
                    link += 1;
                    let reason = self.serve(connection, address, link, &mut last_event);
                    self.handle.mailbox.detach();
                    self.counters.executor_links_closed.increment(reason);
                    if reason == CloseReason::Cancelled {
                        return;
                    }
                    warn!(%reason, %address, events_read = last_event, "connection to the executor lost");
                    if self.event_loop.send(Message::ExecutorLinkLost).is_err() {
                        return;
                    }
                }
                Err(reason) => {
                    self.counters.executor_links_closed.increment(reason);
                    debug!(%reason, %address, "failed to connect to the executor");
                }
            }
            if self.handle.address() == address {
                self.timer.sleep(RECONNECT_PAUSE);
            }
        }
    }

    /// Serves one link until it ends. `last_event` is the number of the last event read on any link.
    fn serve(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        link: u64,
        last_event: &mut u64,
    ) -> CloseReason {
        let mut reader = EventReader::default();
        let mut accepts_commands = false;
        self.handle.mailbox.attach(&connection);
        Command::ReplayAfter(*last_event).write(connection.output());
        loop {
            let progress = match connection.fill(reader.buffer(), EventReader::BUFFER_BYTES) {
                Ok(progress) => progress,
                Err(reason) => return reason,
            };
            if let Err(reason) = self.forward_events(&mut reader, &mut connection, link, last_event) {
                return reason;
            }
            if progress == ReadProgress::EndOfStream {
                return if reader.is_empty() { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
            }
            self.write_commands(&mut connection, link, &mut accepts_commands);
            if let Err(reason) = connection.flush() {
                return reason;
            }
            if self.handle.address() != address {
                return CloseReason::AddressChanged;
            }
            if progress == ReadProgress::Drained {
                connection.wait();
            }
        }
    }

    /// Forwards the events that were read to the event loop, except those that an earlier link already reported.
    fn forward_events(
        &self,
        reader: &mut EventReader,
        connection: &mut Connection,
        link: u64,
        last_event: &mut u64,
    ) -> Result<(), CloseReason> {
        while let Some(NumberedEvent { number, event }) = reader.next_event()? {
            if number.is_some_and(|number| number <= *last_event) {
                continue;
            }
            *last_event = number.unwrap_or(*last_event);
            if matches!(event, ExecutorEvent::Started { .. }) {
                Command::ReportCaughtUp(link).write(connection.output());
            }
            if self.event_loop.send(Message::Executor(event)).is_err() {
                return Err(CloseReason::Cancelled);
            }
        }
        Ok(())
    }

    /// Writes the queued commands for this link and drops those for earlier links. The event loop resends dropped
    /// commands that are still unconfirmed.
    fn write_commands(&self, connection: &mut Connection, link: u64, accepts_commands: &mut bool) {
        while let Some(message) = self.handle.mailbox.take() {
            match message {
                LinkMessage::BeginLink(number) => *accepts_commands = number == link,
                LinkMessage::Send(command) if *accepts_commands => command.write(connection.output()),
                LinkMessage::Send(_) => {}
            }
        }
    }
}
