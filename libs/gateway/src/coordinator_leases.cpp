#include "admission/request_share.h"
#include "coordinator_state.h"
#include "dispatch/owner_selection.h"
#include "ranges/ownership_gap.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Mean service time of the users' requests as a multiple of their geometric mean, which a few long
/// requests do not dominate.
constexpr double mean_to_geometric_mean = 1.4;
/// Number of owner changes that are kept for incremental updates; hosts that are further behind get
/// the whole table.
constexpr std::size_t max_history = 64;
/// Bounds of a server's speed relative to the mean; a measurement outside them isn't trusted and is
/// clamped.
constexpr double min_relative_speed = 0.4;
constexpr double max_relative_speed = 2.0;

/// Mean logarithm of the service times of all servers in milliseconds; empty if none is known.
std::optional<double> mean_log_ms(const managed_service& own) {
    if (own.speeds.empty()) {
        return std::nullopt;
    }
    double sum = 0;
    for (const auto& [server, log_ms] : own.speeds) {
        sum += log_ms;
    }
    return sum / static_cast<double>(own.speeds.size());
}

/// Relative share of the load for a server: its slots, weighted by its relative speed if measured.
/// @param mean  `mean_log_ms` of the service
double weight_of(const managed_service& own, std::optional<double> mean,
                 const server_entry& entry) {
    const auto slots = static_cast<double>(std::max(1, entry.slots));
    const auto speed = own.speeds.find(entry.life.id);
    if (speed == own.speeds.end() || !mean) {
        return slots;
    }
    return slots *
           std::clamp(std::exp(*mean - speed->second), min_relative_speed, max_relative_speed);
}

/// Mean service time of a server in milliseconds, or that of all servers if it is not known; 0 if
/// none is known.
/// @param mean  `mean_log_ms` of the service
double service_ms_of(const managed_service& own, std::optional<double> mean,
                     const server_id& server) {
    const auto speed = own.speeds.find(server);
    const std::optional<double> log_ms = speed != own.speeds.end() ? speed->second : mean;
    return log_ms ? std::exp(*log_ms) * mean_to_geometric_mean : 0;
}

}  // namespace

/// Decides the limits of hot keys, and tells the hosts at once if one begins or ends.
void coordinator::state::update_limits(time_point now) {
    bool changed = false;
    for (auto& [service, own] : this->managed) {
        own.recent_load.decay(now);
        changed = this->update_limits(service, own, now) || changed;
    }
    if (changed) {
        ++this->limits_version;
    }
    if (this->knows_limits(now)) {
        this->handlers.limits_changed(this->current_limits());
    }
    if (changed) {
        this->answer_held_reports(false, now);
    }
}

