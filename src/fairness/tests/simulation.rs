//! Simulation of seven entries in front of one pool of engines. Compares shares computed over all
//! entries with entries that are each fair on their own.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::super::*;
use crate::admission::{Admission, QueueRequest};
use crate::document::{Account, Document, Priority, ServiceKind};
use crate::ids::{AccountId, InstanceId, ServiceName};
use crate::instance::CallerId;
use crate::wire::local::AccountShare;

const ENTRIES: usize = 7;
const SERVICE: &str = "copywriter-pool";
/// Concurrent streams of the engines, and tokens per second of each.
const SLOTS: usize = 140;
const SLOT_TOKENS_PER_S: f64 = 30.0;
const CAPACITY_TOKENS_PER_S: f64 = SLOTS as f64 * SLOT_TOKENS_PER_S;
const STEP_MS: u64 = 100;
const WARM_UP_MS: u64 = 10_000;
const END_MS: u64 = 70_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// Shares over all entries, recomputed every second.
    Global,
    /// Every entry has an equal part of the pool and uses the configured weights.
    LocalOnly,
}

/// An account, the entries it sends to, and its number of callers at each of them.
#[derive(Clone)]
struct AccountLoad {
    account: AccountId,
    weight: f64,
    entries: Vec<usize>,
    callers: usize,
    priority: Priority,
}

fn load(name: &str, weight: f64, entries: &[usize], callers: usize) -> AccountLoad {
    AccountLoad {
        account: name.into(),
        weight,
        entries: entries.to_vec(),
        callers,
        priority: Priority::Standard,
    }
}

struct Stream {
    caller: CallerId,
    load: usize,
    length_tokens: f64,
    spent_tokens: f64,
}

struct Node {
    admission: Admission,
    running: Vec<Stream>,
    /// AccountLoad index and actual length of each queued request.
    lengths: IndexMap<CallerId, (usize, f64)>,
    /// Time of the next request and load index of each idle caller.
    idle: Vec<(u64, usize)>,
    last_id: u64,
}

struct Simulation {
    mode: Mode,
    loads: Vec<AccountLoad>,
    nodes: Vec<Node>,
    service: ServiceName,
    rng: StdRng,
    spent: Vec<f64>,
    /// Number of enqueue attempts, and of dispatched requests.
    offered: u64,
    dispatched: u64,
}

impl Simulation {
    fn new(mode: Mode, loads: &[AccountLoad], seed: u64) -> Self {
        let service = ServiceName::from(SERVICE);
        let documents = IndexMap::from([(service.clone(), document(loads))]);
        let node = |index: usize| {
            let mut admission = Admission::new(seed + index as u64);
            admission.set_accounts(&documents);
            admission.set_capacity(&service, CAPACITY_TOKENS_PER_S);
            let here = (0..loads.len()).filter(|&load| loads[load].entries.contains(&index));
            let idle = here
                .flat_map(|load| vec![(0, load); loads[load].callers])
                .collect();
            Node {
                admission,
                running: Vec::new(),
                lengths: IndexMap::new(),
                idle,
                last_id: 0,
            }
        };
        Self {
            mode,
            loads: loads.to_vec(),
            nodes: (0..ENTRIES).map(node).collect(),
            service,
            rng: StdRng::seed_from_u64(seed),
            spent: vec![0.0; loads.len()],
            offered: 0,
            dispatched: 0,
        }
    }

