#include "http/client.h"

#include "event_loop_internals.h"
#include "http/errors.h"
#include "lws_headers.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <optional>

namespace greengagechute::http {

namespace {

using exchange_id = client::exchange_id;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
/// libwebsockets cuts the request line at 2048 bytes, of which its fixed parts take 14.
constexpr std::size_t longest_request_line = 2'000;

struct client_state;
struct slot;
struct link;

/// One request and its response.
struct exchange {
    exchange_id id = 0;
    endpoint target;
    request message;
    exchange_handlers handlers;
    event_loop::timer_id timeout_timer = 0;
    event_loop::timer_id connect_timer = 0;
    link* carrier = nullptr;
    /// Set before libwebsockets may write the first byte.
    bool sent = false;
    /// The connection had served an earlier exchange.
    bool reused = false;
    bool retried = false;
    std::size_t body_written = 0;
    bool head_received = false;
    bool expects_body = true;
    bool chunked = false;
    std::optional<std::size_t> length;
    std::size_t received = 0;
    bool paused = false;
};

enum class slot_phase { unused, busy, idle, closing };

/// Room for one connection. It has a vhost of its own, because libwebsockets would otherwise queue
/// a request behind a connection that is in use.
struct slot {
    client_state* owner = nullptr;
    lws_vhost* vhost = nullptr;
    endpoint target;
    slot_phase phase = slot_phase::unused;
    /// The newest connection object of libwebsockets; an earlier one may still exist for a moment.
    lws* wsi = nullptr;
    time_point idle_since;
};

/// Connects one connection object of libwebsockets with its slot and exchange.
struct link {
    slot* place = nullptr;
    exchange* current = nullptr;
    /// While libwebsockets reads the body: where it started, and how far it came.
    const char* read_begin = nullptr;
    char* const* read_position = nullptr;
};

struct endpoint_pool {
    std::deque<exchange_id> waiting;
    std::size_t open = 0;
};

struct client_state {
    event_loop::implementation* loop = nullptr;
    event_loop* events = nullptr;
    client_limits limits;
    bool destroyed = false;
    exchange_id next_exchange = 1;
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> exchanges;
    std::map<endpoint, endpoint_pool> pools;
    std::vector<std::unique_ptr<slot>> slots;
    std::map<endpoint, std::vector<slot*>> idle;
    std::vector<slot*> unused;
    event_loop::timer_id sweep_timer = 0;
};

void start_next(client_state& state, const endpoint& target);

void kill(lws* wsi) {
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

exchange* find_exchange(client_state& state, exchange_id id) {
    const auto found = state.exchanges.find(id);
    return found == state.exchanges.end() ? nullptr : found->second.get();
}

/// Takes the exchange out of the tables and away from its connection.
std::unique_ptr<exchange> take_exchange(client_state& state, exchange& ended) {
    state.events->cancel(ended.timeout_timer);
    state.events->cancel(ended.connect_timer);
    if (ended.carrier != nullptr) {
        ended.carrier->current = nullptr;
        ended.carrier = nullptr;
    }
    const auto found = state.exchanges.find(ended.id);
    std::unique_ptr<exchange> taken = std::move(found->second);
    state.exchanges.erase(found);
    return taken;
}

void remove_idle(slot& place) {
    std::vector<slot*>& idle = place.owner->idle[place.target];
    std::erase(idle, &place);
}

/// Closes the connection of the slot. The slot counts as open until libwebsockets has closed it.
void close_slot(slot& place) {
    if (place.phase == slot_phase::idle) {
        remove_idle(place);
    }
    place.phase = slot_phase::closing;
    if (place.wsi != nullptr) {
        kill(place.wsi);
    }
}

/// Makes the slot available for any endpoint.
void release_slot(slot& place) {
    client_state& state = *place.owner;
    if (place.phase == slot_phase::unused) {
        return;
    }
    if (place.phase == slot_phase::idle) {
        remove_idle(place);
    }
    place.phase = slot_phase::unused;
    place.wsi = nullptr;
    state.pools[place.target].open -= 1;
    state.unused.push_back(&place);
    state.loop->defer([&state, target = place.target] { start_next(state, target); });
}

/// Reports a failure after the current callback, so that no caller is re-entered.
void fail(client_state& state, exchange& failed, http_errc cause) {
    const sent_state sent = failed.sent ? sent_state::may_have_been_sent : sent_state::never_sent;
    std::shared_ptr<exchange> ended = take_exchange(state, failed);
    // A handle that is cancelled before the report is looked up in `exchanges`; it stays there as a
    // marker until then.
    const exchange_id id = ended->id;
    auto marker = std::make_unique<exchange>();
    marker->id = id;
    marker->handlers.on_failed = std::move(ended->handlers.on_failed);
    state.exchanges.emplace(id, std::move(marker));
    state.loop->defer([&state, id, cause, sent] {
        exchange* reported = find_exchange(state, id);
        if (reported == nullptr || state.destroyed) {
            return;
        }
        const std::unique_ptr<exchange> owned = take_exchange(state, *reported);
        if (owned->handlers.on_failed) {
            owned->handlers.on_failed(make_error_code(cause), sent);
        }
    });
}

/// Ends the exchange and closes its connection.
void fail_and_close(client_state& state, exchange& failed, http_errc cause) {
    link* carrier = failed.carrier;
    fail(state, failed, cause);
    if (carrier != nullptr) {
        close_slot(*carrier->place);
    }
}

void on_exchange_timeout(client_state& state, exchange_id id) {
    exchange* late = find_exchange(state, id);
    if (late != nullptr) {
        fail_and_close(state, *late, http_errc::timeout);
    }
}

void on_connect_timeout(client_state& state, exchange_id id) {
    exchange* late = find_exchange(state, id);
    if (late != nullptr && !late->sent) {
        fail_and_close(state, *late, http_errc::connect_failed);
    }
}

/// Whether libwebsockets keeps the connection open after a request with this method.
bool keeps_connection(const std::string& method) {
    return method == "GET" || method == "POST" || method == "PUT";
}

/// Whether the peer closed the idle connection, or sent something that nobody asked for.
bool is_stale(lws* wsi) {
    char byte = 0;
    const auto received =
        recv(lws_get_socket_fd(wsi), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Takes the connection that was used last, so that those not needed become idle and close.
slot* take_idle(client_state& state, const endpoint& target) {
    std::vector<slot*>& idle = state.idle[target];
    while (!idle.empty()) {
        slot* place = idle.back();
        if (!is_stale(place->wsi)) {
            idle.pop_back();
            return place;
        }
        close_slot(*place);
    }
    return nullptr;
}

int client_callback(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                    std::size_t length);

const std::array<lws_protocols, 2> protocols{{
    {"http", client_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

slot* take_unused(client_state& state) {
    if (!state.unused.empty()) {
        slot* place = state.unused.back();
        state.unused.pop_back();
        return place;
    }
    auto created = std::make_unique<slot>();
    created->owner = &state;
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.vhost_name = "client";
    created->vhost = lws_create_vhost(state.loop->context, &info);
    if (created->vhost == nullptr) {
        return nullptr;
    }
    state.slots.push_back(std::move(created));
    return state.slots.back().get();
}

void arm_connect_timer(client_state& state, exchange& started) {
    started.connect_timer = state.events->call_after(
        state.limits.connect_timeout, [&state, id = started.id] { on_connect_timeout(state, id); });
}

/// Gives the exchange to the slot, which has an idle connection or none.
void start_on(client_state& state, exchange& started, slot& place) {
    started.reused = place.phase == slot_phase::idle;
    if (place.phase == slot_phase::unused) {
        state.pools[started.target].open += 1;
    }
    place.target = started.target;
    place.phase = slot_phase::busy;
    arm_connect_timer(state, started);

    std::string path = started.message.path.empty() ? "/" : started.message.path;
    if (!started.message.query.empty()) {
        path += "?" + started.message.query;
    }
    const auto idle_seconds =
        std::chrono::ceil<std::chrono::seconds>(state.limits.keep_alive).count() + 1;
    auto* carrier = new link{&place, &started};
    started.carrier = carrier;

    lws_client_connect_info info{};
    info.context = state.loop->context;
    info.vhost = place.vhost;
    info.address = started.target.address.c_str();
    info.port = started.target.port;
    // libwebsockets finds the idle connection again only if the Host header is equal to the
    // address.
    info.host = started.target.address.c_str();
    info.path = path.c_str();
    info.method = started.message.method.c_str();
    info.protocol = "http";
    info.local_protocol_name = "http";
    info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = carrier;
    info.keep_warm_secs = static_cast<std::uint16_t>(std::min<std::int64_t>(idle_seconds, 65'535));
    lws* wsi = nullptr;
    info.pwsi = &wsi;
    const exchange_id id = started.id;
    const bool connecting = lws_client_connect_via_info(&info) != nullptr;
    if (connecting) {
        place.wsi = wsi;
        return;
    }
    // Depending on where it failed, libwebsockets has or has not reported the error.
    exchange* failed = find_exchange(state, id);
    if (failed != nullptr && failed->carrier != nullptr) {
        fail(state, *failed, http_errc::connect_failed);
    }
    if (place.wsi != nullptr) {
        close_slot(place);
        return;
    }
    release_slot(place);
}

/// Starts exchanges that wait for a connection to the endpoint.
void start_next(client_state& state, const endpoint& target) {
    if (state.destroyed) {
        return;
    }
    endpoint_pool& pool = state.pools[target];
    while (!pool.waiting.empty()) {
        exchange* next = find_exchange(state, pool.waiting.front());
        if (next == nullptr || next->target.port == 0) {
            pool.waiting.pop_front();
            continue;
        }
        slot* place = nullptr;
        if (keeps_connection(next->message.method)) {
            place = next->retried ? nullptr : take_idle(state, target);
        }
        if (place == nullptr) {
            if (pool.open >= state.limits.connections_per_endpoint) {
                std::vector<slot*>& idle = state.idle[target];
                if (!idle.empty()) {
                    close_slot(*idle.front());
                }
                return;
            }
            place = take_unused(state);
        }
        pool.waiting.pop_front();
        if (place == nullptr) {
            fail(state, *next, http_errc::connect_failed);
            continue;
        }
        start_on(state, *next, *place);
    }
}

/// Sends the exchange again on a new connection. Valid only if nothing of it was sent.
void restart(client_state& state, exchange& failed) {
    state.events->cancel(failed.connect_timer);
    failed.carrier->current = nullptr;
    failed.carrier = nullptr;
    failed.retried = true;
    state.pools[failed.target].waiting.push_front(failed.id);
    state.loop->defer([&state, target = failed.target] { start_next(state, target); });
}

bool has_body(const request& message) {
    return !message.body.empty();
}

bool append_header(lws* wsi, std::string_view name, std::string_view value,
                   unsigned char** position, unsigned char* end) {
    const std::string with_colon = std::string(name) + ":";
    return lws_add_http_header_by_name(wsi,
                                       reinterpret_cast<const unsigned char*>(with_colon.c_str()),
                                       reinterpret_cast<const unsigned char*>(value.data()),
                                       static_cast<int>(value.size()), position, end) == 0;
}

int on_append_headers(lws* wsi, exchange& started, void* in, std::size_t length) {
    client_state& state = *started.carrier->place->owner;
    state.events->cancel(started.connect_timer);
    started.sent = true;
    auto** position = static_cast<unsigned char**>(in);
    unsigned char* end = *position + length;
    for (const header& field : started.message.headers) {
        if (!append_header(wsi, field.name, field.value, position, end)) {
            return -1;
        }
    }
    const std::string& method = started.message.method;
    if (has_body(started.message) || method == "POST" || method == "PUT" || method == "PATCH") {
        const std::string size = std::to_string(started.message.body.size());
        if (!append_header(wsi, "content-length", size, position, end)) {
            return -1;
        }
    }
    if (has_body(started.message)) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int on_body_writable(lws* wsi, exchange& started) {
    const std::string& body = started.message.body;
    if (started.body_written >= body.size()) {
        return 0;
    }
    std::vector<unsigned char>& buffer = started.carrier->place->owner->loop->write_buffer;
    const std::size_t size = std::min(body.size() - started.body_written, buffer.size() - LWS_PRE);
    std::memcpy(buffer.data() + LWS_PRE, body.data() + started.body_written, size);
    const bool last = started.body_written + size == body.size();
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    if (lws_write(wsi, buffer.data() + LWS_PRE, size,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < 0) {
        return -1;
    }
    started.body_written += size;
    if (!last) {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

bool forbids_body(const exchange& started, int status) {
    return started.message.method == "HEAD" || status == status_no_content ||
           status == status_not_modified;
}

/// Reads how the end of the body will be known. Returns false if the headers contradict each other
/// or name a coding that libwebsockets does not read.
bool read_framing(exchange& started, int status, const header_list& headers) {
    started.expects_body = !forbids_body(started, status);
    const std::string_view coding = find_header(headers, "transfer-encoding");
    if (started.expects_body && !coding.empty() && coding != "chunked") {
        return false;
    }
    started.chunked = !coding.empty();
    const std::string_view length = find_header(headers, "content-length");
    if (length.empty()) {
        return true;
    }
    std::size_t size = 0;
    if (!parse_size(length, size) || started.chunked) {
        return false;
    }
    started.length = size;
    return true;
}

int on_completed(lws* wsi, link& carrier);

int on_head(lws* wsi, link& carrier) {
    exchange& started = *carrier.current;
    client_state& state = *carrier.place->owner;
    const int status = static_cast<int>(lws_http_client_http_response(wsi));
    const header_list headers = read_headers(wsi, state.limits.custom_headers);
    if (status < first_final_status || status > last_status || !has_valid_status(wsi) ||
        header_size(headers) > state.limits.header_bytes ||
        !read_framing(started, status, headers)) {
        fail(state, started, http_errc::malformed_response);
        return -1;
    }
    started.head_received = true;
    if (started.handlers.on_head) {
        // A copy, since the handler may cancel the exchange.
        const auto handler = started.handlers.on_head;
        handler(status, headers);
    }
    if (carrier.current == nullptr) {
        return -1;
    }
    if (!started.expects_body) {
        // libwebsockets waits for the body that the headers announce, so the connection is not used
        // again.
        return on_completed(wsi, carrier);
    }
    return 0;
}

int on_body_part(link& carrier, std::string_view part) {
    exchange& started = *carrier.current;
    started.received += part.size();
    if (started.length.has_value() && started.received > *started.length) {
        fail(*carrier.place->owner, started, http_errc::malformed_response);
        return -1;
    }
    if (started.handlers.on_body && !part.empty()) {
        const auto handler = started.handlers.on_body;
        handler(part);
    }
    return carrier.current == nullptr ? -1 : 0;
}

int on_readable(lws* wsi, link& carrier) {
    std::vector<char>& buffer = carrier.place->owner->loop->read_buffer;
    char* position = buffer.data() + LWS_PRE;
    int size = static_cast<int>(buffer_bytes);
    carrier.read_begin = position;
    carrier.read_position = &position;
    const int code = lws_http_client_read(wsi, &position, &size);
    carrier.read_position = nullptr;
    return code < 0 ? -1 : 0;
}

/// libwebsockets reports a body without Content-Length as complete also when the peer closes the
/// connection. In that case it has read nothing; the end marker has at least one byte.
bool read_any_byte(const link& carrier) {
    return carrier.read_position != nullptr && *carrier.read_position != carrier.read_begin;
}

bool body_is_whole(const link& carrier) {
    const exchange& ended = *carrier.current;
    if (!ended.head_received) {
        return false;
    }
    if (!ended.expects_body) {
        return true;
    }
    if (ended.length.has_value()) {
        return ended.received == *ended.length;
    }
    return ended.chunked && read_any_byte(carrier);
}

/// libwebsockets saw the end of the body. The connection becomes idle before the caller is told.
int on_completed(lws* wsi, link& carrier) {
    exchange& ended = *carrier.current;
    client_state& state = *carrier.place->owner;
    slot& place = *carrier.place;
    if (!body_is_whole(carrier)) {
        fail(state, ended, http_errc::incomplete_response);
        return -1;
    }
    const bool reusable = keeps_connection(ended.message.method) && ended.expects_body &&
                          place.wsi == wsi && place.phase == slot_phase::busy &&
                          ended.body_written == ended.message.body.size();
    carrier.current = nullptr;
    ended.carrier = nullptr;
    state.events->cancel(ended.timeout_timer);
    state.loop->defer([&state, &place, reusable, id = ended.id] {
        if (reusable && place.phase == slot_phase::busy && place.wsi != nullptr) {
            place.phase = slot_phase::idle;
            place.idle_since = std::chrono::steady_clock::now();
            state.idle[place.target].push_back(&place);
            start_next(state, place.target);
        }
        exchange* complete = find_exchange(state, id);
        if (complete == nullptr || state.destroyed) {
            return;
        }
        const std::unique_ptr<exchange> owned = take_exchange(state, *complete);
        if (owned->handlers.on_complete) {
            owned->handlers.on_complete();
        }
    });
    return reusable ? 0 : -1;
}

/// The connection ended before the exchange did.
void on_lost(link& carrier, std::string_view detail) {
    exchange& lost = *carrier.current;
    client_state& state = *carrier.place->owner;
    if (!lost.sent && lost.reused && !lost.retried) {
        restart(state, lost);
        return;
    }
    if (!lost.sent) {
        fail(state, lost, http_errc::connect_failed);
        return;
    }
    if (lost.head_received) {
        fail(state, lost, http_errc::incomplete_response);
        return;
    }
    // These are the texts that libwebsockets gives for a header block that it cannot parse.
    const bool malformed = detail.find("problem parsing") != std::string_view::npos ||
                           detail.find("http fail") != std::string_view::npos;
    fail(state, lost, malformed ? http_errc::malformed_response : http_errc::connection_closed);
}

void on_destroyed(lws* wsi, link* carrier) {
    slot& place = *carrier->place;
    if (carrier->current != nullptr) {
        on_lost(*carrier, {});
    }
    if (place.wsi == wsi || place.wsi == nullptr) {
        release_slot(place);
    }
    delete carrier;
}

int client_callback(lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length) {
    auto* carrier = static_cast<link*>(lws_get_opaque_user_data(wsi));
    if (carrier == nullptr) {
        return 0;
    }
    if (reason == LWS_CALLBACK_WSI_DESTROY) {
        lws_set_opaque_user_data(wsi, nullptr);
        if (carrier->place->owner->destroyed) {
            delete carrier;
            return 0;
        }
        on_destroyed(wsi, carrier);
        return 0;
    }
    if (carrier->current == nullptr) {
        return reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ ||
                       reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                       reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP
                   ? -1
                   : 0;
    }
    switch (reason) {
        case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
            return on_append_headers(wsi, *carrier->current, in, length);
        case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
            return on_body_writable(wsi, *carrier->current);
        case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
            return on_head(wsi, *carrier);
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
            return on_readable(wsi, *carrier);
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
            return on_body_part(*carrier, {static_cast<const char*>(in), length});
        case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
            return on_completed(wsi, *carrier);
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
            on_lost(*carrier, in == nullptr ? std::string_view()
                                            : std::string_view(static_cast<char*>(in), length));
            return 0;
        case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
            on_lost(*carrier, {});
            return 0;
        default:
            return 0;
    }
}

/// Closes connections that were idle for too long.
void sweep(client_state& state) {
    const time_point now = std::chrono::steady_clock::now();
    for (const std::unique_ptr<slot>& place : state.slots) {
        if (place->phase == slot_phase::idle && now - place->idle_since > state.limits.keep_alive) {
            close_slot(*place);
        }
    }
    const milliseconds period = std::max(state.limits.keep_alive / 4, milliseconds(1));
    state.sweep_timer = state.events->call_after(period, [&state] { sweep(state); });
}

bool is_valid(const request& message) {
    return valid_header_name(message.method) && valid_header_value(message.path) &&
           valid_header_value(message.query) &&
           message.path.find_first_of(" ?#") == std::string::npos &&
           message.query.find_first_of(" #") == std::string::npos &&
           message.method.size() + message.path.size() + message.query.size() <=
               longest_request_line &&
           header_size(message.headers) + message.path.size() + message.query.size() <
               buffer_bytes / 2 &&
           std::all_of(message.headers.begin(), message.headers.end(), [](const header& field) {
               return valid_header_name(field.name) && valid_header_value(field.value);
           });
}

/// Removes the headers that this library or libwebsockets writes itself.
void remove_framing_headers(header_list& headers) {
    constexpr std::array<std::string_view, 4> names{"content-length", "transfer-encoding",
                                                    "connection", "host"};
    std::erase_if(headers, [&](const header& field) {
        const header_list probe{{field.name, "1"}};
        return std::any_of(names.begin(), names.end(), [&](std::string_view name) {
            return !find_header(probe, name).empty();
        });
    });
}

class lws_client : public client {
public:
    explicit lws_client(std::unique_ptr<client_state> initial) : state(std::move(initial)) {
        sweep(*this->state);
    }
    lws_client(const lws_client&) = delete;
    lws_client& operator=(const lws_client&) = delete;
    ~lws_client() override;

    exchange_id send(const endpoint& target, request message, milliseconds timeout,
                     exchange_handlers handlers) override;
    void cancel(exchange_id id) override;
    void pause(exchange_id id) override { this->set_reading(id, false); }
    void resume(exchange_id id) override { this->set_reading(id, true); }

private:
    void set_reading(exchange_id id, bool reading);

    std::unique_ptr<client_state> state;
};

lws_client::~lws_client() {
    client_state& ending = *this->state;
    ending.events->cancel(ending.sweep_timer);
    for (const auto& [id, pending] : ending.exchanges) {
        ending.events->cancel(pending->timeout_timer);
        ending.events->cancel(pending->connect_timer);
        if (pending->carrier != nullptr) {
            pending->carrier->current = nullptr;
            pending->carrier = nullptr;
        }
    }
    for (const std::unique_ptr<slot>& place : ending.slots) {
        if (place->wsi != nullptr) {
            kill(place->wsi);
        }
    }
    ending.destroyed = true;
    event_loop::implementation& loop = *ending.loop;
    const std::shared_ptr<client_state> kept = std::move(this->state);
    for (const std::unique_ptr<slot>& place : kept->slots) {
        loop.keep_until_destroyed(place->vhost, kept);
    }
    loop.retired.push_back(kept);
}

exchange_id lws_client::send(const endpoint& target, request message, milliseconds timeout,
                             exchange_handlers handlers) {
    client_state& owner = *this->state;
    auto created = std::make_unique<exchange>();
    exchange& started = *created;
    started.id = owner.next_exchange++;
    started.target = target;
    started.message = std::move(message);
    started.handlers = std::move(handlers);
    remove_framing_headers(started.message.headers);
    const exchange_id id = started.id;
    owner.exchanges.emplace(id, std::move(created));
    if (!is_valid(started.message) || target.port == 0) {
        fail(owner, started, http_errc::invalid_request);
        return id;
    }
    started.timeout_timer =
        owner.events->call_after(timeout, [&owner, id] { on_exchange_timeout(owner, id); });
    owner.pools[target].waiting.push_back(id);
    start_next(owner, target);
    return id;
}

void lws_client::cancel(exchange_id id) {
    exchange* cancelled = find_exchange(*this->state, id);
    if (cancelled == nullptr) {
        return;
    }
    link* carrier = cancelled->carrier;
    const std::unique_ptr<exchange> owned = take_exchange(*this->state, *cancelled);
    if (carrier != nullptr) {
        close_slot(*carrier->place);
    }
}

void lws_client::set_reading(exchange_id id, bool reading) {
    const exchange* found = find_exchange(*this->state, id);
    if (found == nullptr || found->carrier == nullptr || found->carrier->place->wsi == nullptr) {
        return;
    }
    lws_rx_flow_control(found->carrier->place->wsi, reading ? 1 : 0);
}

}  // namespace

std::unique_ptr<client> client::create(event_loop& loop, const client_limits& limits) {
    auto state = std::make_unique<client_state>();
    state->loop = &loop.internals();
    state->events = &loop;
    state->limits = limits;
    return std::make_unique<lws_client>(std::move(state));
}

}  // namespace greengagechute::http
