#pragma once

#include "wire/loop.h"
#include "wire/stream.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::soak {

/// A server names a defect of its answer in this header; the proxy before it removes the header and
/// changes the bytes.
constexpr const char* defect_header = "Soak-Defect";

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
    /// Loses what is sent on the open connections from now on, without closing them; new ones work.
    void silence();
    /// The most bytes that left towards one caller in an answer whose head, or body, has no end.
    std::size_t most_of_heads() const { return this->taken_of_heads; }
    std::size_t most_of_bodies() const { return this->taken_of_bodies; }

private:
    struct pair {
        std::shared_ptr<wire::stream> near;
        std::shared_ptr<wire::stream> far;
        /// Bytes of it were lost: nothing may follow them.
        bool silent = false;
        /// An earlier refusal that is still to be written once more.
        std::string repeated;
        bool endless = false;
        std::size_t written = 0;
    };

    void accept(std::shared_ptr<wire::stream> near);
    void pass(const std::weak_ptr<pair>& connection, bool forward, std::string_view bytes);
    static void close(pair& connection);
    /// Carries out the defect that the server has asked for in its answer.
    std::string spoil(const std::shared_ptr<pair>& open, std::string text);
    void repeat(const std::weak_ptr<pair>& connection);
    void pour(const std::weak_ptr<pair>& connection, bool chunked);

    wire::event_loop& loop;
    wire::endpoint target;
    wire::endpoint own;
    bool listening = true;
    proxy_fault fault;
    std::vector<std::shared_ptr<pair>> pairs;
    std::size_t taken_of_heads = 0;
    std::size_t taken_of_bodies = 0;
    wire::listener listener;
};

}  // namespace greengagechute::soak
