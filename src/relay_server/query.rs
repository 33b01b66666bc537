//! Query strings of calls between instances.

/// Iterates over the `name=value` pairs of a query string, without decoding.
pub(super) fn query_pairs(query: &str) -> impl Iterator<Item = (&str, &str)> {
    query.split('&').filter_map(|pair| pair.split_once('='))
}
