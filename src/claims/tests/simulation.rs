//! Simulation of several entries, a table service that loses replies, and an endpoint that counts
//! its runs.

use indexmap::IndexMap;
use uuid::Uuid;

use super::super::*;
use crate::clients::TableFailure;
use crate::ids::{AccountId, IdempotencyKey, Incarnation, InstanceId, ServiceName};
use crate::instance::ApplicationReply;
use crate::outcome::{Outcome, Refusal};
use crate::wire::platform::{Condition, ReadRows, Row, Rows, TransactReply, Transaction, Write};

pub(super) const START_UNIX_MS: u64 = 1_790_000_000_000;
const PROCESSES: usize = 3;

/// Source of the simulation's random choices.
pub(super) trait Choices {
    /// Returns a number less than `n`.
    fn below(&mut self, n: usize) -> usize;
}

#[derive(Default)]
pub(super) struct Table {
    rows: IndexMap<String, (u64, String)>,
    version: u64,
}

impl Table {
    pub(super) fn transact(&mut self, transaction: &Transaction) -> TransactReply {
        let unmet: Vec<&str> = transaction
            .conditions
            .iter()
            .filter_map(|condition| match condition {
                Condition::BeAbsent { key } => self.rows.contains_key(key).then_some(key.as_str()),
                Condition::BeAtVersion { key, version } => {
                    let holds = self.rows.get(key).is_some_and(|row| row.0 == *version);
                    (!holds).then_some(key.as_str())
                }
            })
            .collect();
        if !unmet.is_empty() {
            let rows = self.read(&unmet);
            return TransactReply::Conflict { rows };
        }
        self.version += 1;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    self.rows.insert(key.clone(), (self.version, value.clone()));
                }
                Write::Delete { key } => drop(self.rows.swap_remove(key)),
            }
        }
        TransactReply::Committed {
            version: self.version,
        }
    }

    fn read(&self, keys: &[&str]) -> Vec<Row> {
        let row = |key: &&str| {
            let (version, value) = self.rows.get(*key)?;
            Some(Row {
                key: (*key).to_owned(),
                version: *version,
                value: value.clone(),
            })
        };
        keys.iter().filter_map(row).collect()
    }

    pub(super) fn all(&self) -> Vec<Row> {
        let keys: Vec<&str> = self.rows.keys().map(String::as_str).collect();
        self.read(&keys)
    }
}

/// An action or message delivery that an attempt's process has pending.
enum PendingAction {
    Transact(Transaction),
    Read(ReadRows),
    QueryHolder(Incarnation),
    Call,
    Deliver(ClaimMessage),
}

/// The final response of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum FinalResponse {
    Answer(Vec<u8>),
    Replayed(Vec<u8>),
    Refused(Refusal),
}

pub(super) struct Attempt {
    claim: Claim,
    process: usize,
    incarnation: Incarnation,
    pending: Vec<PendingAction>,
    pub(super) response: Option<FinalResponse>,
    pub(super) runs: u32,
    settled: bool,
}

struct Process {
    incarnation: Incarnation,
    frozen: bool,
}

pub(super) struct Simulation {
    pub(super) now_ms: u64,
    pub(super) table: Table,
    table_up: bool,
    /// Writes whose reply was reported lost and that have not been applied yet.
    delayed_writes: Vec<Transaction>,
    processes: Vec<Process>,
    pub(super) attempts: Vec<Attempt>,
    drawn: u128,
    pub(super) deduplicates: bool,
    pub(super) kills: bool,
}

pub(super) fn key(unix_ms: u64) -> IdempotencyKey {
    let time = uuid::Timestamp::from_unix(uuid::NoContext, unix_ms / 1_000, 0);
    Uuid::new_v7(time).to_string().into()
}

impl Simulation {
    pub(super) fn new() -> Self {
        let mut simulation = Self {
            now_ms: 0,
            table: Table::default(),
            table_up: true,
            delayed_writes: Vec::new(),
            processes: Vec::new(),
            attempts: Vec::new(),
            drawn: 0,
            deduplicates: false,
            kills: true,
        };
        for _ in 0..PROCESSES {
            let incarnation = simulation.incarnation();
            let frozen = false;
            simulation.processes.push(Process {
                incarnation,
                frozen,
            });
        }
        simulation
    }

    fn draw(&mut self) -> Uuid {
        self.drawn += 1;
        Uuid::from_u128(self.drawn)
    }

    fn incarnation(&mut self) -> Incarnation {
        let id = self.draw().to_string();
        serde_json::from_value(serde_json::Value::String(id)).unwrap()
    }

    /// Submits a request to one process and returns the attempt's index.
    pub(super) fn submit(&mut self, process: usize, key: &IdempotencyKey, body: u8) -> usize {
        let incarnation = self.processes[process].incarnation;
        let request = ClaimRequest {
            account: AccountId::from("grill-chain"),
            service: ServiceName::from("ledger-api"),
            key: key.clone(),
            body_digest: [body; 32],
            attempt: self.draw(),
            holder: ClaimHolder {
                instance: InstanceId::from(format!("entry-{process}")),
                address: ([127, 0, 0, 1], 7001 + process as u16).into(),
                incarnation,
            },
            at_unix_ms: START_UNIX_MS + self.now_ms,
            endpoint_deduplicates: self.deduplicates,
            deadline: None,
        };
        let (claim, effects) = Claim::begin(request, self.now_ms);
        self.attempts.push(Attempt {
            claim,
            process,
            incarnation,
            pending: Vec::new(),
            response: None,
            runs: 0,
            settled: false,
        });
        let index = self.attempts.len() - 1;
        self.carry_out(index, effects);
        index
    }