    /// Returns the tokens per second of each account, and the enqueue attempts per dispatched request.
    fn run(mut self) -> (Vec<f64>, f64) {
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if self.mode == Mode::Global && now_ms % 1_000 == 0 {
                self.update_shares(now_ms);
            }
            for index in 0..ENTRIES {
                self.send_requests(index, now_ms);
                self.dispatch(index, now_ms);
            }
            self.generate(now_ms);
        }
        let measured_s = (END_MS - WARM_UP_MS) as f64 / 1_000.0;
        let spent = self.spent.iter().map(|spent| spent / measured_s).collect();
        (spent, self.offered as f64 / self.dispatched as f64)
    }

    fn send_requests(&mut self, index: usize, now_ms: u64) {
        let node = &mut self.nodes[index];
        for (at_ms, load) in std::mem::take(&mut node.idle) {
            if at_ms > now_ms {
                node.idle.push((at_ms, load));
                continue;
            }
            node.last_id += 1;
            let caller = CallerId(node.last_id);
            let request = QueueRequest {
                caller,
                service: &self.service,
                account: &self.loads[load].account,
                cost_tokens: 200,
                deadline: None,
            };
            self.offered += 1;
            match node.admission.enqueue(request, now_ms) {
                Ok(()) => {
                    let length = self.rng.random_range(20.0..180.0);
                    node.lengths.insert(caller, (load, length));
                }
                Err(refusal) => {
                    let after_ms = refusal.retry_after_ms.unwrap_or(1_000);
                    node.idle.push((now_ms + after_ms, load));
                }
            }
        }
    }

    fn dispatch(&mut self, index: usize, now_ms: u64) {
        let node = &mut self.nodes[index];
        for (caller, refusal) in node.admission.expire(now_ms) {
            let (load, _) = node.lengths.swap_remove(&caller).unwrap();
            let after_ms = refusal.retry_after_ms.unwrap_or(1_000);
            node.idle.push((now_ms + after_ms, load));
        }
        let part = match self.mode {
            Mode::Global => node.admission.entry_fraction(&self.service),
            Mode::LocalOnly => None,
        };
        let slots = part.unwrap_or(1.0 / ENTRIES as f64) * SLOTS as f64;
        while node.running.len() < slots.round() as usize {
            let Some(caller) = node.admission.dequeue(&self.service, now_ms) else {
                break;
            };
            let (load, length_tokens) = node.lengths.swap_remove(&caller).unwrap();
            self.dispatched += 1;
            node.running.push(Stream {
                caller,
                load,
                length_tokens,
                spent_tokens: 0.0,
            });
        }
    }

    /// Runs every stream for one step; streams beyond the number of slots slow all of them down.
    fn generate(&mut self, now_ms: u64) {
        let running: usize = self.nodes.iter().map(|node| node.running.len()).sum();
        let slowdown = (SLOTS as f64 / running.max(1) as f64).min(1.0);
        let tokens = SLOT_TOKENS_PER_S * slowdown * STEP_MS as f64 / 1_000.0;
        for node in &mut self.nodes {
            for stream in &mut node.running {
                let account = &self.loads[stream.load].account;
                stream.spent_tokens += tokens;
                node.admission
                    .charge(&self.service, account, tokens.round() as u32, now_ms);
                if now_ms >= WARM_UP_MS {
                    self.spent[stream.load] += tokens;
                }
            }
            let ended = |stream: &mut Stream| stream.spent_tokens >= stream.length_tokens;
            for stream in node.running.extract_if(.., ended) {
                node.admission.remove(stream.caller, now_ms);
                node.idle.push((now_ms + 100, stream.load));
            }
        }
    }

    fn update_shares(&mut self, now_ms: u64) {
        let weights: IndexMap<AccountId, f64> = self
            .loads
            .iter()
            .map(|load| (load.account.clone(), load.weight))
            .collect();
        let mut demands = Vec::new();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            for demand in node.admission.demands(now_ms) {
                demands.push(EntryDemand {
                    entry: InstanceId::from(format!("entry-{index}")),
                    account: demand.account,
                    wanted_tokens_per_s: demand.wanted_tokens_per_s,
                });
            }
        }
        let shares = divide_capacity(CAPACITY_TOKENS_PER_S, &weights, &demands);
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let entry = InstanceId::from(format!("entry-{index}"));
            let own: Vec<AccountShare> = shares
                .iter()
                .filter(|share| share.entry == entry)
                .map(|share| AccountShare {
                    service: self.service.clone(),
                    account: share.account.clone(),
                    tokens_per_s: share.tokens_per_s,
                    entitled_tokens_per_s: share.entitled_tokens_per_s,
                })
                .collect();
            node.admission.set_shares(&own, now_ms);
        }
    }
}

