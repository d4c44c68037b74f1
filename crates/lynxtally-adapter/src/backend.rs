//! A simulated backend: its policy, and the translation between the simulator's protocol and the policy's events and
//! actions.

use crate::error::MessageError;
use crate::incoming::{ArrivedRequest, Incoming, Name, HAS_EXPECTED_WORK, IS_RETRY};
use crate::outgoing::Outgoing;
use lynxtally::{
    Action, Arrival, CallOutcome, Duplicate, Event, Gauges, Instant, Policy, RequestId, RequestIdTable,
    RunOutcome,
};
use lynxtally_settings::BackendSettings;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A backend of the simulated fleet.
pub struct Backend {
    ids: RequestIdTable,
    policy: Policy,
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    actions: Vec<Action>,
    /// The message of a panic in the policy. After a panic the policy gets no more events.
    panic: Option<String>,
    /// Whether the backend was started or got an event in the current batch, and has not decided yet.
    pub has_events: bool,
}

impl Backend {
    /// Starts a backend with these settings.
    pub fn start(settings: serde_json::Value, seed: u64, now: Instant) -> Result<Self, MessageError> {
        let read = lynxtally_settings::read(settings).map_err(MessageError::Settings)?;
        let BackendSettings { settings, class_names, tenant_names, .. } = read;
        Ok(Self {
            ids: RequestIdTable::default(),
            policy: Policy::new(settings, seed, now),
            class_names,
            tenant_names,
            actions: Vec::new(),
            panic: None,
            has_events: false,
        })
    }

    /// Passes one event to the policy.
    pub fn handle(&mut self, now: Instant, incoming: Incoming) -> Result<(), MessageError> {
        let event = self.event(incoming)?;
        if let (Some(event), None) = (event, &self.panic) {
            let policy = &mut self.policy;
            self.panic = panic_message(|| policy.handle(now, event));
        }
        Ok(())
    }

    /// The policy's event for a message. `None` if the message starts or stops a batch or a backend, or if it concerns a
    /// request whose id was released, because the event would have no effect.
    fn event(&mut self, incoming: Incoming) -> Result<Option<Event>, MessageError> {
        Ok(match incoming {
            Incoming::Arrived(arrived) => Some(Event::Arrived(self.arrival(&arrived)?)),
            Incoming::CallerGone { request, .. } => self.ids.find(&request).map(Event::CallerGone),
            Incoming::CallRequested { request, .. } => self.ids.find(&request).map(Event::CallRequested),
            Incoming::RunEnded { request, status, .. } => {
                let outcome = run_outcome(status)?;
                self.ids.find(&request).map(|request| Event::RunEnded(request, outcome))
            }
            Incoming::CallEnded { request, status, .. } => {
                let outcome = call_outcome(status)?;
                self.ids.find(&request).map(|request| Event::CallEnded(request, outcome))
            }
            Incoming::TimerFired { gauges, .. } => Some(Event::TimerFired(Gauges {
                cpu_utilization: gauges.cpu_utilization,
                open_connections: gauges.open_connections,
            })),
            Incoming::Drain { shutdown_deadline, .. } => Some(Event::Drain(shutdown_deadline.instant())),
            Incoming::BatchStart { .. }
            | Incoming::BatchEnd
            | Incoming::Start { .. }
            | Incoming::Stop { .. } => None,
        })
    }

    /// Makes the policy decide, and writes its actions.
    pub fn decide(
        &mut self,
        instance: u64,
        now: Instant,
        write: &mut impl FnMut(&Outgoing) -> io::Result<()>,
    ) -> io::Result<()> {
        let Self { policy, actions, .. } = self;
        if self.panic.is_none() {
            self.panic = panic_message(|| policy.decide(now, actions));
        }
        if let Some(panic) = &self.panic {
            return write(&Outgoing::InternalError { instance, panic });
        }
        for action in self.actions.drain(..) {
            if let Action::ReleaseId(request) = action {
                self.ids.release(request);
            } else if let Some(outgoing) = Outgoing::for_backend(instance, &action) {
                write(&outgoing)?;
            } else if let Some(name) = request_of(&action).and_then(|request| self.ids.name(request)) {
                if let Some(outgoing) = Outgoing::for_request(instance, &action, name) {
                    write(&outgoing)?;
                }
            }
        }
        Ok(())
    }

    fn arrival(&mut self, arrived: &ArrivedRequest) -> Result<Arrival, MessageError> {
        let class = index_of(&self.class_names, &arrived.class)
            .ok_or_else(|| MessageError::UnknownClass(arrived.class.clone()))?;
        let tenant = match arrived.tenant.as_ref().and_then(Name::given) {
            Some(name) => Some(
                index_of(&self.tenant_names, name)
                    .ok_or_else(|| MessageError::UnknownTenant(name.to_owned()))?,
            ),
            None => None,
        };
        if self.ids.find(&arrived.name).is_some() {
            return Err(MessageError::DuplicateName(arrived.name.clone()));
        }
        let duplicate = match arrived.duplicate_of.as_ref().and_then(Name::given) {
            None => Duplicate::No,
            Some(earlier) => self.ids.find(earlier).map_or(Duplicate::OfReleased, Duplicate::Of),
        };
        let has_expected_work = arrived.flags & HAS_EXPECTED_WORK != 0;
        let expected_work = arrived.expected_work.filter(|_| has_expected_work);
        let deadline = arrived.deadline.map(|deadline| deadline.instant());
        Ok(Arrival {
            request: self.ids.assign(&arrived.name),
            class,
            tenant,
            caller: arrived.caller,
            expected_work: expected_work.map(|work| work.span()),
            receive_delay: arrived.receive_delay.span(),
            deadline: deadline.filter(|&deadline| deadline > Instant::from_micros(0)),
            is_retry: arrived.flags & IS_RETRY != 0,
            duplicate,
            coalescable: arrived.coalescable_item.as_ref().is_some_and(|item| item.given().is_some()),
            memory_kb: arrived.memory_kb,
            prepaid: true,
        })
    }
}

fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Calls the policy and returns the message if it panics. Otherwise one faulty backend would end the process that runs
/// the whole fleet.
fn panic_message(run: impl FnOnce()) -> Option<String> {
    let panic = catch_unwind(AssertUnwindSafe(run)).err()?;
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    Some(
        text.or_else(|| panic.downcast_ref::<String>().cloned())
            .unwrap_or_else(|| "the policy panicked without a message".to_owned()),
    )
}

/// The request that an action concerns.
fn request_of(action: &Action) -> Option<RequestId> {
    match action {
        Action::Start(request)
        | Action::Stop(request)
        | Action::Fail(request)
        | Action::Degrade(request)
        | Action::Coalesce(request)
        | Action::RetainKey(request, _)
        | Action::ReleaseKey(request)
        | Action::Reject { request, .. }
        | Action::Call { request, .. } => Some(*request),
        _ => None,
    }
}

fn run_outcome(status: u64) -> Result<RunOutcome, MessageError> {
    match status {
        200 | 502 => Ok(RunOutcome::Responded),
        444 => Ok(RunOutcome::Cancelled),
        409 => Ok(RunOutcome::NotStarted),
        other => Err(MessageError::UnknownRunStatus(other)),
    }
}

fn call_outcome(status: u64) -> Result<CallOutcome, MessageError> {
    match status {
        200 => Ok(CallOutcome::Succeeded),
        429 | 521 | 409 => Ok(CallOutcome::NotExecuted),
        502 | 408 | 520 | 444 => Ok(CallOutcome::MaybeExecuted),
        other => Err(MessageError::UnknownCallStatus(other)),
    }
}
