#include "wire/stream.h"

#include "wire/errors.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>

#include <array>
#include <charconv>
#include <utility>

namespace greengagechute::wire {

namespace {

/// Unacknowledged data ends a connection after this time; a peer without power or behind a
/// partition answers nothing. Longer than a short interruption of a link, after which data still
/// flows.
constexpr unsigned user_timeout_ms = 8'000;
/// Time for which a closed connection still discards what the peer sends.
constexpr milliseconds linger_time{1'000};
constexpr unsigned read_size = 16'384;
/// Connections that wait to be accepted.
constexpr int backlog = 511;

/// One buffer serves all connections, since data is handed on before the next read.
std::array<char, read_size>& shared_buffer() {
    static std::array<char, read_size> buffer;
    return buffer;
}

bool to_address(const endpoint& address, sockaddr_in& converted) {
    return uv_ip4_addr(address.ip.c_str(), address.port, &converted) == 0;
}

/// Probes of a connection on which nothing arrives: a silent one is given up after about 4 s.
constexpr unsigned keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

void set_options(uv_tcp_t& handle) {
    uv_tcp_nodelay(&handle, 1);
    uv_tcp_keepalive(&handle, 1, keepalive_idle_s);
    uv_os_fd_t descriptor = -1;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's handle inheritance.
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) == 0) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                   sizeof user_timeout_ms);
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s,
                   sizeof keepalive_interval_s);
        setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes,
                   sizeof keepalive_probes);
    }
}

/// Sets whether each close of the socket resets the connection, also the one at the end of the
/// process.
void set_reset_on_close(uv_tcp_t& handle, bool enabled) {
    uv_os_fd_t descriptor = -1;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's handle inheritance.
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) == 0) {
        const linger option{enabled ? 1 : 0, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
}

/// Whether the peer has closed its side in order. libuv also reports the end of the stream when a
/// connection with a pending error hangs up after a partial read, and does not read that error.
bool is_closed_in_order(uv_tcp_t& handle) {
    uv_os_fd_t descriptor = -1;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's handle inheritance.
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&handle), &descriptor) != 0) {
        return false;
    }
    // An orderly end is reported before an error that came after it.
    char byte = 0;
    return recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

result<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return make_error_code(wire_errc::invalid_endpoint);
    }
    endpoint parsed;
    parsed.ip = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto [end, code] = std::from_chars(port.begin(), port.end(), parsed.port);
    in_addr ignored{};
    // inet_pton reads no further than a null character.
    if (code != std::errc{} || end != port.end() || port.empty() ||
        parsed.ip.find('\0') != std::string::npos ||
        inet_pton(AF_INET, parsed.ip.c_str(), &ignored) != 1) {
        return make_error_code(wire_errc::invalid_endpoint);
    }
    return parsed;
}

struct stream::state {
    struct write_request {
        uv_write_t request{};
        std::string bytes;
        std::shared_ptr<state> owner;
    };

    event_loop& loop;
    uv_tcp_t handle{};
    uv_connect_t connecting{};
    uv_shutdown_t shutting{};
    stream_handlers handlers;
    close_mode mode = close_mode::orderly;
    /// Keeps the memory until libuv has closed the handle.
    std::shared_ptr<state> self;
    std::size_t pending = 0;
    bool closing = false;
    bool finishing = false;
    bool reading = false;
    timer_id linger_timer = 0;
    /// Bytes that arrived after `finish`, and the handler that is told their number.
    std::size_t discarded = 0;
    std::function<void(std::size_t)> finished;

    explicit state(event_loop& owner_loop) : loop(owner_loop) {}

    uv_stream_t* as_stream() {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's inheritance.
        return reinterpret_cast<uv_stream_t*>(&this->handle);
    }
    uv_handle_t* as_handle() {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's inheritance.
        return reinterpret_cast<uv_handle_t*>(&this->handle);
    }

    void open(const std::shared_ptr<state>& own) {
        uv_tcp_init(this->loop.native(), &this->handle);
        this->handle.data = this;
        this->self = own;
        this->loop.close_at_end(this, [this] { this->close(); });
    }

