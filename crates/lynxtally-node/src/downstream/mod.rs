//! Calls to the ledger that all nodes share: a few kept connections, one call at a time on each. A call is
//! made once; whether it is made again is decided elsewhere.

use crate::counters::Counters;
use crate::http::{self, Message};
pub use crate::messages::Ended;
use crate::messages::Heard;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::coroutine::{self, Panic};
use lynxtally_net::sync as wire;

use lynxtally_net::mailbox::Mailbox;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tracing::debug;

/// The ledger closes connections that are idle for twice as long; ours go first, so that none is closed in
/// use.
const IDLE: Duration = Duration::from_secs(5);
/// A connection carries the next call once it has been quiet for so long: what comes late behind a reply would
/// else be taken for the next call's. Catches copies, noise and early closes; costs a few connections more.
const QUIET: Duration = Duration::from_millis(20);
const STACK_WORDS: usize = 0x2000;

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The task that it is made for.
    pub id: String,
    /// Which of the node's calls this is.
    pub number: u64,
    /// Until when it may take. It is not begun after that, however long its way to the connection took.
    pub until: Instant,
    /// What the kernel gave for it.
    pub body: Vec<u8>,
}

/// What a connection is told.
#[derive(Clone, Debug)]
pub enum Order {
    /// Make this call.
    Make(Call),
    /// Give the call with this number up.
    GiveUp(u64),
    /// Close if there is nothing to do.
    Close,
}

/// A connection, as the owner knows it.
pub type Handle = Arc<Mailbox<Order>>;

/// The connections to the ledger.
pub struct Ledger {
    at: Mutex<Option<SocketAddr>>,
    idle: Mutex<Vec<(Instant, Handle)>>,
    owner: Sender<Heard>,
    counters: Arc<Counters>,
}

impl Ledger {
    /// A ledger to which nothing is connected yet; without an address, none, and no call ever runs.
    pub fn new(at: Option<SocketAddr>, owner: Sender<Heard>, counters: Arc<Counters>) -> Self {
        Self { at: Mutex::new(at), idle: Mutex::default(), owner, counters }
    }

    /// The ledger is elsewhere from now on. Calls under way end as they end.
    pub fn move_to(&self, at: Option<SocketAddr>) {
        *wire::lock(&self.at) = at;
        for (_, handle) in wire::lock(&self.idle).drain(..) {
            handle.push(Order::Close);
        }
    }

    /// Has a call made on a kept connection, or on a new one. The answer comes by message.
    pub fn call(self: &Arc<Self>, call: Call) -> Option<Handle> {
        self.counters.calls.add();
        loop {
            let kept = {
                let mut idle = wire::lock(&self.idle);
                // The first has been quiet the longest.
                let quiet = idle.first().is_some_and(|(since, _)| since.elapsed() >= QUIET);
                quiet.then(|| idle.remove(0))
            };
            let Some((_, handle)) = kept else { break };
            if handle.push(Order::Make(call.clone())) {
                return Some(handle);
            }
        }
        let handle = Handle::default();
        handle.push(Order::Make(call.clone()));
        let (ledger, own) = (self.clone(), handle.clone());
        let (owner, id, number) = (self.owner.clone(), call.id, call.number);
        let failed = move |panic: Panic| {
            tracing::error!(id, %panic, "a call's coroutine failed");
            let ended = Ended::Without { end: CloseReason::InternalError, written: true };
            // The owner outlives its calls.
            let _ = owner.send(Heard::Called { id, number, ended });
        };
        coroutine::spawn(STACK_WORDS, move || ledger.serve(&own), failed).ok().map(|_| handle)
    }

    /// Closes the connections that were idle for long.
    pub fn close_idle(&self) {
        let mut idle = wire::lock(&self.idle);
        idle.retain(|(since, handle)| {
            let keep = since.elapsed() < IDLE;
            if !keep {
                handle.push(Order::Close);
            }
            keep
        });
    }

