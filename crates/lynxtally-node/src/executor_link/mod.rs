//! The link to the executor, which runs the requests: one connection, made anew whenever it breaks or the executor
//! moves.
//!
//! The failure that the numbers of links and events guard against: a link breaks, and nobody knows which commands the
//! executor had read and which events were lost. Lost events would leave requests without a response; a command
//! written twice could be taken for another, as a response to a call for the response to the run's next call. So each link
//! begins by having the executor report again all events after the last one read. Commands from before that are
//! dropped, and only when all has been reported ([`ExecutorEvent::CaughtUp`]) the event loop sends those again whose
//! effect is still unknown.

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

/// How long one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before the next attempt, unless the executor has moved.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What the link is told.
enum LinkMessage {
    /// Write this command.
    Send(Command),
    /// What follows is meant for the link with this number, what came before for an earlier one.
    BeginLink(u64),
}

/// The event loop's side of the link: commands wait here, and the executor's address is set here.
pub struct ExecutorHandle {
    mailbox: Mailbox<LinkMessage>,
    address: Mutex<SocketAddr>,
}

impl ExecutorHandle {
    /// A handle for an executor at this address, without commands.
    pub fn new(address: SocketAddr) -> Self {
        Self { mailbox: Mailbox::default(), address: Mutex::new(address) }
    }

    /// Has a command written on the present link. Where that breaks first, the command is dropped.
    pub fn send(&self, command: Command) {
        self.mailbox.push(LinkMessage::Send(command));
    }

    /// From now on commands are meant for the link with this number.
    pub fn begin_link(&self, link: u64) {
        self.mailbox.push(LinkMessage::BeginLink(link));
    }

    /// The executor is at this address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        *lock(&self.address) = address;
        self.mailbox.wake();
    }

    fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }
}

/// The coroutine that holds the link.
pub struct ExecutorLink<'a> {
    /// The event loop's side.
    pub handle: &'a ExecutorHandle,
    /// Where events go.
    pub event_loop: &'a Sender<Message>,
    /// For the pause between attempts to connect.
    pub timer: &'a Timer,
    /// Where links are counted.
    pub counters: &'a Counters,
}

impl ExecutorLink<'_> {
    /// Holds a link for as long as the program runs.
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
                    warn!(%reason, events_read = last_event, "connection to the executor lost");
                    if self.event_loop.send(Message::ExecutorLinkLost).is_err() {
                        return;
                    }
                }
                Err(reason) => {
                    self.counters.executor_links_closed.increment(reason);
                    debug!(%reason, "no connection to the executor");
                }
            }
            if self.handle.address() == address {
                self.timer.sleep(RECONNECT_PAUSE);
            }
        }
    }

    /// Carries one link until it ends. `last_event` is the number of the last event read on any link.
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

    /// Hands the events that were read to the event loop, but for those that an earlier link reported already.
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

    /// Writes the commands meant for this link, and drops those meant for an earlier one: the event loop sends them
    /// again if their effect is unknown.
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
