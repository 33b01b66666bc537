//! A fleet of processes and how it starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use fescueshore::ids::{EndpointId, InstanceId, ServiceName};
use indexmap::IndexMap;
use tempfile::TempDir;

use super::address::AddressBook;
use super::documents::accept_file;
use super::entry_program::EntryProgram;
use super::error::FleetError;
use super::name::ProcessName;
use super::process::Process;
use super::program::program;
use super::settings::{Placed, write_settings};
use super::standin::StandinClient;
use super::wait::wait_until;
use crate::deployment::{Deployment, build_topology};
use crate::topology::{EngineNode, EntryNode, PlatformNodes, Topology};

/// How long a process may take to come up.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Running processes of one deployment. Dropping it kills them and removes their files.
pub struct Fleet {
    deployment: Deployment,
    topology: Topology,
    topology_path: PathBuf,
    /// Where the instances find the platform: its stand-ins, or a relay before them.
    platform: PlatformNodes,
    /// Where control processes listen, if not at the address that others are told.
    control_listen: IndexMap<InstanceId, SocketAddr>,
    /// Longest planned stop of instances that start from now on; 0 for no limit.
    stop_limit_s: u64,
    /// Engines that run in processes of their own.
    separate_engines: Vec<EndpointId>,
    /// What entries that start from now on run.
    entry_program: EntryProgram,
    processes: IndexMap<ProcessName, Process>,
    standins: StandinClient,
    addresses: AddressBook,
    /// Last, so that the files outlive the processes.
    dir: TempDir,
}

impl Fleet {
    /// Reserves addresses and writes the topology; starts nothing yet.
    ///
    /// # Errors
    /// Fails if no address is free or a file cannot be written.
    pub fn prepare(deployment: Deployment) -> Result<Self, FleetError> {
        let mut addresses = AddressBook::reserve(&mut rand::rng())?;
        let topology = build_topology(&deployment, || addresses.take());
        let dir = tempfile::Builder::new()
            .prefix("fescue-fleet-")
            .tempdir()
            .map_err(|source| file_error(&std::env::temp_dir(), source))?;
        let topology_path = dir.path().join("topology.toml");
        Ok(Self {
            platform: topology.platform.clone(),
            deployment,
            topology,
            topology_path,
            control_listen: IndexMap::new(),
            stop_limit_s: 0,
            separate_engines: Vec::new(),
            entry_program: EntryProgram::default(),
            processes: IndexMap::new(),
            standins: StandinClient::default(),
            addresses,
            dir,
        })
    }

    /// Prepares a fleet and starts it.
    ///
    /// # Errors
    /// Fails with the cause and the log of the process at fault.
    pub async fn launch(deployment: Deployment) -> Result<Self, FleetError> {
        let mut fleet = Self::prepare(deployment)?;
        fleet.start().await?;
        Ok(fleet)
    }

    /// Has engines run in processes of their own from the start, so that each can be killed or
    /// frozen alone.
    pub fn run_apart(&mut self, engines: Vec<EndpointId>) {
        self.separate_engines = engines;
    }

    /// Limits the planned stops of instances that start from now on.
    pub fn limit_stops(&mut self, limit_s: u64) {
        self.stop_limit_s = limit_s;
    }

    /// Has instances that start from now on find the platform at other addresses.
    pub fn place_platform(&mut self, platform: PlatformNodes) {
        self.platform = platform;
    }

    /// Has others be told another address of an instance's control process: one of a relay, which
    /// is returned together with the address behind it. Only before the start.
    pub fn place_control(&mut self, index: usize) -> (SocketAddr, SocketAddr) {
        let relay = self.addresses.take();
        let entry = &mut self.topology.entries[index];
        let listen = std::mem::replace(&mut entry.control_address, relay);
        self.control_listen.insert(entry.name.clone(), listen);
        (relay, listen)
    }

    /// Where an instance's control process listens.
    pub fn control_address(&self, index: usize) -> SocketAddr {
        self.listen_of(&self.topology.entries[index])
    }

    fn listen_of(&self, entry: &EntryNode) -> SocketAddr {
        let placed = self.control_listen.get(&entry.name);
        placed.copied().unwrap_or(entry.control_address)
    }

    /// Ends every entry process and starts all of them anew with this program.
    ///
    /// # Errors
    /// Fails if one does not come up.
    pub async fn replace_entries(&mut self, program: EntryProgram) -> Result<(), FleetError> {
        self.entry_program = program;
        let entries = self.topology.entries.clone();
        for entry in &entries {
            self.process(&ProcessName::Entry(entry.name.clone()))?
                .kill();
        }
        for entry in &entries {
            self.spawn_entry(entry)?;
        }
        for entry in &entries {
            self.await_entry(entry).await?;
        }
        Ok(())
    }

