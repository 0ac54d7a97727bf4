#include "admin_calls.h"

#include "base/clock.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "router/signature.h"

#include <algorithm>
#include <chrono>

namespace greengagechute::ctl {

namespace {

constexpr std::size_t largest_answer = 256UL * 1024 * 1024;

call_answer call_host(const http::endpoint& host, http::request message, milliseconds timeout) {
    call_answer answer;
    answer.host = host;
    http::event_loop loop;
    const auto client = http::client::create(loop, {});
    http::exchange_handlers handlers;
    handlers.on_head = [&](int status, const http::header_list&) { answer.status = status; };
    handlers.on_body = [&](std::string_view part) {
        if (answer.body.size() + part.size() > largest_answer) {
            answer.state = call_state::unknown;
            loop.stop();
            return;
        }
        answer.body += part;
    };
    handlers.on_complete = [&] {
        answer.state = call_state::answered;
        loop.stop();
    };
    handlers.on_failed = [&](std::error_code cause, http::sent_state sent) {
        answer.cause = cause;
        answer.state =
            sent == http::sent_state::never_sent ? call_state::unreachable : call_state::unknown;
        loop.stop();
    };
    client->send(host, std::move(message), timeout, std::move(handlers));
    loop.run();
    return answer;
}

}  // namespace

call_answer call_hosts(const std::vector<http::endpoint>& hosts, const http::request& message,
                       const std::string& operator_key, time_point deadline) {
    constexpr milliseconds shortest_try{100};
    call_answer last;
    bool may_have_been_sent = false;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        const milliseconds share = left / static_cast<std::int64_t>(hosts.size() - index);
        last = call_host(hosts[index],
                         operator_key.empty()
                             ? message
                             : router::sign_request(message, operator_key, wall_now()),
                         std::max(share, shortest_try));
        if (last.state == call_state::answered) {
            return last;
        }
        may_have_been_sent = may_have_been_sent || last.state == call_state::unknown;
    }
    last.state = may_have_been_sent ? call_state::unknown : call_state::unreachable;
    return last;
}

}  // namespace greengagechute::ctl
