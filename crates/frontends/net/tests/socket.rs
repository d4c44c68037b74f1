//! Tests of partial writes to a socket.

use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::write_available;
use std::io::{self, ErrorKind, Write};

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
