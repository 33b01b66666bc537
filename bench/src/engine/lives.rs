//! Begins and ends the lifetimes of engines: their listeners and tasks.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_rt::time::sleep;
use actix_web::dev::ServerHandle;
use actix_web::web;
use fescueshore::ids::EndpointId;
use indexmap::IndexMap;
use tokio::sync::mpsc::unbounded_channel;

use super::fleet::Fleet;
use super::host::Host;
use super::server::{Hosts, LifeChange, configure};
use super::tasks;
use crate::standin::{FleetArgs, StandinError, say_ready, serve};
use crate::topology::Topology;

/// Threads that run the engines' steps and links.
const THREADS: usize = 4;
/// How long a dying engine's listener stays, so that whoever asked for its death gets an answer.
const LAST_WORDS: Duration = Duration::from_millis(20);
/// Tries to listen again on the addresses of a dead engine, and the time between them.
const LISTEN_TRIES: u32 = 100;
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// Runs the selected engines until the process is ended.
pub(crate) async fn run(topology: Topology, args: &FleetArgs) -> Result<(), StandinError> {
    let fleet = Arc::new(Fleet::new(topology));
    let nodes = fleet.topology.engines.iter();
    let by_name: IndexMap<EndpointId, Arc<Host>> = nodes
        .filter(|node| args.selects(node.name.as_str()))
        .map(|node| (node.name.clone(), Arc::new(Host::new(node, &fleet))))
        .collect();
    if by_name.is_empty() {
        return Err(StandinError::NothingSelected);
    }
    let (changes, mut wanted) = unbounded_channel();
    let hosts = Arc::new(Hosts { by_name, changes });
    let mut lives = Lives::new(&hosts);
    for name in hosts.by_name.keys() {
        lives.begin(name)?;
    }
    say_ready();
    while let Some(change) = wanted.recv().await {
        lives.change(change).await;
    }
    Ok(())
}

/// The listeners of the living engines, and the threads of all.
struct Lives {
    hosts: Arc<Hosts>,
    threads: Vec<Arbiter>,
    listening: IndexMap<EndpointId, ServerHandle>,
}

impl Lives {
    fn new(hosts: &Arc<Hosts>) -> Self {
        let threads = THREADS.min(hosts.by_name.len());
        Self {
            hosts: hosts.clone(),
            threads: (0..threads).map(|_| Arbiter::new()).collect(),
            listening: IndexMap::new(),
        }
    }

    async fn change(&mut self, change: LifeChange) {
        match change {
            LifeChange::Died(name, revive_after_ms) => {
                self.stop_listening(&name).await;
                if let Some(after_ms) = revive_after_ms {
                    self.revive_later(name, after_ms);
                }
            }
            LifeChange::Revive(name) => self.revive(&name).await,
        }
    }

    async fn stop_listening(&mut self, name: &EndpointId) {
        sleep(LAST_WORDS).await;
        if let Some(server) = self.listening.swap_remove(name) {
            server.stop(false).await;
        }
    }

    fn revive_later(&self, name: EndpointId, after_ms: u64) {
        let changes = self.hosts.changes.clone();
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(after_ms)).await;
            let _ = changes.send(LifeChange::Revive(name));
        });
    }

    async fn revive(&mut self, name: &EndpointId) {
        if self.listening.contains_key(name) {
            return;
        }
        for _ in 0..LISTEN_TRIES {
            match self.begin(name) {
                Ok(()) => return,
                Err(error) => log::warn!(endpoint:% = name; "not revived yet: {error}"),
            }
            sleep(LISTEN_RETRY).await;
        }
    }

    /// Begins a lifetime if the addresses are free.
    fn begin(&mut self, name: &EndpointId) -> Result<(), StandinError> {
        let Some((index, _, host)) = self.hosts.by_name.get_full(name) else {
            return Ok(());
        };
        let links = listen_links(host.node.link_address)?;
        let (served, hosts) = (host.clone(), self.hosts.clone());
        let server = serve(
            host.node.address,
            web::Data::from(host.gate.clone()),
            move |config| configure(config, &served, &hosts),
        )?;
        if let Some(life) = host.begin_life() {
            let host = host.clone();
            self.threads[index % self.threads.len()].spawn(tasks::live(host, life, links));
        }
        self.listening.insert(name.clone(), server.handle());
        actix_rt::spawn(server);
        Ok(())
    }
}

fn listen_links(address: SocketAddr) -> Result<TcpListener, StandinError> {
    let listen = || -> io::Result<TcpListener> {
        let links = TcpListener::bind(address)?;
        links.set_nonblocking(true)?;
        Ok(links)
    };
    listen().map_err(|source| StandinError::Listen { address, source })
}
