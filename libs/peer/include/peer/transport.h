#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "peer/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace greengagechute::peer {

/// Who sent a message, as authenticated by the shared key.
struct sender {
    host_instance host;
    /// Address of the sender's listener.
    std::string address;
};

struct transport_settings {
    host_instance self;
    /// Numeric address and port to listen on, for example `127.0.0.1:7400`. Port 0 picks a free
    /// port.
    std::string listen;
    /// Shared key; empty only where plaintext is allowed on loopback.
    std::string key;
    /// Messages that may wait for one peer. Above it, `send` fails.
    std::size_t queue_length = 512;
    /// Bytes that may wait for one peer. Above it, `send` fails.
    std::size_t queue_bytes = 32UL * 1024 * 1024;
    /// Largest message sent or accepted, in bytes.
    std::size_t message_bytes = 8UL * 1024 * 1024;
    /// Time that messages to a new address may wait for the first connection.
    milliseconds connect_timeout{250};
    /// Time between two connection attempts.
    milliseconds reconnect_interval{100};
    /// Incarnations of senders that are remembered for protection against replay.
    std::size_t remembered_senders = 16UL * 1024;
};

struct transport_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t refused_malformed = 0;
    std::uint64_t refused_unauthenticated = 0;
    std::uint64_t refused_replayed = 0;
    /// Sends refused because the queue was full.
    std::uint64_t queue_full = 0;
    /// Sends refused because there was no connection.
    std::uint64_t not_connected = 0;
    /// Queued messages of which no byte was sent because the connection failed.
    std::uint64_t dropped = 0;
    /// Frames that were allocated and neither freed again nor taken by nng; 0 when nothing waits.
    std::int64_t frames_held = 0;
    /// Messages of a type that this version does not know; they are skipped.
    std::uint64_t unknown_types = 0;
    /// Tail fields that this version does not know; they are skipped.
    std::uint64_t unknown_fields = 0;
};

/// Messages between daemons over nng. Delivery is not assured; order is kept per sender and
/// connection.
class transport {
public:
    /// Runs on a thread of the transport; hands the message over and returns at once.
    using receiver = std::function<void(const sender&, message)>;

    /// Called with a message that `send` accepted but of which no byte was sent, because the
    /// connection attempt failed, or the connection broke or was closed by `forget` while the
    /// message waited. Runs on a thread of the transport. It must return at once and must not
    /// call the transport. It is not called while the transport ends.
    using drop_handler = std::function<void(const std::string& address, message)>;

    /// Errors: `peer_errc::listen_failed`, `key_required`.
    static result<std::unique_ptr<transport>> create(const transport_settings& settings,
                                                     receiver on_message,
                                                     drop_handler on_dropped = {});
    virtual ~transport() = default;

    /// The address in use.
    virtual std::string address() const = 0;

    /// Sends without waiting. Thread-safe.
    ///
    /// The first messages to an address wait in the queue until its first connection is open, at
    /// most for `connect_timeout`; after that they are dropped. While the peer is down, `send`
    /// fails and connection attempts go on. Errors: `peer_errc::not_connected` (nothing was sent; a
    /// connection attempt is under way), `queue_full` (nothing was sent), `malformed_address`,
    /// `message_too_large`, `key_required` (an address outside loopback and no key).
    virtual status send(const std::string& address, const message& content) = 0;

    /// Sends several messages in order. They share frames, which costs less than one by one.
    /// Errors: those of `send`; then none of the messages was sent. The default implementation
    /// calls `send` for each and stops at the first error.
    virtual status send_all(const std::string& address, std::span<const message> contents);

    /// Whether a connection to that address is open. Thread-safe.
    virtual bool connected(const std::string& address) const = 0;

    /// Closes the connection to an address that is not in use any more, or whose connection has
    /// gone silent; the next `send` opens a new one. Waiting messages are dropped. The connection
    /// is closed on another thread. Thread-safe.
    virtual void forget(const std::string& address) = 0;

    virtual transport_counters counters() const = 0;
};

}  // namespace greengagechute::peer
