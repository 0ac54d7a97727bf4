#include "wire/server.h"

#include <deque>
#include <utility>
#include <vector>

namespace greengagechute::wire {

struct server::state {
    event_loop& loop;
    request_handler handler;
    server_limits limits;
    std::set<std::shared_ptr<server_connection>> connections;
    std::unique_ptr<listener> listening;
    bool closing = false;
    /// Connections that have ended, but whose last answer the caller may not have taken yet.
    std::size_t finishing = 0;
    std::function<void(const closed_connection&)> closed;

    void report(const closed_connection& ended, bool awaited) {
        this->finishing -= awaited ? 1 : 0;
        if (this->closed) {
            this->closed(ended);
        }
    }
};

/// A caller's connection.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(std::shared_ptr<server::state> server_state, std::shared_ptr<stream> opened)
        : owner(std::move(server_state)), socket(std::move(opened)) {}

    void start() {
        stream_handlers handlers;
        const std::weak_ptr<server_connection> weak = this->weak_from_this();
        handlers.data = [weak](std::string_view bytes) {
            if (const auto own = weak.lock()) {
                own->buffered.append(bytes);
                own->read();
            }
        };
        handlers.ended = [weak](stream_end) {
            if (const auto own = weak.lock()) {
                own->end();
                own->owner->report({close_reason::caller, own->unanswered, 0}, false);
            }
        };
        this->socket->set_handlers(std::move(handlers));
        this->watch();
    }

    bool idle() const {
        return this->waiting.empty() && this->buffered.empty() && !this->parser.in_message();
    }

    bool is_first(const incoming* asked) const {
        return !this->waiting.empty() && this->waiting.front().get() == asked;
    }

    bool is_alone(const incoming* asked) const {
        return this->waiting.size() <= 1 && this->is_first(asked);
    }

    /// Sends the answers that are ready and not behind an unanswered request.
    void flush() {
        const auto keep = this->shared_from_this();
        while (!this->waiting.empty() && this->waiting.front()->done && !this->ended) {
            const auto next = this->waiting.front();
            this->waiting.pop_front();
            // While the server closes, requests that were read before this answer still get theirs.
            const bool close = next->close_after || next->reply.until_close ||
                               !next->content.keep_alive ||
                               (this->owner->closing && this->waiting.empty());
            if (next->reply.until_close) {
                this->socket->reset_unless_finished();
            }
            this->socket->write(serialize(next->reply, next->content.method == "HEAD", close));
            next->reply = {};
            if (close) {
                this->finish(close_reason::answered);
                return;
            }
        }
        if (this->ended) {
            return;
        }
        if (!this->waiting.empty() && this->waiting.front()->first) {
            const auto first = std::exchange(this->waiting.front()->first, nullptr);
            first();
        }
        this->watch();
        this->read();
    }

    /// Leaves further requests unread, which tells the caller that they have not run.
    void stop_reading() {
        this->refusing = true;
        this->buffered.clear();
        if (this->waiting.empty()) {
            this->finish(close_reason::stopped);
        }
    }

