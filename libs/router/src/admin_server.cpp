#include "router/admin_server.h"

#include "base/clock.h"
#include "base/uuid.h"
#include "release/note.h"
#include "router/errors.h"
#include "router/signature.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace greengagechute::router {

namespace {

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int unavailable = 503;

constexpr std::string_view notes_prefix = "/admin/notes/";

void respond_json(http::response_writer& writer, int status_code, std::string_view body) {
    http::respond(writer, status_code, {{"content-type", "application/json"}}, body);
}

void respond_error(http::response_writer& writer, int status_code, std::error_code code) {
    const nlohmann::json body{{"code", code.value()}, {"message", code.message()}};
    respond_json(writer, status_code, body.dump());
}

std::string_view name_of(release::submission_state state) {
    switch (state) {
        case release::submission_state::accepted:
            return "accepted";
        case release::submission_state::in_force:
            return "in_force";
        case release::submission_state::refused:
            return "refused";
        case release::submission_state::pending:
            break;
    }
    return "pending";
}

int status_of(const release::submission_answer& answer) {
    switch (answer.state) {
        case release::submission_state::in_force:
            return ok;
        case release::submission_state::refused:
            return conflict;
        case release::submission_state::accepted:
        case release::submission_state::pending:
            break;
    }
    return accepted;
}

}  // namespace

std::string encode(const release::submission_answer& answer) {
    nlohmann::json body{{"submission_id", answer.submission},
                        {"state", name_of(answer.state)},
                        {"revision", answer.number.value()}};
    if (answer.code) {
        body["code"] = answer.code.value();
        body["message"] = answer.code.message();
    }
    if (!answer.detail.empty()) {
        body["detail"] = answer.detail;
    }
    return body.dump();
}

admin_server::admin_server(http::event_loop& loop_of_task, std::string key, admin_hooks functions)
    : loop(loop_of_task), operator_key(std::move(key)), hooks(std::move(functions)) {}

status admin_server::start(const http::endpoint& listen) {
    http::server_limits limits;
    limits.body_bytes = release::max_note_text;
    auto created = http::server::create(
        this->loop, listen, limits,
        [this](const http::request& message, const std::shared_ptr<http::response_writer>& writer) {
            this->handle(message, writer);
        });
    if (!created) {
        return created.error();
    }
    this->server = std::move(*created);
    return {};
}

void admin_server::handle(const http::request& message,
                          const std::shared_ptr<http::response_writer>& writer) {
    if (message.method == "POST") {
        this->handle_order(message, writer);
        return;
    }
    if (message.path == "/ready") {
        const bool ready = this->hooks.ready();
        http::respond(*writer, ready ? ok : unavailable, {{"content-type", "text/plain"}},
                      ready ? "ready\n" : "not ready\n");
    } else if (message.path == "/metrics") {
        http::respond(*writer, ok, {{"content-type", "text/plain; version=0.0.4"}},
                      this->hooks.metrics_text());
    } else if (message.path == "/state") {
        this->hooks.dump([writer](const std::string& text) { respond_json(*writer, ok, text); });
    } else if (message.path == "/admin/status") {
        this->hooks.status([writer](const std::string& text) { respond_json(*writer, ok, text); });
    } else if (message.path.starts_with(notes_prefix)) {
        this->find(std::string_view(message.path).substr(notes_prefix.size()), writer);
    } else {
        respond_error(*writer, not_found, make_error_code(router_errc::not_found));
    }
}

void admin_server::find(std::string_view submission,
                        const std::shared_ptr<http::response_writer>& writer) {
    std::string id(submission);
    std::ranges::transform(id, id.begin(), [](char character) {
        const bool upper = character >= 'A' && character <= 'Z';
        return upper ? static_cast<char>(character - 'A' + 'a') : character;
    });
    const std::error_code unknown = make_error_code(router_errc::unknown_submission);
    if (!uuid7_time(id)) {
        respond_error(*writer, not_found, unknown);
        return;
    }
    this->hooks.find_submission(
        std::move(id), [writer, unknown](const result<release::submission_answer>& answer) {
            if (answer) {
                respond_json(*writer, ok, encode(*answer));
            } else {
                const bool is_unknown = answer.error() == unknown;
                respond_error(*writer, is_unknown ? not_found : unavailable, answer.error());
            }
        });
}

void admin_server::handle_order(const http::request& message,
                                const std::shared_ptr<http::response_writer>& writer) {
    const status refused =
        check_order(this->operator_key, message.method, message.path,
                    http::find_header(message.headers, "x-time"), message.body,
                    http::find_header(message.headers, "x-signature"), wall_now());
    if (refused) {
        respond_error(*writer, unauthorized, refused);
    } else if (message.path == "/admin/notes") {
        this->submit(message, writer);
    } else if (message.path == "/admin/drain") {
        respond_json(*writer, accepted, R"({"state":"draining"})");
        this->hooks.drain();
    } else {
        respond_error(*writer, not_found, make_error_code(router_errc::not_found));
    }
}

void admin_server::submit(const http::request& message,
                          const std::shared_ptr<http::response_writer>& writer) {
    const auto parsed = release::parse_note(message.body);
    if (const auto* fault = std::get_if<release::note_fault>(&parsed)) {
        const nlohmann::json body{{"state", "refused"},
                                  {"code", fault->code.value()},
                                  {"message", fault->code.message()},
                                  {"detail", fault->path}};
        respond_json(*writer, bad_request, body.dump());
        return;
    }
    const auto& note = std::get<release::note>(parsed);
    this->hooks.submit(note.submission, message.body,
                       [writer](const release::submission_answer& answer) {
                           respond_json(*writer, status_of(answer), encode(answer));
                       });
}

}  // namespace greengagechute::router
