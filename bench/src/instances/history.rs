//! The list as it was: readers get it with a lag.

use fescueshore::wire::platform::{InstanceList, InstancePhase, InstanceRecord, InstanceRole};
use indexmap::IndexMap;

use crate::topology::Topology;

/// Lag of a new list.
const LAG_MS: u64 = 1000;
/// How long old lists are kept; no lag can be longer.
const KEEP_MS: u64 = 600_000;

/// All lists of the last minutes, oldest first. Never empty.
#[derive(Debug)]
pub(crate) struct History {
    lists: Vec<(u64, InstanceList)>,
    lag_ms: u64,
    reader_lag_ms: IndexMap<String, u64>,
}

impl History {
    /// A history in which `list` has always been the list.
    pub(crate) fn new(list: InstanceList) -> Self {
        Self {
            lists: vec![(0, list)],
            lag_ms: LAG_MS,
            reader_lag_ms: IndexMap::new(),
        }
    }

    /// The list as a reader gets it now.
    pub(crate) fn read(&self, reader: Option<&str>, now_ms: u64) -> &InstanceList {
        let lag_ms = reader
            .and_then(|reader| self.reader_lag_ms.get(reader))
            .unwrap_or(&self.lag_ms);
        let as_of_ms = now_ms.saturating_sub(*lag_ms);
        let known = self.lists.partition_point(|(at_ms, _)| *at_ms <= as_of_ms);
        &self.lists[known.saturating_sub(1)].1
    }

    /// Changes the list.
    pub(crate) fn change<F>(&mut self, now_ms: u64, change: F)
    where
        F: FnOnce(&mut Vec<InstanceRecord>),
    {
        let mut list = self.lists[self.lists.len() - 1].1.clone();
        change(&mut list.instances);
        self.lists.push((now_ms, list));
        let forget_ms = now_ms.saturating_sub(KEEP_MS);
        let old = self.lists.partition_point(|(at_ms, _)| *at_ms <= forget_ms);
        self.lists.drain(..old.saturating_sub(1));
    }

    /// Sets the lag of one reader, or of all those without one of their own.
    pub(crate) fn set_lag(&mut self, lag_ms: u64, reader: Option<&str>) {
        match reader {
            Some(reader) => {
                self.reader_lag_ms.insert(reader.to_owned(), lag_ms);
            }
            None => self.lag_ms = lag_ms,
        }
    }

    /// Sets every lag back to that of a new list.
    pub(crate) fn clear_lag(&mut self) {
        self.lag_ms = LAG_MS;
        self.reader_lag_ms.clear();
    }
}

/// Everything in the topology, live.
pub(crate) fn list_all(topology: &Topology) -> InstanceList {
    let entries = topology.entries.iter().map(|entry| InstanceRecord {
        name: entry.name.to_string(),
        role: InstanceRole::Entry,
        service: None,
        zone: entry.zone.clone(),
        address: entry.address,
        control_address: Some(entry.control_address),
        phase: InstancePhase::Live,
    });
    let engines = topology.engines.iter().map(|engine| InstanceRecord {
        name: engine.name.to_string(),
        role: InstanceRole::Engine,
        service: Some(engine.service.clone()),
        zone: engine.zone.clone(),
        address: engine.address,
        control_address: None,
        phase: InstancePhase::Live,
    });
    let applications = topology.applications.iter().map(|replica| InstanceRecord {
        name: replica.name.to_string(),
        role: InstanceRole::Application,
        service: Some(replica.service.clone()),
        zone: replica.zone.clone(),
        address: replica.address,
        control_address: None,
        phase: InstancePhase::Live,
    });
    InstanceList {
        instances: entries.chain(engines).chain(applications).collect(),
    }
}