fn document(loads: &[AccountLoad]) -> Document {
    let account = |load: &AccountLoad| Account {
        weight: load.weight,
        priority: load.priority,
        key_digests: Vec::new(),
    };
    Document {
        service: SERVICE.into(),
        kind: ServiceKind::Application,
        accounts: loads
            .iter()
            .map(|load| (load.account.clone(), account(load)))
            .collect(),
        operators: IndexMap::new(),
        non_idempotent: Vec::new(),
        leaving: Vec::new(),
        engines_check_fence: true,
    }
}

/// Returns the lowest ratio of an account's throughput to its fair share, and the used fraction of
/// the capacity.
fn worst_ratio(mode: Mode, loads: &[AccountLoad], seed: u64) -> (f64, f64) {
    let (spent, offers) = Simulation::new(mode, loads, seed).run();
    let claims: Vec<ShareClaim> = loads
        .iter()
        .map(|load| ShareClaim {
            weight: load.weight,
            demand: (load.callers * load.entries.len()) as f64 * SLOT_TOKENS_PER_S,
        })
        .collect();
    let fair = max_min(CAPACITY_TOKENS_PER_S, &claims);
    println!("{mode:?} seed={seed} spent={spent:.0?} fair={fair:.0?} offers={offers:.2}");
    let parts = spent.iter().zip(&fair).map(|(spent, fair)| spent / fair);
    let used = spent.iter().sum::<f64>() / CAPACITY_TOKENS_PER_S;
    (parts.fold(f64::INFINITY, f64::min), used)
}

/// Prints the figures in `docs/notes/FAIRNESS.md` and returns the lowest ratio of each mode.
fn compare(name: &str, loads: &[AccountLoad]) -> (f64, f64) {
    let mut least = [f64::INFINITY; 2];
    for seed in 0..5 {
        let (global, used) = worst_ratio(Mode::Global, loads, seed);
        let (local, used_local) = worst_ratio(Mode::LocalOnly, loads, seed);
        println!(
            "{name} seed={seed} global={global:.3} used={used:.3} local={local:.3} used={used_local:.3}"
        );
        least = [least[0].min(global), least[1].min(local)];
    }
    (least[0], least[1])
}

const ALL: [usize; ENTRIES] = [0, 1, 2, 3, 4, 5, 6];

#[test]
fn one_entry_against_seven() {
    let loads = [load("solo", 1.0, &[0], 200), load("spread", 1.0, &ALL, 60)];
    let (global, local) = compare("one-against-seven", &loads);
    assert!(global > 0.97 && local < 0.2, "{global} {local}");
}

#[test]
fn large_and_small_agencies() {
    let mut loads = vec![
        load("malabar-tours", 5.0, &[0], 200),
        load("backwater-voyages", 5.0, &ALL, 60),
        load("spice-coast-trips", 5.0, &[1, 2, 3], 60),
        load("monsoon-journeys", 5.0, &[4, 5], 100),
    ];
    loads.extend([0, 3, 6].map(|entry| load(&format!("agency-{entry}"), 1.0, &[entry], 4)));
    let (global, local) = compare("houses-and-agencies", &loads);
    assert!(global > 0.95 && local < 0.3, "{global} {local}");
}

#[test]
fn a_chain_and_many_small_accounts() {
    let mut loads = vec![
        load("grill-chain", 6.0, &[0], 96),
        load("carthage-hotel", 4.0, &ALL, 9),
        load("gammarth-resort", 4.0, &ALL, 9),
    ];
    let small = ["a", "b", "c", "d", "e", "f", "g"];
    loads.extend(small.map(|name| load(name, 1.0, &ALL, 2)));
    for at in [0, 1, 3, 4] {
        loads[at].priority = Priority::Interactive;
    }
    loads[9].priority = Priority::Batch;
    let (global, local) = compare("chain-and-small", &loads);
    assert!(global > 0.9 && local < 0.8, "{global} {local}");
}
