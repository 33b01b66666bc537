//! Tests of single cases.

use proptest::prelude::*;
use uuid::Uuid;

use super::super::key::check_key;
use super::super::*;
use super::simulation::{START_UNIX_MS, Table, key};
use crate::clients::TableFailure;
use crate::ids::{AccountId, IdempotencyKey, InstanceId, ServiceName};
use crate::instance::{ApplicationReply, Deadline};
use crate::outcome::{Outcome, Refusal, RefusalCode};
use crate::wire::platform::{Row, Rows, TransactReply, Transaction};

fn request(attempt: u128) -> ClaimRequest {
    let incarnation = serde_json::from_str("\"00000000-0000-0000-0000-000000000009\"");
    ClaimRequest {
        account: AccountId::from("grill-chain"),
        service: ServiceName::from("ledger-api"),
        key: IdempotencyKey::from("count-1"),
        body_digest: [1; 32],
        attempt: Uuid::from_u128(attempt),
        holder: ClaimHolder {
            instance: InstanceId::from("entry-1"),
            address: ([127, 0, 0, 1], 7001).into(),
            incarnation: incarnation.unwrap(),
        },
        at_unix_ms: START_UNIX_MS,
        endpoint_deduplicates: false,
        deadline: None,
    }
}

fn transaction(effects: &[ClaimEffect]) -> Transaction {
    match effects.last() {
        Some(ClaimEffect::Transact(transaction)) => transaction.clone(),
        other => panic!("no write: {other:?}"),
    }
}

fn refusal(effects: &[ClaimEffect]) -> Refusal {
    match effects.first() {
        Some(ClaimEffect::Refuse(refusal)) => *refusal,
        other => panic!("no refusal: {other:?}"),
    }
}

/// Applies the write in `effects` and passes its reply to the claim.
fn write(table: &mut Table, claim: &mut Claim, effects: &[ClaimEffect]) -> Vec<ClaimEffect> {
    let reply = table.transact(&transaction(effects));
    claim.handle(ClaimMessage::Transacted(Ok(reply)), 1)
}

/// Returns an attempt whose claim is in the table and that has dispatched.
fn dispatched(table: &mut Table, request: ClaimRequest) -> Claim {
    let (mut claim, effects) = Claim::begin(request, 0);
    assert_eq!(write(table, &mut claim, &effects), [ClaimEffect::Dispatch]);
    claim
}

fn reply(body: &[u8]) -> ApplicationReply {
    ApplicationReply {
        status: 201,
        content_type: Some("application/json".to_owned()),
        body: body.to_vec(),
    }
}

fn state(table: &Table) -> ClaimState {
    let rows = table.all();
    ClaimRow::try_from(rows[0].value.as_str()).unwrap().state
}

#[test]
fn an_unavailable_store_refuses_immediately() {
    let (mut claim, _) = Claim::begin(request(1), 0);
    let effects = claim.handle(ClaimMessage::Transacted(Err(TableFailure::NotSent)), 1);
    let refusal = refusal(&effects);
    assert_eq!(
        (refusal.code, refusal.outcome),
        (RefusalCode::StoreUnavailable, Outcome::NotRun)
    );
    assert!(refusal.retry_after_ms.is_some());
    assert_eq!(effects.last(), Some(&ClaimEffect::Settled));
}

#[test]
fn a_lost_reply_is_read_back_before_the_dispatch() {
    let mut table = Table::default();
    let (mut claim, effects) = Claim::begin(request(1), 0);
    table.transact(&transaction(&effects));
    let lost = claim.handle(ClaimMessage::Transacted(Err(TableFailure::ReplyLost)), 5);
    assert_eq!(lost, []);
    let due_ms = claim.wake_at_ms().unwrap();
    let read = claim.handle(ClaimMessage::Wake, due_ms);
    assert!(matches!(read[..], [ClaimEffect::Read(_)]));
    let rows = table.all();
    let effects = claim.handle(ClaimMessage::ReadBack(Ok(Rows { rows })), due_ms);
    assert_eq!(effects, [ClaimEffect::Dispatch]);
}

#[test]
fn an_abandoned_claim_is_released_and_can_be_claimed_again() {
    let mut table = Table::default();
    let (mut claim, first) = Claim::begin(request(1), 0);
    claim.handle(ClaimMessage::Transacted(Err(TableFailure::ReplyLost)), 0);
    let effects = claim.handle(ClaimMessage::Wake, 1_000);
    assert_eq!(refusal(&effects).outcome, Outcome::NotRun);
    // The delayed claim write is applied only now: the release finds its row and marks it.
    table.transact(&transaction(&first));
    let effects = write(&mut table, &mut claim, &effects);
    let effects = write(&mut table, &mut claim, &effects);
    assert_eq!(effects, [ClaimEffect::Settled]);
    assert_eq!(state(&table), ClaimState::Released);
    let (mut next, effects) = Claim::begin(request(2), 0);
    let effects = write(&mut table, &mut next, &effects);
    assert_eq!(
        write(&mut table, &mut next, &effects),
        [ClaimEffect::Dispatch]
    );
}

