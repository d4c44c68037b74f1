//! Tests of the connection table: which connection is evicted when the table is full.

use lynxtally_net::connection_table::{ConnectionState, ConnectionTable, TableFull};
use std::time::Duration;

/// A client fills the table with idle connections. A new connection must evict the one that has been idle longest. A busy
/// connection must stay, even if the new connection is refused.
#[test]
fn the_longest_idle_connection_is_evicted_and_a_busy_one_never() {
    let table = ConnectionTable::new(2);
    let busy = table.insert('a').expect("the table has room");
    assert_eq!(busy.evicted, None);
    table.set_state(busy.number, ConnectionState::Busy);
    table.insert('b').expect("the table has room");
    assert_eq!(table.insert('c').map(|inserted| inserted.evicted), Ok(Some('b')));
    assert_eq!(table.idle_for(Duration::ZERO), ['b', 'c']);
    let full = ConnectionTable::new(1);
    let only = full.insert('d').expect("the table has room");
    full.set_state(only.number, ConnectionState::Busy);
    assert_eq!(full.insert('e'), Err(TableFull));
}

/// Guards against connections with half a message that fill the table and shut out all others. The one that has been
/// receiving for longest is evicted before idle ones, each once, and not while the rest may still be in transit.
#[test]
fn a_connection_with_half_a_message_is_evicted_before_an_idle_one() {
    let table = ConnectionTable::new(2);
    let receiving = table.insert('a').expect("the table has room");
    table.set_state(receiving.number, ConnectionState::Receiving);
    table.insert('b').expect("the table has room");
    assert_eq!(
        table.insert('c').map(|inserted| inserted.evicted),
        Ok(Some('b')),
        "the rest may be in transit"
    );
    std::thread::sleep(Duration::from_millis(25));
    assert_eq!(table.in_state_for(ConnectionState::Receiving, Duration::from_millis(20)), ['a']);
    assert_eq!(table.insert('d').map(|inserted| inserted.evicted), Ok(Some('a')));
    assert_eq!(table.insert('e').map(|inserted| inserted.evicted), Ok(Some('c')));
    assert_eq!(table.evict(ConnectionState::Receiving), None);
    assert_eq!(table.evict(ConnectionState::Idle), Some('d'));
}
