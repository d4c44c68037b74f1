//! The thread that sends requests to the coordinators, one at a time.

use lynxtally::Span;
use lynxtally_lease_client::OutgoingRequest;
use lynxtally_messages::{decode, encode, DecodeError, NodeRequest, NodeResponse, MAX_MESSAGE_BYTES};
use std::fmt;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;
use tracing::debug;

/// The handle to the sending thread. The thread ends when the handle is dropped.
pub struct RequestSender(Sender<OutgoingRequest>);

/// The reason why a request got no usable response.
enum SendError {
    /// The coordinator could not be reached or did not respond in time.
    Unreachable(ureq::Error),
    /// The response could not be decoded.
    Undecodable(DecodeError),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreachable(error) => error.fmt(f),
            Self::Undecodable(error) => error.fmt(f),
        }
    }
}

impl From<ureq::Error> for SendError {
    fn from(error: ureq::Error) -> Self {
        Self::Unreachable(error)
    }
}

impl RequestSender {
    /// Starts the thread. `on_response` is called once for each request, with the request's token and the response,
    /// or `None` if the request failed.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start(
        coordinators: Vec<SocketAddr>,
        response_timeout: Span,
        on_response: impl Fn(u64, Option<NodeResponse>) + Send + 'static,
    ) -> std::io::Result<Self> {
        let (sender, requests) = channel::<OutgoingRequest>();
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(Duration::from_micros(response_timeout.micros())))
            .http_status_as_error(false)
            .max_idle_connections(coordinators.len())
            .build()
            .into();
        thread::Builder::new().name("coordination".to_owned()).spawn(move || {
            while let Ok(outgoing) = requests.recv() {
                let Some(address) = coordinators.get(outgoing.coordinator) else { continue };
                let response = post(&agent, *address, &outgoing.request);
                if let Err(error) = &response {
                    debug!(coordinator = %address, %error, "request to a coordinator failed");
                }
                on_response(outgoing.token, response.ok());
            }
        })?;
        Ok(Self(sender))
    }

    /// Queues a request for the thread.
    pub fn send(&self, request: OutgoingRequest) {
        // Sending can't fail, as the thread keeps the receiver until this handle is dropped.
        let _ = self.0.send(request);
    }
}

fn post(agent: &ureq::Agent, address: SocketAddr, request: &NodeRequest) -> Result<NodeResponse, SendError> {
    let mut response = agent.post(format!("http://{address}/v1/say")).send(encode(request))?;
    let body = response.body_mut().with_config().limit(MAX_MESSAGE_BYTES as u64).read_to_vec()?;
    decode(&body).map_err(SendError::Undecodable)
}
