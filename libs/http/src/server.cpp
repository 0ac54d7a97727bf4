#include "http/server.h"

#include "event_loop_internals.h"
#include "http/errors.h"
#include "lws_headers.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <unordered_set>

namespace greengagechute::http {

namespace {

constexpr int listen_backlog = 1024;
/// Connections accepted per readiness of the listening socket, so that a burst of new connections
/// does not hold up those that are open.
constexpr int accept_batch = 32;
constexpr milliseconds longest_sweep_period{100};
/// Idle connections are closed by `sweep`, which has a finer resolution.
constexpr int unused_timeout_seconds = 1'000'000;
constexpr int status_bad_request = 400;
constexpr int status_length_required = 411;
constexpr int status_too_large = 413;
constexpr int status_headers_too_large = 431;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

struct server_state;
class writer;

enum class connection_phase {
    /// Waits for a request or receives its header.
    idle,
    receiving_body,
    /// The handler has the request; the response is not finished.
    responding,
    /// The response is finished and not yet written out.
    finishing,
    /// The response is written, the connection closes, and the rest of the request is discarded, so
    /// that the client can read the response.
    discarding,
    /// To be closed without another byte.
    dead,
};

/// What a connection object of libwebsockets points to.
enum class watched_kind { server, connection };

struct watched {
    explicit watched(watched_kind initial) : kind(initial) {}
    watched_kind kind;
};

/// One connection of a client. Owned by `server_state`, and removed when libwebsockets destroys its
/// connection.
struct connection : watched {
    connection() : watched(watched_kind::connection) {}

    server_state* owner = nullptr;
    lws* wsi = nullptr;
    connection_phase phase = connection_phase::idle;
    request current;
    std::size_t expected_body = 0;
    /// The body of a refused request has not been received to its end.
    bool discard_body = false;
    bool close_after = false;
    /// The client has closed its side.
    bool hung_up = false;
    /// Input was waiting while output was blocked, at the last check.
    bool input_while_blocked = false;
    std::string out;
    std::size_t out_written = 0;
    std::shared_ptr<writer> response;
    /// When the connection became idle, or when the header was received.
    time_point since;

    std::size_t pending() const { return this->out.size() - this->out_written; }
};

/// The part of a server that the callbacks of libwebsockets use. It lives as long as the loop.
struct server_state : watched {
    server_state() : watched(watched_kind::server) {}

    event_loop::implementation* loop = nullptr;
    event_loop* events = nullptr;
    server_limits limits;
    server::handler on_request;
    lws* listener = nullptr;
    int listen_socket = -1;
    /// /// Reports clients that hang up. While a response is in progress, libwebsockets leaves
    /// input unread and would be woken by it all the time, so input is disabled, and with it the
    /// detection of the end of input.

    lws* hang_up_watch = nullptr;
    int hang_ups = -1;
    std::uint16_t port = 0;
    bool stopped = false;
    bool destroyed = false;
    std::size_t active = 0;
    event_loop::timer_id sweep_timer = 0;
    std::unordered_set<connection*> connections;
    std::vector<connection*> broken;
};

/// The response of one request. Loses its connection when that closes or when the response ends.
class writer : public response_writer {
public:
    writer(connection& carrier, bool head_only) : target(&carrier), without_body(head_only) {}

    void start(int status, const header_list& headers, std::optional<std::size_t> length) override;
    void write(std::string_view part) override;
    void finish() override;
    void abort() override;
    std::size_t pending() const override {
        return this->target == nullptr ? 0 : this->target->pending();
    }
    void on_drained(std::function<void()> callback) override {
        this->drained = std::move(callback);
    }
    void on_closed(std::function<void()> callback) override { this->closed = std::move(callback); }

