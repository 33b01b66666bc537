//! Loads of engines that are due to other instances: when they are dropped, and how they are encoded.

use indexmap::IndexMap;

use super::heartbeat::{PeerPart, datagram, heartbeat_bytes, read_datagram};
use super::peer_book::PeerBook;
use super::peer_book_tests::{READY, address, book, heartbeat, tokens};
use crate::fleet::EngineLoad;
use crate::ids::EndpointId;

const PORT: u16 = 10;

fn engine() -> EndpointId {
    EndpointId::from("e")
}

/// Applies a heartbeat of `sender` that reports `load` on an engine.
fn report(receiver: &mut PeerBook, sender: &mut PeerBook, load: EngineLoad, now_ms: u64) {
    let mut sent = heartbeat(sender, READY, now_ms);
    sent.held = vec![(engine(), load)];
    receiver.apply_heartbeat(&sent, address(PORT + 1), now_ms);
}

fn unread(token_layers: u64) -> EngineLoad {
    EngineLoad {
        unread_token_layers: token_layers,
        ..EngineLoad::default()
    }
}

/// Guards against engines that are avoided for prompts of an instance that has ended: nothing would ever
/// subtract them.
#[test]
fn unread_prompts_of_a_silent_or_restarted_instance_no_longer_count() {
    let mut receiver = book("a", "lac", 20);
    report(&mut receiver, &mut book("b", "lac", PORT), unread(700), 100);
    let reported = IndexMap::from([(engine(), unread(700))]);
    assert_eq!(receiver.peer_loads(200), reported);
    report(&mut receiver, &mut book("b", "lac", PORT), unread(30), 300);
    let after_restart = IndexMap::from([(engine(), unread(30))]);
    assert_eq!(receiver.peer_loads(400), after_restart);
    assert!(receiver.peer_loads(2_000).is_empty(), "it is silent");
}

#[test]
fn an_engine_without_unread_prompts_takes_one_byte_more_in_a_heartbeat() {
    let bytes = |load: EngineLoad| postcard::to_stdvec(&load).expect("it can be encoded").len();
    let without = (900 * 7_u64, 3_u32);
    let without_bytes = postcard::to_stdvec(&without).expect("it can be encoded");
    let load = EngineLoad {
        token_layers: without.0,
        requests: without.1,
        unread_token_layers: 0,
    };
    assert_eq!(bytes(load), without_bytes.len() + 1);
    let with_40_prompts = EngineLoad {
        unread_token_layers: 40 * 770 * 7,
        ..load
    };
    assert_eq!(bytes(with_40_prompts), without_bytes.len() + 3);
}

#[test]
fn a_heartbeat_carries_unread_prompts() {
    let mut sent = heartbeat(&mut book("b", "lac", PORT), READY, 100);
    sent.held = vec![(engine(), tokens(1_000))];
    let shared = heartbeat_bytes(&sent).expect("it can be encoded");
    let bytes = datagram(&shared, &PeerPart::default()).expect("it can be encoded");
    let (read, _) = read_datagram(&bytes).expect("it can be decoded");
    assert_eq!(read.held, sent.held);
    assert!(read.held[0].1.unread_token_layers > 0);
}
