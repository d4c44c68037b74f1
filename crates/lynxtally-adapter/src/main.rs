//! The bench's wire: JSON lines in, JSON lines out. Its names end here.

#![forbid(unsafe_code)]

mod backend;
mod wire;

use backend::Backend;
use lynxtally::Instant;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Incoming, Outgoing};

fn main() -> ExitCode {
    // A panic in the module is reported on the wire; its trace would only hide the message.
    std::panic::set_hook(Box::new(|_| {}));
    match carry(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lynxtally-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

/// Carries whole batches from the input to the backends and their actions to the output.
fn carry(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut backends: BTreeMap<u64, Backend> = BTreeMap::new();
    let mut touched: Vec<u64> = Vec::new();
    let mut clock = None;
    let mut line = Vec::new();
    let mut number = 0_u64;
    loop {
        line.clear();
        number += 1;
        if input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))? == 0 {
            return if clock.is_some() { Err("input ended inside a batch".into()) } else { Ok(()) };
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let at = |fault: String| format!("line {number}: {fault}");
        let incoming: Incoming =
            serde_json::from_slice(&line).map_err(|e| at(lynxtally_settings::plain(&e)))?;
        let now = match (&incoming, clock) {
            (Incoming::Frame { now }, None) => {
                clock = Some(now.instant());
                continue;
            }
            (Incoming::Frame { .. }, Some(_)) => return Err(at("a frame inside a batch".into())),
            (_, None) => return Err(at("an event outside a batch".into())),
            (_, Some(now)) => now,
        };
        match incoming {
            Incoming::Eob => {
                reply(&mut backends, &mut touched, now, &mut output)
                    .map_err(|e| format!("standard output: {e}"))?;
                clock = None;
            }
            Incoming::Retire { i } => {
                backends.remove(&i).ok_or_else(|| at(format!("instance {i} was never started")))?;
            }
            Incoming::Init { i, seed, settings } => {
                let mut backend = Backend::start(settings, seed, now).map_err(at)?;
                touch(&mut touched, i, &mut backend);
                backends.insert(i, backend);
            }
            other => {
                let i = other.instance();
                let backend =
                    backends.get_mut(&i).ok_or_else(|| at(format!("instance {i} was never started")))?;
                backend.take(now, other).map_err(at)?;
                touch(&mut touched, i, backend);
            }
        }
    }
}

/// Notes that a backend has to decide, once a batch however many backends there are.
fn touch(touched: &mut Vec<u64>, i: u64, backend: &mut Backend) {
    if !std::mem::replace(&mut backend.touched, true) {
        touched.push(i);
    }
}

/// Lets each backend that had an event decide, and writes the reply.
fn reply(
    backends: &mut BTreeMap<u64, Backend>,
    touched: &mut Vec<u64>,
    now: Instant,
    output: &mut impl Write,
) -> io::Result<()> {
    let mut write = |outgoing: &Outgoing| -> io::Result<()> {
        serde_json::to_writer(&mut *output, outgoing)?;
        output.write_all(b"\n")
    };
    for i in touched.drain(..) {
        // One that was stopped and started anew within the batch stands here twice, and decides once.
        let Some(backend) = backends.get_mut(&i) else { continue };
        if std::mem::take(&mut backend.touched) {
            backend.decide(i, now, &mut write)?;
        }
    }
    write(&Outgoing::Yield)?;
    output.flush()
}
