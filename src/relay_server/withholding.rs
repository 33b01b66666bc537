//! Quarantine of requests that crash the endpoints that run them: records broken runs, applies
//! evidence of peers and of the store, and acts on verdicts.

use std::rc::Rc;

use super::adapter::Adapter;
use super::node::Node;
use super::quarantine_rows;
use crate::clock::boot_ms;
use crate::fleet::{Fleet, Phase};
use crate::ids::EndpointId;
use crate::quarantine::{
    EndpointLiveness, EvidenceReport, QuarantineChange, QuarantineStatus, RequestFeatures,
    digest_labels,
};

/// Evidence from rows of the store.
pub(super) const SOURCE_STORE: &str = "store";
/// Evidence from peers.
pub(super) const SOURCE_PEERS: &str = "peers";
/// Evidence from this instance's own runs.
const SOURCE_OWN_RUNS: &str = "own runs";
/// Data that was in transit from an endpoint when a connection to it broke may be read this much
/// later.
const IN_TRANSIT_MS: u64 = 50;

impl<A> Node<A>
where
    A: Adapter,
{
    /// Whether a request may be sent to endpoints. A request without features always may.
    pub(crate) fn quarantine_status(&self, request: Option<&RequestFeatures>) -> QuarantineStatus {
        let quarantine = self.quarantine.borrow();
        request.map_or(QuarantineStatus::Allowed, |it| {
            quarantine.status(it, boot_ms())
        })
    }

    /// The features for which a request is withheld, for log lines; empty if it is not.
    pub(crate) fn withheld_for(&self, request: Option<&RequestFeatures>) -> String {
        let quarantine = self.quarantine.borrow();
        request.map_or_else(String::new, |it| quarantine.withheld_for(it))
    }

    /// Whether a withheld request is to be sent to one endpoint, to find out whether it is withheld
    /// wrongly. One instance does so for all.
    pub(crate) fn begin_quarantine_trial(&self, request: Option<&RequestFeatures>) -> bool {
        let now_ms = boot_ms();
        if !self.peers.borrow().is_preferred_leader(now_ms) {
            return false;
        }
        let mut quarantine = self.quarantine.borrow_mut();
        request.is_some_and(|it| quarantine.begin_trial(it, now_ms))
    }

    /// Records that a run of a request broke off at an endpoint, having begun and delivered nothing.
    pub(crate) fn record_broken_run(
        self: &Rc<Self>,
        request: Option<&RequestFeatures>,
        endpoint: &EndpointId,
    ) {
        let Some(request) = request else { return };
        // A leaving endpoint terminates as planned, whatever it runs.
        let has_ended = self.fleet.borrow().has_ended(endpoint);
        if !has_ended && !self.accepts_requests(endpoint) {
            return;
        }
        self.quarantine
            .borrow_mut()
            .record_broken_run(request, endpoint, boot_ms());
        self.update_quarantine();
    }

    /// Records that an endpoint survived a request: the response was complete, or a run has delivered
    /// events for some time.
    pub(crate) fn clear_request(self: &Rc<Self>, request: Option<&RequestFeatures>) {
        let Some(request) = request else { return };
        let changes = self.quarantine.borrow_mut().clear(request, boot_ms());
        self.apply_quarantine_changes(&changes, SOURCE_OWN_RUNS);
    }

    /// Applies evidence from peers or from rows of the store.
    pub(crate) fn apply_evidence(
        self: &Rc<Self>,
        evidence: &EvidenceReport,
        source: &'static str,
        now_ms: u64,
    ) {
        // `is_top_ranked_in_zone` iterates over all peers.
        if evidence.is_empty() {
            return;
        }
        // The first instances of a zone reach all others within two heartbeat periods, so they relay
        // what they receive.
        let relays = self.peers.borrow().is_top_ranked_in_zone(now_ms);
        let changes = self
            .quarantine
            .borrow_mut()
            .apply_report(evidence, relays, now_ms);
        self.apply_quarantine_changes(&changes, source);
    }

    /// Checks whether endpoints at which runs broke off have terminated.
    pub(crate) fn update_quarantine(self: &Rc<Self>) {
        let now_ms = boot_ms();
        let (changes, has_updates) = {
            let fleet = self.fleet.borrow();
            let mut quarantine = self.quarantine.borrow_mut();
            let changes = quarantine.update(now_ms, |id, broke_off_ms| {
                endpoint_liveness(&fleet, id, broke_off_ms)
            });
            (changes, quarantine.has_unsent_updates())
        };
        if has_updates {
            self.request_heartbeat();
        }
        self.apply_quarantine_changes(&changes, SOURCE_OWN_RUNS);
    }

    fn apply_quarantine_changes(self: &Rc<Self>, changes: &[QuarantineChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                QuarantineChange::Withheld(features, endpoints) => {
                    let endpoints: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
                    log::warn!(
                        digest = digest_labels(features).as_str(),
                        endpoints = endpoints.join(",").as_str(),
                        source;
                        "request is withheld"
                    );
                    self.counters.count("relay.quarantine.withheld");
                }
                QuarantineChange::Released(digest) => {
                    log::info!(digest:% = digest, source; "request is no longer withheld");
                    self.counters.count("relay.quarantine.freed");
                }
            }
        }
        let count = self.quarantine.borrow().verdict_count();
        self.counters
            .gauge("relay.quarantine.withheld_now", count as u64);
        // Evidence from the store is already there.
        if source != SOURCE_STORE {
            quarantine_rows::spawn_persist(self, changes);
        }
        self.wake_streams();
    }
}

/// Whether an endpoint has terminated since a run broke off there at `broke_off_ms`.
fn endpoint_liveness(fleet: &Fleet, id: &EndpointId, broke_off_ms: u64) -> EndpointLiveness {
    if fleet.has_ended(id) {
        return EndpointLiveness::Ended;
    }
    match fleet.get(id) {
        // It was in service when the run broke off, and has neither drained nor answered since.
        None => EndpointLiveness::Ended,
        Some(known) if known.listed.phase == Phase::Leaving => EndpointLiveness::Ended,
        Some(known) if known.last_alive_ms() > broke_off_ms + IN_TRANSIT_MS => {
            EndpointLiveness::Alive
        }
        Some(_) => EndpointLiveness::Unknown,
    }
}
