//! Links between engines: one connection per direction, opened by the engine that sends.
//!
//! The receiver sends a byte back now and then, so that the sender notices a connection that has
//! gone silent without being closed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::time::{Instant, interval, sleep, sleep_until, timeout};
use bytes::Bytes;
use fescueshore::ids::EndpointId;
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use super::frames::{Envelope, Frame};
use super::host::Host;
use crate::standin::unix_us;

/// How long a link may be silent until it is taken for broken, in milliseconds.
pub const LINK_SILENCE_MS: u64 = 10_000;
/// Time between two signs of life of a receiver.
const SIGN_OF_LIFE: Duration = Duration::from_secs(1);
/// How long a connection to another engine may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Takes the frames of one sender until its connection ends.
pub(crate) async fn receive_frames(host: &Host, link: TcpStream) {
    let _ = link.set_nodelay(true);
    let (reading, writing) = link.into_split();
    let mut peer = None;
    tokio::select! {
        () = read_frames(host, reading, &mut peer) => {}
        () = show_life(host, writing) => {}
    }
    if let Some(peer) = peer {
        host.gate.wait_thawed().await;
        host.peer_gone(&peer);
    }
}

async fn read_frames(host: &Host, reading: OwnedReadHalf, peer: &mut Option<EndpointId>) {
    let mut frames = FramedRead::new(reading, codec());
    while let Some(Ok(bytes)) = frames.next().await {
        let Ok(Envelope { due_us, frame }) = serde_json::from_slice(&bytes) else {
            return log::error!(endpoint:% = host.node.name; "unreadable frame");
        };
        if let Frame::Hello { from } = frame {
            *peer = Some(from);
            continue;
        }
        let Some(from) = peer.as_ref() else {
            return;
        };
        let at_us = wait_due(host, due_us).await;
        host.with_core(|core, now_us| {
            core.receive(from, frame, at_us);
            core.advance(now_us);
        });
    }
}

/// Sends a byte now and then; ends if that fails.
async fn show_life(host: &Host, mut writing: OwnedWriteHalf) {
    let mut signs = interval(SIGN_OF_LIFE);
    loop {
        signs.tick().await;
        host.gate.wait_thawed().await;
        if writing.write_all(&[0]).await.is_err() {
            return;
        }
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

/// Connects to another engine and sends it frames; returns why that ended.
pub(crate) async fn send_frames(
    host: &Host,
    peer: &EndpointId,
    mut frames: UnboundedReceiver<Envelope>,
) -> io::Result<()> {
    let mut silence = host.silence.subscribe();
    let link = connect(host, peer).await?;
    let (mut reading, writing) = link.into_split();
    let mut writing = FramedWrite::new(writing, codec());
    let from = host.node.name.clone();
    let hello = Envelope {
        due_us: 0,
        frame: Frame::Hello { from },
    };
    feed(&mut writing, &hello).await?;
    SinkExt::<Bytes>::flush(&mut writing).await?;
    let mut signs = [0; 16];
    let mut heard_at = Instant::now();
    let mut silent = false;
    loop {
        let silence_ends = heard_at + Duration::from_millis(LINK_SILENCE_MS);
        tokio::select! {
            next = frames.recv() => {
                let Some(next) = next else {
                    return Ok(());
                };
                host.gate.wait_thawed().await;
                if !silent {
                    send_waiting(&mut writing, &next, &mut frames).await?;
                }
            }
            read = reading.read(&mut signs), if !silent => {
                if read? == 0 {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                heard_at = Instant::now();
            }
            _ = silence.changed() => {
                let silenced = silence.borrow_and_update();
                silent |= silenced.as_ref().is_none_or(|silenced| silenced == peer);
            }
            () = sleep_until(silence_ends) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Sends a frame and all that wait behind it.
async fn send_waiting(
    writing: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    next: &Envelope,
    frames: &mut UnboundedReceiver<Envelope>,
) -> io::Result<()> {
    feed(writing, next).await?;
    while let Ok(next) = frames.try_recv() {
        feed(writing, &next).await?;
    }
    SinkExt::<Bytes>::flush(writing).await
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
