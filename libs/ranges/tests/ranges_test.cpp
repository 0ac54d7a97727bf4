#define BOOST_TEST_MODULE ranges
#include "ranges/key_load.h"
#include "ranges/lease_manager.h"
#include "ranges/range_table.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace gg = greengagechute;
namespace ranges = greengagechute::ranges;

using namespace std::chrono_literals;

namespace {

constexpr gg::time_point start{1h};

ranges::server_instance instance(const std::string& id, std::uint64_t start_time_ms = 1) {
    return {gg::server_id(id), start_time_ms};
}

std::vector<ranges::candidate> servers(std::initializer_list<std::string> ids) {
    std::vector<ranges::candidate> made;
    for (const std::string& id : ids) {
        made.push_back({instance(id), 1, true});
    }
    return made;
}

/// A keeper whose first table is stored and granted.
struct fixture {
    ranges::lease_settings settings;
    ranges::lease_manager keeper{settings, gg::epoch(100)};
    ranges::key_load load;
    gg::time_point now = start;

    explicit fixture(const std::vector<ranges::candidate>& candidates) {
        this->keeper.set_candidates(candidates, this->now);
        this->now += this->settings.registration_quiet_time;
        this->commit();
        this->answer_all(ranges::command_outcome::done);
    }

    bool commit() {
        if (!this->keeper.plan(this->load, this->now)) {
            return false;
        }
        this->keeper.on_commit_result(true, this->now);
        return true;
    }

    std::vector<ranges::lease_command> answer_all(ranges::command_outcome outcome) {
        auto orders = this->keeper.due_commands(this->now);
        for (const ranges::lease_command& what : orders) {
            this->keeper.record_outcome(what.lease, outcome, "handover", this->now);
        }
        return orders;
    }
};

const ranges::server_instance& owner(const ranges::lease_manager& keeper, ranges::key_position key,
                                     ranges::range_table& table) {
    table = keeper.table();
    return *ranges::owner_of(table, key);
}

}  // namespace

