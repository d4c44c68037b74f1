//! A request, as shared by the manager and the request's coroutines.

use lynxtally::RequestId;
use lynxtally_engine::FinalResponse;
use lynxtally_net::sync::lock;
use may::io::WaitIoWaker;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Mutex;

/// Messages from the manager to the coroutines of a request.
#[derive(Default)]
pub struct ManagerMessages {
    /// The request was admitted.
    pub admitted: bool,
    /// The request is not run. Its body is received to compare the request with an earlier one.
    pub is_compared: bool,
    /// The request was admitted and turned out to be a duplicate: it gets the response to an earlier one.
    pub is_duplicate: bool,
    /// The client is gone, and the run of the request goes on without it.
    pub is_detached: bool,
    /// The final response, if it is not the upstream's.
    pub response: Option<FinalResponse>,
}

/// A request, as shared by the manager and the request's coroutines.
pub struct RequestHandle {
    pub(super) messages: Mutex<ManagerMessages>,
    pub(super) client_waker: WaitIoWaker,
    pub(super) id: AtomicU32,
    /// The run has ended, so the engine may have given the request's id to another request.
    pub(super) ended: AtomicBool,
    /// The index of the request class.
    pub class: usize,
}

impl RequestHandle {
    /// Creates the handle of a request that is not submitted yet; `client_waker` wakes the client's coroutine.
    pub fn new(class: usize, client_waker: WaitIoWaker) -> Self {
        Self {
            messages: Mutex::default(),
            client_waker,
            id: AtomicU32::new(u32::MAX),
            ended: AtomicBool::new(false),
            class,
        }
    }

    pub(super) fn id(&self) -> RequestId {
        RequestId(self.id.load(Ordering::Relaxed))
    }

    /// The request's id, while the request is admitted and its run has not ended.
    pub(super) fn running_id(&self) -> Option<RequestId> {
        (!self.ended.load(Ordering::Relaxed) && self.is_admitted()).then(|| self.id())
    }

    /// Whether the request was admitted.
    pub fn is_admitted(&self) -> bool {
        lock(&self.messages).admitted
    }

    /// Whether the request's body is received only to compare the request with an earlier one.
    pub fn is_compared(&self) -> bool {
        lock(&self.messages).is_compared
    }

    /// Records that the run goes on although the client is gone. Its response counts as undelivered.
    pub fn detach(&self) {
        lock(&self.messages).is_detached = true;
    }

    /// Takes the final response, if there is one that is not the upstream's.
    pub fn take_response(&self) -> Option<FinalResponse> {
        lock(&self.messages).response.take()
    }

    /// Whether a final response waits to be taken.
    pub fn has_response(&self) -> bool {
        lock(&self.messages).response.is_some()
    }

    /// Wakes the coroutine of the request's client.
    pub fn wake_client(&self) {
        self.client_waker.wakeup();
    }
}
