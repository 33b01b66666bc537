//! Callers of a soak: closed loops that never give up.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fescueshore::ids::AccountId;
use futures_util::future::join_all;

use crate::caller::{Book, Caller, CallerOptions, Patience, SharedBook};
use crate::fleet::Fleet;
use crate::mix::{Lengths, Mix, Parts};

/// Callers of each account.
const CALLERS_PER_ACCOUNT: u64 = 3;
/// One caller in so many ignores `Retry-After`.
const IMPATIENT_EVERY: u64 = 5;
/// How often, out of 100, a caller asks anew under other ids after a `not-run`.
const RENEW_PERCENT: u32 = 50;
/// How long a caller waits for a head and for the next byte.
const PATIENCE: Patience = Patience {
    head: Duration::from_secs(8),
    silence: Duration::from_secs(8),
};

/// What the callers share.
pub(super) struct SoakCallers {
    pub(super) book: SharedBook,
    mix: RefCell<Mix>,
    ending: Cell<bool>,
}

impl SoakCallers {
    pub(super) fn new(fleet: &Fleet, seed: u64) -> Rc<Self> {
        let mix = Mix::new(
            fleet.deployment(),
            Parts::default(),
            Lengths::default(),
            seed,
        );
        Rc::new(Self {
            book: Rc::new(RefCell::new(Book::default())),
            mix: RefCell::new(mix),
            ending: Cell::new(false),
        })
    }

    /// Has callers finish what they have asked and ask nothing more.
    pub(super) fn end(&self) {
        self.ending.set(true);
    }

    /// Lets every account's callers ask until the end.
    pub(super) async fn ask_all(self: Rc<Self>, fleet_seeds: Seeds, until: Instant, seed: u64) {
        let mut asking = Vec::new();
        for (index, account) in fleet_seeds.accounts.iter().enumerate() {
            for number in 0..CALLERS_PER_ACCOUNT {
                let number = index as u64 * CALLERS_PER_ACCOUNT + number;
                let options = CallerOptions {
                    patience: PATIENCE,
                    honours_retry_after: !number.is_multiple_of(IMPATIENT_EVERY),
                    renew_percent: RENEW_PERCENT,
                    until,
                    seed: seed.wrapping_add(number),
                };
                let entries = fleet_seeds.entries.clone();
                let caller = Caller::new(entries, options, self.book.clone());
                asking.push(self.clone().ask(caller, account.clone()));
            }
        }
        join_all(asking).await;
    }

    async fn ask(self: Rc<Self>, mut caller: Caller, account: AccountId) {
        while !self.ending.get() {
            let request = self.mix.borrow_mut().draw_for(&account);
            caller.ask(request).await;
        }
    }
}

/// What callers must know of a fleet.
pub(super) struct Seeds {
    entries: Vec<std::net::SocketAddr>,
    accounts: Vec<AccountId>,
}

impl Seeds {
    pub(super) fn of(fleet: &Fleet) -> Self {
        let accounts = &fleet.deployment().load.accounts;
        Self {
            entries: fleet.entry_addresses(),
            accounts: accounts
                .iter()
                .map(|account| account.name.clone())
                .collect(),
        }
    }
}
