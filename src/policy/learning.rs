//! What is learned: costs and waits of stages, throughput, callers, unread time, what customers send.

use super::*;

impl Policy {
    pub(super) fn cost(&self, stage: usize, basis: f64) -> f64 {
        basis * self.rows[stage].cost / self.rows[stage].basis
    }

    /// The paper's demand: expected cost over due time, in cores. One due time for all, the mean, as nothing
    /// paces a run: what may take longer demands the cores no less. Harms where runs are paced.
    pub(super) fn demand(&self, stage: usize, basis: f64) -> f64 {
        (self.cost(stage, basis) / self.mean_due.max(1e-3)).max(1e-9)
    }

    /// The part of its utility that a customer's task is expected to keep. Beyond a share it has no mark;
    /// the chance of being within is the quota here over what the customer sends here and is not rejected.
    pub(super) fn expected_part(&mut self, customer: usize) -> f64 {
        let quota = self.quotas[customer];
        self.sent[customer] += 1.0 / (self.mean_due * SENT_OVER);
        let within = (quota / self.sent[customer]).min(1.0);
        within + (1.0 - within) * self.set.over_quota_utility_fraction
    }

    /// Learns from a run that ended what its stage costs; huge ones are clipped.
    pub(super) fn learn_cost(&mut self, id: RequestId) {
        let task = self.task(id).expect("just ended");
        let (stage, basis, worked) = (task.stage, task.basis, task.worked);
        let waits = ((self.now - task.began).secs() - worked).max(0.0);
        let seen = worked.min(self.cost(stage, basis) * COST_CLIP);
        let row = &mut self.rows[stage];
        let gain = if row.seen { GAIN } else { 0.5 };
        row.cost += (seen - row.cost) * gain;
        row.basis += (basis - row.basis) * gain;
        row.waits += (waits - row.waits) * gain;
        row.seen = true;
    }

    /// Learns the throughput while the cores are full: the demand of as many such tasks as have a core each.
    pub(super) fn learn_throughput(&mut self, demand: f64) {
        let (set, tasks) = (self.load.demand + demand, self.load.on_cores + 1.0);
        if tasks >= self.cores && !self.idle {
            self.throughput += (set * self.cores / tasks - self.throughput) * GAIN;
        }
    }

    pub(super) fn timer(&mut self, gauges: Gauges) {
        self.timer_wanted = true;
        // A full table of connections keeps callers out. In overload no rejection is cheaper; where cores
        // have room, those that carry nothing go. Harms where a new connection is dear.
        self.busy += (gauges.cpu_utilization.unwrap_or(1.0) - self.busy) * PERIOD / 3.0;
        let (open, crowd) =
            (gauges.open_connections.unwrap_or(0.0), self.set.max_running_per_core * self.cores);
        self.close_idle = self.busy < ROOM && open > crowd * FAR && f64::from(self.set.callers) > open * FAR;
        // The longest at rest go first, no more than it takes: all at once would be back at once, each at the
        // cost of a new connection. Harms where the room is needed at once.
        let longest = self.set.client_idle_timeout.secs().max(self.mean_due);
        let toward = if self.close_idle { self.mean_due } else { longest };
        self.idle_span += (toward - self.idle_span) * PERIOD;
        if self.load.on_cores < self.cores {
            return self.full_since = None;
        }
        let since = *self.full_since.get_or_insert(self.now);
        self.idle = gauges.cpu_utilization.is_some_and(|busy| busy < IDLE) && self.now - since > GAUGE_SPAN;
        // The idle-room exception: the gauge shows free cores though the set is full, so the best held task
        // starts without the fit test, and the learned throughput rises to what now runs.
        let Some(&(_, id)) = self.hold.first().filter(|_| self.idle) else { return };
        if self.survives(self.task(id).expect("held").kb) {
            self.full_since = Some(self.now);
            self.start(id);
            self.throughput = self.throughput.max(self.load.demand);
        }
    }

    /// How far reading is behind, from 0 to 1, by the time that tasks lay unread.
    pub(super) fn behind(&self) -> f64 {
        (self.unread / (self.mean_due * UNREAD_SHARE)).min(1.0)
    }
}
