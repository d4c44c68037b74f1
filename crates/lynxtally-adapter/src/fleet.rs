//! The backends of the simulated fleet: takes the simulator's batches, and answers each once all of it is read.

use crate::backend::Backend;
use crate::error::{AdapterError, MessageError};
use crate::incoming::Incoming;
use crate::outgoing::Outgoing;
use lynxtally::Instant;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

/// Passes batches from the input to the backends and their actions to the output, until the input ends.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut fleet = Fleet::default();
    let mut line = Vec::new();
    let mut number = 0_u64;
    loop {
        line.clear();
        number += 1;
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Input)? == 0 {
            return fleet.end();
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let read = serde_json::from_slice(&line).map_err(MessageError::Json);
        let step = read.and_then(|incoming| fleet.handle(incoming));
        match step.map_err(|error| AdapterError::Line { number, error })? {
            Step::Read => {}
            Step::Answer(now) => fleet.answer(now, &mut output).map_err(AdapterError::Output)?,
        }
    }
}

/// What follows a message.
enum Step {
    /// The next one is read.
    Read,
    /// The batch is over, and is to be answered.
    Answer(Instant),
}

/// The backends by number, and the batch under way.
#[derive(Default)]
struct Fleet {
    backends: BTreeMap<u64, Backend>,
    /// Backends that had an event in this batch, in the order of their first.
    pending: Vec<u64>,
    /// The time of the batch under way.
    batch_time: Option<Instant>,
}

impl Fleet {
    fn handle(&mut self, incoming: Incoming) -> Result<Step, MessageError> {
        let now = match (&incoming, self.batch_time) {
            (Incoming::BatchStart { now }, None) => {
                self.batch_time = Some(now.instant());
                return Ok(Step::Read);
            }
            (Incoming::BatchStart { .. }, Some(_)) => return Err(MessageError::BatchInsideBatch),
            (_, None) => return Err(MessageError::EventOutsideBatch),
            (_, Some(now)) => now,
        };
        match incoming {
            // Matched above.
            Incoming::BatchStart { .. } => {}
            Incoming::BatchEnd => {
                self.batch_time = None;
                return Ok(Step::Answer(now));
            }
            Incoming::Stop { instance } => {
                self.backends.remove(&instance).ok_or(MessageError::UnknownInstance(instance))?;
            }
            Incoming::Start { instance, seed, settings } => {
                self.backends.insert(instance, Backend::start(settings, seed, now)?);
                self.mark_pending(instance);
            }
            Incoming::Arrived(ref arrived) => self.handle_event(arrived.instance, now, incoming)?,
            Incoming::CallerGone { instance, .. }
            | Incoming::CallRequested { instance, .. }
            | Incoming::RunEnded { instance, .. }
            | Incoming::CallEnded { instance, .. }
            | Incoming::TimerFired { instance, .. }
            | Incoming::Drain { instance, .. } => self.handle_event(instance, now, incoming)?,
        }
        Ok(Step::Read)
    }

    fn handle_event(&mut self, instance: u64, now: Instant, event: Incoming) -> Result<(), MessageError> {
        let backend = self.backends.get_mut(&instance).ok_or(MessageError::UnknownInstance(instance))?;
        backend.handle(now, event)?;
        self.mark_pending(instance);
        Ok(())
    }

    /// Notes that a backend has to decide, once a batch however many events it had.
    fn mark_pending(&mut self, instance: u64) {
        let Some(backend) = self.backends.get_mut(&instance) else { return };
        if !backend.has_events {
            backend.has_events = true;
            self.pending.push(instance);
        }
    }

    /// Has each backend that had an event decide, and writes the answer to the batch.
    fn answer(&mut self, now: Instant, output: &mut impl Write) -> io::Result<()> {
        let mut write = |outgoing: &Outgoing| -> io::Result<()> {
            serde_json::to_writer(&mut *output, outgoing)?;
            output.write_all(b"\n")
        };
        for instance in self.pending.drain(..) {
            // One that was stopped and started anew within the batch stands here twice, and decides once.
            let Some(backend) = self.backends.get_mut(&instance) else { continue };
            if std::mem::take(&mut backend.has_events) {
                backend.decide(instance, now, &mut write)?;
            }
        }
        write(&Outgoing::BatchEnd)?;
        output.flush()
    }

    /// The input ended, which is well between batches only.
    fn end(&self) -> Result<(), AdapterError> {
        match self.batch_time {
            Some(_) => Err(AdapterError::InputEndedInsideBatch),
            None => Ok(()),
        }
    }
}
