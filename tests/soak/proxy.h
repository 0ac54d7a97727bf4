#pragma once

#include "wire/loop.h"
#include "wire/stream.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace greengagechute::soak {

/// What a link does with bytes; the connections stay open.
struct proxy_fault {
    milliseconds delay{0};
    /// Bytes towards the target, or from it, are lost.
    bool drops_forward = false;
    bool drops_backward = false;
};

/// A loopback proxy for one address.
class proxy {
public:
    proxy(wire::event_loop& loop, wire::endpoint target);
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    wire::endpoint address() const { return this->own; }
    void set_target(const wire::endpoint& next) { this->target = next; }
    void set_fault(const proxy_fault& next) { this->fault = next; }
    /// Whether new connections are taken; otherwise they are refused, and open ones go on.
    void set_listening(bool enabled);
    /// Closes all connections.
    void reset();

private:
    struct pair {
        std::shared_ptr<wire::stream> near;
        std::shared_ptr<wire::stream> far;
        /// Bytes of it were lost: nothing may follow them.
        bool silent = false;
    };

    void accept(std::shared_ptr<wire::stream> near);
    void pass(const std::weak_ptr<pair>& connection, bool forward, std::string_view bytes);
    static void close(pair& connection);

    wire::event_loop& loop;
    wire::endpoint target;
    wire::endpoint own;
    bool listening = true;
    proxy_fault fault;
    std::vector<std::shared_ptr<pair>> pairs;
    wire::listener listener;
};

}  // namespace greengagechute::soak
