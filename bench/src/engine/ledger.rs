//! Evidence that every (stream, epoch, position, layer) ran once and in order.
//!
//! All engines of a process write here when a step has run, and it outlives an engine that dies,
//! so that a layer that two engines ran, or one engine in two lifetimes, is seen too.

use std::sync::{Mutex, PoisonError};

use fescueshore::ids::{EndpointId, RequestId, StreamId};
use fescueshore::wire::engine::LayerRange;
use indexmap::{IndexMap, IndexSet};
use thiserror::Error;

/// Chains remembered per generation; two generations are kept.
const GENERATION_CHAINS: usize = 100_000;

/// Most request ids remembered.
const MAX_REQUESTS: usize = 200_000;

/// What a run breaks.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum LayerFault {
    /// One of the layers ran this position, or a later one, before.
    #[error("layer {layer} ran position {ran} before, at {endpoint}")]
    Repeated {
        /// The layer.
        layer: u16,
        /// Last position it ran.
        ran: u32,
        /// Where.
        endpoint: EndpointId,
    },
    /// A layer skipped a position.
    #[error("layer {layer} went from position {ran} to a later one than the next")]
    Skipped {
        /// The layer.
        layer: u16,
        /// Last position it ran.
        ran: u32,
    },
    /// The layer below has not run this position, or ran a later one.
    #[error("layer {layer} has not run the position that the layer above it ran")]
    OutOfOrder {
        /// The layer below.
        layer: u16,
    },
}

/// A run of a range of layers for one position.
#[derive(Clone, Debug)]
pub(crate) struct Run<'a> {
    /// The stream.
    pub(crate) stream: StreamId,
    /// Chain epoch.
    pub(crate) epoch: u32,
    /// Position the step led to.
    pub(crate) position: u32,
    /// Layers that ran.
    pub(crate) layers: LayerRange,
    /// Where.
    pub(crate) endpoint: &'a EndpointId,
}

/// Last position that ran, per range of layers of one chain.
type Chain = Vec<(LayerRange, u32, EndpointId)>;
type Chains = IndexMap<(StreamId, u32), Chain>;

/// The runs of all engines of the process.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    generations: Mutex<Generations>,
    requests: Mutex<IndexSet<RequestId>>,
}

#[derive(Debug, Default)]
struct Generations {
    current: Chains,
    previous: Chains,
}

impl RunLedger {
    /// Notes a run, or says what is wrong with it.
    pub(crate) fn note(&self, run: &Run<'_>) -> Result<(), LayerFault> {
        let mut generations = self
            .generations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        note_in(generations.chain(run.stream, run.epoch), run)
    }

    /// Notes that a step of a request ran.
    pub(crate) fn note_request(&self, request: &RequestId) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if requests.len() < MAX_REQUESTS && !requests.contains(request) {
            requests.insert(request.clone());
        }
    }

    /// Requests of which a step ran, in order of their first one.
    pub(crate) fn requests(&self) -> Vec<RequestId> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.iter().cloned().collect()
    }
}

impl Generations {
    fn chain(&mut self, stream: StreamId, epoch: u32) -> &mut Chain {
        let key = (stream, epoch);
        if !self.current.contains_key(&key) {
            if self.current.len() >= GENERATION_CHAINS {
                self.previous = std::mem::take(&mut self.current);
            }
            let chain = self.previous.swap_remove(&key).unwrap_or_default();
            self.current.insert(key, chain);
        }
        self.current.entry(key).or_default()
    }
}

fn note_in(chain: &mut Chain, run: &Run<'_>) -> Result<(), LayerFault> {
    for (layers, ran, endpoint) in chain.iter() {
        check_overlap(*layers, *ran, endpoint, run)?;
    }
    check_below(chain, run)?;
    match chain.iter_mut().find(|(layers, ..)| *layers == run.layers) {
        Some(entry) => entry.1 = run.position,
        None => chain.push((run.layers, run.position, run.endpoint.clone())),
    }
    Ok(())
}

fn check_overlap(
    layers: LayerRange,
    ran: u32,
    endpoint: &EndpointId,
    run: &Run<'_>,
) -> Result<(), LayerFault> {
    let layer = layers.first.max(run.layers.first);
    if layer >= layers.end.min(run.layers.end) {
        return Ok(());
    }
    // Within an epoch a layer stays at one engine, in one range.
    if ran >= run.position || layers != run.layers || endpoint != run.endpoint {
        let endpoint = endpoint.clone();
        return Err(LayerFault::Repeated {
            layer,
            ran,
            endpoint,
        });
    }
    if ran + 1 != run.position {
        return Err(LayerFault::Skipped { layer, ran });
    }
    Ok(())
}

/// The range below must have run this very position. Other processes' engines are not seen here:
/// a chain in which no range ends where this one begins is judged by the activation alone.
fn check_below(chain: &Chain, run: &Run<'_>) -> Result<(), LayerFault> {
    let below = chain
        .iter()
        .find(|(layers, ..)| layers.end == run.layers.first);
    match below {
        Some((_, ran, _)) if *ran != run.position => Err(LayerFault::OutOfOrder {
            layer: run.layers.first - 1,
        }),
        _ => Ok(()),
    }
}
