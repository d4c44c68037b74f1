//! Who goes where there is no room.

use lynxtally_net::seats::{Full, Seats};
use std::time::Duration;

#[test]
fn one_that_rests_goes_where_another_comes_and_a_busy_one_never_does() {
    let seats = Seats::new(2);
    let (busy, goes) = seats.take('a').expect("there is room");
    assert_eq!(goes, None);
    seats.stand(busy, false);
    seats.take('b').expect("there is room");
    assert_eq!(seats.take('c').map(|(_, goes)| goes), Ok(Some('b')));
    assert_eq!(seats.resting(Duration::ZERO), ['b', 'c']);
    let full = Seats::new(1);
    let (only, _) = full.take('d').expect("there is room");
    full.stand(only, false);
    assert_eq!(full.take('e'), Err(Full));
}
