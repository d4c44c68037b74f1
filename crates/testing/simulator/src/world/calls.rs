//! Downstream calls between nodes and the dependency.

use super::{instant_of, micros_of, Event, NodeInstance, World, NO_ID};
use crate::cores::StartedCall;
use crate::violations::Violation;
use lynxtally::{CallOutcome, RequestId};
use std::collections::BTreeMap;

/// The request that waits for a call.
#[derive(Clone, Copy, Debug)]
struct Caller {
    instance: NodeInstance,
    request: RequestId,
    /// Number of the call, unique on its node.
    number: u64,
}

/// Calls in flight, with the mapping between the nodes' and the dependency's call numbers.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// The dependency's number of each call, by node and the node's number of the call.
    by_node: BTreeMap<(u16, u64), u32>,
    /// The caller of each call, by the dependency's number of the call.
    callers: BTreeMap<u32, Caller>,
    /// Number of the newest scheduled check of the dependency. Checks with an older number are ignored.
    latest_check: u32,
}

impl Calls {
    pub fn is_latest_check(&self, number: u32) -> bool {
        self.latest_check == number
    }
}

impl World<'_> {
    /// Starts and cancels calls of a node at the dependency.
    pub(super) fn update_calls(&mut self, n: u16, started: Vec<StartedCall>, cancelled: Vec<u64>) {
        let now = instant_of(self.now);
        let instance = NodeInstance { node: n, incarnation: self.nodes[usize::from(n)].incarnation };
        if started.is_empty() && cancelled.is_empty() {
            return;
        }
        let Some(dependency) = self.dependency.as_mut() else { return };
        for StartedCall { request, number, work } in started {
            let call = dependency.call(now, work);
            self.calls.by_node.insert((n, number), call);
            self.calls.callers.insert(call, Caller { instance, request, number });
        }
        for number in cancelled {
            let Some(call) = self.calls.by_node.remove(&(n, number)) else { continue };
            dependency.cancel(now, call);
            if let Some(Caller { instance, request, number }) = self.calls.callers.remove(&call) {
                self.queue.push(self.now, Event::CallEnds { instance, request, number, succeeded: false });
            }
        }
        self.check_dependency();
    }

    /// Cancels all calls of a node that goes down.
    pub(super) fn cancel_calls_of(&mut self, n: u16) {
        let own = self.calls.by_node.range((n, 0)..=(n, u64::MAX));
        let numbers: Vec<u64> = own.map(|((_, number), _)| *number).collect();
        self.update_calls(n, Vec::new(), numbers);
    }

    /// Notifies the nodes of the calls that are done, records a violation if the dependency is overloaded, and schedules the
    /// next check.
    pub(super) fn check_dependency(&mut self) {
        let Some(dependency) = &mut self.dependency else { return };
        let done = dependency.take_done(instant_of(self.now));
        let next = dependency.next_event();
        if dependency.is_overloaded() {
            self.record_violation(Violation::DependencyOverloaded, 0, NO_ID);
        }
        self.calls.latest_check += 1;
        if let Some(next) = next {
            let number = self.calls.latest_check;
            self.queue.push(micros_of(next).max(self.now + 1), Event::DependencyCheck { number });
        }
        for call in done {
            let Some(Caller { instance, request, number }) = self.calls.callers.remove(&call) else {
                continue;
            };
            self.calls.by_node.remove(&(instance.node, number));
            let delay = self.link_delay();
            let event = Event::CallEnds { instance, request, number, succeeded: true };
            self.queue.push(self.now + delay, event);
        }
    }

    /// Handles the arrival of the end of a call at its node.
    pub(super) fn call_ends(
        &mut self,
        instance: NodeInstance,
        request: RequestId,
        number: u64,
        succeeded: bool,
    ) {
        if !self.is_current(instance) {
            return;
        }
        let now = instant_of(self.now);
        let node = &mut self.nodes[usize::from(instance.node)];
        node.cores.advance(now);
        let outcome = if succeeded { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
        // The engine returns false if the call was cancelled together with its run; then nothing waits for it.
        if node.engine.call_ended(now, request, number, outcome) {
            if succeeded {
                node.cores.resume(request);
            } else {
                node.cores.call_failed(request);
                if node.engine.reply_to(request).is_none() {
                    self.queue.push(self.now, Event::RunAbandoned { instance, request });
                }
            }
        }
        self.drive_node(instance.node);
    }
}
