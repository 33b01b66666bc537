//! Time that the entry adds to a token: from the engine's write to the caller's read, through an
//! entry and without one, one stream at a time on an idle fleet.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fescueshore::ids::{RequestId, StreamId};
use fescueshore::wire::WIRE_VERSION;
use fescueshore::wire::engine::{OpenStream, Stage, StreamEvent};
use fescueshore::wire::sse::SseReader;
use futures_util::StreamExt;
use hdrhistogram::Histogram;

use super::experiment::Overhead;
use super::figures::Figure;
use super::{Bench, MeasureError};
use crate::caller::{Ask, AttemptEnd, Patience, Request, attempt};
use crate::engine::Emission;
use crate::mix::{Mix, Parts};

/// Digits to which delays are kept.
const DIGITS: u8 = 3;
/// Longest event of an engine.
const EVENT_LIMIT_BYTES: usize = 1 << 20;
/// Longest wait for a direct stream.
const STREAM_LIMIT: Duration = Duration::from_secs(30);

/// Delays from an engine's write to the caller's read.
#[derive(Clone, Debug)]
pub struct OverheadResult {
    /// Through an entry, in microseconds.
    pub through_us: Histogram<u64>,
    /// Without one.
    pub direct_us: Histogram<u64>,
}

/// Measures the product.
///
/// # Errors
/// Fails if a stream does not end whole.
pub async fn run(bench: &mut Bench, experiment: &Overhead) -> Result<OverheadResult, MeasureError> {
    let streams = if bench.quick {
        experiment.quick_streams
    } else {
        experiment.streams
    };
    let lengths = experiment.asked.lengths();
    let parts = Parts {
        streams: 100,
        whole: 0,
        writes: 0,
    };
    let mut mix = Mix::new(
        bench.fleet.deployment(),
        parts,
        lengths,
        experiment.asked.seed,
    );
    let entries = bench.fleet.entry_addresses();
    let http = awc::Client::builder().disable_timeout().finish();
    let mut result = OverheadResult {
        through_us: Histogram::new(DIGITS)?,
        direct_us: Histogram::new(DIGITS)?,
    };
    for number in 0..streams as usize {
        let request = mix.draw();
        let entry = entries[number % entries.len()];
        let read = read_through(&http, entry, &request).await?;
        note_delays(bench, &request, &read, &mut result.through_us).await?;
        let request = request.renewed();
        let read = read_direct(&http, bench, &request).await?;
        note_delays(bench, &request, &read, &mut result.direct_us).await?;
    }
    note_figures(bench, &result);
    Ok(result)
}

fn note_figures(bench: &mut Bench, result: &OverheadResult) {
    // What the stand-in, the kernel and the caller take is the same both ways.
    let base_us = result.direct_us.value_at_quantile(0.5);
    let added_ms = |quantile| {
        let through_us = result.through_us.value_at_quantile(quantile);
        (through_us as f64 - base_us as f64) / 1_000.0
    };
    let (p50, p99) = (added_ms(0.5), added_ms(0.99));
    bench.say(&format!(
        "token overhead: p50 {p50:.3} ms, p99 {p99:.3} ms over {} tokens; engine alone p50 {:.3} \
         ms, p99 {:.3} ms",
        result.through_us.len(),
        base_us as f64 / 1_000.0,
        result.direct_us.value_at_quantile(0.99) as f64 / 1_000.0
    ));
    bench.figures.push(Figure::TokenOverheadMsP50, p50);
    bench.figures.push(Figure::TokenOverheadMsP99, p99);
}

/// When each token of a stream was read at the caller, by way of an entry.
async fn read_through(
    http: &awc::Client,
    entry: SocketAddr,
    request: &Request,
) -> Result<Vec<u64>, MeasureError> {
    let mut read = Vec::new();
    let on_token = || read.push(unix_us());
    let end = attempt(http, entry, request, Patience::default(), on_token).await;
    match end {
        AttemptEnd::Answered(_) => Ok(read),
        other => Err(MeasureError::NotWhole(format!("{other:?}"))),
    }
}

