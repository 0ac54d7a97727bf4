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
constexpr int history_gone = 410;
constexpr int unavailable = 503;
constexpr milliseconds copy_every{500};
constexpr std::size_t most_copies = 26;

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
          if (this->current_mode() == store_mode::busy) {
              this->answer(request, unavailable, "");
          } else if (this->current_mode() != store_mode::silent) {
              this->loop.call_after(call_time, [this, request] { this->handle(request); });
          }
      }) {
    static_cast<void>(this->server.open({"127.0.0.1", 0}));
    this->keep_copy();
}

void row_store::answer(const std::shared_ptr<wire::incoming>& request, int code,
                       std::string body) const {
    reply(request, code, std::move(body), {{"Store-Era", std::to_string(this->era)}});
}

void row_store::keep_copy() {
    // The first configuration is written before traffic starts, so that each copy has one.
    if (this->has("op", "config")) {
        this->copies.push_back({wire::event_loop::now(), this->rows, this->version});
    }
    if (this->copies.size() > most_copies) {
        this->copies.pop_front();
    }
    this->loop.call_after(copy_every, [this] { this->keep_copy(); });
}

void row_store::restore(milliseconds age, milliseconds outage, store_mode during,
                        std::function<void()> returned) {
    if (this->away || this->copies.empty()) {
        return;
    }
    this->away = during;
    for (const watcher& one : std::exchange(this->watchers, {})) {
        if (during == store_mode::busy) {
            this->answer(one.request, unavailable, "");
        }
    }
    const time_point newest = wire::event_loop::now() - age;
    this->loop.call_after(outage, [this, newest, returned = std::move(returned)] {
        this->return_with(newest);
        returned();
    });
}

void row_store::return_with(time_point newest) {
    // Copies of the lost history are lost with it.
    while (this->copies.size() > 1 && this->copies.back().made > newest) {
        this->copies.pop_back();
    }
    this->rows = this->copies.back().rows;
    this->version = this->copies.back().version;
    ++this->era;
    this->away.reset();
}

void row_store::handle(const std::shared_ptr<wire::incoming>& request) {
    const std::string& target = request->message().target;
    if (this->away) {
        // The call arrived just before the store went away.
        if (*this->away == store_mode::busy) {
            this->answer(request, unavailable, "");
        }
        return;
    }
    if (target.starts_with("/greengagechute/rows-tx")) {
        this->transact(request);
    } else if (target.starts_with("/greengagechute/rows-feed") &&
               number(parameter(target, "after")) > this->version) {
        this->answer(request, history_gone, "");
    } else if (target.starts_with("/greengagechute/rows-feed")) {
        this->watchers.push_back(
            {request, parameter(target, "table"), number(parameter(target, "after"))});
        // The handlers of the platform's store end a poll without changes after its time.
        const milliseconds wait(static_cast<std::int64_t>(number(parameter(target, "waitMs"))));
        this->loop.call_after(wait, [this, request, table = parameter(target, "table")] {
            const std::size_t ended = std::erase_if(
                this->watchers, [&](const watcher& one) { return one.request == request; });
            if (ended > 0) {
                this->answer(request, ok, this->content(table, this->version, false));
            }
        });
        this->answer_watchers();
    } else {
        this->answer(request, ok, this->content(parameter(target, "table"), 0, true));
    }
}

void row_store::transact(const std::shared_ptr<wire::incoming>& request) {
    const json body = json::parse(request->message().body);
    for (const json& expected : body["expected"]) {
        const auto found = this->rows.find({expected["table"], expected["key"]});
        const bool exists = found != this->rows.end() && !found->second.removed;
        if ((exists ? found->second.version : 0) != expected["ver"].get<std::uint64_t>()) {
            this->answer(request, conflict,
                         json{{"rows", json::array()}, {"ver", this->version}}.dump());
            return;
        }
    }
    ++this->version;
    for (const json& next : body["setKeys"]) {
        row& target = this->rows[{next["table"], next["key"]}];
        target = {next["value"], this->version, false};
    }
    this->answer_watchers();
    if (this->current_mode() != store_mode::lossy) {
        this->answer(request, ok, json{{"ver", this->version}}.dump());
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

bool row_store::has(const std::string& table, const std::string& key) const {
    const auto found = this->rows.find({table, key});
    return found != this->rows.end() && !found->second.removed;
}

void row_store::answer_watchers() {
    std::erase_if(this->watchers, [this](const watcher& one) {
        const bool changed =
            std::any_of(this->rows.begin(), this->rows.end(), [&one](const auto& entry) {
                return entry.first.first == one.table && entry.second.version > one.after;
            });
        if (changed) {
            this->answer(one.request, ok, this->content(one.table, one.after, false));
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
