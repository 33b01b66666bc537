//! Weighted max-min fairness by water filling.

/// Weight and demand of one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareClaim {
    /// Weight; a claim without a positive, finite weight gets nothing.
    pub weight: f64,
    /// Upper bound of its share, in the unit of the capacity.
    pub demand: f64,
}

/// Divides `capacity` among `claims` and returns the shares in the same order.
///
/// No claim gets more than its demand, the whole capacity is assigned while any demand is unmet,
/// and no claim gets more per weight than an unmet claim.
pub fn max_min(capacity: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut order = eligible(claims);
    order.sort_by(|&a, &b| {
        saturation_level(claims, a)
            .total_cmp(&saturation_level(claims, b))
            .then(a.cmp(&b))
    });
    let mut left = capacity.max(0.0);
    let mut weights: f64 = order.iter().map(|&i| claims[i].weight).sum();
    for (done, &i) in order.iter().enumerate() {
        let last = done + 1 == order.len();
        let part = if last {
            left
        } else {
            left * claims[i].weight / weights
        };
        shares[i] = part.min(claims[i].demand);
        left = (left - shares[i]).max(0.0);
        weights -= claims[i].weight;
    }
    shares
}

/// Indices of the claims with a usable weight and demand.
fn eligible(claims: &[ShareClaim]) -> Vec<usize> {
    (0..claims.len())
        .filter(|&i| claims[i].weight > 0.0 && claims[i].weight.is_finite())
        .filter(|&i| claims[i].demand > 0.0)
        .collect()
}

/// The water level at which a claim's demand is met.
fn saturation_level(claims: &[ShareClaim], i: usize) -> f64 {
    claims[i].demand / claims[i].weight
}
