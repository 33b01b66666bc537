//! What the entry costs per request and token, and per request in flight.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::fit::{Sample, fit_line, fit_two};
use super::grow::{with_instances, with_rate};
use super::usage::{Usage, read_usage};
use super::{Figure, SlopeOptions};
use crate::caller::{Book, Caller, CallerOptions, FinalWord, SharedBook};
use crate::deployment::Deployment;
use crate::fleet::{Fleet, FleetError, ProcessName};
use crate::mix::{Lengths, Mix, Parts};

/// Engines run this much faster than the deployment's, so that the entry is what is measured.
const RATE_FACTOR: f64 = 2.0;
/// Callers at once, and the most tokens they ask for, of each load.
const LOADS: [(usize, u32); 5] = [(8, 2), (32, 2), (8, 64), (32, 64), (64, 64)];
/// Callers at once when memory is read; all ask for long answers.
const CROWDS: [usize; 4] = [0, 64, 128, 256];
/// Tokens of an answer long enough to be in flight all the while.
const LONG_TOKENS: u32 = 2_000;
/// Only streams.
const STREAMS: Parts = Parts {
    streams: 100,
    whole: 0,
    writes: 0,
};

/// Measures one entry instance.
///
/// # Errors
/// Fails if the fleet cannot be started or its entry cannot be read.
pub(super) async fn measure(
    deployment: &Deployment,
    options: SlopeOptions,
) -> Result<Vec<Figure>, FleetError> {
    let deployment = with_rate(with_instances(deployment.clone(), 1), RATE_FACTOR);
    let mut figures = measure_time(&deployment, options).await?;
    figures.extend(measure_memory(&deployment, options).await?);
    Ok(figures)
}

async fn measure_time(
    deployment: &Deployment,
    options: SlopeOptions,
) -> Result<Vec<Figure>, FleetError> {
    let fleet = Fleet::launch(deployment.clone()).await?;
    actix_rt::time::sleep(options.settle).await;
    let idle = observe(&fleet, &idle_book(), options.observe).await?;
    let idle_ms_per_s = idle.cpu_ms / idle.elapsed_s;
    let mut figures = vec![Figure::new(
        "entry_core_idle",
        idle_ms_per_s / 10.0,
        "percent",
    )];
    let mut samples = Vec::new();
    for (callers, max_tokens) in LOADS {
        let spent = run_load(&fleet, callers, max_tokens, options).await?;
        samples.push(Sample {
            first: spent.requests,
            second: spent.tokens,
            cost: spent.cpu_ms - idle_ms_per_s * spent.elapsed_s,
        });
        let load = format!("{callers}_callers_{max_tokens}_tokens");
        let requests_per_s = spent.requests / spent.elapsed_s;
        let tokens_per_s = spent.tokens / spent.elapsed_s;
        let core_percent = spent.cpu_ms / spent.elapsed_s / 10.0;
        figures.extend([
            Figure::new(format!("entry_requests_at_{load}"), requests_per_s, "1/s"),
            Figure::new(format!("entry_tokens_at_{load}"), tokens_per_s, "1/s"),
            Figure::new(format!("entry_core_at_{load}"), core_percent, "percent"),
        ]);
    }
    if let Some((per_request_ms, per_token_ms)) = fit_two(&samples) {
        figures.push(Figure::new(
            "entry_cpu_per_request",
            per_request_ms * 1e3,
            "us",
        ));
        figures.push(Figure::new("entry_cpu_per_token", per_token_ms * 1e3, "us"));
    }
    Ok(figures)
}

/// What an entry did and spent over some time.
struct Spent {
    requests: f64,
    tokens: f64,
    cpu_ms: f64,
    elapsed_s: f64,
}

async fn run_load(
    fleet: &Fleet,
    callers: usize,
    max_tokens: u32,
    options: SlopeOptions,
) -> Result<Spent, FleetError> {
    let book = idle_book();
    let until = options.observe + Duration::from_secs(1);
    let asking = ask_until(fleet, &book, callers, max_tokens, until);
    let observing = async {
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        observe(fleet, &book, options.observe).await
    };
    let ((), spent) = futures_util::join!(asking, observing);
    spent
}

fn idle_book() -> SharedBook {
    Rc::new(RefCell::new(Book::default()))
}

async fn observe(fleet: &Fleet, book: &SharedBook, time: Duration) -> Result<Spent, FleetError> {
    let began = Instant::now();
    let before = entry_usage(fleet)?;
    let (ended, tokens) = counts_of(book);
    actix_rt::time::sleep(time).await;
    let after = entry_usage(fleet)?;
    let (ended_after, tokens_after) = counts_of(book);
    Ok(Spent {
        requests: (ended_after - ended) as f64,
        tokens: (tokens_after - tokens) as f64,
        cpu_ms: after.cpu_ms - before.cpu_ms,
        elapsed_s: began.elapsed().as_secs_f64(),
    })
}

fn counts_of(book: &SharedBook) -> (u64, u64) {
    let book = book.borrow();
    (book.ended(), book.tokens_seen())
}

fn entry_usage(fleet: &Fleet) -> Result<Usage, FleetError> {
    let name = ProcessName::Entry(fleet.topology().entries[0].name.clone());
    let process = fleet.processes().find(|(found, _)| **found == name);
    let (_, process) = process.ok_or_else(|| FleetError::NoSuchProcess {
        name: name.to_string(),
    })?;
    read_usage(process.id())
}

/// Asks for streams from `callers` callers at once until `limit` has passed.
async fn ask_until(
    fleet: &Fleet,
    book: &SharedBook,
    callers: usize,
    max_tokens: u32,
    limit: Duration,
) {
    let lengths = Lengths {
        max_tokens: (max_tokens, max_tokens),
        ..Lengths::default()
    };
    let asking = (0..callers).map(|number| {
        let seed = number as u64;
        let options = CallerOptions::new(seed, limit);
        let mut caller = Caller::new(fleet.entry_addresses(), options, book.clone());
        let mut mix = Mix::new(fleet.deployment(), STREAMS, lengths, seed);
        async move {
            let end = Instant::now() + limit;
            while Instant::now() < end {
                if caller.ask(mix.draw()).await == FinalWord::Unfinished {
                    break;
                }
            }
        }
    });
    let _ = actix_rt::time::timeout(limit, join_all(asking)).await;
}

async fn measure_memory(
    deployment: &Deployment,
    options: SlopeOptions,
) -> Result<Vec<Figure>, FleetError> {
    let mut figures = Vec::new();
    let mut points = Vec::new();
    for crowd in CROWDS {
        // A process keeps what it once needed, so each point has a fresh one.
        let fleet = Fleet::launch(deployment.clone()).await?;
        let book = idle_book();
        let asking = ask_until(&fleet, &book, crowd, LONG_TOKENS, options.observe);
        let observing = async {
            actix_rt::time::sleep(options.observe.mul_f64(0.9)).await;
            entry_usage(&fleet)
        };
        let ((), usage) = futures_util::join!(asking, observing);
        let rss_mb = usage?.rss_mb;
        figures.push(Figure::new(
            format!("entry_rss_at_{crowd}_in_flight"),
            rss_mb,
            "MB",
        ));
        points.push((crowd as f64, rss_mb));
    }
    let line = fit_line(&points);
    figures.push(Figure::new("entry_rss_base", line.base, "MB"));
    figures.push(Figure::new(
        "entry_rss_per_in_flight",
        line.slope * 1_024.0,
        "KB",
    ));
    Ok(figures)
}
