//! Carries out faults and ends them again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescueshore::ids::{EndpointId, InstanceId};
use fescueshore::wire::platform::{InstancePhase, InstanceRecord, InstanceRole};

use super::documents::{SharedRevisions, original_text, race};
use super::plan::{FaultKind, Planned, Target};
use crate::caller::{BrokenAttempt, BrokenBy};
use crate::fleet::{Fleet, FleetError, ProcessName};
use crate::instances::SetPhase;
use crate::proxy::Proxy;
use crate::standin::faults::{Fault, FaultRequest};
use crate::tally::Tally;

/// How long a planned stop may take before it counts as stuck.
const STOP_LIMIT: Duration = Duration::from_secs(45);
/// Engines behind relays: those after the first.
const RELAYED_ENGINES: usize = 4;
/// Lag of the instance list while it lags.
const LAG_MS: u64 = 10_000;
/// How many times longer a slow engine's steps take.
const SLOW_FACTOR: f64 = 20.0;
/// How many times worse a degraded link is.
const LINK_FACTOR: f64 = 100.0;
/// Extra time of a slow table call.
const TABLE_SLOW_MS: u64 = 700;

/// A planned stop of an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedStop {
    entry: SocketAddr,
    told: Instant,
    ended: Option<Instant>,
}

impl PlannedStop {
    /// Whether it cut an attempt that was in flight.
    pub(super) fn cut(&self, attempt: &BrokenAttempt) -> bool {
        let BrokenBy::Closed { after_head } = attempt.by else {
            return false;
        };
        let in_flight = attempt.began < self.told || after_head;
        let ended = self.ended.is_none_or(|ended| attempt.began < ended);
        attempt.entry == self.entry && in_flight && attempt.ended >= self.told && ended
    }
}

/// A fleet under faults.
pub(super) struct Injector {
    pub(super) fleet: Fleet,
    pub(super) tally: Tally,
    pub(super) stops: Vec<PlannedStop>,
    pub(super) stuck_stops: u64,
    pub(super) revisions: SharedRevisions,
    table_relay: Proxy,
    engine_relays: Vec<Proxy>,
    races: usize,
}

impl Injector {
    /// Starts a fleet with relays before the table service and some engines.
    pub(super) async fn start(
        mut fleet: Fleet,
        revisions: SharedRevisions,
    ) -> Result<Self, FleetError> {
        let mut platform = fleet.topology().platform.clone();
        let relay = fleet.spare_address();
        let table_relay = start_relay(relay, platform.table).await?;
        platform.table = relay;
        fleet.place_platform(platform);
        let first = fleet.topology().engines[0].name.clone();
        fleet.run_apart(vec![first]);
        fleet.start().await?;
        let engine_relays = relay_engines(&mut fleet).await?;
        Ok(Self {
            fleet,
            tally: Tally::default(),
            stops: Vec::new(),
            stuck_stops: 0,
            revisions,
            table_relay,
            engine_relays,
            races: 0,
        })
    }

    /// Injects a fault.
    pub(super) async fn begin(&mut self, planned: &Planned) -> Result<(), FleetError> {
        match planned.kind {
            FaultKind::KillEntry => self.entry_process(planned)?.kill(),
            FaultKind::FreezeEntry => self.entry_process(planned)?.freeze(),
            FaultKind::KillControl => self.control_process(planned)?.kill(),
            FaultKind::FreezeControl => self.control_process(planned)?.freeze(),
            FaultKind::StopInstance => self.stop_instance(planned)?,
            FaultKind::KillEngine => self.kill_engine().await?,
            FaultKind::FreezeEngine => self.engine_process()?.freeze(),
            FaultKind::EngineConnectionsSilent => {
                self.engine_relays.iter().for_each(Proxy::silence);
            }
            FaultKind::TableConnectionsSilent => self.table_relay.silence(),
            FaultKind::EngineLeaves => self.set_phase(planned, InstancePhase::Leaving).await?,
            FaultKind::DocumentRace => self.race(),
            _ => self.set_fault(planned, fault_of(planned)).await?,
        }
        Ok(())
    }

