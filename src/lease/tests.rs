//! Several processes that want one lease, over every order of events.

use proptest::prelude::*;

use super::{LEASE_MS, Lease, LeaseEvent, MAX_ORDER_DELAY_MS};
use crate::clients::TableFailure;
use crate::control::tests::fake_table::FakeTable;
use crate::ids::{Incarnation, InstanceId, ServiceName};
use crate::instance::{TableCall, TableReply};

const PROCESSES: usize = 3;

/// One step of one process.
#[derive(Clone, Debug)]
enum Step {
    /// Makes its call; the table carries it out at once.
    Call { process: usize, fate: Fate },
    /// Time passes for everybody.
    Pass { ms: u64 },
    /// Changes whether it wants the lease.
    Want { process: usize, wanted: bool },
    /// A call whose reply was lost takes effect only now.
    Late { process: usize },
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Whole,
    NotSent,
    AppliedReplyLost,
    LostThenLate,
}

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    let fate = prop_oneof![
        4 => Just(Fate::Whole),
        1 => Just(Fate::NotSent),
        1 => Just(Fate::AppliedReplyLost),
        1 => Just(Fate::LostThenLate),
    ];
    prop_oneof![
        6 => (process.clone(), fate).prop_map(|(process, fate)| Step::Call { process, fate }),
        3 => (1..4_000_u64).prop_map(|ms| Step::Pass { ms }),
        1 => (process.clone(), any::<bool>())
            .prop_map(|(process, wanted)| Step::Want { process, wanted }),
        1 => process.prop_map(|process| Step::Late { process }),
    ]
}

struct World {
    now_ms: u64,
    table: FakeTable,
    leases: Vec<Lease>,
    late: Vec<Option<TableCall>>,
    /// Fencing numbers taken, with their process.
    taken: Vec<(u64, usize)>,
}

impl World {
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
            Fate::Whole => Ok(self.table.call(&call)),
            Fate::NotSent => Err(TableFailure::NotSent),
            Fate::AppliedReplyLost => {
                self.table.call(&call);
                Err(TableFailure::ReplyLost)
            }
            Fate::LostThenLate => {
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
    fn never_two_hold_the_lease_and_fences_only_grow(
        steps in proptest::collection::vec(step(), 1..300),
    ) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            prop_assert!(world.holders() <= 1);
        }
        let mut highest = 0;
        for (fence, process) in &world.taken {
            let mut before = world.taken.iter();
            prop_assert!(before.all(|(other, by)| other != fence || by == process));
            prop_assert!(*fence >= highest);
            highest = *fence;
        }
    }
}

fn drive(world: &mut World, process: usize, for_ms: u64) {
    let end_ms = world.now_ms + for_ms;
    while world.now_ms < end_ms {
        world.call(process, Fate::Whole);
        world.now_ms += 100;
    }
}

#[test]
fn a_lease_is_kept_as_long_as_it_is_renewed() {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    for _ in 0..100 {
        drive(&mut world, 0, 500);
        drive(&mut world, 1, 500);
        assert!(world.leases[0].held(world.now_ms).is_some());
    }
    assert_eq!(world.taken, [(1, 0)]);
}

#[test]
fn a_lapsed_lease_is_taken_over_under_a_higher_fence() {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    drive(&mut world, 1, 15_000);
    assert_eq!(world.taken, [(1, 0), (2, 1)]);
    assert_eq!(world.leases[0].held(world.now_ms), None);
}

#[test]
fn a_lease_given_back_is_taken_at_once() {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    world.leases[0].want(false);
    drive(&mut world, 0, 200);
    drive(&mut world, 1, 1_500);
    assert_eq!(world.taken, [(1, 0), (2, 1)]);
}

/// The second process reads the row that the first one holds.
fn held_by_the_first() -> World {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    drive(&mut world, 1, 200);
    world
}

#[test]
fn a_lease_whose_holder_has_ended_is_taken_at_once() {
    let mut world = held_by_the_first();
    let holder = world.leases[1].holder().expect("it was read");
    assert_eq!((holder.fence, holder.has_renewed), (1, false));
    assert!(world.leases[1].record_holder_ended(holder.fence));
    assert!(
        !world.leases[1].record_holder_ended(holder.fence),
        "that is known"
    );
    drive(&mut world, 1, 300);
    assert_eq!(world.taken, [(1, 0), (2, 1)]);
}

#[test]
fn a_holder_that_renews_is_seen_to_live() {
    let mut world = held_by_the_first();
    drive(&mut world, 0, 4_000);
    drive(&mut world, 1, 1_500);
    let holder = world.leases[1].holder().expect("it was read");
    assert!(holder.has_renewed);
}

#[test]
fn a_new_process_of_the_holders_instance_takes_the_lease_at_once() {
    let mut world = held_by_the_first();
    let service = ServiceName::from("s");
    let instance = InstanceId::from("entry-0");
    world.leases[2] = Lease::new(service, instance, incarnation(9));
    world.leases[2].want(true);
    drive(&mut world, 2, 300);
    assert_eq!(world.taken, [(1, 0), (2, 2)]);
}

#[test]
fn without_fences_orders_of_the_last_holder_are_waited_out() {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    while world.taken.len() < 2 {
        drive(&mut world, 1, 100);
    }
    assert!(
        world.leases[1]
            .may_send_orders(true, world.now_ms)
            .is_some()
    );
    assert_eq!(world.leases[1].may_send_orders(false, world.now_ms), None);
    drive(&mut world, 1, MAX_ORDER_DELAY_MS);
    assert!(
        world.leases[1]
            .may_send_orders(false, world.now_ms)
            .is_some()
    );
}

#[test]
fn an_outage_ends_the_lease_and_renewal_afterwards_goes_on_under_it() {
    let mut world = World::new();
    drive(&mut world, 0, 2_000);
    for _ in 0..40 {
        world.now_ms += 500;
        world.call(0, Fate::NotSent);
    }
    assert_eq!(world.leases[0].held(world.now_ms), None);
    drive(&mut world, 0, 1_000);
    let held = world.leases[0].held(world.now_ms).unwrap();
    assert_eq!(held.fence, 1);
    assert!(held.valid_until_ms > world.now_ms + LEASE_MS / 2);
}
