#include "http/client.h"

#include "event_loop_internals.h"
#include "http/errors.h"
#include "lws_headers.h"
#include "wire/message.h"

#include <libwebsockets.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <stdexcept>

namespace greengagechute::http {

namespace {

using exchange_id = client::exchange_id;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;
/// Most bytes of method, path and query together.
constexpr std::size_t longest_request_line = 2'000;
constexpr const char* protocol_name = "http";

struct client_state;
struct slot;

/// One request and its response.
struct exchange {
    exchange_id id = 0;
    endpoint target;
    exchange_handlers handlers;
    event_loop::timer_id timeout_timer = 0;
    event_loop::timer_id connect_timer = 0;
    slot* carrier = nullptr;
    /// The request as it is sent, and how much of it the connection has taken.
    std::string bytes;
    std::size_t written = 0;
    /// Set before the first byte is written.
    bool sent = false;
    /// The connection had served an earlier exchange.
    bool reused = false;
    bool retried = false;
    wire::response_parser parser;
    bool head_received = false;
    /// The response ends at its head, by its method or status.
    bool bodiless = false;
    bool paused = false;
};

enum class slot_phase { unused, busy, idle, closing };

/// Room for one connection.
struct slot {
    client_state* owner = nullptr;
    endpoint target;
    slot_phase phase = slot_phase::unused;
    lws* wsi = nullptr;
    exchange* current = nullptr;
    time_point idle_since;
};

struct endpoint_pool {
    std::deque<exchange_id> waiting;
    std::size_t open = 0;
};

struct client_state {
    event_loop::implementation* loop = nullptr;
    event_loop* events = nullptr;
    client_limits limits;
    lws_vhost* vhost = nullptr;
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
    slot* carrier = failed.carrier;
    fail(state, failed, cause);
    if (carrier != nullptr) {
        close_slot(*carrier);
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

slot& take_unused(client_state& state) {
    if (!state.unused.empty()) {
        slot* place = state.unused.back();
        state.unused.pop_back();
        return *place;
    }
    state.slots.push_back(std::make_unique<slot>());
    state.slots.back()->owner = &state;
    return *state.slots.back();
}

/// The request as it is sent.
std::string serialize(const endpoint& target, request message) {
    wire::request converted;
    converted.method = std::move(message.method);
    converted.target = message.path.empty() ? "/" : message.path;
    if (!message.query.empty()) {
        converted.target += "?" + message.query;
    }
    converted.headers.push_back({"host", target.address});
    for (header& field : message.headers) {
        converted.headers.push_back({std::move(field.name), std::move(field.value)});
    }
    converted.body = std::move(message.body);
    converted.has_body = !converted.body.empty() || converted.method == "POST" ||
                         converted.method == "PUT" || converted.method == "PATCH";
    return wire::serialize(converted);
}

void arm_connect_timer(client_state& state, exchange& started) {
    started.connect_timer = state.events->call_after(
        state.limits.connect_timeout, [&state, id = started.id] { on_connect_timeout(state, id); });
}

/// Opens a connection in the slot. Returns nullptr if it failed at once.
lws* open_connection(client_state& state, slot& place) {
    lws_client_connect_info info{};
    info.context = state.loop->context;
    info.vhost = state.vhost;
    info.address = place.target.address.c_str();
    info.port = place.target.port;
    info.host = info.address;
    // The connection moves bytes only; `wire` reads the response.
    info.method = "RAW";
    info.local_protocol_name = protocol_name;
    info.opaque_user_data = &place;
    return lws_client_connect_via_info(&info);
}

/// Gives the exchange to the slot, which has an idle connection or none.
void start_on(client_state& state, exchange& started, slot& place) {
    started.reused = place.phase == slot_phase::idle;
    place.target = started.target;
    place.phase = slot_phase::busy;
    place.current = &started;
    started.carrier = &place;
    arm_connect_timer(state, started);
    if (started.reused) {
        lws_callback_on_writable(place.wsi);
        return;
    }
    state.pools[started.target].open += 1;
    const exchange_id id = started.id;
    place.wsi = open_connection(state, place);
    if (place.wsi != nullptr) {
        return;
    }
    // Depending on where it failed, libwebsockets has or has not reported the error.
    exchange* failed = find_exchange(state, id);
    if (failed != nullptr && failed->carrier != nullptr) {
        fail(state, *failed, http_errc::connect_failed);
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
        slot* place = next->retried ? nullptr : take_idle(state, target);
        if (place == nullptr) {
            if (pool.open >= state.limits.connections_per_endpoint) {
                std::vector<slot*>& idle = state.idle[target];
                if (!idle.empty()) {
                    close_slot(*idle.front());
                }
                return;
            }
            place = &take_unused(state);
        }
        pool.waiting.pop_front();
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

/// Writes what the connection takes of the request; lws_write would copy the rest.
void write_request(lws* wsi, exchange& active) {
    client_state& state = *active.carrier->owner;
    state.events->cancel(active.connect_timer);
    active.sent = true;
    while (active.written < active.bytes.size()) {
        const auto count =
            ::send(lws_get_socket_fd(wsi), active.bytes.data() + active.written,
                   active.bytes.size() - active.written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            // Of a broken connection the response may still be read, and its end is reported there.
            if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) {
                lws_callback_on_writable(wsi);
            }
            return;
        }
        active.written += static_cast<std::size_t>(count);
    }
}

/// The headers that are passed on: the common ones and those in `custom`, named in lower case.
header_list select_headers(const wire::header_list& received,
                           const std::vector<std::string>& custom) {
    header_list selected;
    for (const wire::header& field : received) {
        std::string name = field.name;
        std::transform(name.begin(), name.end(), name.begin(), lower);
        if (is_common_header(name) ||
            std::find(custom.begin(), custom.end(), name) != custom.end()) {
            selected.push_back({std::move(name), std::string(wire::trimmed(field.value))});
        }
    }
    return selected;
}

/// Passes on the head of the response. Returns false if the exchange has ended.
bool pass_on_head(slot& place, const wire::response& message) {
    client_state& state = *place.owner;
    exchange& active = *place.current;
    if (header_size(message.headers) > state.limits.header_bytes) {
        fail(state, active, http_errc::malformed_response);
        return false;
    }
    active.head_received = true;
    if (active.handlers.on_head) {
        // A copy, since the handler may cancel the exchange.
        const auto handler = active.handlers.on_head;
        handler(message.code, select_headers(message.headers, state.limits.custom_headers));
    }
    return place.current != nullptr;
}

/// Passes on a part of the body. Returns false if the exchange has ended.
bool pass_on_body(slot& place, std::string_view part) {
    const exchange& active = *place.current;
    if (active.handlers.on_body && !part.empty()) {
        const auto handler = active.handlers.on_body;
        handler(part);
    }
    return place.current != nullptr;
}

/// Ends an exchange whose response is whole. A reusable connection becomes idle before the caller
/// is told.
void finish_exchange(slot& place, bool reusable) {
    client_state& state = *place.owner;
    exchange& ended = *place.current;
    place.current = nullptr;
    ended.carrier = nullptr;
    state.events->cancel(ended.timeout_timer);
    state.loop->defer([&state, &place, reusable, id = ended.id] {
        // The connection may have closed since, and the slot may carry another exchange.
        if (reusable && place.phase == slot_phase::busy && place.wsi != nullptr &&
            place.current == nullptr) {
            place.phase = slot_phase::idle;
            place.idle_since = std::chrono::steady_clock::now();
            state.idle[place.target].push_back(&place);
            start_next(state, place.target);
        }
        exchange* finished = find_exchange(state, id);
        if (finished == nullptr || state.destroyed) {
            return;
        }
        const std::unique_ptr<exchange> owned = take_exchange(state, *finished);
        if (owned->handlers.on_complete) {
            owned->handlers.on_complete();
        }
    });
}

/// Takes what has been read of the response and not been taken: the head once, the body in parts.
wire::response take_part(exchange& active, bool whole) {
    if (whole) {
        return active.parser.take();
    }
    wire::response part;
    if (!active.head_received) {
        part = active.parser.take_head();
    }
    part.body = active.parser.take_body_part();
    return part;
}

/// Reads the response on. Returns whether the connection stays open.
bool read_response(slot& place, std::string_view bytes) {
    exchange& active = *place.current;
    std::size_t used = 0;
    const bool whole = active.parser.feed(bytes, used);
    if (active.parser.error()) {
        fail(*place.owner, active, http_errc::malformed_response);
        return false;
    }
    if (!whole && !active.parser.is_head_read()) {
        return true;
    }
    const wire::response message = take_part(active, whole);
    if (!active.head_received) {
        active.bodiless = active.bodiless || message.code == status_no_content ||
                          message.code == status_not_modified;
        if (!pass_on_head(place, message)) {
            return false;
        }
    }
    if (active.bodiless) {
        // A body that is sent in spite of this would be read as the next response.
        finish_exchange(place, false);
        return false;
    }
    if (!pass_on_body(place, message.body)) {
        return false;
    }
    if (!whole) {
        return true;
    }
    const bool reusable = message.keep_alive && !active.paused && used == bytes.size() &&
                          active.written == active.bytes.size();
    finish_exchange(place, reusable);
    return reusable;
}

/// The connection ended before the exchange did.
void on_lost(slot& place) {
    exchange& lost = *place.current;
    client_state& state = *place.owner;
    if (!lost.sent && lost.reused && !lost.retried) {
        restart(state, lost);
        return;
    }
    if (!lost.sent) {
        fail(state, lost, http_errc::connect_failed);
        return;
    }
    fail(state, lost,
         lost.head_received ? http_errc::incomplete_response : http_errc::connection_closed);
}

/// The connection object of libwebsockets is about to be freed.
void on_destroyed(lws* wsi, slot& place) {
    lws_set_opaque_user_data(wsi, nullptr);
    if (place.owner->destroyed) {
        return;
    }
    if (place.current != nullptr) {
        on_lost(place);
    }
    release_slot(place);
}

int client_callback(lws* wsi, lws_callback_reasons reason, void*, void* in, std::size_t length) {
    auto* place = static_cast<slot*>(lws_get_opaque_user_data(wsi));
    if (place == nullptr) {
        return 0;
    }
    if (reason == LWS_CALLBACK_WSI_DESTROY) {
        on_destroyed(wsi, *place);
        return 0;
    }
    if (place->current == nullptr) {
        // Nobody asked for what an idle connection receives.
        return reason == LWS_CALLBACK_RAW_RX ? -1 : 0;
    }
    switch (reason) {
        case LWS_CALLBACK_RAW_CONNECTED:
            lws_callback_on_writable(wsi);
            return 0;
        case LWS_CALLBACK_RAW_WRITEABLE:
            write_request(wsi, *place->current);
            return 0;
        case LWS_CALLBACK_RAW_RX:
            return read_response(*place, {static_cast<const char*>(in), length}) ? 0 : -1;
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        case LWS_CALLBACK_RAW_CLOSE:
            on_lost(*place);
            return 0;
        default:
            return 0;
    }
}

constexpr std::array<lws_protocols, 2> protocols{{
    {protocol_name, client_callback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

lws_vhost* create_vhost(lws_context* context) {
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = protocols.data();
    info.vhost_name = "client";
    return lws_create_vhost(context, &info);
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

/// Removes the headers that this library writes itself.
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
    loop.keep_until_destroyed(kept->vhost, kept);
}

exchange_id lws_client::send(const endpoint& target, request message, milliseconds timeout,
                             exchange_handlers handlers) {
    client_state& owner = *this->state;
    auto created = std::make_unique<exchange>();
    exchange& started = *created;
    started.id = owner.next_exchange++;
    started.target = target;
    started.handlers = std::move(handlers);
    remove_framing_headers(message.headers);
    started.bodiless = message.method == "HEAD";
    started.parser.set_head_limit(header_storage_bytes);
    started.parser.expect_no_body(started.bodiless);
    const exchange_id id = started.id;
    owner.exchanges.emplace(id, std::move(created));
    if (!is_valid(message) || target.port == 0) {
        fail(owner, started, http_errc::invalid_request);
        return id;
    }
    started.bytes = serialize(target, std::move(message));
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
    slot* carrier = cancelled->carrier;
    const std::unique_ptr<exchange> owned = take_exchange(*this->state, *cancelled);
    if (carrier != nullptr) {
        close_slot(*carrier);
    }
}

void lws_client::set_reading(exchange_id id, bool reading) {
    exchange* found = find_exchange(*this->state, id);
    if (found == nullptr || found->carrier == nullptr || found->carrier->wsi == nullptr) {
        return;
    }
    found->paused = !reading;
    lws_rx_flow_control(found->carrier->wsi, reading ? 1 : 0);
}

}  // namespace

std::unique_ptr<client> client::create(event_loop& loop, const client_limits& limits) {
    auto state = std::make_unique<client_state>();
    state->loop = &loop.internals();
    state->events = &loop;
    state->limits = limits;
    state->vhost = create_vhost(state->loop->context);
    if (state->vhost == nullptr) {
        throw std::runtime_error("libwebsockets cannot create a vhost");
    }
    return std::make_unique<lws_client>(std::move(state));
}

}  // namespace greengagechute::http
