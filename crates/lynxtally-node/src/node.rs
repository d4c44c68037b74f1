//! One node from its start to its end: makes the parts, joins them, and waits for the owner.

use crate::config::Config;
use crate::counters::Counters;
use crate::downstream::Ledger;
use crate::event_loop::{Owner, Parts};
use crate::executor_link::{self as kernel, Orders};
use crate::health_reports::{self as control, Reporter, State};
use crate::http::Names;
use crate::listener::{self as accept, Entrance};
use crate::messages::{Heard, Said};
use crate::response::Standing;
use crate::shares::{Carrier, Shares};
use lynxtally_net::coroutine::spawn;
use lynxtally_net::coroutine::{catch_panic, Panic};
use lynxtally_net::timer::Timer;
use may::sync::mpsc::{channel, Receiver, Sender};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook::iterator::Signals;
use std::io::Write;
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tracing::error;

/// The owner runs the module; the other parts need less.
const OWNER_STACK_WORDS: usize = 0x8000;
const STACK_WORDS: usize = 0x2000;
/// Prepared coroutines, and how long the event loop sleeps where nothing is due.
const PREPARED: usize = 32;
const SLEEP_AT_MOST: Duration = Duration::from_secs(10);
/// After the last message the connections get so long to write it.
const LAST_WORDS: Duration = Duration::from_millis(20);

/// Sets the coroutines up: one worker, as there is one core, and bound to none, as others share it.
pub fn prepare() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(PREPARED);
    may::config().set_worker_pin(false);
    may::config().set_timeout_ns(SLEEP_AT_MOST.as_nanos() as u64);
}

/// Serves until the notice to leave has been followed; `read` reads the configuration anew where that is asked
/// for. An error is one line for the person who started it.
pub fn serve(
    config: Config,
    read: impl Fn() -> Result<Config, String> + Send + 'static,
) -> Result<(), String> {
    // Before anybody can connect: a notice that comes between the two would end the program at once.
    let signals = Signals::new([SIGHUP, SIGTERM, SIGUSR1])
        .map_err(|fault| format!("signals can't be listened to: {fault}"))?;
    let listener = accept::listen(config.listen)
        .map_err(|fault| format!("`listen`: {} can't be listened on: {fault}", config.listen))?;
    let names = Names::of(&config.declared);
    let counters = Arc::new(Counters::new(&names.stages));
    let standing = Arc::new(Standing::default());
    let (owner, heard) = channel();
    let alarm = Timer::start().map_err(|fault| format!("a thread can't be started: {fault}"))?;
    let entrance = Arc::new(Entrance::new(
        config.bounds(),
        names,
        standing.clone(),
        alarm.clone(),
        owner.clone(),
        counters.clone(),
    ));
    let ledger = Arc::new(Ledger::new(config.ledger, owner.clone(), counters.clone()));
    let orders = Arc::new(Orders::new(config.kernel));
    let (states, reports) = channel();

    heed_signals(signals, owner.clone(), counters.clone(), read);
    let (ended, end) = mpsc::channel();
    let part = |name: &'static str, ended: mpsc::Sender<bool>| {
        move |panic: Panic| {
            error!(part = name, %panic, "a part of the node failed");
            // The receiver waits for as long as the program runs.
            let _ = ended.send(false);
        }
    };
    let started = |fault: std::io::Error| format!("a coroutine can't be started: {fault}");
    {
        let entrance = entrance.clone();
        spawn(STACK_WORDS, move || entrance.accept(listener), part("accept", ended.clone()))
            .map_err(started)?;
        let (counters, orders, owner) = (counters.clone(), orders.clone(), owner.clone());
        let alarm = alarm.clone();
        let link = move || kernel::hold(&orders, &owner, &alarm, &counters);
        spawn(STACK_WORDS, link, part("kernel", ended.clone())).map_err(started)?;
    }
    {
        let (name, at, counters) = (config.name.clone(), config.control, counters.clone());
        let (again, alarm) = (states.clone(), alarm.clone());
        // The time to the next report starts now.
        let _ = again.send(State::Again);
        let report = move || control::report(&name, at, &reports, &again, &alarm, &counters);
        spawn(STACK_WORDS, report, part("control", ended.clone())).map_err(started)?;
    }
    let shares = match config.shares.clone() {
        None => None,
        Some(settings) => {
            let owner = owner.clone();
            let told = move |token, reply| {
                // Nobody hears it only where the program ends.
                let _ = owner.send(Heard::Keeper(Said { token, reply }));
            };
            let carrier = Carrier::start(settings.keepers.clone(), settings.patience, told)
                .map_err(|fault| format!("a thread can't be started: {fault}"))?;
            Some(Shares::new(&config.name, settings, config.seed, carrier))
        }
    };
    let reporter = Reporter::new(states);
    let parts = Parts {
        alarm,
        owner,
        reporter,
        kernel: orders,
        ledger,
        entrance,
        standing,
        counters: counters.clone(),
        shares,
    };
    let work = move || own(config, parts, &heard, &ended);
    let failed = |panic: Panic| error!(%panic, "the owner failed as it gave up");
    spawn(OWNER_STACK_WORDS, work, failed).map_err(started)?;

    let well = end.recv().unwrap_or(false);
    thread::sleep(LAST_WORDS);
    print(&counters);
    if well {
        Ok(())
    } else {
        Err("a part of the node failed; the log says why".to_owned())
    }
}

/// The owner's work from the start to the end; `ended` hears whether it ended well. If it fails, what is open
/// is answered all the same.
pub fn own(config: Config, parts: Parts, heard: &Receiver<Heard>, ended: &mpsc::Sender<bool>) {
    let mut owner = Owner::new(config, parts);
    let worked = catch_panic(|| owner.work(heard));
    if let Err(panic) = &worked {
        error!(%panic, "the owner failed; every open task is answered that it failed");
        owner.give_up();
    }
    // The receiver waits for as long as the program runs.
    let _ = ended.send(worked.is_ok());
}

/// Prints the counters; that nobody reads them does no harm.
fn print(counters: &Counters) {
    let _ = writeln!(std::io::stdout(), "{}", counters.line());
}

/// SIGTERM is the notice to leave, SIGHUP asks for the configuration to be read anew, SIGUSR1 for the counters.
fn heed_signals(
    mut signals: Signals,
    owner: Sender<Heard>,
    counters: Arc<Counters>,
    read: impl Fn() -> Result<Config, String> + Send + 'static,
) {
    thread::spawn(move || {
        for signal in signals.forever() {
            let heard = match signal {
                SIGTERM => Heard::Leave,
                SIGHUP => match read() {
                    Ok(config) => Heard::Configured(Box::new(config)),
                    Err(fault) => {
                        error!(fault, "the new configuration can't be used; the old one stays in force");
                        continue;
                    }
                },
                _ => {
                    print(&counters);
                    continue;
                }
            };
            if owner.send(heard).is_err() {
                return;
            }
        }
    });
}
