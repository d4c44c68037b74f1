//! Injection of faults into the simulation: their effects when they begin and when they end.

use super::scenario::{FaultKind, ScheduledFault};
use super::simulation::Simulation;

impl Simulation<'_> {
    pub(super) fn begin_fault(&mut self, fault: ScheduledFault) {
        match fault.kind {
            FaultKind::Partition { node, requests, responses } => {
                let node = &mut self.nodes[node];
                if requests {
                    node.requests_cut_until = node.requests_cut_until.max(fault.until_us);
                }
                if responses {
                    node.responses_cut_until = node.responses_cut_until.max(fault.until_us);
                }
            }
            FaultKind::Pause { node } => {
                self.nodes[node].paused_until = self.nodes[node].paused_until.max(fault.until_us);
            }
            FaultKind::Kill { node } => self.kill(node),
            FaultKind::Leave { node } => {
                if let Some(process) = &mut self.nodes[node].process {
                    process.leaving = true;
                    process.client.leave();
                }
                self.step_node(node);
            }
            FaultKind::LoseLeader | FaultKind::StopCoordinators => {
                self.coordinators.lose_leader(&mut self.random);
            }
            FaultKind::DropMessages(probability) => self.loss_probability = probability,
            FaultKind::KillMany(percent) => self.first_nodes(percent).for_each(|node| self.kill(node)),
        }
    }

    pub(super) fn end_fault(&mut self, fault: ScheduledFault) {
        match fault.kind {
            FaultKind::Partition { .. } => {}
            FaultKind::Pause { node } => self.step_node(node),
            FaultKind::Kill { node } => self.start_if_not_running(node),
            FaultKind::Leave { node } => {
                self.kill(node);
                self.start_if_not_running(node);
            }
            FaultKind::LoseLeader | FaultKind::StopCoordinators => self.coordinators.elect_leader(),
            FaultKind::DropMessages(_) => self.loss_probability = 0.0,
            FaultKind::KillMany(percent) => {
                self.first_nodes(percent).for_each(|node| self.start_if_not_running(node));
            }
        }
    }

    /// Indexes of the first `percent` percent of the nodes.
    fn first_nodes(&self, percent: usize) -> std::ops::Range<usize> {
        0..self.scenario.nodes * percent / 100
    }

    /// Kills the process of a node. Incrementing the process number makes the node ignore responses to the old process.
    fn kill(&mut self, node: usize) {
        self.nodes[node].process = None;
        self.nodes[node].process_number += 1;
    }

    /// Starts a process on the node if none is running.
    fn start_if_not_running(&mut self, node: usize) {
        if self.nodes[node].process.is_none() {
            self.start(node);
        }
    }
}
