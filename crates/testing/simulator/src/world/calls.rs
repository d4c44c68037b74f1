//! Downstream calls between nodes and the dependency.

use super::{at, micros_of, Event, NodeLife, World, NONE};
use crate::cores::StartedCall;
use crate::violations::Violation;
use lynxtally::{CallOutcome, RequestId};
use std::collections::BTreeMap;

/// Who waits for a call.
#[derive(Clone, Copy, Debug)]
struct Caller {
    life: NodeLife,
    request: RequestId,
    /// The call's number on its node.
    number: u64,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(super) struct Calls {
    /// The dependency's number of a call, by node and the node's number.
    by_node: BTreeMap<(u16, u64), u32>,
    /// The callers by the dependency's number.
    callers: BTreeMap<u32, Caller>,
    /// The number of the newest check of the dependency; older ones are passed over.
    latest_check: u32,
}

impl Calls {
    pub fn is_latest_check(&self, number: u32) -> bool {
        self.latest_check == number
    }
}

impl World<'_> {
    /// Starts and cancels calls of a node.
    pub(super) fn update_calls(&mut self, n: u16, started: Vec<StartedCall>, cancelled: Vec<u64>) {
        let now = at(self.now);
        let life = NodeLife { node: n, incarnation: self.nodes[usize::from(n)].incarnation };
        if started.is_empty() && cancelled.is_empty() {
            return;
        }
        let Some(dependency) = self.dependency.as_mut() else { return };
        for StartedCall { request, number, work } in started {
            let call = dependency.call(now, work);
            self.calls.by_node.insert((n, number), call);
            self.calls.callers.insert(call, Caller { life, request, number });
        }
        for number in cancelled {
            let Some(call) = self.calls.by_node.remove(&(n, number)) else { continue };
            dependency.cancel(now, call);
            if let Some(Caller { life, request, number }) = self.calls.callers.remove(&call) {
                self.queue.push(self.now, Event::CallEnds { life, request, number, succeeded: false });
            }
        }
        self.check_dependency();
    }

    /// A node is dead: all its calls are cancelled.
    pub(super) fn cancel_calls_of(&mut self, n: u16) {
        let own = self.calls.by_node.range((n, 0)..=(n, u64::MAX));
        let numbers: Vec<u64> = own.map(|((_, number), _)| *number).collect();
        self.update_calls(n, Vec::new(), numbers);
    }

    /// Sends the ends of calls that are done back to their nodes, and checks the invariant.
    pub(super) fn check_dependency(&mut self) {
        let Some(dependency) = &mut self.dependency else { return };
        let done = dependency.take_done(at(self.now));
        let next = dependency.next_event();
        if dependency.is_overloaded() {
            self.violated(Violation::DependencyOverloaded, 0, NONE);
        }
        self.calls.latest_check += 1;
        if let Some(next) = next {
            let number = self.calls.latest_check;
            self.queue.push(micros_of(next).max(self.now + 1), Event::DependencyCheck { number });
        }
        for call in done {
            let Some(Caller { life, request, number }) = self.calls.callers.remove(&call) else { continue };
            self.calls.by_node.remove(&(life.node, number));
            let delay = self.link_delay();
            let event = Event::CallEnds { life, request, number, succeeded: true };
            self.queue.push(self.now + delay, event);
        }
    }

    /// The end of a call reaches its node.
    pub(super) fn call_ends(&mut self, life: NodeLife, request: RequestId, number: u64, succeeded: bool) {
        if !self.is_current(life) {
            return;
        }
        let now = at(self.now);
        let node = &mut self.nodes[usize::from(life.node)];
        node.cores.advance(now);
        let outcome = if succeeded { CallOutcome::Succeeded } else { CallOutcome::MaybeExecuted };
        // One that was cancelled with its run is not awaited any more.
        if node.engine.call_ended(now, request, number, outcome) {
            if succeeded {
                node.cores.resume(request);
            } else {
                node.cores.call_failed(request);
                if node.engine.reply_to(request).is_none() {
                    self.queue.push(self.now, Event::RunAbandoned { life, request });
                }
            }
        }
        self.turn(life.node);
    }
}
