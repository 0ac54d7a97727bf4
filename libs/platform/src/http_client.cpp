#include "platform/http_client.h"

#include "http/errors.h"
#include "platform/errors.h"
#include "platform/wire.h"

#include <functional>
#include <map>
#include <string_view>
#include <utility>

namespace greengagechute::platform {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_request_timeout = 408;
constexpr int status_conflict = 409;
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;

struct answer {
    int status = 0;
    std::string body;
};

// Statuses that say nothing about the effect of a request count as unavailable.
std::error_code status_error(int status) {
    if (status == status_not_found) {
        return make_error_code(platform_errc::not_found);
    }
    if (status >= status_bad_request && status < status_server_error &&
        status != status_request_timeout && status != status_too_many_requests) {
        return make_error_code(platform_errc::refused);
    }
    return make_error_code(platform_errc::unavailable);
}

std::error_code exchange_error(std::error_code cause) {
    if (cause == http::http_errc::timeout) {
        return make_error_code(platform_errc::timeout);
    }
    if (cause == http::http_errc::malformed_response) {
        return make_error_code(platform_errc::malformed_answer);
    }
    return make_error_code(platform_errc::unavailable);
}

result<commit_result> read_commit_answer(const answer& received) {
    if (received.status == status_ok || received.status == status_conflict) {
        return read_commit_result(received.body);
    }
    // A write never ends with "not found"; the answer came from something else.
    const std::error_code error = status_error(received.status);
    return error == platform_errc::not_found ? make_error_code(platform_errc::malformed_answer)
                                             : error;
}

class http_platform_client final : public client {
public:
    http_platform_client(http::client& used_exchanges, http_client_settings given)
        : exchanges(used_exchanges), settings(std::move(given)) {}

    ~http_platform_client() override {
        for (const auto& [call, exchange] : this->in_progress) {
            this->exchanges.cancel(exchange);
        }
    }

    void read_row(const std::string& key, callback<row> done) override {
        this->call<row>(get("/table/rows/" + encode_path(key)), std::move(done), read_row_body);
    }

    void read_rows(const std::string& prefix, callback<std::vector<row>> done) override {
        http::request message = get("/table/rows");
        message.query = "prefix=" + encode_path(prefix);
        this->call<std::vector<row>>(
            std::move(message), std::move(done),
            [](const answer& received) { return platform::read_rows(received.body); });
    }

    void commit(const transaction& change, callback<commit_result> done) override {
        http::request message;
        message.method = "POST";
        message.path = "/table/commit";
        message.headers = {{"Content-Type", "application/json"}};
        message.body = write_transaction(change);
        this->send<commit_result>(std::move(message), std::move(done), read_commit_answer);
    }

    void read_commit(const std::string& id, callback<commit_result> done) override {
        this->send<commit_result>(get("/table/commits/" + encode_path(id)), std::move(done),
                                  read_commit_answer);
    }

    void put_object(const std::string& name, const std::string& body,
                    callback<std::monostate> done) override {
        http::request message;
        message.method = "PUT";
        message.path = "/objects/" + encode_path(name);
        message.headers = {{"Content-Type", "application/octet-stream"}};
        message.body = body;
        this->call<std::monostate>(std::move(message), std::move(done),
                                   [](const answer&) { return std::monostate{}; });
    }

    void get_object(const std::string& name, callback<std::string> done) override {
        this->call<std::string>(get("/objects/" + encode_path(name)), std::move(done),
                                [](const answer& received) { return received.body; });
    }

    void list_hosts(callback<std::vector<listed_host>> done) override {
        this->call<std::vector<listed_host>>(
            get("/hosts"), std::move(done),
            [](const answer& received) { return platform::read_hosts(received.body); });
    }

private:
    template <typename value_type>
    using reader = std::function<result<value_type>(const answer&)>;

    static http::request get(std::string path) {
        http::request message;
        message.method = "GET";
        message.path = std::move(path);
        return message;
    }

    static result<row> read_row_body(const answer& received) {
        return platform::read_row(received.body);
    }

    // Sends a request whose only good status is 200.
    template <typename value_type>
    void call(http::request message, callback<value_type> done, reader<value_type> read) {
        this->send<value_type>(
            std::move(message), std::move(done), [read = std::move(read)](const answer& received) {
                return received.status == status_ok ? read(received)
                                                    : status_error(received.status);
            });
    }

    template <typename value_type>
    void send(http::request message, callback<value_type> done, reader<value_type> read) {
        const std::uint64_t call = ++this->last_call;
        auto received = std::make_shared<answer>();
        auto finish = std::make_shared<callback<value_type>>(std::move(done));
        http::exchange_handlers handlers;
        handlers.on_head = [received](int status, const http::header_list&) {
            received->status = status;
        };
        handlers.on_body = [this, call, received, finish](std::string_view part) {
            if (received->body.size() + part.size() <= this->settings.answer_bytes) {
                received->body += part;
                return;
            }
            this->cancel(call);
            std::exchange(*finish, nullptr)(make_error_code(platform_errc::malformed_answer));
        };
        handlers.on_complete = [this, call, received, finish, read = std::move(read)] {
            this->in_progress.erase(call);
            std::exchange(*finish, nullptr)(read(*received));
        };
        handlers.on_failed = [this, call, finish](std::error_code cause, http::sent_state) {
            this->in_progress.erase(call);
            std::exchange(*finish, nullptr)(exchange_error(cause));
        };
        this->in_progress[call] = this->exchanges.send(this->settings.platform, std::move(message),
                                                       this->settings.timeout, std::move(handlers));
    }

    void cancel(std::uint64_t call) {
        const auto found = this->in_progress.find(call);
        if (found != this->in_progress.end()) {
            const http::client::exchange_id exchange = found->second;
            this->in_progress.erase(found);
            this->exchanges.cancel(exchange);
        }
    }

    http::client& exchanges;
    http_client_settings settings;
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, http::client::exchange_id> in_progress;
};

}  // namespace

std::unique_ptr<client> make_http_client(http::client& exchanges,
                                         const http_client_settings& settings) {
    return std::make_unique<http_platform_client>(exchanges, settings);
}

}  // namespace greengagechute::platform
