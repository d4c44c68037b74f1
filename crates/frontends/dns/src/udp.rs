//! Receives and sends datagrams in batches, with the kernel's receive time of each.

use nix::sys::socket::{
    recvmmsg, sendmmsg, setsockopt, sockopt, ControlMessage, ControlMessageOwned, MsgFlags, MultiHeaders,
    SockaddrStorage,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;

/// The largest number of datagrams in one batch.
const DATAGRAMS_PER_BATCH: usize = 32;
/// The longest datagram that is accepted.
const MAX_DATAGRAM_BYTES: usize = 4096;
/// The socket's receive buffer. It holds about as many small requests as are read within their latency objective; the
/// kernel drops what does not fit.
const RECEIVE_BUFFER_BYTES: usize = 512 * 1024;

/// Opens a non-blocking socket that reports when the kernel received each datagram.
pub fn open(at: SocketAddr) -> io::Result<UdpSocket> {
    use socket2::{Domain, Socket, Type};
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&at.into())?;
    socket.set_nonblocking(true)?;
    setsockopt(&socket, sockopt::ReceiveTimestampns, &true)?;
    Ok(socket.into())
}

/// Buffers for one batch of received datagrams.
pub struct ReceiveBuffers(Vec<Vec<u8>>);

impl Default for ReceiveBuffers {
    fn default() -> Self {
        Self(vec![vec![0; MAX_DATAGRAM_BYTES]; DATAGRAMS_PER_BATCH])
    }
}

fn address(from: &SockaddrStorage) -> Option<SocketAddr> {
    let v4 = from.as_sockaddr_in().map(|v4| SocketAddr::new(v4.ip().into(), v4.port()));
    v4.or_else(|| from.as_sockaddr_in6().map(|v6| SocketAddr::new(v6.ip().into(), v6.port())))
}

impl ReceiveBuffers {
    /// Receives at most one batch without blocking. `on_datagram` gets the sender, the content (`None` if it was too
    /// long), and the receive time in Unix microseconds. Returns whether more datagrams may be waiting.
    pub fn receive(
        &mut self,
        socket: &UdpSocket,
        mut on_datagram: impl FnMut(SocketAddr, Option<&[u8]>, Option<u64>),
    ) -> io::Result<bool> {
        let space = nix::cmsg_space!(nix::sys::time::TimeSpec);
        let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(DATAGRAMS_PER_BATCH, Some(space));
        let mut slices: Vec<[IoSliceMut; 1]> =
            self.0.iter_mut().map(|buffer| [IoSliceMut::new(buffer)]).collect();
        let fd = socket.as_raw_fd();
        let received = match recvmmsg(fd, &mut headers, slices.iter_mut(), MsgFlags::MSG_DONTWAIT, None) {
            Ok(received) => received,
            Err(nix::errno::Errno::EAGAIN) => return Ok(false),
            Err(nix::errno::Errno::EINTR) => return Ok(true),
            Err(fault) => return Err(fault.into()),
        };
        let mut count = 0;
        for message in received {
            count += 1;
            let received_us = message.cmsgs().ok().and_then(|mut all| {
                all.find_map(|cmsg| match cmsg {
                    ControlMessageOwned::ScmTimestampns(at) => {
                        Some(at.tv_sec() as u64 * 1_000_000 + at.tv_nsec() as u64 / 1000)
                    }
                    _ => None,
                })
            });
            let complete = !message.flags.contains(MsgFlags::MSG_TRUNC);
            if let Some(from) = message.address.as_ref().and_then(address) {
                let octets = message.iovs().next().filter(|_| complete);
                on_datagram(from, octets, received_us);
            }
        }
        Ok(count == DATAGRAMS_PER_BATCH)
    }
}

/// Sends datagrams without blocking and returns how many the kernel accepted. The others are lost.
pub fn send(socket: &UdpSocket, datagrams: &[(SocketAddr, Vec<u8>)]) -> usize {
    let mut sent = 0;
    for batch in datagrams.chunks(DATAGRAMS_PER_BATCH) {
        let addresses: Vec<Option<SockaddrStorage>> =
            batch.iter().map(|(to, _)| Some(SockaddrStorage::from(*to))).collect();
        let slices: Vec<[IoSlice; 1]> = batch.iter().map(|(_, octets)| [IoSlice::new(octets)]).collect();
        let mut next = 0;
        while next < batch.len() {
            let mut headers = MultiHeaders::<SockaddrStorage>::preallocate(batch.len() - next, None);
            let no_control_messages: [ControlMessage; 0] = [];
            let flags = MsgFlags::MSG_DONTWAIT;
            let result = sendmmsg(
                socket.as_raw_fd(),
                &mut headers,
                &slices[next..],
                &addresses[next..],
                no_control_messages,
                flags,
            );
            match result.map(Iterator::count) {
                Ok(0) => break,
                Ok(count) => {
                    next += count;
                    sent += count;
                }
                Err(nix::errno::Errno::EINTR) => {}
                Err(nix::errno::Errno::EAGAIN) => return sent,
                // A datagram that can't be sent is skipped, so that the others are sent.
                Err(_) => next += 1,
            }
        }
    }
    sent
}
