//! What a heartbeat tells of endpoints.

use indexmap::IndexSet;

use super::heartbeat::heartbeat_bytes;
use super::peer_book_tests::{READY, book, heartbeat};
use crate::ids::EndpointId;
use crate::placement::PlacementOrder;
use crate::wire::engine::LayerRange;

// 2,970 orders were given at once, and the heartbeat that told of them was longer than what a peer reads.
#[test]
fn news_of_thousands_of_engines_are_told_in_several_datagrams() {
    let mut sender = book("b", "lac", 10);
    let endpoint = |number: u32| EndpointId::from(format!("i-{number:010}"));
    let layers = LayerRange { first: 0, end: 12 };
    for number in 0..3_000 {
        sender.announce_layer_move(&PlacementOrder {
            endpoint: endpoint(number),
            layers,
        });
        sender.announce_unhealthy(&endpoint(number));
        sender.announce_leaving(&endpoint(number));
    }
    let mut told = [IndexSet::new(), IndexSet::new(), IndexSet::new()];
    for period in 0..12 {
        let sent = heartbeat(&mut sender, READY, period * 250);
        let shared = heartbeat_bytes(&sent).expect("it can be written");
        assert!(shared.len() < 32 << 10, "{}", shared.len());
        told[0].extend(sent.moving.into_iter().map(|(id, _)| id));
        told[1].extend(sent.unhealthy);
        told[2].extend(sent.leaving);
    }
    for told in told {
        assert_eq!(told.len(), 3_000);
    }
}
