#include "peer/transport.h"

#include "address.h"
#include "connection.h"
#include "peer/codec.h"
#include "peer/errors.h"
#include "peer/replay_filter.h"
#include "worker.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <new>
#include <span>
#include <thread>
#include <utility>
#include <vector>

namespace greengagechute::peer {

namespace {

struct live_counters {
    std::atomic<std::uint64_t> messages_sent = 0;
    std::atomic<std::uint64_t> messages_received = 0;
    std::atomic<std::uint64_t> bytes_sent = 0;
    std::atomic<std::uint64_t> bytes_received = 0;
    std::atomic<std::uint64_t> refused_malformed = 0;
    std::atomic<std::uint64_t> refused_unauthenticated = 0;
    std::atomic<std::uint64_t> refused_replayed = 0;
    std::atomic<std::uint64_t> queue_full = 0;
    std::atomic<std::uint64_t> not_connected = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::int64_t> frames_held = 0;
    std::atomic<std::uint64_t> unknown_types = 0;
    std::atomic<std::uint64_t> unknown_fields = 0;
};

/// The sockets and state of a transport. Helper threads that close sockets share it.
class transport_core final : public std::enable_shared_from_this<transport_core> {
public:
    transport_core(transport_settings given, transport::receiver message_handler,
                   transport::drop_handler dropped_handler)
        : settings(std::move(given)),
          on_message(std::move(message_handler)),
          on_dropped(std::move(dropped_handler)),
          codes(this->settings.key),
          seen(this->settings.remembered_senders) {}

    ~transport_core() {
        nng_close(this->listener_socket);
        nng_aio_free(this->receive_operation);
    }
    transport_core(const transport_core&) = delete;
    transport_core& operator=(const transport_core&) = delete;

    /// Ends all callbacks. Afterwards only `close` may be called.
    void stop() {
        {
            const std::scoped_lock guard(this->drop_lock);
            this->ending = true;
        }
        nng_aio_stop(this->receive_operation);
        if (this->receive_thread.joinable()) {
            this->receive_thread.join();
        }
    }

    /// Closes all sockets. May wait forever inside nng.
    void close() {
        this->opener.finish();
        std::map<std::string, std::shared_ptr<connection>, std::less<>> closed;
        {
            const std::scoped_lock guard(this->lock);
            closed.swap(this->peers);
        }
        closed.clear();
        this->closer.finish();
        // Without a receive operation, each pipe reads one message ahead and then stops. nng 1.5.2
        // can wait forever for a pipe that is closed between two reads of one message.
        std::this_thread::sleep_for(quiet_time);
        nng_close(this->listener_socket);
    }

    /// Opens the listener and starts to receive.
    std::error_code listen(peer_address local) {
        if (nng_pull0_open(&this->listener_socket) != 0) {
            return make_error_code(peer_errc::listen_failed);
        }
        nng_socket_set_size(this->listener_socket, NNG_OPT_RECVMAXSZ, this->settings.message_bytes);
        const std::string url = "tcp://" + local.text();
        nng_listener listener = NNG_LISTENER_INITIALIZER;
        if (nng_listen(this->listener_socket, url.c_str(), &listener, 0) != 0) {
            return make_error_code(peer_errc::listen_failed);
        }
        int port = 0;
        if (nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) == 0) {
            local.port = static_cast<std::uint16_t>(port);
        }
        this->local_address = local.text();
        this->header_bytes = fixed_header_bytes + this->settings.self.host.value().size() +
                             this->local_address.size();
        if (nng_aio_alloc(&this->receive_operation, nullptr, nullptr) != 0) {
            throw std::bad_alloc();
        }
        nng_aio_set_timeout(this->receive_operation, NNG_DURATION_INFINITE);
        this->receive_thread = std::thread([this] { this->receive(); });
        return {};
    }

    std::string address() const { return this->local_address; }

    status send_all(const std::string& address, std::span<const message> contents) {
        const result<std::shared_ptr<connection>> peer = this->find_or_open(address);
        if (!peer) {
            return peer.error();
        }
        std::vector<packed_message> packed;
        packed.reserve(contents.size());
        for (const message& content : contents) {
            packed.push_back(pack(content));
            if (packed.back().body.size() + this->header_bytes > this->settings.message_bytes) {
                return peer_errc::message_too_large;
            }
        }
        const status queued = (*peer)->send(std::move(packed));
        this->count_refusal(queued);
        return queued;
    }

    bool connected(const std::string& address) const {
        const std::scoped_lock guard(this->lock);
        const auto found = this->peers.find(address);
        return found != this->peers.end() && found->second->connected();
    }

