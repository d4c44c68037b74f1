//! What a socket tells of its writes.

use lynxtally_net::close_reason::CloseReason;
use lynxtally_net::socket::write_available;
use std::io::{self, ErrorKind, Write};

/// A writer whose next results are given.
struct Scripted(Vec<io::Result<usize>>);

impl Write for Scripted {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        self.0.remove(0)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn fault(kind: ErrorKind) -> io::Result<usize> {
    Err(kind.into())
}

/// The peer takes a part and resets the connection before the rest is written. The part may have been acted on, so it is
/// counted; the failure is told by the next write.
#[test]
fn what_was_written_before_a_failure_is_counted_and_the_failure_comes_next() {
    for failure in [fault(ErrorKind::ConnectionReset), fault(ErrorKind::BrokenPipe), Ok(0)] {
        let mut to = Scripted(vec![Ok(3), fault(ErrorKind::Interrupted), Ok(2), failure]);
        assert_eq!(write_available(&mut to, &[0; 10]), Ok(5));
    }
    let mut to = Scripted(vec![fault(ErrorKind::BrokenPipe)]);
    assert_eq!(
        write_available(&mut to, &[0; 5]),
        Err(CloseReason::from_io_error(&ErrorKind::BrokenPipe.into()))
    );
    assert_eq!(write_available(&mut Scripted(vec![Ok(0)]), &[0; 5]), Err(CloseReason::Reset));
}

#[test]
fn it_writes_until_all_went_or_no_more_goes() {
    assert_eq!(write_available(&mut Scripted(vec![Ok(3), Ok(7)]), &[0; 10]), Ok(10));
    assert_eq!(write_available(&mut Scripted(vec![Ok(3), fault(ErrorKind::WouldBlock)]), &[0; 10]), Ok(3));
    assert_eq!(write_available(&mut Scripted(vec![fault(ErrorKind::WouldBlock)]), &[0; 10]), Ok(0));
    assert_eq!(write_available(&mut Scripted(vec![]), &[]), Ok(0));
}
