#include "leadership/succession.h"

#include <algorithm>

namespace greengagechute::leadership {

namespace {

bool contains_majority(const host_set& hosts, const host_set& members) {
    const auto count =
        std::count_if(members.begin(), members.end(),
                      [&hosts](const host_id& member) { return hosts.contains(member); });
    return is_majority(static_cast<std::size_t>(count), members.size());
}

void update_majorities(succession& term, time_point now) {
    if (!term.members_known) {
        return;
    }
    if (!term.majority_at &&
        (term.members.empty() || contains_majority(term.followers, term.members))) {
        term.majority_at = now;
    }
    if (!term.unaware_majority_at && contains_majority(term.unaware, term.members)) {
        term.unaware_majority_at = now;
    }
}

}  // namespace

void set_members(succession& term, const host_set& members, time_point now) {
    term.members = members;
    term.members_known = true;
    update_majorities(term, now);
}

void record_follower(succession& term, const host_id& host, bool told_of_outage, time_point now) {
    const bool is_new = term.followers.insert(host).second;
    const bool is_newly_unaware = !told_of_outage && term.unaware.insert(host).second;
    if (is_new || is_newly_unaware) {
        update_majorities(term, now);
    }
}

std::optional<time_point> predecessors_stopped_at(const succession& term,
                                                  const authority_settings& settings) {
    return term.majority_at ? std::optional(*term.majority_at + settings.max_proof_age)
                            : std::nullopt;
}

std::optional<time_point> predecessor_leases_end(const succession& term,
                                                 const authority_settings& settings,
                                                 const lease_spans& spans) {
    const auto stopped_at = predecessors_stopped_at(term, settings);
    if (!stopped_at) {
        return std::nullopt;
    }
    // An outage lease needs a majority that was told of the outage, and so a member of this one.
    const time_point outage_end = *stopped_at + spans.outage;
    return term.unaware_majority_at
               ? std::min(outage_end,
                          *term.unaware_majority_at + settings.max_proof_age + spans.regular)
               : outage_end;
}

bool was_told_of_outage(std::optional<time_point> told_at, time_point started_at,
                        const authority_settings& settings, const lease_spans& spans,
                        time_point now) {
    return now - std::max(started_at, told_at.value_or(started_at)) <
           settings.max_proof_age + spans.outage;
}

}  // namespace greengagechute::leadership