    /// Ends a fault; returns whether it has ended.
    pub(super) async fn end(&mut self, planned: &Planned) -> Result<bool, FleetError> {
        match planned.kind {
            FaultKind::KillEntry => {
                let name = self.instance(planned);
                self.fleet.launch_entry(&name)?;
            }
            FaultKind::FreezeEntry => self.entry_process(planned)?.wake(),
            FaultKind::KillControl => {
                let name = self.instance(planned);
                self.fleet.start_control(&name).await?;
            }
            FaultKind::FreezeControl => self.control_process(planned)?.wake(),
            FaultKind::StopInstance => return self.restart_stopped(planned).await,
            FaultKind::KillEngine => {
                let name = ProcessName::Engine(self.first_engine());
                self.fleet.start_standin(&name).await?;
            }
            FaultKind::FreezeEngine => self.engine_process()?.wake(),
            FaultKind::EngineLeaves => self.set_phase(planned, InstancePhase::Live).await?,
            FaultKind::EngineDies => self.set_fault(planned, Fault::Revive).await?,
            FaultKind::EngineConnectionsSilent
            | FaultKind::TableConnectionsSilent
            | FaultKind::DocumentRace => {}
            _ => self.set_fault(planned, Fault::Clear).await?,
        }
        Ok(true)
    }

    fn instance(&self, planned: &Planned) -> InstanceId {
        let index = match planned.target {
            Target::Instance(index) => index,
            _ => 0,
        };
        self.fleet.topology().entries[index].name.clone()
    }

    fn entry_process(
        &mut self,
        planned: &Planned,
    ) -> Result<&mut crate::fleet::Process, FleetError> {
        let name = ProcessName::Entry(self.instance(planned));
        self.fleet.process(&name)
    }

    fn control_process(
        &mut self,
        planned: &Planned,
    ) -> Result<&mut crate::fleet::Process, FleetError> {
        let name = ProcessName::Control(self.instance(planned));
        self.fleet.process(&name)
    }

    fn first_engine(&self) -> EndpointId {
        self.fleet.topology().engines[0].name.clone()
    }

    fn engine_process(&mut self) -> Result<&mut crate::fleet::Process, FleetError> {
        let name = ProcessName::Engine(self.first_engine());
        self.fleet.process(&name)
    }

    async fn kill_engine(&mut self) -> Result<(), FleetError> {
        let engine = self.first_engine();
        self.tally.keep_engine(&self.fleet, &engine).await?;
        self.engine_process()?.kill();
        Ok(())
    }

    /// Tells both processes of an instance to stop.
    fn stop_instance(&mut self, planned: &Planned) -> Result<(), FleetError> {
        let name = self.instance(planned);
        let entry = self.fleet.entry(&name)?.address;
        self.stops.push(PlannedStop {
            entry,
            told: Instant::now(),
            ended: None,
        });
        self.control_process(planned)?.terminate();
        self.entry_process(planned)?.terminate();
        Ok(())
    }

    /// Starts a stopped instance again once both of its processes have ended by themselves.
    async fn restart_stopped(&mut self, planned: &Planned) -> Result<bool, FleetError> {
        let name = self.instance(planned);
        let address = self.fleet.entry(&name)?.address;
        let still = self.entry_process(planned)?.is_running()
            || self.control_process(planned)?.is_running();
        let now = Instant::now();
        let open = self
            .stops
            .iter_mut()
            .rev()
            .find(|stop| stop.entry == address);
        let overdue = open
            .as_ref()
            .is_some_and(|stop| now > stop.told + STOP_LIMIT);
        if still && !overdue {
            return Ok(false);
        }
        if let Some(stop) = open {
            stop.ended = Some(now);
        }
        if still {
            self.stuck_stops += 1;
            eprintln!("fescue-load: {name} did not end by itself");
        }
        self.fleet.start_control(&name).await?;
        self.fleet.launch_entry(&name)?;
        Ok(true)
    }

    async fn set_phase(&self, planned: &Planned, phase: InstancePhase) -> Result<(), FleetError> {
        let Target::Engine(index) = planned.target else {
            return Ok(());
        };
        let change = SetPhase {
            name: self.fleet.topology().engines[index].name.to_string(),
            phase,
        };
        let list = self.fleet.topology().platform.instances;
        self.fleet
            .standins()
            .post(list, "/standin/phase", &change)
            .await
    }

