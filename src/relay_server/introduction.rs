//! Decides how an instance that has just started becomes known to the others of its zone.
//!
//! An instance that a peer of its zone sends heartbeats to is known already. Any other one reads the
//! records of a few instances of its zone, its contacts, and sends them heartbeats; the rest of the zone
//! learns of it from their peer lists. Only an instance that finds too few contacts, or that none of them
//! answers, writes its record and reads all others. If every instance did so, a start of the whole fleet
//! would cost the store a number of bytes that grows with the square of the fleet.

use super::records::backoff_ms;

/// Maximum number of records of the own zone that are read to find contacts.
pub(super) const MAX_CONTACTS: u32 = 16;
/// Number of contacts that suffices: as many as read the store for a zone, so that two may fail at once.
const MIN_CONTACTS: usize = 3;
/// Period over which the first start of a whole deployment is spread. Within one round trip to the store,
/// a few instances of each zone then find no contacts and write their records.
const FIRST_START_SPREAD_MS: u64 = 1_000;
/// How long an instance that may have been known before its restart listens for peers. In a zone of ten
/// instances, one in two hundred waits in vain.
const RESTART_LISTEN_MS: u64 = 100;
/// How long an instance waits for a heartbeat of a contact: four intervals of the contact.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// How long after the first start of a whole deployment an instance may not know its rank in its zone yet:
/// the last instances have introduced themselves, and their contacts' peer lists have been read.
pub(super) const FIRST_START_MS: u64 = FIRST_START_SPREAD_MS + 750;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IntroductionStep {
    /// Look again later.
    Wait,
    /// Read the records of contacts.
    ReadContacts,
    /// Write the own record and read all others.
    Register,
    /// Nothing more: peers know this instance.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for peers to be heard before the store is called.
    Listening {
        until_ms: u64,
    },
    /// Has sent heartbeats to contacts.
    AwaitingContacts {
        until_ms: u64,
    },
    MustRegister,
}

/// Progress of an instance's introduction.
#[derive(Clone, Copy, Debug)]
pub(super) struct Introduction {
    state: State,
    /// Consecutive failures to read contacts.
    failures: u32,
}

impl Introduction {
    /// The state of a process that has just started. `is_first_start` tells whether the whole deployment
    /// starts for the first time, so that no records exist.
    pub(super) fn new(is_first_start: bool, random: u64, now_ms: u64) -> Self {
        let listen_ms = if is_first_start {
            random % FIRST_START_SPREAD_MS
        } else {
            RESTART_LISTEN_MS
        };
        Self {
            state: State::Listening {
                until_ms: now_ms + listen_ms,
            },
            failures: 0,
        }
    }

    /// Decides what to do. `hears_zone_peer` tells whether heartbeats of the own zone arrive.
    pub(super) fn next(self, hears_zone_peer: bool, now_ms: u64) -> IntroductionStep {
        match self.state {
            State::MustRegister => IntroductionStep::Register,
            _ if hears_zone_peer => IntroductionStep::Done,
            State::Listening { until_ms } if now_ms >= until_ms => IntroductionStep::ReadContacts,
            State::AwaitingContacts { until_ms } if now_ms >= until_ms => {
                IntroductionStep::Register
            }
            State::Listening { .. } | State::AwaitingContacts { .. } => IntroductionStep::Wait,
        }
    }

    /// Records how many contacts were found; `None` if the store did not answer.
    pub(super) fn record_contacts(&mut self, found: Option<usize>, random: u64, now_ms: u64) {
        self.state = match found {
            Some(found) if found >= MIN_CONTACTS => State::AwaitingContacts {
                until_ms: now_ms + ANSWER_TIMEOUT_MS,
            },
            Some(_) => State::MustRegister,
            None => {
                self.failures += 1;
                State::Listening {
                    until_ms: now_ms + backoff_ms(self.failures, random),
                }
            }
        };
    }
}