#[test]
fn a_different_body_under_the_key_is_refused() {
    let mut table = Table::default();
    dispatched(&mut table, request(1));
    let mut other = request(2);
    other.body_digest = [2; 32];
    let (mut claim, effects) = Claim::begin(other, 0);
    let effects = write(&mut table, &mut claim, &effects);
    assert_eq!(
        refusal(&effects),
        Refusal::not_run(RefusalCode::KeyReused, None)
    );
}

#[test]
fn the_same_key_of_another_account_is_another_claim() {
    let mut table = Table::default();
    dispatched(&mut table, request(1));
    let mut other = request(2);
    other.account = AccountId::from("lac-bistro");
    dispatched(&mut table, other);
}

#[test]
fn a_recorded_answer_is_replayed_byte_for_byte() {
    let answer = reply(&[0, 159, 146, 150]);
    let mut table = Table::default();
    let mut claim = dispatched(&mut table, request(1));
    let effects = claim.handle(ClaimMessage::Answered(answer.clone()), 1);
    assert_eq!(
        write(&mut table, &mut claim, &effects),
        [ClaimEffect::Settled]
    );
    let (mut again, effects) = Claim::begin(request(2), 0);
    let effects = write(&mut table, &mut again, &effects);
    assert_eq!(effects, [ClaimEffect::Replay(answer), ClaimEffect::Settled]);
}

#[test]
fn an_answer_too_long_to_record_is_unknown_later() {
    let mut table = Table::default();
    let mut claim = dispatched(&mut table, request(1));
    let answer = reply(&vec![b'x'; MAX_RECORDED_BODY_BYTES + 1]);
    let effects = claim.handle(ClaimMessage::Answered(answer), 1);
    write(&mut table, &mut claim, &effects);
    let (mut again, effects) = Claim::begin(request(2), 0);
    let effects = write(&mut table, &mut again, &effects);
    assert_eq!(
        refusal(&effects),
        Refusal::unknown(RefusalCode::ResultUnknown, None)
    );
}

/// Effects of a second attempt while the first is open and its holder replies `working`.
fn second(working: Option<bool>, table: &mut Table) -> Vec<ClaimEffect> {
    let (mut claim, effects) = Claim::begin(request(2), 0);
    let effects = write(table, &mut claim, &effects);
    assert!(matches!(effects[..], [ClaimEffect::AskHolder { .. }]));
    assert!(!claim.may_hold_row());
    let effects = claim.handle(ClaimMessage::HolderAnswered(working), 2);
    match effects[..] {
        [ClaimEffect::Transact(_)] => write(table, &mut claim, &effects),
        _ => effects,
    }
}

#[test]
fn an_open_claim_is_reported_unknown_and_never_taken_over() {
    let mut table = Table::default();
    dispatched(&mut table, request(1));
    for working in [Some(true), None] {
        let refusal = refusal(&second(working, &mut table));
        assert_eq!(refusal.outcome, Outcome::Unknown);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(state(&table), ClaimState::Open);
    }
}

#[test]
fn the_row_is_marked_unknown_once_the_holder_is_gone() {
    let mut table = Table::default();
    dispatched(&mut table, request(1));
    let refusal = refusal(&second(Some(false), &mut table));
    assert_eq!(refusal, Refusal::unknown(RefusalCode::ResultUnknown, None));
    assert_eq!(state(&table), ClaimState::Unknown);
}

#[test]
fn a_holder_presumed_dead_still_records_its_answer() {
    let mut table = Table::default();
    let mut holder = dispatched(&mut table, request(1));
    second(Some(false), &mut table);
    let effects = holder.handle(ClaimMessage::Answered(reply(b"saved")), 1);
    let effects = write(&mut table, &mut holder, &effects);
    assert_eq!(
        write(&mut table, &mut holder, &effects),
        [ClaimEffect::Settled]
    );
    assert!(matches!(state(&table), ClaimState::Answered { .. }));
}

#[test]
fn a_resend_that_failed_before_dispatch_is_not_reported_as_not_run() {
    let mut table = Table::default();
    dispatched(&mut table, request(1));
    let mut again = request(2);
    again.endpoint_deduplicates = true;
    let (mut claim, effects) = Claim::begin(again, 0);
    write(&mut table, &mut claim, &effects);
    let effects = claim.handle(ClaimMessage::HolderAnswered(None), 1);
    assert_eq!(
        write(&mut table, &mut claim, &effects),
        [ClaimEffect::Dispatch]
    );
    let effects = claim.handle(ClaimMessage::NotDispatched, 1);
    assert_eq!(refusal(&effects).outcome, Outcome::Unknown);
    write(&mut table, &mut claim, &effects);
    assert_eq!(state(&table), ClaimState::Unknown);
}

