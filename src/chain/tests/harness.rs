//! Test harness: drives a chain, answers its requests for stages, and checks invariants after every
//! message.

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::chain::{Chain, ChainEffect, ChainMessage, ChainSpec, ExpectedTiming, ProbeAnswer};
use crate::ids::{EndpointId, StreamId};
use crate::instance::Deadline;
use crate::routing::NoRoute;
use crate::wire::engine::{
    EndReason, EngineErrorCode, LayerRange, OpenStream, Stage, StreamEvent, StreamProgress,
};

pub(super) const MAX_TOKENS: u32 = 8;
const EXPECTED: ExpectedTiming = ExpectedTiming {
    gap_ms: 20.0,
    deviation_ms: 5.0,
    first_ms: 100.0,
    probe_ms: 60.0,
};

/// Three layer ranges with three engines each; `a2` is the third engine of range `a`.
const RANGES: [(&str, u16, u16); 3] = [("a", 0, 8), ("b", 8, 16), ("c", 16, 24)];

/// Reply to the next request for stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Routes {
    Found,
    Full,
    Denied,
}

/// A chain and its observed effects.
pub(super) struct Harness {
    pub(super) chain: Chain,
    pub(super) now_ms: u64,
    pub(super) routes: Routes,
    /// Delivered tokens.
    pub(super) tokens: Vec<String>,
    /// Opened epochs, in order.
    pub(super) opened: Vec<OpenStream>,
    pub(super) ended: Option<ChainEffect>,
    /// Effects of the last message.
    pub(super) last: Vec<ChainEffect>,
    /// Stages that hold the KV state of every token, tracked independently of the chain.
    holders: IndexMap<EndpointId, LayerRange>,
}

pub(super) fn stage(name: &str) -> Stage {
    let (range, first, end) = *RANGES
        .iter()
        .find(|(range, ..)| name.starts_with(range))
        .unwrap();
    let number: u16 = name[range.len()..].parse().unwrap();
    Stage {
        endpoint: name.into(),
        address: ([127, 0, 0, 1], 8000 + first * 10 + number).into(),
        layers: LayerRange { first, end },
        recompute: true,
        import_from: None,
    }
}

fn stages(exclude: &[EndpointId]) -> Option<Vec<Stage>> {
    let free = |range: &str| {
        let names = (0..3).map(|number| format!("{range}{number}"));
        let mut stages = names.map(|name| stage(&name));
        stages.find(|stage| !exclude.contains(&stage.endpoint))
    };
    RANGES.iter().map(|(range, ..)| free(range)).collect()
}

impl Harness {
    pub(super) fn new() -> Self {
        Self::with_deadline(None)
    }

    pub(super) fn with_deadline(deadline: Option<Deadline>) -> Self {
        let spec = ChainSpec {
            stream: StreamId::generate(&mut SmallRng::seed_from_u64(1)),
            request: "r".into(),
            model: "m".to_owned(),
            version: "v1".to_owned(),
            adapter: None,
            prompt: "one two three".to_owned(),
            max_tokens: MAX_TOKENS,
            deadline,
        };
        let (chain, effects) = Chain::begin(spec, stages(&[]).unwrap(), EXPECTED, 0);
        let mut harness = Self {
            chain,
            now_ms: 0,
            routes: Routes::Found,
            tokens: Vec::new(),
            opened: Vec::new(),
            ended: None,
            last: Vec::new(),
            holders: IndexMap::new(),
        };
        harness.carry_out(effects);
        harness
    }

    pub(super) fn epoch(&self) -> u32 {
        self.opened.last().unwrap().epoch
    }

    pub(super) fn held(&self) -> u32 {
        self.tokens.len() as u32
    }

    pub(super) fn send(&mut self, message: ChainMessage) {
        if let ChainMessage::Event(StreamEvent::Failed {
            cause: EngineErrorCode::KvMissing,
            stage: Some(stage),
            ..
        }) = &message
        {
            self.holders.shift_remove(stage);
        }
        self.last.clear();
        let effects = self.chain.handle(message, self.now_ms);
        self.carry_out(effects);
    }

    /// Sends the next token of the current epoch.
    pub(super) fn token(&mut self) {
        self.token_of(self.epoch(), self.held());
    }

