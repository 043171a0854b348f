//! Serving of calls that are routed by host and path: the configuration document that operators replace as a whole, and
//! the state that an entry keeps about endpoints, replicas and running calls.
//!
//! * [`config`] defines the configuration, [`config_index`] looks up a call's route and customer in it, and
//!   [`config_freshness`] tracks whether it is known to be the newest.
//! * [`config_transfer`] sends configurations over a connection as deltas, and [`pending_renewals`] tracks the lease
//!   renewals that an entry has requested.
//! * [`endpoint_registry`] orders the reports of endpoints, which may arrive late, repeatedly and by several paths.
//!   [`endpoint_handles`] numbers the endpoints in the messages of a replica.
//! * [`software_version`] is the version of an endpoint's software, by which a stream is continued, and
//!   [`stream_origin`] which version has begun a stream at any entry.
//! * [`prompt`] describes the parts of a prompt, and [`prompt_cache`] estimates which parts an endpoint has cached.
//! * [`prompt_room`] queues prompts at an entry while engines are short.
//! * [`cached_parts`] shares among all entries which engines keep which parts.
//! * [`endpoint_load`] tracks the outstanding work of every endpoint.
//! * [`endpoint_paths`] tells an endpoint that has failed from a lost path to it, and [`relay_choice`] selects the entries over
//!   which endpoints are reached then. [`carried_entries`] are the entries for which this one is such a relay.
//! * [`allowance`] limits the use of a customer over all entries: [`allowance_ledger`] keeps the buckets at the leader,
//!   [`allowance_gate`] admits calls at an entry.
//! * [`endpoint_limit`] is the rate limit that an endpoint names in its answers. [`limit_ledger`] divides it among the
//!   entries at the leader, [`limit_gate`] keeps an entry to its part.
//! * [`work_sums`] adds up the work that all entries have at each endpoint.
//! * [`answer_pace`] computes after which silence an engine is suspected of having failed, and [`shared_suspicion`]
//!   selects the suspected endpoints that all entries avoid.
//! * [`call_fingerprint`] recognises a call that is sent again, and [`broken_attempt`] examines whether an endpoint ended
//!   while it ran one. [`suspect_table`] records such calls and quarantines those
//!   that end endpoints; [`suspect_view`] is what one entry knows of it, and
//!   [`trial_table`] lets one entry at a time try a suspect call. [`part_table`] does the same for the parts of prompts that
//!   end endpoints in calls no two of which are alike.
//! * [`answer_room`] accounts for the memory of answers that callers read slowly, and of request bodies.
//! * [`event_stream`] splits an answer into complete events.
//! * [`stream_peak`] tracks the recent peak of concurrent streams, [`call_rate`] the average rate of calls, and
//!   [`call_gap`] the time without any.
//! * [`group_clock`] computes the median wall clock of the replicas.
//! * [`replica_tracker`] tracks the replicas that an entry keeps sessions with, and the one that it takes for the
//!   leader.
//! * [`start_counts`] counts started calls by window and customer.
//! * [`prefill_pace`] estimates how fast engines read prompts, and [`reading_need`] how many endpoints a service needs
//!   for it. [`service_need`] keeps that number across changes of the leader.
//! * [`load_report`] is the load that endpoints state in their answers. [`endpoint_speed`] estimates from it and from measured
//!   prefills how long work takes at each endpoint, [`speed_filter`] one factor of it, and [`speed_ledger`] merges at the
//!   leader what all entries have measured. [`prefill_model`] is the time that prefills usually take.
//! * [`issued_order`] tracks the outcome of an order for endpoints.
//! * [`lease_recovery`] determines whether a call is held or refused while an entry has no lease.
//! * [`stop_state`] determines whether an entry that is stopping still accepts calls.
//! * [`retry_limiter`] and [`retry_ledger`] limit retries, and [`duty`] numbers the successive hosts that act for the system.
//!
//! `docs/design/machines.md` describes the programs that combine these modules.

pub mod allowance;
pub mod allowance_gate;
pub mod allowance_ledger;
pub mod answer_pace;
pub mod answer_room;
pub mod broken_attempt;
pub mod cached_parts;
pub mod call_fingerprint;
pub mod call_gap;
pub mod call_rate;
pub mod carried_entries;
pub mod config;
pub mod config_freshness;
pub mod config_index;
pub mod config_transfer;
pub mod duty;
pub mod endpoint_activity;
pub mod endpoint_handles;
pub mod endpoint_limit;
pub mod endpoint_load;
pub mod endpoint_paths;
pub mod endpoint_registry;
pub mod endpoint_speed;
pub mod event_stream;
pub mod group_clock;
pub mod issued_order;
pub mod lease_recovery;
pub mod limit_gate;
pub mod limit_ledger;
mod limit_shares;
pub mod load_report;
pub mod load_slice;
pub mod origin_search;
mod part_cause;
pub mod part_table;
pub mod pending_renewals;
pub mod prefill_model;
pub mod prefill_pace;
pub mod prompt;
pub mod prompt_cache;
mod prompt_drain;
mod prompt_lane;
pub mod prompt_room;
pub mod reading_need;
pub mod relay_choice;
pub mod replica_tracker;
pub mod retry_ledger;
pub mod retry_limiter;
pub mod service_need;
pub mod serving_state;
pub mod shared_suspicion;
pub mod silence_watch;
pub mod software_version;
pub mod speed_filter;
pub mod speed_ledger;
pub mod start_counts;
pub mod stop_state;
pub mod stream_origin;
pub mod stream_peak;
pub mod suspect_table;
pub mod suspect_view;
pub mod trial_table;
pub mod unnamed_reports;
pub mod work_sums;
