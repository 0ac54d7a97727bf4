#include "wire/client.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace greengagechute::wire {

namespace {

constexpr std::int64_t ms_per_second = 1'000;
constexpr int percent = 100;

/// The idle time that a response states, or `unstated`.
milliseconds idle_time(const response& message, const idle_limits& limits) {
    const std::string* stated = find_header(message.headers, "Keep-Alive");
    if (stated == nullptr) {
        return limits.unstated;
    }
    static constexpr std::string_view name = "timeout=";
    const std::size_t at = stated->find(name);
    if (at == std::string::npos) {
        return limits.unstated;
    }
    std::int64_t seconds = 0;
    const char* first = stated->data() + at + name.size();
    if (std::from_chars(first, stated->data() + stated->size(), seconds).ec != std::errc{} ||
        seconds < 0 || seconds > ms_per_second * ms_per_second) {
        return limits.unstated;
    }
    return std::min(limits.unstated,
                    milliseconds(seconds * ms_per_second * limits.stated_percent / percent));
}

}  // namespace

struct client::call {
    call_id id;
    endpoint address;
    std::string bytes;
    bool head = false;
    call_options options;
    call_handler done;
    timer_id timeout = 0;
    timer_id connect_timeout = 0;
    std::shared_ptr<connection> channel;
    bool sent = false;
    time_point sent_at;
    bool reused = false;
    std::optional<connection_id> used_connection;
};

struct client::connection {
    connection_id id;
    endpoint address;
    std::shared_ptr<stream> socket;
    response_parser parser;
    std::shared_ptr<call> current;
    bool connected = false;
    bool used = false;
    bool dropped = false;
    /// Last time at which the peer was heard: the connection was established, or bytes arrived.
    time_point heard_at;
    /// Bytes received for the current call, and the memory taken from the budget for it.
    std::size_t received = 0;
    std::size_t kept = 0;
    time_point idle_until;
};

client::client(event_loop& owner, idle_limits idle_rules, response_limits response_bounds,
               close_mode idle_mode)
    : loop(owner), limits(idle_rules), bounds(std::move(response_bounds)), mode(idle_mode) {}

client::~client() {
    for (auto& [id, open_call] : this->calls) {
        this->loop.cancel(open_call->timeout);
        this->loop.cancel(open_call->connect_timeout);
        if (open_call->channel) {
            this->forget_received(*open_call->channel);
            open_call->channel->socket->close(close_mode::abortive);
            open_call->channel->current = nullptr;
            open_call->channel = nullptr;
        }
    }
    for (auto& [address, channels] : this->idle) {
        for (auto& channel : channels) {
            channel->socket->close();
        }
    }
}

std::uint64_t client::opened() const {
    return this->connections_opened;
}

call_id client::send(const endpoint& address, const request& message, const call_options& options,
                     call_handler done) {
    auto started = std::make_shared<call>();
    started->id = call_id(++this->last_id);
    started->address = address;
    started->bytes = serialize(message);
    started->head = message.method == "HEAD";
    started->options = options;
    started->done = std::move(done);
    this->calls.emplace(started->id.value(), started);
    started->timeout = this->loop.call_after(options.timeout, [this, started] {
        this->drop_silent(*started);
        call_result outcome;
        outcome.error = started->sent ? wire_errc::timeout : wire_errc::connect_timeout;
        this->end_call(started, std::move(outcome));
    });
    this->begin(started);
    return started->id;
}

