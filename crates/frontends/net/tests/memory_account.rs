//! Tests of the memory account of connections.

use lynxtally_net::memory_account::{AccountLimits, MemoryAccount, OutOfMemory};

/// Room for two connections, and for 60 bytes beyond their allowances.
const LIMITS: AccountLimits =
    AccountLimits { total: 100, max_connections: 2, per_connection: 20, allowance: 10 };

/// Guards against connections that together hold more than the limit, and against charges that are not released.
#[test]
fn charges_beyond_the_allowance_never_exceed_the_account_and_are_released() {
    let account = MemoryAccount::new(LIMITS);
    let (first, second) =
        (account.open_connection().expect("room"), account.open_connection().expect("room"));
    let small = second.try_charge(10).expect("within the allowance");
    assert_eq!(account.used(), 40, "the allowance is part of the fixed cost");
    let mut large = first.try_charge(70).expect("room");
    assert_eq!(account.used(), 100);
    assert_eq!(large.resize(71), Err(OutOfMemory));
    assert_eq!(second.try_charge(1).err(), Some(OutOfMemory));
    assert_eq!(account.open_connection().err(), Some(OutOfMemory));
    assert_eq!(account.used(), 100, "a refused charge changes nothing");
    large.resize(5).expect("reducing a charge succeeds");
    assert_eq!(account.used(), 40);
    drop((large, small));
    drop((first, second));
    assert_eq!(account.used(), 0);
}

/// A message that is queued outlives its connection and stays charged until it is handled.
#[test]
fn a_charge_outlives_its_connection() {
    let account = MemoryAccount::new(LIMITS);
    let connection = account.open_connection().expect("room");
    let charge = connection.try_charge(30).expect("room");
    drop(connection);
    assert_eq!(account.used(), 40);
    drop(charge);
    assert_eq!(account.used(), 0);
}

/// Guards against connections with large messages that keep others from being accepted.
#[test]
fn large_messages_take_no_room_from_connections() {
    let account = MemoryAccount::new(LIMITS);
    let first = account.open_connection().expect("room");
    let _large = first.try_charge(70).expect("room");
    let second = account.open_connection().expect("a connection has room of its own");
    assert!(second.try_charge(10).is_ok(), "a small message has room of its own");
}
