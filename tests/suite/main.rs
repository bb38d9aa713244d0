//! One suite for both hosts of the engine, unchanged: each rule holds through the daemon's memcache front as it does
//! in the plug-in.

#[path = "../harness/mod.rs"]
#[allow(dead_code)]
mod harness;
mod host;
mod rules;
mod twice;

/// Each case for each host.
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
    bad_requests_are_told_and_cost_no_other,
    a_transaction_that_nobody_serves_gets_one_answer_in_time,
    a_late_answer_reaches_no_other_transaction,
    nothing_new_goes_to_a_member_that_drains,
    a_bad_list_changes_nothing,
    a_list_that_empties_refuses_and_one_that_fills_serves,
    a_discovery_that_is_down_at_the_start_costs_answers_and_no_more,
    a_member_that_talks_nonsense_costs_only_its_own_flow,
    what_a_member_sends_beyond_its_answer_reaches_nobody,
    an_id_in_use_is_taken_once,
    a_dead_member_costs_its_keys_a_detour_only,
    a_caller_that_leaves_has_its_flow_called_off_and_harms_nobody,
    each_of_a_crowd_gets_one_answer_that_is_its_own,
    a_host_told_to_stop_answers_what_it_took_and_ends,
}

/// Each case for each pair of hosts.
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
    in_the_window_both_get_the_receipt_of_the_one_effect,
    a_booking_whose_answer_is_lost_is_told_by_the_other_place,
    out_of_the_window_each_answer_is_of_an_effect_of_its_own,
}
