#include "ranges/lease_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::ranges {

namespace {

/// Consecutive failed commands after which the lease of an owner is no longer renewed.
constexpr int max_unanswered_attempts = 6;
/// Consecutive connections that time out after which the lease of an owner is no longer renewed.
constexpr int max_connect_failures = 2;
/// Consecutive refused connections after which no requests are routed to an owner. Its lease is
/// renewed if a later connection succeeds in time.
constexpr int max_routable_refusals = 2;
constexpr milliseconds retry_delay{100};
constexpr int percent = 100;
/// Largest piece of a free range that goes to one server, as a part of that server's fair share.
/// Spreads the keys of a failed server over several others.
constexpr double max_piece_share = 0.34;
/// Smallest difference between two servers' ratios of load to fair share that is worth a move.
constexpr double min_ratio_difference = 0.3;
/// Smallest load that is worth a move, as a part of the load that would balance both servers: the
/// keys are not served while they move.
constexpr double min_move_fraction = 0.15;
/// A single hot bucket moves only if the load per weight of its new server is then below this part
/// of that of its present server.
constexpr double max_load_ratio_after_move = 0.85;

}  // namespace

milliseconds max_lease_time(const lease_settings& settings, milliseconds lease_duration) {
    return lease_duration * percent / (percent - settings.clock_slow_percent) +
           settings.max_delivery_delay;
}

lease_manager::lease_manager(const lease_settings& initial, epoch first_fence)
    : settings(initial), next_fence(first_fence) {}

milliseconds lease_manager::current_lease_duration() const {
    return this->outage_leases ? this->settings.outage_lease_duration
                               : this->settings.lease_duration;
}

/// Upper bound for the expiry of any lease on the range, of this coordinator or an earlier one.
time_point lease_manager::latest_expiry_of(const lease& entry) const {
    return std::max(entry.latest_expiry,
                    std::min(entry.inherited_expiry, this->predecessor_leases_end));
}

void lease_manager::make_free(lease& entry) {
    entry.state = phase::free;
    entry.unverified = false;
    entry.inherited_expiry = {};
}

void lease_manager::set_predecessor_leases_end(std::optional<time_point> end) {
    this->predecessor_leases_end = end.value_or(time_point::max());
}

void lease_manager::adopt(const range_table& stored, time_point now) {
    this->leases.clear();
    this->predecessor_leases_end = now + this->max_lease_time(this->settings.outage_lease_duration);
    for (const range_owner& entry : stored.ranges) {
        lease adopted;
        adopted.id = lease_id(++this->last_id);
        adopted.keys = entry.keys;
        adopted.owner = entry.owner;
        adopted.fence = this->next_fence;
        adopted.next_send = now;
        adopted.routable = true;
        adopted.inherited_expiry = time_point::max();
        adopted.latest_expiry = now;
        this->leases.push_back(std::move(adopted));
    }
    this->next_fence = this->next_fence.next();
}

void lease_manager::adopt_unverified(const range_table& stored, milliseconds granting,
                                     time_point now) {
    this->adopt(stored, now);
    const time_point expiry =
        now + granting + this->max_lease_time(this->settings.outage_lease_duration);
    this->first_assignment_at = expiry;
    for (lease& entry : this->leases) {
        entry.state = phase::expiring;
        entry.unverified = true;
        entry.routable = false;
        entry.destination = entry.owner;
        entry.latest_expiry = expiry;
    }
}

/// Whether no key may be assigned yet because any server may own any key.
bool lease_manager::awaits_unverified(time_point now) const {
    return this->first_assignment_at != time_point{} &&
           now < std::max(this->first_assignment_at, this->predecessor_leases_end);
}

bool lease_manager::has_unverified(time_point now) const {
    return this->awaits_unverified(now) ||
           std::any_of(this->leases.begin(), this->leases.end(),
                       [](const lease& entry) { return entry.unverified; });
}

