//! Checks every interleaving of the models up to a bound, and that the checker detects each built-in defect.

use lynxtally_model_check::leases::{Defect, LeaseModel};
use lynxtally_model_check::wallets::{self, WalletModel};
use stateright::{Checker, Model};

const CALLS_WITHIN_CAPACITY: &str = "calls in flight never exceed the capacity";

fn check_leases(defect: Defect, steps: u8) -> impl Checker<LeaseModel> {
    let model = LeaseModel { defect, steps, max_in_transit: 2, max_requests: [2, 1] };
    model.checker().threads(2).spawn_bfs().join()
}

#[test]
fn two_holders_never_use_one_unit_at_once() {
    let checker = check_leases(Defect::None, steps(7));
    assert!(
        checker.discovery(CALLS_WITHIN_CAPACITY).is_none(),
        "{:?}",
        checker.discovery(CALLS_WITHIN_CAPACITY).map(|path| path.into_actions())
    );
    assert!(
        checker.discovery("both holders have made a call").is_some(),
        "the unit never passes from one holder to the other"
    );
    assert!(checker.unique_state_count() > 100_000, "{} states", checker.unique_state_count());
}

#[test]
fn each_defect_of_the_leases_is_detected() {
    use Defect::{DurationFromResponse, GrantedAtSuspicion, NoDrift, NoInFlightTime, NoMargin};
    for defect in [GrantedAtSuspicion, DurationFromResponse, NoDrift, NoInFlightTime, NoMargin] {
        assert!(check_leases(defect, 9).discovery(CALLS_WITHIN_CAPACITY).is_some(), "{defect:?}");
    }
}

/// Number of time steps to explore: the environment variable `LYNXTALLY_STEPS`, or the default.
fn steps(default: u8) -> u8 {
    std::env::var("LYNXTALLY_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn check_wallets(defect: wallets::Defect, steps: u8, max_in_transit: usize) -> impl Checker<WalletModel> {
    WalletModel { defect, steps, max_reports: [2, 1], max_in_transit }.checker().threads(4).spawn_bfs().join()
}

const UNITS_USED_ONCE: &str = "each unit served and charged at most once";

#[test]
fn each_unit_of_a_wallet_is_served_and_charged_at_most_once() {
    let checker = check_wallets(wallets::Defect::None, steps(3), 2);
    assert!(
        checker.discovery(UNITS_USED_ONCE).is_none(),
        "{:?}",
        checker.discovery(UNITS_USED_ONCE).map(|path| path.into_actions())
    );
    for name in ["a charge is reported and recorded", "a unit in doubt is served by another node"] {
        assert!(checker.discovery(name).is_some(), "{name}");
    }
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}

#[test]
fn each_defect_of_the_wallet_is_detected() {
    use wallets::Defect::{ChargeWithoutId, NoInFlightTime, ReturnedAtSuspicion};
    for defect in [ChargeWithoutId, ReturnedAtSuspicion, NoInFlightTime] {
        assert!(check_wallets(defect, 3, 2).discovery(UNITS_USED_ONCE).is_some(), "{defect:?}");
    }
}
