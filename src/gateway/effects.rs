//! Executes the effects of the entry's state machine.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{AsyncContext, Context};
use indexmap::IndexSet;

use super::actor::EntryActor;
use super::application_call::{ApplicationCall, call_application};
use super::caller::CallerEvent;
use super::calls::{self, OutboundClients};
use super::claim_call::{claim_question, query_holder};
use super::messages::Deliver;
use super::stream_call::run_stream;
use crate::instance::{CallId, EntryEffect};
use crate::wire::engine::OpenStream;
use crate::wire::local::{EntryReport, Snapshot};

impl EntryActor {
    /// Executes one effect without blocking.
    pub(super) fn execute_effect(&mut self, effect: EntryEffect, ctx: &mut Context<Self>) {
        let outbound = Rc::clone(&self.outbound);
        match effect {
            EntryEffect::SendToken { caller, text, .. } => {
                self.send_to_caller(caller, CallerEvent::Token { text });
            }
            EntryEffect::SendEnd {
                caller,
                positions,
                cut_by_length,
            } => {
                let end = CallerEvent::End {
                    positions,
                    cut_by_length,
                };
                self.send_to_caller(caller, end);
            }
            EntryEffect::SendReply {
                caller,
                reply,
                replayed,
            } => self.send_to_caller(caller, CallerEvent::Reply { reply, replayed }),
            EntryEffect::SendRefusal { caller, refusal } => {
                self.tally.refuse(refusal.code);
                self.send_to_caller(caller, CallerEvent::Refusal(refusal));
            }
            EntryEffect::OpenStream {
                call,
                address,
                open,
                fresh_connection,
            } => self.open_stream(call, address, open, fresh_connection, ctx),
            EntryEffect::DropStream { call } => {
                if let Some(task) = self.streams.swap_remove(&call) {
                    task.abort();
                }
            }
            EntryEffect::CancelStream {
                address,
                stream,
                epoch,
            } => {
                self.tally.cancels += 1;
                actix_rt::spawn(calls::cancel_stream(outbound, address, stream, epoch));
            }
            EntryEffect::ProbeStream {
                call,
                address,
                stream,
                timeout_ms,
            } => {
                let probe = calls::probe_stream(outbound, call, address, stream, timeout_ms);
                run_call(probe, ctx);
            }
            EntryEffect::ReadEngineState { endpoint, address } => {
                run_call(calls::read_engine_state(outbound, endpoint, address), ctx);
            }
            EntryEffect::ReadCacheEvents {
                endpoint,
                address,
                after,
            } => run_call(
                calls::read_cache_events(outbound, endpoint, address, after),
                ctx,
            ),
            EntryEffect::CallApplication {
                call,
                address,
                method,
                path,
                content_type,
                body,
                request,
                idempotency_key,
                timeout_ms,
                fresh_connection,
            } => {
                self.tally.application_calls += 1;
                let key = idempotency_key.as_ref().map(|key| key.as_str());
                let http_call = ApplicationCall {
                    method,
                    path,
                    headers: ApplicationCall::headers(content_type, request.as_str(), key),
                    body,
                    timeout_ms,
                    fresh_connection,
                };
                run_call(call_application(outbound, call, address, http_call), ctx);
            }
            EntryEffect::CallTable {
                call,
                table,
                timeout_ms,
            } => {
                self.tally.table_calls += 1;
                run_call(calls::call_table(outbound, call, table, timeout_ms), ctx);
            }
            EntryEffect::AskHolder {
                call,
                instance,
                address,
                incarnation,
                claim,
                timeout_ms,
            } => {
                let question = claim_question(instance, incarnation, claim);
                let query = query_holder(outbound, call, address, question, timeout_ms);
                run_call(query, ctx);
            }
            EntryEffect::AnswerHolder { call, working } => {
                if let Some(reply) = self.claim_queries.swap_remove(&call) {
                    let _ = reply.send(working);
                }
            }
            EntryEffect::Report { report } => self.report(report),
            EntryEffect::Stopped => {
                self.stopped.send_replace(true);
            }
        }
    }

    fn open_stream(
        &mut self,
        call: CallId,
        address: SocketAddr,
        open: OpenStream,
        fresh_connection: bool,
        ctx: &mut Context<Self>,
    ) {
        self.tally.streams += 1;
        let outbound = Rc::clone(&self.outbound);
        let actor = ctx.address();
        let stream = run_stream(outbound, actor, call, address, open, fresh_connection);
        let task = actix_rt::spawn(stream);
        self.streams.insert(call, task.abort_handle());
    }

    /// Queues a report. If the queue is full the report is dropped and counted, since a late report
    /// has little value.
    fn report(&mut self, report: EntryReport) {
        if self.reports.try_send(report).is_err() {
            self.tally.reports_lost += 1;
        }
    }
}

/// Runs a call as a separate task that sends its message, if any, to the actor's mailbox.
fn run_call<F, M>(call: F, ctx: &mut Context<EntryActor>)
where
    F: Future<Output = M> + 'static,
    M: Into<Option<Deliver>>,
{
    let actor = ctx.address();
    actix_rt::spawn(async move {
        if let Some(message) = call.await.into() {
            actor.do_send(message);
        }
    });
}

/// Drops connections to endpoints and entries that a new snapshot does not list.
pub(super) fn drop_unlisted_connections(outbound: &OutboundClients, snapshot: &Snapshot) {
    let endpoints = snapshot.endpoints.iter().map(|record| record.address);
    let endpoints: IndexSet<SocketAddr> = endpoints.collect();
    let entries = snapshot.entries.iter().map(|record| record.address);
    let entries: IndexSet<SocketAddr> = entries.collect();
    outbound.engines.retain(|at| endpoints.contains(&at));
    outbound.applications.retain(|at| endpoints.contains(&at));
    outbound.entries.retain(|at| entries.contains(&at));
}
