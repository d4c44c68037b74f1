//! The door: a host's own task names become small indices here, and only here.

use crate::interface::TaskId;
use std::collections::HashMap;

/// Gives each task's name a small index, and takes it back when the module releases it.
///
/// ```
/// let mut door = lynxtally::Door::default();
/// let task = door.enter("a1");
/// assert_eq!(door.find("a1"), Some(task));
/// assert_eq!(door.name(task), Some("a1"));
/// door.leave(task);
/// assert_eq!(door.find("a1"), None);
/// let other = door.seat();
/// assert_eq!((other, door.name(other)), (task, None));
/// ```
#[derive(Debug, Default)]
pub struct Door {
    by_name: HashMap<String, TaskId>,
    /// Of each index: whether it is taken, and its name, where it has one.
    names: Vec<(bool, Option<String>)>,
    free: Vec<TaskId>,
}

impl Door {
    /// The index of a name, a new one if it has none yet.
    pub fn enter(&mut self, name: &str) -> TaskId {
        if let Some(&task) = self.by_name.get(name) {
            return task;
        }
        let task = self.seat();
        self.names[task.0 as usize].1 = Some(name.to_owned());
        self.by_name.insert(name.to_owned(), task);
        task
    }

    /// An index for a task that nobody will name.
    pub fn seat(&mut self) -> TaskId {
        let task = self.free.pop().unwrap_or_else(|| {
            self.names.push((false, None));
            TaskId(self.names.len() as u32 - 1)
        });
        self.names[task.0 as usize].0 = true;
        task
    }

    /// The index of a name that is inside.
    pub fn find(&self, name: &str) -> Option<TaskId> {
        self.by_name.get(name).copied()
    }

    /// The name behind an index.
    pub fn name(&self, task: TaskId) -> Option<&str> {
        self.names.get(task.0 as usize)?.1.as_deref()
    }

    /// Frees an index, to be called on [`Action::Release`](crate::Action::Release).
    pub fn leave(&mut self, task: TaskId) {
        let Some((taken, name)) = self.names.get_mut(task.0 as usize) else { return };
        if let Some(name) = name.take() {
            self.by_name.remove(&name);
        }
        if std::mem::take(taken) {
            self.free.push(task);
        }
    }
}