void lease_manager::raise_fences(epoch first) {
    this->next_fence = std::max(this->next_fence, first);
}

const candidate* lease_manager::find_candidate(const server_instance& instance) const {
    const auto found =
        std::find_if(this->candidates.begin(), this->candidates.end(),
                     [&instance](const candidate& server) { return server.instance == instance; });
    return found == this->candidates.end() ? nullptr : &*found;
}

const candidate* lease_manager::find_restarted_instance(const server_instance& instance) const {
    const auto found = std::find_if(
        this->candidates.begin(), this->candidates.end(), [&instance](const candidate& server) {
            return server.instance.id == instance.id &&
                   server.instance.start_time_ms > instance.start_time_ms;
        });
    return found == this->candidates.end() ? nullptr : &*found;
}

/// Requires the restarted server to release the range of its previous instance. Both have the same
/// id, so that a grant of the last two seconds may have reached the new process.
void lease_manager::begin_release_by_restarted(lease& entry, const candidate& restarted,
                                               time_point now) const {
    if (now >= this->latest_expiry_of(entry)) {
        free_immediately(entry, now);
        return;
    }
    entry.owner = restarted.instance;
    entry.destination.reset();
    if (restarted.accepts) {
        entry.destination = restarted.instance;
    }
    entry.state = phase::releasing;
    entry.next_send = now;
    entry.handover.clear();
    entry.confirmed = false;
    entry.routable = false;
    entry.failures = 0;
    entry.connect_failures = 0;
    entry.refusals = 0;
}

lease_manager::lease* lease_manager::find(lease_id id) {
    const auto found = std::find_if(this->leases.begin(), this->leases.end(),
                                    [id](const lease& entry) { return entry.id == id; });
    return found == this->leases.end() ? nullptr : &*found;
}

void lease_manager::set_instance_ended(const server_instance& instance, time_point now) {
    for (lease& entry : this->leases) {
        if (entry.owner == instance && !entry.unverified) {
            free_immediately(entry, now);
            entry.destination.reset();
        }
    }
}

void lease_manager::set_candidates(const std::vector<candidate>& servers, time_point now) {
    this->candidates = servers;
    std::erase_if(this->unreachable, [this, now](const auto& failed) {
        return now - failed.second >= this->settings.unreachable_retention;
    });
    if (servers.size() != this->last_candidate_count) {
        this->last_candidate_count = servers.size();
        this->candidates_changed = now;
    }
    for (lease& entry : this->leases) {
        const candidate* const restarted = this->find_restarted_instance(entry.owner);
        if (restarted != nullptr && entry.state != phase::free && !entry.unverified) {
            this->begin_release_by_restarted(entry, *restarted, now);
            continue;
        }
        const candidate* owner = this->find_candidate(entry.owner);
        if (entry.state == phase::held && (owner == nullptr || !owner->accepts)) {
            entry.state = phase::releasing;
            entry.next_send = now + this->settings.release_delay;
        }
    }
}

std::vector<lease_command> lease_manager::due_commands(time_point now) {
    std::vector<lease_command> orders;
    for (lease& entry : this->leases) {
        const bool refused = entry.state == phase::held && !entry.in_flight &&
                             entry.refusals >= max_routable_refusals;
        if ((entry.state == phase::expiring || entry.state == phase::releasing || refused) &&
            now >= this->latest_expiry_of(entry)) {
            // The lease has expired, so neither an unanswered release nor an owner that refuses
            // connections need be waited for.
            make_free(entry);
            if (refused) {
                // The owner may have had the keys, and its own token is not known.
                entry.handover.clear();
            }
        }
        if (entry.in_flight || now < entry.next_send || entry.state == phase::expiring ||
            entry.state == phase::free) {
            continue;
        }
        lease_command next;
        next.lease = entry.id;
        next.server = entry.owner;
        next.keys = entry.keys;
        next.fence = entry.fence;
        if (entry.state == phase::releasing) {
            next.action = lease_command::kind::release;
        } else {
            next.lease_duration = this->current_lease_duration();
            next.handover = entry.handover;
            entry.expiry_before_command = entry.latest_expiry;
            entry.latest_expiry =
                std::max(entry.latest_expiry, now + this->max_lease_time(next.lease_duration));
            entry.command_lease_duration = next.lease_duration;
            entry.next_send = now + this->settings.renew_interval;
        }
        entry.in_flight = true;
        entry.command_kind = next.action;
        entry.command_server = entry.owner;
        orders.push_back(std::move(next));
    }
    return orders;
}

