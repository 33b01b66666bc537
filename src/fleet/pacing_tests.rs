//! What is kept of the endpoints' own word on how they want to be sent requests.

use super::*;
use crate::ids::EndpointId;

fn engine() -> EndpointId {
    EndpointId::from("e1@100")
}

fn limited(per_s: f64) -> Pacing {
    Pacing {
        limit_per_s: Some(per_s),
        ..Pacing::default()
    }
}

#[test]
fn what_an_answer_repeats_is_no_news() {
    let mut book = PacingBook::default();
    let said = Pacing {
        limit_per_s: Some(4.0),
        back_off_ms: None,
        is_leaving: true,
    };
    assert_eq!(book.hear(&engine(), said, 10).len(), 2);
    assert!(book.hear(&engine(), said, 20).is_empty());
    assert!(
        PacingBook::default()
            .hear(&engine(), Pacing::default(), 10)
            .is_empty()
    );
}

#[test]
fn a_limit_holds_until_an_answer_names_another_one_or_none() {
    let mut book = PacingBook::default();
    book.hear(&engine(), limited(4.0), 10);
    let change = |before_per_s, now_per_s| PacingChange::Limit {
        before_per_s,
        now_per_s,
    };
    assert_eq!(
        book.hear(&engine(), limited(5.5), 20),
        vec![change(Some(4.0), Some(5.5))]
    );
    assert_eq!(
        book.hear(&engine(), Pacing::default(), 30),
        vec![change(Some(5.5), None)]
    );
}
