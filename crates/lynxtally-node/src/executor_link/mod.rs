//! The link to the kernel, which does the work: its lines in and out, and the driver that holds one link
//! open.

use crate::counters::Counters;
use crate::messages::Heard;
pub use crate::messages::{Notice, Reaped};
use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::connection::{self as net, ReadProgress};
use lynxtally_net::sync::lock;
use lynxtally_net::timer::Timer;

use lynxtally_net::mailbox::Mailbox;
use may::sync::mpsc::Sender;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Room for one line, and for one result or body of a call.
const LINE_MOST: usize = 1024;
const PART_MOST: usize = 64 * 1024;
/// How long one attempt to connect may take, and the pause after one that failed.
const CONNECT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);
/// What the tag of gauges for the module begins with; their number follows.
const GAUGES: &str = "gauges-";
/// What the tag begins with whose gauges close what a new link is told of the time without one; the link's
/// number follows.
const SYNC: &str = "sync-";

/// What the kernel is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The first on a link: tell all notices after this one.
    Open(u64),
    /// Run a task, with the body as it came.
    Run {
        /// Its name.
        id: String,
        /// Its stage's name.
        stage: String,
        /// Its body.
        body: Vec<u8>,
    },
    /// Stop its run.
    Stop(String),
    /// Go on with its paused run.
    Resume(String),
    /// The reply to the call that its run waits for.
    Reply {
        /// The task's name.
        id: String,
        /// The reply, unchanged.
        body: Vec<u8>,
    },
    /// Tell the gauges, under a number of our own: the kernel reads commands in order, so what was written before this
    /// was read by the time they are told.
    Gauges(u64),
    /// Say when all that came before this was told; the link's number.
    Sync(u64),
}

impl Command {
    /// Writes it as the kernel reads it.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut part = |line: std::fmt::Arguments, body: Option<&[u8]>| {
            // A vector takes whatever is written to it.
            let _ = write!(out, "{line}\r\n");
            if let Some(body) = body {
                out.extend_from_slice(body);
                out.extend_from_slice(b"\r\n");
            }
        };
        match self {
            Self::Open(seen) => part(format_args!("OPEN {seen}"), None),
            Self::Run { id, stage, body } => {
                part(format_args!("SCHED {id} {stage} {}", body.len()), Some(body));
            }
            Self::Stop(id) => part(format_args!("PREEMPT {id}"), None),
            Self::Resume(id) => part(format_args!("RESCHED {id}"), None),
            Self::Reply { id, body } => part(format_args!("IODONE {id} {}", body.len()), Some(body)),
            Self::Gauges(number) => part(format_args!("SYSINFO {GAUGES}{number}"), None),
            Self::Sync(link) => part(format_args!("SYSINFO {SYNC}{link}"), None),
        }
    }
}

/// What the link is told.
enum Order {
    /// Write this.
    Say(Command),
    /// What comes after this is meant for the link with this number; what came before it, for an earlier one.
    From(u64),
}

/// Where the owner leaves commands, and where the kernel is.
pub struct Orders {
    waiting: Mailbox<Order>,
    at: Mutex<SocketAddr>,
}

impl Orders {
    /// No orders yet, for a kernel at this address.
    pub fn new(at: SocketAddr) -> Self {
        Self { waiting: Mailbox::default(), at: Mutex::new(at) }
    }

    /// Has a command written on the present link.
    pub fn say(&self, command: Command) {
        self.waiting.push(Order::Say(command));
    }

    /// From now on commands are meant for the link with this number.
    pub fn begin(&self, link: u64) {
        self.waiting.push(Order::From(link));
    }

    /// The kernel is elsewhere from now on.
    pub fn move_to(&self, at: SocketAddr) {
        *lock(&self.at) = at;
        self.waiting.wake();
    }

    fn at(&self) -> SocketAddr {
        *lock(&self.at)
    }
}

/// Bytes from the kernel, split anywhere, and the notices in them.
#[derive(Debug, Default)]
pub struct Reader {
    /// What was read.
    pub buffer: Vec<u8>,
    /// How much of it was understood.
    understood: usize,
}

impl Reader {
    /// How much may be buffered.
    pub const ROOM: usize = LINE_MOST + PART_MOST + 4;

    /// Whether nothing waits to be understood.
    pub fn is_empty(&self) -> bool {
        self.understood == self.buffer.len()
    }

    /// Where bytes are added. What was understood is dropped here, once for all notices of one read: dropped
    /// with each, a large read would be moved as often as it has notices.
    pub fn room(&mut self) -> &mut Vec<u8> {
        self.buffer.drain(..std::mem::take(&mut self.understood));
        &mut self.buffer
    }

