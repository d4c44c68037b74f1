//! Injection of the faults of the scenario's fault script.

use super::{instant_of, Event, NodeInstance, World};
use crate::scenario::{Fault, FaultStep};
use lynxtally::Span;

impl World<'_> {
    /// Injects the fault of a step of the fault script.
    pub(super) fn inject_fault(&mut self, step: usize) {
        let FaultStep { first_node, node_count, fault, .. } = self.scenario.faults[step];
        if let (Fault::SlowDependency(speed), Some(dependency)) = (fault, &mut self.dependency) {
            dependency.set_speed(instant_of(self.now), speed);
            return self.check_dependency();
        }
        for n in first_node..(first_node + node_count).min(self.nodes.len()) {
            self.inject_node_fault(n, fault);
        }
    }

    fn inject_node_fault(&mut self, n: usize, fault: Fault) {
        let number = n as u16;
        match fault {
            Fault::Crash => self.crash(number),
            Fault::Restart => {
                if !self.nodes[n].up {
                    self.nodes[n] = self.new_node(n, self.nodes[n].incarnation + 1, true);
                    self.drive_node(number);
                }
            }
            Fault::Slow(speed) => {
                let node = &mut self.nodes[n];
                node.cores.advance(instant_of(self.now));
                node.cores.speed = speed;
                if node.up {
                    self.drive_node(number);
                }
            }
            Fault::Drain(time_left) => self.drain(number, time_left),
            Fault::DropIncoming => self.nodes[n].drops_incoming = true,
            Fault::DropOutgoing => self.nodes[n].drops_outgoing = true,
            Fault::HealLinks => {
                self.nodes[n].drops_incoming = false;
                self.nodes[n].drops_outgoing = false;
            }
            // Handled by the caller, because it affects the dependency instead of a node.
            Fault::SlowDependency(_) => {}
        }
    }

    /// Begins a graceful shutdown of a node that is up and isn't draining yet.
    fn drain(&mut self, n: u16, time_left: Span) {
        let now = instant_of(self.now);
        let grace_until = self.now + self.scenario.settings.drain_grace.micros();
        let node = &mut self.nodes[usize::from(n)];
        if node.up && node.engine.begin_drain(now, time_left) {
            node.grace_until = Some(grace_until);
            let instance = NodeInstance { node: n, incarnation: node.incarnation };
            self.queue.push(self.now + time_left.micros(), Event::Shutdown(instance));
            self.drive_node(n);
        }
    }
}