/// The same, from the first engine of a chain.
async fn read_direct(
    http: &awc::Client,
    bench: &Bench,
    request: &Request,
) -> Result<Vec<u64>, MeasureError> {
    let open = open_stream(bench, request)?;
    let first = open.chain.first().map(|stage| stage.address);
    let address = first.ok_or(MeasureError::NoChain)?;
    let reading = read_events(http, address, &open);
    match actix_rt::time::timeout(STREAM_LIMIT, reading).await {
        Ok(read) => read,
        Err(_) => Err(MeasureError::NotWhole(
            "the stream took too long".to_owned(),
        )),
    }
}

async fn read_events(
    http: &awc::Client,
    address: SocketAddr,
    open: &OpenStream,
) -> Result<Vec<u64>, MeasureError> {
    let sent = http
        .post(format!("http://{address}/v1/streams"))
        .send_json(open)
        .await;
    let mut response = sent.map_err(|error| MeasureError::NotWhole(error.to_string()))?;
    let mut events = SseReader::new(EVENT_LIMIT_BYTES);
    let mut read = Vec::new();
    let mut ended = false;
    while let Some(Ok(piece)) = response.next().await {
        let pushed = events.push(&piece, |_, data| match serde_json::from_slice(data) {
            Ok(StreamEvent::Token { .. }) => read.push(unix_us()),
            Ok(StreamEvent::End { .. }) => ended = true,
            _ => {}
        });
        if pushed.is_err() {
            break;
        }
        if ended {
            return Ok(read);
        }
    }
    Err(MeasureError::NotWhole(
        "the engine's stream broke".to_owned(),
    ))
}

/// The same request to the engines, on the first chain that covers the layers.
fn open_stream(bench: &Bench, request: &Request) -> Result<OpenStream, MeasureError> {
    let Ask::Completion {
        target,
        prompt,
        max_tokens,
        shape,
        ..
    } = &request.ask
    else {
        return Err(MeasureError::NoChain);
    };
    Ok(OpenStream {
        wire_version: WIRE_VERSION,
        stream: StreamId::generate(&mut rand::rng()),
        epoch: 0,
        request: RequestId::from(request.id.clone()),
        model: target.model.clone(),
        version: target.version.clone(),
        adapter: target.adapter.clone(),
        chain: first_chain(bench),
        prompt: target.prompt(prompt, *shape),
        generated: Vec::new(),
        max_tokens: *max_tokens,
        priority: 0,
    })
}

/// Engines in the topology's order, each from the layer on that the one before ends with.
fn first_chain(bench: &Bench) -> Vec<Stage> {
    let mut chain: Vec<Stage> = Vec::new();
    let layers = bench.fleet.deployment().model.layers;
    let mut reached = 0;
    while reached < layers {
        let engines = &bench.fleet.topology().engines;
        let next = engines.iter().find(|engine| engine.layers.first == reached);
        let Some(engine) = next else {
            return Vec::new();
        };
        reached = engine.layers.end;
        chain.push(Stage {
            endpoint: engine.name.clone(),
            address: engine.address,
            layers: engine.layers,
            recompute: true,
            import_from: None,
        });
    }
    chain
}

/// Compares when tokens were read with when the engines wrote them.
async fn note_delays(
    bench: &Bench,
    request: &Request,
    read: &[u64],
    delays: &mut Histogram<u64>,
) -> Result<(), MeasureError> {
    for engine in &bench.fleet.topology().engines {
        let standins = bench.fleet.standins();
        let emitted: Vec<Emission> = standins.get(engine.address, "/standin/emissions").await?;
        let own = emitted
            .iter()
            .filter(|emission| emission.request.as_str() == request.id);
        for emission in own {
            if let Some(read_us) = read.get(emission.position as usize) {
                let delay_us = read_us.saturating_sub(emission.at_unix_us);
                delays.record(delay_us)?;
            }
        }
    }
    Ok(())
}

fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}