/// Returns whether a limit has begun or ended.
bool coordinator::state::update_limits(const service_id& service, managed_service& own,
                                       time_point now) {
    struct owner_state {
        admission::owner_load load;
        ranges::bucket_load hottest;
    };
    std::map<server_id, owner_state> owners;
    std::map<ranges::key_position, server_id> owner_of_limited;
    const ranges::range_table table = own.keeper.table();
    for (const ranges::range_owner& entry : table.ranges) {
        owner_state& owner = owners[entry.owner.id];
        owner.load.total_per_s += own.recent_load.request_rate(entry.keys);
        ranges::bucket_load hottest = own.recent_load.hottest_bucket(entry.keys);
        for (auto limit = own.limits.lower_bound(entry.keys.first);
             limit != own.limits.end() && limit->first <= entry.keys.last; ++limit) {
            // Of a limited bucket, only what hosts send counts.
            const double rate = own.recent_load.request_rate({limit->first, limit->first});
            owner.load.total_per_s -= std::max(0.0, rate - limit->second.rate.per_s);
            owner_of_limited[limit->first] = entry.owner.id;
            hottest = hottest.first == limit->first ? ranges::bucket_load{} : hottest;
        }
        owner.hottest = hottest.per_s > owner.hottest.per_s ? hottest : owner.hottest;
    }
    const int hosts = this->live_hosts(now);
    const std::optional<double> mean = mean_log_ms(own);
    const auto load_of = [&](const server_id& server) {
        const auto owner = owners.find(server);
        admission::owner_load load =
            owner != owners.end() ? owner->second.load : admission::owner_load{};
        const server_entry* const entry = this->servers.find(server);
        load.slots = entry != nullptr ? std::max(1, entry->slots) : 1;
        load.service_ms = service_ms_of(own, mean, server);
        load.hosts = hosts;
        const auto queue = own.queues.find(server);
        load.waiting = queue != own.queues.end() && queue->second.count > 0
                           ? queue->second.sum / queue->second.count
                           : -1;
        return load;
    };
    bool changed = false;
    for (auto limit = own.limits.begin(); limit != own.limits.end();) {
        const auto owner = owner_of_limited.find(limit->first);
        admission::owner_load load =
            load_of(owner != owner_of_limited.end() ? owner->second : server_id());
        load.hottest_per_s = own.recent_load.request_rate({limit->first, limit->first});
        if (load.service_ms <= 0 || admission::is_unneeded(limit->second.rate, load)) {
            telemetry::log_info(this->log, "key_limit_ended",
                                {{"service", service.value()},
                                 {"first", limit->first},
                                 {"last", ranges::bucket_keys(limit->first).last},
                                 {"demand", load.hottest_per_s}});
            limit = own.limits.erase(limit);
            changed = true;
            continue;
        }
        if (admission::adapt(limit->second.rate, load, now) && owner != owner_of_limited.end()) {
            own.queues.erase(owner->second);
        }
        limit->second.fraction = admission::fraction_to_send(limit->second.rate, load);
        ++limit;
    }
    for (const auto& [server, owner] : owners) {
        admission::owner_load load = load_of(server);
        load.hottest_per_s = owner.hottest.per_s;
        if (server.value().empty() || load.service_ms <= 0 || !admission::needs_limit(load)) {
            continue;
        }
        bucket_limit& limit = own.limits[owner.hottest.first];
        limit.rate = admission::make_rate_limit(load, now);
        limit.fraction = admission::fraction_to_send(limit.rate, load);
        telemetry::log_info(this->log, "key_limited",
                            {{"service", service.value()},
                             {"first", owner.hottest.first},
                             {"last", ranges::bucket_keys(owner.hottest.first).last},
                             {"server", server.value()},
                             {"demand", load.hottest_per_s},
                             {"allowed", limit.rate.per_s},
                             {"fraction", limit.fraction}});
        changed = true;
    }
    return changed;
}

/// Whether this coordinator has known the load for long enough to say that there are no limits.
bool coordinator::state::knows_limits(time_point now) const {
    return now - this->coordinating_since > this->settings.limit_learning_time ||
           this->has_limits();
}

bool coordinator::state::has_limits() const {
    return std::any_of(this->managed.begin(), this->managed.end(),
                       [](const auto& entry) { return !entry.second.limits.empty(); });
}

limits_update coordinator::state::current_limits() const {
    limits_update update;
    update.version = this->limits_version;
    for (const auto& [service, own] : this->managed) {
        for (const auto& [first, limit] : own.limits) {
            update.limits[service].push_back({ranges::bucket_keys(first), limit.fraction});
        }
    }
    return update;
}

/// Takes the stored owners over. If leases may be in force that the table does not show, no key is
/// granted before they have expired.
void coordinator::state::adopt_owners(const service_id& service, managed_service& own,
                                      time_point now) {
    ranges::range_table table;
    bool verified = this->owners_verified;
    if (const stored_row* row = this->owners_row(service)) {
        if (auto stored = ranges::decode(row->value)) {
            table = std::move(*stored);
        } else {
            verified = false;
            telemetry::log_error(this->log, "owners_row_malformed",
                                 {{"service", service.value()}, {"error", stored.error()}});
        }
    }
    if (!verified) {
        // A former coordinator stops granting when it has been isolated for this long.
        own.keeper.adopt_unverified(table, this->settings.isolation_timeout, now);
    } else if (!table.ranges.empty()) {
        own.keeper.adopt(table, now);
    }
}

