//! A minimal HTTP client for requests to a coordinator.

use lynxtally_messages::{decode, encode, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The timeout of a request for `/v1/state`.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request and returns the body of the response, whatever its status. An example of `method_and_path` is
/// `GET /v1/state`.
///
/// # Errors
/// The connection failed, or no complete response arrived within the timeout.
pub fn request(
    address: SocketAddr,
    method_and_path: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method_and_path} HTTP/1.1\r\nHost: coordinator\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let response = crate::relay::read_message(&mut BufReader::new(&stream))?;
    let head_end = response.windows(4).position(|four| four == b"\r\n\r\n");
    let head_end = head_end.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(response[head_end + 4..].to_vec())
}

/// Sends a message and decodes the response.
///
/// # Errors
/// The request failed, or the response can't be decoded.
pub fn post<T: Message, R: Message>(
    address: SocketAddr,
    path: &str,
    message: &T,
    timeout: Duration,
) -> io::Result<R> {
    let body = request(address, &format!("POST {path}"), &encode(message), timeout)?;
    decode(&body).map_err(io::Error::other)
}

/// Requests a coordinator's state report.
///
/// # Errors
/// The request failed, or the response is not JSON.
pub fn state(address: SocketAddr) -> io::Result<serde_json::Value> {
    let body = request(address, "GET /v1/state", b"", STATE_TIMEOUT)?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
