#include "router/links.h"

#include "router/errors.h"

#include <type_traits>
#include <utility>
#include <variant>

namespace greengagechute::router {

namespace {

template <typename type, typename... types>
inline constexpr bool is_one_of = (std::is_same_v<type, types> || ...);

}  // namespace

task_name receiver_of(const peer::message& content) {
    return std::visit(
        [](const auto& value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (is_one_of<type, peer::answer_head, peer::answer_part, peer::answer_end,
                                    peer::refused>) {
                return task_name::entry;
            } else if constexpr (is_one_of<type, peer::forward_request, peer::forward_cancel,
                                           peer::answer_credit, peer::watch, peer::watch_ack,
                                           peer::consent_request, peer::consent_reply,
                                           peer::move_request, peer::hand_over, peer::hand_over_ack,
                                           peer::dispatch_hand_over>) {
                return task_name::dispatch;
            } else {
                return task_name::control;
            }
        },
        content);
}

links::links(const host_instance& self_of_daemon, local_delivery deliver_local)
    : self(self_of_daemon), deliver(std::move(deliver_local)) {}

void links::set_transport(peer::transport* transport_of_daemon) {
    this->transport = transport_of_daemon;
    this->own_address = transport_of_daemon->address();
}

status links::send(const std::string& address, peer::message content) const {
    if (address == this->own_address) {
        const task_name task = receiver_of(content);
        delivery local{{this->self, this->own_address}, std::move(content)};
        return this->deliver(task, std::move(local)) ? status()
                                                     : make_error_code(router_errc::overloaded);
    }
    return this->transport->send(address, content);
}

status links::send_all(const std::string& address, std::vector<peer::message> contents) const {
    if (address != this->own_address) {
        return this->transport->send_all(address, contents);
    }
    for (peer::message& content : contents) {
        if (const status failed = this->send(address, std::move(content))) {
            return failed;
        }
    }
    return {};
}

void links::receive(const peer::sender& from, peer::message content) const {
    const task_name task = receiver_of(content);
    // A full mailbox drops the message: each sender repeats it or has a deadline.
    static_cast<void>(this->deliver(task, delivery{from, std::move(content)}));
}

bool links::connected(const std::string& address) const {
    return address == this->own_address || this->transport->connected(address);
}

peer::transport_counters links::counters() const {
    return this->transport->counters();
}

}  // namespace greengagechute::router
