//! Requests to a coordinator over HTTP, by hand.

use lynxtally_messages::{decode, encode, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long `/v1/state` is waited for.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request and returns the body of the response. `method_and_path` is such as `GET /v1/state`.
///
/// # Errors
/// Nobody is there, or nothing whole came in time.
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
/// Nobody is there, or what came back can't be decoded.
pub fn post<T: Message, R: Message>(
    address: SocketAddr,
    path: &str,
    message: &T,
    timeout: Duration,
) -> io::Result<R> {
    let body = request(address, &format!("POST {path}"), &encode(message), timeout)?;
    decode(&body).map_err(io::Error::other)
}

/// The state as a coordinator reports it.
///
/// # Errors
/// Nobody is there, or what came back is no JSON.
pub fn state(address: SocketAddr) -> io::Result<serde_json::Value> {
    let body = request(address, "GET /v1/state", b"", STATE_TIMEOUT)?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
