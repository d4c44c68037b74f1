//! A server: listeners, the front behind them, and how it leaves.

use crate::front::Front;
use crate::owner::Owner;
use crate::settings::Checked;
use crate::upload_archive::UploadArchive;
use lynxtally::{Instant, Policy, Span};
use lynxtally_engine::Scheduler;
use lynxtally_net::clock::Clock;
use lynxtally_net::coroutine::spawn;
use lynxtally_net::fair_yield::FairYield;
use lynxtally_net::listener::listen;
use lynxtally_net::timer::Timer;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;
use std::time::Duration;
use tracing::error;

const STACK_WORDS: usize = 0x10000;
/// How often connections are swept and the leaving is looked at.
const SWEEP: Duration = Duration::from_millis(100);
/// Every so many times it looks for uploads that nobody goes on with.
const AGED: u64 = 100;
/// While it leaves it looks more often.
const LEAVING: Duration = Duration::from_millis(10);
/// The owner is told that the kill comes after this part of the time: the rest is for the last words to go out.
const TOLD: f64 = 0.95;

/// What a server is told.
pub enum Heard {
    /// The notice to leave.
    Leave,
    /// The counters are asked for.
    Counters(Sender<String>),
}

/// How a server's serving ended.
pub struct Ended {
    /// All counters as one line of JSON.
    pub counters: String,
    /// Whether each stream read got one answer.
    pub adds_up: bool,
}

/// A server that listens already.
pub struct Running {
    /// What to say to it.
    pub ear: Sender<Heard>,
    /// Where it listens, in the order of the settings.
    pub listen: Vec<SocketAddr>,
    /// How it ended.
    pub end: Receiver<Ended>,
}

/// The module, as a stream server has it.
pub fn module(settings: &Checked, now: Instant) -> Policy {
    Policy::new(settings.policy.clone(), rand::rng().random(), now)
}

/// Starts a server; an error is one line. `decide` makes what decides.
pub fn start<P: Scheduler + Send + 'static>(
    settings: Checked,
    decide: impl FnOnce(&Checked, Instant) -> P,
) -> Result<Running, String> {
    // One worker carries all streams: it is fed by what comes, and the copying is the work.
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    let now = Clock::default().now();
    let alarm = Timer::start().map_err(|fault| format!("a thread can't be started: {fault}"))?;
    let turnstile = FairYield::start().map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    let owner = Owner::new(&settings, now, decide(&settings, now), rand::rng().random());
    let (stop, at) = (settings.stop, settings.listen.clone());
    let archive = settings
        .state
        .as_ref()
        .map(|path| UploadArchive::open(path, settings.uploads))
        .transpose()
        .map_err(|error| error.to_string())?;
    let front = Front::new(settings, owner, alarm, turnstile, archive);
    let mut listening = Vec::new();
    for at in at {
        let listener = listen(at).map_err(|fault| format!("`listen`: {at}: {fault}"))?;
        listening.push(listener.local_addr().map_err(|fault| format!("`listen`: {at}: {fault}"))?);
        let all = front.clone();
        let take = move || all.gate.accept(listener, |stream, from| all.take(stream, from));
        spawn(STACK_WORDS, take, |panic| error!(%panic, "no connections are taken any more"))
            .map_err(|fault| format!("a coroutine can't be started: {fault}"))?;
    }
    front.turn();
    let (ear, heard) = mpsc::channel();
    let (ended, end) = mpsc::channel();
    let work = move || {
        watch(&front, &heard, stop);
        front.gate.close();
        front.sweep(true);
        let (counters, tally) = front.with(|owner, _| (owner.counters().to_string(), owner.tally()));
        // Who started it may be gone.
        let _ = ended.send(Ended { counters, adds_up: tally.is_consistent() && tally.in_flight == 0 });
    };
    std::thread::Builder::new()
        .name("streams".to_owned())
        .spawn(work)
        .map_err(|fault| format!("a thread can't be started: {fault}"))?;
    Ok(Running { ear, listen: listening, end })
}

/// Sweeps, until the notice to leave was given and all is answered. Until then all that comes is still read and
/// answered: nobody who came to a listening server is left without a word.
fn watch<P: Scheduler + Send + 'static>(front: &Arc<Front<P>>, heard: &Receiver<Heard>, stop: Duration) {
    let stop = Span::from_micros(stop.as_micros() as u64) * TOLD;
    let (mut gone, mut wait, mut turns) = (false, SWEEP, 0_u64);
    loop {
        match heard.recv_timeout(wait) {
            Ok(Heard::Leave) => {
                front.with(|owner, now| owner.leave(now, stop));
            }
            Ok(Heard::Counters(to)) => {
                // Who asked may be gone.
                let _ = to.send(front.with(|owner, _| owner.counters().to_string()));
            }
            Err(RecvTimeoutError::Disconnected) if !std::mem::replace(&mut gone, true) => {
                front.with(|owner, now| owner.leave(now, stop));
            }
            Err(RecvTimeoutError::Disconnected) => std::thread::sleep(wait),
            Err(RecvTimeoutError::Timeout) => {}
        }
        let (kill, open, now) = front.with(|owner, now| (owner.kill(), owner.tally().in_flight, now));
        front.sweep(kill.is_some());
        turns += 1;
        if let Some(archive) = front.archive.as_ref().filter(|_| turns % AGED == 0) {
            archive.remove_expired();
        }
        if let Some(kill) = kill {
            wait = LEAVING;
            if open == 0 || now >= kill {
                return;
            }
        }
    }
}
