//! Calls below: which goes, and for how long it is waited for.

use super::*;

impl Policy {
    pub(super) fn call_room(&self, id: RequestId) -> Span {
        let task = self.task(id).expect("at a call");
        let until =
            if self.set.classes[task.stage].late_utility_fraction > 0.0 { task.limit } else { task.wanted };
        until - self.now
    }

    /// How long a call is waited for. One never replied to would hold its run and a place in the window
    /// for all the time left. Catches lost and endless replies; harms where calls suddenly take far longer.
    pub(super) fn time_out(&self, id: RequestId) -> Span {
        let (task, room) = (self.task(id).expect("at a call"), self.call_room(id));
        let usual = Span::from_secs(self.call_time * CALL_SLOW * f64::from(2 << task.call_tries));
        let again = task.effect == Effect::Idempotent && task.call_tries + 1 < CALL_TRIES;
        room.min(if again && usual > Span::ZERO { usual.max(self.period) } else { room })
    }

    pub(super) fn stand(&mut self, id: RequestId) {
        self.wanted += 1;
        self.moved(id, Place::Standing);
        self.look_at(id, self.now + self.call_room(id));
    }

    pub(super) fn call_ended(&mut self, id: RequestId, outcome: CallOutcome) {
        let (now, task) = (self.now, self.inside(id));
        if task.place != Place::Calling {
            return;
        }
        task.call_tries += u32::from(outcome != CallOutcome::NotExecuted);
        let (took, owed) = (now - task.called, task.owed);
        let harmless = task.effect == Effect::Idempotent || outcome == CallOutcome::NotExecuted;
        let again = harmless && task.call_tries < CALL_TRIES;
        if outcome == CallOutcome::Succeeded {
            task.call_tries = 0;
            self.window += 1.0 / self.window;
            self.call_time += (took.secs() - self.call_time) * if self.call_time > 0.0 { GAIN } else { 1.0 };
            return self.moved(id, Place::OnCores);
        }
        // A time-out that the task's own haste made short says nothing of what lies below.
        let crowded = outcome == CallOutcome::NotExecuted || took.secs() > self.call_time * CALL_SLOW;
        if crowded && now - self.window_cut > took {
            self.window = (self.window * WINDOW_CUT).max(1.0);
            self.window_cut = now;
        }
        if outcome == CallOutcome::MaybeExecuted {
            self.linger();
            let gain = if self.call_time > 0.0 { GAIN } else { 1.0 };
            self.call_time += (took.secs() - self.call_time).max(0.0) * gain;
        } else if self.window <= 1.0 && matches!(self.set.downstream, Downstream::Shared { .. }) {
            // The one dependency takes no calls: they are tried one a period, not as fast as it rejects them.
            self.calls_from = now + self.period;
        }
        self.stand(id);
        if !owed {
            self.moved(id, Place::Ending);
        } else if !again {
            self.leave_out(id);
        }
    }

    /// Lets calls go, the highest rate first, as far as the window and the shared dependency allow.
    pub(super) fn let_calls_go(&mut self) {
        // A grant holds at each moment, and so for the mean over any span, here and summed over all nodes.
        let (most, lingering) = match self.grant {
            Some((calls, _)) => (calls as f64, self.given_up.after(self.now) as f64),
            None => (self.share.max(1.0), self.lingering),
        };
        while let Some(&(_, id)) = self.standing.first().filter(|_| self.now >= self.calls_from) {
            let full = self.load.calling + lingering >= most;
            if full || self.load.calling + 1.0 > self.window.min(most) {
                break;
            }
            let Some(time_out) = self.call_time_out(id) else { break };
            let (now, over) = (self.now, self.now + time_out + self.linger);
            (self.inside(id).called, self.inside(id).call_over) = (now, over);
            self.made += 1;
            self.put(id, Place::Calling);
        }
    }

    /// A call was given up: until the dependency lets go of it, it counts, here and where the rule counts.
    pub(super) fn linger(&mut self) {
        self.lingering += 1.0;
        self.given_up.add(self.now + self.linger);
        self.called.add(self.now, self.linger.secs());
        self.called_fast += self.linger.secs();
    }

    /// The time-out of a call that goes now; none where it has to wait. The rule counts the plain mean of
    /// calls in hand over a span. What was in hand over the last one, and what is now, each to its last
    /// moment after being given up, stay under this node's share of it: so the mean does whatever becomes of
    /// the dependency, and the sum over all nodes does while each does so. Should catch any slowing of it for
    /// all at once, also in the middle of calls; harms where a call would have come back just past a cut
    /// time-out.
    pub(super) fn call_time_out(&mut self, id: RequestId) -> Option<Span> {
        let wish = self.time_out(id);
        if let Some((_, longest)) = self.grant {
            return Some(wish.min(longest - self.linger));
        }
        let Downstream::Shared { averaging_window: over, .. } = self.set.downstream else {
            return Some(wish);
        };
        let unseen = self.call_time <= 0.0;
        let usual = if unseen { self.mean_due * COST_UNSEEN } else { self.call_time * CALL_ROOM };
        let need = wish.min(Span::from_secs(usual).max(self.period)).secs();
        let most = self.share * over.secs();
        let ahead = self.load.calls_over - self.load.calling * (self.now - self.started).secs();
        let one = self.linger.secs() + need;
        let spent = self.called.sum(self.now) + ahead;
        // What all spend at once as a dependency slows crowds it, and is missing to all for the rest of the
        // span.
        let fast = self.called_fast + ahead + one <= (most * CALLS_AT_ONCE).max(one);
        // A share that no call fits in lets one out when nothing was for a whole span.
        let room = if spent > 0.0 { most - spent } else { (most - spent).max(one) };
        (fast && room >= one).then(|| wish.min(Span::from_secs(room) - self.linger))
    }

    /// A call that can't be had is left out where the stage allows it; else the task is settled.
    pub(super) fn leave_out(&mut self, id: RequestId) {
        if self.set.classes[self.task(id).expect("at a call").stage].degraded_utility_fraction > 0.0 {
            self.put(id, Place::OnCores);
            self.look(id);
        } else {
            self.end(id, Action::Fail(id));
        }
    }
}
