//! Rendezvous hashing: every instance picks the same few instances for a duty, without an election.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::InstanceId;

/// The instance with the highest weight for a subject; `None` if there is no instance.
pub(crate) fn highest<'a, I>(subject: &str, instances: I) -> Option<&'a InstanceId>
where
    I: Iterator<Item = &'a InstanceId>,
{
    instances.max_by_key(|instance| (weight(subject, instance), *instance))
}

/// How many instances have a higher weight for a subject than `own`.
pub(crate) fn rank<'a, I>(subject: &str, own: &InstanceId, instances: I) -> usize
where
    I: Iterator<Item = &'a InstanceId>,
{
    let own_weight = (weight(subject, own), own);
    instances
        .filter(|instance| (weight(subject, instance), *instance) > own_weight)
        .count()
}

fn weight(subject: &str, instance: &InstanceId) -> u64 {
    xxh3_64(format!("{subject}/{instance}").as_bytes())
}
