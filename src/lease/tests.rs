//! Several processes that compete for one lease, with random orders of events.

use proptest::prelude::*;

use super::{LEASE_MS, Lease, LeaseEvent, MARGIN_MS, MAX_ORDER_DELAY_MS};
use crate::clients::TableFailure;
use crate::control::tests::fake_table::FakeTable;
use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::instance::{TableCall, TableReply};

const PROCESSES: usize = 3;

/// One step of one process.
#[derive(Clone, Debug)]
enum Step {
    /// Makes the due call, which the table executes at once.
    Call { process: usize, fate: Fate },
    /// Time passes for all processes.
    Pass { ms: u64 },
    /// Changes whether the process wants the lease.
    Want { process: usize, wanted: bool },
    /// A call whose reply was lost takes effect now.
    Late { process: usize },
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Delivered,
    NotSent,
    AppliedReplyLost,
    AppliedLate,
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    let fate = prop_oneof![
        4 => Just(Fate::Delivered),
        1 => Just(Fate::NotSent),
        1 => Just(Fate::AppliedReplyLost),
        1 => Just(Fate::AppliedLate),
    ];
    prop_oneof![
        6 => (process.clone(), fate).prop_map(|(process, fate)| Step::Call { process, fate }),
        3 => (1..4_000_u64).prop_map(|ms| Step::Pass { ms }),
        1 => (process.clone(), any::<bool>())
            .prop_map(|(process, wanted)| Step::Want { process, wanted }),
        1 => process.prop_map(|process| Step::Late { process }),
    ]
}

struct Simulation {
    now_ms: u64,
    table: FakeTable,
    leases: Vec<Lease>,
    late: Vec<Option<TableCall>>,
    /// Fencing tokens under which the lease was acquired, with their process.
    taken: Vec<(u64, usize)>,
}

impl Simulation {
    fn new() -> Self {
        let lease = |index: usize| {
            let mut lease = Lease::new(
                ServiceName::from("s"),
                InstanceId::from(format!("entry-{index}")),
                incarnation(index),
            );
            lease.want(true);
            lease
        };
        Self {
            now_ms: 0,
            table: FakeTable::default(),
            leases: (0..PROCESSES).map(lease).collect(),
            late: vec![None; PROCESSES],
            taken: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Call { process, fate } => self.call(process, fate),
            Step::Pass { ms } => self.now_ms += ms,
            Step::Want { process, wanted } => self.leases[process].want(wanted),
            Step::Late { process } => {
                if let Some(call) = self.late[process].take() {
                    self.table.call(&call);
                }
            }
        }
    }

    fn call(&mut self, process: usize, fate: Fate) {
        let Some(call) = self.leases[process].due(self.now_ms) else {
            return;
        };
        let result: Result<TableReply, TableFailure> = match fate {
            Fate::Delivered => Ok(self.table.call(&call)),
            Fate::NotSent => Err(TableFailure::NotSent),
            Fate::AppliedReplyLost => {
                self.table.call(&call);
                Err(TableFailure::ReplyLost)
            }
            Fate::AppliedLate => {
                self.late[process] = Some(call);
                Err(TableFailure::ReplyLost)
            }
        };
        let event = self.leases[process].answered(result, self.now_ms);
        if let Some(LeaseEvent::Taken { fence }) = event {
            self.taken.push((fence, process));
        }
    }

    fn holders(&self) -> usize {
        let held = |lease: &&Lease| lease.held(self.now_ms).is_some();
        self.leases.iter().filter(held).count()
    }
}

fn incarnation(index: usize) -> Incarnation {
    serde_json::from_str(&format!("\"00000000-0000-0000-0000-00000000000{index}\"")).unwrap()
}

proptest! {
    #[test]
    fn at_most_one_process_holds_the_lease_and_fences_only_increase(
        steps in proptest::collection::vec(step(), 1..300),
    ) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            prop_assert!(simulation.holders() <= 1);
        }
        let mut highest = 0;
        for (fence, process) in &simulation.taken {
            let mut before = simulation.taken.iter();
            prop_assert!(before.all(|(other, by)| other != fence || by == process));
            prop_assert!(*fence >= highest);
            highest = *fence;
        }
    }
}

fn run(simulation: &mut Simulation, process: usize, for_ms: u64) {
    let end_ms = simulation.now_ms + for_ms;
    while simulation.now_ms < end_ms {
        simulation.call(process, Fate::Delivered);
        simulation.now_ms += 100;
    }
}

#[test]
fn a_lease_is_kept_as_long_as_it_is_renewed() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    for _ in 0..100 {
        run(&mut simulation, 0, 500);
        run(&mut simulation, 1, 500);
        assert!(simulation.leases[0].held(simulation.now_ms).is_some());
    }
    assert_eq!(simulation.taken, [(1, 0)]);
}