    fn carry_out(&mut self, index: usize, effects: Vec<ClaimEffect>) {
        let attempt = &mut self.attempts[index];
        assert!(
            !attempt.settled || effects.is_empty(),
            "effect after the end of the attempt"
        );
        for effect in effects {
            match effect {
                ClaimEffect::Transact(transaction) => {
                    attempt.pending.push(PendingAction::Transact(transaction))
                }
                ClaimEffect::Read(read) => attempt.pending.push(PendingAction::Read(read)),
                ClaimEffect::AskHolder { incarnation, .. } => {
                    attempt
                        .pending
                        .push(PendingAction::QueryHolder(incarnation));
                }
                ClaimEffect::Dispatch => attempt.pending.push(PendingAction::Call),
                ClaimEffect::Replay(reply) => attempt.respond(FinalResponse::Replayed(reply.body)),
                ClaimEffect::Refuse(refusal) => attempt.respond(FinalResponse::Refused(refusal)),
                ClaimEffect::Settled => attempt.settled = true,
            }
        }
    }

    fn is_alive(&self, index: usize) -> bool {
        let attempt = &self.attempts[index];
        self.processes[attempt.process].incarnation == attempt.incarnation
    }

    fn can_act(&self, index: usize) -> bool {
        let frozen = self.processes[self.attempts[index].process].frozen;
        self.is_alive(index) && !frozen && !self.attempts[index].settled
    }

    /// Runs the first pending action of an attempt, with a randomly chosen fault.
    pub(super) fn act<C>(&mut self, index: usize, choices: &mut C)
    where
        C: Choices,
    {
        if !self.can_act(index) || self.attempts[index].pending.is_empty() {
            return;
        }
        let message = match self.attempts[index].pending.remove(0) {
            PendingAction::Transact(transaction) => {
                let result = self.transact(transaction, choices);
                Some(ClaimMessage::Transacted(result))
            }
            PendingAction::Read(read) => Some(ClaimMessage::ReadBack(self.read(&read, choices))),
            PendingAction::QueryHolder(incarnation) => {
                let working = self.query_holder(index, incarnation, choices);
                Some(ClaimMessage::HolderAnswered(working))
            }
            PendingAction::Call => Some(self.call(index, choices)),
            PendingAction::Deliver(message) => {
                self.deliver(index, message);
                None
            }
        };
        if let Some(message) = message {
            self.attempts[index]
                .pending
                .push(PendingAction::Deliver(message));
        }
    }

    fn deliver(&mut self, index: usize, message: ClaimMessage) {
        let attempt = &mut self.attempts[index];
        if let ClaimMessage::Answered(reply) = &message {
            attempt.respond(FinalResponse::Answer(reply.body.clone()));
        }
        let effects = attempt.claim.handle(message, self.now_ms);
        self.carry_out(index, effects);
    }

    fn transact<C>(
        &mut self,
        transaction: Transaction,
        choices: &mut C,
    ) -> Result<TransactReply, TableFailure>
    where
        C: Choices,
    {
        if !self.table_up {
            return Err(TableFailure::NotSent);
        }
        match choices.below(12) {
            0 => Err(TableFailure::Throttled),
            1 => Err(TableFailure::ReplyLost),
            2 | 3 => {
                self.table.transact(&transaction);
                Err(TableFailure::ReplyLost)
            }
            4 => {
                self.delayed_writes.push(transaction);
                Err(TableFailure::ReplyLost)
            }
            _ => Ok(self.table.transact(&transaction)),
        }
    }

    fn read<C>(&mut self, read: &ReadRows, choices: &mut C) -> Result<Rows, TableFailure>
    where
        C: Choices,
    {
        if !self.table_up {
            return Err(TableFailure::NotSent);
        }
        if choices.below(8) == 0 {
            return Err(TableFailure::ReplyLost);
        }
        let keys: Vec<&str> = read.keys.iter().map(String::as_str).collect();
        let rows = self.table.read(&keys);
        Ok(Rows { rows })
    }

    fn query_holder<C>(&self, index: usize, asked: Incarnation, choices: &mut C) -> Option<bool>
    where
        C: Choices,
    {
        let row_key = self.attempts[index].claim.row_key();
        let holder = self
            .attempts
            .iter()
            .position(|attempt| attempt.incarnation == asked)?;
        let process = &self.processes[self.attempts[holder].process];
        if process.frozen || choices.below(10) == 0 {
            return None;
        }
        let works = |attempt: &Attempt| {
            attempt.incarnation == asked
                && attempt.claim.row_key() == row_key
                && attempt.claim.may_hold_row()
        };
        Some(process.incarnation == asked && self.attempts.iter().any(works))
    }

