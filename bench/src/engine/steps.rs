//! Steps run, and activations and tokens pass between stages.

use fescueshore::ids::{EndpointId, StreamId};
use fescueshore::wire::engine::{EngineErrorCode, StreamEvent};

use super::core::Core;
use super::executor::Work;
use super::frames::{Activation, Frame};
use super::ledger::Run;
use super::stream::{Phase, recomputes};

/// Bytes of a token on a link.
const TOKEN_BYTES: u64 = 16;

impl Core {
    /// One more position, from the stage before.
    pub(crate) fn take_step(
        &mut self,
        from: &EndpointId,
        id: StreamId,
        epoch: u32,
        input: Activation,
        at_us: u64,
    ) {
        if epoch < self.floor(id) {
            self.counters.stale_epochs += 1;
            return self.send_fault(from, id, epoch, EngineErrorCode::StaleEpoch, at_us);
        }
        if !self.is_current(id, epoch) {
            return self.send_fault(from, id, epoch, EngineErrorCode::KvMissing, at_us);
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        stream.touched_us = at_us;
        // The position that this stage is at, or would run next.
        let next = stream.input.position;
        if input.position == next && stream.busy {
            return;
        }
        if input.position == next {
            stream.input = input;
            return self.push_step(id, 0, at_us);
        }
        if input.position + 1 == next && !stream.busy {
            self.counters.repeats += 1;
            return self.repeat_result(id, at_us);
        }
        self.counters.out_of_order += 1;
        self.send_fault(from, id, epoch, EngineErrorCode::Malformed, at_us);
    }

    fn repeat_result(&mut self, id: StreamId, at_us: u64) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let to = stream.next_stage().unwrap_or(stream.first_stage());
        let to = to.endpoint.clone();
        if let Some(result) = stream.last_result.clone() {
            self.send(&to, result, 0, at_us);
        }
    }

    /// A step has run.
    pub(crate) fn finish_step(&mut self, work: &Work, at_us: u64) {
        let id = work.stream;
        if !self.is_current(id, work.epoch) {
            return;
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        if stream.input.position != work.position || stream.phase != Phase::Running {
            return;
        }
        let (input, layers) = (stream.input, stream.layers());
        let prefilled = input.position == stream.start_position();
        stream.touched_us = at_us;
        stream.busy = false;
        stream.kv_positions = Some(input.position + 1);
        // The stage is now at the next position and waits for its activation.
        stream.input.position += 1;
        if prefilled {
            let adapter = stream.open.adapter.as_deref();
            self.cache.store(&stream.prefix, adapter, at_us);
        }
        self.counters.runs += 1;
        self.check_run(work, input);
        self.pass_on(id, input.through(layers), prefilled, at_us);
    }

    /// Checks that every layer has run this position once, after the layers below.
    fn check_run(&mut self, work: &Work, input: Activation) {
        let Some(stream) = self.streams.get(&work.stream) else {
            return;
        };
        let run = Run {
            stream: work.stream,
            epoch: work.epoch,
            position: input.position,
            layers: stream.layers(),
            endpoint: &self.node.name,
        };
        let passed = input.has_passed(work.stream, work.epoch, run.layers.first);
        let noted = self.ledger.note(&run);
        if input.position == stream.start_position() {
            self.ledger.note_request(&stream.open.request);
        }
        if let Err(fault) = &noted {
            log::error!(endpoint:% = self.node.name, stream:% = work.stream, epoch = work.epoch,
                position = input.position; "layer fault: {fault}");
        }
        if !passed {
            log::error!(endpoint:% = self.node.name, stream:% = work.stream, epoch = work.epoch,
                position = input.position, reached = input.reached;
                "layer fault: the activation has not passed exactly the layers below");
        }
        if noted.is_err() || !passed {
            self.counters.layer_faults += 1;
        }
    }

    /// Hands a step's result to the next stage, or the token to the first.
    fn pass_on(&mut self, id: StreamId, output: Activation, first_step: bool, at_us: u64) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let epoch = stream.open.epoch;
        let Some(next) = stream.next_stage() else {
            return self.return_token(id, output, at_us);
        };
        let to = next.endpoint.clone();
        let (frame, tokens) = if first_step {
            let frame = Frame::Begin {
                open: Box::new((*stream.open).clone()),
                index: stream.index + 1,
                activation: output,
            };
            let again = recomputes(next, stream.start_position());
            (frame, if again { stream.context_tokens() } else { 1 })
        } else {
            let frame = Frame::Step {
                stream: id,
                epoch,
                activation: output,
            };
            (frame, 1)
        };
        let bytes = u64::from(tokens.max(1)) * u64::from(self.node.activation_bytes);
        self.keep_result(id, &frame);
        self.send(&to, frame, bytes, at_us);
    }

    fn return_token(&mut self, id: StreamId, output: Activation, at_us: u64) {
        let Some(stream) = self.streams.get(&id) else {
            return;
        };
        let epoch = stream.open.epoch;
        let text = stream.seed.token(output.position);
        if stream.index == 0 {
            return self.take_token(id, epoch, output, text, at_us);
        }
        let to = stream.first_stage().endpoint.clone();
        let frame = Frame::Token {
            stream: id,
            epoch,
            activation: output,
            text,
        };
        self.keep_result(id, &frame);
        self.send(&to, frame, TOKEN_BYTES, at_us);
    }

    fn keep_result(&mut self, id: StreamId, frame: &Frame) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.last_result = Some(frame.clone());
        }
    }

    /// The last stage hands a token back: report it and start the next position.
    pub(crate) fn take_token(
        &mut self,
        id: StreamId,
        epoch: u32,
        output: Activation,
        text: String,
        at_us: u64,
    ) {
        if !self.is_current(id, epoch) {
            self.counters.stale_epochs += 1;
            return;
        }
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let position = stream.start_position() + stream.tokens.len() as u32;
        if output.position != position {
            self.counters.out_of_order += 1;
            return;
        }
        let last_layer = stream.open.chain.last().map_or(0, |stage| stage.layers.end);
        if !output.has_passed(id, epoch, last_layer) {
            self.counters.layer_faults += 1;
        }
        stream.touched_us = at_us;
        stream.tokens.push(text.clone());
        let (positions, reason) = stream.end;
        self.counters.tokens += 1;
        self.emit(
            id,
            epoch,
            StreamEvent::Token {
                epoch,
                position,
                text,
            },
        );
        if position + 1 < positions {
            return self.start_position(id, epoch, position + 1, at_us);
        }
        self.counters.ended += 1;
        self.emit(
            id,
            epoch,
            StreamEvent::End {
                epoch,
                positions,
                reason,
            },
        );
        self.close_others(id, false, at_us);
        self.forget(id, at_us);
    }

    fn start_position(&mut self, id: StreamId, epoch: u32, position: u32, at_us: u64) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.input = Activation::start(id, epoch, position);
            self.push_step(id, 0, at_us);
        }
    }
}