void coordinator::state::update_leases(const service_id& service, time_point now) {
    auto found = this->managed.find(service);
    if (found == this->managed.end()) {
        found = this->managed
                    .emplace(service, managed_service(ranges::lease_manager(this->settings.keeper,
                                                                            this->first_fence()),
                                                      this->settings.limit_load_decay))
                    .first;
        this->adopt_owners(service, found->second, now);
    }
    managed_service& own = found->second;
    // An entry of a service that is not configured may come from another writer, and says nothing
    // about the servers at its address.
    std::map<wire::endpoint, const server_entry*> newest;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (!this->config->services.contains(entry.service)) {
            continue;
        }
        const server_entry*& known = newest[entry.address];
        if (known == nullptr || known->life.start_time_ms < entry.life.start_time_ms) {
            known = &entry;
        }
    }
    for (const auto& [id, entry] : this->servers.servers()) {
        const auto user = newest.find(entry.address);
        if (user != newest.end() && user->second->life.start_time_ms > entry.life.start_time_ms &&
            this->ended.insert(entry.life).second) {
            // A newer server uses the address, so this one has ended.
            own.keeper.set_instance_ended(entry.life, now);
        }
    }
    const std::optional<double> mean = mean_log_ms(own);
    std::vector<ranges::candidate> candidates;
    std::vector<dispatch::owner_facts> facts;
    for (const auto& [id, entry] : this->servers.servers()) {
        if (entry.service == service) {
            const bool registered = !this->servers.awaits_reregistration(id);
            candidates.push_back({entry.life, weight_of(own, mean, entry), true, registered});
            dispatch::owner_facts server;
            server.weight = candidates.back().weight;
            server.region = this->region_of(entry.data_centre);
            server.leaving = entry.draining || this->ended.contains(entry.life) ||
                             this->leaving.contains(entry.life);
            server.evacuated = evacuated_since(this->evacuations, entry.data_centre).has_value();
            server.cold = now < this->cold_until(entry);
            facts.push_back(std::move(server));
        }
    }
    const std::vector<bool> selected =
        dispatch::select_owners(facts, common_regions(*this->config, service));
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].accepts = selected[index];
    }
    own.keeper.set_candidates(candidates, now);
    own.keeper.set_predecessor_leases_end(this->predecessor_leases_end());
    own.keeper.set_outage_leases(leadership::may_grant_outage_leases(this->authority, now));
    for (const ranges::lease_command& what : own.keeper.due_commands(now)) {
        this->send(service, what);
    }
    if (!own.committing && !this->needs_reassertion) {
        if (const auto table = own.keeper.plan(own.load, now)) {
            this->commit(service, *table);
        }
    }
    this->publish_routes(service, now);
}

void coordinator::state::send(const service_id& service, const ranges::lease_command& what) {
    const server_entry* entry = this->servers.find(what.server.id);
    const auto address = this->addresses.find(what.server.id);
    if (entry != nullptr) {
        this->addresses[what.server.id] = entry->address;
    } else if (address == this->addresses.end()) {
        // The address is unknown: the lease has to expire.
        this->loop.call_after(milliseconds{0}, [this, service, lease = what.lease] {
            const auto own = this->managed.find(service);
            if (own != this->managed.end()) {
                own->second.keeper.record_outcome(lease, ranges::command_outcome::not_sent, {},
                                                  wire::event_loop::now());
            }
        });
        return;
    }
    this->orders.send(
        this->addresses[what.server.id], what,
        [this, service, what, number = this->term->number](ranges::command_outcome outcome,
                                                           const std::string& handover) {
            const auto own = this->managed.find(service);
            if (!this->leading || own == this->managed.end() || this->term->number != number) {
                return;
            }
            if (outcome != ranges::command_outcome::done ||
                what.action == ranges::lease_command::kind::release) {
                telemetry::log_info(this->log,
                                    what.action == ranges::lease_command::kind::grant
                                        ? "grant_failed"
                                        : "release_ended",
                                    {{"service", service.value()},
                                     {"server", what.server.id.value()},
                                     {"first", what.keys.first},
                                     {"last", what.keys.last},
                                     {"fence", what.fence.value()},
                                     {"outcome", static_cast<int>(outcome)}});
            }
            const time_point now = wire::event_loop::now();
            own->second.keeper.record_outcome(what.lease, outcome, handover, now);
            this->publish_routes(service, now);
            if (own->second.keeper.newer_coordinator_seen()) {
                this->step_down("a server has seen a higher fence");
                this->rows.erase({std::string(term_table), std::string(term_row)});
                this->read_and_take_over();
            }
        });
}

