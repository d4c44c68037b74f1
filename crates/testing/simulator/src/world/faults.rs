//! The steps of the scenario's script.

use super::{at, Event, NodeLife, World};
use crate::scenario::{Fault, FaultStep};
use lynxtally::Span;

impl World<'_> {
    /// A step of the script happens.
    pub(super) fn fault(&mut self, step: usize) {
        let FaultStep { first_node, node_count, fault, .. } = self.scenario.faults[step];
        if let (Fault::SlowDependency(speed), Some(dependency)) = (fault, &mut self.dependency) {
            dependency.set_speed(at(self.now), speed);
            return self.check_dependency();
        }
        for n in first_node..(first_node + node_count).min(self.nodes.len()) {
            self.fault_on_node(n, fault);
        }
    }

    fn fault_on_node(&mut self, n: usize, fault: Fault) {
        let number = n as u16;
        match fault {
            Fault::Crash => self.crash(number),
            Fault::Restart => {
                if !self.nodes[n].up {
                    self.nodes[n] = self.new_node(n, self.nodes[n].incarnation + 1, true);
                    self.turn(number);
                }
            }
            Fault::Slow(speed) => {
                let node = &mut self.nodes[n];
                node.cores.advance(at(self.now));
                node.cores.speed = speed;
                if node.up {
                    self.turn(number);
                }
            }
            Fault::Drain(time_left) => self.drain(number, time_left),
            Fault::DropIncoming => self.nodes[n].drops_incoming = true,
            Fault::DropOutgoing => self.nodes[n].drops_outgoing = true,
            Fault::HealLinks => {
                self.nodes[n].drops_incoming = false;
                self.nodes[n].drops_outgoing = false;
            }
            // It happens to the dependency, see above.
            Fault::SlowDependency(_) => {}
        }
    }

    /// A graceful shutdown begins.
    fn drain(&mut self, n: u16, time_left: Span) {
        let now = at(self.now);
        let grace_until = self.now + self.scenario.settings.drain_grace.micros();
        let node = &mut self.nodes[usize::from(n)];
        if node.up && node.engine.begin_drain(now, time_left) {
            node.grace_until = Some(grace_until);
            let life = NodeLife { node: n, incarnation: node.incarnation };
            self.queue.push(self.now + time_left.micros(), Event::Shutdown(life));
            self.turn(n);
        }
    }
}
