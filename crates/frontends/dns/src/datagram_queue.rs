//! Datagrams that were received and wait to be handled, so that one client can't delay the datagrams of others.
//!
//! Handling a datagram can cost much more than receiving it, for example if it is signed. A client that sends faster than
//! its datagrams are handled would fill the kernel's receive buffer, and the kernel drops what arrives after that,
//! whoever sent it. So all datagrams are received at once and queued by client; the address prefixes take turns, and the
//! clients of a prefix do. A client or prefix that has too many datagrams in the queue loses its own. A client that has
//! many requests open waits, as it would on a connection.

use lynxtally_zones::rate_limit::prefix;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// The most datagrams of one client in the queue.
const MAX_PER_CLIENT: usize = 128;
/// The most requests of one client that are open at the same time.
const MAX_OPEN_PER_CLIENT: usize = 64;
/// The most datagrams of one address prefix in the queue.
const MAX_PER_PREFIX: usize = 1024;
/// The most bytes in the queue, with [`ENTRY_BYTES`] for each datagram.
const MAX_BYTES: usize = 2 << 20;
/// What a datagram takes in the queue besides its content.
const ENTRY_BYTES: usize = 256;

/// A received datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The content; `None` if the datagram was too long.
    pub octets: Option<Vec<u8>>,
    /// The sender.
    pub from: SocketAddr,
    /// The index of the socket that it arrived on.
    pub socket: usize,
    /// When the kernel received it, in Unix microseconds.
    pub received_us: Option<u64>,
}

impl Datagram {
    fn queued_bytes(&self) -> usize {
        ENTRY_BYTES + self.octets.as_ref().map_or(0, Vec::len)
    }
}

/// The clients of a prefix, each with its datagrams.
#[derive(Debug, Default)]
struct PrefixQueue {
    by_client: BTreeMap<SocketAddr, VecDeque<Datagram>>,
    /// The clients that have a datagram and may open a request, in the order of their turns.
    turns: VecDeque<SocketAddr>,
    datagrams: usize,
}

impl PrefixQueue {
    /// Adds a datagram. `may_open` tells whether its client may open a request.
    fn push(&mut self, datagram: Datagram, may_open: bool) {
        let client = self.by_client.entry(datagram.from).or_default();
        if client.is_empty() && may_open {
            self.turns.push_back(datagram.from);
        }
        client.push_back(datagram);
        self.datagrams += 1;
    }

    /// Removes the next datagram of a client. Returns it, and whether the client has more.
    fn take_from(&mut self, from: SocketAddr) -> Option<(Datagram, bool)> {
        let client = self.by_client.get_mut(&from)?;
        let datagram = client.pop_front()?;
        let has_more = !client.is_empty();
        if !has_more {
            self.by_client.remove(&from);
        }
        self.datagrams -= 1;
        Some((datagram, has_more))
    }
}

/// The queue of received datagrams.
#[derive(Debug, Default)]
pub struct DatagramQueue {
    by_prefix: BTreeMap<u64, PrefixQueue>,
    /// The prefixes with a client whose turn can come, in the order of their turns.
    turns: VecDeque<u64>,
    /// The number of open requests of each client that has any.
    open: HashMap<SocketAddr, usize>,
    bytes: usize,
}

impl DatagramQueue {
    /// Adds a datagram. Returns false if its client, its prefix or the whole queue has too many; it is dropped then.
    pub fn push(&mut self, datagram: Datagram) -> bool {
        let bytes = datagram.queued_bytes();
        if self.bytes + bytes > MAX_BYTES {
            return false;
        }
        let key = prefix(datagram.from.ip());
        let queue = self.by_prefix.entry(key).or_default();
        let of_client = queue.by_client.get(&datagram.from).map_or(0, VecDeque::len);
        if of_client >= MAX_PER_CLIENT || queue.datagrams >= MAX_PER_PREFIX {
            return false;
        }
        let had_turns = !queue.turns.is_empty();
        let may_open = Self::may_open(&self.open, datagram.from);
        queue.push(datagram, may_open);
        if !had_turns && !queue.turns.is_empty() {
            self.turns.push_back(key);
        }
        self.bytes += bytes;
        true
    }

    fn may_open(open: &HashMap<SocketAddr, usize>, client: SocketAddr) -> bool {
        open.get(&client).is_none_or(|open| *open < MAX_OPEN_PER_CLIENT)
    }

    /// Removes and returns the datagram whose turn it is. It counts as an open request of its client until
    /// [`Self::request_ended`] is called.
    pub fn pop(&mut self) -> Option<Datagram> {
        let key = self.turns.pop_front()?;
        let queue = self.by_prefix.get_mut(&key)?;
        let from = queue.turns.pop_front()?;
        let (datagram, has_more) = queue.take_from(from)?;
        *self.open.entry(from).or_default() += 1;
        if has_more && Self::may_open(&self.open, from) {
            queue.turns.push_back(from);
        }
        if !queue.turns.is_empty() {
            self.turns.push_back(key);
        }
        if queue.datagrams == 0 {
            self.by_prefix.remove(&key);
        }
        self.bytes -= datagram.queued_bytes();
        Some(datagram)
    }

    /// Records that a request got its response, or that a datagram was no request.
    pub fn request_ended(&mut self, client: SocketAddr) {
        let Some(open) = self.open.get_mut(&client) else { return };
        let was_waiting = *open == MAX_OPEN_PER_CLIENT;
        *open -= 1;
        if *open == 0 {
            self.open.remove(&client);
        }
        let key = prefix(client.ip());
        let Some(queue) = self.by_prefix.get_mut(&key).filter(|_| was_waiting) else { return };
        if queue.by_client.contains_key(&client) {
            if queue.turns.is_empty() {
                self.turns.push_back(key);
            }
            queue.turns.push_back(client);
        }
    }

    /// Whether [`Self::pop`] returns a datagram now.
    pub fn is_ready(&self) -> bool {
        !self.turns.is_empty()
    }

    /// Whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.by_prefix.is_empty()
    }
}
