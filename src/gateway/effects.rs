//! Carries out the effects of the entry's state machine.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use actix::{AsyncContext, Context};
use indexmap::IndexSet;

use super::actor::EntryActor;
use super::application_call::{ApplicationCall, call_application};
use super::caller::CallerEvent;
use super::calls::{self, Outside};
use super::claim_call::{ask_holder, claim_question};
use super::messages::Deliver;
use super::stream_call::run_stream;
use crate::instance::{CallId, EntryEffect};
use crate::wire::engine::OpenStream;
use crate::wire::local::{EntryReport, Snapshot};

impl EntryActor {
    /// Carries out one effect; never waits.
    pub(super) fn carry_out(&mut self, effect: EntryEffect, ctx: &mut Context<Self>) {
        let outside = Rc::clone(&self.outside);
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
                actix_rt::spawn(calls::cancel_stream(outside, address, stream, epoch));
            }
            EntryEffect::ProbeStream {
                call,
                address,
                stream,
                timeout_ms,
            } => {
                let probe = calls::probe_stream(outside, call, address, stream, timeout_ms);
                run_call(probe, ctx);
            }
            EntryEffect::ReadEngineState { endpoint, address } => {
                run_call(calls::read_engine_state(outside, endpoint, address), ctx);
            }
            EntryEffect::ReadCacheEvents {
                endpoint,
                address,
                after,
            } => run_call(
                calls::read_cache_events(outside, endpoint, address, after),
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
                let ask = ApplicationCall {
                    method,
                    path,
                    headers: ApplicationCall::headers(content_type, request.as_str(), key),
                    body,
                    timeout_ms,
                    fresh_connection,
                };
                run_call(call_application(outside, call, address, ask), ctx);
            }
            EntryEffect::CallTable {
                call,
                table,
                timeout_ms,
            } => {
                self.tally.table_calls += 1;
                run_call(calls::call_table(outside, call, table, timeout_ms), ctx);
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
                let ask = ask_holder(outside, call, address, question, timeout_ms);
                run_call(ask, ctx);
            }
            EntryEffect::AnswerHolder { call, working } => {
                if let Some(question) = self.questions.swap_remove(&call) {
                    let _ = question.send(working);
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
        let outside = Rc::clone(&self.outside);
        let actor = ctx.address();
        let stream = run_stream(outside, actor, call, address, open, fresh_connection);
        let task = actix_rt::spawn(stream);
        self.streams.insert(call, task.abort_handle());
    }

    /// Reports are worth little when late: one that finds no room is lost and counted.
    fn report(&mut self, report: EntryReport) {
        if self.reports.try_send(report).is_err() {
            self.tally.reports_lost += 1;
        }
    }
}

/// Runs a call beside the actor; its message, if it has one, comes back through the mailbox.
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

/// Forgets connections to what a new snapshot does not name.
pub(super) fn forget_absent(outside: &Outside, snapshot: &Snapshot) {
    let endpoints = snapshot.endpoints.iter().map(|record| record.address);
    let endpoints: IndexSet<SocketAddr> = endpoints.collect();
    let entries = snapshot.entries.iter().map(|record| record.address);
    let entries: IndexSet<SocketAddr> = entries.collect();
    outside.engines.retain(|at| endpoints.contains(&at));
    outside.applications.retain(|at| endpoints.contains(&at));
    outside.entries.retain(|at| entries.contains(&at));
}
