//! SLICE's selection, and the line of held tasks: who starts, who waits, who can't be in time.

use super::*;

impl Policy {
    /// The point of refusal: a held task that starts later than this is not expected to be in time.
    pub(super) fn refuse_at(&self, task: &Task) -> Instant {
        let crowd = ((self.load.on_cores + 1.0) / self.cores).max(1.0);
        // Behind a line at the calls the cores' work would be wasted: it counts as the line of the held does.
        let calls =
            if self.set.classes[task.stage].calls_downstream { self.standing.len() as f64 } else { 0.0 };
        let waits = self.rows[task.stage].waits + calls * self.call_time / self.window;
        task.wanted - Span::from_secs(self.cost(task.stage, task.basis) * crowd + waits)
    }

    /// Whether the demand of one more task fits under the learned throughput; the cores bound it from below.
    pub(super) fn fits(&self, demand: f64) -> bool {
        self.load.demand + demand <= self.throughput || self.load.on_cores < self.cores
    }

    /// The fourth rule: memory, and the crowd on the cores if all calls returned at once; less while cold.
    pub(super) fn survives(&self, kb: f64) -> bool {
        let age = (self.now - self.started) / self.set.warmup_time;
        let warm = if self.set.cold_start {
            (self.set.cold_capacity_fraction * (1.0 - age) + age).min(1.0)
        } else {
            1.0
        };
        let crowd = (1.0 + (self.set.max_running_per_core - 1.0) * warm) * self.cores;
        self.load.kb + kb * (self.set.running_memory_factor - 1.0) <= self.set.memory_kb * CEILING
            && self.load.out + 1.0 <= crowd * CEILING
    }

    /// SLICE's greedy selection: the highest rate first, until one no longer fits. Memory bounds the hold.
    pub(super) fn select(&mut self) {
        while let Some(&(_, id)) = self.hold.first() {
            let task = self.task(id).expect("held");
            // Where every held task finds a free core, a long shot costs nobody anything.
            let free = self.load.on_cores + self.hold.len() as f64 <= self.cores;
            if self.now >= if free { task.wanted } else { self.refuse_at(task) } {
                self.too_late(id, true);
                continue;
            }
            if !self.fits(task.demand) || !self.survives(task.kb) {
                break;
            }
            self.start(id);
        }
        while self.load.kb > self.set.memory_kb * CEILING {
            let Some(&(_, id)) = self.hold.last() else { break };
            self.reject(id, false);
        }
    }

    pub(super) fn start(&mut self, id: RequestId) {
        self.put(id, Place::OnCores);
        self.inside(id).ran = true;
        self.inside(id).began = self.now;
        self.look(id);
    }

    /// What stands behind a long line, or more than can be done in time, is rejected now, while another may
    /// be in time. Catches slow cores and backlogs of any cause; harms where the expected cost is too high.
    pub(super) fn judge_line(&mut self) {
        let (mut ahead, mut hopeless) = (0.0, Vec::new());
        for &(_, id) in &self.hold {
            let task = self.task(id).expect("held");
            let line = Span::from_secs(ahead / self.cores);
            if line.secs() > self.mean_due * LINE || self.now + line > self.refuse_at(task) {
                hopeless.push(id);
            } else {
                ahead += self.cost(task.stage, task.basis);
            }
        }
        self.held_cost = ahead;
        for id in hopeless {
            // Where reading is behind here it most likely is elsewhere: a try that walks on is read by each.
            // Should catch every jam of readings; harms where only this node is behind.
            let walked = self.task(id).is_some_and(|task| task.further);
            let terminal = self.selective || walked || self.chance.unit() < self.behind();
            self.too_late(id, terminal);
        }
    }

    /// A held task can't be in time: rejected or, where late answers earn a part, kept at a rate cut to it.
    pub(super) fn too_late(&mut self, id: RequestId, terminal: bool) {
        let task = self.task(id).expect("held");
        let part = self.set.classes[task.stage].late_utility_fraction;
        if part <= 0.0 || task.wanted >= task.limit {
            return self.reject(id, terminal);
        }
        self.cut_rate(id, part);
        self.inside(id).wanted = self.inside(id).limit;
        let at = self.refuse_at(self.task(id).expect("held"));
        self.look_at(id, at.max(self.now));
    }

    pub(super) fn cut_rate(&mut self, id: RequestId, part: f64) {
        let before = self.task(id).expect("held").rate;
        self.hold.remove(&(order(before), id));
        self.hold.insert((order(before * part), id));
        self.inside(id).rate = before * part;
    }

    pub(super) fn look(&mut self, id: RequestId) {
        let Some(task) = self.task(id) else { return };
        let refuse_at = self.refuse_at(task);
        let end_at = if self.set.stoppable { task.wanted } else { task.limit };
        match task.place {
            Place::Over => self.changed.push(id),
            // What was held long may come late and waste its run: of tasks alike the fresh one goes first.
            // Should catch any long hold; harms where costs never stray.
            Place::Held if refuse_at > self.now => {
                if !std::mem::replace(&mut self.inside(id).doubtful, true) {
                    self.cut_rate(id, 0.5);
                }
                self.look_at(id, refuse_at);
            }
            Place::Held => self.too_late(id, true),
            Place::Standing => self.leave_out(id),
            _ if self.now < end_at => self.look_at(id, end_at),
            _ => self.end(id, Action::Fail(id)),
        }
    }
}
