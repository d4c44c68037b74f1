//! The link to the kernel, which does the work: its lines in and out, and the driver that holds one link
//! open.

use crate::alarm::Alarm;
use crate::counters::Counters;
use crate::decide::Heard;
use crate::end::End;
use crate::wire::{Filled, Line, Outbox};
use may::sync::mpsc::Sender;
use std::io::Write;
use std::net::SocketAddr;

use std::time::Duration;
use tracing::{debug, info, warn};

/// Room for one line, and for one result or body of a call.
const LINE_MOST: usize = 1024;
const PART_MOST: usize = 64 * 1024;
/// How long one attempt to connect may take, and the pause after one that failed.
const CONNECT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(20);
/// The tag whose gauges close what a new link is told of the time without one.
pub const SYNC: &str = "sync";
/// The tag of gauges for the module.
pub const GAUGES: &str = "gauges";

/// What the kernel is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
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
    /// Tell the gauges under this tag.
    Gauges(&'static str),
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
            Self::Run { id, stage, body } => {
                part(format_args!("SCHED {id} {stage} {}", body.len()), Some(body));
            }
            Self::Stop(id) => part(format_args!("PREEMPT {id}"), None),
            Self::Resume(id) => part(format_args!("RESCHED {id}"), None),
            Self::Reply { id, body } => part(format_args!("IODONE {id} {}", body.len()), Some(body)),
            Self::Gauges(tag) => part(format_args!("SYSINFO {tag}"), None),
        }
    }
}

/// How a run ended, by the kernel's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaped {
    /// Well, with a result.
    Ok,
    /// With an error.
    Error,
    /// It was stopped, or ended at a call as nobody waits.
    Stopped,
    /// Nothing was started.
    Moot,
}

/// What the kernel tells.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// It came up some milliseconds ago.
    Booted {
        /// Whether it was cold then.
        cold: bool,
        /// How long ago.
        ms: f64,
    },
    /// A run is over.
    Ended {
        /// The task's name.
        id: String,
        /// How it ended.
        how: Reaped,
        /// Its result.
        result: Vec<u8>,
    },
    /// A run waits for a call with this body.
    AtCall {
        /// The task's name.
        id: String,
        /// What goes to the ledger.
        body: Vec<u8>,
    },
    /// The gauges, in the order of the settings.
    Gauges {
        /// The tag that they were asked under.
        tag: String,
        /// Their values.
        values: Vec<f64>,
    },
    /// A command was not carried out.
    Refused {
        /// The command's word.
        command: String,
        /// The task's name.
        id: String,
    },
    /// A remark with no meaning.
    Remark(String),
}

/// Bytes from the kernel, split anywhere, and the notices in them.
#[derive(Debug, Default)]
pub struct Reader {
    /// What was read and not understood yet.
    pub buffer: Vec<u8>,
}

impl Reader {
    /// How much may be buffered.
    pub const ROOM: usize = LINE_MOST + PART_MOST + 4;

    /// The next whole notice, with its number where it has one.
    pub fn next_notice(&mut self) -> Result<Option<(Option<u64>, Notice)>, End> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return if self.buffer.len() > LINE_MOST { Err(End::Garbled) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&self.buffer[..end]).map_err(|_| End::Garbled)?;
        let words: Vec<&str> = text.split(' ').collect();
        let length = match words[0] {
            "REAP" | "IOREQ" => Some(number::<usize>(words.last().copied())?),
            _ => None,
        };
        let start = end + 2;
        let whole = start + length.map_or(0, |length| length + 2);
        if length.is_some_and(|length| length > PART_MOST) {
            return Err(End::Garbled);
        }
        if self.buffer.len() < whole {
            return Ok(None);
        }
        let part = length.map_or(&[][..], |length| &self.buffer[start..start + length]);
        if length.is_some() && &self.buffer[whole - 2..whole] != b"\r\n" {
            return Err(End::Garbled);
        }
        let notice = match words[..] {
            ["BOOTED", state @ ("COLD" | "WARM"), ms] => {
                (None, Notice::Booted { cold: state == "COLD", ms: number(Some(ms))? })
            }
            ["REAP", n, id, how, _ms, _length] => {
                let how = match how {
                    "OK" => Reaped::Ok,
                    "ERROR" => Reaped::Error,
                    "STOPPED" => Reaped::Stopped,
                    "MOOT" => Reaped::Moot,
                    _ => return Err(End::Garbled),
                };
                (Some(number(Some(n))?), Notice::Ended { id: id.to_owned(), how, result: part.to_vec() })
            }
            ["IOREQ", n, id, _length] => {
                (Some(number(Some(n))?), Notice::AtCall { id: id.to_owned(), body: part.to_vec() })
            }
            ["INFO", tag, ref values @ ..] => {
                let values = values.iter().map(|value| number(Some(value))).collect::<Result<_, _>>()?;
                (None, Notice::Gauges { tag: tag.to_owned(), values })
            }
            ["EINVAL", command, ref id @ ..] => {
                (None, Notice::Refused { command: command.to_owned(), id: id.join(" ") })
            }
            ["DMESG", n, ref text @ ..] => (Some(number(Some(n))?), Notice::Remark(text.join(" "))),
            _ => return Err(End::Garbled),
        };
        self.buffer.drain(..whole);
        Ok(Some(notice))
    }
}

fn number<T: std::str::FromStr>(word: Option<&str>) -> Result<T, End> {
    word.and_then(|word| word.parse().ok()).ok_or(End::Garbled)
}

/// Holds a link to the kernel open for as long as the program runs, and makes a new one when it breaks.
pub fn hold(
    at: SocketAddr,
    orders: &Outbox<Command>,
    owner: &Sender<Heard>,
    alarm: &Alarm,
    counters: &Counters,
) {
    let mut seen = 0;
    loop {
        match Line::connect(at, CONNECT) {
            Ok(line) => {
                counters.kernel_links.add();
                info!(notices_read = seen, "link to the kernel made");
                let end = carry(line, &mut seen, orders, owner);
                orders.detach();
                counters.kernel_ends.add(end);
                if end == End::GivenUp {
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
        alarm.sleep(PAUSE);
    }
}

/// Carries one link until it ends.
fn carry(mut line: Line, seen: &mut u64, orders: &Outbox<Command>, owner: &Sender<Heard>) -> End {
    let mut reader = Reader::default();
    let mut synced = false;
    orders.attach(&line);
    line.out().extend_from_slice(format!("OPEN {seen}\r\n").as_bytes());
    loop {
        let filled = match line.fill(&mut reader.buffer, Reader::ROOM) {
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
            match &notice {
                Notice::Booted { .. } => Command::Gauges(SYNC).write(line.out()),
                // What was ordered before is not lost: on this notice the owner says again what it knows no
                // effect of. Written here too, a reply could reach the run's next call.
                Notice::Gauges { tag, .. } if tag == SYNC && !synced => {
                    synced = true;
                    while orders.take().is_some() {}
                }
                _ => {}
            }
            if owner.send(Heard::Kernel(notice)).is_err() {
                return End::GivenUp;
            }
        }
        if filled == Filled::End {
            return if reader.buffer.is_empty() { End::Closed } else { End::Truncated };
        }
        while let Some(order) = orders.take().filter(|_| synced) {
            order.write(line.out());
        }
        if let Err(end) = line.flush() {
            return end;
        }
        if filled == Filled::All {
            line.wait();
        }
    }
}
