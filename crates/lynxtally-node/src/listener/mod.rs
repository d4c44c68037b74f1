//! Connections from sidecars: taken eagerly, read eagerly, one task at a time on each.

mod accept_loop;
mod connection;

pub use crate::messages::{Handle, Order, Taken};
pub use lynxtally_net::listener::listen;

use crate::config::Bounds;
use crate::counters::Counters;
use crate::http::{Bad, Names};
use crate::messages::Heard;
use crate::response::{Answer, Standing};
use lynxtally_net::clock::Clock;
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::sync as wire;
use lynxtally_net::timer::Timer;
use may::io::WaitIoWaker;
use may::sync::mpsc::Sender;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The pause after a connection could not be taken: a full table of descriptors must not be spun on.
const PAUSE: Duration = Duration::from_millis(20);
/// What has stood for less is not closed to make room: its first bytes may be on their way.
const SETTLE: Duration = PAUSE;

/// Who could go on without waiting leaves the others a turn for so long. A coroutine that only yields stands first in
/// its worker's line again, and the worker never looks at anything else: one client that never stopped sending kept
/// the whole node waiting. Of many that do so each leaves so many turns, so that all together get no more than one.
const TURN: Duration = Duration::from_millis(1);

/// How a connection stands. To make room, the ones named first go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stand {
    /// We wrote the last on it, and read on so that this is not lost.
    Leaving,
    /// Nothing whole has come on it yet.
    New,
    /// A message is begun, or an answer not taken yet.
    Halfway,
    /// Between two messages.
    Resting,
    /// A task on it is open.
    Busy,
}

/// A connection in the table, and since when it has stood so.
struct Seat {
    handle: Handle,
    stand: Stand,
    since: Instant,
    /// Whether it was told to make room.
    told: bool,
}

/// Whether one more connection can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    Now,
    /// Once those that were told to go have gone.
    Soon,
    /// Nothing may go yet.
    Later,
}

/// All connections from sidecars and the listener before them.
pub struct Entrance {
    open: Mutex<BTreeMap<u64, Seat>>,
    next: AtomicU64,
    /// Connections that could go on and leave the others a turn.
    turns: AtomicU32,
    bounds: Bounds,
    closing: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
    names: Names,
    standing: Arc<Standing>,
    clock: Clock,
    alarm: Timer,
    owner: Sender<Heard>,
    counters: Arc<Counters>,
}

impl Entrance {
    /// An entrance with these bounds.
    pub fn new(
        bounds: Bounds,
        names: Names,
        standing: Arc<Standing>,
        alarm: Timer,
        owner: Sender<Heard>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            open: Mutex::default(),
            next: AtomicU64::new(0),
            turns: AtomicU32::new(0),
            bounds,
            closing: AtomicBool::new(false),
            waker: Mutex::default(),
            names,
            standing,
            clock: Clock::default(),
            alarm,
            owner,
            counters,
        }
    }

    /// Whether no connection is open, but such as have carried their last answer.
    pub fn is_empty(&self) -> bool {
        wire::lock(&self.open).values().all(|seat| seat.stand == Stand::Leaving)
    }

    /// How many connections were taken so far.
    pub fn taken(&self) -> u64 {
        self.counters.connections.get()
    }

    /// How many connections are open.
    pub fn len(&self) -> usize {
        wire::lock(&self.open).len()
    }

    /// Has connections closed that carried nothing for so long.
    pub fn close_idle(&self, since: Duration) {
        self.close_where(CloseReason::IdleTimeout, |seat| {
            matches!(seat.stand, Stand::New | Stand::Resting) && seat.since.elapsed() >= since
        });
    }

    /// Has connections closed whose time is over: those that carry no whole message or don't take an answer,
    /// those that were to leave, and those that sidecars would have closed long ago if they still knew them.
    /// Catches silent clients, halves of messages, trickles and forgotten connections; harms a sidecar that
    /// needs longer than a task's time for one message.
    pub fn sweep(&self) {
        let Bounds { message, linger, idle, .. } = self.bounds;
        self.close_where(CloseReason::TimedOut, |seat| {
            let over = |span| seat.since.elapsed() >= span;
            match seat.stand {
                Stand::Leaving => over(linger),
                Stand::New | Stand::Halfway => over(message),
                Stand::Resting => idle.is_some_and(over),
                Stand::Busy => false,
            }
        });
    }

    /// Has all connections closed that have no task, also such as stand in the middle of a message. The last thing
    /// before the end: what is half written then would be reset by it, so its sidecar is told, and sends once more.
    pub fn close_all(&self) {
        self.close_where(CloseReason::Completed, |seat| !matches!(seat.stand, Stand::Leaving | Stand::Busy));
    }

    fn close_where(&self, end: CloseReason, goes: impl Fn(&Seat) -> bool) {
        for seat in wire::lock(&self.open).values().filter(|seat| goes(seat)) {
            seat.handle.push(Order::Close(end));
        }
    }

    /// Makes room where the table is full: what is leaving goes first, then what has never carried a whole
    /// message, then what rests, of each the longest; a connection with a task never. So neither silent
    /// clients nor such as keep their connections shut the sidecars out. Harms a sidecar whose connection
    /// rests and is closed as it sends: it sends once more. The same where descriptors run short before.
    fn make_room(&self, short: bool) -> Room {
        let mut open = wire::lock(&self.open);
        let most = self.bounds.connections;
        if open.len() < most && !short {
            return Room::Now;
        }
        // Those that were told need a moment to go; some places are taken before that.
        let full = open.len() >= most + most / 8;
        if full && open.values().any(|seat| seat.told) {
            return Room::Soon;
        }
        let may_go =
            |seat: &&mut Seat| !seat.told && seat.stand != Stand::Busy && seat.since.elapsed() >= SETTLE;
        let first = open.values_mut().filter(may_go).min_by_key(|seat| (seat.stand, seat.since));
        let Some(seat) = first else { return Room::Later };
        // Each makes room for one: told again, it would be counted on twice.
        seat.told = true;
        seat.handle.push(Order::Close(CloseReason::Evicted));
        if full {
            Room::Soon
        } else {
            Room::Now
        }
    }

    /// Leaves the others a turn. Should catch floods of any kind; harms nobody who sends one message at a time.
    fn leave_turn(&self) {
        let turns = self.turns.fetch_add(1, Ordering::Relaxed) + 1;
        self.alarm.sleep(TURN * turns);
        self.turns.fetch_sub(1, Ordering::Relaxed);
    }

    /// Answers whatever still waits on any connection that it failed. Where nothing waits this does nothing.
    pub fn abandon_all(&self) {
        for seat in wire::lock(&self.open).values() {
            seat.handle.push(Order::Answer(Answer::Abandoned));
        }
    }

    /// Has the listener closed, once all that waits before it is taken.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        if let Some(waker) = &*wire::lock(&self.waker) {
            waker.wakeup();
        }
    }

    fn count_bad(&self, bad: Bad) {
        match bad {
            Bad::Head | Bad::Length => self.counters.bad_head.add(),
            Bad::Field(_) | Bad::Stage | Bad::Customer => self.counters.bad_field.add(),
            Bad::Path | Bad::Method => self.counters.bad_path.add(),
            Bad::HeadLarge | Bad::BodyLarge | Bad::Coding => self.counters.bad_size.add(),
        }
    }
}
