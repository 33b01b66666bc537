//! Which instances have a revision in force.

use indexmap::IndexMap;

use crate::ids::{InstanceId, ServiceName};
use crate::wire::operator::{InstanceState, InstanceStatus, StatusReply};

/// When each instance was seen to have a revision in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct InForce {
    service: ServiceName,
    revision: u64,
    /// Milliseconds from acceptance until the status said so.
    pub(super) after_ms: IndexMap<InstanceId, u64>,
    /// Instances of the last status that have not confirmed.
    pub(super) lagging: Vec<InstanceId>,
    /// Instances of the last status that have not been heard of lately; not waited for.
    pub(super) suspected: Vec<InstanceId>,
    seen_any: bool,
}

impl InForce {
    pub(super) fn new(service: ServiceName, revision: u64) -> Self {
        Self {
            service,
            revision,
            after_ms: IndexMap::new(),
            lagging: Vec::new(),
            suspected: Vec::new(),
            seen_any: false,
        }
    }

    /// Takes in a status that was read `after_ms` after acceptance.
    pub(super) fn observe(&mut self, status: &StatusReply, after_ms: u64) {
        self.seen_any = true;
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

    /// Whether every instance that lives has it in force.
    pub(super) fn everywhere(&self) -> bool {
        self.seen_any && self.lagging.is_empty()
    }

    fn confirms(&self, instance: &InstanceStatus) -> bool {
        let revision = instance.revisions.get(&self.service).copied();
        revision.is_some_and(|revision| revision >= self.revision)
    }
}
