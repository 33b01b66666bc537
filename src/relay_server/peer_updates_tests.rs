use indexmap::IndexSet;

use super::heartbeat::heartbeat_bytes;
use super::peer_book_tests::{READY, book, heartbeat};
use crate::ids::EndpointId;
use crate::placement::PlacementOrder;
use crate::wire::engine::LayerRange;

// Guards against heartbeats that peers cannot receive: 2,970 orders were issued at once, and the heartbeat that
// announced them exceeded the receive buffer.
#[test]
fn updates_of_thousands_of_engines_are_spread_over_several_heartbeats() {
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
    let mut announced = [IndexSet::new(), IndexSet::new(), IndexSet::new()];
    for beat in 0..12 {
        let sent = heartbeat(&mut sender, READY, beat * 250);
        let shared = heartbeat_bytes(&sent).expect("it can be encoded");
        assert!(shared.len() < 32 << 10, "{}", shared.len());
        announced[0].extend(sent.layer_moves.into_iter().map(|(id, _)| id));
        announced[1].extend(sent.unhealthy);
        announced[2].extend(sent.leaving);
    }
    for ids in announced {
        assert_eq!(ids.len(), 3_000);
    }
}
