//! Draws the requests of a deployment's accounts.

use fescueshore::ids::AccountId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use uuid::Uuid;

use crate::caller::{Ask, ModelTarget, Request, Shape};
use crate::deployment::Deployment;

const WORDS: [&str; 24] = [
    "saffron",
    "olive",
    "harissa",
    "lamb",
    "tuna",
    "semolina",
    "date",
    "almond",
    "lemon",
    "mint",
    "cardamom",
    "pepper",
    "coconut",
    "rice",
    "prawn",
    "tamarind",
    "ginger",
    "clove",
    "invoice",
    "kitchen",
    "houseboat",
    "festival",
    "harbour",
    "market",
];

/// Parts of each kind of request, out of 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Streamed completions.
    pub streams: u32,
    /// Completions in one piece.
    pub whole: u32,
    /// Non-idempotent calls; the rest are idempotent ones.
    pub writes: u32,
}

impl Default for Parts {
    fn default() -> Self {
        Self {
            streams: 50,
            whole: 10,
            writes: 20,
        }
    }
}

/// Lengths of completions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lengths {
    /// Fewest and most tokens of a prompt.
    pub prompt_tokens: (u32, u32),
    /// Fewest and most tokens asked for.
    pub max_tokens: (u32, u32),
}

impl Default for Lengths {
    fn default() -> Self {
        Self {
            prompt_tokens: (8, 48),
            max_tokens: (16, 64),
        }
    }
}

/// Draws requests.
#[derive(Debug)]
pub struct Mix {
    target: ModelTarget,
    adapters: Vec<String>,
    application: fescueshore::ids::ServiceName,
    read: String,
    write: String,
    /// Accounts, each as often as its demand.
    accounts: Vec<AccountId>,
    parts: Parts,
    lengths: Lengths,
    rng: StdRng,
}

impl Mix {
    /// Requests of a deployment, drawn by seed.
    pub fn new(deployment: &Deployment, parts: Parts, lengths: Lengths, seed: u64) -> Self {
        let model = &deployment.model;
        let load = &deployment.load;
        let accounts = load
            .accounts
            .iter()
            .flat_map(|account| vec![account.name.clone(); account.demand as usize])
            .collect();
        Self {
            target: ModelTarget {
                service: model.service.clone(),
                model: model.name.clone(),
                version: model.version.clone(),
                adapter: None,
            },
            adapters: model.adapters.clone(),
            application: load.application.clone(),
            read: load.read.clone(),
            write: load.write.clone(),
            accounts,
            parts,
            lengths,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Draws an account by demand and a request of it.
    pub fn draw(&mut self) -> Request {
        let index = self.rng.random_range(0..self.accounts.len());
        let account = self.accounts[index].clone();
        self.draw_for(&account)
    }

    /// Draws a request of an account.
    pub fn draw_for(&mut self, account: &AccountId) -> Request {
        let kind = self.rng.random_range(0..100);
        let whole = self.parts.streams + self.parts.whole;
        let ask = if kind < self.parts.streams {
            self.completion(true)
        } else if kind < whole {
            self.completion(false)
        } else if kind < whole + self.parts.writes {
            self.write()
        } else {
            self.read()
        };
        Request::new(account, ask)
    }

    /// Draws a completion.
    pub fn completion(&mut self, streamed: bool) -> Ask {
        let mut target = self.target.clone();
        target.adapter = self.draw_adapter();
        let (fewest, most) = self.lengths.max_tokens;
        Ask::Completion {
            target,
            prompt: self.draw_prompt(),
            max_tokens: self.rng.random_range(fewest..=most),
            shape: if self.rng.random() {
                Shape::Chat
            } else {
                Shape::Text
            },
            streamed,
        }
    }

    /// Draws a non-idempotent call.
    pub fn write(&mut self) -> Ask {
        Ask::Call {
            service: self.application.clone(),
            method: "POST",
            path: self.write.clone(),
            body: format!("{{\"item\":\"{}\"}}", self.draw_prompt()),
            key: Some(Uuid::now_v7().to_string()),
        }
    }

    /// Draws an idempotent call.
    pub fn read(&mut self) -> Ask {
        let item = self.draw_word();
        Ask::Call {
            service: self.application.clone(),
            method: "GET",
            path: format!("{}?item={item}", self.read),
            body: String::new(),
            key: None,
        }
    }

    /// No adapter, or one of the model's.
    fn draw_adapter(&mut self) -> Option<String> {
        let index = self.rng.random_range(0..=self.adapters.len());
        self.adapters.get(index).cloned()
    }

    /// A prompt that no other request has.
    fn draw_prompt(&mut self) -> String {
        let (fewest, most) = self.lengths.prompt_tokens;
        let tokens = self.rng.random_range(fewest..=most).max(2);
        let mut words: Vec<String> = (1..tokens).map(|_| self.draw_word().to_owned()).collect();
        words.push(format!("{:08x}", self.rng.random::<u32>()));
        words.join(" ")
    }

    fn draw_word(&mut self) -> &'static str {
        WORDS[self.rng.random_range(0..WORDS.len())]
    }
}