    /// Starts every process, accepts the documents and waits until every entry serves them.
    ///
    /// # Errors
    /// Fails with the cause and the log of the process at fault.
    pub async fn start(&mut self) -> Result<(), FleetError> {
        self.start_bare().await?;
        self.accept_documents().await?;
        for entry in &self.topology.entries.clone() {
            self.await_entry(entry).await?;
        }
        Ok(())
    }

    /// Starts every process and waits until every control listens; no document is accepted, so no
    /// entry takes requests yet.
    ///
    /// # Errors
    /// Fails with the cause and the log of the process at fault.
    pub async fn start_bare(&mut self) -> Result<(), FleetError> {
        self.start_standins().await?;
        let entries = self.topology.entries.clone();
        for entry in &entries {
            self.spawn_control(entry)?;
            self.spawn_entry(entry)?;
        }
        for entry in &entries {
            self.await_control(entry).await?;
        }
        Ok(())
    }

    /// Starts the stand-ins and waits until they listen.
    ///
    /// # Errors
    /// Fails if one does not come up.
    pub async fn start_standins(&mut self) -> Result<(), FleetError> {
        self.write_topology()?;
        let mut names = vec![
            ProcessName::Table,
            ProcessName::Objects,
            ProcessName::Instances,
            ProcessName::Weights,
            ProcessName::Engines,
        ];
        names.extend(
            self.separate_engines
                .iter()
                .cloned()
                .map(ProcessName::Engine),
        );
        let applications = self.topology.applications.iter();
        names.extend(applications.map(|node| ProcessName::Application(node.name.clone())));
        for name in &names {
            self.spawn_standin(name)?;
        }
        for name in &names {
            self.await_standin(name).await?;
        }
        Ok(())
    }

    /// Starts a stand-in again and waits until it listens.
    ///
    /// # Errors
    /// Fails if it does not come up.
    pub async fn start_standin(&mut self, name: &ProcessName) -> Result<(), FleetError> {
        self.spawn_standin(name)?;
        self.await_standin(name).await
    }

    /// Starts the control process of an instance and waits until it listens.
    ///
    /// # Errors
    /// Fails if it does not come up.
    pub async fn start_control(&mut self, instance: &InstanceId) -> Result<(), FleetError> {
        let entry = self.entry(instance)?.clone();
        self.spawn_control(&entry)?;
        self.await_control(&entry).await
    }

    /// Starts the entry process of an instance and waits until it serves all services.
    ///
    /// # Errors
    /// Fails if it does not come up.
    pub async fn start_entry(&mut self, instance: &InstanceId) -> Result<(), FleetError> {
        let entry = self.entry(instance)?.clone();
        self.spawn_entry(&entry)?;
        self.await_entry(&entry).await
    }