    void close() {
        if (this->closing) {
            return;
        }
        this->closing = true;
        this->loop.cancel(this->linger_timer);
        this->loop.forget(this);
        const auto released_handlers = std::exchange(this->handlers, {});
        if (const auto notify = std::exchange(this->finished, {})) {
            notify(this->discarded);
        }
        if (this->mode == close_mode::abortive) {
            set_reset_on_close(this->handle, true);
        }
        uv_close(this->as_handle(), [](uv_handle_t* closed) {
            const auto released = std::move(static_cast<state*>(closed->data)->self);
        });
    }

    void end(stream_end how) {
        if (this->closing) {
            return;
        }
        const auto ended = std::move(this->handlers.ended);
        this->close();
        if (ended) {
            ended(how);
        }
    }

    void start_reading() {
        if (this->closing || this->reading) {
            return;
        }
        this->reading = true;
        uv_read_start(
            this->as_stream(),
            [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
                *buffer = uv_buf_init(shared_buffer().data(), read_size);
            },
            [](uv_stream_t* source, ssize_t count, const uv_buf_t* buffer) {
                static_cast<state*>(source->data)->on_read(count, buffer->base);
            });
    }

    void on_read(ssize_t count, const char* base) {
        const auto keep = this->self;
        if (count == 0) {
            return;
        }
        if (count < 0) {
            const bool in_order = count == UV_EOF && is_closed_in_order(this->handle);
            this->end(in_order ? stream_end::closed_by_peer : stream_end::failed);
            return;
        }
        if (this->finishing) {
            this->discarded += static_cast<std::size_t>(count);
        } else if (this->handlers.data) {
            // The handler may replace itself while it runs.
            const auto data = this->handlers.data;
            data({base, static_cast<std::size_t>(count)});
        }
    }

    void on_written(std::size_t size, int code) {
        this->pending -= size;
        if (this->closing) {
            return;
        }
        if (code < 0) {
            this->end(stream_end::failed);
        } else if (this->pending == 0 && this->handlers.drained) {
            const auto drained = this->handlers.drained;
            drained();
        }
    }

    void on_connected(int code) {
        const auto keep = this->self;
        if (this->closing) {
            return;
        }
        if (code < 0) {
            this->end(code == UV_ECONNREFUSED ? stream_end::refused : stream_end::failed);
            return;
        }
        set_options(this->handle);
        if (this->mode == close_mode::abortive) {
            set_reset_on_close(this->handle, true);
        }
        this->start_reading();
        if (this->handlers.connected) {
            const auto connected = this->handlers.connected;
            connected();
        }
    }
};

stream::stream(std::shared_ptr<state> initial) : implementation(std::move(initial)) {}

stream::~stream() {
    if (!this->implementation->finishing) {
        this->implementation->close();
    }
}

std::shared_ptr<stream> stream::adopt(const std::shared_ptr<state>& initial) {
    return std::shared_ptr<stream>(new stream(initial));
}

std::shared_ptr<stream> stream::connect(event_loop& loop, const endpoint& address,
                                        stream_handlers handlers, close_mode mode) {
    auto opened = std::make_shared<state>(loop);
    opened->open(opened);
    opened->handlers = std::move(handlers);
    opened->mode = mode;
    opened->connecting.data = opened.get();
    sockaddr_in target{};
    int code = UV_EINVAL;
    if (to_address(address, target)) {
        code = uv_tcp_connect(
            &opened->connecting, &opened->handle,
            // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): socket address types.
            reinterpret_cast<const sockaddr*>(&target), [](uv_connect_t* request, int connected) {
                static_cast<state*>(request->data)->on_connected(connected);
            });
    }
    if (code != 0) {
        loop.call_after(milliseconds{0}, [opened, code] {
            opened->end(code == UV_ECONNREFUSED ? stream_end::refused : stream_end::failed);
        });
    }
    return adopt(opened);
}

void stream::set_handlers(stream_handlers handlers) {
    if (!this->implementation->closing) {
        this->implementation->handlers = std::move(handlers);
    }
}

void stream::write(std::string bytes) {
    state& own = *this->implementation;
    if (own.closing || own.finishing || bytes.empty()) {
        return;
    }
    auto* request = new state::write_request{{}, std::move(bytes), this->implementation};
    request->request.data = request;
    own.pending += request->bytes.size();
    const uv_buf_t buffer =
        uv_buf_init(request->bytes.data(), static_cast<unsigned>(request->bytes.size()));
    const int code = uv_write(&request->request, own.as_stream(), &buffer, 1,
                              [](uv_write_t* written, int outcome) {
                                  const std::unique_ptr<state::write_request> done(
                                      static_cast<state::write_request*>(written->data));
                                  done->owner->on_written(done->bytes.size(), outcome);
                              });
    if (code != 0) {
        own.pending -= request->bytes.size();
        delete request;
        const auto keep = this->implementation;
        own.loop.call_after(milliseconds{0}, [keep] { keep->end(stream_end::failed); });
    }
}

