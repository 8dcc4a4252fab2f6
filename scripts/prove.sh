#!/usr/bin/env bash
# Proves promises under failure, with real processes.
#   matrix [TEXT]   each fault at each step; ends with cells=N held=N broke=N not_run=N
#   scenarios       the files under scenarios/
#   soak-mutants    switches protections off under the soak; a seed must break; ends with
#                   protections=N caught=N seeds=N
#   mutants         switches each protection off; a test must fail; ends with protections=N caught=N
set -euo pipefail
cd "$(dirname "$0")/.."

# Protection, and the test that must fail without it: package, test file, name.
mutants() {
  cat <<'LIST'
attempt-check tealshore-decide generation a_caller_sees_a_prefix_of_one_generation
position-check tealshore-decide generation a_caller_sees_a_prefix_of_one_generation
chain-check tealshore-decide generation a_stream_that_differs_from_what_the_caller_holds_is_refused
single-dispatch tealshore-decide generation a_request_that_may_not_be_repeated_is_started_once
claim tealshore-lab at_most_once a_draft_stays_claimed_when_its_place_is_forgotten
read-back tealshore-lab at_most_once a_claim_whose_answer_was_lost_runs_once
monotonic-version tealshore-router in_force a_lower_version_is_never_applied
token-signature tealshore-lab resume a_ticket_serves_only_its_own_request
pinned-version tealshore-lab resume a_new_version_does_not_change_a_running_generation
leaving-check tealshore-lab resume an_engine_listed_as_leaving_gets_no_new_work
event-position tealshore-gateway events an_event_that_is_not_due_is_refused
event-position tealshore-platform streams events_out_of_sequence_never_reach_the_caller
monotonic-version tealshore-gateway view the_configuration_in_force_never_goes_back
monotonic-version tealshore-platform store a_removed_key_is_refused
key-age tealshore-platform store requests_with_keys_are_refused_when_the_store_is_silent_for_too_long
watch-timeout tealshore-platform store a_silent_watch_times_out
answer-identity tealshore-platform calls a_non_repeatable_call_runs_once_when_its_answer_is_lost
confirmed-refusal tealshore-platform calls a_non_repeatable_call_runs_once_when_its_answer_is_lost
single-dispatch tealshore-platform calls a_non_repeatable_call_runs_once_when_its_answer_is_lost
leaving-check tealshore-platform calls a_draining_or_removed_upstream_gets_no_new_requests
withdrawal tealshore-platform daemon a_planned_stop_interrupts_nothing_and_removes_the_address_at_once
retry-budget tealshore-gateway budget a_host_alone_has_half_of_the_slack_and_one_of_many_its_part
retry-budget tealshore-gateway budget what_hosts_leave_over_is_never_spent_twice
body-timeout tealshore-platform calls a_body_that_never_ends_times_out
relayed-age tealshore-gateway feed a_received_time_never_appears_younger_than_it_is
reserved-headers tealshore-platform headers headers_reserved_for_tealshore_are_not_forwarded_from_callers
fresh-addresses tealshore-gateway peers callers_are_sent_to_stale_hosts_only_where_no_host_has_a_fresh_view
true-status tealshore-platform refusals a_resumed_stream_is_not_reported_as_not_run
version-permit tealshore-platform rollouts a_new_version_gets_no_requests_without_an_order
canary-share tealshore-platform rollouts a_bad_version_is_rolled_back_within_its_share
trial-stop tealshore-platform rollouts a_bad_version_gets_no_more_requests_during_a_store_outage
confirmed-refusal tealshore-platform refusals an_unconfirmed_refusal_of_a_call_is_not_forwarded
answer-identity tealshore-platform refusals a_refusal_of_another_request_does_not_count_for_this_one
lease-expiry tealshore-duties lease a_contender_waits_for_the_expiry_of_what_it_saw
decision-write-back tealshore-duties lease a_write_back_changes_neither_the_lease_nor_the_time_until_it_is_free
decision-write-back tealshore-platform duties a_report_lost_by_the_store_and_then_by_all_hosts_is_not_decided_again
duty-tenure tealshore-duties lease a_tenure_ends_at_its_moment_and_not_after_it
duty-tenure tealshore-gateway duty_call no_call_begins_after_the_tenure
duty-tenure tealshore-gateway duty_call a_process_that_froze_while_it_connected_sends_nothing
quarantine tealshore-quarantine log three_crashes_put_a_request_in_quarantine_and_two_do_not
quarantine tealshore-platform quarantine a_request_that_crashes_engines_is_quarantined_after_the_third
quarantine tealshore-platform prompt_parts a_part_that_crashes_engines_in_different_requests_is_quarantined
upstream-notices tealshore-notices notices a_rest_binds_to_its_end_and_not_longer
upstream-notices tealshore-platform notices retry_after_stops_calls_to_an_upstream_until_it_elapses
upstream-notices tealshore-platform notices an_upstream_that_sends_server_leaving_gets_no_new_requests
shared-limits tealshore-platform limits an_upstream_that_names_a_limit_gets_no_more_calls_of_all_hosts_than_that
store-era tealshore-platform store_era a_configuration_written_after_a_restore_takes_effect
store-era tealshore-platform store_era no_change_is_missed_where_versions_are_reused
restore-grace tealshore-gateway store_restore an_upstream_that_leaves_does_so_whatever_a_copy_says
restore-grace tealshore-platform store_era a_draining_upstream_gets_no_new_requests_though_the_backup_lists_it_as_ready
tunnel-end tealshore-platform tunnels an_unframed_stream_resumes_when_the_host_that_it_passes_through_is_killed
tunnels tealshore-platform partitions calls_at_a_host_cut_off_from_all_upstreams_are_served
brittle-slots tealshore-platform brittle all_hosts_together_have_no_more_calls_at_a_brittle_upstream_than_it_has_slots
brittle-slots tealshore-platform brittle a_host_pauses_sending_to_a_brittle_upstream_that_rejected_a_call
confirmed-suspicion tealshore-platform partitions an_upstream_that_only_a_cut_off_host_suspects_keeps_its_calls
request-digest tealshore-platform returns a_request_never_resumes_from_a_lost_requests_kv_copy
service-check tealshore-platform send_gate a_barred_upstream_gets_no_stream_that_its_caller_resumes
recovery-point tealshore-platform restored_keys hosts_that_start_on_a_restored_copy_do_not_accept_a_removed_key
recovery-point tealshore-platform restored_keys a_running_host_that_missed_a_removal_does_not_rely_on_a_restored_copy
suspended-time tealshore-platform suspension a_suspended_host_that_wakes_without_the_store_does_not_accept_a_removed_key
own-run tealshore-platform same_content a_stream_does_not_continue_from_a_run_that_is_still_answered_here
LIST
}