    /// Calls the endpoint. The call may or may not run, and its answer may be lost.
    fn call<C>(&mut self, index: usize, choices: &mut C) -> ClaimMessage
    where
        C: Choices,
    {
        let attempt = &mut self.attempts[index];
        let refused = matches!(attempt.response, Some(FinalResponse::Refused(_)));
        assert!(!refused, "dispatch after a refusal");
        let fate = choices.below(8);
        if fate == 0 {
            return ClaimMessage::NotDispatched;
        }
        attempt.runs += 1;
        if fate < 3 {
            return ClaimMessage::ResultUnknown;
        }
        ClaimMessage::Answered(ApplicationReply {
            status: 200,
            content_type: None,
            body: format!("run of attempt {index}").into_bytes(),
        })
    }

    /// Runs one random step.
    pub(super) fn step<C>(&mut self, keys: &[IdempotencyKey], choices: &mut C)
    where
        C: Choices,
    {
        match choices.below(16) {
            0 => {
                let process = choices.below(PROCESSES);
                let key = &keys[choices.below(keys.len())];
                let body = u8::from(choices.below(8) == 0);
                self.submit(process, key, body);
            }
            1 => self.advance(choices.below(400) as u64),
            2 => self.table_up = choices.below(3) != 0,
            3 => {
                let process = choices.below(PROCESSES);
                self.processes[process].frozen = choices.below(2) == 0;
            }
            4 if self.kills && choices.below(4) == 0 => {
                let process = choices.below(PROCESSES);
                let incarnation = self.incarnation();
                let frozen = false;
                self.processes[process] = Process {
                    incarnation,
                    frozen,
                };
            }
            5 => self.apply_delayed_write(choices),
            _ if self.attempts.is_empty() => {}
            _ => {
                let index = choices.below(self.attempts.len());
                self.act(index, choices);
            }
        }
        self.check();
    }

    fn apply_delayed_write<C>(&mut self, choices: &mut C)
    where
        C: Choices,
    {
        if !self.delayed_writes.is_empty() {
            let transaction = self
                .delayed_writes
                .swap_remove(choices.below(self.delayed_writes.len()));
            self.table.transact(&transaction);
        }
    }

    /// Advances time and delivers due wake-ups, except to frozen processes.
    pub(super) fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for index in 0..self.attempts.len() {
            let due = self.attempts[index].claim.wake_at_ms();
            if self.can_act(index) && due.is_some_and(|due_ms| due_ms <= self.now_ms) {
                self.deliver(index, ClaimMessage::Wake);
            }
        }
    }

    /// Clears all faults and runs all attempts to completion.
    pub(super) fn recover<C>(&mut self, choices: &mut C)
    where
        C: Choices,
    {
        self.table_up = true;
        for process in &mut self.processes {
            process.frozen = false;
        }
        for transaction in std::mem::take(&mut self.delayed_writes) {
            self.table.transact(&transaction);
        }
        for _ in 0..400 {
            for index in 0..self.attempts.len() {
                self.act(index, choices);
            }
            self.advance(50);
        }
        self.check();
    }

    /// Checks the invariants.
    fn check(&self) {
        let mut runs: IndexMap<&str, u32> = IndexMap::new();
        let mut answers: IndexMap<&str, &[u8]> = IndexMap::new();
        for attempt in &self.attempts {
            let row_key = attempt.claim.row_key();
            *runs.entry(row_key).or_default() += attempt.runs;
            if let Some(FinalResponse::Refused(refusal)) = &attempt.response {
                let not_run = refusal.outcome == Outcome::NotRun;
                assert!(
                    !not_run || attempt.runs == 0,
                    "not-run reported for a call that ran"
                );
            }
            if let Some(FinalResponse::Answer(body)) = &attempt.response {
                answers.insert(row_key, body);
            }
        }
        for attempt in &self.attempts {
            let first = answers.get(attempt.claim.row_key());
            if let (Some(FinalResponse::Replayed(body)), Some(first)) = (&attempt.response, first) {
                assert!(
                    self.deduplicates || body == first,
                    "replayed answer differs from the original"
                );
            }
        }
        let most = runs.values().copied().max().unwrap_or(0);
        assert!(self.deduplicates || most <= 1, "call ran {most} times");
    }

    /// Whether every attempt of a live process has ended with a response.
    pub(super) fn all_ended(&self) -> bool {
        (0..self.attempts.len())
            .filter(|&index| self.is_alive(index))
            .all(|index| self.attempts[index].settled && self.attempts[index].response.is_some())
    }
}

impl Attempt {
    fn respond(&mut self, response: FinalResponse) {
        assert!(
            self.response.is_none(),
            "two final responses: {:?}, {response:?}",
            self.response
        );
        self.response = Some(response);
    }
}

impl Attempt {
    pub(super) fn row_key(&self) -> &str {
        self.claim.row_key()
    }
}

impl Simulation {
    /// Whether any attempt of a key reached the endpoint.
    pub(super) fn ran(&self, row_key: &str) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.row_key() == row_key && attempt.runs > 0)
    }
}
