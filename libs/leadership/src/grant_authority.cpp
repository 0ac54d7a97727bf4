#include "leadership/grant_authority.h"

#include <algorithm>

namespace greengagechute::leadership {

namespace {

/// Whether most members followed at `since` or later, whichever of the two sets the store holds.
bool is_followed_since(const grant_authority& authority, time_point since) {
    const auto followed_by_most = [&](const host_set& members) {
        return is_majority(count_followers(authority, members, since), members.size());
    };
    return followed_by_most(authority.members) &&
           (!authority.proposed || followed_by_most(*authority.proposed));
}

}  // namespace

void record_follower(grant_authority& authority, const host_id& host, time_point followed_at) {
    time_point& known = authority.followed_at[host];
    known = std::max(known, followed_at);
}

void record_confirmation(grant_authority& authority, time_point asked_at) {
    authority.confirmed_at = std::max(authority.confirmed_at.value_or(asked_at), asked_at);
}

void set_store_available(grant_authority& authority, bool available, time_point now) {
    if (available) {
        authority.outage_since.reset();
    } else if (!authority.outage_since) {
        authority.outage_since = now;
    }
}

std::size_t count_followers(const grant_authority& authority, const host_set& members,
                            time_point since) {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const host_id& member) {
            const auto found = authority.followed_at.find(member);
            return member == authority.self ||
                   (found != authority.followed_at.end() && found->second >= since);
        }));
}

bool is_followed_by_majority(const grant_authority& authority, time_point now) {
    return is_followed_since(authority, now - authority.settings.max_proof_age);
}

bool may_grant(const grant_authority& authority, time_point now) {
    return (authority.confirmed_at &&
            now - *authority.confirmed_at <= authority.settings.max_proof_age) ||
           is_followed_by_majority(authority, now);
}

bool may_grant_outage_leases(const grant_authority& authority, time_point now) {
    return authority.outage_since &&
           is_followed_since(authority, std::max(*authority.outage_since,
                                                 now - authority.settings.max_proof_age));
}

}  // namespace greengagechute::leadership