void lease_manager::stop_routing_expired(time_point now) {
    for (lease& entry : this->leases) {
        if (now >= this->latest_expiry_of(entry)) {
            entry.routable = false;
        }
    }
}

void lease_manager::record_failure(lease& failed, time_point now) {
    ++failed.failures;
    failed.next_send = std::min(failed.next_send, now + retry_delay);
    if (failed.connect_failures >= max_connect_failures ||
        failed.failures >= max_unanswered_attempts) {
        failed.state = phase::expiring;
        failed.handover.clear();
        failed.destination.reset();
    }
}

void lease_manager::free_immediately(lease& entry, time_point now) {
    make_free(entry);
    entry.latest_expiry = now;
    entry.handover.clear();
}

/// Gives all leases of a server a new fence. The next connection may reach a process that has been
/// started again under the same id, and whose tokens must be above those of its former run.
void lease_manager::raise_fences_of(const server_instance& owner) {
    for (lease& entry : this->leases) {
        if (entry.owner == owner && entry.state == phase::held) {
            entry.fence = this->next_fence;
        }
    }
    this->next_fence = this->next_fence.next();
}

bool lease_manager::may_gain_keys(const candidate& server) const {
    return server.accepts && server.registered && !this->unreachable.contains(server.instance);
}

void lease_manager::record_outcome(lease_id id, command_outcome outcome,
                                   const std::string& handover, time_point now) {
    for (lease& entry : this->leases) {
        if (entry.in_flight &&
            (entry.command_lease == id || (entry.id == id && entry.command_lease == lease_id{}))) {
            entry.command_lease = lease_id{};
            entry.in_flight = false;
            this->apply_outcome(entry, outcome, handover, now);
        }
    }
}

void lease_manager::apply_outcome(lease& entry, command_outcome outcome,
                                  const std::string& handover, time_point now) {
    if (entry.state == phase::free) {
        return;
    }
    if (entry.command_kind == lease_command::kind::grant && outcome != command_outcome::not_sent &&
        outcome != command_outcome::refused && outcome != command_outcome::ended) {
        // The lease starts when the grant arrives, at the latest now. A retransmitted packet may
        // have arrived long after the grant was sent.
        entry.latest_expiry =
            std::max(entry.latest_expiry, now + this->max_lease_time(entry.command_lease_duration));
    }
    if (outcome == command_outcome::refused || outcome == command_outcome::not_sent) {
        this->unreachable[entry.command_server] = now;
        if (entry.command_kind == lease_command::kind::grant) {
            entry.latest_expiry =
                std::max(entry.expiry_before_command, entry.unanswered_grant_expiry);
        }
    } else {
        this->unreachable.erase(entry.command_server);
    }
    switch (outcome) {
        case command_outcome::ended:
            free_immediately(entry, now);
            return;
        case command_outcome::fenced_off:
            this->higher_fence_seen = true;
            entry.fence = this->next_fence;
            this->next_fence = this->next_fence.next();
            entry.next_send = now + retry_delay;
            return;
        case command_outcome::refused:
            // A refusal takes no time, so the command can be repeated until the lease expires.
            this->raise_fences_of(entry.owner);
            entry.next_send = now + retry_delay;
            if (++entry.refusals >= max_routable_refusals) {
                entry.routable = false;
            }
            return;
        case command_outcome::not_sent:
            ++entry.connect_failures;
            this->record_failure(entry, now);
            return;
        case command_outcome::unanswered:
            if (entry.command_kind == lease_command::kind::grant) {
                entry.unanswered_grant_expiry =
                    std::max(entry.unanswered_grant_expiry, entry.latest_expiry);
            }
            this->record_failure(entry, now);
            return;
        case command_outcome::done:
            break;
    }
    entry.failures = 0;
    entry.connect_failures = 0;
    entry.refusals = 0;
    if (entry.command_kind == lease_command::kind::grant) {
        // An earlier coordinator's lease may last longer than the grant that has fenced it off.
        entry.inherited_expiry =
            std::min(entry.inherited_expiry,
                     now + this->max_lease_time(this->settings.outage_lease_duration));
        entry.confirmed = true;
        entry.routable = true;
        if (entry.state == phase::held) {
            entry.handover.clear();
        }
    } else if (entry.state == phase::releasing) {
        entry.handover = handover;
        // An unanswered grant may still take effect after the release.
        entry.state = now >= entry.unanswered_grant_expiry ? phase::free : phase::expiring;
        entry.latest_expiry = std::max(now, entry.unanswered_grant_expiry);
        entry.inherited_expiry = {};
    }
}

