//! Division of a service's capacity among accounts, and of each account's share among entries.

use indexmap::IndexMap;

use super::max_min::{ShareClaim, max_min};
use crate::ids::{AccountId, InstanceId};

/// Demand of one account at one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryDemand {
    /// The entry instance.
    pub entry: InstanceId,
    /// The account.
    pub account: AccountId,
    /// Tokens per second requested there, including refused requests.
    pub wanted_tokens_per_s: f64,
}

/// The portion of an account's share that one entry may spend.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryShare {
    /// The entry instance.
    pub entry: InstanceId,
    /// The account.
    pub account: AccountId,
    /// Tokens per second.
    pub tokens_per_s: f64,
    /// Tokens per second available if the account requested more; at least its share.
    pub entitled_tokens_per_s: f64,
}

/// Factor on an account's measured demand. The capacity up to it is reserved for the account before
/// the remainder is distributed beyond demand.
const HEADROOM: f64 = 1.25;

/// Divides the capacity of one service: weighted max-min over the accounts by their total demand at
/// all entries, then each account's share over its entries in proportion to its demand there.
///
/// Capacity beyond all demands is also distributed, by weight, so that the shares add up to the
/// capacity as long as there is any demand.
///
/// The result is sorted by entry and account and does not depend on the order of the demands, so
/// all nodes with the same demands compute the same shares. Accounts without a weight get none.
pub fn divide_capacity(
    capacity_tokens_per_s: f64,
    weights: &IndexMap<AccountId, f64>,
    demands: &[EntryDemand],
) -> Vec<EntryShare> {
    let demands = merge_demands(weights, demands);
    let totals = totals(&demands);
    let claims: Vec<ShareClaim> = totals
        .iter()
        .map(|(account, demand)| ShareClaim {
            weight: weights.get(account).copied().unwrap_or(0.0),
            demand: demand * HEADROOM,
        })
        .collect();
    let mut shares = max_min(capacity_tokens_per_s, &claims);
    let entitled = entitled(&claims, &shares);
    distribute_remainder(capacity_tokens_per_s, &claims, &mut shares);
    demands
        .into_iter()
        .map(|demand| EntryShare {
            tokens_per_s: entry_portion(&totals, &shares, &demand),
            entitled_tokens_per_s: entry_portion(&totals, &entitled, &demand),
            entry: demand.entry,
            account: demand.account,
        })
        .collect()
}

/// The amount available to each claim: the highest share per weight times the claim's weight.
fn entitled(claims: &[ShareClaim], shares: &[f64]) -> Vec<f64> {
    let levels = shares.iter().zip(claims);
    let level = levels
        .filter(|(share, _)| **share > 0.0)
        .map(|(share, claim)| share / claim.weight)
        .fold(0.0, f64::max);
    claims.iter().map(|claim| level * claim.weight).collect()
}

/// Valid demands, merged per entry and account and sorted by them.
fn merge_demands(weights: &IndexMap<AccountId, f64>, demands: &[EntryDemand]) -> Vec<EntryDemand> {
    let mut sorted: Vec<EntryDemand> = demands
        .iter()
        .filter(|demand| weights.contains_key(&demand.account))
        .filter(|demand| demand.wanted_tokens_per_s.is_finite())
        .filter(|demand| demand.wanted_tokens_per_s > 0.0)
        .cloned()
        .collect();
    sorted.sort_by(|a, b| {
        (&a.entry, &a.account)
            .cmp(&(&b.entry, &b.account))
            .then(a.wanted_tokens_per_s.total_cmp(&b.wanted_tokens_per_s))
    });
    sorted.dedup_by(|later, kept| {
        let same = later.entry == kept.entry && later.account == kept.account;
        if same {
            kept.wanted_tokens_per_s += later.wanted_tokens_per_s;
        }
        same
    });
    sorted
}

/// Total demand of each account over all entries, sorted by account.
fn totals(demands: &[EntryDemand]) -> IndexMap<AccountId, f64> {
    let mut totals = IndexMap::new();
    for demand in demands {
        *totals.entry(demand.account.clone()).or_insert(0.0) += demand.wanted_tokens_per_s;
    }
    totals.sort_unstable_keys();
    totals
}

/// Adds the remaining capacity to the shares, by weight.
fn distribute_remainder(capacity_tokens_per_s: f64, claims: &[ShareClaim], shares: &mut [f64]) {
    let left = (capacity_tokens_per_s - shares.iter().sum::<f64>()).max(0.0);
    let weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    if weights > 0.0 {
        for (share, claim) in shares.iter_mut().zip(claims) {
            *share += left * claim.weight / weights;
        }
    }
}

/// The portion of its account's share that is proportional to one entry's demand.
fn entry_portion(totals: &IndexMap<AccountId, f64>, shares: &[f64], demand: &EntryDemand) -> f64 {
    let Some((index, _, total)) = totals.get_full(&demand.account) else {
        return 0.0;
    };
    shares[index] * demand.wanted_tokens_per_s / total
}
