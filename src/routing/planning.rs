//! Planning of chains for new streams and for streams that lost a stage.

use rand::RngExt;

use crate::wire::engine::Stage;

use super::affinity::first_block;
use super::chain::{LayerRun, search};
use super::endpoints::Endpoint;
use super::lanes::Lane;
use super::policy::{Candidate, Policy};
use super::rebuild;
use super::router::{NoRoute, RouteRequest, Router};
use super::streams::Reservation;

/// Added to the rank of a lane whose owned slots are used up, so that it is ranked after all
/// others.
const LENT_RANK: f64 = 1e9;
/// Reduction in rank of a lane whose engines all probably cache the prompt.
const CACHED_LANE_BONUS: f64 = 1.0;

impl<P> Router<P>
where
    P: Policy,
{
    /// Chooses a chain and reserves a slot on each of its engines for the stream. Planning the same
    /// stream again replaces its previous slots, even if no chain is found.
    ///
    /// A rebuilt stream does not wait for slots, because engines admit it before new streams.
    pub fn plan(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        let before = self.reservations.release(&mut self.table, request.stream);
        let tokens_before = before.map_or(0, |held| held.tokens_before + held.tokens);
        let stages = if request.previous.is_empty() {
            self.plan_new(request, now_ms)?
        } else {
            self.plan_rebuild(request, tokens_before, now_ms)?
        };
        self.check_plan(request, &stages, now_ms);
        self.reserve(request, &stages, tokens_before, now_ms);
        Ok(stages)
    }

    fn plan_new(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        if self.policy.uses_lanes()
            && let Some(runs) = self.choose_lane(request, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        if self.may_search(request, now_ms)
            && let Some(runs) = self.search_chain(request, true, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        let possible = self.search_chain(request, false, now_ms).is_some();
        Err(if possible {
            NoRoute::Full
        } else {
            NoRoute::Incomplete
        })
    }

    fn plan_rebuild(
        &mut self,
        request: &RouteRequest<'_>,
        tokens_before: u32,
        now_ms: u64,
    ) -> Result<Vec<Stage>, NoRoute> {
        let positions = tokens_before + count_tokens(request.prompt);
        let replaced = self.replace_lost(request, true, now_ms);
        let replaced = replaced.or_else(|| self.replace_lost(request, false, now_ms));
        let fresh = self.search_chain(request, true, now_ms);
        let fresh = match (&replaced, fresh) {
            (None, None) => self.search_chain(request, false, now_ms),
            (_, fresh) => fresh,
        };
        [replaced, fresh]
            .into_iter()
            .flatten()
            .map(|runs| {
                let mut stages = self.stages(&runs);
                rebuild::mark_recomputed(&self.table, request, &mut stages);
                let cost_ms = rebuild::cost_ms(&stages, &self.stage_ms(&stages), positions);
                (cost_ms, stages)
            })
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, stages)| stages)
            .ok_or(NoRoute::Incomplete)
    }

    /// Chooses a lane with a free slot, preferring slots that this entry owns to lent ones.
    fn choose_lane(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> Option<Vec<LayerRun>> {
        let at = self.routes_for(request.service, request.model, request.adapter, now_ms);
        let cached = self.hints.holders(first_block(request.prompt), now_ms);
        let lanes = &self.routes[at].lanes;
        let rates = lanes.iter().map(|(_, lane)| lane.tokens_per_s);
        let mean_rate = rates.sum::<f64>() / lanes.len().max(1) as f64;
        let own = self.own_slots.for_service(request.service);
        let mut best: Option<(f64, usize)> = None;
        for (number, (key, lane)) in self.routes[at].lanes.iter().enumerate() {
            let Some(cached_fraction) = self.cached_fraction(request, lane, &cached, now_ms) else {
                continue;
            };
            let used = f64::from(self.reservations.count_on_lane(*key));
            let owned = f64::from(lane.owned(own));
            let draw: f64 = self.rng.random();
            let lent = if used < owned { 0.0 } else { LENT_RANK };
            let load = (used + draw) * mean_rate / lane.tokens_per_s.max(1e-6);
            let rank = lent + load - CACHED_LANE_BONUS * cached_fraction;
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, number));
            }
        }
        best.map(|(_, number)| self.routes[at].lanes[number].1.runs.clone())
    }

    /// Fraction of the lane's engines that probably cache the prompt; `None` if one cannot be used.
    fn cached_fraction(
        &self,
        request: &RouteRequest<'_>,
        lane: &Lane,
        cached: &[u32],
        now_ms: u64,
    ) -> Option<f64> {
        let mut cached_engines = 0;
        for run in &lane.runs {
            let (id, endpoint) = self.table.endpoints.get_index(run.engine)?;
            let usable = endpoint.accepts_work(now_ms) && endpoint.has_free_slot(now_ms);
            if !usable || rebuild::is_excluded(request, id) {
                return None;
            }
            let is_cached =
                cached.contains(&endpoint.number) && endpoint.hint_benefit.is_enabled(now_ms);
            cached_engines += usize::from(is_cached);
        }
        Some(cached_engines as f64 / lane.runs.len() as f64)
    }

    /// Whether chains outside the lanes may be searched, which is the case if some lane has lost an
    /// engine.
    fn may_search(&mut self, request: &RouteRequest<'_>, now_ms: u64) -> bool {
        if !self.policy.uses_lanes() {
            return true;
        }
        let at = self.routes_for(request.service, request.model, request.adapter, now_ms);
        let lanes = &self.routes[at].lanes;
        let lost = |run: &LayerRun| {
            let found = self.table.endpoints.get_index(run.engine);
            found.is_none_or(|(id, e)| !e.accepts_work(now_ms) || rebuild::is_excluded(request, id))
        };
        lanes.is_empty() || lanes.iter().flat_map(|(_, lane)| &lane.runs).any(lost)
    }

    /// Searches for a chain by the policy's ranks.
    fn search_chain(
        &mut self,
        request: &RouteRequest<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<LayerRun>> {
        let at = self.routes_for(request.service, request.model, request.adapter, now_ms);
        let cached = self.hints.holders(first_block(request.prompt), now_ms);
        let Self {
            table,
            policy,
            rng,
            routes,
            ..
        } = self;
        let routes = &routes[at];
        search(&routes.graph, |step| {
            let (id, endpoint) = table.endpoints.get_index(step.engine)?;
            let has_free_slot =
                step.same_engine || !within_limits || endpoint.has_free_slot(now_ms);
            if !has_free_slot || !endpoint.accepts_work(now_ms) || rebuild::is_excluded(request, id)
            {
                return None;
            }
            let rate = endpoint
                .state
                .as_ref()
                .map_or(0.0, |state| state.layer_tokens_per_s);
            let candidate = Candidate {
                same_engine: step.same_engine,
                layer_tokens_per_s: rate,
                outstanding: endpoint.outstanding,
                last_turn: endpoint.last_turn,
                cached: cached.contains(&endpoint.number)
                    && endpoint.hint_benefit.is_enabled(now_ms),
            };
            Some(policy.rank(&candidate, rng.random()))
        })
    }

    /// Searches for a chain that keeps the remaining stages of the previous one.
    fn replace_lost(
        &mut self,
        request: &RouteRequest<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<LayerRun>> {
        let Self { table, rng, .. } = self;
        let kept = rebuild::kept_stages(table, request, now_ms);
        rebuild::replace_lost(table, request, &kept, |step| {
            let (id, endpoint) = table.endpoints.get_index(step.engine)?;
            let has_free_slot = !within_limits || endpoint.has_free_slot(now_ms);
            let usable = has_free_slot && endpoint.accepts_work(now_ms);
            (usable && !rebuild::is_excluded(request, id))
                .then(|| reported_load(endpoint) + rng.random_range(0.0..0.1))
        })
    }

    fn stages(&self, runs: &[LayerRun]) -> Vec<Stage> {
        let stage = |run: &LayerRun| {
            let (id, endpoint) = self.table.endpoints.get_index(run.engine)?;
            Some(Stage {
                endpoint: id.clone(),
                address: endpoint.address,
                layers: run.layers,
                recompute: true,
                import_from: None,
            })
        };
        runs.iter().filter_map(stage).collect()
    }

    fn reserve(
        &mut self,
        request: &RouteRequest<'_>,
        stages: &[Stage],
        tokens_before: u32,
        now_ms: u64,
    ) {
        let block = first_block(request.prompt);
        let cached = self.hints.holders(block, now_ms);
        let first = stages
            .first()
            .and_then(|stage| self.table.endpoints.get(&stage.endpoint));
        let reservation = Reservation {
            stages: Vec::with_capacity(stages.len()),
            block,
            hinted: first.is_some_and(|endpoint| cached.contains(&endpoint.number)),
            prompt_tokens: count_tokens(request.prompt),
            tokens: 0,
            tokens_before,
        };
        let Self {
            table,
            reservations,
            turn,
            ..
        } = self;
        reservations.reserve(table, request.stream, stages, reservation, turn);
    }

    /// Asserts the invariants of every plan.
    fn check_plan(&self, request: &RouteRequest<'_>, stages: &[Stage], now_ms: u64) {
        let covers = stages.first().map(|stage| stage.layers.first) == Some(0)
            && stages.last().map(|stage| stage.layers.end) == Some(request.model.layers)
            && stages
                .windows(2)
                .all(|pair| pair[0].layers.end == pair[1].layers.first);
        crate::invariant::check(covers, "routing.layers_once", || format!("{stages:?}"));
        let all_accept_work = stages.iter().all(|stage| {
            let endpoint = self.table.endpoints.get(&stage.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.accepts_work(now_ms))
        });
        crate::invariant::check(all_accept_work, "routing.no_work_to_leaving", || {
            format!("{stages:?}")
        });
    }
}

/// Fraction of the slots in use, based on the engine's last report and this entry's streams.
fn reported_load(endpoint: &Endpoint) -> f64 {
    endpoint.state.as_ref().map_or(0.0, |state| {
        let used = (state.running + state.waiting).max(endpoint.outstanding);
        f64::from(used) / f64::from(state.slots().max(1))
    })
}

fn count_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}
