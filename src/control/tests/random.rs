//! Long random runs. A failing seed is printed; one that ever failed stays in `KEPT`.

use rand::RngExt;

use super::documents::{accept, answer, cell};
use super::sim::Sim;
use crate::instance::CallId;
use crate::wire::operator::AcceptReply;

const SEEDS: u64 = 30;
const KEPT: [u64; 0] = [];
const STEPS: u64 = 80;

/// An accepted change that is being followed.
struct Followed {
    revision: u64,
    acceptor: usize,
    due_ms: u64,
    faults: u64,
}

struct Run {
    sim: Sim,
    calls: Vec<(usize, CallId, u64)>,
    followed: Vec<Followed>,
    /// Grows with every change of faults.
    faults: u64,
    next_change: u128,
    answered: u64,
    won: u64,
}

#[test]
fn no_instance_goes_back_and_accepted_changes_are_in_force_within_five_seconds() {
    let mut won = 0;
    let mut checked = 0;
    for seed in (0..SEEDS).chain(KEPT) {
        println!("seed {seed}"); // shown where the run fails
        let mut run = Run {
            sim: cell(5, seed),
            calls: Vec::new(),
            followed: Vec::new(),
            faults: 0,
            next_change: 100,
            answered: 0,
            won: 0,
        };
        for _ in 0..STEPS {
            run.step();
            checked += run.check();
        }
        run.heal();
        won += run.won;
    }
    assert!(
        won > 100 && checked > 100,
        "{won} accepted, {checked} checked"
    );
}

impl Run {
    fn step(&mut self) {
        let node = self.sim.rng.random_range(0..5);
        match self.sim.rng.random_range(0..24) {
            0 => self.change_faults(|sim| sim.faults.store_down = !sim.faults.store_down),
            1 => self.change_faults(|sim| {
                if !sim.faults.store_cut.swap_remove(&node) {
                    sim.faults.store_cut.insert(node);
                }
            }),
            // Peers are only cut while everyone reaches the store: else a new instance may hear
            // from nobody who knows the highest revision.
            2 if self.store_is_whole() => self.change_faults(|sim| {
                sim.faults.peers_cut.insert(node);
            }),
            3 => self.change_faults(|sim| {
                sim.kill(node);
                sim.start(node);
            }),
            4 if self.sim.works(node) => {
                self.change_faults(|sim| sim.nodes[node].frozen = true);
            }
            5 => self.change_faults(|sim| {
                (0..5).for_each(|node| sim.thaw(node));
            }),
            6 => self.sim.faults.lost_percent = 30 - self.sim.faults.lost_percent,
            7..13 => self.race(node),
            _ => {}
        }
        if !self.store_is_whole() {
            self.sim.faults.peers_cut.clear();
        }
        let for_ms = self.sim.rng.random_range(10..3_000);
        self.sim.run(for_ms);
    }

    fn store_is_whole(&self) -> bool {
        !self.sim.faults.store_down && self.sim.faults.store_cut.is_empty()
    }

    fn change_faults<F>(&mut self, change: F)
    where
        F: FnOnce(&mut Sim),
    {
        self.faults += 1;
        change(&mut self.sim);
    }

    /// Two operators accept on top of what each instance shows.
    fn race(&mut self, node: usize) {
        for node in [node, (node + 1) % 5] {
            if self.sim.works(node) && self.sim.in_force(node) > 0 {
                let base = self.sim.in_force(node);
                self.next_change += 1;
                let call = accept(&mut self.sim, node, base, self.next_change);
                self.calls.push((node, call, base));
            }
        }
    }

    fn check(&mut self) -> u64 {
        let mut winners = Vec::new();
        for (node, call, base) in std::mem::take(&mut self.calls) {
            match answer(&self.sim, call) {
                None => self.calls.push((node, call, base)),
                Some(Ok(AcceptReply::Accepted { revision, .. })) => {
                    assert_eq!(revision, base + 1);
                    winners.push(revision);
                    self.followed.push(Followed {
                        revision,
                        acceptor: node,
                        due_ms: self.sim.now_ms + 5_000,
                        faults: self.faults,
                    });
                }
                Some(_) => self.answered += 1,
            }
        }
        self.won += winners.len() as u64;
        let mut unique = winners.clone();
        unique.dedup();
        assert_eq!(unique, winners, "two winners of one revision");
        self.check_in_force()
    }

    fn check_in_force(&mut self) -> u64 {
        let now_ms = self.sim.now_ms;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.followed)
            .into_iter()
            .partition(|it| it.due_ms <= now_ms);
        self.followed = rest;
        let steady = due.iter().filter(|it| it.faults == self.faults);
        let mut checked = 0;
        for change in steady {
            checked += 1;
            for node in 0..5 {
                let sim = &self.sim;
                let source = sim.works(change.acceptor) && !sim.is_cut(node, change.acceptor);
                let reaches = source || !sim.is_store_cut(node);
                if sim.works(node) && reaches {
                    assert!(
                        sim.in_force(node) >= change.revision,
                        "instance {node} has revision {} and not {} five seconds later",
                        sim.in_force(node),
                        change.revision
                    );
                }
            }
        }
        checked
    }

    /// Once nothing fails any more, every instance comes to the same revision.
    fn heal(&mut self) {
        self.sim.faults = super::sim::Faults::default();
        for node in 0..5 {
            self.sim.thaw(node);
        }
        self.sim.run(10_000);
        let revisions: Vec<u64> = (0..5).map(|node| self.sim.in_force(node)).collect();
        assert!(
            revisions.iter().all(|it| *it == revisions[0]),
            "{revisions:?}"
        );
        assert!(revisions[0] > 0);
    }
}
