//! The codec of the executor's line protocol. The protocol's names (SCHED, REAP, SYSINFO, ...) appear only here.

use crate::messages::{CommandName, ExecutorEvent, RunStatus};
use lynxtally_net::close_reason::CloseReason;
use std::io::Write;
use std::str::FromStr;

/// The maximum length of a line, except for log lines.
const MAX_LINE_BYTES: usize = 1024;
/// The maximum size of the result of a run, of the body of a call, and of a log line.
const MAX_BODY_BYTES: usize = 64 * 1024;
const LINE_END: &[u8] = b"\r\n";
/// The prefix of the tag for gauges that the scheduler uses. The number of the `ReportGauges` command follows.
const GAUGES_TAG: &str = "gauges-";
/// The prefix of the tag for gauges that only mark the end of the replay on a new link. The link's number follows.
const CATCH_UP_TAG: &str = "sync-";

/// A command to the executor.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replay all events after the one with this number. This is the first command on a link.
    ReplayAfter(u64),
    /// Start a run.
    Start {
        /// The request's id.
        id: String,
        /// The name of the request class.
        class: String,
        /// The request's body, unchanged.
        body: Vec<u8>,
    },
    /// Stop the run of the request with this id.
    Stop(String),
    /// Resume the stopped run of the request with this id.
    Resume(String),
    /// Give a run the response to the call that it waits for.
    CallResponse {
        /// The request's id.
        id: String,
        /// The body of the response, unchanged.
        body: Vec<u8>,
    },
    /// Report the gauges under this number. As the executor reads commands in order, the report also shows that it
    /// has read every command before this one.
    ReportGauges(u64),
    /// Report that all events that precede this command have been sent on the link with this number.
    ReportCaughtUp(u64),
}

impl Command {
    /// Encodes the command and appends it to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Self::ReplayAfter(last_event) => write_line(out, format_args!("OPEN {last_event}")),
            Self::Start { id, class, body } => {
                write_line(out, format_args!("SCHED {id} {class} {}", body.len()));
                write_body(out, body);
            }
            Self::Stop(id) => write_line(out, format_args!("PREEMPT {id}")),
            Self::Resume(id) => write_line(out, format_args!("RESCHED {id}")),
            Self::CallResponse { id, body } => {
                write_line(out, format_args!("IODONE {id} {}", body.len()));
                write_body(out, body);
            }
            Self::ReportGauges(number) => write_line(out, format_args!("SYSINFO {GAUGES_TAG}{number}")),
            Self::ReportCaughtUp(link) => write_line(out, format_args!("SYSINFO {CATCH_UP_TAG}{link}")),
        }
    }
}

fn write_line(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    // Writing to a vector never fails.
    let _ = write!(out, "{text}");
    out.extend_from_slice(LINE_END);
}

fn write_body(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(body);
    out.extend_from_slice(LINE_END);
}

/// An event with its number, if it has one.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedEvent {
    /// The number of an event of a run or of a log line. A new link replays the numbered events that the node has not
    /// read. Other events have no number and are not replayed.
    pub number: Option<u64>,
    /// The event.
    pub event: ExecutorEvent,
}

/// Extracts complete events from the byte stream of the executor.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
    /// The number of parsed bytes at the start of the buffer.
    parsed: usize,
}

impl EventReader {
    /// The buffer size: the size of the largest event, with the line ends of its line and its body.
    pub const BUFFER_BYTES: usize = MAX_LINE_BYTES + MAX_BODY_BYTES + 4;

    /// Whether all bytes in the buffer have been parsed.
    pub fn is_empty(&self) -> bool {
        self.parsed == self.buffer.len()
    }

    /// Returns the buffer, to append bytes that were read. The parsed bytes are removed here, once for each read.
    /// Removing them after each event would move the rest of a large read as often as it has events.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        self.buffer.drain(..std::mem::take(&mut self.parsed));
        &mut self.buffer
    }

    /// Returns the next event, or `None` while it is incomplete.
    ///
    /// # Errors
    /// Returns the close reason if the next bytes are not a valid event. The link must then be closed.
    pub fn next_event(&mut self) -> Result<Option<NumberedEvent>, CloseReason> {
        let bytes = &self.buffer[self.parsed..];
        // A log line has no meaning for the node, so it may be longer and have any content.
        let max_line = if bytes.starts_with(b"DMESG ") { MAX_BODY_BYTES } else { MAX_LINE_BYTES };
        let Some(line_length) = bytes.windows(LINE_END.len()).position(|pair| pair == LINE_END) else {
            return if bytes.len() > max_line { Err(CloseReason::Malformed) } else { Ok(None) };
        };
        let line = String::from_utf8_lossy(&bytes[..line_length]);
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let after_line = &bytes[line_length + LINE_END.len()..];
        let Some(body) = split_body(&words, after_line)? else { return Ok(None) };
        let event = parse_event(&words, body.bytes)?;
        self.parsed += line_length + LINE_END.len() + body.framed_length;
        Ok(Some(event))
    }
}

