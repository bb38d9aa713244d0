//! The same tests for both hosts of the engine: each rule has to hold through the daemon's memcache front-end
//! and in the client library (plug-in).

#[path = "../harness/mod.rs"]
#[allow(dead_code)]
mod harness;
mod host;
mod rules;
mod twice;

/// Runs each test with each host.
macro_rules! both {
    ($($case:ident),* $(,)?) => {
        mod daemon {
            $(#[test] fn $case() { crate::rules::$case::<crate::host::Daemon>(); })*
        }
        mod plug_in {
            $(#[test] fn $case() { crate::rules::$case::<crate::host::PlugIn>(); })*
        }
    };
}

both! {
    a_miss_and_a_write_go_to_the_origin_with_id_list_and_value,
    bad_requests_are_rejected_without_effect_on_others,
    an_unanswered_transaction_gets_one_final_answer_in_time,
    a_late_answer_reaches_no_other_transaction,
    no_transactions_go_to_a_draining_member,
    a_bad_list_changes_nothing,
    transactions_are_refused_while_the_list_is_empty,
    transactions_are_served_after_a_discovery_outage_at_the_start,
    corrupt_responses_fail_only_their_own_flow,
    bytes_after_a_response_are_not_forwarded,
    a_request_id_in_use_is_rejected,
    keys_of_a_dead_member_are_served_by_others,
    a_disconnected_client_has_its_flow_cancelled,
    each_of_many_concurrent_clients_gets_its_own_answers,
    a_stopping_host_answers_accepted_transactions_and_exits,
}

/// Runs each test with each pair of hosts.
macro_rules! pairs {
    ($($case:ident),* $(,)?) => {
        mod daemons {
            use crate::host::Daemon;
            $(#[test] fn $case() { crate::twice::$case::<Daemon, Daemon>(); })*
        }
        mod plug_ins {
            use crate::host::PlugIn;
            $(#[test] fn $case() { crate::twice::$case::<PlugIn, PlugIn>(); })*
        }
        mod plug_in_and_daemon {
            use crate::host::{Daemon, PlugIn};
            $(#[test] fn $case() { crate::twice::$case::<PlugIn, Daemon>(); })*
        }
    };
}

pairs! {
    inside_the_window_both_get_the_receipt_of_one_effect,
    a_write_whose_answer_is_lost_gets_its_receipt_at_the_other_node,
    outside_the_window_each_write_has_an_effect_of_its_own,
}