    void forget(const std::string& address) {
        std::shared_ptr<connection> closed;
        {
            const std::scoped_lock guard(this->lock);
            const auto found = this->peers.find(address);
            if (found == this->peers.end()) {
                return;
            }
            closed = std::move(found->second);
            this->peers.erase(found);
        }
        this->close_later(std::move(closed));
    }

    transport_counters counters() const {
        transport_counters copy;
        copy.messages_sent = this->live.messages_sent;
        copy.messages_received = this->live.messages_received;
        copy.bytes_sent = this->live.bytes_sent;
        copy.bytes_received = this->live.bytes_received;
        copy.refused_malformed = this->live.refused_malformed;
        copy.refused_unauthenticated = this->live.refused_unauthenticated;
        copy.refused_replayed = this->live.refused_replayed;
        copy.queue_full = this->live.queue_full;
        copy.not_connected = this->live.not_connected;
        copy.dropped = this->live.dropped;
        copy.frames_held = this->live.frames_held;
        copy.unknown_types = this->live.unknown_types;
        copy.unknown_fields = this->live.unknown_fields;
        return copy;
    }

private:
    result<std::shared_ptr<connection>> find_or_open(const std::string& address) {
        const std::scoped_lock guard(this->lock);
        const auto found = this->peers.find(address);
        if (found != this->peers.end()) {
            return found->second;
        }
        const result<peer_address> parsed = parse_address(address);
        if (!parsed) {
            return parsed.error();
        }
        if (parsed->port == 0) {
            return make_error_code(peer_errc::malformed_address);
        }
        if (this->settings.key.empty() && !parsed->loopback) {
            return make_error_code(peer_errc::key_required);
        }
        return this->open_connection(address, parsed->text(), true);
    }

    // Opens a connection and puts it into the map. The lock is held.
    result<std::shared_ptr<connection>> open_connection(const std::string& address,
                                                        const std::string& target,
                                                        bool queue_at_once) {
        auto opened = std::make_shared<connection>(
            connection_settings{target, this->settings.queue_length, this->settings.queue_bytes,
                                this->settings.connect_timeout, this->settings.reconnect_interval},
            connection::callbacks{[this](std::span<const packed_message> messages) {
                                      return make_frame(this->next_header(), messages, this->codes);
                                  },
                                  [this](std::size_t messages, std::size_t bytes) {
                                      this->live.messages_sent += messages;
                                      this->live.bytes_sent += bytes;
                                  },
                                  [this](int change) { this->live.frames_held += change; },
                                  [this, address](const packed_message& dropped) {
                                      this->report_dropped(address, dropped);
                                  },
                                  [this, address, target] {
                                      this->opener.post([this, address, target] {
                                          this->replace(address, target);
                                      });
                                  }});
        if (const std::error_code failure = opened->open(queue_at_once)) {
            return failure;
        }
        this->peers.insert_or_assign(address, opened);
        return opened;
    }

    // Opens a new connection in place of one that broke.
    void replace(const std::string& address, const std::string& target) {
        std::shared_ptr<connection> broken;
        {
            const std::scoped_lock guard(this->lock);
            const auto found = this->peers.find(address);
            if (found == this->peers.end() || !found->second->broken()) {
                return;
            }
            broken = found->second;
            static_cast<void>(this->open_connection(address, target, false));
        }
        this->close_later(std::move(broken));
    }

    // Closes a connection on the closer's thread, because closing waits for its callbacks and for
    // the socket to become idle.
    void close_later(std::shared_ptr<connection> closed) {
        this->closer.post([closed = std::move(closed)]() mutable { closed.reset(); });
    }

    message_header next_header() {
        return {this->settings.self, this->local_address, ++this->sequence};
    }

    void count_refusal(status refused_by) {
        if (refused_by == peer_errc::queue_full) {
            ++this->live.queue_full;
        } else if (refused_by == peer_errc::not_connected) {
            ++this->live.not_connected;
        }
    }

    void report_dropped(const std::string& address, const packed_message& dropped) {
        ++this->live.dropped;
        result<message> content = unpack(dropped);
        const std::scoped_lock guard(this->drop_lock);
        if (this->on_dropped && !this->ending && content) {
            this->on_dropped(address, std::move(content).value());
        }
    }

    codec_limits limits() const {
        codec_limits bounds;
        bounds.frame_bytes = this->settings.message_bytes;
        return bounds;
    }