std::map<server_instance, double> lease_manager::loads_by_server(const key_load& load) const {
    std::map<server_instance, double> server_loads;
    for (const candidate& server : this->candidates) {
        if (server.accepts) {
            server_loads[server.instance] = 0;
        }
    }
    for (const lease& entry : this->leases) {
        const server_instance& owner = entry.destination ? *entry.destination : entry.owner;
        const auto found = server_loads.find(owner);
        if (found != server_loads.end() && (entry.state == phase::held || entry.destination)) {
            found->second += load.request_rate(entry.keys);
        }
    }
    return server_loads;
}

double lease_manager::accepting_weight() const {
    double sum = 0;
    for (const candidate& server : this->candidates) {
        sum += server.accepts ? server.weight : 0;
    }
    return sum;
}

const candidate* lease_manager::least_loaded(
    const std::map<server_instance, double>& server_loads) const {
    const candidate* best = nullptr;
    double best_ratio = 0;
    for (const candidate& server : this->candidates) {
        const auto found = server_loads.find(server.instance);
        if (!server.accepts || found == server_loads.end()) {
            continue;
        }
        const double ratio = found->second / server.weight;
        const bool suitable = this->may_gain_keys(server);
        const bool best_suitable = best != nullptr && this->may_gain_keys(*best);
        if (best == nullptr || (suitable && !best_suitable) ||
            (suitable == best_suitable && ratio < best_ratio)) {
            best = &server;
            best_ratio = ratio;
        }
    }
    return best;
}

std::optional<range_table> lease_manager::plan(const key_load& load, time_point now) {
    if (this->pending) {
        return std::nullopt;
    }
    const bool any_accepts = std::any_of(this->candidates.begin(), this->candidates.end(),
                                         [](const candidate& server) { return server.accepts; });
    if (!any_accepts) {
        return std::nullopt;
    }
    std::vector<lease> planned = this->leases;
    if (planned.empty()) {
        if (this->awaits_unverified(now) ||
            now - this->candidates_changed < this->settings.registration_quiet_time) {
            return std::nullopt;
        }
        // The first assignment gives each server one contiguous range in proportion to its weight.
        const double total = this->accepting_weight();
        double sum = 0;
        key_position first = 0;
        for (const candidate& server : this->candidates) {
            if (!server.accepts) {
                continue;
            }
            sum += server.weight;
            const auto buckets = static_cast<key_position>(
                std::lround(sum / total * static_cast<double>(bucket_count)));
            const key_position end = std::min(buckets * keys_per_bucket, last_key + 1);
            if (end <= first) {
                continue;
            }
            lease fresh;
            fresh.keys = {first, end - 1};
            fresh.owner = server.instance;
            fresh.next_send = now;
            fresh.state = phase::held;
            planned.push_back(fresh);
            first = end;
        }
        planned.back().keys.last = last_key;
    } else {
        if (std::none_of(planned.begin(), planned.end(),
                         [](const lease& entry) { return entry.state == phase::free; })) {
            return std::nullopt;
        }
        this->assign_free(planned, load);
    }
    for (lease& entry : planned) {
        if (entry.id == lease_id{}) {
            entry.id = lease_id(++this->last_id);
            entry.fence = this->next_fence;
            entry.next_send = now;
        }
    }
    this->next_fence = this->next_fence.next();
    range_table table;
    for (const lease& entry : planned) {
        table.ranges.push_back({entry.keys, entry.owner});
    }
    this->pending = std::move(planned);
    return table;
}

