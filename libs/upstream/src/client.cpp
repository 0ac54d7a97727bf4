#include "upstream/client.h"

#include "http/errors.h"
#include "upstream/errors.h"
#include "upstream/protocol.h"

#include <utility>

namespace greengagechute::upstream {

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

class http_client final : public client {
public:
    http_client(http::client& work_client, http::client& order_client,
                const client_settings& settings_of_client)
        : work_connections(work_client),
          order_connections(order_client),
          settings(settings_of_client) {}

    void send_grant(const http::endpoint& server, const ownership::grant& order,
                    report_callback done) override {
        http::request message;
        message.method = "POST";
        message.path = grant_path;
        message.headers = {{"content-type", "application/json"}};
        message.body = encode(order);
        this->send_order(server, std::move(message), std::move(done));
    }

    void request_status(const http::endpoint& server, report_callback done) override {
        http::request message;
        message.method = "GET";
        message.path = status_path;
        this->send_order(server, std::move(message), std::move(done));
    }

    run_id run(const http::endpoint& server, work order, work_handlers handlers) override;

    void cancel(run_id run) override { this->work_connections.cancel(run); }

    void cancel_work(const http::endpoint& server, request_id request) override {
        http::request message;
        message.method = "POST";
        message.path = cancel_path;
        message.headers = {{"x-request-id", std::to_string(request.value())}};
        http::exchange_handlers handlers;
        handlers.on_head = [](int, const http::header_list&) {};
        handlers.on_body = [](std::string_view) {};
        handlers.on_complete = [] {};
        handlers.on_failed = [](std::error_code, http::sent_state) {};
        this->order_connections.send(server, std::move(message), this->settings.order_timeout,
                                     std::move(handlers));
    }

    void pause(run_id run) override { this->work_connections.pause(run); }
    void resume(run_id run) override { this->work_connections.resume(run); }

private:
    void send_order(const http::endpoint& server, http::request message, report_callback done) {
        struct exchange {
            int status = 0;
            std::string body;
            report_callback done;
        };
        const auto state = std::make_shared<exchange>();
        state->done = std::move(done);
        http::exchange_handlers handlers;
        handlers.on_head = [state](int status_code, const http::header_list&) {
            state->status = status_code;
        };
        handlers.on_body = [state](std::string_view part) { state->body += part; };
        handlers.on_complete = [state] {
            if (state->status != status_ok && state->status != status_conflict) {
                state->done(make_error_code(upstream_errc::unexpected_status));
                return;
            }
            state->done(decode_report(state->body));
        };
        handlers.on_failed = [state](std::error_code cause, http::sent_state) {
            state->done(cause);
        };
        this->order_connections.send(server, std::move(message), this->settings.order_timeout,
                                     std::move(handlers));
    }

    http::client& work_connections;
    http::client& order_connections;
    const client_settings settings;
};

http::request make_request(work& order) {
    http::request message;
    message.method = std::move(order.method);
    const std::size_t question = order.target.find('?');
    message.path = order.target.substr(0, question);
    if (question != std::string::npos) {
        message.query = order.target.substr(question + 1);
    }
    message.headers = std::move(order.headers);
    std::erase_if(message.headers, [](const http::header& field) {
        return field.name == "x-key" || field.name == "idempotency-key";
    });
    if (!order.key.empty()) {
        message.headers.push_back({"x-key", std::move(order.key)});
    }
    if (order.partition) {
        message.headers.push_back(
            {"x-partition", std::to_string(order.partition->partition.value())});
        message.headers.push_back({"x-epoch", std::to_string(order.partition->current.value())});
    }
    message.headers.push_back(
        {"x-dispatcher-epoch", std::to_string(order.dispatcher_epoch.value())});
    message.headers.push_back({"x-deadline-ms", std::to_string(order.deadline.count())});
    message.headers.push_back({"x-request-id", std::to_string(order.request.value())});
    if (!order.idempotency_key.empty()) {
        message.headers.push_back({"idempotency-key", std::move(order.idempotency_key)});
    }
    message.body = std::move(order.body);
    return message;
}

client::run_id http_client::run(const http::endpoint& server, work order, work_handlers handlers) {
    struct exchange {
        work_handlers handlers;
        std::string not_run;
    };
    const auto state = std::make_shared<exchange>();
    state->handlers = std::move(handlers);
    const milliseconds deadline = order.deadline;
    http::exchange_handlers callbacks;
    callbacks.on_head = [state](int status_code, const http::header_list& headers) {
        state->not_run = std::string(http::find_header(headers, "x-not-run"));
        if (state->not_run.empty()) {
            state->handlers.on_head(status_code, headers);
        }
    };
    callbacks.on_body = [state](std::string_view part) {
        if (state->not_run.empty()) {
            state->handlers.on_body(part);
        }
    };
    callbacks.on_complete = [state] {
        if (state->not_run.empty()) {
            state->handlers.on_complete();
        } else {
            state->handlers.on_not_run(state->not_run);
        }
    };
    callbacks.on_failed = [state](std::error_code cause, http::sent_state sent) {
        // A refusal whose body broke off is still the server's statement that nothing ran.
        if (state->not_run.empty()) {
            state->handlers.on_failed(cause, sent);
        } else {
            state->handlers.on_not_run(state->not_run);
        }
    };
    return this->work_connections.send(server, make_request(order), deadline, std::move(callbacks));
}

}  // namespace

std::unique_ptr<client> make_http_client(http::client& work_connections,
                                         http::client& order_connections,
                                         const client_settings& settings) {
    return std::make_unique<http_client>(work_connections, order_connections, settings);
}

}  // namespace greengagechute::upstream