void coordinator::state::commit(const service_id& service, const ranges::range_table& table) {
    managed_service& own = this->managed.at(service);
    own.committing = true;
    stored_row row;
    row.table = std::string(owners_table);
    row.key = service.value();
    row.version = this->version_of(owners_table, row.key);
    stored_row term_version;
    term_version.table = std::string(term_table);
    term_version.key = std::string(term_row);
    term_version.version = this->version_of(term_table, term_version.key);
    const std::vector<stored_row> expected{row, term_version};
    row.value = ranges::encode(table);
    telemetry::log_info(this->log, "owners_change",
                        {{"service", service.value()},
                         {"ranges", table.ranges.size()},
                         {"version", row.version.number}});
    this->store.commit(
        expected, {row}, call_connection::kept,
        [this, service, value = row.value](commit_outcome outcome) {
            if (!this->managed.contains(service)) {
                return;
            }
            this->store_ok =
                outcome == commit_outcome::stored || outcome == commit_outcome::conflict;
            if (outcome == commit_outcome::stored || outcome == commit_outcome::unknown) {
                this->managed.at(service).late_commit_possible = outcome == commit_outcome::unknown;
            }
            if (outcome == commit_outcome::rejected) {
                // Nothing was written: plan again after a delay.
                this->loop.call_after(commit_retry_delay, [this, service] {
                    const auto current = this->managed.find(service);
                    if (current != this->managed.end()) {
                        const time_point now = wire::event_loop::now();
                        current->second.committing = false;
                        current->second.keeper.on_commit_result(false, now);
                        if (!current->second.late_commit_possible) {
                            current->second.keeper.restore_owners(now);
                        }
                    }
                });
                return;
            }
            this->verify_commit(service, value,
                                outcome == commit_outcome::unknown ? call_connection::fresh
                                                                   : call_connection::kept);
        });
}

/// Reads back which table is stored, after a commit that may have been applied.
void coordinator::state::verify_commit(const service_id& service, const std::string& value,
                                       call_connection connection) {
    this->read_rows(connection, [this, service, value](bool done) {
        if (!this->managed.contains(service)) {
            return;
        }
        const time_point now = wire::event_loop::now();
        this->store_ok = done;
        if (!done) {
            this->loop.call_after(commit_retry_delay, [this, service, value] {
                this->verify_commit(service, value, call_connection::fresh);
            });
            return;
        }
        const stored_row* const row = this->owners_row(service);
        const bool stored = row != nullptr && row->value == value;
        managed_service& own = this->managed.at(service);
        own.committing = false;
        own.keeper.on_commit_result(stored, now);
        this->publish_routes(service, now);
    });
}

/// Publishes the owners to which requests may be sent to this host and the others, if they changed.
void coordinator::state::publish_routes(const service_id& service, time_point now) {
    managed_service& own = this->managed.at(service);
    ranges::range_table table = own.keeper.routes();
    std::vector<ranges::range_owner> changes =
        own.routes.ranges.empty() ? table.ranges : ranges::changes_between(own.routes, table);
    if (changes.empty()) {
        return;
    }
    own.history.push_back(std::move(changes));
    if (own.history.size() > max_history) {
        own.history.pop_front();
    }
    ++own.version;
    if (!own.routes.ranges.empty()) {
        ranges::gap_update gaps = ranges::update_gaps(own.gaps, table, now);
        for (const ranges::ownership_gap& closed : gaps.closed) {
            telemetry::log_info(this->log, "keys_owned_again",
                                {{"service", service.value()},
                                 {"first", closed.keys.first},
                                 {"last", closed.keys.last},
                                 {"unowned", std::chrono::ceil<milliseconds>(now - closed.since)}});
        }
        own.gaps = std::move(gaps.open);
    }
    own.routes = std::move(table);
    this->known_owners[service] = own.routes;
    this->handlers.owners_changed(service, own.routes);
    this->answer_held_reports(false, now);
}

}  // namespace greengagechute::gateway