void lease_manager::assign_free(std::vector<lease>& planned, const key_load& load) const {
    auto server_loads = this->loads_by_server(load);
    const double share = load.total() / std::max(this->accepting_weight(), 1e-9);
    std::vector<lease> result;
    for (lease& entry : planned) {
        if (entry.state != phase::free) {
            result.push_back(std::move(entry));
            continue;
        }
        const candidate* restarted = this->find_restarted_instance(entry.owner);
        if (restarted != nullptr && !this->may_gain_keys(*restarted)) {
            restarted = nullptr;
        }
        key_position first = entry.keys.first;
        while (first <= entry.keys.last) {
            lease piece;
            piece.keys = {first, entry.keys.last};
            const candidate* target = restarted;
            const candidate* const chosen =
                entry.destination ? this->find_candidate(*entry.destination) : nullptr;
            if (chosen != nullptr && this->may_gain_keys(*chosen)) {
                target = chosen;
            }
            if (target == nullptr) {
                target = this->least_loaded(server_loads);
                const double limit = share * target->weight * max_piece_share;
                double sum = 0;
                key_position bucket = first / keys_per_bucket;
                const key_position last_bucket = entry.keys.last / keys_per_bucket;
                for (; bucket < last_bucket; ++bucket) {
                    sum += load.request_rate({bucket * keys_per_bucket, bucket * keys_per_bucket});
                    if (sum >= limit) {
                        break;
                    }
                }
                piece.keys.last = std::min(entry.keys.last, (bucket + 1) * keys_per_bucket - 1);
            }
            piece.owner = target->instance;
            piece.handover = entry.handover;
            server_loads[target->instance] += load.request_rate(piece.keys);
            first = piece.keys.last + 1;
            result.push_back(std::move(piece));
        }
    }
    planned = std::move(result);
}

void lease_manager::on_commit_result(bool stored, time_point now) {
    if (!this->pending) {
        return;
    }
    std::vector<lease> planned = std::move(*this->pending);
    this->pending.reset();
    if (!stored) {
        return;
    }
    // Outcomes may have been recorded since the plan was made, so leases that were not reassigned
    // keep their present state.
    for (lease& entry : planned) {
        const lease* const present = this->find(entry.id);
        if (present != nullptr) {
            entry = *present;
        } else {
            entry.next_send = now;
        }
    }
    this->leases = std::move(planned);
    this->merge_adjacent_leases(now);
}

void lease_manager::restore_owners(time_point now) {
    if (this->pending) {
        return;
    }
    for (lease& entry : this->leases) {
        const candidate* const owner = this->find_candidate(entry.owner);
        if (entry.state != phase::free || owner == nullptr || !owner->accepts) {
            continue;
        }
        entry.state = phase::held;
        entry.confirmed = false;
        entry.routable = false;
        entry.destination.reset();
        entry.failures = 0;
        entry.connect_failures = 0;
        entry.refusals = 0;
        entry.fence = this->next_fence;
        entry.next_send = now;
    }
    this->next_fence = this->next_fence.next();
}

