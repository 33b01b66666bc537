//! Choice of a replica for a call of an application service.

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::platform::InstanceRole;

use super::endpoints::{Endpoint, EndpointTable};

/// Replicas up to which all are compared; of more, two drawn at random are.
const COMPARED: usize = 8;
/// Load, as a part of the limit, that a replica in another zone must be better by.
const ZONE_WORTH: f64 = 0.1;

/// The replica with the least part of its limit in use, `None` if no usable one has room.
pub(crate) fn pick(
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
            && endpoint.takes_work(now_ms)
            && endpoint.has_room(now_ms)
            && !exclude.contains(&endpoint.id)
    };
    let all = table.all.values().enumerate();
    let mut usable: Vec<(usize, &Endpoint)> = all.filter(|(_, e)| is_usable(e)).collect();
    if usable.len() > COMPARED {
        usable = (0..2)
            .map(|_| usable[rng.random_range(0..usable.len())])
            .collect();
    }
    let load = |endpoint: &Endpoint, draw: f64| {
        let far = if endpoint.zone == *own_zone {
            0.0
        } else {
            ZONE_WORTH
        };
        (f64::from(endpoint.outstanding) + draw) / f64::from(endpoint.slots()) + far
    };
    usable
        .into_iter()
        .map(|(index, endpoint)| (load(endpoint, rng.random()), index))
        .min_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, index)| index)
}