void client::begin(const std::shared_ptr<call>& started) {
    const time_point now = event_loop::now();
    auto& channels = this->idle[started->address];
    const auto& excluded = started->options.excluded;
    // The connection used last is preferred.
    for (std::size_t index = channels.size(); index > 0;) {
        --index;
        const auto at = channels.begin() + static_cast<std::ptrdiff_t>(index);
        const auto channel = *at;
        if (channel->dropped || channel->idle_until <= now) {
            channels.erase(at);
            this->drop(channel);
            continue;
        }
        if (started->options.own_connection ||
            std::find(excluded.begin(), excluded.end(), channel->id) != excluded.end()) {
            continue;
        }
        channels.erase(at);
        started->reused = true;
        this->dispatch(channel, started);
        return;
    }
    auto channel = std::make_shared<connection>();
    channel->parser.set_head_limit(this->bounds.head_bytes);
    channel->address = started->address;
    channel->current = started;
    started->channel = channel;
    channel->id = connection_id(++this->connections_opened);
    started->connect_timeout =
        this->loop.call_after(started->options.connect_timeout, [this, channel] {
            if (!channel->connected) {
                this->fail(channel, wire_errc::connect_timeout);
            }
        });
    stream_handlers handlers;
    handlers.connected = [this, channel] {
        channel->connected = true;
        channel->heard_at = event_loop::now();
        if (channel->current) {
            this->loop.cancel(channel->current->connect_timeout);
            this->dispatch(channel, channel->current);
        }
    };
    handlers.data = [this, channel](std::string_view bytes) { this->on_data(channel, bytes); };
    handlers.ended = [this, channel](stream_end how) { this->on_end(channel, how); };
    channel->socket =
        stream::connect(this->loop, started->address, std::move(handlers), this->mode);
}

void client::dispatch(const std::shared_ptr<connection>& channel,
                      const std::shared_ptr<call>& started) {
    channel->current = started;
    started->channel = channel;
    started->sent = true;
    started->sent_at = event_loop::now();
    started->used_connection = channel->id;
    channel->parser.expect_no_body(started->head);
    channel->socket->write(std::move(started->bytes));
}

/// Counts bytes that were received for the current call and read by the parser.
/// @return an error if they exceed the bounds
status client::count_received(connection& channel, std::size_t received) {
    channel.received += received;
    if (channel.received > this->bounds.call_bytes) {
        return wire_errc::response_too_large;
    }
    const std::size_t kept = channel.parser.kept_bytes();
    switch (this->bounds.budget->resize(channel.address, channel.kept, kept)) {
        case budget_result::peer_exceeded:
            return wire_errc::response_too_large;
        case budget_result::total_exceeded:
            return wire_errc::response_memory_full;
        case budget_result::granted:
            break;
    }
    channel.kept = kept;
    return {};
}

void client::forget_received(connection& channel) {
    this->bounds.budget->resize(channel.address, channel.kept, 0);
    channel.kept = 0;
    channel.received = 0;
}

void client::on_data(const std::shared_ptr<connection>& channel, std::string_view bytes) {
    channel->heard_at = event_loop::now();
    while (!bytes.empty() && !channel->dropped) {
        if (!channel->current) {
            // Nothing was asked for: the bytes belong to no request.
            this->drop(channel);
            return;
        }
        std::size_t used = 0;
        const bool complete = channel->parser.feed(bytes, used);
        bytes.remove_prefix(std::min(used, bytes.size()));
        if (channel->parser.error()) {
            const bool too_large =
                channel->parser.error() == make_error_code(wire_errc::header_too_large);
            this->fail(channel,
                       too_large ? wire_errc::response_too_large : wire_errc::malformed_response);
        } else if (const status excess = this->count_received(*channel, used)) {
            this->fail(channel, excess);
        } else if (complete) {
            this->complete(channel, bytes);
        }
    }
}

void client::complete(const std::shared_ptr<connection>& channel, std::string_view rest) {
    call_result outcome;
    outcome.message = channel->parser.take();
    const auto answered = channel->current;
    const auto is_repeated = [&headers = outcome.message.headers](const std::string& name) {
        return header_values(headers, name).size() > 1;
    };
    if (std::any_of(answered->options.unique_headers.begin(),
                    answered->options.unique_headers.end(), is_repeated)) {
        this->fail(channel, wire_errc::malformed_response);
        return;
    }
    if (answered->options.accept && !answered->options.accept(outcome.message)) {
        if (!outcome.message.keep_alive) {
            this->fail(channel, wire_errc::closed_before_response);
        }
        return;
    }
    channel->current = nullptr;
    answered->channel = nullptr;
    this->forget_received(*channel);
    if (outcome.message.keep_alive && rest.empty() && channel->socket->pending() == 0) {
        this->keep(channel, outcome.message, event_loop::now());
    } else {
        this->drop(channel);
    }
    this->end_call(answered, std::move(outcome));
}

