// A randomized soak: real gateways as processes, stand-ins for the users' store and servers, and
// faults from outside. Prints the promises that were broken, and exits with 1 if there are any.

#include "hosts.h"
#include "servers.h"
#include "stores.h"
#include "wire/client.h"

#include <nlohmann/json.hpp>
#include <popt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace greengagechute;
using namespace greengagechute::soak;

struct soak_options {
    std::string program;
    std::string seeds = "1";
    int seconds = 20;
    int gateways = 4;
    int servers = 6;
    int basic = 0;
    int silence_and_crash = 0;
    int places = 0;
    int nothing_else = 0;
};

constexpr milliseconds request_every{5};
constexpr milliseconds caller_deadline{1'200};
/// Gateways take keys and callers after about two seconds.
constexpr milliseconds warm_up{3'000};
/// The platform asks for recovery within this time of the last fault (`recoveryS`).
constexpr milliseconds recovery{15'000};
constexpr milliseconds judged_at_end{4'000};
constexpr double served_at_end = 0.95;
constexpr std::uint32_t keys = 65'536;
/// Requests that were passed on and whose connection was closed without an answer, per run: the
/// platform's rules allow three.
constexpr int most_cut = 3;

/// The limit for an answer without end is 16 MiB; the rest may lie in socket buffers.
constexpr std::size_t most_poured = std::size_t{26} << 20U;
constexpr int not_found = 404;
/// `stableWindowS` and `configApplyS` of the users.
constexpr milliseconds stable_window{3'000};
constexpr milliseconds configuration_bound{2'000};
constexpr milliseconds configuration_check_interval{100};
/// A crashing request comes again and again, each time through another gateway.
constexpr milliseconds crashing_request_interval{300};
constexpr int crashing_request_repeats = 30;
constexpr int nested_levels = 20'000;

/// Silences and crashing requests are drawn from a sequence of their own, so that they do not
/// change the other faults of a seed.
constexpr unsigned long silence_seed_offset = 1'000'003;

/// Restored stores of one run.
constexpr int most_restores = 2;
/// Of each promise.
constexpr int most_printed = 8;
constexpr std::uint16_t claim_port = 6'999;

/// Runs with different seeds go on at the same time on their own addresses.
std::string loopback_of(unsigned long seed) {
    constexpr unsigned long parts = 250;
    return "127." + std::to_string(1 + seed % parts) + "." + std::to_string(seed / parts % parts) +
           ".1";
}

/// One seeded run.
class soak_run {
public:
    soak_run(const soak_options& given, unsigned long given_seed)
        : options(given),
          seed(given_seed),
          random(given_seed),
          silence_random(given_seed + silence_seed_offset),
          directory(std::filesystem::temp_directory_path() /
                    ("greengagechute-soak-" + std::to_string(::getpid()) + "-" +
                     std::to_string(given_seed))) {
        std::filesystem::create_directories(this->directory);
        for (int number = 0; number < given.servers; ++number) {
            this->add_server(number % 3 == 2 ? "plain" : "keyed");
        }
        for (int number = 0; number < given.gateways; ++number) {
            this->gateways.push_back(std::make_unique<gateway_host>(
                this->loop, given.program, this->directory.string(), loopback_of(given_seed),
                number, this->store.port()));
        }
    }

    /// True if no promise was broken.
    bool run() {
        if (this->claim.open({loopback_of(this->seed), claim_port})) {
            std::printf("seed %lu: BROKEN off, another run has its address\n", this->seed);
            return false;
        }
        this->seen.sent_in_touch = [this](const std::string& request) {
            const auto sender = this->crash_senders.find(request);
            return sender == this->crash_senders.end() || this->in_touch(*sender->second);
        };
        this->write_configuration();
        for (const auto& server : this->servers) {
            server->start();
        }
        for (const auto& gateway : this->gateways) {
            gateway->start();
        }
        const milliseconds faults = milliseconds(this->options.seconds * 1'000);
        this->loop.call_after(warm_up, [this] {
            this->ask();
            if (this->options.nothing_else == 0) {
                this->next_fault();
            }
            if (this->options.silence_and_crash != 0) {
                // Gateways whose connections go silent are not judged for a while, so that some
                // seeds play only one of the two.
                const unsigned long share = this->seed % 3;
                if (share != 2) {
                    this->silence_connections();
                }
                if (share != 1) {
                    this->begin_crashing_request();
                }
                this->check_configuration();
            }
            if (this->options.places != 0) {
                this->evacuate();
            }
        });
        this->loop.call_after(warm_up + faults, [this] { this->heal(); });
        this->loop.call_after(warm_up + faults + recovery, [this] { this->judging = true; });
        this->loop.call_after(warm_up + faults + recovery + judged_at_end, [this] {
            this->asking = false;
            this->ask_for_configuration();
            this->loop.call_after(2 * caller_deadline, [this] { this->loop.stop(); });
        });
        this->watch_processes();
        this->loop.run();
        this->check_end();
        return this->report();
    }

private:
    void add_server(const std::string& service) {
        this->servers.push_back(std::make_unique<keyed_server>(
            this->loop, this->store, this->seen, this->random,
            "i-" + std::to_string(this->seed) + "-" + std::to_string(this->servers.size()), service,
            this->zone_of(this->servers.size()), this->servers));
        if (this->options.places != 0) {
            this->servers.back()->set_uneven();
        }
    }

    /// With places: one server in three is in a zone that is evacuated at times, one in nine in a
    /// region where only keyed requests may run.
    std::string zone_of(std::size_t number) const {
        if (this->options.places == 0) {
            return "a";
        }
        return number % 9 == 5 ? "c" : number % 3 == 1 ? "b" : "a";
    }

    /// A zone is evacuated for some seconds; its servers come back cold half of the times.
    void evacuate() {
        if (this->healing) {
            return;
        }
        this->note("zone b is evacuated");
        this->store.put("op", "evacuate/b", "{}");
        this->seen.evacuation_changed("b", true, wire::event_loop::now());
        this->loop.call_after(milliseconds(1'000 + this->draw_silence(7'000)),
                              [this] { this->end_evacuation(); });
    }

    void end_evacuation() {
        const bool cold = this->draw_silence(2) == 0;
        this->note(cold ? "zone b is taken back, cold" : "zone b is taken back");
        for (const auto& server : this->servers) {
            if (cold && server->zone_name() == "b") {
                server->become_cold();
            }
        }
        this->store.erase("op", "evacuate/b");
        this->seen.evacuation_changed("b", false, wire::event_loop::now());
        this->loop.call_after(milliseconds(1'000 + this->draw_silence(4'000)),
                              [this] { this->evacuate(); });
    }

    int draw(int below) { return static_cast<int>(this->random() % static_cast<unsigned>(below)); }

    void note(const std::string& text) {
        const auto since =
            std::chrono::duration_cast<milliseconds>(wire::event_loop::now() - this->began);
        this->events.push_back(std::to_string(since.count()) + " ms " + text);
    }

    void write_configuration() {
        using nlohmann::json;
        const json columns{"name",           "host",     "prefix",      "kind",   "timeoutS",
                           "targetLatencyS", "priority", "maxAttempts", "service"};
        json rows = json::array();
        rows.push_back({"read", "soak", "/read/", "safe", 1, 0.3, 2, 2, "keyed"});
        rows.push_back({"credit", "soak", "/credit/", "unsafe", 1, 0.3, 1, 2, "keyed"});
        rows.push_back({"plain", "soak", "/plain/", "safe", 1, 0.3, 2, 2, "plain"});
        json all_columns = columns;
        json service_columns{"name", "healthPath", "maxConnections", "sharded"};
        json service_rows{{"keyed", "/health", 100, true}, {"plain", "/health", 100, false}};
        // Only the newest version has this route.
        const std::string newest = "v" + std::to_string(++this->version);
        rows.push_back({newest, "soak", "/" + newest + "/", "safe", 1, 0.3, 2, 2, "plain"});
        if (this->options.places != 0) {
            all_columns.push_back("allowedRegions");
            rows[2].push_back({"north"});
            rows[3].push_back({"north"});
            service_columns.push_back("warmupPerS");
            service_columns.push_back("warmupS");
            for (json& row : service_rows) {
                row.push_back(4);
                row.push_back(3);
            }
        }
        const json services{{"columns", service_columns}, {"rows", service_rows}};
        this->configuration = json{
            {"version", this->version},
            {"routes", {{"columns", all_columns}, {"rows", rows}}},
            {"services", services},
            {"limits",
             json::object()}}.dump();
        this->store.put("op", "config", this->configuration);
        this->configured_at = wire::event_loop::now();
        this->checked_gateways.clear();
    }

    /// Neither the gateway nor the store was disturbed lately.
    bool in_touch(const gateway_host& gateway) const {
        const time_point since = wire::event_loop::now() - stable_window;
        return gateway.serving() && !gateway.disturbed_since(since) &&
               this->store_disturbed_at < since;
    }

    /// Asks each gateway that is in touch for the newest route once that has to be in force.
    void check_configuration() {
        if (this->healing) {
            return;
        }
        this->loop.call_after(configuration_check_interval,
                              [this] { this->check_configuration(); });
        const time_point now = wire::event_loop::now();
        for (const auto& gateway : this->gateways) {
            if (now - this->configured_at > configuration_bound && this->in_touch(*gateway) &&
                this->checked_gateways.insert(gateway.get()).second) {
                this->check_newest_route(*gateway, "configuration in time", now);
            }
        }
    }

    void check_newest_route(gateway_host& gateway, const std::string& promise, time_point now) {
        const std::string route = "v" + std::to_string(this->version);
        wire::request message;
        message.method = "GET";
        message.target = "/" + route + "/x";
        message.headers = {{"Host", "soak"},
                           {"Request-Id", route + "-" + gateway.name() + "-in-time"},
                           {"Deadline-Ms", std::to_string(caller_deadline.count())}};
        wire::call_options call;
        call.timeout = caller_deadline;
        this->callers.send(
            gateway.front(), message, call,
            [this, &gateway, promise, route, now,
             asked_for = this->version](const wire::call_result& outcome) {
                if (asked_for == this->version && !gateway.disturbed_since(now) && !outcome.error &&
                    outcome.message.code == not_found) {
                    const auto age =
                        std::chrono::duration_cast<milliseconds>(now - this->configured_at);
                    this->seen.broken(promise, route + " is unknown to " + gateway.name() + " " +
                                                   std::to_string(age.count()) +
                                                   " ms after it was written");
                }
            });
    }

    int draw_silence(int below) {
        return static_cast<int>(this->silence_random() % static_cast<unsigned>(below));
    }

    /// Open connections go silent for good, while new ones work: between gateways and the store, or
    /// between gateways and servers. A configuration follows at once now and then.
    void silence_connections() {
        if (this->healing) {
            return;
        }
        this->loop.call_after(milliseconds(500 + this->draw_silence(5'000)),
                              [this] { this->silence_connections(); });
        const int kind = this->draw_silence(3);
        this->note(kind == 0   ? "silent connections to the store"
                   : kind == 1 ? "silent connections to servers"
                               : "silent connections to the store and to servers");
        const time_point now = wire::event_loop::now();
        this->seen.disturbed(now);
        for (const auto& gateway : this->gateways) {
            if (kind != 1 && this->draw_silence(4) != 0) {
                gateway->store_path().silence();
                gateway->disturbed(now);
            }
        }
        for (const auto& server : this->servers) {
            if (kind != 0 && this->draw_silence(4) != 0) {
                server->stop_judging_pauses();
                server->path().silence();
            }
        }
        if (this->draw_silence(2) == 0) {
            this->loop.call_after(milliseconds(50 + this->draw_silence(400)), [this] {
                if (!this->healing) {
                    this->note("configuration " + std::to_string(this->version + 1));
                    this->write_configuration();
                }
            });
        }
    }

    /// A request that ends each server that runs it comes again and again.
    void begin_crashing_request() {
        if (this->healing) {
            return;
        }
        this->loop.call_after(milliseconds(6'000 + this->draw_silence(6'000)),
                              [this] { this->begin_crashing_request(); });
        const int kind = this->draw_silence(3);
        const std::string target = std::string(kind == 0   ? "/plain"
                                               : kind == 1 ? "/read"
                                                           : "/credit") +
                                   "/crash-" + std::to_string(++this->crashing_requests_begun);
        this->note("requests for " + target + " end servers");
        this->repeat_crashing_request(target, std::to_string(this->draw_silence(keys)),
                                      crashing_request_repeats);
    }

    void repeat_crashing_request(const std::string& target, const std::string& key, int left) {
        if (left == 0 || this->healing) {
            return;
        }
        this->loop.call_after(crashing_request_interval, [this, target, key, left] {
            this->repeat_crashing_request(target, key, left - 1);
        });
        gateway_host& gateway =
            *this->gateways[static_cast<std::size_t>(left) % this->gateways.size()];
        if (!gateway.serving()) {
            return;
        }
        const std::string id = target + "-" + std::to_string(left);
        this->crash_senders[id] = &gateway;
        wire::request message;
        message.method = target.starts_with("/credit") ? "POST" : "GET";
        message.target = target;
        message.headers = {{"Host", "soak"},
                           {"Request-Id", id},
                           {"Deadline-Ms", std::to_string(caller_deadline.count())},
                           {"Shard-Key", key}};
        wire::call_options call;
        call.timeout = 2 * caller_deadline;
        this->callers.send(gateway.front(), message, call,
                           [this, id](const wire::call_result& outcome) {
                               if (!outcome.error && outcome.message.code == 503) {
                                   this->refused.push_back(id);
                               }
                           });
    }

    /// Asks each gateway for the route of the newest configuration and for one that it removed.
    void ask_for_configuration() {
        for (const auto& gateway : this->gateways) {
            for (const std::uint64_t asked_for : {this->version, this->version - 1}) {
                const std::string route = "v" + std::to_string(asked_for);
                wire::request message;
                message.method = "GET";
                message.target = "/" + route + "/x";
                message.headers = {{"Host", "soak"},
                                   {"Request-Id", route + "-" + gateway->name()},
                                   {"Deadline-Ms", std::to_string(caller_deadline.count())}};
                wire::call_options call;
                call.timeout = caller_deadline;
                const bool newest = asked_for == this->version;
                this->callers.send(
                    gateway->front(), message, call,
                    [this, newest,
                     detail = route + " at " + gateway->name()](const wire::call_result& outcome) {
                        if (outcome.error || (outcome.message.code == not_found) == newest) {
                            this->seen.broken(
                                "newest configuration",
                                detail + " got " +
                                    (outcome.error ? outcome.error.message()
                                                   : std::to_string(outcome.message.code)));
                        }
                    });
            }
        }
    }

    /// Sends one request to a gateway, and goes on.
    void ask() {
        if (!this->asking) {
            return;
        }
        this->loop.call_after(request_every, [this] { this->ask(); });
        std::vector<gateway_host*> targets;
        for (const auto& gateway : this->gateways) {
            if (gateway->serving()) {
                targets.push_back(gateway.get());
            }
        }
        if (targets.empty()) {
            return;
        }
        gateway_host* const target =
            targets[static_cast<std::size_t>(this->draw(static_cast<int>(targets.size())))];
        const int kind = this->draw(4);
        wire::request message;
        message.method = kind == 0 ? "POST" : "GET";
        message.target = kind == 0 ? "/credit/x" : kind == 1 ? "/plain/x" : "/read/x";
        const std::string id = std::to_string(this->seed) + "-" + std::to_string(++this->asked);
        message.headers = {{"Host", "soak"},
                           {"Request-Id", id},
                           {"Deadline-Ms", std::to_string(caller_deadline.count())},
                           {"Shard-Key", std::to_string(this->random() % keys)}};
        wire::call_options call;
        call.timeout = 2 * caller_deadline;
        this->seen.statements().asked(id, target->name(), wire::event_loop::now());
        this->callers.send(target->front(), message, call,
                           [this, id, target, sent = wire::event_loop::now(),
                            judged = this->judging](const wire::call_result& outcome) {
                               this->check_answer(id, *target, sent, judged, outcome);
                           });
    }

    void check_answer(const std::string& id, const gateway_host& target, time_point sent,
                      bool judged, const wire::call_result& outcome) {
        this->asked_at_end += judged ? 1 : 0;
        if (outcome.error) {
            const bool passed_on = this->seen.runs_of(id) > 0;
            if (passed_on && outcome.error != wire::wire_errc::timeout && !target.cut_since(sent) &&
                !this->seen.was_spoiled(id)) {
                ++this->cut;
                this->note("request " + id + " cut by " + target.name());
            }
            return;
        }
        const std::string* const server = wire::find_header(outcome.message.headers, "Served-By");
        if (server != nullptr &&
            wire::find_header(outcome.message.headers, "Server-Leaving") != nullptr) {
            this->seen.statements().passed_on_leaving(id, *server, wire::event_loop::now());
        }
        const int code = outcome.message.code;
        if (code == 200) {
            const std::string* signature =
                wire::find_header(outcome.message.headers, "Response-Signature");
            if (signature == nullptr || *signature != "signed " + id ||
                !outcome.message.body.starts_with(id + " at ")) {
                this->seen.broken("whole answer", "request " + id + " got another answer");
            }
            this->served_in_end += judged ? 1 : 0;
        } else if (code == 503 || code == 429 || code == 408 || code == 421) {
            this->refused.push_back(id);
        }
    }

    void next_fault() {
        if (this->healing) {
            return;
        }
        this->loop.call_after(milliseconds(150 + this->draw(900)), [this] { this->next_fault(); });
        gateway_host& host = *this->gateways[static_cast<std::size_t>(
            this->draw(static_cast<int>(this->gateways.size())))];
        keyed_server& server = *this->servers[static_cast<std::size_t>(
            this->draw(static_cast<int>(this->servers.size())))];
        switch (this->draw(this->options.basic != 0 ? 14 : 20)) {
            case 0:
                this->restart_killed(host);
                break;
            case 1:
                this->restart_stopped(host);
                break;
            case 2:
                this->pause(host);
                break;
            case 3:
                if (host.serving()) {
                    this->note("SIGHUP " + host.name());
                    host.hang_up();
                }
                break;
            case 4:
                this->disturb(host.store_path(), "store path of " + host.name(), &host);
                break;
            case 5:
                server.stop_judging_pauses();
                this->disturb(server.path(), "path of " + server.name());
                break;
            case 6:
                this->disturb_store();
                break;
            case 7:
                this->crash(server);
                break;
            case 8:
                this->freeze(server);
                break;
            case 9:
                this->drain(server);
                break;
            case 10:
                if (this->servers.size() < 3 * static_cast<std::size_t>(this->options.servers)) {
                    this->add_server(this->draw(3) == 0 ? "plain" : "keyed");
                    this->note("new server " + this->servers.back()->name());
                    this->servers.back()->start();
                }
                break;
            case 11:
                this->note("configuration " + std::to_string(this->version + 1));
                this->write_configuration();
                break;
            case 12:
                this->note("a row that is no server");
                this->store.put("servers", "i-broken", "{\"address\":7");
                break;
            case 13:
                for (const auto& each : this->gateways) {
                    if (this->draw(2) == 0) {
                        this->restart_killed(*each);
                    }
                }
                break;
            case 14:
                this->spoil(server, server_defect::repeats_refusals);
                break;
            case 15:
                this->spoil(server, server_defect::endless_answers);
                break;
            case 16:
                this->write_odd_row();
                break;
            case 17:
                this->spoil(server, server_defect::asks_pauses);
                break;
            default:
                this->restore_store();
                break;
        }
    }

    void restart_killed(gateway_host& host) {
        if (host.serving()) {
            this->note("SIGKILL " + host.name());
            host.kill();
            this->seen.statements().excuse_gateway(host.name());
            this->seen.disturbed(wire::event_loop::now());
            this->loop.call_after(milliseconds(100 + this->draw(1'500)), [&host] { host.start(); });
        }
    }

    void restart_stopped(gateway_host& host) {
        if (host.serving()) {
            this->note("SIGTERM " + host.name());
            host.terminate();
            this->seen.statements().excuse_gateway(host.name());
            this->restart_when_gone(host);
        }
    }

    void restart_when_gone(gateway_host& host) {
        this->loop.call_after(milliseconds(50), [this, &host] {
            if (host.gone()) {
                this->seen.statements().excuse_gateway(host.name());
                host.start();
            } else {
                this->restart_when_gone(host);
            }
        });
    }

    void pause(gateway_host& host) {
        if (!host.serving()) {
            return;
        }
        const milliseconds time(200 + this->draw(4'000));
        this->note("SIGSTOP " + host.name() + " for " + std::to_string(time.count()) + " ms");
        host.pause(true);
        this->seen.statements().excuse_gateway(host.name());
        this->seen.disturbed(wire::event_loop::now());
        this->loop.call_after(time, [this, &host] {
            if (host.paused()) {
                host.pause(false);
                this->seen.statements().excuse_gateway(host.name());
                this->seen.forgive(wire::event_loop::now());
                this->seen.disturbed(wire::event_loop::now());
            }
        });
    }

    /// @param host  the gateway whose way to the store it is; nullptr for a path to a server
    void disturb(proxy& path, const std::string& name, gateway_host* host = nullptr) {
        const auto note_disturbed = [this, host] {
            this->seen.disturbed(wire::event_loop::now());
            if (host != nullptr) {
                host->disturbed(wire::event_loop::now());
            }
        };
        proxy_fault fault;
        const int kind = this->draw(5);
        if (kind == 0) {
            this->note("reset " + name);
            path.reset();
            note_disturbed();
            return;
        }
        fault.delay = milliseconds(kind == 1 ? 20 + this->draw(300) : 0);
        fault.drops_forward = kind == 2 || kind == 4;
        fault.drops_backward = kind == 3 || kind == 4;
        this->note(name + (kind == 1   ? " delayed"
                           : kind == 2 ? " cut forward"
                           : kind == 3 ? " cut backward"
                                       : " silent"));
        path.set_fault(fault);
        note_disturbed();
        this->loop.call_after(milliseconds(500 + this->draw(4'000)), [this, &path, note_disturbed] {
            path.set_fault({});
            this->seen.forgive(wire::event_loop::now());
            note_disturbed();
        });
    }

    void note_store_disturbed() {
        this->store_disturbed_at = wire::event_loop::now();
        this->seen.disturbed(this->store_disturbed_at);
    }

    void disturb_store() {
        static constexpr std::array modes{store_mode::busy, store_mode::silent, store_mode::lossy};
        const int mode = this->draw(3);
        this->note(mode == 0 ? "store busy" : mode == 1 ? "store silent" : "store loses answers");
        this->store.set_mode(modes.at(static_cast<std::size_t>(mode)));
        this->note_store_disturbed();
        this->loop.call_after(milliseconds(500 + this->draw(5'000)), [this] {
            this->store.set_mode(store_mode::normal);
            this->note_store_disturbed();
        });
    }

    void restore_store() {
        const milliseconds age(500 + this->draw(11'500));
        const milliseconds outage(200 + this->draw(2'800));
        const bool busy = this->draw(2) == 0;
        // The store is back before the recovery time begins.
        const time_point end = this->began + warm_up + milliseconds(this->options.seconds * 1'000);
        if (this->restores == most_restores || this->store.is_away() ||
            wire::event_loop::now() + outage > end) {
            return;
        }
        ++this->restores;
        this->note_store_disturbed();
        this->note("store away for " + std::to_string(outage.count()) + " ms, " +
                   (busy ? "busy" : "silent") + ", then restored from a copy of " +
                   std::to_string(age.count()) + " ms");
        this->store.restore(age, outage, busy ? store_mode::busy : store_mode::silent, [this] {
            this->note("store is back");
            this->note_store_disturbed();
            this->loop.call_after(milliseconds(20 + this->draw(200)),
                                  [this] { this->store.put("op", "config", this->configuration); });
            for (const auto& server : this->servers) {
                this->loop.call_after(milliseconds(20 + this->draw(200)),
                                      [&server = *server] { server.register_again(); });
            }
        });
    }

    void spoil(keyed_server& server, server_defect defect) {
        this->note(server.name() + (defect == server_defect::endless_answers
                                        ? " begins answers without end"
                                    : defect == server_defect::asks_pauses ? " asks for pauses"
                                                                           : " repeats refusals"));
        server.set_defect(defect);
        this->loop.call_after(milliseconds(500 + this->draw(4'000)),
                              [&server] { server.set_defect(server_defect::none); });
    }

    void write_odd_row() {
        const auto entry = [](const std::string& address, const std::string& slots) {
            return R"({"address":)" + address + R"(,"born":1,"info":{"service":"plain",)" +
                   R"("version":"v1","zone":"a","slots":)" + slots +
                   R"(},"status":{"state":"ready","sequence":1,"warmupLeftS":0}})";
        };
        const int kind = this->draw(3);
        this->note(kind == 0   ? "a server's row with deep nesting"
                   : kind == 1 ? "a server's row with a number too large"
                               : "a server's row with a port out of range");
        const std::string address = R"("127.0.0.1:1")";
        this->store.put(
            "servers", "i-odd-" + std::to_string(kind),
            kind == 0
                ? entry(std::string(nested_levels, '[') + std::string(nested_levels, ']'), "3")
            : kind == 1 ? entry(address, "1e999")
                        : entry(R"("127.0.0.1:70000")", "3"));
    }

    void crash(keyed_server& server) {
        if (server.up()) {
            this->note("crash of " + server.name());
            server.crash();
            this->loop.call_after(milliseconds(300 + this->draw(4'000)), [&server] {
                if (!server.up()) {
                    server.start();
                }
            });
        }
    }

    void freeze(keyed_server& server) {
        if (server.up()) {
            this->note("freeze of " + server.name());
            server.freeze(true);
            this->loop.call_after(milliseconds(300 + this->draw(4'000)),
                                  [&server] { server.freeze(false); });
        }
    }

    void drain(keyed_server& server) {
        const auto staying = std::count_if(this->servers.begin(), this->servers.end(),
                                           [](const auto& one) { return one->up(); });
        if (!server.up() || staying <= this->options.servers / 2) {
            return;
        }
        this->note("drain of " + server.name());
        server.say_leaving();
        const milliseconds notice(this->draw(2) == 0 ? 0 : 300 + this->draw(1'200));
        this->loop.call_after(notice, [&server] {
            if (server.up()) {
                server.set_draining();
            }
        });
        this->loop.call_after(notice + milliseconds(300 + this->draw(2'000)), [&server] {
            if (server.up()) {
                server.leave();
            }
        });
        this->loop.call_after(notice + milliseconds(3'500), [&server] {
            if (server.up()) {
                server.crash();
            }
        });
        this->loop.call_after(milliseconds(9'000), [&server] {
            if (!server.up()) {
                server.start();
            }
        });
    }

    void heal() {
        this->healing = true;
        this->seen.disturbed(wire::event_loop::now());
        this->note("no more faults");
        this->store.set_mode(store_mode::normal);
        for (const auto& server : this->servers) {
            server->path().set_fault({});
            server->freeze(false);
            server->set_defect(server_defect::none);
            if (!server->up()) {
                server->start();
            }
        }
        for (const auto& gateway : this->gateways) {
            gateway->store_path().set_fault({});
            if (gateway->paused()) {
                gateway->pause(false);
            }
        }
        this->seen.forgive(wire::event_loop::now());
    }

    void watch_processes() {
        for (const auto& gateway : this->gateways) {
            if (gateway->ended_by_itself()) {
                this->seen.broken("processes go on", gateway->name() + " ended by itself");
                gateway->start();
            }
        }
        this->loop.call_after(milliseconds(50), [this] { this->watch_processes(); });
    }

    void check_end() {
        for (const std::string& id : this->refused) {
            if (this->seen.runs_of(id) > 0) {
                this->seen.broken("not run", "request " + id + " was refused and has run");
            }
        }
        for (const auto& server : this->servers) {
            const std::size_t of_heads = server->path().most_of_heads();
            const std::size_t of_bodies = server->path().most_of_bodies();
            if (std::max(of_heads, of_bodies) > most_poured) {
                this->seen.broken("answers without end",
                                  "of " + server->name() + ", bytes taken of one head " +
                                      std::to_string(of_heads) + ", of one body " +
                                      std::to_string(of_bodies));
            }
        }
        if (this->cut > most_cut) {
            this->seen.broken("no cut", std::to_string(this->cut) + " requests were cut");
        }
        if (this->served_in_end < served_at_end * this->asked_at_end) {
            this->seen.broken("recovery", std::to_string(this->served_in_end) + " of " +
                                              std::to_string(this->asked_at_end) +
                                              " requests served after the recovery time");
        }
    }

    bool report() {
        const bool good = this->seen.violations().empty();
        std::printf(
            "seed %lu: %d requests, %zu refused, %d of %d served at the end, %zu faults: %s\n",
            this->seed, this->asked, this->refused.size(), this->served_in_end, this->asked_at_end,
            this->events.size(), good ? "kept" : "BROKEN");
        if (this->options.silence_and_crash != 0) {
            std::printf("  crashing requests: %s\n", this->seen.crashes().summary().c_str());
        }
        if (good) {
            std::filesystem::remove_all(this->directory);
            return true;
        }
        for (const std::string& event : this->events) {
            std::printf("  %s\n", event.c_str());
        }
        std::map<std::string, int> counts;
        for (const std::string& violation : this->seen.violations()) {
            if (++counts[violation.substr(0, violation.find(':'))] <= most_printed) {
                std::printf("  broken %s\n", violation.c_str());
            }
        }
        for (const auto& [promise, count] : counts) {
            std::printf("  in all %d times: %s\n", count, promise.c_str());
        }
        std::printf("  logs: %s\n", this->directory.c_str());
        return false;
    }

    soak_options options;
    unsigned long seed;
    std::mt19937_64 random;
    std::mt19937_64 silence_random;
    std::filesystem::path directory;
    wire::event_loop loop;
    /// Holds the address of this seed, so that two runs do not mix.
    wire::listener claim{loop, [](const std::shared_ptr<wire::stream>&) {}};
    row_store store{loop};
    observer seen;
    std::vector<std::unique_ptr<keyed_server>> servers;
    std::vector<std::unique_ptr<gateway_host>> gateways;
    wire::client callers{loop, {}};
    time_point began = wire::event_loop::now();
    std::vector<std::string> events;
    std::vector<std::string> refused;
    std::uint64_t version = 0;
    std::string configuration;
    int restores = 0;
    int asked = 0;
    int cut = 0;
    int asked_at_end = 0;
    int served_in_end = 0;
    time_point store_disturbed_at;
    time_point configured_at;
    /// Gateways that were asked for the newest configuration in time.
    std::set<const gateway_host*> checked_gateways;
    int crashing_requests_begun = 0;
    /// The gateway to which each request was sent that ends servers.
    std::map<std::string, const gateway_host*> crash_senders;
    bool asking = true;
    bool judging = false;
    bool healing = false;
};

}  // namespace

int main(int argc, const char** argv) {
    soak_options options;
    char* program = nullptr;
    char* seeds = nullptr;
    const poptOption table[] = {
        {"program", 'p', POPT_ARG_STRING, &program, 0, "gateway to run", "FILE"},
        {"seeds", 's', POPT_ARG_STRING, &seeds, 0, "seeds, separated by commas (1)", "LIST"},
        {"seconds", 't', POPT_ARG_INT, &options.seconds, 0, "time with faults (20)", "S"},
        {"gateways", 'g', POPT_ARG_INT, &options.gateways, 0, "gateways (4)", "N"},
        {"servers", 'n', POPT_ARG_INT, &options.servers, 0, "servers (6)", "N"},
        {"basic", 'b', POPT_ARG_NONE, &options.basic, 0,
         "no restored store, faulty answers or odd rows", nullptr},
        {"silence-and-crash", 'm', POPT_ARG_NONE, &options.silence_and_crash, 0,
         "also silent connections, and requests that end servers", nullptr},
        {"places", 'e', POPT_ARG_NONE, &options.places, 0,
         "also evacuated zones, bound regions, cold and uneven servers", nullptr},
        {"nothing-else", 'o', POPT_ARG_NONE, &options.nothing_else, 0,
         "with --silence-and-crash or --places: no other faults", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("soak", argc, argv, table, 0);
    const int code = poptGetNextOpt(context);
    poptFreeContext(context);
    if (code < -1 || program == nullptr) {
        std::fprintf(stderr, "soak: --program is needed; see --help\n");
        return 2;
    }
    options.program = program;
    options.seeds = seeds != nullptr ? seeds : options.seeds;
    std::free(program);
    std::free(seeds);
    bool kept = true;
    std::istringstream list(options.seeds);
    for (std::string seed; std::getline(list, seed, ',');) {
        kept = soak_run(options, std::stoul(seed)).run() && kept;
        std::fflush(stdout);
    }
    return kept ? 0 : 1;
}
