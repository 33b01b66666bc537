//! I/O layer of a relaying instance: the sockets, timers and tasks that drive the decision logic of
//! [`crate::relay`], [`crate::fleet`], [`crate::route_table`] and [`crate::placement`].
//!
//! An [`Adapter`] implements the platform's wire format; nothing here depends on a specific platform.

mod adapter;
mod caller_connections;
#[cfg(test)]
mod caller_connections_tests;
mod caller_link;
mod caller_stream;
#[cfg(test)]
mod caller_stream_tests;
mod capacity_queue;
#[cfg(test)]
mod capacity_queue_tests;
mod carried_requests;
mod checks;
mod compact_loads;

#[cfg(test)]
mod compact_loads_tests;
mod connection_activity;
mod connection_timeouts;
#[cfg(test)]
mod connection_timeouts_tests;
mod cross_zone;
#[cfg(test)]
mod cross_zone_tests;
#[cfg(test)]
mod cut_head_tests;
mod delegates;
#[cfg(test)]
mod delegates_tests;
mod delegation;
#[cfg(test)]
mod delegation_tests;
mod demand_exchange;
#[cfg(test)]
mod demand_exchange_tests;
mod document_changes;
#[cfg(test)]
mod document_changes_tests;
#[cfg(test)]
mod document_distribution_tests;
mod document_parts;
#[cfg(test)]
mod document_parts_tests;
mod duty;
mod endpoint_stream;
mod event_queue;
#[cfg(test)]
mod event_queue_tests;
mod exits;
mod feeds;
mod fleet_lines;
#[cfg(test)]
mod fleet_start_tests;
mod front;
mod headers;
mod heartbeat;
mod held_body;
#[cfg(test)]
mod held_body_tests;
mod held_tokens;
mod introduction;
#[cfg(test)]
mod introduction_tests;
mod life_signs;
mod list_log;
#[cfg(test)]
mod list_log_tests;
mod list_parts;
#[cfg(test)]
mod list_parts_tests;
#[cfg(test)]
mod list_propagation_tests;
mod list_sync;
mod listener;
mod load_change;
mod locate;
mod memory_budget;
mod node;
mod pacing;
mod peer;
mod peer_book;
#[cfg(test)]
mod peer_book_tests;
mod peer_call;
mod peer_list;
#[cfg(test)]
mod peer_load_tests;
mod peer_membership;
#[cfg(test)]
mod peer_membership_tests;
mod peer_selection;
#[cfg(test)]
mod peer_selection_tests;
#[cfg(test)]
mod peer_updates_tests;
mod peers;
mod plain;
mod planned_stop;
#[cfg(test)]
mod planned_stop_tests;
mod probes;
mod quarantine_rows;
mod query;
mod reach;
mod reach_inquiry;
mod recipients;
#[cfg(test)]
mod recipients_tests;
mod records;
#[cfg(test)]
mod records_tests;
mod request;
mod request_body;
#[cfg(test)]
mod request_body_tests;
mod request_boundary;
#[cfg(test)]
mod request_boundary_tests;
mod reroutes;
mod response_codec;
#[cfg(test)]
mod restored_list_tests;
mod retries;
mod retry_loans;
#[cfg(test)]
mod retry_loans_tests;
mod retry_share;
mod room_notice;
#[cfg(test)]
mod room_notice_tests;
mod run;
mod send_context;
mod senders;
#[cfg(test)]
mod senders_tests;
mod settings;
mod snapshot;
mod snapshot_reply;
mod standstill;
mod start_wait;
mod store_calls;
mod store_health;
mod store_position;
mod store_readers;
#[cfg(test)]
mod store_readers_tests;
mod stream;
mod stream_response;
#[cfg(test)]
mod surplus_response_tests;
#[cfg(test)]
mod test_settings;
#[cfg(test)]
mod tests;
mod traffic;
#[cfg(test)]
mod traffic_tests;
mod uplink;
#[cfg(test)]
mod uplink_tests;
mod upstream;
mod withholding;

pub use adapter::{
    Adapter, DeploymentFeeds, Dispatch, EngineControl, EngineReport, FeedFailure, FeedRead,
    LocalPage, OrderFailure, RequestMetadata, RequestMetadataError, ResponseMetadata,
};
pub use run::{RelayStartError, run};
pub use settings::{RelayBounds, RelaySettings};
pub use store_position::StorePosition;
