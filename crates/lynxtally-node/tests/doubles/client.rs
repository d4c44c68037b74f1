//! A client of a node, and functions that write its requests.

use super::TEST_TIMEOUT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// A client connection. The fake dependency uses it too, for its side of a connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Opens a new connection to a node.
    pub fn connect(node: SocketAddr) -> Self {
        Self::new(TcpStream::connect(node).expect("connect to the node"))
    }

    /// Wraps one end of an open connection.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set the timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        Self(BufReader::new(stream))
    }

    /// Writes a text to the connection.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("write to the connection");
    }

    /// Writes a text to a connection that may have ended. Returns whether the write succeeded.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Returns the underlying stream.
    pub fn stream(&mut self) -> &mut TcpStream {
        self.0.get_mut()
    }

    /// Waits for bytes or the end of the connection, and returns whether there are unread bytes.
    pub fn has_unread(&self) -> bool {
        self.0.get_ref().peek(&mut [0]).is_ok_and(|n| n > 0)
    }

    /// Closes the sending side. Responses can still be read.
    pub fn half_close(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).expect("close the sending side");
    }

    /// Reads to the end of the connection and returns the remaining bytes, or the error that broke the connection.
    pub fn read_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).map(|_| rest)
    }

    /// Reads the next message. Returns its head and body, or `None` if the connection ends first.
    pub fn message(&mut self) -> Option<(String, String)> {
        let (mut head, mut length) = (String::new(), 0);
        while !head.ends_with("\r\n\r\n") {
            let start = head.len();
            if self.0.read_line(&mut head).ok()? == 0 {
                return None;
            }
            if let Some(value) = head[start..].strip_prefix("Content-Length: ") {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).ok()?;
        Some((head, String::from_utf8(body).ok()?))
    }

    /// Reads the next response and returns its status and body.
    pub fn response(&mut self) -> (u16, String) {
        let (head, body) = self.message().expect("receive a response");
        (head[9..12].parse().expect("parse the status"), body)
    }
}

/// Returns a request of class `a` with this number as its id. The deadline of class `a` suffices on slow machines.
pub fn request(number: u64, body: &str) -> String {
    request_of_class("a", number, body)
}

/// Returns a request of the given class with this number as its id.
pub fn request_of_class(class: &str, number: u64, body: &str) -> String {
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("current time after 1970");
    format!(
        "POST /ops/{class} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {number:016x}\r\nX-Arrived-Ms: {}\r\n\
         X-Upstream-Peer: 1\r\nX-Need-Kb: 10.5\r\nX-Criticality: 0.5\r\nContent-Length: {}\r\n\r\n{body}",
        now.as_millis(),
        body.len()
    )
}

/// Returns the id of a request as the protocols write it.
pub fn id(number: u64) -> String {
    format!("{number:016x}")
}
