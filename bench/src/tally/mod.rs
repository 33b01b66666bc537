//! What truly ran, as the stand-ins counted it.

use std::net::SocketAddr;

use fescueshore::ids::{EndpointId, RequestId};
use indexmap::{IndexMap, IndexSet};

use crate::application::ApplicationCounters;
use crate::caller::Book;
use crate::engine::EngineCounters;
use crate::fleet::{Fleet, FleetError, StandinClient};

#[cfg(test)]
mod tests;

/// Counters of all stand-ins, those of processes that were killed as of just before.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    engines: IndexMap<EndpointId, EngineCounters>,
    /// Engines' counters from before their process was killed.
    past_engines: Vec<EngineCounters>,
    applications: IndexMap<EndpointId, ApplicationCounters>,
    /// Requests of which an engine ran a step.
    ran: IndexSet<RequestId>,
}

/// What a run is judged by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Answers or tokens that reached someone else.
    pub crossed: u64,
    /// Layers that ran twice or out of order.
    pub layer_faults: u64,
    /// Runs of non-idempotent calls above the first.
    pub double_runs: u64,
    /// Requests answered `not-run` that ran.
    pub false_not_run: u64,
    /// Tokens that the engines generated.
    pub tokens: u64,
}

impl Tally {
    /// Reads one engine's counters before its process is killed.
    ///
    /// # Errors
    /// Fails if it does not answer.
    pub async fn keep_engine(
        &mut self,
        fleet: &Fleet,
        endpoint: &EndpointId,
    ) -> Result<(), FleetError> {
        if let Some(engine) = fleet.engine(endpoint) {
            let counters = read(fleet.standins(), engine.address).await?;
            self.past_engines.push(counters);
            self.read_ran(fleet.standins(), engine.address).await?;
        }
        Ok(())
    }

    /// Reads the counters of every stand-in that runs.
    ///
    /// # Errors
    /// Fails if one outside `gone` does not answer.
    pub async fn read_all(&mut self, fleet: &Fleet, gone: &[EndpointId]) -> Result<(), FleetError> {
        for engine in &fleet.topology().engines {
            if !gone.contains(&engine.name) {
                let counters = read(fleet.standins(), engine.address).await?;
                self.engines.insert(engine.name.clone(), counters);
                self.read_ran(fleet.standins(), engine.address).await?;
            }
        }
        for replica in &fleet.topology().applications {
            let counters: ApplicationCounters = fleet
                .standins()
                .get(replica.address, "/standin/counters")
                .await?;
            self.applications.insert(replica.name.clone(), counters);
        }
        Ok(())
    }

    /// Reads which requests ran in an engine's process.
    async fn read_ran(
        &mut self,
        standins: &StandinClient,
        address: SocketAddr,
    ) -> Result<(), FleetError> {
        let ran: Vec<RequestId> = standins.get(address, "/standin/ran").await?;
        self.ran.extend(ran);
        Ok(())
    }

    /// Compares what ran with what the callers were told.
    pub fn judge(&self, book: &Book) -> Findings {
        let counts = book.counts();
        let engines = self.engines.values().chain(&self.past_engines);
        let mut findings = Findings {
            crossed: counts.crossed,
            double_runs: count_double_runs(self.applications.values()),
            false_not_run: count_false_not_run(
                self.applications.values(),
                &self.ran,
                book.abandoned(),
            ),
            ..Findings::default()
        };
        for engine in engines {
            findings.crossed += engine.foreign_tokens;
            findings.layer_faults += engine.layer_faults;
            findings.tokens += engine.tokens;
        }
        findings
    }
}

async fn read(standins: &StandinClient, address: SocketAddr) -> Result<EngineCounters, FleetError> {
    standins.get(address, "/standin/counters").await
}

/// Runs above the first of each idempotency key, over all replicas.
fn count_double_runs<'a, I>(replicas: I) -> u64
where
    I: Iterator<Item = &'a ApplicationCounters>,
{
    let mut runs: IndexMap<&str, u64> = IndexMap::new();
    for (key, count) in replicas.flat_map(|replica| &replica.runs_by_key) {
        *runs.entry(key).or_default() += u64::from(*count);
    }
    runs.values().map(|count| count.saturating_sub(1)).sum()
}

/// Ids that were answered `not-run` for good and ran all the same.
fn count_false_not_run<'a, I>(
    replicas: I,
    at_engines: &IndexSet<RequestId>,
    abandoned: &IndexSet<String>,
) -> u64
where
    I: Iterator<Item = &'a ApplicationCounters>,
{
    let at_replicas =
        replicas.flat_map(|replica| replica.runs_by_key.keys().chain(replica.answered.keys()));
    let ran: IndexSet<&str> = at_replicas
        .map(String::as_str)
        .chain(at_engines.iter().map(RequestId::as_str))
        .collect();
    let abandoned = abandoned.iter().filter(|id| ran.contains(id.as_str()));
    abandoned.count() as u64
}