void lease_manager::merge_adjacent_leases(time_point now) {
    std::vector<lease> merged;
    for (lease& entry : this->leases) {
        const auto settled = [](const lease& other) {
            return other.state == phase::held && !other.in_flight && !other.destination &&
                   other.confirmed && other.failures == 0 && other.refusals == 0;
        };
        if (!merged.empty() && merged.back().owner == entry.owner && settled(merged.back()) &&
            settled(entry)) {
            lease& whole = merged.back();
            whole.keys.last = entry.keys.last;
            whole.fence = this->next_fence;
            whole.next_send = now;
            whole.latest_expiry = std::max(whole.latest_expiry, entry.latest_expiry);
            whole.unanswered_grant_expiry =
                std::max(whole.unanswered_grant_expiry, entry.unanswered_grant_expiry);
            whole.inherited_expiry = std::max(whole.inherited_expiry, entry.inherited_expiry);
            this->next_fence = this->next_fence.next();
        } else {
            merged.push_back(std::move(entry));
        }
    }
    this->leases = std::move(merged);
}

lease_manager::lease& lease_manager::split(lease& whole, key_position first_of_second) {
    lease second = whole;
    second.id = lease_id(++this->last_id);
    second.keys.first = first_of_second;
    if (second.in_flight && second.command_lease == lease_id{}) {
        // The command in flight covers both parts, and so does its outcome.
        second.command_lease = whole.id;
    }
    whole.keys.last = first_of_second - 1;
    const auto position =
        std::find_if(this->leases.begin(), this->leases.end(),
                     [&whole](const lease& entry) { return entry.id == whole.id; });
    return *this->leases.insert(std::next(position), std::move(second));
}

void lease_manager::balance(const key_load& load, time_point now) {
    if (this->pending) {
        return;
    }
    this->merge_adjacent_leases(now);
    if (load.total() < this->settings.min_balance_load) {
        return;
    }
    for (std::size_t round = 0; round < this->settings.max_balance_moves; ++round) {
        const auto moving = static_cast<std::size_t>(
            std::count_if(this->leases.begin(), this->leases.end(),
                          [](const lease& entry) { return entry.destination.has_value(); }));
        if (moving >= this->settings.max_balance_moves || !this->balance_once(load, now)) {
            return;
        }
    }
}

bool lease_manager::balance_once(const key_load& load, time_point now) {
    const auto server_loads = this->loads_by_server(load);
    const double share = load.total() / std::max(this->accepting_weight(), 1e-9);
    const auto ratio = [&server_loads, share](const candidate& server) {
        return server_loads.at(server.instance) / (share * server.weight);
    };
    const candidate* most_loaded = nullptr;
    const candidate* move_target = nullptr;
    for (const candidate& server : this->candidates) {
        if (!server.accepts) {
            continue;
        }
        if (most_loaded == nullptr || ratio(server) > ratio(*most_loaded)) {
            most_loaded = &server;
        }
        if (this->may_gain_keys(server) &&
            (move_target == nullptr || ratio(server) < ratio(*move_target))) {
            move_target = &server;
        }
    }
    if (most_loaded == nullptr || move_target == nullptr || most_loaded == move_target ||
        ratio(*most_loaded) - ratio(*move_target) < min_ratio_difference ||
        (ratio(*most_loaded) < this->settings.overload_ratio &&
         ratio(*move_target) >
             1 / (this->settings.overload_ratio * this->settings.overload_ratio))) {
        return false;
    }
    // Moving this load would make the load per weight of both servers equal.
    const double wanted = (server_loads.at(most_loaded->instance) * move_target->weight -
                           server_loads.at(move_target->instance) * most_loaded->weight) /
                          (most_loaded->weight + move_target->weight);
    std::vector<std::pair<double, lease_id>> sources;
    for (const lease& entry : this->leases) {
        if (entry.owner == most_loaded->instance && entry.state == phase::held && entry.confirmed &&
            !entry.destination) {
            sources.emplace_back(load.request_rate(entry.keys), entry.id);
        }
    }
    std::sort(sources.rbegin(), sources.rend());
    for (const auto& [source_load, id] : sources) {
        if (source_load < wanted * min_move_fraction) {
            break;
        }
        lease* const moved =
            source_load > wanted ? this->split_off_load(id, wanted, load) : this->find(id);
        if (moved != nullptr) {
            moved->destination = move_target->instance;
            moved->state = phase::releasing;
            moved->next_send = now + this->settings.release_delay;
            return true;
        }
    }
    return this->move_single_bucket(sources, *most_loaded, server_loads, load, now);
}