# Protections whose loss the soak is to catch by itself.
soak_mutants() {
  cat <<'LIST'
event-position
own-run
monotonic-version
key-age
answer-identity
confirmed-refusal
single-dispatch
leaving-check
withdrawal
retry-budget
reserved-headers
watch-timeout
lease-expiry
quarantine
upstream-notices
shared-limits
store-era
restore-grace
tunnels
LIST
}

case "${1:-}" in
  soak-mutants)
    export CARGO_TARGET_DIR=target/mutants
    seeds=20
    run=(cargo test -q -p tealshore-platform --features tealshore-core/failpoints --test soak --)
    run+=(--seed 1 --seeds "$seeds" --seconds 20 --jobs 4 --stop-at-first)
    cargo test -q -p tealshore-platform --features tealshore-core/failpoints --test soak --no-run
    protections=0 caught=0
    for protection in $(soak_mutants); do
      protections=$((protections + 1))
      if said=$(FAILPOINTS="$protection=return" "${run[@]}" 2>/dev/null); then
        echo "$protection: NOT caught"
      else
        caught=$((caught + 1))
        echo "$protection: caught, $(grep -m1 ': broken ' <<<"$said")"
      fi
    done
    echo "protections=$protections caught=$caught seeds=$seeds"
    [ "$protections" = "$caught" ]
    ;;
  matrix)
    cargo build --release --workspace --bins
    exec target/release/tealshore-lab matrix "${2:-}"
    ;;
  scenarios)
    cargo build --release --workspace --bins
    exec target/release/tealshore-lab scenario scenarios/*.scn
    ;;
  mutants)
    export CARGO_TARGET_DIR=target/mutants
    features=(--features tealshore-core/failpoints)
    cargo build --workspace --bins "${features[@]}"
    cargo test --workspace --no-run "${features[@]}"
    protections=0 caught=0
    while read -r protection package file name; do
      protections=$((protections + 1))
      run=(cargo test -q -p "$package" "${features[@]}" --test "$file" -- --exact "$name")
      if ! "${run[@]}" >/dev/null 2>&1; then
        echo "$protection: $name fails even with it on"
      elif FAILPOINTS="$protection=return" "${run[@]}" >/dev/null 2>&1; then
        echo "$protection: NOT caught by $name"
      else
        echo "$protection: caught by $name"
        caught=$((caught + 1))
      fi
    done < <(mutants)
    echo "protections=$protections caught=$caught"
    [ "$protections" = "$caught" ]
    ;;
  *)
    sed -n '2,7p' "$0"
    exit 2
    ;;
esac