#[test]
fn a_deadline_passed_before_the_grant_prevents_the_dispatch() {
    let mut table = Table::default();
    let mut late = request(1);
    late.deadline = Some(Deadline { at_ms: 1 });
    let (mut claim, effects) = Claim::begin(late, 0);
    let effects = write(&mut table, &mut claim, &effects);
    assert_eq!(refusal(&effects).code, RefusalCode::DeadlineTooShort);
    write(&mut table, &mut claim, &effects);
    assert_eq!(state(&table), ClaimState::Released);
}

#[test]
fn an_expired_key_is_refused() {
    let old = key(START_UNIX_MS - UUIDV7_KEY_TTL_MS - 1_000);
    assert_eq!(
        check_key(old.as_str(), START_UNIX_MS),
        Err(RefusalCode::KeyTooOld)
    );
    let ahead = key(START_UNIX_MS + UUIDV7_KEY_TTL_MS + 1_000);
    assert_eq!(
        check_key(ahead.as_str(), START_UNIX_MS),
        Err(RefusalCode::BadHeader)
    );
    assert_eq!(check_key("", START_UNIX_MS), Err(RefusalCode::BadHeader));
    assert_eq!(check_key("any-other", START_UNIX_MS), Ok(()));
}

#[test]
fn an_attempt_suspended_past_the_retention_of_its_key_does_not_dispatch() {
    let mut table = Table::default();
    let mut paused = request(1);
    paused.key = key(START_UNIX_MS - UUIDV7_KEY_TTL_MS);
    let (mut claim, effects) = Claim::begin(paused, 0);
    let granted = table.transact(&transaction(&effects));
    let effects = claim.handle(ClaimMessage::Transacted(Ok(granted)), CLOCK_MARGIN_MS);
    assert_eq!(refusal(&effects).code, RefusalCode::KeyTooOld);
}

#[test]
fn a_row_of_a_newer_release_is_not_overwritten() {
    let mut table = Table::default();
    let mut transaction = transaction(&Claim::begin(request(1), 0).1);
    if let crate::wire::platform::Write::Put { value, .. } = &mut transaction.writes[0] {
        *value = value.replace("\"open\"", "\"paused\",\"since\":7");
    }
    table.transact(&transaction);
    assert_eq!(state(&table), ClaimState::Unrecognised);
    let (mut claim, effects) = Claim::begin(request(2), 0);
    let effects = write(&mut table, &mut claim, &effects);
    assert_eq!(refusal(&effects).outcome, Outcome::Unknown);
}

#[test]
fn unexpected_messages_are_ignored() {
    let (mut claim, _) = Claim::begin(request(1), 0);
    let answered = ClaimMessage::Answered(reply(b"early"));
    for message in [
        answered,
        ClaimMessage::ResultUnknown,
        ClaimMessage::NotDispatched,
    ] {
        assert_eq!(claim.handle(message, 1), []);
    }
    let committed = TransactReply::Committed { version: 1 };
    let effects = claim.handle(ClaimMessage::Transacted(Ok(committed.clone())), 1);
    assert_eq!(effects, [ClaimEffect::Dispatch]);
    assert_eq!(claim.handle(ClaimMessage::Transacted(Ok(committed)), 1), []);
}

proptest! {
    #[test]
    fn distinct_triples_never_share_a_row(
        a in ("[a/%é]{0,3}", "[a/%é]{0,3}", "[a/%é]{0,3}"),
        b in ("[a/%é]{0,3}", "[a/%é]{0,3}", "[a/%é]{0,3}"),
    ) {
        let row = |(service, account, key): &(String, String, String)| {
            row_key(&service.as_str().into(), &account.as_str().into(), &key.as_str().into())
        };
        prop_assert_eq!(row(&a) == row(&b), a == b);
    }

    #[test]
    fn an_accepted_key_is_never_swept(
        key_ms in 0..4 * UUIDV7_KEY_TTL_MS,
        used_ms in 0..4 * UUIDV7_KEY_TTL_MS,
        now_ms in 0..4 * UUIDV7_KEY_TTL_MS,
        skew_ms in 0..CLOCK_MARGIN_MS / 2,
    ) {
        let mut request = request(1);
        request.key = key(START_UNIX_MS + key_ms);
        request.at_unix_ms = START_UNIX_MS + used_ms;
        prop_assume!(check_key(request.key.as_str(), request.at_unix_ms).is_ok());
        let accepted = check_key(request.key.as_str(), START_UNIX_MS + now_ms).is_ok();
        let mut table = Table::default();
        table.transact(&transaction(&Claim::begin(request, 0).1));
        let rows: Vec<Row> = table.all();
        let swept = !sweep(&rows, START_UNIX_MS + now_ms + skew_ms).is_empty();
        prop_assert!(!(accepted && swept && now_ms >= used_ms));
        prop_assert!(swept || now_ms < key_ms.max(used_ms) + UUIDV7_KEY_TTL_MS + CLOCK_MARGIN_MS);
    }
}
