//! Every interleaving up to a bound, and what the broken ones are caught by.

use lynxtally_model_check::grants::{Grants, Variant};
use lynxtally_model_check::wallets::{self, Wallets};
use stateright::{Checker, Model};

const SAFE: &str = "no more in hand than there is";

fn check(variant: Variant, steps: u8) -> impl Checker<Grants> {
    let model = Grants { variant, steps, under_way: 2, asks: [2, 1] };
    model.checker().threads(2).spawn_bfs().join()
}

#[test]
fn one_unit_is_never_in_two_hands() {
    let checker = check(Variant::Sound, steps(7));
    assert!(
        checker.discovery(SAFE).is_none(),
        "{:?}",
        checker.discovery(SAFE).map(|path| path.into_actions())
    );
    assert!(checker.discovery("both have had a call").is_some(), "the unit passes on");
    assert!(checker.unique_state_count() > 100_000, "{} states", checker.unique_state_count());
}

#[test]
fn each_broken_variant_is_caught() {
    use Variant::{AtSuspicion, FromAnswer, NoDrift, NoMargin, NoTail};
    for variant in [AtSuspicion, FromAnswer, NoDrift, NoTail, NoMargin] {
        assert!(check(variant, 9).discovery(SAFE).is_some(), "{variant:?}");
    }
}

/// `LYNXTALLY_STEPS` makes the look longer.
fn steps(usual: u8) -> u8 {
    std::env::var("LYNXTALLY_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn wallets(variant: wallets::Variant, steps: u8, under_way: usize) -> impl Checker<Wallets> {
    Wallets { variant, steps, says: [2, 1], under_way }.checker().threads(4).spawn_bfs().join()
}

const ONCE: &str = "each unit served and charged at most once";

#[test]
fn each_unit_of_a_wallet_is_served_and_charged_at_most_once() {
    let checker = wallets(wallets::Variant::Sound, steps(3), 2);
    assert!(
        checker.discovery(ONCE).is_none(),
        "{:?}",
        checker.discovery(ONCE).map(|path| path.into_actions())
    );
    for name in ["a charge is told and booked", "what was in doubt is served by another"] {
        assert!(checker.discovery(name).is_some(), "{name}");
    }
    assert!(checker.unique_state_count() > 10_000, "{} states", checker.unique_state_count());
}

#[test]
fn each_broken_variant_of_the_wallet_is_caught() {
    use wallets::Variant::{AtSuspicion, NoTail, WithoutId};
    for variant in [WithoutId, AtSuspicion, NoTail] {
        assert!(wallets(variant, 3, 2).discovery(ONCE).is_some(), "{variant:?}");
    }
}