/// Splits the range after the buckets at its lower end whose load is nearest to `wanted`, and
/// returns the lease to move: the lower part, or the upper part if the first bucket alone exceeds
/// `wanted`. Returns nullptr if there is only one bucket or the upper part is too small to be worth
/// a move.
lease_manager::lease* lease_manager::split_off_load(lease_id id, double wanted,
                                                    const key_load& load) {
    lease* const source = this->find(id);
    double sum = 0;
    key_position bucket = source->keys.first / keys_per_bucket;
    const key_position last_bucket = source->keys.last / keys_per_bucket;
    for (; bucket < last_bucket; ++bucket) {
        const double own = load.request_rate({bucket * keys_per_bucket, bucket * keys_per_bucket});
        if (sum + own / 2 > wanted) {
            break;
        }
        sum += own;
    }
    key_position at = bucket * keys_per_bucket;
    bool upper = false;
    if (at <= source->keys.first) {
        // The first bucket is the hot one, so the keys after it are moved instead.
        at = (bucket + 1) * keys_per_bucket;
        upper = true;
    }
    if (at <= source->keys.first || at > source->keys.last) {
        return nullptr;
    }
    if (upper && load.request_rate({at, source->keys.last}) < wanted * min_move_fraction) {
        return nullptr;
    }
    const lease_id second = this->split(*source, at).id;
    return this->find(upper ? second : id);
}

/// Moves the most loaded range, whose load can not be divided, to the server that would have the
/// lowest load per weight, if that is enough of an improvement.
bool lease_manager::move_single_bucket(const std::vector<std::pair<double, lease_id>>& sources,
                                       const candidate& from,
                                       const std::map<server_instance, double>& server_loads,
                                       const key_load& load, time_point now) {
    if (sources.empty()) {
        return false;
    }
    const double hot = sources.front().first;
    const double before = server_loads.at(from.instance) / from.weight;
    const candidate* best = nullptr;
    double best_after = before * max_load_ratio_after_move;
    for (const candidate& server : this->candidates) {
        if (this->may_gain_keys(server) && server.instance != from.instance) {
            const double after = (server_loads.at(server.instance) + hot) / server.weight;
            if (after < best_after) {
                best = &server;
                best_after = after;
            }
        }
    }
    lease* const source = this->find(sources.front().second);
    if (best == nullptr || load.total() <= 0) {
        return false;
    }
    source->destination = best->instance;
    source->state = phase::releasing;
    source->next_send = now + this->settings.release_delay;
    return true;
}

range_table lease_manager::routes() const {
    range_table current;
    for (const lease& entry : this->leases) {
        const bool usable = entry.state == phase::held && entry.routable;
        const server_instance owner = usable ? entry.owner : server_instance{};
        if (!current.ranges.empty() && current.ranges.back().owner == owner) {
            current.ranges.back().keys.last = entry.keys.last;
        } else {
            current.ranges.push_back({entry.keys, owner});
        }
    }
    return current;
}

range_table lease_manager::table() const {
    range_table current;
    for (const lease& entry : this->leases) {
        current.ranges.push_back({entry.keys, entry.owner});
    }
    return current;
}

}  // namespace greengagechute::ranges
