//! Selection of a replica for a call to an application service.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};

/// Up to this many replicas, all are compared; otherwise two are drawn at random and compared.
const MAX_COMPARED: usize = 8;
/// Penalty for a replica in another zone, as a fraction of its limit.
const REMOTE_ZONE_PENALTY: f64 = 0.1;

/// Returns the usable replica with the lowest utilization of its limit, or `None` if none has a
/// free slot.
pub(crate) fn select_replica(
    table: &EndpointTable,
    service: &ServiceName,
    own_zone: &ZoneName,
    exclude: &[EndpointId],
    rng: &mut SmallRng,
    now_ms: u64,
) -> Option<usize> {
    let is_usable = |endpoint: &Endpoint| {
        endpoint.role == InstanceRole::Application
            && endpoint.service == *service
            && endpoint.accepts_work(now_ms)
            && endpoint.has_free_slot(now_ms)
            && !exclude.contains(&endpoint.id)
    };
    let all = table.endpoints.values().enumerate();
    let mut usable: Vec<(usize, &Endpoint)> = all.filter(|(_, e)| is_usable(e)).collect();
    if usable.len() > MAX_COMPARED {
        usable = (0..2)
            .map(|_| usable[rng.random_range(0..usable.len())])
            .collect();
    }
    let load = |endpoint: &Endpoint, draw: f64| {
        let zone_penalty = if endpoint.zone == *own_zone {
            0.0
        } else {
            REMOTE_ZONE_PENALTY
        };
        (f64::from(endpoint.outstanding) + draw) / f64::from(endpoint.slots()) + zone_penalty
    };
    usable
        .into_iter()
        .map(|(index, endpoint)| (load(endpoint, rng.random()), index))
        .min_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, index)| index)
}
