//! Tracks which instances have a revision in force.

use indexmap::IndexMap;

use crate::ids::{InstanceId, ServiceName};
use crate::wire::operator::{InstanceState, InstanceStatus, StatusReply};

/// Rollout status of a revision, by instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RolloutStatus {
    service: ServiceName,
    revision: u64,
    /// Time from acceptance until the status showed the revision in force, in milliseconds.
    pub(super) after_ms: IndexMap<InstanceId, u64>,
    /// Instances in the last status that do not have the revision in force yet.
    pub(super) lagging: Vec<InstanceId>,
    /// Suspected instances in the last status. Not waited for.
    pub(super) suspected: Vec<InstanceId>,
    has_status: bool,
}

impl RolloutStatus {
    pub(super) fn new(service: ServiceName, revision: u64) -> Self {
        Self {
            service,
            revision,
            after_ms: IndexMap::new(),
            lagging: Vec::new(),
            suspected: Vec::new(),
            has_status: false,
        }
    }

    /// Applies a status that was read `after_ms` after acceptance.
    pub(super) fn observe(&mut self, status: &StatusReply, after_ms: u64) {
        self.has_status = true;
        self.lagging.clear();
        self.suspected.clear();
        for instance in &status.instances {
            let name = instance.instance.clone();
            if self.confirms(instance) {
                self.after_ms.entry(name).or_insert(after_ms);
            } else if instance.state == InstanceState::Suspected {
                self.suspected.push(name);
            } else {
                self.lagging.push(name);
            }
        }
    }

    /// Whether every instance that is not suspected has the revision in force.
    pub(super) fn is_complete(&self) -> bool {
        self.has_status && self.lagging.is_empty()
    }

    fn confirms(&self, instance: &InstanceStatus) -> bool {
        let revision = instance.revisions.get(&self.service).copied();
        revision.is_some_and(|revision| revision >= self.revision)
    }
}
