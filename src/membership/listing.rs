//! The platform's instance list as this instance last read it.

use indexmap::IndexMap;

use crate::ids::{EndpointId, InstanceId, ServiceName};
use crate::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};

/// Pause between two reads where an unchanged list is not sent again.
const PERIOD_MS: u64 = 1_000;
/// Pause between two reads where the platform sends the whole list each time, which is most of
/// what control may receive.
const WHOLE_PERIOD_MS: u64 = 2_000;

/// The instance list.
#[derive(Clone, Debug)]
pub(crate) struct Listing {
    records: IndexMap<String, InstanceRecord>,
    read_at_ms: Option<u64>,
    next_ms: u64,
    period_ms: u64,
    under_way: bool,
}

impl Default for Listing {
    fn default() -> Self {
        Self {
            records: IndexMap::new(),
            read_at_ms: None,
            next_ms: 0,
            period_ms: PERIOD_MS,
            under_way: false,
        }
    }
}

impl Listing {
    /// Whether a read is due; it then counts as under way.
    pub(crate) fn due(&mut self, now_ms: u64) -> bool {
        if self.under_way || now_ms < self.next_ms {
            return false;
        }
        self.under_way = true;
        self.next_ms = now_ms + self.period_ms;
        true
    }

    /// Ends a read that gave nothing; the last list stays.
    pub(crate) fn failed(&mut self) {
        self.under_way = false;
    }

    /// Takes a list, or that there is none newer; says whether it differs from the last.
    pub(crate) fn take(&mut self, list: Option<InstanceList>, now_ms: u64) -> bool {
        self.under_way = false;
        self.read_at_ms = Some(now_ms);
        self.period_ms = PERIOD_MS;
        let Some(list) = list else {
            return false;
        };
        let records: IndexMap<String, InstanceRecord> = list
            .instances
            .into_iter()
            .map(|record| (record.name.clone(), record))
            .collect();
        if records == self.records {
            self.period_ms = WHOLE_PERIOD_MS;
            return false;
        }
        self.records = records;
        true
    }

    /// Age of the list; `None` before the first.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Entry instances.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.records
            .values()
            .filter(|record| record.role == InstanceRole::Entry)
    }

    /// Whether the list says that an entry instance leaves.
    pub(crate) fn is_leaving(&self, instance: &InstanceId) -> bool {
        self.records
            .get(instance.as_str())
            .is_some_and(|record| record.phase == InstancePhase::Leaving)
    }

    /// Endpoints with the service they belong to.
    pub(crate) fn endpoints(
        &self,
    ) -> impl Iterator<Item = (EndpointId, &ServiceName, &InstanceRecord)> {
        self.records
            .values()
            .filter(|record| record.role != InstanceRole::Entry)
            .filter_map(|record| {
                let service = record.service.as_ref()?;
                Some((EndpointId::from(record.name.as_str()), service, record))
            })
    }

    /// The record of one endpoint.
    pub(crate) fn endpoint(&self, endpoint: &EndpointId) -> Option<&InstanceRecord> {
        self.records
            .get(endpoint.as_str())
            .filter(|record| record.role != InstanceRole::Entry)
    }

    /// Endpoints that the list says are leaving.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints()
            .filter(|(_, _, record)| record.phase == InstancePhase::Leaving)
            .map(|(endpoint, _, _)| endpoint)
    }
}
