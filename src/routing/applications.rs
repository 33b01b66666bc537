//! Choice of a replica for a call of an application service.

use crate::ids::{EndpointId, ServiceName, ZoneName};
use crate::wire::platform::InstanceRole;

use super::endpoints::EndpointTable;

/// The replica with the fewest calls of this entry; one in the own zone first among equals.
pub(crate) fn pick(
    table: &EndpointTable,
    service: &ServiceName,
    own_zone: &ZoneName,
    exclude: &[EndpointId],
    now_ms: u64,
) -> Option<usize> {
    table
        .all
        .values()
        .enumerate()
        .filter(|(_, endpoint)| {
            endpoint.role == InstanceRole::Application
                && endpoint.service == *service
                && endpoint.takes_work(now_ms)
                && endpoint.has_room()
                && !exclude.contains(&endpoint.id)
        })
        .min_by_key(|(_, endpoint)| (endpoint.outstanding, endpoint.zone != *own_zone))
        .map(|(index, _)| index)
}
