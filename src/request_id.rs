//! Maps the host's request names to small dense indices.

use std::collections::HashMap;

/// A request's index, assigned by a [`RequestIdTable`]. Indices are dense, so that a vector can hold state by index,
/// and are reused after [`Action::ReleaseId`](crate::Action::ReleaseId).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

#[derive(Debug, Default)]
struct Slot {
    assigned: bool,
    name: Option<String>,
}

/// Assigns indices to request names until the policy releases them.
///
/// ```
/// let mut ids = lynxtally::RequestIdTable::default();
/// let request = ids.assign("a1");
/// assert_eq!(ids.find("a1"), Some(request));
/// assert_eq!(ids.name(request), Some("a1"));
/// ids.release(request);
/// assert_eq!(ids.find("a1"), None);
/// let other = ids.assign_unnamed();
/// assert_eq!((other, ids.name(other)), (request, None));
/// ```
#[derive(Debug, Default)]
pub struct RequestIdTable {
    by_name: HashMap<String, RequestId>,
    slots: Vec<Slot>,
    free: Vec<RequestId>,
}

impl RequestIdTable {
    /// The index of this name; assigns one if it has none.
    pub fn assign(&mut self, name: &str) -> RequestId {
        if let Some(&request) = self.by_name.get(name) {
            return request;
        }
        let request = self.assign_unnamed();
        self.slots[request.0 as usize].name = Some(name.to_owned());
        self.by_name.insert(name.to_owned(), request);
        request
    }

    /// Assigns an index to a request without a name.
    pub fn assign_unnamed(&mut self) -> RequestId {
        let request = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot::default());
            RequestId(self.slots.len() as u32 - 1)
        });
        self.slots[request.0 as usize].assigned = true;
        request
    }

    /// The index of this name, if it has one.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.by_name.get(name).copied()
    }

    /// The name of this index, if it has one.
    pub fn name(&self, request: RequestId) -> Option<&str> {
        self.slots.get(request.0 as usize)?.name.as_deref()
    }

    /// Frees an index. The host calls it on [`Action::ReleaseId`](crate::Action::ReleaseId).
    pub fn release(&mut self, request: RequestId) {
        let Some(slot) = self.slots.get_mut(request.0 as usize) else { return };
        if let Some(name) = slot.name.take() {
            self.by_name.remove(&name);
        }
        if std::mem::take(&mut slot.assigned) {
            self.free.push(request);
        }
    }
}