    /// Starts the entry process of an instance without waiting for it.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn launch_entry(&mut self, instance: &InstanceId) -> Result<(), FleetError> {
        let entry = self.entry(instance)?.clone();
        self.spawn_entry(&entry)
    }

    /// Accepts the deployment's documents at the first instance.
    ///
    /// # Errors
    /// Fails unless both are accepted.
    pub async fn accept_documents(&self) -> Result<(), FleetError> {
        let control = self.control_address(0);
        for (service, path) in &self.deployment.documents {
            accept_file(control, &self.deployment.operator, service, path).await?;
        }
        Ok(())
    }

    /// The process of that name.
    ///
    /// # Errors
    /// Fails if it was never started.
    pub fn process(&mut self, name: &ProcessName) -> Result<&mut Process, FleetError> {
        self.processes
            .get_mut(name)
            .ok_or_else(|| FleetError::NoSuchProcess {
                name: name.to_string(),
            })
    }

    /// Every process by name.
    pub fn processes(&self) -> impl Iterator<Item = (&ProcessName, &Process)> {
        self.processes.iter()
    }

    /// The deployment it runs.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Its names and addresses.
    pub fn topology(&self) -> &Topology {
        &self.topology
    }

    /// A client of the stand-ins' own pages.
    pub fn standins(&self) -> &StandinClient {
        &self.standins
    }

    /// Where callers connect, for every instance.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.topology.entries.iter().map(|e| e.address).collect()
    }

    /// Gives an address that nothing in the fleet uses.
    pub fn spare_address(&mut self) -> SocketAddr {
        self.addresses.take()
    }

    /// Directory of the fleet's files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Names of the services, the model's first.
    pub fn services(&self) -> Vec<ServiceName> {
        self.deployment.documents.keys().cloned().collect()
    }

    /// The instance of that name.
    ///
    /// # Errors
    /// Fails if the topology has none.
    pub fn entry(&self, instance: &InstanceId) -> Result<&EntryNode, FleetError> {
        let found = self.topology.entries.iter().find(|e| e.name == *instance);
        found.ok_or_else(|| FleetError::NoSuchProcess {
            name: instance.to_string(),
        })
    }

    fn write_topology(&self) -> Result<(), FleetError> {
        let text = toml::to_string(&self.topology)?;
        std::fs::write(&self.topology_path, text)
            .map_err(|source| file_error(&self.topology_path, source))
    }

    fn spawn_standin(&mut self, name: &ProcessName) -> Result<(), FleetError> {
        let mut args = vec![standin_kind(name).to_owned()];
        args.extend(["--topology".to_owned(), path_text(&self.topology_path)]);
        match name {
            ProcessName::Engine(endpoint) | ProcessName::Application(endpoint) => {
                args.extend(["--only".to_owned(), endpoint.to_string()]);
            }
            ProcessName::Engines if !self.separate_engines.is_empty() => {
                let names: Vec<&str> = self.separate_engines.iter().map(|e| e.as_str()).collect();
                args.extend(["--except".to_owned(), names.join(",")]);
            }
            _ => {}
        }
        self.spawn(name, "fescue-standin", &args)
    }

    fn spawn_control(&mut self, entry: &EntryNode) -> Result<(), FleetError> {
        let args = self.settings_args(entry)?;
        let name = ProcessName::Control(entry.name.clone());
        self.spawn(&name, "fescue-control", &args)
    }

    fn spawn_entry(&mut self, entry: &EntryNode) -> Result<(), FleetError> {
        let mut args = self.settings_args(entry)?;
        args.extend(self.entry_program.args());
        let name = ProcessName::Entry(entry.name.clone());
        self.spawn(&name, self.entry_program.binary(), &args)
    }

    fn settings_args(&self, entry: &EntryNode) -> Result<Vec<String>, FleetError> {
        let placed = Placed {
            entry,
            control_listen: self.listen_of(entry),
            platform: &self.platform,
            stop_limit_s: self.stop_limit_s,
        };
        let path = write_settings(&placed, self.dir.path())?;
        Ok(vec!["--settings".to_owned(), path_text(&path)])
    }

    fn spawn(
        &mut self,
        name: &ProcessName,
        binary: &str,
        args: &[String],
    ) -> Result<(), FleetError> {
        let path = program(binary)?;
        let process = Process::start(&name.to_string(), &path, args, self.dir.path())?;
        self.processes.insert(name.clone(), process);
        Ok(())
    }

    async fn await_standin(&mut self, name: &ProcessName) -> Result<(), FleetError> {
        let process = self.process(name)?;
        let ready = wait_until(START_LIMIT, async || {
            !process.is_running() || process.log().lines().any(|line| line == "ready")
        })
        .await;
        self.require(name, ready)
    }

    async fn await_control(&mut self, entry: &EntryNode) -> Result<(), FleetError> {
        let name = ProcessName::Control(entry.name.clone());
        let address = self.listen_of(entry);
        let process = self.process(&name)?;
        let ready = wait_until(START_LIMIT, async || {
            !process.is_running() || tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await;
        self.require(&name, ready)
    }

    async fn await_entry(&mut self, entry: &EntryNode) -> Result<(), FleetError> {
        let name = ProcessName::Entry(entry.name.clone());
        let standins = self.standins.clone();
        let services = self.services();
        let process = self.process(&name)?;
        let address = entry.address;
        let paths: Vec<String> = services
            .iter()
            .map(|service| format!("/v1/locate?service={service}"))
            .collect();
        let ready = wait_until(START_LIMIT, async || {
            !process.is_running() || serves(&standins, address, &paths).await
        })
        .await;
        self.require(&name, ready)
    }

    /// Fails unless the process came up and still runs.
    fn require(&mut self, name: &ProcessName, came_up: bool) -> Result<(), FleetError> {
        let process = self.process(name)?;
        if came_up && process.is_running() {
            return Ok(());
        }
        Err(FleetError::NotReady {
            name: name.to_string(),
            limit_ms: START_LIMIT.as_millis(),
            log: process.log_tail(),
        })
    }

    /// The engine of that name.
    pub fn engine(&self, endpoint: &EndpointId) -> Option<&EngineNode> {
        self.topology.engines.iter().find(|e| e.name == *endpoint)
    }
}

/// Whether an entry takes requests and knows every service.
async fn serves(standins: &StandinClient, entry: SocketAddr, paths: &[String]) -> bool {
    for path in paths {
        if !standins.is_ok(entry, path).await {
            return false;
        }
    }
    standins.is_ok(entry, "/readyz").await
}

fn standin_kind(name: &ProcessName) -> &'static str {
    match name {
        ProcessName::Table => "table",
        ProcessName::Objects => "objects",
        ProcessName::Instances => "instances",
        ProcessName::Weights => "weights",
        ProcessName::Application(_) => "service",
        ProcessName::Engines
        | ProcessName::Engine(_)
        | ProcessName::Control(_)
        | ProcessName::Entry(_) => "engine",
    }
}

fn path_text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

fn file_error(path: &Path, source: std::io::Error) -> FleetError {
    FleetError::File {
        path: path.to_owned(),
        source,
    }
}
