//! What the control costs each instance, against its budget.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::env::{LIMIT, complete, controls, counter, kammoun, start, usage};

/// Most bytes a second, sent and received, that control may move between instances and to the
/// platform.
const BUDGET_BYTES_PER_S: f64 = 6_000.0;
/// Most memory.
const BUDGET_BYTES: f64 = 256e6;
/// Most of a processor core, in percent; judged where the build is optimised.
const BUDGET_CORE_PERCENT: f64 = 2.4;
/// How long the fleet runs before it is measured.
const SETTLE: Duration = Duration::from_secs(5);
const MEASURE: Duration = Duration::from_secs(20);

/// What callers do meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Load {
    /// Nothing.
    None,
    /// Every account asks every entry in turn.
    EveryAccount,
}

struct Cost {
    bytes_per_s: f64,
    core_percent: f64,
    memory_bytes: f64,
}

async fn measure(entries: usize, load: Load) -> Vec<Cost> {
    let (fleet, _permit) = start(kammoun(entries)).await;
    let stop = Rc::new(Cell::new(false));
    let mut callers = Vec::new();
    if load == Load::EveryAccount {
        for account in &fleet.deployment().load.accounts {
            let name = account.name.to_string();
            let call = call(fleet.entry_addresses(), name, stop.clone());
            callers.push(actix_rt::spawn(call));
        }
    }
    actix_rt::time::sleep(SETTLE).await;
    let before = Instant::now();
    let first = read(&fleet).await;
    actix_rt::time::sleep(MEASURE).await;
    let last = read(&fleet).await;
    stop.set(true);
    for caller in callers {
        caller.await.expect("a caller that ended well");
    }
    let passed_s = before.elapsed().as_secs_f64();
    let costs = first.iter().zip(&last).map(|(first, last)| Cost {
        bytes_per_s: (last.0 - first.0) / passed_s,
        core_percent: (last.1 - first.1) / passed_s * 100.0,
        memory_bytes: last.2,
    });
    costs.collect()
}

/// Asks every entry in turn for one account, with changing pauses.
async fn call(entries: Vec<SocketAddr>, account: String, stop: Rc<Cell<bool>>) {
    let http = awc::Client::builder().timeout(LIMIT).finish();
    let mut asked = 0;
    while !stop.get() {
        let entry = entries[asked % entries.len()];
        asked += 1;
        complete(&http, entry, &account, &format!("prompt {asked}")).await;
        let pause_ms = 20 + 10 * (asked / 50 % 10) as u64;
        actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn read(fleet: &fescue_bench::fleet::Fleet) -> Vec<(f64, f64, f64)> {
    let mut figures = Vec::new();
    for (index, control) in controls(fleet).into_iter().enumerate() {
        let sent = counter(fleet, control, "fescue_control_bytes_sent").await;
        let received = counter(fleet, control, "fescue_control_bytes_received").await;
        let (core_s, memory_bytes) = usage(fleet, index);
        figures.push((sent + received, core_s, memory_bytes));
    }
    figures
}

fn show(entries: usize, load: Load, costs: &[Cost]) {
    let mean = |figure: fn(&Cost) -> f64| -> f64 {
        costs.iter().map(figure).sum::<f64>() / costs.len() as f64
    };
    let most = |figure: fn(&Cost) -> f64| costs.iter().map(figure).fold(0.0, f64::max);
    println!(
        "control at {entries} instances, {load:?}: bytes_per_s mean {:.0} most {:.0}, core_percent mean \
         {:.2} most {:.2}, memory_mb most {:.1}",
        mean(|it| it.bytes_per_s),
        most(|it| it.bytes_per_s),
        mean(|it| it.core_percent),
        most(|it| it.core_percent),
        most(|it| it.memory_bytes) / 1e6,
    );
}

async fn assert_within_budget(load: Load) {
    let costs = measure(7, load).await;
    show(7, load, &costs);
    for cost in &costs {
        assert!(cost.bytes_per_s <= BUDGET_BYTES_PER_S);
        assert!(cost.memory_bytes <= BUDGET_BYTES);
        assert!(cfg!(debug_assertions) || cost.core_percent <= BUDGET_CORE_PERCENT);
    }
}

#[actix_rt::test]
async fn control_stays_within_its_budget_at_rest() {
    assert_within_budget(Load::None).await;
}

#[actix_rt::test]
async fn control_stays_within_its_budget_while_every_account_asks() {
    assert_within_budget(Load::EveryAccount).await;
}

#[actix_rt::test]
#[ignore = "slopes, printed for the capacity page; 16 instances crowd a small machine"]
async fn slopes() {
    for load in [Load::None, Load::EveryAccount] {
        for entries in [3, 7, 11, 16] {
            let costs = measure(entries, load).await;
            show(entries, load, &costs);
        }
    }
}
