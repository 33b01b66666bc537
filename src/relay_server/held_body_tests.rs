//! Bodies that are held whole, and how they share memory.

use actix_http::body::{BodySize, MessageBody, to_bytes};
use proptest::prelude::*;

use super::held_body::HeldBody;
use super::memory_budget::MemoryBudget;

/// Memory for responses, in bytes.
const MEMORY_BYTES: usize = 4 << 20;
const PIECE: [u8; 8 << 10] = [b'x'; 8 << 10];

/// Has bodies grow in turn without end. One that gets no more memory is given up, and another one begins.
fn grow(bodies: &mut [HeldBody], budget: &MemoryBudget, rounds: usize) {
    for _ in 0..rounds {
        for body in &mut *bodies {
            if !body.push(&PIECE) {
                *body = HeldBody::new(budget.begin());
            }
        }
    }
}

/// Guards against responses without end that take all memory from others.
#[test]
fn bodies_without_end_leave_memory_to_a_body_that_ends() {
    for count in [1, 7, 200] {
        let budget = MemoryBudget::new(MEMORY_BYTES);
        let mut endless: Vec<HeldBody> =
            (0..count).map(|_| HeldBody::new(budget.begin())).collect();
        let equal_part_bytes = MEMORY_BYTES / (count + 1);
        for rounds in 1..60 {
            grow(&mut endless, &budget, 1);
            let mut sound = HeldBody::new(budget.begin());
            while sound.len() + PIECE.len() <= equal_part_bytes / 4 {
                assert!(sound.push(&PIECE), "{count}, {rounds}: {}", sound.len());
            }
            assert!(budget.used_bytes() <= MEMORY_BYTES);
        }
    }
}

/// Guards against sound responses that are refused a few bytes.
#[test]
fn a_small_body_has_memory_beside_any_number_of_others() {
    let budget = MemoryBudget::new(1 << 20);
    let mut others: Vec<HeldBody> = (0..1_000).map(|_| HeldBody::new(budget.begin())).collect();
    grow(&mut others, &budget, 10);
    let mut small = HeldBody::new(budget.begin());
    assert!(small.push(&[b'y'; 16 << 10]));
}

#[actix_rt::test]
async fn memory_is_returned_as_the_caller_takes_the_body() {
    let budget = MemoryBudget::new(MEMORY_BYTES);
    let mut body = HeldBody::new(budget.begin());
    for _ in 0..20 {
        assert!(body.push(&PIECE));
    }
    assert_eq!(budget.used_bytes(), 20 * PIECE.len());
    let sent = to_bytes(body).await.expect("it cannot fail");
    assert_eq!(sent.len(), 20 * PIECE.len());
    assert_eq!(budget.used_bytes(), 0);
}

proptest! {
    #[test]
    fn a_body_is_what_was_added(pieces in prop::collection::vec(
        prop::collection::vec(any::<u8>(), 0..40_000), 0..8)) {
        let budget = MemoryBudget::new(MEMORY_BYTES);
        let mut body = HeldBody::new(budget.begin());
        for piece in &pieces {
            prop_assert!(body.push(piece));
        }
        let whole = pieces.concat();
        prop_assert_eq!(body.size(), BodySize::Sized(whole.len() as u64));
        prop_assert_eq!(body.to_vec(), whole);
    }
}
