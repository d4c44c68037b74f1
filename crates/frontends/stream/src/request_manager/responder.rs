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
        // For an admitted request that completed, the upstream's response has already gone to the client.
        if !(messages.admitted && matches!(response, FinalResponse::Completed(_))) {
            messages.response = Some(response);
            drop(messages);
            handle.wake_client();
        }
        true
    }

    fn log(&mut self, text: &str) {
        info!("{text}");
    }
}