std::size_t stream::pending() const {
    return this->implementation->pending;
}

void stream::set_reading(bool enabled) {
    state& own = *this->implementation;
    if (own.closing) {
        return;
    }
    if (enabled) {
        own.start_reading();
    } else if (own.reading) {
        own.reading = false;
        uv_read_stop(own.as_stream());
    }
}

void stream::close(close_mode mode) {
    if (mode == close_mode::abortive) {
        this->implementation->mode = mode;
    }
    this->implementation->close();
}

void stream::reset_unless_finished() {
    if (!this->implementation->closing) {
        set_reset_on_close(this->implementation->handle, true);
    }
}

void stream::finish(late_input input, std::function<void(std::size_t)> closed) {
    state& own = *this->implementation;
    if (own.closing || own.finishing) {
        return;
    }
    own.finishing = true;
    own.finished = std::move(closed);
    own.handlers = {};
    if (input == late_input::discard) {
        own.start_reading();
    } else {
        this->set_reading(false);
    }
    own.shutting.data = &own;
    const auto after_shutdown = [](uv_shutdown_t* request, int) {
        const auto keep = static_cast<state*>(request->data)->self;
        if (keep && !keep->closing) {
            if (keep->mode == close_mode::orderly) {
                set_reset_on_close(keep->handle, false);
            }
            keep->linger_timer = keep->loop.call_after(linger_time, [keep] { keep->close(); });
        }
    };
    if (uv_shutdown(&own.shutting, own.as_stream(), after_shutdown) != 0) {
        own.close();
    }
}

struct listener::state {
    event_loop& loop;
    accept_handler handler;
    /// Freed by libuv's close callback.
    uv_tcp_t* handle = nullptr;
};

listener::listener(event_loop& loop, accept_handler handler)
    : implementation(new state{loop, std::move(handler), nullptr}) {}

listener::~listener() {
    this->close();
}

status listener::open(const endpoint& address) {
    state& own = *this->implementation;
    own.handle = new uv_tcp_t{};
    uv_tcp_init(own.loop.native(), own.handle);
    own.handle->data = &own;
    sockaddr_in target{};
    // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): libuv's and socket address types.
    int code = to_address(address, target) ? 0 : UV_EINVAL;
    if (code == 0) {
        code = uv_tcp_bind(own.handle, reinterpret_cast<const sockaddr*>(&target), 0);
    }
    if (code == 0) {
        code = uv_listen(reinterpret_cast<uv_stream_t*>(own.handle), backlog,
                         [](uv_stream_t* server, int outcome) {
                             if (outcome < 0) {
                                 return;
                             }
                             state& owner = *static_cast<state*>(server->data);
                             auto accepted = std::make_shared<stream::state>(owner.loop);
                             accepted->open(accepted);
                             if (uv_accept(server, accepted->as_stream()) != 0) {
                                 accepted->close();
                                 return;
                             }
                             set_options(accepted->handle);
                             auto opened = stream::adopt(accepted);
                             owner.handler(opened);
                             accepted->start_reading();
                         });
    }
    // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
    if (code != 0) {
        this->close();
        return wire_errc::listen_failed;
    }
    return {};
}

void listener::close() {
    if (this->implementation->handle != nullptr) {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): libuv's inheritance.
        uv_close(reinterpret_cast<uv_handle_t*>(this->implementation->handle),
                 // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
                 [](uv_handle_t* closed) { delete reinterpret_cast<uv_tcp_t*>(closed); });
        this->implementation->handle = nullptr;
    }
}

std::uint16_t listener::port() const {
    sockaddr_in bound{};
    int size = sizeof bound;
    if (this->implementation->handle == nullptr ||
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): socket address types.
        uv_tcp_getsockname(this->implementation->handle, reinterpret_cast<sockaddr*>(&bound),
                           &size) != 0) {
        return 0;
    }
    return ntohs(bound.sin_port);
}

}  // namespace greengagechute::wire
