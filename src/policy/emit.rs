//! Final answers, what callers are told, and the difference to what the host was told.

use super::*;

impl Policy {
    pub(super) fn reject(&mut self, task: RequestId, terminal: bool) {
        let hold_off = self.hold_off();
        self.end(task, Action::Reject { request: task, retry_after: hold_off, no_retry: terminal });
    }

    /// Gives a task its final answer. What runs and can't be stopped goes on using the machine.
    pub(super) fn end(&mut self, id: RequestId, answer: Action) {
        let task = self.inside(id);
        let effect_ran = task.ran && task.effect != Effect::Idempotent;
        task.answer.get_or_insert(if effect_ran { Action::Fail(id) } else { answer });
        let (place, customer) = (task.place, task.customer.take_if(|_| !task.ran));
        if let Some(c) = customer {
            self.sent[c] = (self.sent[c] - 1.0 / (self.mean_due * SENT_OVER)).max(0.0);
        }
        match place {
            Place::Held | Place::Reusing => self.moved(id, Place::Over),
            Place::Standing => self.moved(id, Place::Ending),
            Place::OnCores if self.set.stoppable => self.put(id, Place::Ending),
            _ => self.changed.push(id),
        }
    }

    /// The free value: how much should be sent here at all.
    pub(super) fn free(&self) -> Option<f64> {
        let mean = |of: fn(&Row) -> f64| self.rows.iter().map(of).sum::<f64>() / self.rows.len() as f64;
        let (cost, waits) = (mean(|r| r.cost).max(1e-6), mean(|r| r.waits));
        let narrow = ((cost + waits) * HELD_MORE).min(self.mean_due * FREE_STAY);
        let stay = if self.selective { self.mean_due * FREE_STAY * 2.0 } else { narrow };
        // Reading costs work whatever is decided: tasks that lay unread say that too much is sent here.
        // Should catch every cause of that; harms after a mere pause, for as long as callers heed.
        let least = if self.selective { CHOICE } else { 1.0 };
        let room = (self.cores / cost * stay).max(self.cores * least) * (1.0 - self.behind());
        let full = (self.load.out + self.hold.len() as f64) / room.max(1.0);
        match self.set.capacity_format {
            CapacityFormat::None => None,
            CapacityFormat::Threshold if self.kill.is_some() => Some(1.0),
            _ if self.kill.is_some() => Some(0.0),
            CapacityFormat::Threshold => Some(((full - 1.0) / 2.0).clamp(0.0, 0.5)),
            CapacityFormat::Weight => Some((1.5 - full).clamp(0.1, 1.0)),
            CapacityFormat::Credits => {
                // For each of as many as send alike; one at least: who sends nothing forgets it was told.
                Some(((room * self.likeness.alike * 4.0).round() / 4.0).max(1.0))
            }
        }
    }

    /// How long a rejected caller should keep away: till the line is worked off; not from what stands out.
    pub(super) fn hold_off(&mut self) -> Span {
        if self.kill.is_some() {
            return self.set.max_retry_after;
        }
        let line = if self.selective { 0.0 } else { self.held_cost / self.cores + self.unread };
        (Span::from_secs(line) * (0.5 + self.chance.unit())).min(self.set.max_retry_after)
    }

    pub(super) fn emit(&mut self, actions: &mut Vec<Action>) {
        let wanted = (Some(self.kill.is_none()), self.free());
        let told = std::mem::replace(&mut self.told, wanted);
        actions.extend(wanted.0.filter(|_| told.0 != wanted.0).map(Action::SetHealth));
        actions.extend(wanted.1.filter(|_| told.1 != wanted.1).map(Action::AdvertiseCapacity));
        for id in std::mem::take(&mut self.changed) {
            if self.task(id).is_some() {
                self.emit_task(id, actions);
            }
        }
        actions.extend(self.logs.drain(..).map(Action::Log));
        if std::mem::take(&mut self.timer_wanted) {
            actions.extend(
                self.close_idle.then(|| Action::CloseIdleConnections(Span::from_secs(self.idle_span))),
            );
            actions.push(Action::SetTimer(self.period));
        }
    }

    pub(super) fn emit_task(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (now, linger, task) = (self.now, self.linger, self.inside(id));
        let (told, place) = (std::mem::replace(&mut task.told, task.place), task.place);
        if let Some(until) = task.kept_until.filter(|_| !task.key_told && place != Place::Over) {
            task.key_told = true;
            actions.push(Action::RetainKey(id, until - now));
        }
        if let Some(answer) = task.answer.take_if(|_| task.owed) {
            task.owed = false;
            actions.push(answer);
        }
        match (told, place) {
            (Place::Held, Place::OnCores) => actions.push(Action::Start(id)),
            (Place::Held, Place::Reusing) => actions.push(Action::Coalesce(id)),
            (Place::Standing, Place::Calling) => {
                actions.push(Action::Call { request: id, timeout: task.call_over - now - linger })
            }
            (Place::Standing, Place::OnCores) => actions.push(Action::Degrade(id)),
            (Place::OnCores, Place::Ending) => actions.push(Action::Stop(id)),
            (_, Place::Over) => self.release(id, actions),
            _ => {}
        }
    }

    /// Frees the index of a task that is over, unless its key is still kept.
    pub(super) fn release(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (now, task) = (self.now, self.inside(id));
        if let Some(until) = task.kept_until.filter(|until| task.ran && *until > now) {
            return self.look_at(id, until);
        }
        let (look, listed, forget) =
            (task.look, task.listed, task.kept_until.is_some_and(|until| until > now && task.key_told));
        if forget {
            actions.push(Action::ReleaseKey(id));
        }
        self.reweigh(id, |task| task.kept_until = None);
        if listed {
            self.timed.remove(&(look, id));
        }
        self.tasks[id.0 as usize] = None;
        actions.push(Action::ReleaseId(id));
    }
}
