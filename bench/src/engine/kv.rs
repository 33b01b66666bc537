//! KV state passes between engines.

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{EngineErrorCode, LayerRange};

use super::core::Core;
use super::frames::Frame;
use super::stream::{Phase, Stream};

/// Bytes of KV state for one token and layer, against those of an activation.
const KV_PARTS: u64 = 4;

impl Core {
    /// Asks another engine for the KV state of a stream.
    pub(crate) fn import(&mut self, id: StreamId, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let source = stream.stage().import_from.and_then(|address| {
            let found = self.peers.iter().find(|(_, peer)| peer.address == address);
            found.map(|(name, _)| name.clone())
        });
        let Some(source) = source else {
            self.counters.kv_missing += 1;
            return self.fail(id, None, EngineErrorCode::KvMissing, at_us);
        };
        stream.phase = Phase::Importing;
        let ask = Frame::KvAsk {
            stream: id,
            epoch: stream.open.epoch,
            layers: stream.layers(),
            positions: stream.start_position(),
        };
        self.send(&source, ask, 0, at_us);
    }

    /// Another engine asks for the KV state of a stream.
    pub(crate) fn export(
        &mut self,
        asker: &EndpointId,
        id: StreamId,
        epoch: u32,
        layers: LayerRange,
        positions: u32,
        at_us: u64,
    ) {
        let held = self.streams.get(&id).filter(|stream| {
            let enough = stream.kv_positions.is_some_and(|held| held >= positions);
            enough && stream.layers().covers(layers)
        });
        let tokens = held.map(|stream| u64::from(stream.prompt_tokens + positions));
        let token_bytes = u64::from(self.node.activation_bytes) / KV_PARTS;
        let bytes = tokens.unwrap_or(0) * u64::from(layers.len()) * token_bytes;
        let reply = Frame::KvReply {
            stream: id,
            epoch,
            found: tokens.is_some(),
        };
        self.send(asker, reply, bytes, at_us);
    }

    /// KV state came, or is not there.
    pub(crate) fn imported(&mut self, id: StreamId, epoch: u32, found: bool, at_us: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.open.epoch != epoch || stream.phase != Phase::Importing {
            return;
        }
        if !found {
            self.counters.kv_missing += 1;
            return self.fail(id, None, EngineErrorCode::KvMissing, at_us);
        }
        stream.phase = Phase::Running;
        stream.kv_positions = Some(stream.start_position());
        self.counters.kv_imported += 1;
        self.push_step(id, 0, at_us);
    }
}

/// Positions in the KV state of an earlier epoch that a later one may go on with.
pub(crate) fn kept_positions(before: &Stream, now: &Stream) -> Option<u32> {
    let same_model = before.open.model == now.open.model
        && before.open.version == now.open.version
        && before.open.adapter == now.open.adapter
        && before.open.prompt == now.open.prompt;
    let kept = same_model && before.layers().covers(now.layers());
    before.kv_positions.filter(|_| kept)
}
