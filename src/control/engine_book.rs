//! What the leading instance knows of a service's engines.

use std::net::SocketAddr;

use indexmap::IndexMap;

use crate::ids::EndpointId;
use crate::orders::EngineView;
use crate::wire::engine::{EngineAssignment, EngineState};
use crate::wire::local::EndpointRecord;
use crate::wire::platform::InstancePhase;

/// Pause between two reads of engines while some differ from their document.
const BUSY_PERIOD_MS: u64 = 200;
/// Pause between two reads of engines otherwise.
const IDLE_PERIOD_MS: u64 = 10_000;
/// Pause between two reads of an engine under order.
const ORDERED_PERIOD_MS: u64 = 1_000;
/// How long an engine may take to fulfil an order before it gets the order again.
const FULFIL_LIMIT_MS: u64 = 120_000;
/// Pause after an order that was not taken.
const RETRY_MS: u64 = 2_000;

#[derive(Clone, Debug)]
struct Ordered {
    desired: EngineAssignment,
    at_ms: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    address: SocketAddr,
    leaving: bool,
    state: Option<EngineState>,
    /// When it was last asked; `None` before the first time.
    asked_ms: Option<u64>,
    /// Whether the first answer, or its absence, is known.
    answered: bool,
    reading: bool,
    ordered: Option<Ordered>,
    no_order_before_ms: u64,
    last_order: Option<(u64, EngineAssignment)>,
}

/// The engines of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineBook {
    engines: IndexMap<EndpointId, Engine>,
    next_read_ms: u64,
}

impl EngineBook {
    /// Forgets everything: another instance leads.
    pub(super) fn clear(&mut self) {
        self.engines.clear();
    }

    /// Takes the engines that there are.
    pub(super) fn set_engines(&mut self, records: Vec<EndpointRecord>) {
        let mut engines = IndexMap::with_capacity(records.len());
        for record in records {
            let known = self.engines.swap_remove(&record.endpoint);
            let same = known.filter(|engine| engine.address == record.address);
            let mut engine = same.unwrap_or_else(|| Engine::new(record.address));
            engine.leaving = record.phase == InstancePhase::Leaving && !engine.is_ordered();
            engines.insert(record.endpoint, engine);
        }
        self.engines = engines;
    }

    /// Whether every engine has been asked at least once.
    pub(super) fn is_swept(&self) -> bool {
        self.engines.values().all(|engine| engine.answered)
    }

    /// The engines as the plan sees them.
    pub(super) fn views(&self) -> Vec<EngineView<'_>> {
        let engines = self.engines.iter();
        let views = engines.map(|(endpoint, engine)| EngineView {
            endpoint,
            state: engine.state.as_ref(),
            leaving: engine.leaving,
            ordered: engine.ordered.as_ref().map(|ordered| &ordered.desired),
        });
        views.collect()
    }

    /// Notes an order; returns where to send it, or `None` if it must wait.
    pub(super) fn ordered(
        &mut self,
        endpoint: &EndpointId,
        desired: &EngineAssignment,
        unix_ms: u64,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let engine = self.engines.get_mut(endpoint)?;
        if now_ms < engine.no_order_before_ms {
            return None;
        }
        engine.ordered = Some(Ordered {
            desired: desired.clone(),
            at_ms: now_ms,
        });
        engine.last_order = Some((unix_ms, desired.clone()));
        Some(engine.address)
    }

    /// Takes the answer to an order. Without one, or where the engine refused, it is sent again
    /// later, which does no harm.
    pub(super) fn order_answered(
        &mut self,
        endpoint: &EndpointId,
        state: Option<EngineState>,
        now_ms: u64,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        match state {
            Some(state) => engine.take_state(state),
            None => {
                engine.ordered = None;
                engine.no_order_before_ms = now_ms + RETRY_MS;
            }
        }
    }

    /// The next engine to ask, if one is due; it then counts as asked.
    pub(super) fn next_read(
        &mut self,
        busy: bool,
        now_ms: u64,
    ) -> Option<(EndpointId, SocketAddr)> {
        let period_ms = if busy || !self.is_swept() {
            BUSY_PERIOD_MS
        } else {
            IDLE_PERIOD_MS
        };
        self.next_read_ms = self.next_read_ms.min(now_ms + period_ms);
        if now_ms < self.next_read_ms {
            return None;
        }
        self.next_read_ms = now_ms + period_ms;
        let idle = self.engines.iter_mut().filter(|(_, it)| !it.reading);
        let (endpoint, engine) = idle.min_by_key(|(_, it)| it.read_rank(now_ms))?;
        engine.reading = true;
        engine.asked_ms = Some(now_ms);
        Some((endpoint.clone(), engine.address))
    }

    /// Takes what an engine says, or that it says nothing.
    pub(super) fn read(&mut self, endpoint: &EndpointId, state: Option<EngineState>, now_ms: u64) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        engine.reading = false;
        engine.answered = true;
        match state {
            Some(state) => engine.take_state(state),
            None => engine.state = None,
        }
        let overdue = |ordered: &Ordered| now_ms >= ordered.at_ms + FULFIL_LIMIT_MS;
        if engine.ordered.as_ref().is_some_and(overdue) {
            engine.ordered = None;
        }
    }

    /// What was last ordered of an engine, with the wall clock's time.
    pub(super) fn last_order(&self, endpoint: &EndpointId) -> Option<(u64, &EngineAssignment)> {
        let (unix_ms, desired) = self.engines.get(endpoint)?.last_order.as_ref()?;
        Some((*unix_ms, desired))
    }
}

impl Engine {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            leaving: false,
            state: None,
            asked_ms: None,
            answered: false,
            reading: false,
            ordered: None,
            no_order_before_ms: 0,
            last_order: None,
        }
    }

    /// An engine under order drains because of it; that is not leaving.
    fn is_ordered(&self) -> bool {
        self.ordered.is_some()
    }

    fn take_state(&mut self, state: EngineState) {
        let fulfilled = |ordered: &Ordered| ordered.desired.matches_state(&state);
        if self.ordered.as_ref().is_some_and(fulfilled) {
            self.ordered = None;
        }
        self.state = Some(state);
    }

    /// Engines never asked go first, then those under order, then the one asked longest ago.
    fn read_rank(&self, now_ms: u64) -> (bool, bool, u64) {
        let asked_ms = self.asked_ms.unwrap_or(0);
        let due = now_ms.saturating_sub(asked_ms) >= ORDERED_PERIOD_MS;
        let ordered_due = self.is_ordered() && due;
        (self.asked_ms.is_some(), !ordered_due, asked_ms)
    }
}
