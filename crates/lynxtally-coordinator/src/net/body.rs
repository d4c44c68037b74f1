//! Reads the bodies of requests within limits of length, time and memory.

use super::connections::ConnectionHandle;
use axum::body::{Body, Bytes};
use axum::extract::Request;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use http_body_util::BodyExt;
use lynxtally_net::memory_account::{Charge, OutOfMemory};
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// The time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The charge for a body is a multiple of this, so that not each part of it changes the account.
const CHARGE_STEP_BYTES: usize = 4 * 1024;

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLong,
    /// It did not arrive in time.
    TimedOut,
    /// The connections hold as much memory as they may.
    OutOfMemory,
    /// The connection ended, or the body is malformed.
    Unreadable(axum::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("the message is too long"),
            Self::TimedOut => f.write_str("the message did not arrive in time"),
            Self::OutOfMemory => f.write_str("too many large messages at the same time; try again"),
            Self::Unreadable(error) => write!(f, "the message can't be read: {error}"),
        }
    }
}

impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        let status = match self {
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unreadable(_) => StatusCode::BAD_REQUEST,
        };
        // The rest of the body is not read, so nothing more can be read on the connection.
        (status, [("connection", "close")], self.to_string()).into_response()
    }
}

/// A body that was read, and the memory that it is charged for.
pub struct ReceivedBody {
    bytes: Bytes,
    charge: Charge,
}

impl ReceivedBody {
    /// Reads the body of a request, of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Why it was not read.
    pub async fn read(request: Request, max_bytes: usize) -> Result<Self, BodyError> {
        let handle = request.extensions().get::<ConnectionHandle>().cloned();
        // Each connection gets a handle when it is accepted.
        let handle = handle.ok_or(BodyError::OutOfMemory)?;
        let reading = read_parts(request.into_body(), max_bytes, handle.memory.charge());
        tokio::time::timeout(BODY_TIMEOUT, reading).await.map_err(|_| BodyError::TimedOut)?
    }

    /// Calls `handle` with the body, which stays charged until its result is there.
    pub async fn handle<R, F: Future<Output = R>>(self, handle: impl FnOnce(Bytes) -> F) -> R {
        let Self { bytes, charge } = self;
        let result = handle(bytes).await;
        drop(charge);
        result
    }
}

async fn read_parts(mut body: Body, max_bytes: usize, mut charge: Charge) -> Result<ReceivedBody, BodyError> {
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Unreadable)?.into_data() else { continue };
        let length = received.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        if length > received.capacity() {
            // Doubles the buffer, so that the copies cost little, and charges it before it is allocated. The old buffer
            // is freed only after the copy.
            let capacity = length.max(2 * received.capacity()).next_multiple_of(CHARGE_STEP_BYTES);
            let with_copy = received.capacity() + capacity;
            charge.resize(with_copy).map_err(|OutOfMemory| BodyError::OutOfMemory)?;
            received.reserve_exact(capacity - received.len());
            // Reducing a charge can't be refused.
            let _ = charge.resize(capacity);
        }
        received.extend_from_slice(&data);
    }
    Ok(ReceivedBody { bytes: received.into(), charge })
}
