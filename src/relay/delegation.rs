//! Which instances were of no use lately for requests that this instance cannot serve itself.
//!
//! Where no instance can serve a service, as while all its endpoints are down, each request would otherwise be
//! passed on in vain.

use indexmap::IndexMap;

use crate::ids::{InstanceId, ServiceName};

/// How long an instance that could not serve a service is not asked to again: about the time in which
/// heartbeats report a change.
const UNAVAILABLE_MS: u64 = 300;
/// Number of instances that could not serve a service from which no other is asked either.
const MAX_UNAVAILABLE: usize = 3;

/// Instances that could not serve a service, and until when they are not asked.
#[derive(Clone, Debug, Default)]
pub struct DelegationHistory {
    unavailable: IndexMap<(ServiceName, InstanceId), u64>,
}

impl DelegationHistory {
    /// Records that an instance could not serve a request for a service.
    pub fn record_unavailable(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        now_ms: u64,
    ) {
        self.unavailable.retain(|_, until_ms| now_ms < *until_ms);
        let key = (service.clone(), instance.clone());
        self.unavailable.insert(key, now_ms + UNAVAILABLE_MS);
    }

    /// Whether an instance may be asked to serve a service.
    pub fn may_ask(&self, service: &ServiceName, instance: &InstanceId, now_ms: u64) -> bool {
        let in_force = self
            .unavailable
            .iter()
            .filter(|(_, until)| now_ms < **until);
        let mut of_service = in_force.filter(|((of, _), _)| of == service);
        of_service.clone().count() < MAX_UNAVAILABLE
            && of_service.all(|((_, unavailable), _)| unavailable != instance)
    }
}
