//! Tests of the connection table: which connection is evicted when the table is full.

use lynxtally_net::connection_table::{ConnectionTable, TableFull};
use std::time::Duration;

/// A client fills the table with idle connections. A new connection must evict the one that has been idle longest. A busy
/// connection must stay, even if the new connection is refused.
#[test]
fn the_longest_idle_connection_is_evicted_and_a_busy_one_never() {
    let table = ConnectionTable::new(2);
    let busy = table.insert('a').expect("the table has room");
    assert_eq!(busy.evicted, None);
    table.set_idle(busy.number, false);
    table.insert('b').expect("the table has room");
    assert_eq!(table.insert('c').map(|inserted| inserted.evicted), Ok(Some('b')));
    assert_eq!(table.idle_for(Duration::ZERO), ['b', 'c']);
    let full = ConnectionTable::new(1);
    let only = full.insert('d').expect("the table has room");
    full.set_idle(only.number, false);
    assert_eq!(full.insert('e'), Err(TableFull));
}