    /// The next whole notice, with its number where it has one.
    pub fn next_notice(&mut self) -> Result<Option<(Option<u64>, Notice)>, CloseReason> {
        let bytes = &self.buffer[self.understood..];
        // A remark means nothing, however long it is and whatever it is made of.
        let most = if bytes.starts_with(b"DMESG ") { PART_MOST } else { LINE_MOST };
        let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
            return if bytes.len() > most { Err(CloseReason::Malformed) } else { Ok(None) };
        };
        let text = String::from_utf8_lossy(&bytes[..end]);
        let words: Vec<&str> = text.split_ascii_whitespace().collect();
        let length = match words.first() {
            Some(&("REAP" | "IOREQ")) => Some(number::<usize>(words.last().copied())?),
            _ => None,
        };
        let start = end + 2;
        if length.is_some_and(|length| length > PART_MOST) {
            return Err(CloseReason::Malformed);
        }
        let whole = start + length.map_or(0, |length| length + 2);
        if bytes.len() < whole {
            return Ok(None);
        }
        let part = length.map_or(&[][..], |length| &bytes[start..start + length]);
        if length.is_some() && &bytes[whole - 2..whole] != b"\r\n" {
            return Err(CloseReason::Malformed);
        }
        let notice = match words[..] {
            ["BOOTED", state @ ("COLD" | "WARM"), ms] => {
                (None, Notice::Booted { cold: state == "COLD", ms: figure(ms)? })
            }
            ["REAP", n, id, how, _ms, _length] => {
                let how = match how {
                    "OK" => Reaped::Ok,
                    "ERROR" => Reaped::Error,
                    "STOPPED" => Reaped::Stopped,
                    "MOOT" => Reaped::Moot,
                    _ => return Err(CloseReason::Malformed),
                };
                (Some(number(Some(n))?), Notice::Ended { id: id.to_owned(), how, result: part.to_vec() })
            }
            ["IOREQ", n, id, _length] => {
                (Some(number(Some(n))?), Notice::AtCall { id: id.to_owned(), body: part.to_vec() })
            }
            ["INFO", tag, ref values @ ..] => match tag.strip_prefix(SYNC) {
                Some(link) => (None, Notice::Synced(number(Some(link))?)),
                None => {
                    let values = values.iter().map(|value| figure(value)).collect::<Result<_, _>>()?;
                    (None, Notice::Gauges { number: number(tag.strip_prefix(GAUGES))?, values })
                }
            },
            ["EINVAL", command, ref id @ ..] => {
                (None, Notice::Refused { command: command.to_owned(), id: id.join(" ") })
            }
            ["DMESG", ref text @ ..] => (number(text.first().copied()).ok(), Notice::Remark(text.join(" "))),
            _ => return Err(CloseReason::Malformed),
        };
        self.understood += whole;
        Ok(Some(notice))
    }
}

/// A number that means something: not negative, not endless.
fn figure(word: &str) -> Result<f64, CloseReason> {
    number::<f64>(Some(word)).and_then(|value| {
        let fits = value >= 0.0 && value.is_finite();
        fits.then_some(value).ok_or(CloseReason::Malformed)
    })
}

fn number<T: std::str::FromStr>(word: Option<&str>) -> Result<T, CloseReason> {
    word.and_then(|word| word.parse().ok()).ok_or(CloseReason::Malformed)
}

/// Holds a link to the kernel open for as long as the program runs, and makes a new one when it breaks or the
/// kernel is elsewhere.
pub fn hold(orders: &Orders, owner: &Sender<Heard>, alarm: &Timer, counters: &Counters) {
    let (mut seen, mut link) = (0, 0);
    loop {
        let at = orders.at();
        match net::Connection::connect(at, CONNECT) {
            Ok(line) => {
                counters.kernel_links.add();
                info!(notices_read = seen, %at, "link to the kernel made");
                link += 1;
                let end = carry(line, at, link, &mut seen, orders, owner);
                orders.waiting.detach();
                counters.kernel_ends.add(end);
                if end == CloseReason::Cancelled {
                    return;
                }
                warn!(%end, notices_read = seen, "link to the kernel lost");
                if owner.send(Heard::LinkLost).is_err() {
                    return;
                }
            }
            Err(end) => {
                counters.kernel_ends.add(end);
                debug!(%end, "no link to the kernel");
            }
        }
        if orders.at() == at {
            alarm.sleep(PAUSE);
        }
    }
}

/// Carries one link until it ends.
fn carry(
    mut line: net::Connection,
    at: SocketAddr,
    link: u64,
    seen: &mut u64,
    orders: &Orders,
    owner: &Sender<Heard>,
) -> CloseReason {
    let mut reader = Reader::default();
    // What was ordered before is not lost: once all was told, the owner says again what it knows no effect
    // of. Written twice, a reply could reach the run's next call.
    let mut begun = false;
    orders.waiting.attach(&line);
    Command::Open(*seen).write(line.output());
    loop {
        let filled = match line.fill(reader.room(), Reader::ROOM) {
            Ok(filled) => filled,
            Err(end) => return end,
        };
        loop {
            let (number, notice) = match reader.next_notice() {
                Ok(Some(read)) => read,
                Ok(None) => break,
                Err(end) => return end,
            };
            if number.is_some_and(|number| number <= *seen) {
                continue;
            }
            *seen = number.unwrap_or(*seen);
            if matches!(notice, Notice::Booted { .. }) {
                Command::Sync(link).write(line.output());
            }
            if owner.send(Heard::Kernel(notice)).is_err() {
                return CloseReason::Cancelled;
            }
        }
        if filled == ReadProgress::EndOfStream {
            return if reader.is_empty() { CloseReason::ClosedByPeer } else { CloseReason::Truncated };
        }
        while let Some(order) = orders.waiting.take() {
            match order {
                Order::From(number) => begun = number == link,
                Order::Say(command) if begun => command.write(line.output()),
                Order::Say(_) => {}
            }
        }
        if let Err(end) = line.flush() {
            return end;
        }
        if orders.at() != at {
            return CloseReason::AddressChanged;
        }
        if filled == ReadProgress::Drained {
            line.wait();
        }
    }
}
