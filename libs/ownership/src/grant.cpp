#include "ownership/grant.h"

#include "ownership/errors.h"

#include <algorithm>

namespace greengagechute::ownership {

namespace {

bool is_renewal(const server_state& state, const grant& offered_grant) {
    return offered_grant.dispatcher_epoch == state.dispatcher_epoch &&
           offered_grant.holder == state.holder && offered_grant.holder != host_instance{} &&
           offered_grant.set_version >= state.set_version;
}

bool is_claim(const server_state& state, const grant& offered_grant) {
    return offered_grant.dispatcher_epoch > state.dispatcher_epoch &&
           offered_grant.expected_epoch == state.dispatcher_epoch &&
           offered_grant.set_version > state.set_version;
}

}  // namespace

server_report apply_grant(server_state& state, const grant& offered_grant, server_time now) {
    const bool renewal = is_renewal(state, offered_grant);
    const bool accepted = offered_grant.boot == state.boot && offered_grant.end > now &&
                          (renewal || is_claim(state, offered_grant));
    if (accepted) {
        state.dispatcher_epoch = offered_grant.dispatcher_epoch;
        state.holder = offered_grant.holder;
        state.set_version = offered_grant.set_version;
        state.partitions = offered_grant.partitions;
        std::ranges::sort(state.partitions);
        state.end = renewal ? std::max(state.end, offered_grant.end) : offered_grant.end;
    }
    server_report report = report_state(state, now);
    report.accepted = accepted;
    return report;
}

server_report report_state(const server_state& state, server_time now) {
    server_report report;
    report.boot = state.boot;
    report.now = now;
    report.dispatcher_epoch = state.dispatcher_epoch;
    report.holder = state.holder;
    report.set_version = state.set_version;
    report.partitions = state.partitions;
    report.end = state.end;
    return report;
}

status check_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
                 server_time now) {
    if (state.holder == host_instance{}) {
        return make_error_code(ownership_errc::no_grant);
    }
    if (now >= state.end) {
        return make_error_code(ownership_errc::grant_ended);
    }
    if (dispatcher_epoch != state.dispatcher_epoch) {
        return make_error_code(ownership_errc::wrong_dispatcher_epoch);
    }
    const auto found = std::ranges::lower_bound(state.partitions, wanted.partition, {},
                                                &held_partition::partition);
    if (found == state.partitions.end() || found->partition != wanted.partition) {
        return make_error_code(ownership_errc::partition_not_held);
    }
    if (found->current != wanted.current) {
        return make_error_code(ownership_errc::wrong_partition_epoch);
    }
    return {};
}

bool may_run(const server_state& state, const held_partition& wanted, epoch dispatcher_epoch,
             server_time now) {
    return !check_run(state, wanted, dispatcher_epoch, now);
}

}  // namespace greengagechute::ownership
