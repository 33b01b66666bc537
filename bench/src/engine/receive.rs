//! Frames of other engines.

use fescueshore::ids::{EndpointId, StreamId};

use super::core::Core;
use super::frames::Frame;

impl Core {
    /// A frame of another engine has arrived.
    pub(crate) fn receive(&mut self, from: &EndpointId, frame: Frame, at_us: u64) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Begin {
                open,
                index,
                activation,
            } => self.begin_later(from, *open, index, activation, at_us),
            Frame::Step {
                stream,
                epoch,
                activation,
            } => self.take_step(from, stream, epoch, activation, at_us),
            Frame::Token {
                stream,
                epoch,
                activation,
                text,
            } => self.take_token(stream, epoch, activation, text, at_us),
            Frame::Fault {
                stream,
                epoch,
                stage,
                cause,
            } => {
                if self.is_current(stream, epoch) {
                    self.fail(stream, Some(&stage), cause, at_us);
                }
            }
            Frame::Close {
                stream,
                epoch,
                keep_kv,
            } => self.close(stream, epoch, keep_kv, at_us),
            Frame::KvAsk {
                stream,
                epoch,
                layers,
                positions,
            } => self.export(from, stream, epoch, layers, positions, at_us),
            Frame::KvReply {
                stream,
                epoch,
                found,
            } => self.imported(stream, epoch, found, at_us),
        }
    }

    pub(crate) fn is_current(&self, id: StreamId, epoch: u32) -> bool {
        let stream = self.streams.get(&id);
        stream.is_some_and(|stream| stream.open.epoch == epoch && stream.is_active())
    }
}
