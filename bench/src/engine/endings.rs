//! Streams fail, end, are cancelled, or grow old.

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{EngineErrorCode, StreamEvent};

use super::core::{Core, Load};
use super::frames::Frame;
use super::stream::{Phase, Stream};

/// How long the KV state of a stopped stream is kept.
const KEEP_STOPPED_US: u64 = 10_000_000;
/// How long a later stage waits for the next step.
const IDLE_US: u64 = 30_000_000;

impl Core {
    /// This stage cannot go on, or heard that another can't.
    pub(crate) fn fail(
        &mut self,
        id: StreamId,
        stage: Option<&EndpointId>,
        cause: EngineErrorCode,
        at_us: u64,
    ) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let stage = stage.unwrap_or(&self.node.name).clone();
        let epoch = stream.open.epoch;
        if stream.index == 0 {
            let position = stream.start_position() + stream.tokens.len() as u32;
            self.counters.failed += 1;
            let event = StreamEvent::Failed {
                epoch,
                position,
                stage: Some(stage),
                cause,
            };
            self.emit(id, epoch, event);
            self.close_others(id, true, at_us);
        } else {
            let first = stream.first_stage().endpoint.clone();
            if first != stage {
                let fault = Frame::Fault {
                    stream: id,
                    epoch,
                    stage,
                    cause,
                };
                self.send(&first, fault, 0, at_us);
            }
        }
        self.stop(id, at_us);
    }

    /// Answers a frame with a fault of this stage.
    pub(crate) fn send_fault(
        &mut self,
        to: &EndpointId,
        stream: StreamId,
        epoch: u32,
        cause: EngineErrorCode,
        at_us: u64,
    ) {
        let stage = self.node.name.clone();
        let fault = Frame::Fault {
            stream,
            epoch,
            stage,
            cause,
        };
        self.send(to, fault, 0, at_us);
    }

    /// As the first stage, tells the others that nothing more is run in this epoch.
    pub(crate) fn close_others(&mut self, id: StreamId, keep_kv: bool, at_us: u64) {
        let Some(stream) = self.streams.get(&id).filter(|stream| stream.index == 0) else {
            return;
        };
        let epoch = stream.open.epoch;
        let others: Vec<EndpointId> = other_stages(stream, &self.node.name);
        for other in others {
            let close = Frame::Close {
                stream: id,
                epoch,
                keep_kv,
            };
            self.send(&other, close, 0, at_us);
        }
    }

    pub(crate) fn close(&mut self, id: StreamId, epoch: u32, keep_kv: bool, at_us: u64) {
        let known = self.streams.get(&id).map(|stream| stream.open.epoch);
        match known {
            Some(known) if known > epoch => {}
            Some(_) if keep_kv => self.stop(id, at_us),
            Some(_) => self.forget(id, at_us),
            None => self.raise_floor(id, epoch.saturating_add(1)),
        }
    }

    /// Cancels a stream up to and including an epoch; the KV state goes too.
    pub(crate) fn cancel(&mut self, id: StreamId, epoch: u32, now_us: u64) {
        self.raise_floor(id, epoch.saturating_add(1));
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        if stream.open.epoch > epoch {
            return;
        }
        if stream.is_active() {
            self.counters.cancelled += 1;
            self.fail(id, None, EngineErrorCode::Cancelled, now_us);
        }
        self.close_others(id, false, now_us);
        self.forget(id, now_us);
    }

    /// Whoever opened the stream at this engine does not listen any more.
    pub(crate) fn opener_gone(&mut self, id: StreamId, epoch: u32, now_us: u64) {
        let here = self.streams.get(&id).is_some_and(|stream| {
            stream.open.epoch == epoch && stream.index == 0 && stream.is_active()
        });
        if here {
            self.counters.cancelled += 1;
            self.close_others(id, true, now_us);
            self.stop(id, now_us);
        }
    }

    /// The connection to another engine broke.
    pub(crate) fn peer_lost(&mut self, peer: &EndpointId, now_us: u64) {
        let concerned: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| {
                let in_chain = stream
                    .open
                    .chain
                    .iter()
                    .any(|stage| stage.endpoint == *peer);
                stream.is_active() && in_chain
            })
            .map(|(id, _)| *id)
            .collect();
        for id in concerned {
            self.fail(id, Some(peer), EngineErrorCode::StageUnreachable, now_us);
        }
    }

    /// Stops a stream; its KV state is kept for a while. Its slot goes to the next that waits.
    pub(crate) fn stop(&mut self, id: StreamId, now_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.phase = Phase::Stopped;
        stream.touched_us = now_us;
        self.executor.remove(id);
        self.admit(now_us);
    }

    /// Forgets a stream but for its epoch.
    pub(crate) fn forget(&mut self, id: StreamId, now_us: u64) {
        let Some(stream) = self.streams.swap_remove(&id) else {
            return;
        };
        self.raise_floor(id, stream.open.epoch.saturating_add(1));
        self.executor.remove(id);
        self.admit(now_us);
    }

    pub(crate) fn sweep(&mut self, now_us: u64) {
        let (running, waiting) = self.occupancy();
        self.load = Load {
            running,
            waiting,
            at_us: now_us,
        };
        let old: Vec<(StreamId, Phase)> = self
            .streams
            .iter()
            .filter(|(_, stream)| {
                let idle_us = now_us.saturating_sub(stream.touched_us);
                match stream.phase {
                    Phase::Stopped => idle_us > KEEP_STOPPED_US,
                    Phase::Running | Phase::Importing => idle_us > IDLE_US && stream.index > 0,
                    Phase::Waiting { .. } => false,
                }
            })
            .map(|(id, stream)| (*id, stream.phase))
            .collect();
        for (id, phase) in old {
            match phase {
                Phase::Stopped => self.forget(id, now_us),
                _ => self.stop(id, now_us),
            }
        }
    }
}

fn other_stages(stream: &Stream, own: &EndpointId) -> Vec<EndpointId> {
    let stages = stream.open.chain.iter().map(|stage| &stage.endpoint);
    stages
        .filter(|endpoint| *endpoint != own)
        .cloned()
        .collect()
}
