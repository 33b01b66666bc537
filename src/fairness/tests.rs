use super::*;

#[test]
fn unmet_claims_share_by_weight() {
    let claims = [(1.0, 10.0), (1.0, 100.0), (3.0, 100.0)]
        .map(|(weight, demand)| ShareClaim { weight, demand });
    assert_eq!(max_min(90.0, &claims), vec![10.0, 20.0, 60.0]);
}
