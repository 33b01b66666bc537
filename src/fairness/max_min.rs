//! Weighted max-min fairness by water filling.

/// What one account may be given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareClaim {
    /// Weight; a claim whose weight is not above 0 gets nothing.
    pub weight: f64,
    /// The most it can use, in the unit of the capacity.
    pub demand: f64,
}

/// Divides `capacity` among `claims`, in their order.
///
/// No claim gets more than its demand, all is given away while a demand is unmet, and what an
/// unmet claim gets for its weight is no less than what any other gets for its own.
pub fn max_min(capacity: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    let mut order = usable(claims);
    order.sort_by(|&a, &b| {
        level(claims, a)
            .total_cmp(&level(claims, b))
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

/// Indices of the claims that may be given anything.
fn usable(claims: &[ShareClaim]) -> Vec<usize> {
    (0..claims.len())
        .filter(|&i| claims[i].weight > 0.0 && claims[i].weight.is_finite())
        .filter(|&i| claims[i].demand > 0.0)
        .collect()
}

/// The water level at which a claim is full.
fn level(claims: &[ShareClaim], i: usize) -> f64 {
    claims[i].demand / claims[i].weight
}
