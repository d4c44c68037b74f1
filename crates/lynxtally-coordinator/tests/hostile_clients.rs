//! A coordinator whose port is reached by clients that are neither nodes nor coordinators.

mod support;

use lynxtally_fault_injection::http_client;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::Cluster;

/// A part of the longest message between coordinators.
const HALF_MESSAGE_BYTES: usize = 30 << 20;

/// Sends the beginning of a message on the path for other coordinators. Returns the connection, and the response if the
/// coordinator sends one within a short time.
fn send_half_message(to: SocketAddr) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(500))).expect("a timeout");
    let head = format!("POST /v1/raft/append HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", 32 << 20);
    stream.write_all(head.as_bytes()).expect("sent");
    for _ in 0..HALF_MESSAGE_BYTES >> 20 {
        // The coordinator may have refused the message already.
        if stream.write_all(&vec![b' '; 1 << 20]).is_err() {
            break;
        }
    }
    let mut response = [0; 64];
    let read = stream.read(&mut response).unwrap_or(0);
    (stream, String::from_utf8_lossy(&response[..read]).into_owned())
}

/// Clients stop in the middle of the longest messages. The coordinator kept all of them, 30 MB each, without end; only as
/// many as fit into its memory may be kept, and small requests are answered meanwhile.
#[test]
fn half_messages_are_refused_when_their_memory_is_full_and_small_requests_are_answered() {
    let cluster = Cluster::start(1);
    let address = cluster.addresses[0];
    let sent: Vec<(TcpStream, String)> = (0..4).map(|_| send_half_message(address)).collect();
    let refused = sent.iter().filter(|(_, response)| response.starts_with("HTTP/1.1 503")).count();
    assert!(refused >= 2, "{:?}", sent.iter().map(|(_, response)| response).collect::<Vec<_>>());
    assert!(http_client::state(address).is_ok(), "a small request is answered");
}