void client::on_end(const std::shared_ptr<connection>& channel, stream_end how) {
    if (channel->dropped) {
        return;
    }
    if (!channel->current) {
        this->drop(channel);
        return;
    }
    const bool in_message = channel->parser.in_message();
    if (how == stream_end::closed_by_peer && channel->parser.feed_end()) {
        this->complete(channel, {});
        return;
    }
    if (how == stream_end::refused) {
        this->fail(channel, wire_errc::refused);
    } else if (how == stream_end::closed_by_peer) {
        this->fail(channel, in_message ? wire_errc::truncated : wire_errc::closed_before_response);
    } else {
        this->fail(channel, channel->connected ? wire_errc::reset : wire_errc::connect_timeout);
    }
}

void client::fail(const std::shared_ptr<connection>& channel, const status& code) {
    const auto failed = channel->current;
    channel->current = nullptr;
    this->forget_received(*channel);
    this->drop(channel);
    if (failed) {
        failed->channel = nullptr;
        call_result outcome;
        outcome.error = code;
        outcome.message = channel->parser.take_head();
        this->end_call(failed, std::move(outcome));
    }
}

void client::keep(const std::shared_ptr<connection>& channel, const response& message,
                  time_point now) {
    channel->used = true;
    channel->idle_until = now + idle_time(message, this->limits);
    auto& channels = this->idle[channel->address];
    std::erase_if(channels, [this, now](const std::shared_ptr<connection>& other) {
        if (other->dropped || other->idle_until <= now) {
            this->drop(other);
            return true;
        }
        return false;
    });
    channels.push_back(channel);
}

/// Closes the kept connections that may have gone silent together with the one of a call that timed
/// out without a byte in response: those on which the peer was not heard since the call was sent.
void client::drop_silent(const call& timed_out) {
    if (!timed_out.sent || !timed_out.channel || timed_out.channel->heard_at > timed_out.sent_at) {
        return;
    }
    const auto kept = this->idle.find(timed_out.address);
    if (kept == this->idle.end()) {
        return;
    }
    std::erase_if(kept->second, [&](const std::shared_ptr<connection>& channel) {
        const bool suspect = channel->heard_at <= timed_out.sent_at;
        if (suspect) {
            this->drop(channel);
        }
        return suspect;
    });
}

void client::drop(const std::shared_ptr<connection>& channel, close_mode how) {
    if (!channel->dropped) {
        channel->dropped = true;
        // Releases the handlers, which refer to the connection.
        channel->socket->close(how);
    }
}

void client::end_call(const std::shared_ptr<call>& ended, call_result outcome) {
    if (this->calls.erase(ended->id.value()) == 0) {
        return;
    }
    this->loop.cancel(ended->timeout);
    this->loop.cancel(ended->connect_timeout);
    if (ended->channel) {
        ended->channel->current = nullptr;
        this->forget_received(*ended->channel);
        this->drop(ended->channel, close_mode::abortive);
        ended->channel = nullptr;
    }
    outcome.sent = ended->sent;
    outcome.reused = ended->reused;
    outcome.connection = ended->used_connection;
    const call_handler done = std::move(ended->done);
    if (done) {
        done(std::move(outcome));
    }
}

void client::cancel(call_id id) {
    const auto found = this->calls.find(id.value());
    if (found != this->calls.end()) {
        const auto cancelled = found->second;
        cancelled->done = nullptr;
        this->end_call(cancelled, {});
    }
}

}  // namespace greengagechute::wire