BOOST_AUTO_TEST_CASE(table_survives_its_text) {
    ranges::range_table table;
    table.ranges = {{{0, 4'095}, instance("a", 7)}, {{4'096, 65'535}, instance("b", 9)}};
    const auto read = ranges::decode(ranges::encode(table));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(ranges::owner_of(*read, 4'095)->id.value() == "a");
    BOOST_TEST(ranges::owner_of(*read, 4'096)->start_time_ms == 9U);
    // A table that leaves keys out, or names them twice, must not be used.
    for (const char* text : {"", "{}", "[[4095,\"a\",1]]", "[[9,\"a\",1],[3,\"b\",1]]",
                             "[[65536,\"a\",1]]", "[[65535,5,1]]", "[[65535,\"a\",-1]]"}) {
        BOOST_TEST(!ranges::decode(text).has_value(), text);
    }
}

// Guards against hosts that learn changes and end up with other owners than the coordinator.
BOOST_AUTO_TEST_CASE(changes_lead_to_the_same_owners) {
    std::mt19937_64 random(7);
    const auto make = [&random] {
        ranges::range_table table;
        ranges::key_position first = 0;
        while (first <= ranges::last_key) {
            const auto last = static_cast<ranges::key_position>(
                std::min<std::uint64_t>(ranges::last_key, first + random() % 9'000));
            table.ranges.push_back(
                {{first, last}, instance(std::string(1, static_cast<char>('a' + random() % 4)))});
            first = last + 1;
        }
        return table;
    };
    for (int round = 0; round < 200; ++round) {
        const ranges::range_table last = make();
        const ranges::range_table next = make();
        const ranges::range_table known =
            ranges::with_changes(last, ranges::changes_between(last, next));
        for (ranges::key_position key = 0; key <= ranges::last_key; key += 13) {
            BOOST_REQUIRE(*ranges::owner_of(known, key) == *ranges::owner_of(next, key));
        }
    }
    BOOST_TEST(ranges::changes_between(make(), {}).empty());
}

// Guards against all keys going to the servers that register first.
BOOST_AUTO_TEST_CASE(first_assignment_waits_for_registrations) {
    const ranges::lease_settings settings;
    ranges::lease_manager keeper(settings, gg::epoch(1));
    const ranges::key_load load;
    keeper.set_candidates(servers({"a", "b"}), start);
    BOOST_TEST(!keeper.plan(load, start + 100ms).has_value());
    keeper.set_candidates(servers({"a", "b", "c"}), start + 500ms);
    BOOST_TEST(!keeper.plan(load, start + 1'000ms).has_value());
    const auto table = keeper.plan(load, start + 500ms + settings.registration_quiet_time);
    BOOST_REQUIRE(table.has_value());
    BOOST_TEST(table->ranges.size() == 3U);
}

// Guards against the answer to a renewal being taken for the answer to a release: the range would
// be given away while its owner still holds it.
BOOST_AUTO_TEST_CASE(renewal_under_way_does_not_end_a_release) {
    fixture own(servers({"a", "b"}));
    own.now += own.settings.renew_interval;
    const auto renewals = own.keeper.due_commands(own.now);
    BOOST_REQUIRE(renewals.size() == 2U);
    auto draining = servers({"a", "b"});
    draining[0].accepts = false;
    own.keeper.set_candidates(draining, own.now);
    for (const ranges::lease_command& what : renewals) {
        own.keeper.record_outcome(what.lease, ranges::command_outcome::done, "", own.now);
    }
    BOOST_TEST(!own.commit());
    own.now += own.settings.release_delay;
    const auto release = own.keeper.due_commands(own.now);
    BOOST_REQUIRE(release.size() == 1U);
    BOOST_CHECK(release[0].action == ranges::lease_command::kind::release);
    own.keeper.record_outcome(release[0].lease, ranges::command_outcome::done, "warm", own.now);
    BOOST_REQUIRE(own.commit());
    const auto grants = own.keeper.due_commands(own.now);
    BOOST_REQUIRE(!grants.empty());
    BOOST_TEST(grants[0].server.id.value() == "b");
    BOOST_TEST(grants[0].handover == "warm");
    BOOST_CHECK(grants[0].fence > release[0].fence);
}

// Guards against requests that are sent to a server which has lost their key already, or has no
// grant yet: each costs a round trip and a part of the retry budget.
BOOST_AUTO_TEST_CASE(requests_are_routed_to_owners_with_a_grant) {
    fixture own(servers({"a", "b"}));
    const auto target_of = [&own](ranges::key_position key) {
        return ranges::owner_of(own.keeper.routes(), key)->id.value();
    };
    BOOST_TEST(target_of(0) == "a");
    BOOST_TEST(target_of(65'535) == "b");
    auto draining = servers({"a", "b"});
    draining[0].accepts = false;
    own.keeper.set_candidates(draining, own.now);
    BOOST_TEST(target_of(0) == "");
    BOOST_TEST(own.keeper.due_commands(own.now).empty());
    own.now += own.settings.release_delay;
    own.answer_all(ranges::command_outcome::done);
    BOOST_REQUIRE(own.commit());
    BOOST_TEST(target_of(0) == "");
    own.answer_all(ranges::command_outcome::done);
    BOOST_TEST(target_of(0) == "b");
}

// Guards against keys that stay without an owner for the whole outage of the store, because they
// were to move when it began.
BOOST_AUTO_TEST_CASE(moving_keys_go_back_while_no_table_can_be_stored) {
    fixture own(servers({"a", "b"}));
    for (int count = 0; count < 600; ++count) {
        own.load.add(static_cast<ranges::key_position>(count * 16 % 8'192));
    }
    own.keeper.balance(own.load, own.now);
    own.now += own.settings.release_delay;
    own.answer_all(ranges::command_outcome::done);
    BOOST_REQUIRE(own.keeper.plan(own.load, own.now));
    own.keeper.on_commit_result(false, own.now);
    BOOST_TEST(ranges::owner_of(own.keeper.routes(), 0)->id.value() == "");
    own.keeper.restore_owners(own.now);
    const auto grants = own.answer_all(ranges::command_outcome::done);
    BOOST_REQUIRE(!grants.empty());
    BOOST_TEST(grants[0].server.id.value() == "a");
    BOOST_TEST(grants[0].handover == "handover");
    BOOST_TEST(ranges::owner_of(own.keeper.routes(), 0)->id.value() == "a");
}

// Guards against a new coordinator that sends nobody to the owners of the one before it.
BOOST_AUTO_TEST_CASE(adopted_owners_are_routed_at_once) {
    ranges::lease_manager keeper({}, gg::epoch(100));
    keeper.adopt({{{{}, instance("a")}}}, start);
    BOOST_TEST(ranges::owner_of(keeper.routes(), 7)->id.value() == "a");
}

// Guards against a busy server keeping its keys because renewals and moves fall on the same tick.
BOOST_AUTO_TEST_CASE(keys_move_while_a_renewal_is_under_way) {
    fixture own(servers({"a", "b"}));
    for (int count = 0; count < 600; ++count) {
        own.load.add(static_cast<ranges::key_position>(count * 16 % 8'192));
    }
    own.now += own.settings.renew_interval;
    const auto renewals = own.keeper.due_commands(own.now);
    own.keeper.balance(own.load, own.now);
    for (const ranges::lease_command& what : renewals) {
        own.keeper.record_outcome(what.lease, ranges::command_outcome::done, "", own.now);
    }
    own.now += own.settings.release_delay;
    const auto orders = own.keeper.due_commands(own.now);
    BOOST_TEST(std::any_of(orders.begin(), orders.end(), [](const ranges::lease_command& what) {
        return what.action == ranges::lease_command::kind::release;
    }));
}

// Plays an even load on servers of unequal speed, and guards against the slow one getting an equal
// share: its requests would wait while others are idle.
BOOST_AUTO_TEST_CASE(slow_server_gets_less_of_an_even_load) {
    auto candidates = servers({"slow", "b", "c", "d"});
    candidates[0].weight = 0.4;
    fixture own(servers({"slow", "b", "c", "d"}));
    own.keeper.set_candidates(candidates, own.now);
    std::mt19937_64 random(1);
    std::map<std::string, int> asked;
    for (int step = 0; step < 400; ++step) {
        own.now += 50ms;
        for (int request = 0; request < 20; ++request) {
            const auto key = static_cast<ranges::key_position>(random() % 65'536);
            own.load.add(key);
            ranges::range_table table;
            if (step >= 200) {
                ++asked[owner(own.keeper, key, table).id.value()];
            }
        }
        own.load.decay(own.now);
        if (step % 10 == 0) {
            own.keeper.balance(own.load, own.now);
        }
        own.answer_all(ranges::command_outcome::done);
        own.commit();
    }
    // Its share is 0.4 of 3.4; keys move only above 1.25 of a share.
    BOOST_TEST(asked["slow"] < 4'000 * 0.4 / 3.4 * 1.4);
}

// Plays a key that gets a third of the traffic, and guards against its neighbours waiting behind it
// and against it staying at a slow server.
BOOST_AUTO_TEST_CASE(hot_key_gets_a_fast_server_and_its_neighbours_move_away) {
    constexpr ranges::key_position hot = 3'000;
    auto candidates = servers({"a", "b", "c", "fast"});
    candidates[3].weight = 2;
    fixture own(servers({"a", "b", "c", "fast"}));
    own.keeper.set_candidates(candidates, own.now);
    std::mt19937_64 random(1);
    for (int step = 0; step < 400; ++step) {
        own.now += 50ms;
        for (int request = 0; request < 20; ++request) {
            const bool to_hot = request % 3 == 0;
            own.load.add(to_hot ? hot : static_cast<ranges::key_position>(random() % 65'536));
        }
        own.load.decay(own.now);
        if (step % 10 == 0) {
            own.keeper.balance(own.load, own.now);
        }
        own.answer_all(ranges::command_outcome::done);
        own.commit();
    }
    ranges::range_table table;
    const ranges::server_instance holder = owner(own.keeper, hot, table);
    BOOST_TEST(holder.id.value() == "fast");
    double beside = 0;
    for (const ranges::range_owner& entry : table.ranges) {
        if (entry.owner == holder) {
            beside += own.load.request_rate(entry.keys);
        }
    }
    // The hot key alone is a third of the load; the fast server's share is two fifths.
    BOOST_TEST(beside < own.load.total() * 0.4 * 1.25);
}

// Guards against two owners: a silent server may run requests until its longest lease has ended.
BOOST_AUTO_TEST_CASE(silent_owner_keeps_its_keys_until_its_lease_ends) {
    fixture own(servers({"a", "b"}));
    own.now += own.settings.renew_interval;
    gg::time_point last_sent = own.now;
    for (const ranges::lease_command& what : own.keeper.due_commands(own.now)) {
        own.keeper.record_outcome(what.lease,
                                  what.server.id.value() == "a"
                                      ? ranges::command_outcome::unanswered
                                      : ranges::command_outcome::done,
                                  "", own.now);
    }
    while (own.now < last_sent + own.settings.lease_duration * 102 / 100) {
        own.now += 50ms;
        for (const ranges::lease_command& what : own.keeper.due_commands(own.now)) {
            own.keeper.record_outcome(what.lease,
                                      what.server.id.value() == "a"
                                          ? ranges::command_outcome::not_sent
                                          : ranges::command_outcome::done,
                                      "", own.now);
        }
        BOOST_TEST(!own.commit());
    }
    own.now += own.settings.lease_duration / 5;
    own.answer_all(ranges::command_outcome::done);
    BOOST_TEST(own.commit());
}

// Guards against a wait of a whole lease where the owner's process has certainly ended.
BOOST_AUTO_TEST_CASE(ended_process_frees_its_keys_at_once) {
    fixture own(servers({"a", "b"}));
    own.now += own.settings.renew_interval;
    for (const ranges::lease_command& what : own.keeper.due_commands(own.now)) {
        own.keeper.record_outcome(what.lease,
                                  what.server.id.value() == "a" ? ranges::command_outcome::ended
                                                                : ranges::command_outcome::done,
                                  "", own.now);
    }
    BOOST_TEST(own.commit());

    fixture reborn(servers({"a", "b"}));
    auto again = servers({"a", "b"});
    again[0].instance.start_time_ms = 2;
    reborn.keeper.set_candidates(again, reborn.now);
    // A renewal of the last life may have reached the next one: it has to give the keys up.
    BOOST_TEST(!reborn.commit());
    const auto releases = reborn.answer_all(ranges::command_outcome::done);
    BOOST_REQUIRE(releases.size() == 1U);
    BOOST_CHECK(releases[0].action == ranges::lease_command::kind::release);
    BOOST_TEST(releases[0].server.start_time_ms == 2U);
    BOOST_REQUIRE(reborn.commit());
    ranges::range_table table;
    BOOST_TEST(owner(reborn.keeper, 0, table).start_time_ms == 2U);
}

// Guards against leases that lapse in an outage of the store, when nobody can replace a
// coordinator, and against keys that are given away before a lease of such a time has ended.
BOOST_AUTO_TEST_CASE(leases_are_longer_while_the_store_is_away) {
    fixture own(servers({"a", "b"}));
    own.keeper.set_store_unavailable(true);
    own.now += own.settings.renew_interval;
    for (const ranges::lease_command& what : own.answer_all(ranges::command_outcome::done)) {
        BOOST_CHECK(what.lease_duration == own.settings.outage_lease_duration);
    }
    const gg::time_point renewed = own.now;
    own.keeper.set_store_unavailable(false);
    own.now += own.settings.renew_interval;
    for (const ranges::lease_command& what : own.answer_all(ranges::command_outcome::unanswered)) {
        BOOST_CHECK(what.lease_duration == own.settings.lease_duration);
    }
    while (own.now < renewed + own.settings.outage_lease_duration) {
        BOOST_REQUIRE(!own.commit());
        own.now += 50ms;
        own.answer_all(ranges::command_outcome::unanswered);
    }
    own.now += own.settings.outage_lease_duration / 10;
    own.answer_all(ranges::command_outcome::unanswered);
    BOOST_TEST(own.commit());
}

// Guards against keys that are given away while a leaving server, which takes no connections any
// more, still works on them, and against a crashed server's keys that wait for the end of its
// lease.
BOOST_AUTO_TEST_CASE(refused_connections_end_only_a_steady_server) {
    for (const bool refusal_is_conclusive : {true, false}) {
        fixture own(servers({"a", "b"}));
        auto candidates = servers({"a", "b"});
        candidates[0].refusal_is_conclusive = refusal_is_conclusive;
        own.keeper.set_candidates(candidates, own.now);
        own.now += own.settings.renew_interval;
        const gg::time_point renewed = own.now - own.settings.renew_interval;
        gg::time_point freed;
        for (int step = 0; step < 60 && freed.time_since_epoch().count() == 0; ++step) {
            for (const ranges::lease_command& what : own.keeper.due_commands(own.now)) {
                own.keeper.record_outcome(what.lease,
                                          what.server.id.value() == "a"
                                              ? ranges::command_outcome::refused
                                              : ranges::command_outcome::done,
                                          "", own.now);
            }
            if (step == 0) {
                BOOST_TEST(!own.keeper.plan(own.load, own.now));
            }
            if (own.commit()) {
                freed = own.now;
            }
            own.now += 50ms;
        }
        BOOST_REQUIRE(freed.time_since_epoch().count() != 0);
        if (refusal_is_conclusive) {
            BOOST_CHECK(freed - renewed <= own.settings.renew_interval + 200ms);
        } else {
            BOOST_CHECK(freed - renewed >= own.settings.lease_duration);
        }
    }
}

// Guards against a grant that is carried out late, after its range was released and moved.
BOOST_AUTO_TEST_CASE(release_waits_for_an_unanswered_grant) {
    fixture own(servers({"a", "b"}));
    own.now += own.settings.renew_interval;
    own.answer_all(ranges::command_outcome::unanswered);
    auto draining = servers({"a", "b"});
    draining[0].accepts = false;
    own.keeper.set_candidates(draining, own.now);
    own.now += 200ms;
    own.answer_all(ranges::command_outcome::done);
    BOOST_TEST(!own.commit());
    for (int step = 0; step < 40; ++step) {
        own.now += 50ms;
        own.answer_all(ranges::command_outcome::done);
    }
    BOOST_TEST(own.commit());
}

// Plays random orders, losses, delays and ends of servers against a model of the servers, and
// guards against two servers that hold a key at the same time.
BOOST_AUTO_TEST_CASE(no_key_has_two_owners_in_random_schedules) {
    struct held_lease {
        ranges::key_range keys;
        gg::time_point until;
        gg::epoch fence;
    };
    struct late_order {
        gg::time_point arrives;
        gg::time_point applies;
        ranges::lease_command what;
        bool answered;
    };
    for (unsigned seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        const auto chance = [&random](int in_100) {
            return static_cast<int>(random() % 100) < in_100;
        };
        const ranges::lease_settings settings;
        ranges::lease_manager keeper(settings, gg::epoch(10));
        ranges::key_load load;
        std::vector<ranges::candidate> candidates = servers({"a", "b", "c", "d"});
        std::map<std::string, std::vector<held_lease>> held;
        std::map<std::string, gg::time_point> silent_until;
        std::map<std::string, std::uint64_t> reborn;
        std::map<std::string, gg::time_point> registered_at;
        std::vector<late_order> flying;
        std::vector<std::pair<gg::time_point, ranges::lease_command>> expiring;
        // A shorter renewal may or may not cut a longer lease.
        const bool shortens = seed % 2 == 0;
        const auto apply = [&held, shortens](const ranges::lease_command& what,
                                             gg::time_point arrived) {
            auto& own = held[what.server.id.value()];
            std::vector<held_lease> kept;
            // The server's clock is two in a hundred slow.
            const auto until = what.action == ranges::lease_command::kind::grant
                                   ? arrived + what.lease_duration * 100 / 98
                                   : arrived;
            for (const held_lease& entry : own) {
                if (entry.keys.last < what.keys.first || entry.keys.first > what.keys.last) {
                    kept.push_back(entry);
                    continue;
                }
                if (entry.fence > what.fence) {
                    return ranges::command_outcome::fenced_off;
                }
                if (!shortens && what.action == ranges::lease_command::kind::grant &&
                    entry.until > until) {
                    kept.push_back({{std::max(entry.keys.first, what.keys.first),
                                     std::min(entry.keys.last, what.keys.last)},
                                    entry.until,
                                    what.fence});
                }
                if (entry.keys.first < what.keys.first) {
                    kept.push_back(
                        {{entry.keys.first, what.keys.first - 1}, entry.until, entry.fence});
                }
                if (entry.keys.last > what.keys.last) {
                    kept.push_back(
                        {{what.keys.last + 1, entry.keys.last}, entry.until, entry.fence});
                }
            }
            kept.push_back({what.keys, until, what.fence});
            own = std::move(kept);
            return ranges::command_outcome::done;
        };
        gg::time_point now = start;
        keeper.set_candidates(candidates, now);
        for (int step = 0; step < 600; ++step) {
            now += 50ms;
            for (int request = 0; request < 20; ++request) {
                load.add(static_cast<ranges::key_position>(random() % 65'536 / (1 + seed % 7)));
            }
            if (chance(2)) {
                candidates[random() % candidates.size()].accepts = chance(60);
            }
            if (chance(1)) {
                // A restart: the new life holds nothing.
                auto& server = candidates[random() % candidates.size()];
                ++reborn[server.instance.id.value()];
                held[server.instance.id.value()].clear();
                // Orders under way reach the next life, which has the same id.
                registered_at[server.instance.id.value()] =
                    now + gg::milliseconds(random() % 1'500);
            }
            if (chance(2)) {
                silent_until[candidates[random() % candidates.size()].instance.id.value()] =
                    now + gg::milliseconds(random() % 4'000);
            }
            for (ranges::candidate& server : candidates) {
                // The keeper learns of a restart after a time.
                if (now >= registered_at[server.instance.id.value()]) {
                    server.instance.start_time_ms = 1 + reborn[server.instance.id.value()];
                }
            }
            keeper.set_candidates(candidates, now);
            if (chance(3)) {
                keeper.set_store_unavailable(chance(40));
            }
            load.decay(now);
            if (step % 10 == 0) {
                keeper.balance(load, now);
            }
            std::vector<late_order> rest;
            for (const late_order& entry : flying) {
                if (entry.applies > now) {
                    rest.push_back(entry);
                    continue;
                }
                const auto outcome = apply(entry.what, entry.arrives);
                if (entry.answered) {
                    keeper.record_outcome(entry.what.lease, outcome, "", now);
                }
            }
            flying = std::move(rest);
            std::vector<std::pair<gg::time_point, ranges::lease_command>> waiting;
            for (const auto& [when, what] : expiring) {
                if (when > now) {
                    waiting.emplace_back(when, what);
                } else {
                    keeper.record_outcome(what.lease, ranges::command_outcome::unanswered, "", now);
                }
            }
            expiring = std::move(waiting);
            for (const ranges::lease_command& what : keeper.due_commands(now)) {
                const bool silent = silent_until[what.server.id.value()] > now;
                const auto leaving = std::find_if(
                    candidates.begin(), candidates.end(), [&what](const ranges::candidate& server) {
                        return server.instance == what.server && !server.accepts;
                    });
                if (leaving != candidates.end() && chance(50)) {
                    // It has closed its listener and works on.
                    leaving->refusal_is_conclusive = false;
                    keeper.set_candidates(candidates, now);
                    keeper.record_outcome(what.lease, ranges::command_outcome::refused, "", now);
                    continue;
                }
                if (silent && chance(50)) {
                    keeper.record_outcome(what.lease, ranges::command_outcome::not_sent, "", now);
                } else if (silent || chance(10)) {
                    expiring.emplace_back(now + 400ms, what);
                    if (!silent) {
                        // Arrives, is not answered, and is carried out late.
                        flying.push_back({now + 25ms,
                                          now + 25ms + gg::milliseconds(random() % 6'000), what,
                                          false});
                    }
                } else {
                    // Orders may overtake each other, and lost packets are sent again.
                    const auto arrives =
                        now + gg::milliseconds(chance(5) ? 300 : 5 + random() % 80);
                    flying.push_back({arrives, arrives, what, true});
                }
            }
            if (keeper.plan(load, now)) {
                const bool stored = chance(85);
                keeper.on_commit_result(stored, now);
                if (!stored && chance(50)) {
                    keeper.restore_owners(now);
                }
            }
            for (auto first = held.begin(); first != held.end(); ++first) {
                for (auto second = std::next(first); second != held.end(); ++second) {
                    for (const held_lease& entry : first->second) {
                        for (const held_lease& other : second->second) {
                            const bool same = entry.keys.first <= other.keys.last &&
                                              other.keys.first <= entry.keys.last &&
                                              entry.until > now && other.until > now;
                            BOOST_REQUIRE_MESSAGE(!same, "seed " << seed << " step " << step << " "
                                                                 << first->first << " and "
                                                                 << second->first << " at key "
                                                                 << entry.keys.first);
                        }
                    }
                }
            }
        }
    }
}
