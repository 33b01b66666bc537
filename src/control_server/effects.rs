//! Carries out effects.

use std::future::Future;
use std::rc::Rc;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};

use super::actor::{ControlActor, Waiting};
use crate::clients::EngineCallFailure;
use crate::instance::{CallId, ControlEffect, ControlMessage};
use crate::wire::operator::AuditEntry;

impl ControlActor {
    pub(super) fn carry_out(&mut self, effect: ControlEffect, ctx: &mut Context<Self>) {
        match effect {
            ControlEffect::AnswerEntry { call, reply } => {
                if let Some(Waiting::Entry(sender)) = self.take_waiting(call) {
                    let _ = sender.send(reply);
                }
            }
            ControlEffect::AnswerPeer { call, answer } => {
                if let Some(Waiting::Peer(sender)) = self.take_waiting(call) {
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::AnswerOperator { call, result } => {
                if let Some(Waiting::Operator(sender)) = self.take_waiting(call) {
                    let _ = sender.send(result);
                }
            }
            ControlEffect::Recorded { entry } => self.log(&entry),
            ControlEffect::Stopped => {
                if let Some(stopped) = self.stopped.take() {
                    let _ = stopped.send(());
                }
            }
            effect => self.call(effect, ctx),
        }
    }

    fn call(&mut self, effect: ControlEffect, ctx: &mut Context<Self>) {
        match effect {
            ControlEffect::CallPeer {
                call,
                address,
                ask,
                timeout_ms,
                fresh_connection,
            } => {
                self.counters.count("control.calls.peer");
                let peers = Rc::clone(&self.peers);
                self.spawn(ctx, async move {
                    let result = peers.call(address, ask, timeout_ms, fresh_connection).await;
                    ControlMessage::PeerAnswered { call, result }
                });
            }
            ControlEffect::ReadInstances { call, timeout_ms } => {
                self.counters.count("control.calls.instances");
                let platform = Rc::clone(&self.platform);
                self.spawn(ctx, async move {
                    let result = platform.instances(timeout_ms).await;
                    ControlMessage::InstancesRead { call, result }
                });
            }
            ControlEffect::CallTable {
                call,
                table,
                timeout_ms,
            } => {
                self.counters.count("control.calls.table");
                let platform = Rc::clone(&self.platform);
                self.spawn(ctx, async move {
                    let result = platform.call_table(table, timeout_ms).await;
                    ControlMessage::TableAnswered { call, result }
                });
            }
            effect => self.call_engine(effect, ctx),
        }
    }

    fn call_engine(&mut self, effect: ControlEffect, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        match effect {
            ControlEffect::ReadEngine {
                call,
                address,
                timeout_ms,
                ..
            } => {
                self.counters.count("control.calls.engine");
                self.spawn(ctx, async move {
                    let result = platform.engine_state(address, timeout_ms).await;
                    ControlMessage::EngineAnswered { call, result }
                });
            }
            ControlEffect::SendOrder {
                call,
                address,
                order,
                valid_until_ms,
                timeout_ms,
                ..
            } => {
                self.counters.count("control.orders.sent");
                let clock = self.clock;
                self.spawn(ctx, async move {
                    // The last look at the clock before the order leaves. A pause of this process
                    // between here and the send is what the fencing token is for.
                    let now_ms = clock.elapsed().as_millis();
                    let result = if now_ms < u128::from(valid_until_ms) {
                        platform.order(address, &order, timeout_ms).await
                    } else {
                        Err(EngineCallFailure::NotSent)
                    };
                    ControlMessage::EngineAnswered { call, result }
                });
            }
            _ => {}
        }
    }

    fn spawn<F>(&self, ctx: &mut Context<Self>, call: F)
    where
        F: Future<Output = ControlMessage> + 'static,
    {
        let answered = call
            .into_actor(self)
            .map(|message, actor, ctx| actor.deliver(message, ctx));
        ctx.spawn(answered);
    }

    fn take_waiting(&mut self, call: CallId) -> Option<Waiting> {
        self.waiting.swap_remove(&call)
    }

    fn log(&self, entry: &AuditEntry) {
        self.counters.count("control.state_changes");
        let event = serde_json::to_string(&entry.event).unwrap_or_default();
        log::info!(event = event.as_str(); "state changed");
    }
}
