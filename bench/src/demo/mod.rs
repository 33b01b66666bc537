//! A short run of a whole deployment, with one entry and one engine killed midway.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use fescueshore::ids::{AccountId, EndpointId};
use futures_util::future::join_all;

use crate::caller::{Book, Caller, CallerOptions, Counts, SharedBook};
use crate::deployment::Deployment;
use crate::fleet::{Fleet, FleetError, ProcessName, wait_until};
use crate::mix::{Lengths, Mix, Parts};
use crate::tally::{Findings, Tally};

/// Requests asked.
const REQUESTS: u64 = 200;
/// Callers in all; each account has as many.
const CALLERS: usize = 20;
/// How long the requests may take in all.
const ASK_LIMIT: Duration = Duration::from_secs(35);
/// How long a pause between non-idempotent calls may be awaited.
const WRITES_LIMIT: Duration = Duration::from_secs(10);
/// Seed of the requests.
const SEED: u64 = 20_261_202;

/// What a demo showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoResult {
    /// Counts of the callers.
    pub counts: Counts,
    /// Counts of the stand-ins.
    pub findings: Findings,
}

impl DemoResult {
    /// Whether every count is as it should be.
    pub fn is_good(&self) -> bool {
        self.counts.asked == REQUESTS
            && self.counts.answered == self.counts.asked
            && self.counts.doubled + self.counts.incomplete + self.counts.malformed == 0
            && self.findings.crossed == 0
            && self.findings.layer_faults == 0
            && self.findings.double_runs == 0
            && self.findings.false_not_run == 0
    }
}

impl fmt::Display for DemoResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "demo: answered={} asked={} crossed={} layer_faults={} double_runs={}",
            self.counts.answered,
            self.counts.asked,
            self.findings.crossed,
            self.findings.layer_faults,
            self.findings.double_runs
        )
    }
}

/// Starts the deployment, asks, kills, counts, and ends everything it started.
///
/// # Errors
/// Fails if the fleet cannot be started or its stand-ins cannot be asked.
pub async fn run(deployment: Deployment) -> Result<DemoResult, FleetError> {
    let mut fleet = Fleet::prepare(deployment)?;
    let engine = fleet.topology().engines[0].name.clone();
    fleet.run_apart(vec![engine.clone()]);
    fleet.start().await?;
    let topology = fleet.topology();
    println!(
        "started {} entry instances, {} engines and {} application replicas",
        topology.entries.len(),
        topology.engines.len(),
        topology.applications.len()
    );
    let callers = Callers::new(&fleet);
    let mut tally = Tally::default();
    let asking = callers.ask_all(&fleet);
    let killing = kill_midway(&callers, &mut fleet, &engine, &mut tally);
    let ((), killed) = futures_util::join!(asking, killing);
    killed?;
    tally.read_all(&fleet, &[engine]).await?;
    let book = callers.book.borrow();
    Ok(DemoResult {
        counts: book.counts(),
        findings: tally.judge(&book),
    })
}

/// What the callers of a demo share.
struct Callers {
    book: SharedBook,
    mix: RefCell<Mix>,
    left: Cell<u64>,
    /// Whether non-idempotent calls wait.
    writes_held: Cell<bool>,
}

impl Callers {
    fn new(fleet: &Fleet) -> Rc<Self> {
        let mix = Mix::new(
            fleet.deployment(),
            Parts::default(),
            Lengths::default(),
            SEED,
        );
        Rc::new(Self {
            book: Rc::new(RefCell::new(Book::default())),
            mix: RefCell::new(mix),
            left: Cell::new(REQUESTS),
            writes_held: Cell::new(false),
        })
    }

    /// Lets every account's callers ask until no request is left.
    fn ask_all(self: &Rc<Self>, fleet: &Fleet) -> impl Future<Output = ()> + use<> {
        let seeds = fleet.entry_addresses();
        let mut asking = Vec::new();
        let accounts = &fleet.deployment().load.accounts;
        for account in accounts {
            for number in 0..CALLERS / accounts.len() {
                let options = CallerOptions::new(SEED + number as u64, ASK_LIMIT);
                let caller = Caller::new(seeds.clone(), options, self.book.clone());
                asking.push(
                    self.clone()
                        .ask_until_none_left(caller, account.name.clone()),
                );
            }
        }
        async {
            join_all(asking).await;
        }
    }

    async fn ask_until_none_left(self: Rc<Self>, mut caller: Caller, account: AccountId) {
        while self.left.get() > 0 {
            self.left.set(self.left.get() - 1);
            let request = self.mix.borrow_mut().draw_for(&account);
            if request.idempotency_key().is_some() {
                wait_until(WRITES_LIMIT, async || !self.writes_held.get()).await;
            }
            caller.ask(request).await;
        }
    }
}

/// Kills an entry and an engine once half of the requests have ended.
///
/// A non-idempotent call that was dispatched by an entry when it dies has a result that nobody
/// knows, and is answered `unknown` for good. So the entry dies between two such calls.
async fn kill_midway(
    callers: &Callers,
    fleet: &mut Fleet,
    engine: &EndpointId,
    tally: &mut Tally,
) -> Result<(), FleetError> {
    wait_until(ASK_LIMIT, async || {
        callers.book.borrow().ended() >= REQUESTS / 2
    })
    .await;
    callers.writes_held.set(true);
    wait_until(WRITES_LIMIT, async || {
        callers.book.borrow().writes_in_flight() == 0
    })
    .await;
    tally.keep_engine(fleet, engine).await?;
    let entry = fleet.topology().entries[0].name.clone();
    fleet.process(&ProcessName::Entry(entry.clone()))?.kill();
    fleet.process(&ProcessName::Engine(engine.clone()))?.kill();
    callers.writes_held.set(false);
    println!("killed {entry} and engine {engine}");
    Ok(())
}
