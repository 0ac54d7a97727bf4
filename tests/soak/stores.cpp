#include "stores.h"

#include "base64.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace greengagechute::soak {

namespace {

using nlohmann::json;

constexpr milliseconds call_time{4};
constexpr int ok = 200;
constexpr int conflict = 412;
constexpr int unavailable = 503;

std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t begin = target.find(name + "=");
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t value = begin + name.size() + 1;
    return target.substr(value, target.find('&', value) - value);
}

std::uint64_t number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

void reply(const std::shared_ptr<wire::incoming>& request, int code, std::string body,
           wire::header_list headers) {
    wire::response message;
    message.code = code;
    message.reason = "Reason";
    message.body = std::move(body);
    message.headers = std::move(headers);
    request->answer(std::move(message));
}

row_store::row_store(wire::event_loop& own_loop)
    : loop(own_loop), server(own_loop, [this](const std::shared_ptr<wire::incoming>& request) {
          if (this->mode == store_mode::busy) {
              reply(request, unavailable, "");
          } else if (this->mode != store_mode::silent) {
              this->loop.call_after(call_time, [this, request] { this->handle(request); });
          }
      }) {
    static_cast<void>(this->server.open({"127.0.0.1", 0}));
}

void row_store::handle(const std::shared_ptr<wire::incoming>& request) {
    const std::string& target = request->message().target;
    if (target.starts_with("/greengagechute/rows-tx")) {
        this->transact(request);
    } else if (target.starts_with("/greengagechute/rows-feed")) {
        this->watchers.push_back(
            {request, parameter(target, "table"), number(parameter(target, "after"))});
        // The handlers of the platform's store end a poll without changes after its time.
        const milliseconds wait(static_cast<std::int64_t>(number(parameter(target, "waitMs"))));
        this->loop.call_after(wait, [this, request, table = parameter(target, "table")] {
            std::erase_if(this->watchers,
                          [&](const watcher& one) { return one.request == request; });
            if (!request->answered()) {
                reply(request, ok, this->content(table, this->version, false));
            }
        });
        this->answer_watchers();
    } else {
        reply(request, ok, this->content(parameter(target, "table"), 0, true));
    }
}

void row_store::transact(const std::shared_ptr<wire::incoming>& request) {
    const json body = json::parse(request->message().body);
    for (const json& expected : body["expected"]) {
        const auto found = this->rows.find({expected["table"], expected["key"]});
        const bool exists = found != this->rows.end() && !found->second.removed;
        if ((exists ? found->second.version : 0) != expected["ver"].get<std::uint64_t>()) {
            reply(request, conflict, json{{"rows", json::array()}, {"ver", this->version}}.dump());
            return;
        }
    }
    ++this->version;
    for (const json& next : body["setKeys"]) {
        row& target = this->rows[{next["table"], next["key"]}];
        target = {next["value"], this->version, false};
    }
    this->answer_watchers();
    if (this->mode != store_mode::lossy) {
        reply(request, ok, json{{"ver", this->version}}.dump());
    }
}

void row_store::change(const row_name& name, std::string value, bool removed) {
    this->rows[name] = {std::move(value), ++this->version, removed};
    this->answer_watchers();
}

void row_store::put(const std::string& table, const std::string& key, const std::string& value) {
    this->change({table, key}, adapter::encode_base64(value), false);
}

void row_store::erase(const std::string& table, const std::string& key) {
    this->change({table, key}, "", true);
}

void row_store::answer_watchers() {
    std::erase_if(this->watchers, [this](const watcher& one) {
        const bool changed =
            std::any_of(this->rows.begin(), this->rows.end(), [&one](const auto& entry) {
                return entry.first.first == one.table && entry.second.version > one.after;
            });
        if (changed) {
            reply(one.request, ok, this->content(one.table, one.after, false));
        }
        return changed;
    });
}

std::string row_store::content(const std::string& table, std::uint64_t after, bool whole) const {
    json list = json::array();
    for (const auto& [name, entry] : this->rows) {
        if (name.first != table || entry.version <= after || (whole && entry.removed)) {
            continue;
        }
        json next{
            {"table", name.first}, {"part", ""}, {"key", name.second}, {"ver", entry.version}};
        if (entry.removed) {
            next["removed"] = true;
        } else {
            next["value"] = entry.value;
        }
        list.push_back(std::move(next));
    }
    return json{{"rows", std::move(list)}, {"ver", this->version}, {"nowS", 0}, {"hasMore", false}}
        .dump();
}

}  // namespace greengagechute::soak