    async fn set_fault(&self, planned: &Planned, fault: Fault) -> Result<(), FleetError> {
        let topology = self.fleet.topology();
        let (address, request) = match planned.target {
            Target::Engine(index) => return self.set_engine_fault(index, fault).await,
            Target::Replica(index) => {
                let address = topology.applications[index].address;
                (address, FaultRequest::here(fault))
            }
            Target::List => (topology.platform.instances, FaultRequest::here(fault)),
            _ => (topology.platform.table, FaultRequest::here(fault)),
        };
        self.fleet
            .standins()
            .post(address, "/standin/faults", &request)
            .await
    }

    /// Sets a fault of an engine through another of its process: a dead one answers nothing.
    async fn set_engine_fault(&self, index: usize, fault: Fault) -> Result<(), FleetError> {
        let engines = &self.fleet.topology().engines;
        let request = FaultRequest::at(engines[index].name.clone(), fault);
        let others = engines.iter().enumerate().skip(1);
        let mut result = Ok(());
        for (_, other) in others.filter(|(other, _)| *other != index) {
            let standins = self.fleet.standins();
            result = standins
                .post(other.address, "/standin/faults", &request)
                .await;
            if result.is_ok() {
                break;
            }
        }
        result
    }

    /// Lets two operators race at two instances, beside everything else.
    fn race(&mut self) {
        self.races += 1;
        let count = self.fleet.topology().entries.len();
        let controls = [0, 1].map(|offset| {
            let index = (self.races + offset) % count;
            self.fleet.control_address(index)
        });
        let services = self.fleet.services();
        let service = services[self.races % services.len()].clone();
        let text = original_text(&self.fleet, &service);
        let operator = self.fleet.deployment().operator.clone();
        let revisions = self.revisions.clone();
        actix_rt::spawn(race(controls, operator, service, text, revisions));
    }
}

/// The stand-in's part of a fault.
fn fault_of(planned: &Planned) -> Fault {
    let lasts_ms = planned.lasts_ms;
    // A count of 1 to 4, drawn with the length.
    let count = (lasts_ms % 4 + 1) as u32;
    match planned.kind {
        FaultKind::EngineDies => Fault::Die {
            revive_after_ms: None,
        },
        FaultKind::EngineFreezes | FaultKind::ReplicaFreezes => Fault::Freeze {
            for_ms: Some(lasts_ms),
        },
        FaultKind::EngineSlows => Fault::SlowSteps {
            factor: SLOW_FACTOR,
        },
        FaultKind::EngineLinksDegrade => Fault::DegradeLinks {
            factor: LINK_FACTOR,
            peer: None,
        },
        FaultKind::TableOutage => Fault::Outage,
        FaultKind::TableSlow => Fault::Slow {
            extra_ms: TABLE_SLOW_MS,
        },
        FaultKind::TableLosesReplies | FaultKind::ReplicaLosesReplies => Fault::lose_replies(count),
        FaultKind::ReplicaFailsCalls => Fault::FailCalls { count },
        FaultKind::ListLags => Fault::Lag {
            lag_ms: LAG_MS,
            reader: None,
        },
        _ => Fault::Clear,
    }
}

async fn start_relay(address: SocketAddr, target: SocketAddr) -> Result<Proxy, FleetError> {
    let started = Proxy::start(address, target).await;
    started.map_err(|source| FleetError::File {
        path: address.to_string().into(),
        source,
    })
}

/// Has the instance list name relays for some engines.
async fn relay_engines(fleet: &mut Fleet) -> Result<Vec<Proxy>, FleetError> {
    let engines = fleet.topology().engines.clone();
    let list = fleet.topology().platform.instances;
    let mut relays = Vec::new();
    for engine in engines.iter().skip(1).take(RELAYED_ENGINES) {
        let address = fleet.spare_address();
        relays.push(start_relay(address, engine.address).await?);
        let record = InstanceRecord {
            name: engine.name.to_string(),
            role: InstanceRole::Engine,
            service: Some(engine.service.clone()),
            zone: engine.zone.clone(),
            address,
            control_address: None,
            phase: InstancePhase::Live,
        };
        fleet.standins().post(list, "/standin/add", &record).await?;
    }
    Ok(relays)
}
