//! One backend: its door, its policy, and the translation between wire and interface.

use crate::wire::{Inbound, Incoming, Outgoing};
use lynxtally::*;
use lynxtally_settings::Declared;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

pub struct Backend {
    door: RequestIdTable,
    policy: Policy,
    stages: Vec<String>,
    customers: Vec<String>,
    actions: Vec<Action>,
    broken: Option<String>,
    /// Whether it had an event in this batch and has not decided yet.
    pub touched: bool,
}

impl Backend {
    pub fn start(settings: serde_json::Value, seed: u64, now: Instant) -> Result<Self, String> {
        let read = lynxtally_settings::read(settings).map_err(|fault| format!("settings: {fault}"))?;
        let Declared { settings, stages, customers, .. } = read;
        Ok(Self {
            door: RequestIdTable::default(),
            policy: Policy::new(settings, seed, now),
            stages,
            customers,
            actions: Vec::new(),
            broken: None,
            touched: false,
        })
    }

    /// Passes one event to the policy. A task that has no index any more is over: nothing follows.
    pub fn take(&mut self, now: Instant, incoming: Incoming) -> Result<(), String> {
        let event = match incoming {
            Incoming::Inbound(inbound) => Some(Event::Arrived(self.arrival(&inbound)?)),
            Incoming::Abandoned { xid, .. } => self.door.find(&xid).map(Event::CallerGone),
            Incoming::NeedsDep { xid, .. } => self.door.find(&xid).map(Event::CallRequested),
            Incoming::Result { xid, status, .. } => {
                let outcome = run_outcome(status)?;
                self.door.find(&xid).map(|task| Event::RunEnded(task, outcome))
            }
            Incoming::Called { xid, status, .. } => {
                let outcome = call_outcome(status)?;
                self.door.find(&xid).map(|task| Event::CallEnded(task, outcome))
            }
            Incoming::Fired { stats, .. } => Some(Event::TimerFired(Gauges {
                cpu_utilization: stats.cpu_busy,
                open_connections: stats.sockets,
            })),
            Incoming::Quiesce { kill, .. } => Some(Event::Drain(kill.instant())),
            Incoming::Frame { .. } | Incoming::Eob | Incoming::Init { .. } | Incoming::Retire { .. } => None,
        };
        if let (Some(event), None) = (event, &self.broken) {
            let policy = &mut self.policy;
            self.broken = guarded(|| policy.handle(now, event));
        }
        Ok(())
    }

    /// Lets the policy decide and writes its actions.
    pub fn decide(
        &mut self,
        i: u64,
        now: Instant,
        write: &mut impl FnMut(&Outgoing) -> io::Result<()>,
    ) -> io::Result<()> {
        let Self { policy, actions, .. } = self;
        if self.broken.is_none() {
            self.broken = guarded(|| policy.decide(now, actions));
        }
        if let Some(msg) = &self.broken {
            return write(&Outgoing::InternalError { i, msg });
        }
        for action in self.actions.drain(..) {
            if let Action::ReleaseId(task) = action {
                self.door.release(task);
            } else if let Some(outgoing) = Outgoing::for_backend(i, &action) {
                write(&outgoing)?;
            } else if let Some(xid) = subject(&action).and_then(|task| self.door.name(task)) {
                if let Some(outgoing) = Outgoing::for_task(i, &action, xid) {
                    write(&outgoing)?;
                }
            }
        }
        Ok(())
    }

    fn arrival(&mut self, inbound: &Inbound) -> Result<Arrival, String> {
        let known = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let stage = known(&self.stages, &inbound.profile).ok_or_else(|| {
            format!("field `profile`: no class named {:?} in the settings", inbound.profile)
        })?;
        let customer =
            match inbound.client_group.as_ref().and_then(|name| name.given()) {
                Some(name) => Some(known(&self.customers, name).ok_or_else(|| {
                    format!("field `client-group`: no tenant named {name:?} in the settings")
                })?),
                None => None,
            };
        if self.door.find(&inbound.xid).is_some() {
            return Err(format!("field `xid`: {:?} came twice", inbound.xid));
        }
        let repeat = match inbound.earlier.as_ref().and_then(|name| name.given()) {
            None => Duplicate::No,
            Some(earlier) => self.door.find(earlier).map_or(Duplicate::OfReleased, Duplicate::Of),
        };
        const HINTED: u64 = 1;
        const FURTHER: u64 = 2;
        Ok(Arrival {
            request: self.door.assign(&inbound.xid),
            class: stage,
            tenant: customer,
            caller: inbound.by,
            expected_work: inbound.effort_ms.filter(|_| inbound.opts & HINTED != 0).map(|ms| ms.span()),
            receive_delay: inbound.lay_ms.span(),
            deadline: inbound.not_after_ms.map(|ms| ms.instant()).filter(|&at| at > Instant::from_micros(0)),
            is_retry: inbound.opts & FURTHER != 0,
            duplicate: repeat,
            coalescable: inbound.item.as_ref().is_some_and(|item| item.given().is_some()),
            memory_kb: inbound.footprint,
            prepaid: true,
        })
    }
}

/// Runs a piece of the module; a panic comes back as its message.
fn guarded(run: impl FnOnce()) -> Option<String> {
    let panic = catch_unwind(AssertUnwindSafe(run)).err()?;
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    Some(text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "a panic".to_owned()))
}

/// The task that an action concerns.
fn subject(action: &Action) -> Option<RequestId> {
    use Action::*;
    match action {
        Start(task)
        | Stop(task)
        | Fail(task)
        | Degrade(task)
        | Coalesce(task)
        | RetainKey(task, _)
        | ReleaseKey(task) => Some(*task),
        Reject { request: task, .. } | Call { request: task, .. } => Some(*task),
        _ => None,
    }
}

fn run_outcome(status: u64) -> Result<RunOutcome, String> {
    match status {
        200 | 502 => Ok(RunOutcome::Responded),
        444 => Ok(RunOutcome::Cancelled),
        409 => Ok(RunOutcome::NotStarted),
        other => Err(format!("field `status`: {other} is no outcome of a run")),
    }
}

fn call_outcome(status: u64) -> Result<CallOutcome, String> {
    match status {
        200 => Ok(CallOutcome::Succeeded),
        429 | 521 | 409 => Ok(CallOutcome::NotExecuted),
        502 | 408 | 520 | 444 => Ok(CallOutcome::MaybeExecuted),
        other => Err(format!("field `status`: {other} is no outcome of a call")),
    }
}
