//! Writes responses to clients as HTTP/1.1.

use lynxtally::Span;
use lynxtally_engine::FinalResponse;
use std::io::Write;

const RETRY_AFTER_MS: &str = "X-Pushback-Ms";
const NO_RETRY: &str = "X-Stop-Trying";
const CAPACITY: &str = "X-Backend-Says";

/// The headers that every response on a connection carries, independent of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseContext {
    /// The capacity to advertise; `None` before the scheduler has computed one.
    pub capacity: Option<f64>,
    /// Whether the connection is closed after this response.
    pub closes_connection: bool,
}

/// The HTTP status of a final response.
pub fn status(response: &FinalResponse) -> u16 {
    match response {
        FinalResponse::Completed(_) => 200,
        FinalResponse::Rejected { .. } => 503,
        FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => 500,
    }
}

/// Writes the final response to a request.
pub fn write(out: &mut Vec<u8>, response: &FinalResponse, context: ResponseContext) {
    let (reason, body): (&str, &[u8]) = match response {
        FinalResponse::Completed(result) => ("OK", result),
        FinalResponse::Rejected { .. } => ("Service Unavailable", b""),
        FinalResponse::Failed | FinalResponse::WithoutResult | FinalResponse::KeyConflict => {
            ("Internal Server Error", b"")
        }
    };
    write_head(out, status(response), reason, body.len(), context);
    if let FinalResponse::Rejected { retry_after, no_retry } = response {
        if *retry_after > Span::ZERO {
            write_line(out, format_args!("{RETRY_AFTER_MS}: {}", retry_after.micros().div_ceil(1000)));
        }
        if *no_retry {
            write_line(out, format_args!("{NO_RETRY}: 1"));
        }
    }
    end_head(out);
    out.extend_from_slice(body);
}

/// Writes the response to a message that can't be parsed or is not accepted. The status gives the reason.
pub fn write_parse_error(out: &mut Vec<u8>, status: u16, context: ResponseContext) {
    write_head(out, status, "Unfit", 0, context);
    end_head(out);
}

/// Writes the response to a health check.
pub fn write_health(out: &mut Vec<u8>, is_healthy: bool, context: ResponseContext) {
    let (status, reason) = if is_healthy { (200, "OK") } else { (503, "Service Unavailable") };
    write_head(out, status, reason, 0, context);
    end_head(out);
}

fn write_head(out: &mut Vec<u8>, status: u16, reason: &str, length: usize, context: ResponseContext) {
    write_line(out, format_args!("HTTP/1.1 {status} {reason}"));
    write_line(out, format_args!("Content-Length: {length}"));
    if let Some(capacity) = context.capacity {
        write_line(out, format_args!("{CAPACITY}: {capacity}"));
    }
    if context.closes_connection {
        write_line(out, format_args!("Connection: close"));
    }
}

fn end_head(out: &mut Vec<u8>) {
    out.extend_from_slice(b"\r\n");
}

fn write_line(out: &mut Vec<u8>, text: std::fmt::Arguments) {
    // Writing to a vector never fails.
    let _ = write!(out, "{text}\r\n");
}
