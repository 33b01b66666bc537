//! Deployments of other sizes.

use fescueshore::ids::{AccountId, ServiceName};

use crate::deployment::Deployment;

/// The same deployment with `count` entry instances, spread over its availability zones in turn.
pub(super) fn with_instances(mut deployment: Deployment, count: usize) -> Deployment {
    let zones = deployment.entries.len().max(1);
    for (index, group) in deployment.entries.iter_mut().enumerate() {
        group.count = count / zones + usize::from(index < count % zones);
    }
    deployment.entries.retain(|group| group.count > 0);
    deployment
}

/// The same deployment with every kind of engine `factor` times.
pub(super) fn with_engines(mut deployment: Deployment, factor: usize) -> Deployment {
    for group in &mut deployment.engines {
        group.replicas *= factor;
    }
    deployment
}

/// The same deployment with engines `factor` times as fast.
pub(super) fn with_rate(mut deployment: Deployment, factor: f64) -> Deployment {
    for group in &mut deployment.engines {
        group.layer_tokens_per_s *= factor;
    }
    deployment
}

/// Name of an extra account.
pub(super) fn extra_account(number: usize) -> AccountId {
    AccountId::from(format!("extra-{number}"))
}

/// Name of an extra service.
pub(super) fn extra_service(number: usize) -> ServiceName {
    ServiceName::from(format!("extra-{number}"))
}

/// A document with `count` more accounts. None of them has a key that anyone knows.
pub(super) fn add_accounts(text: &str, count: usize) -> String {
    let mut text = text.to_owned();
    for number in 0..count {
        let account = extra_account(number);
        text.push_str(&format!(
            "\n[accounts.{account}]\nweight = 1\nkey_digests = [\"sha256:{number:064x}\"]\n"
        ));
    }
    text
}

/// The same document under another service's name.
pub(super) fn rename_service(text: &str, from: &ServiceName, to: &ServiceName) -> String {
    text.replace(
        &format!("service = \"{from}\""),
        &format!("service = \"{to}\""),
    )
}