    // Receives until the operation is stopped.
    void receive() {
        while (!this->ending) {
            nng_recv_aio(this->listener_socket, this->receive_operation);
            nng_aio_wait(this->receive_operation);
            if (nng_aio_result(this->receive_operation) != 0) {
                continue;
            }
            nng_msg* received = nng_aio_get_msg(this->receive_operation);
            nng_aio_set_msg(this->receive_operation, nullptr);
            const std::string_view frame(static_cast<const char*>(nng_msg_body(received)),
                                         nng_msg_len(received));
            this->take_frame(frame);
            nng_msg_free(received);
        }
    }

    void take_frame(std::string_view frame) {
        result<decoded_frame> decoded = read_frame(frame, this->codes, this->limits());
        if (!decoded) {
            ++(decoded.error() == peer_errc::unauthenticated ? this->live.refused_unauthenticated
                                                             : this->live.refused_malformed);
            return;
        }
        if (!this->seen.accept(decoded->header.host, decoded->header.sequence)) {
            ++this->live.refused_replayed;
            return;
        }
        this->live.messages_received += decoded->contents.size() + decoded->unknown_types;
        this->live.bytes_received += frame.size();
        this->live.unknown_fields += decoded->unknown_fields;
        this->live.unknown_types += decoded->unknown_types;
        const sender from{std::move(decoded->header.host), std::move(decoded->header.address)};
        for (message& content : decoded->contents) {
            this->on_message(from, std::move(content));
        }
    }

    static constexpr milliseconds quiet_time{20};

    /// Room for the header and the authentication code of a frame, beside the sender's names.
    static constexpr std::size_t fixed_header_bytes = 128;

    const transport_settings settings;
    const transport::receiver on_message;
    const transport::drop_handler on_dropped;
    const authenticator codes;
    std::size_t header_bytes = 0;
    std::string local_address;
    live_counters live;
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<bool> ending = false;
    nng_socket listener_socket = NNG_SOCKET_INITIALIZER;
    nng_aio* receive_operation = nullptr;
    /// Used by the receive thread only.
    replay_filter seen;
    std::thread receive_thread;
    /// Held while `on_dropped` runs.
    std::mutex drop_lock;
    mutable std::mutex lock;
    std::map<std::string, std::shared_ptr<connection>, std::less<>> peers;
    /// Replaces connections; never waits for nng.
    worker opener;
    worker closer;
};

/// Time allowed to close the sockets. If nng waits longer, they are left to the end of the process.
constexpr milliseconds close_timeout{3'000};

class nng_transport final : public transport {
public:
    explicit nng_transport(std::shared_ptr<transport_core> sockets) : core(std::move(sockets)) {}

    ~nng_transport() override {
        this->core->stop();
        std::promise<void> closed;
        const std::future<void> finished = closed.get_future();
        std::thread closer([sockets = std::move(this->core), done = std::move(closed)]() mutable {
            sockets->close();
            sockets.reset();
            done.set_value();
        });
        if (finished.wait_for(close_timeout) == std::future_status::ready) {
            closer.join();
        } else {
            closer.detach();
        }
    }
    nng_transport(const nng_transport&) = delete;
    nng_transport& operator=(const nng_transport&) = delete;

    std::string address() const override { return this->core->address(); }

    status send(const std::string& address, const message& content) override {
        return this->core->send_all(address, std::span(&content, 1));
    }

    status send_all(const std::string& address, std::span<const message> contents) override {
        return this->core->send_all(address, contents);
    }

    bool connected(const std::string& address) const override {
        return this->core->connected(address);
    }

    void forget(const std::string& address) override { this->core->forget(address); }

    transport_counters counters() const override { return this->core->counters(); }

private:
    std::shared_ptr<transport_core> core;
};

}  // namespace

status transport::send_all(const std::string& address, std::span<const message> contents) {
    for (const message& content : contents) {
        if (const status failure = this->send(address, content)) {
            return failure;
        }
    }
    return {};
}

result<std::unique_ptr<transport>> transport::create(const transport_settings& settings,
                                                     receiver on_message, drop_handler on_dropped) {
    const result<peer_address> local = parse_address(settings.listen);
    if (!local) {
        return make_error_code(peer_errc::listen_failed);
    }
    if (settings.key.empty() && !local->loopback) {
        return make_error_code(peer_errc::key_required);
    }
    auto core =
        std::make_shared<transport_core>(settings, std::move(on_message), std::move(on_dropped));
    if (const std::error_code failure = core->listen(*local)) {
        return failure;
    }
    return std::unique_ptr<transport>(std::make_unique<nng_transport>(std::move(core)));
}

}  // namespace greengagechute::peer
