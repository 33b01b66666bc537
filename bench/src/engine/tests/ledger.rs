use fescueshore::ids::{EndpointId, StreamId};

use super::rig::range;
use crate::engine::ledger::{LayerFault, Run, RunLedger};

struct Fixture {
    ledger: RunLedger,
    stream: StreamId,
}

impl Fixture {
    fn new() -> Self {
        Self {
            ledger: RunLedger::default(),
            stream: StreamId::generate(&mut rand::rng()),
        }
    }

    fn run(&self, endpoint: &str, layers: (u16, u16), position: u32) -> Result<(), LayerFault> {
        self.ledger.note(&Run {
            stream: self.stream,
            epoch: 0,
            position,
            layers: range(layers.0, layers.1),
            endpoint: &EndpointId::from(endpoint),
        })
    }
}

#[test]
fn each_layer_may_run_each_position_once() {
    let fixture = Fixture::new();
    fixture.run("a", (0, 4), 7).unwrap();
    fixture.run("a", (0, 4), 8).unwrap();
    let again = fixture.run("a", (0, 4), 8);
    assert!(matches!(again, Err(LayerFault::Repeated { ran: 8, .. })));
}

#[test]
fn an_overlapping_range_elsewhere_runs_a_layer_twice() {
    let fixture = Fixture::new();
    fixture.run("a", (0, 4), 0).unwrap();
    let overlapping = fixture.run("b", (3, 8), 0);
    assert!(matches!(
        overlapping,
        Err(LayerFault::Repeated { layer: 3, .. })
    ));
}

#[test]
fn no_position_is_left_out() {
    let fixture = Fixture::new();
    fixture.run("a", (0, 4), 0).unwrap();
    let skipping = fixture.run("a", (0, 4), 2);
    assert!(matches!(skipping, Err(LayerFault::Skipped { .. })));
}

#[test]
fn a_layer_runs_after_the_one_below() {
    let fixture = Fixture::new();
    fixture.run("a", (0, 4), 0).unwrap();
    fixture.run("b", (4, 8), 0).unwrap();
    let early = fixture.run("b", (4, 8), 1);
    assert!(matches!(early, Err(LayerFault::OutOfOrder { layer: 3 })));
}
