use std::sync::atomic::{AtomicBool, Ordering};

use super::settings::{Placed, write_settings};
use crate::deployment;
use crate::topology::Topology;

const WRITES: usize = 300;

fn small_topology() -> Topology {
    let deployment = deployment::read("small").expect("deployment");
    deployment::build_topology(&deployment, || ([127, 0, 0, 1], 1).into())
}

#[test]
fn settings_written_again_are_never_read_in_part() {
    let topology = small_topology();
    let entry = &topology.entries[0];
    let dir = tempfile::tempdir().expect("directory");
    let placed = Placed {
        entry,
        control_listen: entry.control_address,
        platform: &topology.platform,
        stop_limit_s: 0,
    };
    let write = || write_settings(&placed, dir.path());
    let path = write().expect("written");
    let whole = std::fs::read_to_string(&path).expect("read");
    let done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..WRITES {
                write().expect("written");
            }
            done.store(true, Ordering::Relaxed);
        });
        while !done.load(Ordering::Relaxed) {
            assert_eq!(std::fs::read_to_string(&path).expect("read"), whole);
        }
    });
}