    /// One connection: its calls, one after another.
    fn serve(&self, handle: &Handle) {
        let mut line = None;
        let at = *wire::lock(&self.at);
        while let Some(order) = handle.take() {
            let Order::Make(call) = order else { continue };
            let (ended, kept) = self.make(&call, at, line.take(), handle);
            line = kept;
            let Call { id, number, .. } = call;
            if self.owner.send(Heard::Called { id, number, ended }).is_err() {
                break;
            }
            let Some(held) = &line else { break };
            handle.attach(held);
            {
                let mut idle = wire::lock(&self.idle);
                if *wire::lock(&self.at) != at {
                    self.ended(CloseReason::AddressChanged);
                    break;
                }
                idle.push((Instant::now(), handle.clone()));
            }
            if self.rest(line.as_mut(), handle).is_some() {
                // A call that came meanwhile finds a connection of its own.
                line = None;
                handle.detach();
                wire::lock(&self.idle).retain(|(_, other)| !Arc::ptr_eq(other, handle));
            }
        }
        handle.detach();
        // An order that came between the last look and now is not lost: it never ran.
        for order in handle.close() {
            if let Order::Make(Call { id, number, .. }) = order {
                let ended = Ended::Without { end: CloseReason::ClosedByPeer, written: false };
                let _ = self.owner.send(Heard::Called { id, number, ended });
            }
        }
    }

    /// Waits for the next call; tells the end of the connection where it ends first.
    fn rest(&self, line: Option<&mut net::Connection>, handle: &Handle) -> Option<CloseReason> {
        let line = line?;
        let mut stray = Vec::new();
        loop {
            match line.fill(&mut stray, 1) {
                Ok(ReadProgress::Drained) => {}
                Ok(ReadProgress::BufferFull) => return Some(self.ended(CloseReason::Malformed)),
                Ok(ReadProgress::EndOfStream) => return Some(self.ended(CloseReason::ClosedByPeer)),
                Err(end) => return Some(self.ended(end)),
            }
            match handle.peek(|order| matches!(order, Order::Make(_))) {
                Some(true) => return None,
                Some(false) => {
                    if let Some(Order::Close) = handle.take() {
                        return Some(self.ended(CloseReason::IdleTimeout));
                    }
                }
                None => line.wait(),
            }
        }
    }

    fn ended(&self, end: CloseReason) -> CloseReason {
        self.counters.ledger_ends.add(end);
        end
    }

    /// Makes one call, on the kept connection if it still stands. What comes back may be kept again.
    fn make(
        &self,
        call: &Call,
        at: Option<SocketAddr>,
        kept: Option<net::Connection>,
        handle: &Handle,
    ) -> (Ended, Option<net::Connection>) {
        let until = call.until;
        let without = |end, written| (Ended::Without { end: self.ended(end), written }, None);
        let mut line = match kept {
            Some(line) => line,
            None => {
                let Some(at) = at else { return without(CloseReason::ConnectFailed, false) };
                match net::Connection::connect(at, until.saturating_duration_since(Instant::now())) {
                    Ok(line) => line,
                    Err(end) => return without(end, false),
                }
            }
        };
        handle.attach(&line);
        let mut reader = http::Reader::default();
        let mut written = false;
        loop {
            while let Some(order) = handle.take() {
                if matches!(order, Order::GiveUp(number) if number == call.number) {
                    return without(
                        if Instant::now() >= until { CloseReason::TimedOut } else { CloseReason::Cancelled },
                        written,
                    );
                }
            }
            if line.is_flushed() && !written {
                // Looked at here and not sooner: a process that was stopped on the way wakes with a call whose time
                // may be over, and whose part of what all share another may have by now.
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return without(CloseReason::TimedOut, false);
                }
                http::write_call(line.output(), &call.id, (left.as_millis() as u64).max(1), &call.body);
            }
            let flushed = line.flush();
            written |= line.is_flushed() || line.written() > 0;
            if let Err(end) = flushed {
                return without(end, written);
            }
            let filled = match line.fill(&mut reader.buffer, http::HEAD_MOST + http::REPLY_MOST) {
                Ok(filled) => filled,
                Err(end) => return without(end, written),
            };
            match reader.next_reply() {
                Ok(Some(Message { what, last })) => {
                    let keep = !last && filled == ReadProgress::Drained && reader.buffer.is_empty();
                    if !keep {
                        self.ended(CloseReason::Completed);
                    }
                    return (Ended::Replied(what), keep.then_some(line));
                }
                Ok(None) if filled == ReadProgress::EndOfStream => {
                    let end = if reader.buffer.is_empty() {
                        CloseReason::ClosedByPeer
                    } else {
                        CloseReason::Truncated
                    };
                    return without(end, written);
                }
                Ok(None) => line.wait(),
                Err(bad) => {
                    debug!(id = call.id, %bad, "a reply of the ledger can't be read");
                    return without(CloseReason::Malformed, written);
                }
            }
        }
    }
}
