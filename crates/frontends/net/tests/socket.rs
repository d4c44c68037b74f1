//! Tests of partial writes to a socket.

use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::{write_available, PeerState, Socket};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A writer that returns the given results in order.
struct ScriptedWriter(Vec<io::Result<usize>>);

impl Write for ScriptedWriter {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.0.remove(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn failure(kind: ErrorKind) -> io::Result<usize> {
    Err(kind.into())
}

/// The peer receives some bytes and resets the connection before the rest is written. It may have acted on these bytes,
/// so they must be counted, and the error must be left to the next write.
#[test]
fn bytes_written_before_a_failure_are_counted_and_the_next_write_returns_the_error() {
    for last_result in [failure(ErrorKind::ConnectionReset), failure(ErrorKind::BrokenPipe), Ok(0)] {
        let mut writer = ScriptedWriter(vec![Ok(3), failure(ErrorKind::Interrupted), Ok(2), last_result]);
        assert_eq!(write_available(&mut writer, &[0; 10]), Ok(5));
    }
    let mut writer = ScriptedWriter(vec![failure(ErrorKind::BrokenPipe)]);
    assert_eq!(
        write_available(&mut writer, &[0; 5]),
        Err(CloseReason::from_io_error(&ErrorKind::BrokenPipe.into()))
    );
    assert_eq!(write_available(&mut ScriptedWriter(vec![Ok(0)]), &[0; 5]), Err(CloseReason::Reset));
}

#[test]
fn writes_until_all_bytes_are_written_or_the_writer_would_block() {
    assert_eq!(write_available(&mut ScriptedWriter(vec![Ok(3), Ok(7)]), &[0; 10]), Ok(10));
    assert_eq!(
        write_available(&mut ScriptedWriter(vec![Ok(3), failure(ErrorKind::WouldBlock)]), &[0; 10]),
        Ok(3)
    );
    assert_eq!(write_available(&mut ScriptedWriter(vec![failure(ErrorKind::WouldBlock)]), &[0; 10]), Ok(0));
    assert_eq!(write_available(&mut ScriptedWriter(vec![]), &[]), Ok(0));
}

/// Waits until the kernel knows that the peer is in this state.
fn assert_peer_becomes(socket: &Socket, state: PeerState) {
    let start = Instant::now();
    while socket.peer_state() != state {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "{state:?} is expected, not {:?}",
            socket.peer_state()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A client leaves while much of what it sent is unread. Reading does not tell for long, so its requests were begun.
#[test]
fn the_departure_of_a_peer_is_seen_though_bytes_of_it_are_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let socket = Socket::new(listener.accept().expect("a connection").0).expect("a socket");
    assert_eq!(socket.peer_state(), PeerState::Open);
    client.write_all(&[0; 1000]).expect("sent");
    client.shutdown(Shutdown::Write).expect("the sending side is closed");
    assert_peer_becomes(&socket, PeerState::SendingClosed);
    assert_eq!(socket.unread_bytes(), 1000);
    assert_eq!(socket.write(b"a response"), Ok(10), "a half-closed client reads");
    assert_eq!(socket.peer_state(), PeerState::SendingClosed);
    // The response is unread, so closing the connection resets it.
    let mut first = [0];
    client.peek(&mut first).expect("the response arrives");
    drop(client);
    assert_peer_becomes(&socket, PeerState::Gone);
}
