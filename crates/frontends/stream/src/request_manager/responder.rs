//! Delivery of final responses.

use super::RequestHandle;
use lynxtally_engine::{FinalResponse, Responder};
use lynxtally_net::sync::lock;
use std::sync::Arc;
use tracing::info;

/// Hands final responses to the coroutines of their requests.
pub struct ResponseDelivery;

impl Responder<Arc<RequestHandle>> for ResponseDelivery {
    fn respond(&mut self, handle: Arc<RequestHandle>, response: FinalResponse) -> bool {
        let mut messages = lock(&handle.messages);
        let is_own_run = messages.admitted && !messages.is_duplicate;
        let is_delivered = !messages.is_detached;
        // For the own run of an admitted request, the upstream's response has already gone to the client.
        if !(is_own_run && matches!(response, FinalResponse::Completed(_))) {
            messages.response = Some(response);
            drop(messages);
            handle.wake_client();
        }
        is_delivered
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}
