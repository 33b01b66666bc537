//! Which entry a caller uses: the answer of `locate`, kept for its stated time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fescueshore::ids::ServiceName;
use fescueshore::wire::locate::LocateResponse;
use indexmap::IndexMap;
use rand::RngExt;

/// How long `locate` may take.
const LOCATE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an entry that failed is left alone while others serve.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// Finds entries for one caller.
pub struct Locator {
    /// Entries known from outside, to ask first.
    seeds: Vec<SocketAddr>,
    known: IndexMap<ServiceName, Located>,
    /// Used before any other as long as it does not fail.
    preferred: Option<SocketAddr>,
    avoided: IndexMap<SocketAddr, Instant>,
}

struct Located {
    entries: Vec<SocketAddr>,
    until: Instant,
}

impl Locator {
    /// A locator that knows only some entries' addresses.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            known: IndexMap::new(),
            preferred: None,
            avoided: IndexMap::new(),
        }
    }

    /// Returns the entry to use for a service; `None` if none answered.
    pub async fn find(&mut self, http: &awc::Client, service: &ServiceName) -> Option<SocketAddr> {
        if let Some(address) = self.preferred.or_else(|| self.usable(service)) {
            return Some(address);
        }
        self.ask(http, service).await;
        let usable = self.usable(service);
        usable.or_else(|| Some(*self.known.get(service)?.entries.first()?))
    }

    /// Uses an entry before any other until it fails.
    pub fn prefer(&mut self, address: SocketAddr) {
        self.preferred = Some(address);
    }

    /// Leaves an entry alone for a while.
    pub fn avoid(&mut self, address: SocketAddr) {
        self.preferred = self.preferred.filter(|preferred| *preferred != address);
        self.avoided.insert(address, Instant::now() + AVOID_FOR);
    }

    /// Forgets what `locate` said: an entry says that it is stopping.
    pub fn forget(&mut self) {
        self.known.clear();
    }

    /// The first entry of an answer still to be kept, unless it failed just now.
    fn usable(&self, service: &ServiceName) -> Option<SocketAddr> {
        let now = Instant::now();
        let located = self.known.get(service).filter(|l| l.until > now)?;
        let mut entries = located.entries.iter().copied();
        entries.find(|address| !self.is_avoided(*address, now))
    }

    fn is_avoided(&self, address: SocketAddr, now: Instant) -> bool {
        self.avoided.get(&address).is_some_and(|until| *until > now)
    }

    /// Asks one entry after the other, from a random one on, until one answers.
    async fn ask(&mut self, http: &awc::Client, service: &ServiceName) {
        let now = Instant::now();
        let mut order = self.seeds.clone();
        let start = rand::rng().random_range(0..order.len().max(1));
        order.rotate_left(start);
        order.sort_by_key(|address| self.is_avoided(*address, now));
        for seed in order {
            if let Some(answer) = ask_one(http, seed, service).await {
                let located = Located {
                    entries: answer.entries.iter().map(|entry| entry.address).collect(),
                    until: Instant::now() + Duration::from_millis(answer.ttl_ms),
                };
                self.known.insert(service.clone(), located);
                return;
            }
            self.avoid(seed);
        }
    }
}

async fn ask_one(
    http: &awc::Client,
    seed: SocketAddr,
    service: &ServiceName,
) -> Option<LocateResponse> {
    let url = format!("http://{seed}/v1/locate?service={service}");
    let asked = async {
        let mut response = http.get(url).send().await.ok()?;
        response.json::<LocateResponse>().await.ok()
    };
    let answered = actix_rt::time::timeout(LOCATE_TIMEOUT, asked).await;
    answered.ok().flatten()
}