    /// Closes a connection that awaits nothing.
    void finish(close_reason reason) {
        if (this->ended) {
            return;
        }
        this->end();
        const bool awaited = reason == close_reason::answered || this->socket->pending() > 0;
        const auto report = [weak = std::weak_ptr<server::state>(this->owner), reason, awaited,
                             requests = this->unanswered](std::size_t discarded_bytes) {
            if (const auto own = weak.lock()) {
                own->report({reason, requests, discarded_bytes}, awaited);
            }
        };
        this->owner->finishing += awaited ? 1 : 0;
        if (reason == close_reason::answered) {
            this->socket->finish(late_input::discard, report);
        } else if (reason == close_reason::idle) {
            // Nothing that was sent is still on its way. A caller whose request crosses the close
            // can send it again only if it was not read.
            this->socket->close();
            report(0);
        } else {
            this->socket->finish(late_input::leave_unread, report);
        }
    }

private:
    void read() {
        if (this->reading || this->ended) {
            return;
        }
        this->reading = true;
        const auto keep = this->shared_from_this();
        while (!this->buffered.empty() && !this->refusing && !this->ended &&
               this->waiting.size() < (this->owner->closing ? 1 : this->owner->limits.pipeline)) {
            const time_point now = event_loop::now();
            std::size_t used = 0;
            if (!this->parser.in_message()) {
                this->parser.set_limits(this->owner->limits.message);
            }
            const bool complete = this->parser.feed(this->buffered, used);
            this->buffered.erase(0, used);
            if (complete) {
                this->accept(now);
            } else if (this->parser.error()) {
                this->refuse(this->parser.error());
            }
        }
        this->reading = false;
        if (!this->ended) {
            this->send_continue();
            // A caller that sends more than the pipeline holds waits in its own socket.
            this->socket->set_reading(this->buffered.size() < buffer_limit);
            this->watch();
        }
    }

