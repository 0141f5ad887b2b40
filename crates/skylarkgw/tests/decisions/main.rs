//! Tests of the gateway's decisions under the loads and failures that they have
//! to handle, without a network or a clock.

mod choice;
mod connection_clock;
mod coordinator;
mod declaration_confirmation;
mod deputies;
mod directory;
mod directory_eras;
mod event_buffer;
mod event_sequence;
mod fleet_model;
mod freshness;
mod lease;
mod lease_restores;
mod limits;
mod placement;
mod prompt_storm;
mod prompts;
mod quota;
mod replicas;
mod retries;
mod routes;
mod samples;
mod scale;
mod shared_map;
mod silence;
mod starvation;
mod statements;
mod stops;
mod store_order;
mod store_restores;
mod urgency;
mod vacancies;
mod waiting;
