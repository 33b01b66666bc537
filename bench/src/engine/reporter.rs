//! Reports the events of an open stream to whoever opened it, as server-sent events.

use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Interval, interval};
use bytes::Bytes;
use fescueshore::ids::{RequestId, StreamId};
use fescueshore::wire::engine::{OpenStream, StreamEvent};
use tokio::sync::mpsc::UnboundedReceiver;

use super::host::Host;

/// Time between two heartbeats of an open stream.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Writes the events of one open stream; tells the engine if the reader goes.
pub(crate) struct Reporter {
    host: Arc<Host>,
    request: RequestId,
    stream: StreamId,
    epoch: u32,
    position: u32,
    events: UnboundedReceiver<StreamEvent>,
    heartbeats: Interval,
    over: bool,
}

impl Reporter {
    /// Reports the events of a stream that was opened by `open`.
    pub(crate) fn new(
        host: Arc<Host>,
        open: &OpenStream,
        events: UnboundedReceiver<StreamEvent>,
    ) -> Self {
        Self {
            host,
            request: open.request.clone(),
            stream: open.stream,
            epoch: open.epoch,
            position: open.generated.len() as u32,
            events,
            heartbeats: interval(HEARTBEAT),
            over: false,
        }
    }

    /// The next bytes of the stream.
    pub(crate) async fn next(mut self) -> Option<(Result<Bytes, std::io::Error>, Self)> {
        if self.over {
            return None;
        }
        let event = tokio::select! {
            event = self.events.recv() => event,
            _ = self.heartbeats.tick() => Some(StreamEvent::Heartbeat {
                epoch: self.epoch,
                position: self.position,
            }),
        };
        self.host.gate.pass().await;
        // The channel closes without a last event when the engine dies or the call is replaced.
        let mut text = String::new();
        self.write(&mut text, &event?);
        while let Ok(event) = self.events.try_recv() {
            self.write(&mut text, &event);
        }
        Some((Ok(Bytes::from(text)), self))
    }

    fn write(&mut self, text: &mut String, event: &StreamEvent) {
        match event {
            StreamEvent::Token { position, .. } => {
                self.position = position + 1;
                self.host.emissions.note(&self.request, *position);
            }
            StreamEvent::End { .. } | StreamEvent::Failed { .. } => self.over = true,
            StreamEvent::Heartbeat { .. } => {}
        }
        let json = serde_json::to_string(event).unwrap_or_default();
        text.push_str("data: ");
        text.push_str(&json);
        text.push_str("\n\n");
    }
}

impl Drop for Reporter {
    fn drop(&mut self) {
        let (stream, epoch) = (self.stream, self.epoch);
        if !self.over && !self.events.is_closed() {
            self.host.opener_gone(stream, epoch);
        }
    }
}
