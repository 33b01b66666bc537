//! What engines send one another: length-delimited JSON over one connection per direction.

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{EngineErrorCode, LayerRange, OpenStream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A frame and when it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Envelope {
    /// When the last byte is over the modelled link, in microseconds since the Unix epoch.
    pub(crate) due_us: u64,
    /// The frame.
    pub(crate) frame: Frame,
}

/// What engines say to one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub(crate) enum Frame {
    /// The first frame of a connection.
    Hello {
        /// The sender.
        from: EndpointId,
    },
    /// To the next stage: the stream and its first activation in this epoch.
    Begin {
        /// The stream as the first stage got it.
        open: Box<OpenStream>,
        /// Index of the receiving stage.
        index: usize,
        /// The activation.
        activation: Activation,
    },
    /// To the next stage: the activation of one more position.
    Step {
        /// The stream.
        stream: StreamId,
        /// Chain epoch.
        epoch: u32,
        /// The activation.
        activation: Activation,
    },
    /// From the last stage to the first: a token.
    Token {
        /// The stream.
        stream: StreamId,
        /// Chain epoch.
        epoch: u32,
        /// The activation behind the last layer.
        activation: Activation,
        /// Its text.
        text: String,
    },
    /// To the previous stage or the first: a stage cannot go on.
    Fault {
        /// The stream.
        stream: StreamId,
        /// Chain epoch.
        epoch: u32,
        /// The stage at fault.
        stage: EndpointId,
        /// What went wrong.
        cause: EngineErrorCode,
    },
    /// From the first stage: nothing more is run in this epoch.
    Close {
        /// The stream.
        stream: StreamId,
        /// Chain epoch.
        epoch: u32,
        /// Whether a later epoch may want the KV state.
        keep_kv: bool,
    },
    /// Asks for the KV state of a stream.
    KvAsk {
        /// The stream.
        stream: StreamId,
        /// Epoch of the asking stage.
        epoch: u32,
        /// Layers wanted.
        layers: LayerRange,
        /// Positions it must hold at least.
        positions: u32,
    },
    /// Answers [`Frame::KvAsk`]; takes as long as the state's bytes need.
    KvReply {
        /// The stream.
        stream: StreamId,
        /// Epoch of the asking stage.
        epoch: u32,
        /// Whether the state was there.
        found: bool,
    },
}

/// What passes from layer to layer, with evidence of the layers it has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Activation {
    /// Position of the token it leads to.
    pub(crate) position: u32,
    /// Layers it has passed: `0..reached`.
    pub(crate) reached: u16,
    /// Rolling hash over stream, epoch, position and every layer passed.
    pub(crate) hash: u64,
}

impl Activation {
    /// The input of layer 0.
    pub(crate) fn start(stream: StreamId, epoch: u32, position: u32) -> Self {
        let label = format!("{stream}/{epoch}/{position}");
        Self {
            position,
            reached: 0,
            hash: xxh3_64_with_seed(label.as_bytes(), 0),
        }
    }

    /// The output of a range of layers.
    pub(crate) fn through(self, layers: LayerRange) -> Self {
        let hash = (layers.first..layers.end).fold(self.hash, |hash, layer| {
            xxh3_64_with_seed(&layer.to_le_bytes(), hash)
        });
        Self {
            reached: layers.end,
            hash,
            ..self
        }
    }

    /// Whether it has passed exactly the layers below `layer`, each once and in order.
    pub(crate) fn has_passed(self, stream: StreamId, epoch: u32, layer: u16) -> bool {
        let below = LayerRange {
            first: 0,
            end: layer,
        };
        self == Self::start(stream, epoch, self.position).through(below)
    }
}
