//! The tasks of one lifetime of an engine: steps, links and weights.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use fescueshore::ids::EndpointId;
use fescueshore::wire::engine::EngineAssignment;
use futures_util::{SinkExt, StreamExt};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::frames::{Envelope, Frame};
use super::host::{Command, Host, Life};
use crate::standin::unix_us;

/// How long a connection to another engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest frame.
const MAX_FRAME_BYTES: usize = 64 << 20;
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
            Command::Connect { peer, frames } => LifeTask::Connect(peer, frames),
            Command::Load { desired, parts } => LifeTask::Load(desired, parts),
        });
    }
}

/// A task that ends with the lifetime.
enum LifeTask {
    Accept(std::net::TcpListener),
    RunSteps,
    Connect(EndpointId, UnboundedReceiver<Envelope>),
    Load(EngineAssignment, u32),
    Read(TcpStream),
}

impl LifeTask {
    async fn run(self, host: Arc<Host>) {
        match self {
            Self::Accept(links) => accept_links(host, links).await,
            Self::RunSteps => run_steps(host).await,
            Self::Connect(peer, frames) => {
                if let Err(error) = send_frames(&host, &peer, frames).await {
                    log::debug!(endpoint:% = host.node.name, peer:% = peer; "link lost: {error}");
                }
                host.link_lost(&peer);
            }
            Self::Load(desired, parts) => load(&host, desired, parts).await,
            Self::Read(link) => read_frames(&host, link).await,
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

async fn read_frames(host: &Host, link: TcpStream) {
    let _ = link.set_nodelay(true);
    let mut frames = FramedRead::new(link, codec());
    let mut peer = None;
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(Envelope { due_us, frame }) = serde_json::from_slice(&bytes) else {
            log::error!(endpoint:% = host.node.name; "unreadable frame");
            break;
        };
        if let Frame::Hello { from } = frame {
            peer = Some(from);
            continue;
        }
        let Some(from) = &peer else {
            break;
        };
        let at_us = wait_due(host, due_us).await;
        host.with_core(|core, now_us| {
            core.receive(from, frame, at_us);
            core.advance(now_us);
        });
    }
    if let Some(peer) = peer {
        host.gate.wait_thawed().await;
        host.link_lost(&peer);
    }
}

/// Waits until a frame is due and the engine isn't frozen; returns when that was.
async fn wait_due(host: &Host, due_us: u64) -> u64 {
    let ahead_us = due_us.saturating_sub(unix_us());
    if ahead_us > 0 {
        sleep(Duration::from_micros(ahead_us)).await;
    }
    if host.gate.is_frozen() {
        host.gate.wait_thawed().await;
        return unix_us();
    }
    due_us
}

async fn send_frames(
    host: &Host,
    peer: &EndpointId,
    mut frames: UnboundedReceiver<Envelope>,
) -> io::Result<()> {
    let link = connect(host, peer).await?;
    let (mut reading, writing) = link.into_split();
    let mut writing = FramedWrite::new(writing, codec());
    let from = host.node.name.clone();
    let hello = Envelope {
        due_us: 0,
        frame: Frame::Hello { from },
    };
    feed(&mut writing, &hello).await?;
    let mut unused = [0; 1];
    loop {
        let next = tokio::select! {
            next = frames.recv() => next,
            // Nothing is ever sent back: what can be read is the end of the connection.
            _ = reading.read(&mut unused) => return Err(io::ErrorKind::ConnectionReset.into()),
        };
        let Some(next) = next else {
            return Ok(());
        };
        host.gate.wait_thawed().await;
        feed(&mut writing, &next).await?;
        while let Ok(next) = frames.try_recv() {
            feed(&mut writing, &next).await?;
        }
        SinkExt::<Bytes>::flush(&mut writing).await?;
    }
}

async fn connect(host: &Host, peer: &EndpointId) -> io::Result<TcpStream> {
    let engines = &host.fleet.topology.engines;
    let node = engines.iter().find(|node| node.name == *peer);
    let address: SocketAddr = node.ok_or(io::ErrorKind::NotFound)?.link_address;
    let link = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    link.set_nodelay(true)?;
    Ok(link)
}

async fn feed(
    writing: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    envelope: &Envelope,
) -> io::Result<()> {
    let bytes = serde_json::to_vec(envelope)?;
    writing.feed(Bytes::from(bytes)).await
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
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
