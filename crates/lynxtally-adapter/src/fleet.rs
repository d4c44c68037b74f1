//! The simulated fleet: reads the simulator's batches, passes each message to its backend, and writes the backends'
//! actions after each batch.

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
        let message = serde_json::from_slice(&line).map_err(MessageError::Json);
        let step = message.and_then(|incoming| fleet.handle(incoming));
        match step.map_err(|error| AdapterError::Line { number, error })? {
            Step::Continue => {}
            Step::EndBatch(now) => fleet.decide_pending(now, &mut output).map_err(AdapterError::Output)?,
        }
    }
}

/// What to do after a message.
enum Step {
    /// Read the next message.
    Continue,
    /// End the batch with this time: the backends decide.
    EndBatch(Instant),
}

/// The backends by instance number, and the current batch.
#[derive(Default)]
struct Fleet {
    backends: BTreeMap<u64, Backend>,
    /// Backends that were started or got an event in the current batch, in the order of the first message for each.
    pending: Vec<u64>,
    /// The time of the current batch; `None` between batches.
    batch_time: Option<Instant>,
}

impl Fleet {
    fn handle(&mut self, incoming: Incoming) -> Result<Step, MessageError> {
        let now = match (&incoming, self.batch_time) {
            (Incoming::BatchStart { now }, None) => {
                self.batch_time = Some(now.instant());
                return Ok(Step::Continue);
            }
            (Incoming::BatchStart { .. }, Some(_)) => return Err(MessageError::BatchInsideBatch),
            (_, None) => return Err(MessageError::EventOutsideBatch),
            (_, Some(now)) => now,
        };
        match incoming {
            // Unreachable: handled above.
            Incoming::BatchStart { .. } => {}
            Incoming::BatchEnd => {
                self.batch_time = None;
                return Ok(Step::EndBatch(now));
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
        Ok(Step::Continue)
    }

    fn handle_event(&mut self, instance: u64, now: Instant, event: Incoming) -> Result<(), MessageError> {
        let backend = self.backends.get_mut(&instance).ok_or(MessageError::UnknownInstance(instance))?;
        backend.handle(now, event)?;
        self.mark_pending(instance);
        Ok(())
    }

    /// Records that a backend has to decide at the end of the batch. It decides once, however many events it got.
    fn mark_pending(&mut self, instance: u64) {
        let Some(backend) = self.backends.get_mut(&instance) else { return };
        if !backend.has_events {
            backend.has_events = true;
            self.pending.push(instance);
        }
    }

    /// Makes each backend that was started or got an event decide, and ends the batch's output.
    fn decide_pending(&mut self, now: Instant, output: &mut impl Write) -> io::Result<()> {
        let mut write = |outgoing: &Outgoing| -> io::Result<()> {
            serde_json::to_writer(&mut *output, outgoing)?;
            output.write_all(b"\n")
        };
        for instance in self.pending.drain(..) {
            // A backend that was stopped and started again within the batch is listed twice, but decides only once.
            let Some(backend) = self.backends.get_mut(&instance) else { continue };
            if std::mem::take(&mut backend.has_events) {
                backend.decide(instance, now, &mut write)?;
            }
        }
        write(&Outgoing::BatchEnd)?;
        output.flush()
    }

    /// Handles the end of the input, which is valid only between batches.
    fn end(&self) -> Result<(), AdapterError> {
        match self.batch_time {
            Some(_) => Err(AdapterError::InputEndedInsideBatch),
            None => Ok(()),
        }
    }
}
