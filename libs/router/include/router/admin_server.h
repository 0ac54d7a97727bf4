#pragma once

#include "base/result.h"
#include "http/event_loop.h"
#include "http/server.h"
#include "release/rollout.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace greengagechute::router {

/// What the admin endpoints need from the daemon. All functions run on the control task's thread.
struct admin_hooks {
    std::function<bool()> ready;
    std::function<std::string()> metrics_text;
    /// The state of all tasks as JSON text.
    std::function<void(std::function<void(std::string)>)> dump;
    std::function<void(std::function<void(std::string)>)> status;
    std::function<void(std::string submission, std::string text,
                       std::function<void(release::submission_answer)>)>
        submit;
    std::function<void(std::string submission,
                       std::function<void(const result<release::submission_answer>&)>)>
        find_submission;
    std::function<void()> drain;
};

/// The operators' HTTP endpoints of a daemon.
class admin_server {
public:
    /// @param operator_key  key of the signatures of orders
    admin_server(http::event_loop& loop, std::string operator_key, admin_hooks hooks);

    /// Error: `http_errc::listen_failed`.
    status start(const http::endpoint& listen);

    std::uint16_t port() const { return this->server->port(); }

private:
    void handle(const http::request& message, const std::shared_ptr<http::response_writer>& writer);
    void handle_order(const http::request& message,
                      const std::shared_ptr<http::response_writer>& writer);
    void find(std::string_view submission, const std::shared_ptr<http::response_writer>& writer);
    void submit(const http::request& message, const std::shared_ptr<http::response_writer>& writer);

    http::event_loop& loop;
    std::string operator_key;
    admin_hooks hooks;
    std::unique_ptr<http::server> server;
};

/// The JSON form of a submission's result, as `POST /admin/notes` returns it.
std::string encode(const release::submission_answer& answer);

}  // namespace greengagechute::router
