//! Plans: the chain of a new stream, or of one that lost a stage.

use rand::RngExt;

use crate::wire::engine::Stage;

use super::affinity::first_block;
use super::chain::{Run, search};
use super::endpoints::Endpoint;
use super::lanes::Lane;
use super::policy::{Candidate, Policy};
use super::rebuild;
use super::router::{NoRoute, RouteRequest, Router};
use super::streams::Reservation;

/// Rank of a lane whose own slots are used up, above that of any other.
const LENT_RANK: f64 = 1e9;
/// What a lane gains in rank if all its engines likely cache the prompt.
const WARM_RANK: f64 = 1.0;

impl<P> Router<P>
where
    P: Policy,
{
    /// Chooses a chain and keeps a slot on each of its engines under the stream. A second plan
    /// for the same stream replaces the slots of the first, also when it finds no chain.
    ///
    /// A stream that is rebuilt does not wait for slots: engines admit it before new ones.
    pub fn plan(&mut self, ask: &RouteRequest<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        let before = self.reservations.release(&mut self.table, ask.stream);
        let tokens_before = before.map_or(0, |held| held.tokens_before + held.tokens);
        let stages = if ask.previous.is_empty() {
            self.plan_new(ask, now_ms)?
        } else {
            self.plan_rebuilt(ask, tokens_before, now_ms)?
        };
        self.check(ask, &stages, now_ms);
        self.reserve(ask, &stages, tokens_before, now_ms);
        Ok(stages)
    }

    fn plan_new(&mut self, ask: &RouteRequest<'_>, now_ms: u64) -> Result<Vec<Stage>, NoRoute> {
        if self.policy.uses_lanes()
            && let Some(runs) = self.choose_lane(ask, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        if self.may_search(ask, now_ms)
            && let Some(runs) = self.choose(ask, true, now_ms)
        {
            return Ok(self.stages(&runs));
        }
        let possible = self.choose(ask, false, now_ms).is_some();
        Err(if possible {
            NoRoute::Full
        } else {
            NoRoute::Incomplete
        })
    }

    fn plan_rebuilt(
        &mut self,
        ask: &RouteRequest<'_>,
        tokens_before: u32,
        now_ms: u64,
    ) -> Result<Vec<Stage>, NoRoute> {
        let positions = tokens_before + count_tokens(ask.prompt);
        let replaced = self.replace_lost(ask, true, now_ms);
        let replaced = replaced.or_else(|| self.replace_lost(ask, false, now_ms));
        let anew = self.choose(ask, true, now_ms);
        let anew = match (&replaced, anew) {
            (None, None) => self.choose(ask, false, now_ms),
            (_, anew) => anew,
        };
        [replaced, anew]
            .into_iter()
            .flatten()
            .map(|runs| {
                let mut stages = self.stages(&runs);
                rebuild::mark(&self.table, ask, &mut stages);
                let cost_ms = rebuild::cost_ms(&stages, &self.stage_ms(&stages), positions);
                (cost_ms, stages)
            })
            .min_by(|(one, _), (other, _)| one.total_cmp(other))
            .map(|(_, stages)| stages)
            .ok_or(NoRoute::Incomplete)
    }

    /// A lane with a slot of this entry's own, or one that is lent.
    fn choose_lane(&mut self, ask: &RouteRequest<'_>, now_ms: u64) -> Option<Vec<Run>> {
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let cached = self.hints.holders(first_block(ask.prompt), now_ms);
        let lanes = &self.routes[at].lanes;
        let rates = lanes.iter().map(|(_, lane)| lane.tokens_per_s);
        let mean_rate = rates.sum::<f64>() / lanes.len().max(1) as f64;
        let own = self.own_slots.at(ask.service);
        let mut best: Option<(f64, usize)> = None;
        for (number, (key, lane)) in self.routes[at].lanes.iter().enumerate() {
            let Some(warm) = self.lane_warmth(ask, lane, &cached, now_ms) else {
                continue;
            };
            let used = f64::from(self.reservations.on_lane(*key));
            let owned = f64::from(lane.owned(own));
            let draw: f64 = self.rng.random();
            let lent = if used < owned { 0.0 } else { LENT_RANK };
            let load = (used + draw) * mean_rate / lane.tokens_per_s.max(1e-6);
            let rank = lent + load - WARM_RANK * warm;
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, number));
            }
        }
        best.map(|(_, number)| self.routes[at].lanes[number].1.runs.clone())
    }

    /// Part of the lane's engines that likely cache the prompt; `None` if one cannot be used.
    fn lane_warmth(
        &self,
        ask: &RouteRequest<'_>,
        lane: &Lane,
        cached: &[u32],
        now_ms: u64,
    ) -> Option<f64> {
        let mut warm = 0;
        for run in &lane.runs {
            let (id, endpoint) = self.table.all.get_index(run.engine)?;
            let usable = endpoint.takes_work(now_ms) && endpoint.has_room(now_ms);
            if !usable || rebuild::is_excluded(ask, id) {
                return None;
            }
            let is_warm = cached.contains(&endpoint.number) && endpoint.hints.is_followed(now_ms);
            warm += usize::from(is_warm);
        }
        Some(warm as f64 / lane.runs.len() as f64)
    }

    /// Whether chains may be searched beside the lanes: some lane has lost an engine.
    fn may_search(&mut self, ask: &RouteRequest<'_>, now_ms: u64) -> bool {
        if !self.policy.uses_lanes() {
            return true;
        }
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let lanes = &self.routes[at].lanes;
        let lost = |run: &Run| {
            let found = self.table.all.get_index(run.engine);
            found.is_none_or(|(id, e)| !e.takes_work(now_ms) || rebuild::is_excluded(ask, id))
        };
        lanes.is_empty() || lanes.iter().flat_map(|(_, lane)| &lane.runs).any(lost)
    }

    /// A chain by the policy's ranks.
    fn choose(
        &mut self,
        ask: &RouteRequest<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<Run>> {
        let at = self.routes_for(ask.service, ask.model, ask.adapter, now_ms);
        let cached = self.hints.holders(first_block(ask.prompt), now_ms);
        let Self {
            table,
            policy,
            rng,
            routes,
            ..
        } = self;
        let routes = &routes[at];
        search(&routes.graph, |step| {
            let (id, endpoint) = table.all.get_index(step.engine)?;
            let has_room = step.same_engine || !within_limits || endpoint.has_room(now_ms);
            if !has_room || !endpoint.takes_work(now_ms) || rebuild::is_excluded(ask, id) {
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
                cached: cached.contains(&endpoint.number) && endpoint.hints.is_followed(now_ms),
            };
            Some(policy.rank(&candidate, rng.random()))
        })
    }

    /// A chain that keeps the living stages of the last one.
    fn replace_lost(
        &mut self,
        ask: &RouteRequest<'_>,
        within_limits: bool,
        now_ms: u64,
    ) -> Option<Vec<Run>> {
        let Self { table, rng, .. } = self;
        let kept = rebuild::kept_stages(table, ask, now_ms);
        rebuild::replace_lost(table, ask, &kept, |step| {
            let (id, endpoint) = table.all.get_index(step.engine)?;
            let has_room = !within_limits || endpoint.has_room(now_ms);
            let usable = has_room && endpoint.takes_work(now_ms);
            (usable && !rebuild::is_excluded(ask, id))
                .then(|| reported_load(endpoint) + rng.random_range(0.0..0.1))
        })
    }

    fn stages(&self, runs: &[Run]) -> Vec<Stage> {
        let stage = |run: &Run| {
            let (id, endpoint) = self.table.all.get_index(run.engine)?;
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
        ask: &RouteRequest<'_>,
        stages: &[Stage],
        tokens_before: u32,
        now_ms: u64,
    ) {
        let block = first_block(ask.prompt);
        let cached = self.hints.holders(block, now_ms);
        let first = stages
            .first()
            .and_then(|stage| self.table.all.get(&stage.endpoint));
        let reservation = Reservation {
            stages: Vec::with_capacity(stages.len()),
            block,
            hinted: first.is_some_and(|endpoint| cached.contains(&endpoint.number)),
            prompt_tokens: count_tokens(ask.prompt),
            tokens: 0,
            tokens_before,
        };
        let Self {
            table,
            reservations,
            turn,
            ..
        } = self;
        reservations.take(table, ask.stream, stages, reservation, turn);
    }

    /// Asserts what every plan must satisfy.
    fn check(&self, ask: &RouteRequest<'_>, stages: &[Stage], now_ms: u64) {
        let covers = stages.first().map(|stage| stage.layers.first) == Some(0)
            && stages.last().map(|stage| stage.layers.end) == Some(ask.model.layers)
            && stages
                .windows(2)
                .all(|pair| pair[0].layers.end == pair[1].layers.first);
        crate::invariant::check(covers, "routing.layers_once", || format!("{stages:?}"));
        let all_take_work = stages.iter().all(|stage| {
            let endpoint = self.table.all.get(&stage.endpoint);
            endpoint.is_some_and(|endpoint| endpoint.takes_work(now_ms))
        });
        crate::invariant::check(all_take_work, "routing.no_work_to_leaving", || {
            format!("{stages:?}")
        });
    }
}

/// Part of the batch in use, by the engine's last report and this entry's streams.
fn reported_load(endpoint: &Endpoint) -> f64 {
    endpoint.state.as_ref().map_or(0.0, |state| {
        let used = (state.running + state.waiting).max(endpoint.outstanding);
        f64::from(used) / f64::from(state.slots().max(1))
    })
}

fn count_tokens(prompt: &str) -> u32 {
    prompt.split_whitespace().count() as u32
}