    /// Sends the interim response that the caller waits for before it sends its body. It must not
    /// overtake the answers of earlier requests.
    void send_continue() {
        if (this->waiting.empty() && !this->continued && !this->refusing &&
            this->parser.wants_continue()) {
            this->continued = true;
            this->socket->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void accept(time_point now) {
        this->continued = false;
        auto next = std::make_shared<incoming>();
        next->owner = this->weak_from_this();
        next->content = this->parser.take();
        next->arrival = now;
        if (!next->content.keep_alive) {
            // What follows a request that asks to close is no request.
            this->refusing = true;
        }
        this->waiting.push_back(next);
        this->owner->handler(next);
    }

    /// Answers what cannot be read, in its turn, and closes.
    void refuse(const status& error) {
        this->refusing = true;
        this->buffered.clear();
        auto last = std::make_shared<incoming>();
        last->owner = this->weak_from_this();
        this->waiting.push_back(last);
        response reply;
        if (error == wire_errc::header_too_large) {
            reply.code = 431;
            reply.reason = "Request Header Fields Too Large";
        } else if (error == wire_errc::body_too_large) {
            reply.code = 413;
            reply.reason = "Content Too Large";
        } else {
            reply.code = 400;
            reply.reason = "Bad Request";
        }
        last->answer(std::move(reply), true);
    }

    /// Sets the time-out that applies now: for an unfinished request or for an idle connection.
    void watch() {
        this->owner->loop.cancel(this->timer);
        if (this->ended || !this->waiting.empty()) {
            return;
        }
        this->waits_since = event_loop::now();
        this->check_after(this->limit());
    }

    bool unfinished() const { return !this->buffered.empty() || this->parser.in_message(); }

    milliseconds limit() const {
        return this->unfinished() ? this->owner->limits.header_timeout
                                  : this->owner->limits.idle_timeout;
    }

    void check_after(milliseconds delay) {
        this->timer = this->owner->loop.call_after(delay, [weak = this->weak_from_this()] {
            if (const auto own = weak.lock()) {
                own->check_limit(event_loop::now());
            }
        });
    }

    /// Closes the connection unless its limit was raised meanwhile.
    void check_limit(time_point now) {
        if (this->socket->pending() > 0) {
            // The caller still takes an answer.
            this->waits_since = now;
        }
        const milliseconds left =
            std::chrono::ceil<milliseconds>(this->waits_since + this->limit() - now);
        if (left > milliseconds{0}) {
            this->check_after(left);
            return;
        }
        // The sockets are polled once more before the close. In a delayed process the timer fires
        // before bytes that arrived in time are read.
        const close_reason reason =
            this->unfinished() ? close_reason::unfinished_request : close_reason::idle;
        this->timer =
            this->owner->loop.call_after(poll_time, [weak = this->weak_from_this(), reason] {
                if (const auto own = weak.lock()) {
                    own->finish(reason);
                }
            });
    }

    void end() {
        if (this->ended) {
            return;
        }
        this->ended = true;
        const auto keep = this->shared_from_this();
        this->owner->loop.cancel(this->timer);
        this->owner->connections.erase(keep);
        for (const auto& request_left : this->waiting) {
            this->unanswered += request_left->done ? 0 : 1;
            if (!request_left->done && request_left->left) {
                const auto left = std::exchange(request_left->left, nullptr);
                left();
            }
        }
        this->waiting.clear();
    }

    /// Unparsed bytes of a connection beyond which it is not read.
    static constexpr std::size_t buffer_limit = 65'536;
    /// The shortest timer that does not fire before the event loop has polled the sockets.
    static constexpr milliseconds poll_time{1};

    std::shared_ptr<server::state> owner;
    std::shared_ptr<stream> socket;
    request_parser parser;
    std::string buffered;
    std::deque<std::shared_ptr<incoming>> waiting;
    timer_id timer = 0;
    /// Time of the last input or answer.
    time_point waits_since;
    /// Requests that were not answered when the connection ended.
    std::size_t unanswered = 0;
    bool reading = false;
    bool refusing = false;
    bool continued = false;
    bool ended = false;
};

std::string_view to_text(close_reason reason) {
    switch (reason) {
        case close_reason::caller:
            return "closed by the caller";
        case close_reason::idle:
            return "idle";
        case close_reason::unfinished_request:
            return "unfinished request";
        case close_reason::answered:
            return "answered";
        default:
            return "process is shutting down";
    }
}

bool incoming::is_first() const {
    const auto connection = this->owner.lock();
    return connection && connection->is_first(this);
}

bool incoming::is_alone() const {
    const auto connection = this->owner.lock();
    return !connection || connection->is_alone(this);
}

void incoming::answer(response message, bool close) {
    if (this->done) {
        return;
    }
    this->done = true;
    this->close_after = close;
    this->reply = std::move(message);
    this->left = nullptr;
    if (const auto connection = this->owner.lock()) {
        connection->flush();
    }
}

server::server(event_loop& loop, request_handler handler)
    : implementation(
          std::make_shared<state>(state{loop, std::move(handler), {}, {}, {}, false, 0, {}})) {
    const std::weak_ptr<state> weak = this->implementation;
    this->implementation->listening =
        std::make_unique<listener>(loop, [weak](const std::shared_ptr<stream>& opened) {
            if (const auto own = weak.lock()) {
                auto connection = std::make_shared<server_connection>(own, opened);
                own->connections.insert(connection);
                connection->start();
            }
        });
}

server::~server() {
    this->implementation->closed = nullptr;
    this->implementation->listening.reset();
    const std::vector<std::shared_ptr<server_connection>> open(
        this->implementation->connections.begin(), this->implementation->connections.end());
    for (const auto& connection : open) {
        connection->finish(close_reason::stopped);
    }
}

status server::open(const endpoint& address) {
    return this->implementation->listening->open(address);
}

std::uint16_t server::port() const {
    return this->implementation->listening->port();
}

void server::set_limits(const server_limits& limits) {
    this->implementation->limits = limits;
}

void server::on_closed(std::function<void(const closed_connection&)> handler) {
    this->implementation->closed = std::move(handler);
}

void server::start_closing() {
    this->implementation->closing = true;
}

void server::stop_reading() {
    this->implementation->listening->close();
    const std::vector<std::shared_ptr<server_connection>> open(
        this->implementation->connections.begin(), this->implementation->connections.end());
    for (const auto& connection : open) {
        connection->stop_reading();
    }
}

bool server::close_idle() {
    const std::vector<std::shared_ptr<server_connection>> open(
        this->implementation->connections.begin(), this->implementation->connections.end());
    for (const auto& connection : open) {
        if (connection->idle()) {
            connection->finish(close_reason::stopped);
        }
    }
    return this->implementation->connections.empty() && this->implementation->finishing == 0;
}

std::size_t server::connections() const {
    return this->implementation->connections.size();
}

}  // namespace greengagechute::wire
