#include "ranges/lease_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::ranges {

namespace {

/// Tries without an answer after which an owner is taken as lost.
constexpr int unanswered_tries = 6;
/// Failed connections after which an owner is taken as lost.
constexpr int connect_tries = 2;
constexpr milliseconds retry_pause{100};
constexpr int percent = 100;
/// Part of a server's share that is given away as one piece, so that a lost server's keys are
/// spread over several others.
constexpr double piece_of_share = 0.34;
/// Difference of two servers' ratios of load to share below which a move gains little.
constexpr double least_gain = 0.3;
/// Part of the wanted load below which a move is not worth its pause.
constexpr double least_part = 0.15;
/// A bucket moves to a faster server if that server is then less loaded by this factor.
constexpr double worthwhile = 0.85;

}  // namespace

lease_manager::lease_manager(const lease_settings& initial, epoch first_fence)
    : settings(initial), next_fence(first_fence) {}

milliseconds lease_manager::present_hold() const {
    return this->store_unavailable ? this->settings.outage_lease_duration
                                   : this->settings.lease_duration;
}

/// Time from a grant to the end of its lease on a slow clock.
milliseconds lease_manager::longest_hold(milliseconds lease_duration) const {
    return lease_duration * percent / (percent - this->settings.clock_slow_percent) +
           this->settings.max_delivery_delay;
}

void lease_manager::adopt(const range_table& stored, time_point now) {
    this->leases.clear();
    for (const range_owner& entry : stored.ranges) {
        lease adopted;
        adopted.id = lease_id(++this->last_id);
        adopted.keys = entry.keys;
        adopted.owner = entry.owner;
        adopted.fence = this->next_fence;
        adopted.next_send = now;
        adopted.routable = true;
        adopted.ends = now + this->longest_hold(this->settings.outage_lease_duration);
        this->leases.push_back(std::move(adopted));
    }
    this->next_fence = this->next_fence.next();
}

const candidate* lease_manager::find_candidate(const server_instance& instance) const {
    const auto found =
        std::find_if(this->candidates.begin(), this->candidates.end(),
                     [&instance](const candidate& one) { return one.instance == instance; });
    return found == this->candidates.end() ? nullptr : &*found;
}

const candidate* lease_manager::find_next_life(const server_instance& instance) const {
    const auto found = std::find_if(this->candidates.begin(), this->candidates.end(),
                                    [&instance](const candidate& one) {
                                        return one.instance.id == instance.id &&
                                               one.instance.start_time_ms > instance.start_time_ms;
                                    });
    return found == this->candidates.end() ? nullptr : &*found;
}

/// The owner's process has ended. Its next life has the same id, so that grants of the last two
/// seconds may have reached it: it has to release them before the keys are free.
void lease_manager::follow_life(lease& one, const candidate& next_life, time_point now) {
    if (now >= one.ends) {
        free_at_once(one, now);
        return;
    }
    one.owner = next_life.instance;
    one.destination.reset();
    if (next_life.accepts) {
        one.destination = next_life.instance;
    }
    one.state = phase::releasing;
    one.next_send = now;
    one.handover.clear();
    one.confirmed = false;
    one.routable = false;
    one.failures = 0;
    one.connect_failures = 0;
    one.refused_since.reset();
}

lease_manager::lease* lease_manager::find(lease_id id) {
    const auto found = std::find_if(this->leases.begin(), this->leases.end(),
                                    [id](const lease& one) { return one.id == id; });
    return found == this->leases.end() ? nullptr : &*found;
}

void lease_manager::set_instance_ended(const server_instance& instance, time_point now) {
    for (lease& one : this->leases) {
        if (one.owner == instance) {
            free_at_once(one, now);
            one.destination.reset();
        }
    }
}

