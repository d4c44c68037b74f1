//! The HTTP client for requests to other coordinators.

use super::MAX_PEER_MESSAGE_BYTES;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::{connect::HttpConnector, Client};
use hyper_util::rt::TokioExecutor;
use std::fmt;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

/// Why a request failed.
#[derive(Debug)]
pub enum RequestError {
    /// The connection was refused, or it ended before the response was complete.
    Unreachable(String),
    /// The response did not arrive within the timeout.
    TimedOut,
    /// The response has a status other than 200.
    Rejected {
        /// The status of the response.
        status: StatusCode,
        /// The body of the response.
        body: String,
    },
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "connection failed: {reason}"),
            Self::TimedOut => f.write_str("no response within the timeout"),
            Self::Rejected { status, body } => write!(f, "response with status {status}: {body}"),
        }
    }
}

impl std::error::Error for RequestError {}

/// Sends a POST request and returns the body of the response.
///
/// # Errors
/// No complete response arrived within the timeout, or its status is not 200.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Bytes, RequestError> {
    let response = post_without_timeout(address, path, body);
    tokio::time::timeout(timeout, response).await.unwrap_or(Err(RequestError::TimedOut))
}

async fn post_without_timeout(address: SocketAddr, path: &str, body: Vec<u8>) -> Result<Bytes, RequestError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| unreachable(&error))?;
    let response = client().request(request).await.map_err(|error| unreachable(&error))?;
    let status = response.status();
    let limited = Limited::new(response.into_body(), MAX_PEER_MESSAGE_BYTES);
    let body = limited.collect().await.map_err(|error| unreachable(&error))?.to_bytes();
    if status == StatusCode::OK {
        return Ok(body);
    }
    Err(RequestError::Rejected { status, body: String::from_utf8_lossy(&body).into_owned() })
}

fn unreachable(error: &dyn fmt::Display) -> RequestError {
    RequestError::Unreachable(error.to_string())
}

/// The HTTP client that all requests share, so that they reuse connections.
fn client() -> &'static Client<HttpConnector, Full<Bytes>> {
    static CLIENT: OnceLock<Client<HttpConnector, Full<Bytes>>> = OnceLock::new();
    CLIENT.get_or_init(|| {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client::builder(TokioExecutor::new()).build(connector)
    })
}