/// The body that follows an event's line.
struct EventBody<'a> {
    bytes: &'a [u8],
    /// The length of the body including its line end; zero if the event has no body.
    framed_length: usize,
}

/// Returns the body of the event whose line has these words, or `None` while the body is incomplete.
fn split_body<'a>(words: &[&str], after_line: &'a [u8]) -> Result<Option<EventBody<'a>>, CloseReason> {
    if !matches!(words.first(), Some(&("REAP" | "IOREQ"))) {
        return Ok(Some(EventBody { bytes: &[], framed_length: 0 }));
    }
    let length: usize = parse(words.last().copied())?;
    if length > MAX_BODY_BYTES {
        return Err(CloseReason::Malformed);
    }
    let framed_length = length + LINE_END.len();
    if after_line.len() < framed_length {
        return Ok(None);
    }
    if &after_line[length..framed_length] != LINE_END {
        return Err(CloseReason::Malformed);
    }
    Ok(Some(EventBody { bytes: &after_line[..length], framed_length }))
}

fn parse_event(words: &[&str], body: &[u8]) -> Result<NumberedEvent, CloseReason> {
    let unnumbered = |event| Ok(NumberedEvent { number: None, event });
    match *words {
        ["BOOTED", state @ ("COLD" | "WARM"), uptime_ms] => {
            let uptime_ms = non_negative(uptime_ms)?;
            unnumbered(ExecutorEvent::Started { cold_start: state == "COLD", uptime_ms })
        }
        ["REAP", number, id, status, _run_ms, _length] => {
            let status = run_status(status)?;
            let number = Some(parse(Some(number))?);
            let event = ExecutorEvent::RunEnded { id: id.to_owned(), status, result: body.to_vec() };
            Ok(NumberedEvent { number, event })
        }
        ["IOREQ", number, id, _length] => {
            let number = Some(parse(Some(number))?);
            let event = ExecutorEvent::CallRequested { id: id.to_owned(), body: body.to_vec() };
            Ok(NumberedEvent { number, event })
        }
        ["INFO", tag, ref values @ ..] => unnumbered(parse_gauges(tag, values)?),
        ["EINVAL", command, ref id @ ..] => {
            unnumbered(ExecutorEvent::CommandRefused { command: command_name(command), id: id.join(" ") })
        }
        ["DMESG", ref text @ ..] => {
            let number = parse(text.first().copied()).ok();
            Ok(NumberedEvent { number, event: ExecutorEvent::LogLine(text.join(" ")) })
        }
        _ => Err(CloseReason::Malformed),
    }
}

fn parse_gauges(tag: &str, values: &[&str]) -> Result<ExecutorEvent, CloseReason> {
    if let Some(link) = tag.strip_prefix(CATCH_UP_TAG) {
        return Ok(ExecutorEvent::CaughtUp { link: parse(Some(link))? });
    }
    let values = values.iter().map(|value| non_negative(value)).collect::<Result<_, _>>()?;
    Ok(ExecutorEvent::Gauges { number: parse(tag.strip_prefix(GAUGES_TAG))?, values })
}

fn run_status(word: &str) -> Result<RunStatus, CloseReason> {
    match word {
        "OK" => Ok(RunStatus::Succeeded),
        "ERROR" => Ok(RunStatus::Failed),
        "STOPPED" => Ok(RunStatus::Stopped),
        "MOOT" => Ok(RunStatus::NotStarted),
        _ => Err(CloseReason::Malformed),
    }
}

fn command_name(word: &str) -> CommandName {
    match word {
        "SCHED" => CommandName::Start,
        "RESCHED" => CommandName::Resume,
        _ => CommandName::Other(word.to_owned()),
    }
}

/// Parses a number that is finite and not negative.
fn non_negative(word: &str) -> Result<f64, CloseReason> {
    let value: f64 = parse(Some(word))?;
    let is_valid = value >= 0.0 && value.is_finite();
    is_valid.then_some(value).ok_or(CloseReason::Malformed)
}

fn parse<T: FromStr>(word: Option<&str>) -> Result<T, CloseReason> {
    word.and_then(|word| word.parse().ok()).ok_or(CloseReason::Malformed)
}