void lease_manager::set_candidates(const std::vector<candidate>& servers, time_point now) {
    this->candidates = servers;
    if (servers.size() != this->candidates_seen) {
        this->candidates_seen = servers.size();
        this->candidates_changed = now;
    }
    for (lease& one : this->leases) {
        const candidate* const next_life = this->find_next_life(one.owner);
        if (next_life != nullptr && one.state != phase::free) {
            follow_life(one, *next_life, now);
            continue;
        }
        const candidate* owner = this->find_candidate(one.owner);
        if (one.state == phase::held && (owner == nullptr || !owner->accepts)) {
            one.state = phase::releasing;
            one.next_send = now + this->settings.release_delay;
        }
    }
}

std::vector<lease_command> lease_manager::due_commands(time_point now) {
    std::vector<lease_command> orders;
    for (lease& one : this->leases) {
        if ((one.state == phase::expiring || one.state == phase::releasing) && now >= one.ends) {
            // The lease has run out, also where a release has not been answered yet.
            one.state = phase::free;
        }
        if (one.in_flight || now < one.next_send || one.state == phase::expiring ||
            one.state == phase::free) {
            continue;
        }
        lease_command next;
        next.lease = one.id;
        next.server = one.owner;
        next.keys = one.keys;
        next.fence = one.fence;
        if (one.state == phase::releasing) {
            next.what = lease_command::kind::release;
        } else {
            next.lease_duration = this->present_hold();
            next.handover = one.handover;
            one.ends_before = one.ends;
            one.ends = std::max(one.ends, now + this->longest_hold(next.lease_duration));
            one.flight_hold = next.lease_duration;
            one.next_send = now + this->settings.renew_interval;
        }
        one.in_flight = true;
        one.flight = next.what;
        orders.push_back(std::move(next));
    }
    return orders;
}

void lease_manager::fail(lease& failed, time_point now) {
    ++failed.failures;
    failed.next_send = std::min(failed.next_send, now + retry_pause);
    if (failed.connect_failures >= connect_tries || failed.failures >= unanswered_tries) {
        failed.state = phase::expiring;
        failed.handover.clear();
        failed.destination.reset();
    }
}

void lease_manager::free_at_once(lease& one, time_point now) {
    one.state = phase::free;
    one.ends = now;
    one.handover.clear();
}

bool lease_manager::ended_by_refusals(lease& one, time_point now) const {
    if (!one.refused_since) {
        one.refused_since = now;
    }
    const candidate* const owner = this->find_candidate(one.owner);
    return owner != nullptr && owner->refusal_is_conclusive &&
           now - *one.refused_since >= this->settings.min_refusal_time;
}

void lease_manager::record_outcome(lease_id id, command_outcome outcome,
                                   const std::string& handover, time_point now) {
    for (lease& one : this->leases) {
        if (one.in_flight &&
            (one.flight_of == id || (one.id == id && one.flight_of == lease_id{}))) {
            one.flight_of = lease_id{};
            one.in_flight = false;
            this->record_one(one, outcome, handover, now);
        }
    }
}

void lease_manager::record_one(lease& one, command_outcome outcome, const std::string& handover,
                               time_point now) {
    if (one.state == phase::free) {
        return;
    }
    if (one.flight == lease_command::kind::grant && outcome != command_outcome::not_sent &&
        outcome != command_outcome::refused && outcome != command_outcome::ended) {
        // The lease runs from the grant's arrival, which was before now: a packet that was sent
        // again may have arrived long after the order was given.
        one.ends = std::max(one.ends, now + this->longest_hold(one.flight_hold));
    }
    switch (outcome) {
        case command_outcome::ended:
            free_at_once(one, now);
            return;
        case command_outcome::fenced_off:
            this->seen_higher_fence = true;
            one.fence = this->next_fence;
            this->next_fence = this->next_fence.next();
            one.next_send = now + retry_pause;
            return;
        case command_outcome::refused:
            if (this->ended_by_refusals(one, now)) {
                free_at_once(one, now);
                return;
            }
            [[fallthrough]];
        case command_outcome::not_sent:
            if (one.flight == lease_command::kind::grant) {
                one.ends = std::max(one.ends_before, one.unanswered_until);
            }
            ++one.connect_failures;
            this->fail(one, now);
            return;
        case command_outcome::unanswered:
            if (one.flight == lease_command::kind::grant) {
                one.unanswered_until = std::max(one.unanswered_until, one.ends);
            }
            this->fail(one, now);
            return;
        case command_outcome::done:
            break;
    }
    one.failures = 0;
    one.connect_failures = 0;
    one.refused_since.reset();
    if (one.flight == lease_command::kind::grant) {
        one.confirmed = true;
        one.routable = true;
        if (one.state == phase::held) {
            one.handover.clear();
        }
    } else if (one.state == phase::releasing) {
        one.handover = handover;
        // A grant without an answer may still take effect after the release.
        one.state = now >= one.unanswered_until ? phase::free : phase::expiring;
        one.ends = std::max(now, one.unanswered_until);
    }
}

