#pragma once

#include "fakes.h"
#include "gateway/catalogue.h"
#include "gateway/directory.h"
#include "gateway/front.h"
#include "telemetry/logger.h"
#include "telemetry/metrics.h"
#include "wire/client.h"
#include "wire/server.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace greengagechute::gateway::testing {

/// Longest time for which a test waits for the end of a request.
inline constexpr milliseconds test_limit{8'000};

/// Server that answers with a given handler and counts its requests.
class fake_server {
public:
    using handler = std::function<void(const std::shared_ptr<wire::incoming>&)>;

    fake_server(wire::event_loop& loop, handler act)
        : server(loop, [this, act = std::move(act)](const std::shared_ptr<wire::incoming>& asked) {
              ++this->requests;
              this->last = asked->message();
              act(asked);
          }) {
        BOOST_REQUIRE(!this->server.open({"127.0.0.1", 0}));
    }

    wire::endpoint address() const { return {"127.0.0.1", this->server.port()}; }

    int requests = 0;
    wire::request last;

private:
    wire::server server;
};

inline void reply(const std::shared_ptr<wire::incoming>& asked, int code, const std::string& body,
                  bool is_signed, bool not_run = false) {
    wire::response message;
    message.code = code;
    message.reason = "Reason";
    message.body = body;
    const std::string* id = wire::find_header(asked->message().headers, "Own-Id");
    message.headers.push_back({"Own-Id", id != nullptr ? *id : ""});
    if (is_signed) {
        message.headers.push_back({"Own-Signature", "s"});
    }
    if (not_run) {
        message.headers.push_back({"Own-Not-Run", "1"});
    }
    asked->answer(std::move(message));
}

/// A front with an undivided service `plain` and a divided service `keys`.
struct front_fixture {
    wire::event_loop loop;
    wire::client upstreams{loop, {}};
    std::shared_ptr<telemetry::logger> log;
    telemetry::metrics numbers;
    std::unique_ptr<::greengagechute::gateway::front> front;
    std::unique_ptr<wire::server> entry;
    directory servers{directory_settings{}};

    front_fixture() {
        telemetry::logger_options options;
        options.minimum = telemetry::level::error;
        this->log = *telemetry::logger::create(options);
        front_settings settings;
        settings.data_centre = data_centre_id("dc");
        settings.regions = {{data_centre_id("dc"), region_id("home")},
                            {data_centre_id("dc2"), region_id("home")},
                            {data_centre_id("far"), region_id("away")}};
        this->front = std::make_unique<::greengagechute::gateway::front>(
            this->loop, this->upstreams, *this->log, this->numbers, make_header_names(), settings,
            1);
        this->entry = std::make_unique<wire::server>(
            this->loop,
            [this](const std::shared_ptr<wire::incoming>& asked) { this->front->accept(asked); });
        BOOST_REQUIRE(!this->entry->open({"127.0.0.1", 0}));
        auto content = std::make_shared<catalogue>();
        content->version = 1;
        content->services[service_id("plain")] = {service_id("plain"), false, 10};
        content->services[service_id("keys")] = {service_id("keys"), true, 10};
        const auto add = [&content](const std::string& prefix, request_kind kind,
                                    const std::string& service, int attempts) {
            route made;
            made.name = prefix;
            made.host = "h";
            made.prefix = prefix;
            made.kind = kind;
            made.max_attempts = attempts;
            made.priority = prefix == "/keys/" ? 1 : 0;
            made.timeout = milliseconds{2'000};
            made.services.push_back({service_id(service), 1});
            content->routes.push_back(made);
        };
        add("/safe/", request_kind::safe, "plain", 2);
        add("/unsafe/", request_kind::unsafe, "plain", 2);
        add("/keys/", request_kind::safe, "keys", 2);
        add("/unsafe-keys/", request_kind::unsafe, "keys", 2);
        add("/bound/", request_kind::safe, "plain", 2);
        content->routes.back().allowed_regions = {region_id("home")};
        add("/bound-keys/", request_kind::safe, "keys", 2);
        content->routes.back().allowed_regions = {region_id("home")};
        content->services[service_id("frail")] = {service_id("frail"), false, 10, 5.0,
                                                  milliseconds{3'000}};
        add("/frail/", request_kind::safe, "frail", 2);
        add("/timed-keys/", request_kind::safe, "keys", 2);
        content->routes.back().target_latency = milliseconds{1'000};
        index_routes(*content);
        this->front->set_catalogue(content);
    }

    void add(const std::string& id, const std::string& service, const wire::endpoint& address,
             const std::string& data_centre = "dc", milliseconds warmup_left = milliseconds{0}) {
        server_entry entry_of_server;
        entry_of_server.life = {server_id(id), 1};
        entry_of_server.service = service_id(service);
        entry_of_server.address = address;
        entry_of_server.data_centre = data_centre_id(data_centre);
        entry_of_server.warmup_left = warmup_left;
        entry_of_server.slots = 2;
        this->servers.apply({{server_id(id), entry_of_server, {}}}, {}, wire::event_loop::now());
        this->front->set_servers(this->servers, wire::event_loop::now(), wire::event_loop::now());
    }

    evacuation_table evacuations;

    void evacuate(const std::string& data_centre, bool evacuated) {
        const time_point now = wire::event_loop::now();
        apply(this->evacuations,
              {{data_centre_id(data_centre), evacuated, {0, this->evacuations.version.number + 1}}},
              now);
        this->front->set_evacuations(this->evacuations, now);
    }

    void set_owner(const std::string& id) {
        this->front->set_owners(service_id("keys"),
                                ranges::range_table{{{{}, {server_id(id), 1}}}});
    }

    wire::call_result ask(const std::string& method, const std::string& target,
                          const std::string& deadline = "1000", const std::string& key = "",
                          const std::string& body = "") {
        wire::client caller(this->loop, {});
        wire::request message;
        message.method = method;
        message.target = target;
        message.body = body;
        message.headers = {{"Host", "h"}, {"Own-Id", "r1"}, {"Own-Deadline", deadline}};
        if (!key.empty()) {
            message.headers.push_back({"Own-Key", key});
        }
        wire::call_options options;
        options.timeout = test_limit;
        wire::call_result result;
        caller.send({"127.0.0.1", this->entry->port()}, message, options,
                    [this, &result](wire::call_result outcome) {
                        result = std::move(outcome);
                        this->loop.stop();
                    });
        const auto limit = this->loop.call_after(test_limit, [this] { this->loop.stop(); });
        this->loop.run();
        this->loop.cancel(limit);
        return result;
    }
};

}  // namespace greengagechute::gateway::testing
