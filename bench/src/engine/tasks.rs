//! The tasks of one lifetime of an engine: steps, links and weights.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use fescueshore::ids::EndpointId;
use fescueshore::wire::engine::EngineAssignment;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;

use super::frames::Envelope;
use super::host::{Command, Host, Life, LinkId};
use super::links::{receive_frames, send_frames};

/// Tries to reach the weight store before its usual time is taken instead.
const WEIGHT_TRIES: u32 = 3;
/// Time a layer takes without a weight store.
const USUAL_LOAD: Duration = Duration::from_millis(64);
/// Time between two tries.
const WEIGHT_RETRY: Duration = Duration::from_millis(100);

/// Runs an engine until it dies.
pub(crate) async fn live(host: Arc<Host>, life: Life, links: std::net::TcpListener) {
    let Life { over, commands } = life;
    let spawn = |task: LifeTask| {
        let (host, over) = (host.clone(), over.clone());
        actix_rt::spawn(async move {
            over.run_until_cancelled(task.run(host)).await;
        });
    };
    spawn(LifeTask::Accept(links));
    spawn(LifeTask::RunSteps);
    let mut commands = commands;
    while let Some(Some(command)) = over.run_until_cancelled(commands.recv()).await {
        spawn(match command {
            Command::Connect { peer, link, frames } => LifeTask::Connect(peer, link, frames),
            Command::Load { desired, parts } => LifeTask::Load(desired, parts),
        });
    }
}

/// A task that ends with the lifetime.
enum LifeTask {
    Accept(std::net::TcpListener),
    RunSteps,
    Connect(EndpointId, LinkId, UnboundedReceiver<Envelope>),
    Load(EngineAssignment, u32),
    Read(TcpStream),
}

impl LifeTask {
    async fn run(self, host: Arc<Host>) {
        match self {
            Self::Accept(links) => accept_links(host, links).await,
            Self::RunSteps => run_steps(host).await,
            Self::Connect(peer, link, frames) => {
                if let Err(error) = send_frames(&host, &peer, frames).await {
                    log::debug!(endpoint:% = host.node.name, peer:% = peer; "link lost: {error}");
                }
                host.link_lost(&peer, link);
            }
            Self::Load(desired, parts) => load(&host, desired, parts).await,
            Self::Read(link) => receive_frames(&host, link).await,
        }
    }
}

async fn run_steps(host: Arc<Host>) {
    loop {
        if host.gate.is_frozen() {
            host.gate.wait_thawed().await;
            host.with_core(|core, now_us| core.executor.skip_to(now_us));
        }
        let Some(sleep_us) = host.run_steps() else {
            return;
        };
        // The timer's grain is a millisecond; the executor's clock is exact all the same.
        let _ = timeout(Duration::from_micros(sleep_us), host.wake.notified()).await;
    }
}

async fn accept_links(host: Arc<Host>, links: std::net::TcpListener) {
    let links = match TcpListener::from_std(links) {
        Ok(links) => links,
        Err(error) => {
            return log::error!(endpoint:% = host.node.name; "takes no links: {error}");
        }
    };
    let mut readers = tokio::task::JoinSet::new();
    loop {
        while readers.try_join_next().is_some() {}
        if let Ok((link, _)) = links.accept().await {
            let host = host.clone();
            // The set ends its tasks when the lifetime ends.
            readers.spawn_local(LifeTask::Read(link).run(host));
        }
    }
}

/// Fetches the parts one after the other.
async fn load(host: &Host, desired: EngineAssignment, parts: u32) {
    let client = awc::Client::default();
    let store = host.fleet.topology.platform.weights;
    let (model, version) = (&desired.model, &desired.version);
    for part in 0..parts {
        let url = format!("http://{store}/v1/weights/{model}/{version}/{part}");
        load_part(&client, &url).await;
    }
    host.gate.wait_thawed().await;
    host.with_core(|core, now_us| core.loaded(&desired, now_us));
}

async fn load_part(client: &awc::Client, url: &str) {
    let mut unreachable = 0;
    while unreachable < WEIGHT_TRIES {
        let reply = client
            .get(url)
            .timeout(Duration::from_secs(30))
            .send()
            .await;
        match reply {
            Ok(reply) if reply.status().is_success() => return,
            Ok(_) => {}
            Err(_) => unreachable += 1,
        }
        sleep(WEIGHT_RETRY).await;
    }
    sleep(USUAL_LOAD).await;
}
