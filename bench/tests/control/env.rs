//! A fleet and what its controls say of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use fescue_bench::deployment::{self, Deployment};
use fescue_bench::fleet::{Fleet, ProcessName, connect_control, operator_key, wait_until};
use fescueshore::rpc::OperatorApiClient;
use fescueshore::wire::caller::{CompletionOptions, CompletionRequest};
use fescueshore::wire::operator::{InstanceState, StatusReply};
use tokio::sync::{Semaphore, SemaphorePermit};

/// The model of the deployments under test.
pub const MODEL: &str = "menu-mind-24b";
/// Tokens asked of it.
pub const MAX_TOKENS: u32 = 12;
/// How long anything that must happen may take on a busy machine.
pub const LIMIT: Duration = Duration::from_secs(60);

/// The Kammoun deployment with this many entry instances.
pub fn kammoun(entries: usize) -> Deployment {
    let mut deployment = deployment::read("kammoun").expect("deployment");
    let zones = deployment.entries.len();
    for (index, group) in deployment.entries.iter_mut().enumerate() {
        group.count = (entries + zones - 1 - index) / zones;
    }
    deployment
}

/// One fleet at a time, so that a busy machine gives the same verdict.
static FLEETS: Semaphore = Semaphore::const_new(1);

/// Starts a fleet and waits until every instance serves in the eyes of every other. The permit is
/// to be kept as long as the fleet.
pub async fn start(deployment: Deployment) -> (Fleet, SemaphorePermit<'static>) {
    let permit = FLEETS.acquire().await.expect("never closed");
    let mut fleet = Fleet::prepare(deployment).expect("fleet");
    if let Err(error) = fleet.start().await {
        panic!("{error}");
    }
    let whole = wait_until(LIMIT, async || all_serve(&fleet).await).await;
    assert!(whole, "not every instance serves");
    (fleet, permit)
}

async fn all_serve(fleet: &Fleet) -> bool {
    for control in controls(fleet) {
        let Some(status) = status(fleet, control).await else {
            return false;
        };
        let serving =
            |it: &fescueshore::wire::operator::InstanceStatus| it.state == InstanceState::Serving;
        if !status.instances.iter().all(serving) {
            return false;
        }
    }
    true
}

/// Where the controls listen.
pub fn controls(fleet: &Fleet) -> Vec<SocketAddr> {
    let entries = fleet.topology().entries.iter();
    entries.map(|entry| entry.control_address).collect()
}

/// Status as one control sees it.
pub async fn status(fleet: &Fleet, control: SocketAddr) -> Option<StatusReply> {
    let client = connect_control(control).await.ok()?;
    client.status(key(fleet)).await.ok()
}

/// A counter or gauge of one control.
pub async fn counter(fleet: &Fleet, control: SocketAddr, name: &str) -> f64 {
    let client = connect_control(control).await.expect("control");
    let page = client.metrics(key(fleet)).await.expect("metrics");
    let line = page.lines().find(|line| {
        let mut words = line.split(' ');
        words.next() == Some(name)
    });
    let value = line.and_then(|line| line.split(' ').nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Processor time in seconds and resident memory in bytes of one control process.
pub fn usage(fleet: &Fleet, index: usize) -> (f64, f64) {
    let name = ProcessName::Control(fleet.topology().entries[index].name.clone());
    let mut processes = fleet.processes();
    let (_, process) = processes.find(|(it, _)| **it == name).expect("process");
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().expect("number");
    // Ticks of a hundredth of a second and pages of four kilobytes, as on every usual Linux.
    ((ticks(11) + ticks(12)) / 100.0, ticks(21) * 4_096.0)
}

fn key(fleet: &Fleet) -> String {
    operator_key(&fleet.deployment().operator)
}

/// Asks for a completion; returns the body of the answer, whatever it is.
pub async fn complete(
    http: &awc::Client,
    entry: SocketAddr,
    account: &str,
    prompt: &str,
) -> Vec<u8> {
    let request = CompletionRequest {
        model: MODEL.to_owned(),
        prompt: prompt.to_owned(),
        options: CompletionOptions {
            max_tokens: Some(MAX_TOKENS),
            ..CompletionOptions::default()
        },
    };
    let sent = http
        .post(format!("http://{entry}/v1/completions"))
        .bearer_auth(format!("demo-key-{account}"))
        .send_json(&request)
        .await;
    let mut response = sent.expect("an answer");
    response.body().await.expect("a whole body").to_vec()
}