    void notify_drained() {
        if (this->drained) {
            const auto callback = this->drained;
            callback();
        }
    }
    void connection_closed();
    void detach();

private:
    connection* target;
    bool without_body;
    bool started = false;
    bool chunked = false;
    std::size_t remaining = 0;
    std::function<void()> drained;
    std::function<void()> closed;
};

/// Asks for `LWS_CALLBACK_HTTP_WRITEABLE`. Input must be enabled, because libwebsockets ignores a
/// connection that can be written while its input is disabled.
void request_write(connection& target) {
    lws_rx_flow_control(target.wsi, 1);
    lws_callback_on_writable(target.wsi);
}

void close_later(connection& target) {
    target.phase = connection_phase::dead;
    lws_set_timeout(target.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

/// Builds the head with the functions of libwebsockets, which know the protocol's syntax.
std::string build_head(lws* wsi, int status, const header_list& headers) {
    constexpr std::size_t fixed_bytes = 512;
    std::string buffer(header_size(headers) + fixed_bytes, '\0');
    auto* start = reinterpret_cast<unsigned char*>(buffer.data());
    unsigned char* position = start;
    unsigned char* end = start + buffer.size();
    const unsigned int code = static_cast<unsigned int>(status) | LWSAHH_FLAG_NO_SERVER_NAME;
    if (lws_add_http_header_status(wsi, code, &position, end) != 0) {
        return {};
    }
    for (const header& field : headers) {
        const std::string name = field.name + ":";
        if (lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
                                        reinterpret_cast<const unsigned char*>(field.value.data()),
                                        static_cast<int>(field.value.size()), &position,
                                        end) != 0) {
            return {};
        }
    }
    if (lws_finalize_http_header(wsi, &position, end) != 0) {
        return {};
    }
    buffer.resize(static_cast<std::size_t>(position - start));
    return buffer;
}

bool forbids_body(int status) {
    return status < 200 || status == status_no_content || status == status_not_modified;
}

bool is_framing_header(std::string_view name) {
    const header_list probe{{std::string(name), "1"}};
    return !find_header(probe, "content-length").empty() ||
           !find_header(probe, "transfer-encoding").empty() ||
           !find_header(probe, "connection").empty();
}

void writer::start(int status, const header_list& headers, std::optional<std::size_t> length) {
    if (this->target == nullptr || this->started) {
        return;
    }
    this->started = true;
    header_list sent;
    sent.reserve(headers.size() + 2);
    for (const header& field : headers) {
        if (valid_header_name(field.name) && valid_header_value(field.value) &&
            !is_framing_header(field.name)) {
            sent.push_back(field);
        }
    }
    if (forbids_body(status)) {
        this->without_body = true;
    } else if (length.has_value()) {
        sent.push_back({"content-length", std::to_string(*length)});
        this->remaining = *length;
    } else {
        this->chunked = true;
        sent.push_back({"transfer-encoding", "chunked"});
    }
    if (this->target->close_after || this->target->owner->stopped) {
        this->target->close_after = true;
        sent.push_back({"connection", "close"});
    }
    const std::string head = build_head(this->target->wsi, status, sent);
    if (head.empty()) {
        this->abort();
        return;
    }
    this->target->out += head;
    request_write(*this->target);
}

void writer::write(std::string_view part) {
    if (this->target == nullptr || !this->started || this->without_body || part.empty()) {
        return;
    }
    std::string& out = this->target->out;
    if (this->chunked) {
        std::array<char, 20> size{};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", part.size());
        out.append(size.data(), static_cast<std::size_t>(length));
        out.append(part);
        out.append("\r\n");
    } else {
        const std::size_t taken = std::min(part.size(), this->remaining);
        out.append(part.substr(0, taken));
        this->remaining -= taken;
    }
    request_write(*this->target);
}

void writer::finish() {
    if (this->target == nullptr) {
        return;
    }
    if (!this->started || (!this->without_body && this->remaining > 0)) {
        this->abort();
        return;
    }
    connection& ended = *this->target;
    if (this->chunked && !this->without_body) {
        ended.out.append("0\r\n\r\n");
    }
    ended.phase = connection_phase::finishing;
    request_write(ended);
    this->detach();
}

void writer::abort() {
    if (this->target == nullptr) {
        return;
    }
    connection& ended = *this->target;
    this->detach();
    ended.out.clear();
    ended.out_written = 0;
    close_later(ended);
}

void writer::detach() {
    connection* ended = this->target;
    this->target = nullptr;
    ended->owner->active -= 1;
    this->drained = nullptr;
    this->closed = nullptr;
    // The connection may hold the last reference to this object, so this comes last.
    ended->response.reset();
}

void writer::connection_closed() {
    const auto callback = std::move(this->closed);
    this->detach();
    if (callback) {
        callback();
    }
}

/// Gives the next piece of the queue to the socket. Returns false on a write error.
bool write_piece(connection& target) {
    std::vector<unsigned char>& buffer = target.owner->loop->write_buffer;
    const std::size_t size = std::min(target.pending(), buffer.size() - LWS_PRE);
    std::memcpy(buffer.data() + LWS_PRE, target.out.data() + target.out_written, size);
    if (lws_write(target.wsi, buffer.data() + LWS_PRE, size, LWS_WRITE_HTTP) < 0) {
        return false;
    }
    target.out_written += size;
    if (target.pending() == 0) {
        target.out.clear();
        target.out_written = 0;
    } else if (target.out_written >= 4 * buffer_bytes) {
        target.out.erase(0, target.out_written);
        target.out_written = 0;
    }
    return true;
}

/// Answers a request that the server refuses itself, and closes the connection afterwards.
int refuse(connection& target, int status) {
    target.close_after = true;
    target.discard_body = target.expected_body > 0;
    target.out +=
        build_head(target.wsi, status, {{"content-length", "0"}, {"connection", "close"}});
    target.phase = connection_phase::finishing;
    if (target.discard_body) {
        request_write(target);
        return 0;
    }
    // Written at once, since bytes that follow the header would end the connection before the
    // socket is reported as writable.
    write_piece(target);
    return -1;
}

void dispatch(connection& target) {
    server_state& owner = *target.owner;
    target.phase = connection_phase::responding;
    target.response = std::make_shared<writer>(target, target.current.method == "HEAD");
    owner.active += 1;
    const std::shared_ptr<writer> response = target.response;
    lws_rx_flow_control(target.wsi, 0);
    request received;
    std::swap(received, target.current);
    owner.on_request(std::move(received), response);
}

/// Ends a connection whose client has closed it while a response was in progress.
void hang_up(connection& target) {
    target.hung_up = true;
    const bool idle =
        target.phase == connection_phase::idle || target.phase == connection_phase::receiving_body;
    if (idle || target.phase == connection_phase::dead) {
        return;
    }
    const std::shared_ptr<writer> response = target.response;
    close_later(target);
    if (response != nullptr) {
        response->connection_closed();
    }
}

void on_hang_ups(server_state& owner) {
    std::array<epoll_event, 64> events{};
    const int count = epoll_wait(owner.hang_ups, events.data(), static_cast<int>(events.size()), 0);
    for (int i = 0; i < count; ++i) {
        auto* target = static_cast<connection*>(events[static_cast<std::size_t>(i)].data.ptr);
        if (owner.connections.contains(target) && target->wsi != nullptr) {
            hang_up(*target);
        }
    }
}

void watch_for_hang_up(const server_state& owner, connection& target, int socket) {
    epoll_event interest{};
    interest.events = EPOLLRDHUP | EPOLLONESHOT;
    interest.data.ptr = &target;
    epoll_ctl(owner.hang_ups, EPOLL_CTL_ADD, socket, &interest);
}

std::string_view method_name(int method) {
    constexpr std::array<std::string_view, 8> names{"GET",   "POST",   "OPTIONS", "PUT",
                                                    "PATCH", "DELETE", "CONNECT", "HEAD"};
    if (method < 0 || static_cast<std::size_t>(method) >= names.size()) {
        return {};
    }
    return names[static_cast<std::size_t>(method)];
}

int on_head(connection& target) {
    lws_set_timeout(target.wsi, NO_PENDING_TIMEOUT, 0);
    if (target.phase != connection_phase::idle) {
        return -1;
    }
    char* uri = nullptr;
    int uri_length = 0;
    const std::string_view method =
        method_name(lws_http_get_uri_and_method(target.wsi, &uri, &uri_length));
    if (method.empty() || uri == nullptr) {
        return refuse(target, status_bad_request);
    }
    target.since = std::chrono::steady_clock::now();
    target.current.method = method;
    target.current.path = percent_encode({uri, static_cast<std::size_t>(uri_length)}, "?");
    target.current.query = read_query(target.wsi);
    target.current.headers = read_headers(target.wsi, target.owner->limits.custom_headers);
    const std::size_t size = target.current.path.size() + target.current.query.size() +
                             header_size(target.current.headers);
    if (size > target.owner->limits.header_bytes) {
        return refuse(target, status_headers_too_large);
    }
    if (!find_header(target.current.headers, "transfer-encoding").empty()) {
        return refuse(target, status_length_required);
    }
    target.expected_body = 0;
    const std::string_view length = find_header(target.current.headers, "content-length");
    if (!length.empty() && !parse_size(length, target.expected_body)) {
        return refuse(target, status_bad_request);
    }
    if (target.expected_body > target.owner->limits.body_bytes) {
        return refuse(target, status_too_large);
    }
    // For a POST, libwebsockets reports the end of the body also with an explicit length of 0, and
    // closes the connection if the response was sent before that. Other methods get no report.
    const bool empty_post = !length.empty() && target.current.method == "POST";
    if (target.expected_body > 0 || empty_post) {
        target.phase = connection_phase::receiving_body;
        return 0;
    }
    dispatch(target);
    return 0;
}

int on_body(connection& target, std::string_view part) {
    // An empty part follows a POST with `Content-Length: 0`, which has been dispatched already.
    if (target.discard_body || part.empty()) {
        return 0;
    }
    if (target.phase != connection_phase::receiving_body) {
        return -1;
    }
    target.current.body.append(part);
    if (target.current.body.size() > target.expected_body) {
        return -1;
    }
    return 0;
}

int on_body_end(connection& target) {
    if (target.discard_body) {
        target.discard_body = false;
        return target.phase == connection_phase::discarding ? -1 : 0;
    }
    if (target.phase != connection_phase::receiving_body) {
        // libwebsockets repeats this callback without end if the client sent a further request
        // after a body without waiting for the response.
        return target.expected_body == 0 ? 0 : -1;
    }
    if (target.current.body.size() != target.expected_body) {
        return -1;
    }
    dispatch(target);
    return 0;
}

int end_transaction(connection& target) {
    target.since = std::chrono::steady_clock::now();
    if (target.discard_body) {
        target.phase = connection_phase::discarding;
        shutdown(lws_get_socket_fd(target.wsi), SHUT_WR);
        return 0;
    }
    target.phase = connection_phase::idle;
    if (target.close_after || target.owner->stopped || target.hung_up) {
        return -1;
    }
    return lws_http_transaction_completed(target.wsi) != 0 ? -1 : 0;
}

int on_writable(connection& target) {
    if (target.phase == connection_phase::dead) {
        return -1;
    }
    if (target.pending() > 0) {
        if (!write_piece(target)) {
            return -1;
        }
        if (target.pending() > 0) {
            lws_callback_on_writable(target.wsi);
            return 0;
        }
        if (target.phase == connection_phase::responding) {
            lws_rx_flow_control(target.wsi, 0);
            const std::shared_ptr<writer> response = target.response;
            response->notify_drained();
        }
    }
    if (target.phase == connection_phase::finishing && target.pending() == 0) {
        return end_transaction(target);
    }
    return 0;
}

void on_connection_destroyed(connection& target) {
    server_state& owner = *target.owner;
    const std::shared_ptr<writer> response = target.response;
    if (response != nullptr) {
        response->connection_closed();
    }
    owner.connections.erase(&target);
    delete &target;
}

/// Accepts connections. They are passed to libwebsockets, which reads and parses them.
int on_acceptable(server_state& owner) {
    for (int count = 0; count < accept_batch; ++count) {
        const int socket =
            accept4(owner.listen_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            return 0;
        }
        if (owner.connections.size() >= owner.limits.connections) {
            close(socket);
            continue;
        }
        const int enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        auto accepted = std::make_unique<connection>();
        accepted->owner = &owner;
        accepted->since = std::chrono::steady_clock::now();
        lws_adopt_desc_t info{};
        info.vh = owner.loop->server_vhost;
        info.type = static_cast<lws_adoption_type>(LWS_ADOPT_SOCKET | LWS_ADOPT_HTTP);
        info.fd.sockfd = socket;
        info.opaque = static_cast<watched*>(accepted.get());
        connection* target = accepted.release();
        owner.connections.insert(target);
        lws* wsi = lws_adopt_descriptor_vhost_via_info(&info);
        if (wsi == nullptr && owner.connections.contains(target)) {
            owner.connections.erase(target);
            delete target;
        } else if (wsi != nullptr) {
            target->wsi = wsi;
            watch_for_hang_up(owner, *target, socket);
        }
    }
    return 0;
}

int listener_callback(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t) {
    auto* known = static_cast<watched*>(lws_get_opaque_user_data(wsi));
    if (known == nullptr || known->kind != watched_kind::server) {
        return 0;
    }
    auto* owner = static_cast<server_state*>(known);
    if (reason == LWS_CALLBACK_RAW_RX_FILE) {
        if (owner->destroyed) {
            return -1;
        }
        if (wsi == owner->hang_up_watch) {
            on_hang_ups(*owner);
            return 0;
        }
        return owner->stopped ? -1 : on_acceptable(*owner);
    }
    if (reason == LWS_CALLBACK_WSI_DESTROY || reason == LWS_CALLBACK_RAW_CLOSE_FILE) {
        if (wsi == owner->listener) {
            owner->listener = nullptr;
        } else if (wsi == owner->hang_up_watch) {
            owner->hang_up_watch = nullptr;
        }
    }
    return 0;
}

int connection_callback(lws* wsi, lws_callback_reasons reason, void*, void* in,
                        std::size_t length) {
    auto* target = static_cast<connection*>(static_cast<watched*>(lws_get_opaque_user_data(wsi)));
    if (target == nullptr || target->owner->destroyed) {
        if (target != nullptr && reason == LWS_CALLBACK_WSI_DESTROY) {
            lws_set_opaque_user_data(wsi, nullptr);
            on_connection_destroyed(*target);
        }
        return 0;
    }
    target->wsi = wsi;
    switch (reason) {
        case LWS_CALLBACK_HTTP:
            return on_head(*target);
        case LWS_CALLBACK_HTTP_BODY:
            return on_body(*target, {static_cast<const char*>(in), length});
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
            return on_body_end(*target);
        case LWS_CALLBACK_HTTP_WRITEABLE:
            return on_writable(*target);
        case LWS_CALLBACK_CLOSED_HTTP:
            if (target->response != nullptr) {
                const std::shared_ptr<writer> response = target->response;
                target->phase = connection_phase::dead;
                response->connection_closed();
            }
            return 0;
        case LWS_CALLBACK_WSI_DESTROY:
            lws_set_opaque_user_data(wsi, nullptr);
            on_connection_destroyed(*target);
            return 0;
        default:
            return 0;
    }
}

/// The listener's connection is bound to the second protocol; `WSI_DESTROY` always goes to the
/// first, so the first dispatches by kind.
int server_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    std::size_t length) {
    switch (reason) {
        case LWS_CALLBACK_HTTP:
        case LWS_CALLBACK_HTTP_BODY:
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        case LWS_CALLBACK_HTTP_WRITEABLE:
        case LWS_CALLBACK_CLOSED_HTTP:
        case LWS_CALLBACK_WSI_DESTROY:
            break;
        default:
            return 0;
    }
    if (reason == LWS_CALLBACK_WSI_DESTROY) {
        const auto* known = static_cast<watched*>(lws_get_opaque_user_data(wsi));
        if (known != nullptr && known->kind == watched_kind::server) {
            return listener_callback(wsi, reason, user, in, length);
        }
    }
    return connection_callback(wsi, reason, user, in, length);
}

const std::array<lws_protocols, 3> protocols{{
    {"http", server_callback, 0, 0, 0, nullptr, 0},
    {"listener", listener_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

/// Opens the listening socket. Returns -1 on failure.
int open_listener(const endpoint& listen_on, std::uint16_t& port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(listen_on.port);
    if (inet_pton(AF_INET, listen_on.address.c_str(), &address.sin_addr) != 1) {
        return -1;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return -1;
    }
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    socklen_t size = sizeof(address);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(socket, listen_backlog) != 0 ||
        getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        close(socket);
        return -1;
    }
    port = ntohs(address.sin_port);
    return socket;
}

/// Has the loop call `listener_callback` when the descriptor is readable. Takes the descriptor
/// over.
lws* watch_descriptor(server_state& state, int descriptor) {
    lws_adopt_desc_t adopt{};
    adopt.vh = state.loop->server_vhost;
    adopt.type = LWS_ADOPT_RAW_FILE_DESC;
    adopt.fd.filefd = descriptor;
    adopt.vh_prot_name = "listener";
    adopt.opaque = static_cast<watched*>(&state);
    return lws_adopt_descriptor_vhost_via_info(&adopt);
}

/// All servers of a loop share a vhost: libwebsockets moves a connection to the first vhost with
/// the same port as soon as it has read a request, and servers that do not listen all have port -2.
bool open_vhost(event_loop::implementation& loop) {
    if (loop.server_vhost != nullptr) {
        return true;
    }
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = protocols.data();
    info.vhost_name = "server";
    info.keepalive_timeout = unused_timeout_seconds;
    loop.server_vhost = lws_create_vhost(loop.context, &info);
    return loop.server_vhost != nullptr;
}

bool start_listening(server_state& state) {
    if (!open_vhost(*state.loop)) {
        close(state.listen_socket);
        return false;
    }
    state.listener = watch_descriptor(state, state.listen_socket);
    state.hang_ups = epoll_create1(EPOLL_CLOEXEC);
    state.hang_up_watch = state.hang_ups < 0 ? nullptr : watch_descriptor(state, state.hang_ups);
    return state.listener != nullptr && state.hang_up_watch != nullptr;
}

bool has_unread_input(lws* wsi) {
    int bytes = 0;
    return ioctl(lws_get_socket_fd(wsi), FIONREAD, &bytes) == 0 && bytes > 0;
}

/// A client that sends further requests and does not read its response keeps the loop awake.
bool keeps_loop_awake(connection& target) {
    const bool blocked = target.pending() > 0 && has_unread_input(target.wsi);
    const bool twice = blocked && target.input_while_blocked;
    target.input_while_blocked = blocked;
    return twice;
}

bool has_waited_too_long(const connection& target, time_point now) {
    const bool waiting = target.phase == connection_phase::idle ||
                         target.phase == connection_phase::receiving_body ||
                         target.phase == connection_phase::discarding;
    return waiting && now - target.since > target.owner->limits.idle_timeout;
}

/// Closes connections that wait too long for a request or its body, or that keep the loop awake.
void sweep(server_state& state) {
    const time_point now = std::chrono::steady_clock::now();
    for (connection* target : state.connections) {
        if (target->wsi == nullptr || target->phase == connection_phase::dead) {
            continue;
        }
        if (has_waited_too_long(*target, now)) {
            close_later(*target);
        } else if (keeps_loop_awake(*target)) {
            state.broken.push_back(target);
        }
    }
    for (connection* target : state.broken) {
        hang_up(*target);
    }
    state.broken.clear();
    const milliseconds period =
        std::clamp(state.limits.idle_timeout / 4, milliseconds(1), longest_sweep_period);
    state.sweep_timer = state.events->call_after(period, [&state] { sweep(state); });
}

class lws_server : public server {
public:
    explicit lws_server(std::unique_ptr<server_state> initial) : state(std::move(initial)) {
        sweep(*this->state);
    }
    lws_server(const lws_server&) = delete;
    lws_server& operator=(const lws_server&) = delete;
    ~lws_server() override;

    std::uint16_t port() const override { return this->state->port; }
    void stop_accepting() override;
    std::size_t active_requests() const override { return this->state->active; }

private:
    void close_listener();

    std::unique_ptr<server_state> state;
};

void lws_server::close_listener() {
    if (this->state->listener == nullptr) {
        return;
    }
    // libwebsockets closes the socket on its next turn; from here on new connections are refused.
    shutdown(this->state->listen_socket, SHUT_RDWR);
    lws_set_timeout(this->state->listener, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    this->state->listener = nullptr;
}

lws_server::~lws_server() {
    this->state->events->cancel(this->state->sweep_timer);
    this->state->destroyed = true;
    for (connection* target : this->state->connections) {
        const std::shared_ptr<writer> response = target->response;
        if (response != nullptr) {
            response->detach();
        }
        if (target->wsi != nullptr) {
            close_later(*target);
        }
    }
    this->close_listener();
    if (this->state->hang_up_watch != nullptr) {
        lws_set_timeout(this->state->hang_up_watch, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    // Connections refer to the state until libwebsockets has closed them.
    event_loop::implementation& loop = *this->state->loop;
    loop.retired.push_back(std::shared_ptr<void>(std::move(this->state)));
}

void lws_server::stop_accepting() {
    this->state->stopped = true;
    this->close_listener();
    for (connection* target : this->state->connections) {
        if (target->phase == connection_phase::idle && target->wsi != nullptr) {
            close_later(*target);
        }
    }
}

}  // namespace

void respond(response_writer& writer, int status, const header_list& headers,
             std::string_view body) {
    writer.start(status, headers, body.size());
    writer.write(body);
    writer.finish();
}

result<std::unique_ptr<server>> server::create(event_loop& loop, const endpoint& listen,
                                               const server_limits& limits, handler on_request) {
    auto state = std::make_unique<server_state>();
    state->loop = &loop.internals();
    state->events = &loop;
    state->limits = limits;
    state->on_request = std::move(on_request);
    state->listen_socket = open_listener(listen, state->port);
    if (state->listen_socket < 0) {
        return make_error_code(http_errc::listen_failed);
    }
    if (!start_listening(*state)) {
        state->destroyed = true;
        loop.internals().retired.push_back(std::shared_ptr<void>(std::move(state)));
        return make_error_code(http_errc::listen_failed);
    }
    return std::unique_ptr<server>(std::make_unique<lws_server>(std::move(state)));
}

}  // namespace greengagechute::http
