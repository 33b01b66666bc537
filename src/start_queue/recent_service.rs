//! How many streams each client account has started lately.

use indexmap::IndexMap;

use crate::ids::AccountId;

/// Time after which a started stream counts half: several times the duration of a usual stream.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Below this the count of an account is dropped.
const NEGLIGIBLE: f64 = 0.01;

/// Started streams by account, decaying with time.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentService {
    accounts: IndexMap<Option<AccountId>, Started>,
}

#[derive(Clone, Copy, Debug)]
struct Started {
    streams: f64,
    updated_ms: u64,
}

impl Started {
    fn at(self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.streams * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

impl RecentService {
    pub(super) fn record(&mut self, account: Option<&AccountId>, now_ms: u64) {
        self.accounts.retain(|_, it| it.at(now_ms) >= NEGLIGIBLE);
        let streams = 1.0 + self.of(account, now_ms);
        let started = Started {
            streams,
            updated_ms: now_ms,
        };
        self.accounts.insert(account.cloned(), started);
    }

    pub(super) fn of(&self, account: Option<&AccountId>, now_ms: u64) -> f64 {
        let started = self.accounts.get(&account.cloned());
        started.map_or(0.0, |it| it.at(now_ms))
    }
}
