//! The engines of one model and adapter as a graph, with its throughput bound and lanes.

use crate::document::ModelOffer;
use crate::ids::ServiceName;

use super::bound;
use super::endpoints::EndpointTable;
use super::graph::Graph;
use super::lanes::{Lane, LaneSearch};
use super::links::LinkTable;
use super::streams::lane_key;

/// Basis of all plans for one model and adapter; rebuilt when the structure changes.
#[derive(Clone, Debug)]
pub(crate) struct Routes {
    pub(crate) service: ServiceName,
    pub(crate) model: ModelOffer,
    pub(crate) adapter: Option<String>,
    pub(crate) graph: Graph,
    links: LinkTable,
    /// Maximum number of tokens per second that the engines could generate.
    pub(crate) bound_tokens_per_s: f64,
    /// Lanes, each with the key under which its streams are counted.
    pub(crate) lanes: Vec<(u64, Lane)>,
    /// The search for better lanes; `None` when it is finished.
    search: Option<LaneSearch>,
}

impl Routes {
    /// Builds the graph, its bound and the first lanes. Endpoints that accept no work are left out
    /// of the bound and the lanes.
    pub(crate) fn build(
        table: &EndpointTable,
        service: &ServiceName,
        model: &ModelOffer,
        adapter: Option<&str>,
        now_ms: u64,
    ) -> Self {
        let graph = Graph::build(table, service, model, adapter, &[]);
        let links = LinkTable::new(table, &graph, model.activation_bytes);
        let search = LaneSearch::new(table, &graph, model, &links, now_ms);
        let lanes = search.as_ref().map(|search| search.lanes(table, &links));
        Self {
            lanes: with_keys(table, lanes.unwrap_or_default()),
            search,
            service: service.clone(),
            model: model.clone(),
            adapter: adapter.map(str::to_owned),
            bound_tokens_per_s: bound::tokens_per_s(table, &graph, &links, now_ms),
            graph,
            links,
        }
    }

    /// Whether these routes are for the given model and adapter.
    pub(crate) fn matches(
        &self,
        service: &ServiceName,
        model: &ModelOffer,
        adapter: Option<&str>,
    ) -> bool {
        self.service == *service && self.model == *model && self.adapter.as_deref() == adapter
    }

    /// Continues the search for better lanes. Returns whether it is finished. Must not be called
    /// after the list of endpoints or what an engine holds has changed.
    pub(crate) fn improve(&mut self, table: &EndpointTable) -> bool {
        let Some(search) = &mut self.search else {
            return true;
        };
        if search.step(table, &self.links) {
            return false;
        }
        self.lanes = with_keys(table, search.lanes(table, &self.links));
        self.search = None;
        true
    }

    /// Returns the indices of all engines that hold some layer.
    pub(crate) fn holders(&self) -> Vec<usize> {
        let segments = self.graph.segments.iter();
        segments
            .flat_map(|segment| segment.holders.iter().copied())
            .collect()
    }
}

fn with_keys(table: &EndpointTable, lanes: Vec<Lane>) -> Vec<(u64, Lane)> {
    let key = |lane: &Lane| {
        lane_key(lane.runs.iter().filter_map(|run| {
            let (_, endpoint) = table.endpoints.get_index(run.engine)?;
            Some((endpoint.number, run.layers))
        }))
    };
    lanes.into_iter().map(|lane| (key(&lane), lane)).collect()
}
