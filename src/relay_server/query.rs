//! The queries of calls between instances.

/// The pairs of a name and its value in a query.
pub(super) fn query_pairs(query: &str) -> impl Iterator<Item = (&str, &str)> {
    query.split('&').filter_map(|pair| pair.split_once('='))
}
