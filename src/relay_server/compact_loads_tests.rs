use proptest::prelude::*;
use serde::{Deserialize, Serialize};

use super::compact_loads;
use crate::fleet::EngineLoad;
use crate::ids::EndpointId;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Loads {
    #[serde(with = "compact_loads")]
    held: Vec<(EndpointId, EngineLoad)>,
}

fn loads(ids: &[String]) -> Loads {
    let load = EngineLoad {
        token_layers: 80_000,
        requests: 3,
        unread_token_layers: 0,
    };
    let held = ids.iter().map(|id| (EndpointId::from(id.as_str()), load));
    Loads {
        held: held.collect(),
    }
}

fn bytes(loads: &Loads) -> Vec<u8> {
    postcard::to_stdvec(loads).expect("they can be encoded")
}

// Guards against ids that take most of a heartbeat's bytes: 22 of 26 a load.
#[test]
fn loads_on_engines_that_started_together_are_short() {
    let ids: Vec<String> = (0..10)
        .map(|it| format!("e-lac-{it}@{}", 1_767_225_600_000_u64 + 37 * it))
        .collect();
    let length = bytes(&loads(&ids)).len();
    println!("10 loads: {length} bytes");
    assert!(length <= 22 + 10 * 10, "{length}");
}

#[test]
fn a_difference_from_no_id_is_an_error() {
    for encoded in [
        // One load that shares five bytes with the one before it, which does not exist.
        [1, 5, 0, 0, 0, 0].as_slice(),
        // One load whose start is below 0.
        [1, 0, 1, b'e', 1, 1, 0, 0].as_slice(),
    ] {
        assert!(postcard::from_bytes::<Loads>(encoded).is_err());
    }
}

// Guards against names that share more than the encoding can tell.
#[test]
fn long_names_arrive_as_they_were() {
    let long = "e".repeat(400);
    let sent = loads(&[long.clone(), format!("{long}-1"), format!("{long}-1@7")]);
    let read: Loads = postcard::from_bytes(&bytes(&sent)).expect("they can be decoded");
    assert_eq!(read, sent);
}

proptest! {
    // Guards against ids of an unusual form that change on their way: loads would count for other engines.
    #[test]
    fn ids_of_any_form_arrive_as_they_were(
        ids in proptest::collection::vec("[eé-]{0,4}(@{0,2}[0-9]{0,21}){0,2}", 0..6),
    ) {
        let sent = loads(&ids);
        let read: Loads = postcard::from_bytes(&bytes(&sent)).expect("they can be decoded");
        prop_assert_eq!(read, sent);
    }
}