std::map<server_instance, double> lease_manager::loads(const key_load& load) const {
    std::map<server_instance, double> sums;
    for (const candidate& one : this->candidates) {
        if (one.accepts) {
            sums[one.instance] = 0;
        }
    }
    for (const lease& one : this->leases) {
        const server_instance& owner = one.destination ? *one.destination : one.owner;
        const auto found = sums.find(owner);
        if (found != sums.end() && (one.state == phase::held || one.destination)) {
            found->second += load.request_rate(one.keys);
        }
    }
    return sums;
}

double lease_manager::accepting_weight() const {
    double sum = 0;
    for (const candidate& one : this->candidates) {
        sum += one.accepts ? one.weight : 0;
    }
    return sum;
}

const candidate* lease_manager::least_loaded(const std::map<server_instance, double>& sums) const {
    const candidate* best = nullptr;
    double best_ratio = 0;
    for (const candidate& one : this->candidates) {
        const auto found = sums.find(one.instance);
        if (!one.accepts || found == sums.end()) {
            continue;
        }
        const double ratio = found->second / one.weight;
        if (best == nullptr || ratio < best_ratio) {
            best = &one;
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
                                         [](const candidate& one) { return one.accepts; });
    if (!any_accepts) {
        return std::nullopt;
    }
    std::vector<lease> planned = this->leases;
    if (planned.empty()) {
        if (now - this->candidates_changed < this->settings.registration_quiet_time) {
            return std::nullopt;
        }
        // First assignment: contiguous shares by weight.
        const double total = this->accepting_weight();
        double sum = 0;
        key_position first = 0;
        for (const candidate& one : this->candidates) {
            if (!one.accepts) {
                continue;
            }
            sum += one.weight;
            const auto buckets = static_cast<key_position>(
                std::lround(sum / total * static_cast<double>(bucket_count)));
            const key_position end = std::min(buckets * keys_per_bucket, last_key + 1);
            if (end <= first) {
                continue;
            }
            lease fresh;
            fresh.keys = {first, end - 1};
            fresh.owner = one.instance;
            fresh.next_send = now;
            fresh.state = phase::held;
            planned.push_back(fresh);
            first = end;
        }
        planned.back().keys.last = last_key;
    } else {
        if (std::none_of(planned.begin(), planned.end(),
                         [](const lease& one) { return one.state == phase::free; })) {
            return std::nullopt;
        }
        this->assign_free(planned, load);
    }
    for (lease& one : planned) {
        if (one.id == lease_id{}) {
            one.id = lease_id(++this->last_id);
            one.fence = this->next_fence;
            one.next_send = now;
        }
    }
    this->next_fence = this->next_fence.next();
    range_table table;
    for (const lease& one : planned) {
        table.ranges.push_back({one.keys, one.owner});
    }
    this->pending = std::move(planned);
    return table;
}

void lease_manager::assign_free(std::vector<lease>& planned, const key_load& load) const {
    auto sums = this->loads(load);
    const double share = load.total() / std::max(this->accepting_weight(), 1e-9);
    std::vector<lease> result;
    for (lease& one : planned) {
        if (one.state != phase::free) {
            result.push_back(std::move(one));
            continue;
        }
        const candidate* next_life = this->find_next_life(one.owner);
        if (next_life != nullptr && !next_life->accepts) {
            next_life = nullptr;
        }
        key_position first = one.keys.first;
        while (first <= one.keys.last) {
            lease piece;
            piece.keys = {first, one.keys.last};
            const candidate* target = next_life;
            if (one.destination && this->find_candidate(*one.destination) != nullptr &&
                this->find_candidate(*one.destination)->accepts) {
                target = this->find_candidate(*one.destination);
            }
            if (target == nullptr) {
                target = this->least_loaded(sums);
                const double limit = share * target->weight * piece_of_share;
                double sum = 0;
                key_position bucket = first / keys_per_bucket;
                const key_position last_bucket = one.keys.last / keys_per_bucket;
                for (; bucket < last_bucket; ++bucket) {
                    sum += load.request_rate({bucket * keys_per_bucket, bucket * keys_per_bucket});
                    if (sum >= limit) {
                        break;
                    }
                }
                piece.keys.last = std::min(one.keys.last, (bucket + 1) * keys_per_bucket - 1);
            }
            piece.owner = target->instance;
            piece.handover = one.handover;
            sums[target->instance] += load.request_rate(piece.keys);
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
    // Orders may have been recorded since the plan was made: leases that were not reassigned keep
    // their present state.
    for (lease& one : planned) {
        const lease* const present = this->find(one.id);
        if (present != nullptr) {
            one = *present;
        } else {
            one.next_send = now;
        }
    }
    this->leases = std::move(planned);
    this->merge_neighbours(now);
}

void lease_manager::restore_owners(time_point now) {
    if (this->pending) {
        return;
    }
    for (lease& one : this->leases) {
        const candidate* const owner = this->find_candidate(one.owner);
        if (one.state != phase::free || owner == nullptr || !owner->accepts) {
            continue;
        }
        one.state = phase::held;
        one.confirmed = false;
        one.routable = false;
        one.destination.reset();
        one.failures = 0;
        one.connect_failures = 0;
        one.fence = this->next_fence;
        one.next_send = now;
    }
    this->next_fence = this->next_fence.next();
}

void lease_manager::merge_neighbours(time_point now) {
    std::vector<lease> merged;
    for (lease& one : this->leases) {
        const auto settled = [](const lease& other) {
            return other.state == phase::held && !other.in_flight && !other.destination &&
                   other.confirmed && other.failures == 0;
        };
        if (!merged.empty() && merged.back().owner == one.owner && settled(merged.back()) &&
            settled(one)) {
            lease& whole = merged.back();
            whole.keys.last = one.keys.last;
            whole.fence = this->next_fence;
            whole.next_send = now;
            whole.ends = std::max(whole.ends, one.ends);
            whole.unanswered_until = std::max(whole.unanswered_until, one.unanswered_until);
            this->next_fence = this->next_fence.next();
        } else {
            merged.push_back(std::move(one));
        }
    }
    this->leases = std::move(merged);
}

lease_manager::lease& lease_manager::split(lease& whole, key_position first_of_second) {
    lease second = whole;
    second.id = lease_id(++this->last_id);
    second.keys.first = first_of_second;
    if (second.in_flight && second.flight_of == lease_id{}) {
        // The order under way covers both parts, and so does its answer.
        second.flight_of = whole.id;
    }
    whole.keys.last = first_of_second - 1;
    const auto position = std::find_if(this->leases.begin(), this->leases.end(),
                                       [&whole](const lease& one) { return one.id == whole.id; });
    return *this->leases.insert(std::next(position), std::move(second));
}

void lease_manager::balance(const key_load& load, time_point now) {
    if (this->pending) {
        return;
    }
    this->merge_neighbours(now);
    if (load.total() < this->settings.min_balance_load) {
        return;
    }
    for (std::size_t round = 0; round < this->settings.max_balance_moves; ++round) {
        const auto moving = static_cast<std::size_t>(
            std::count_if(this->leases.begin(), this->leases.end(),
                          [](const lease& one) { return one.destination.has_value(); }));
        if (moving >= this->settings.max_balance_moves || !this->balance_once(load, now)) {
            return;
        }
    }
}

bool lease_manager::balance_once(const key_load& load, time_point now) {
    const auto sums = this->loads(load);
    const double share = load.total() / std::max(this->accepting_weight(), 1e-9);
    const auto ratio = [&sums, share](const candidate& one) {
        return sums.at(one.instance) / (share * one.weight);
    };
    const candidate* hottest = nullptr;
    const candidate* coldest = nullptr;
    for (const candidate& one : this->candidates) {
        if (!one.accepts) {
            continue;
        }
        if (hottest == nullptr || ratio(one) > ratio(*hottest)) {
            hottest = &one;
        }
        if (coldest == nullptr || ratio(one) < ratio(*coldest)) {
            coldest = &one;
        }
    }
    if (hottest == nullptr || hottest == coldest ||
        ratio(*hottest) - ratio(*coldest) < least_gain ||
        (ratio(*hottest) < this->settings.overload_ratio &&
         ratio(*coldest) > 1 / (this->settings.overload_ratio * this->settings.overload_ratio))) {
        return false;
    }
    // The load whose move makes both equal.
    const double wanted = (sums.at(hottest->instance) * coldest->weight -
                           sums.at(coldest->instance) * hottest->weight) /
                          (hottest->weight + coldest->weight);
    std::vector<std::pair<double, lease_id>> sources;
    for (const lease& one : this->leases) {
        if (one.owner == hottest->instance && one.state == phase::held && one.confirmed &&
            !one.destination) {
            sources.emplace_back(load.request_rate(one.keys), one.id);
        }
    }
    std::sort(sources.rbegin(), sources.rend());
    for (const auto& [source_load, id] : sources) {
        if (source_load < wanted * least_part) {
            break;
        }
        lease* const moved = source_load > wanted ? this->cut(id, wanted, load) : this->find(id);
        if (moved != nullptr) {
            moved->destination = coldest->instance;
            moved->state = phase::releasing;
            moved->next_send = now + this->settings.release_delay;
            return true;
        }
    }
    return this->move_indivisible(sources, *hottest, sums, load, now);
}

/// Splits off the part at the lower end whose load is nearest to `wanted`; nullptr if a single
/// bucket is larger than that.
lease_manager::lease* lease_manager::cut(lease_id id, double wanted, const key_load& load) {
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
        // The first bucket is the hot one: what follows it moves away from it.
        at = (bucket + 1) * keys_per_bucket;
        upper = true;
    }
    if (at <= source->keys.first || at > source->keys.last) {
        return nullptr;
    }
    if (upper && load.request_rate({at, source->keys.last}) < wanted * least_part) {
        return nullptr;
    }
    const lease_id second = this->split(*source, at).id;
    return this->find(upper ? second : id);
}

/// A single bucket overloads its server: it moves to a server that is faster by enough.
bool lease_manager::move_indivisible(const std::vector<std::pair<double, lease_id>>& sources,
                                     const candidate& from,
                                     const std::map<server_instance, double>& sums,
                                     const key_load& load, time_point now) {
    if (sources.empty()) {
        return false;
    }
    const double hot = sources.front().first;
    const double before = sums.at(from.instance) / from.weight;
    const candidate* best = nullptr;
    double best_after = before * worthwhile;
    for (const candidate& one : this->candidates) {
        if (one.accepts && one.instance != from.instance) {
            const double after = (sums.at(one.instance) + hot) / one.weight;
            if (after < best_after) {
                best = &one;
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
    for (const lease& one : this->leases) {
        const bool usable = one.state == phase::held && one.routable;
        const server_instance owner = usable ? one.owner : server_instance{};
        if (!current.ranges.empty() && current.ranges.back().owner == owner) {
            current.ranges.back().keys.last = one.keys.last;
        } else {
            current.ranges.push_back({one.keys, owner});
        }
    }
    return current;
}

range_table lease_manager::table() const {
    range_table current;
    for (const lease& one : this->leases) {
        current.ranges.push_back({one.keys, one.owner});
    }
    return current;
}

}  // namespace greengagechute::ranges