    pub(super) fn token_of(&mut self, epoch: u32, position: u32) {
        let text = format!("{epoch}.{position}");
        self.send(ChainMessage::Event(StreamEvent::Token {
            epoch,
            position,
            text,
        }));
    }

    pub(super) fn end_of(&mut self, epoch: u32, positions: u32) {
        self.send(ChainMessage::Event(StreamEvent::End {
            epoch,
            positions,
            reason: EndReason::Stop,
        }));
    }

    pub(super) fn failed(&mut self, stage: Option<&str>, cause: EngineErrorCode) {
        self.send(ChainMessage::Event(StreamEvent::Failed {
            epoch: self.epoch(),
            position: self.held(),
            stage: stage.map(EndpointId::from),
            cause,
        }));
    }

    /// Advances time to the chain's next wake-up.
    pub(super) fn wake(&mut self) {
        if let Some(at_ms) = self.chain.wake_at_ms() {
            self.now_ms = self.now_ms.max(at_ms);
            self.send(ChainMessage::Wake { gap_ms: 20.0 });
        }
    }

    /// Answers the probes of the last message in stage order.
    pub(super) fn answer_probes(&mut self, answers: &[ProbeAnswer]) {
        for effect in self.last.clone() {
            if let ChainEffect::Probe { round, stage, .. } = effect {
                let answer = answers[stage];
                self.send(ChainMessage::Probed {
                    round,
                    stage,
                    answer,
                });
            }
        }
    }

    pub(super) fn at(&self, position: u32) -> ProbeAnswer {
        ProbeAnswer::Progress(StreamProgress {
            epoch: self.epoch(),
            position,
        })
    }

    fn carry_out(&mut self, effects: Vec<ChainEffect>) {
        for effect in effects {
            let dropped = matches!(effect, ChainEffect::Dropped(_));
            assert!(dropped || self.ended.is_none(), "after the end: {effect:?}");
            self.last.push(effect.clone());
            match effect {
                ChainEffect::Plan { exclude, .. } => {
                    let message = self.plan(&exclude);
                    let effects = self.chain.handle(message, self.now_ms);
                    self.carry_out(effects);
                }
                ChainEffect::Open { open, .. } => self.check_open(open),
                ChainEffect::Token { position, text, .. } => self.check_token(position, text),
                ChainEffect::Done { positions, .. } => {
                    assert_eq!(positions, self.held());
                    self.ended = Some(effect);
                }
                ChainEffect::GiveUp { .. } => self.ended = Some(effect),
                _ => {}
            }
        }
    }

    fn plan(&self, exclude: &[EndpointId]) -> ChainMessage {
        match (self.routes, stages(exclude)) {
            (Routes::Denied, _) => ChainMessage::RetryDenied,
            (Routes::Full, _) => ChainMessage::NoRoute {
                reason: NoRoute::Full,
            },
            (Routes::Found, None) => ChainMessage::NoRoute {
                reason: NoRoute::Incomplete,
            },
            (Routes::Found, Some(stages)) => ChainMessage::Planned {
                stages,
                expected: EXPECTED,
            },
        }
    }

    fn check_token(&mut self, position: u32, text: String) {
        assert_eq!(position, self.held(), "token out of order or repeated");
        assert_eq!(text, format!("{}.{position}", self.epoch()));
        self.tokens.push(text);
        assert!(self.held() <= MAX_TOKENS);
        let open = self.opened.last().unwrap();
        if position == open.generated.len() as u32 {
            let holders = open.chain.iter();
            self.holders = holders
                .map(|stage| (stage.endpoint.clone(), stage.layers))
                .collect();
        }
    }

    fn check_open(&mut self, open: OpenStream) {
        let before = self.opened.last().map_or(0, |open| open.epoch);
        assert!(open.epoch > before, "epoch did not increase");
        assert_eq!(open.generated, self.tokens);
        let recomputing = open.chain.iter().map(|stage| !stage.recompute);
        assert!(recomputing.is_sorted(), "stage recomputes without input");
        let kept = open.chain.iter().filter(|stage| !stage.recompute);
        let kept: IndexSet<EndpointId> = kept.map(|stage| stage.endpoint.clone()).collect();
        for endpoint in &kept {
            assert!(
                self.holders.contains_key(endpoint),
                "{endpoint} does not hold the KV state"
            );
        }
        self.holders.retain(|endpoint, _| kept.contains(endpoint));
        self.opened.push(open);
    }
}
