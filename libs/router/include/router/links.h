#pragma once

#include "base/result.h"
#include "peer/messages.h"
#include "peer/transport.h"

#include <functional>
#include <string>
#include <vector>

namespace greengagechute::router {

/// A message from another daemon, or from a task of this one.
struct delivery {
    peer::sender from;
    peer::message content;
};

/// The task that handles a message.
enum class task_name { entry, dispatch, control };

/// The receiving task of each type of message.
task_name receiver_of(const peer::message& content);

/// Passes messages to tasks of this daemon and to other daemons.
class links {
public:
    /// Puts a delivery into the mailbox of a task; false if the mailbox is full. Thread-safe.
    using local_delivery = std::function<bool(task_name, delivery)>;

    links(const host_instance& self, local_delivery deliver_local);

    /// Sets the transport; before any task runs.
    void set_transport(peer::transport* transport_of_daemon);

    /// Sends to the daemon at `address`, which may be this one. Thread-safe.
    /// Errors: those of `peer::transport::send`, `router_errc::overloaded` if the mailbox of the
    /// task of this daemon is full. With an error, nothing was sent.
    status send(const std::string& address, peer::message content) const;

    /// Sends several messages in order; they share frames, which costs less than one by one.
    /// Errors: those of `send`; for another daemon none of the messages was sent then.
    status send_all(const std::string& address, std::vector<peer::message> contents) const;

    /// Passes a message that arrived to its task. Thread-safe.
    void receive(const peer::sender& from, peer::message content) const;

    /// Whether the daemon at `address` is connected; true for this daemon.
    bool connected(const std::string& address) const;

    /// Address of this daemon's peer listener.
    const std::string& self_address() const { return this->own_address; }

    peer::transport_counters counters() const;

private:
    host_instance self;
    local_delivery deliver;
    peer::transport* transport = nullptr;
    std::string own_address;
};

}  // namespace greengagechute::router