#[test]
fn a_lost_renewal_still_counts_after_a_call_of_the_same_millisecond_that_was_not_sent() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 1, 2_000);
    simulation.now_ms += 3_000;
    simulation.call(1, Fate::AppliedReplyLost);
    simulation.leases[1].want(false);
    simulation.leases[1].want(true);
    simulation.call(1, Fate::NotSent);
    let renewed_ms = simulation.now_ms;
    run(&mut simulation, 0, 100);
    simulation.now_ms = renewed_ms + 8_000;
    simulation.call(1, Fate::Delivered);
    let held = simulation.leases[1].held(simulation.now_ms);
    assert_eq!(
        held.map(|held| held.valid_until_ms),
        Some(renewed_ms + LEASE_MS)
    );
    simulation.now_ms = renewed_ms + LEASE_MS + MARGIN_MS;
    simulation.call(0, Fate::Delivered);
    assert_eq!(simulation.holders(), 1);
}

#[test]
fn an_expired_lease_is_taken_over_under_a_higher_fence() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    run(&mut simulation, 1, 15_000);
    assert_eq!(simulation.taken, [(1, 0), (2, 1)]);
    assert_eq!(simulation.leases[0].held(simulation.now_ms), None);
}

#[test]
fn a_released_lease_is_acquired_at_once() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    simulation.leases[0].want(false);
    run(&mut simulation, 0, 200);
    run(&mut simulation, 1, 1_500);
    assert_eq!(simulation.taken, [(1, 0), (2, 1)]);
}

/// The first process holds the lease, and the second one has read the row.
fn held_by_the_first() -> Simulation {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    run(&mut simulation, 1, 200);
    simulation
}

#[test]
fn a_lease_whose_holder_has_ended_is_acquired_at_once() {
    let mut simulation = held_by_the_first();
    let holder = simulation.leases[1].holder().expect("it was read");
    assert_eq!((holder.fence, holder.has_renewed), (1, false));
    assert!(simulation.leases[1].record_holder_ended(holder.fence));
    assert!(
        !simulation.leases[1].record_holder_ended(holder.fence),
        "it is already known"
    );
    run(&mut simulation, 1, 300);
    assert_eq!(simulation.taken, [(1, 0), (2, 1)]);
}

#[test]
fn a_holder_that_renews_is_seen_alive() {
    let mut simulation = held_by_the_first();
    run(&mut simulation, 0, 4_000);
    run(&mut simulation, 1, 1_500);
    let holder = simulation.leases[1].holder().expect("it was read");
    assert!(holder.has_renewed);
}

#[test]
fn a_new_process_of_the_holders_instance_acquires_the_lease_at_once() {
    let mut simulation = held_by_the_first();
    let service = ServiceName::from("s");
    let instance = InstanceId::from("entry-0");
    simulation.leases[2] = Lease::new(service, instance, incarnation(9));
    simulation.leases[2].want(true);
    run(&mut simulation, 2, 300);
    assert_eq!(simulation.taken, [(1, 0), (2, 2)]);
}

#[test]
fn without_fences_a_new_holder_waits_for_orders_of_the_previous_one() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    while simulation.taken.len() < 2 {
        run(&mut simulation, 1, 100);
    }
    assert!(
        simulation.leases[1]
            .may_send_orders(true, simulation.now_ms)
            .is_some()
    );
    assert_eq!(
        simulation.leases[1].may_send_orders(false, simulation.now_ms),
        None
    );
    run(&mut simulation, 1, MAX_ORDER_DELAY_MS);
    assert!(
        simulation.leases[1]
            .may_send_orders(false, simulation.now_ms)
            .is_some()
    );
}

#[test]
fn a_lease_that_expired_in_an_outage_is_renewed_under_the_same_fence() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    for _ in 0..40 {
        simulation.now_ms += 500;
        simulation.call(0, Fate::NotSent);
    }
    assert_eq!(simulation.leases[0].held(simulation.now_ms), None);
    run(&mut simulation, 0, 1_000);
    let held = simulation.leases[0].held(simulation.now_ms).unwrap();
    assert_eq!(held.fence, 1);
    assert!(held.valid_until_ms > simulation.now_ms + LEASE_MS / 2);
}

#[test]
fn a_fence_is_not_taken_again_after_the_table_came_back_from_an_older_copy() {
    let mut simulation = Simulation::new();
    run(&mut simulation, 0, 2_000);
    let copy = simulation.table.clone();
    simulation.leases[0].want(false);
    run(&mut simulation, 0, 200);
    run(&mut simulation, 1, 1_500);
    simulation.leases[1].want(false);
    run(&mut simulation, 1, 200);
    simulation.table = copy;
    simulation.leases[1].want(true);
    run(&mut simulation, 1, 15_000);
    assert_eq!(simulation.taken, [(1, 0), (2, 1), (3, 1)]);
}
