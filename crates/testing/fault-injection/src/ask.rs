//! Questions to a keeper over HTTP, by hand.

use lynxtally_messages::{decode, encode, Message};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Sends a head and a body and returns the body that comes back.
///
/// # Errors
/// Nobody is there, or nothing whole came in time.
pub fn ask(at: SocketAddr, line: &str, body: &[u8], patience: Duration) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&at, patience)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{line} HTTP/1.1\r\nHost: keeper\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let answer = crate::relay::message(&mut BufReader::new(&stream))?;
    let end = answer.windows(4).position(|four| four == b"\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(answer[end + 4..].to_vec())
}

/// Sends a message and reads the reply.
///
/// # Errors
/// Nobody is there, or what came back is no reply.
pub fn post<T: Message, A: Message>(
    at: SocketAddr,
    path: &str,
    message: &T,
    patience: Duration,
) -> io::Result<A> {
    let body = ask(at, &format!("POST {path}"), &encode(message), patience)?;
    decode(&body).map_err(io::Error::other)
}

/// How a keeper sees the register.
///
/// # Errors
/// Nobody is there, or what came back is no JSON.
pub fn state(at: SocketAddr) -> io::Result<serde_json::Value> {
    let body = ask(at, "GET /v1/state", b"", Duration::from_secs(2))?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}
