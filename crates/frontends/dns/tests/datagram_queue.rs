//! Tests of the queue of received datagrams.

use lynxtally_dns::datagram_queue::{Datagram, DatagramQueue};
use std::net::SocketAddr;

fn datagram(from: &str, number: u8) -> Datagram {
    let from: SocketAddr = from.parse().expect("an address");
    Datagram { octets: Some(vec![number]), from, socket: 0, received_us: None }
}

/// A client sends many more datagrams than are handled. The datagram of another client of its prefix, and that of another
/// prefix, must be handled after one of its own, and only its own may be dropped.
#[test]
fn one_client_neither_delays_the_datagrams_of_others_nor_drops_them() {
    let mut queue = DatagramQueue::default();
    let accepted = (0..10_000).filter(|_| queue.push(datagram("192.0.2.1:5", 0))).count();
    assert!(accepted < 1000, "{accepted} datagrams of one client are queued");
    assert!(queue.push(datagram("192.0.2.1:6", 1)) && queue.push(datagram("198.51.100.1:5", 2)));
    let handled: Vec<u8> = (0..5)
        .filter_map(|_| queue.pop())
        .filter_map(|datagram| datagram.octets)
        .map(|octets| octets[0])
        .collect();
    assert_eq!(handled, [0, 2, 1, 0, 0]);
}

/// A client with many open requests waits until some have ended, as it would on a connection; its datagrams are kept.
#[test]
fn a_client_opens_a_limited_number_of_requests() {
    let mut queue = DatagramQueue::default();
    (0..100).for_each(|number| assert!(queue.push(datagram("192.0.2.1:5", number))));
    let opened = std::iter::from_fn(|| queue.pop()).count();
    assert_eq!((opened, queue.is_ready(), queue.is_empty()), (64, false, false));
    assert!(queue.push(datagram("192.0.2.1:6", 200)));
    assert_eq!(queue.pop(), Some(datagram("192.0.2.1:6", 200)), "another client does not wait");
    for ended in 0..36 {
        let client = "192.0.2.1:5".parse().expect("an address");
        queue.request_ended(client);
        assert_eq!(queue.pop(), Some(datagram("192.0.2.1:5", 64 + ended)));
    }
    assert!(queue.is_empty());
}
