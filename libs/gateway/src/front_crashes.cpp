#include "front_state.h"

#include <utility>
#include <vector>

namespace greengagechute::gateway {

namespace {

/// Delay before a server whose connection broke is asked for another one. A process that ends
/// closes its listener and its connections within this time.
constexpr milliseconds server_check_delay{30};
/// Time in which a server accepts a connection, or its machine refuses one, unless that is lost.
constexpr milliseconds server_check_timeout{500};

}  // namespace

request_fingerprint front::state::content_of(active_request& active) const {
    if (!active.content) {
        active.content = fingerprint_of(active.message, this->names.key);
    }
    return *active.content;
}

/// Refuses the request if servers have ended under it lately. Returns whether it was refused.
bool front::state::refuse_if_quarantined(const request_handle& active, time_point now) {
    if (this->guard.requests.entries.empty() ||
        time_until_allowed(this->guard, this->content_of(*active), now) == milliseconds{0}) {
        return false;
    }
    this->quarantined_count.add();
    this->refuse(active, gateway_errc::quarantined, now);
    return true;
}

/// Remembers a request that was interrupted at a server, and asks whether the server has ended if
/// it closed the connection. The end of a server that leaves is planned.
void front::state::note_interrupted(const request_handle& active, const server_state* server,
                                    interruption how, time_point now) {
    if (server == nullptr || server->entry.life != active->current_instance ||
        server->entry.draining || server->notices.leaving_since) {
        return;
    }
    record_interruption(this->guard.attribution,
                        {this->content_of(*active), active->current_instance, now, how});
    if (how == interruption::closed) {
        this->check_server(server->entry.life, server->entry.address);
    }
}

/// Ends the attempts at a server instance that was replaced: they are never answered.
void front::state::end_attempts_at(const ranges::server_instance& ended, time_point now) {
    std::vector<request_handle> interrupted;
    for (const request_handle& active : this->open) {
        if (active->in_flight && active->current_instance == ended) {
            interrupted.push_back(active);
            record_interruption(this->guard.attribution,
                                {this->content_of(*active), ended, now, interruption::closed});
        }
    }
    this->on_server_ended(ended, end_evidence::replaced, now);
    for (const request_handle& active : interrupted) {
        this->release_server(active);
        this->upstreams.cancel(active->call);
        active->may_have_run = true;
        this->on_failure(active, make_error_code(gateway_errc::server_replaced), now);
    }
}

/// Opens a connection to a server that may have ended, and closes it at once if it is accepted.
void front::state::check_server(const ranges::server_instance& server,
                                const wire::endpoint& address) {
    const auto [check, added] = this->server_checks.try_emplace(server);
    if (!added) {
        return;
    }
    const auto end_check = [this, server](bool close) {
        const auto found = this->server_checks.find(server);
        this->loop.cancel(found->second.timer);
        if (close && found->second.connection) {
            found->second.connection->close();
        }
        this->server_checks.erase(found);
    };
    check->second.timer = this->loop.call_after(server_check_delay, [this, server, address,
                                                                     end_check] {
        server_check& running = this->server_checks.at(server);
        running.timer = this->loop.call_after(server_check_timeout, [this, server, end_check] {
            end_check(true);
            this->on_server_ended(server, end_evidence::unreachable, wire::event_loop::now());
        });
        wire::stream_handlers handlers;
        handlers.connected = [this, server, end_check] {
            dismiss(this->guard.attribution, server);
            end_check(true);
        };
        handlers.ended = [this, server, end_check](wire::stream_end how) {
            end_check(false);
            if (how == wire::stream_end::refused) {
                this->on_server_ended(server, end_evidence::unreachable, wire::event_loop::now());
            }
        };
        running.connection = wire::stream::connect(this->loop, address, std::move(handlers));
    });
}

/// Counts the requests that ran at a server instance when it ended.
void front::state::on_server_ended(const ranges::server_instance& server, end_evidence evidence,
                                   time_point now) {
    for (const counted_loss& loss : note_ended(this->guard, server, evidence, now)) {
        this->ended_under_requests.add();
        telemetry::log_warning(this->log, "server_ended_under_request",
                               {{"content", to_text(loss.content)},
                                {"server", server.id.value()},
                                {"born", server.start_time_ms},
                                {"replaced", evidence == end_evidence::replaced},
                                {"losses", loss.losses},
                                {"refused_for", loss.refused_for}});
    }
}

}  // namespace greengagechute::gateway
