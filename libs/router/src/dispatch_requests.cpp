// The path of one request at its dispatcher: checks, idempotency records, the queue, the run at the
// server, and the answer to the entry host.

#include "admission/errors.h"
#include "base/clock.h"
#include "dispatch_state.h"
#include "http/errors.h"
#include "router/codes.h"
#include "router/dispatch_task.h"
#include "router/errors.h"
#include "upstream/protocol.h"

#include <algorithm>
#include <utility>

namespace greengagechute::router {

namespace {

/// Answers up to this size are sent to the entry host when they are complete.
constexpr std::size_t held_back_limit = 32UL * 1024;

}  // namespace

std::error_code dispatch_task::check_versions(const peer::sender& from,
                                              const peer::forward_request& message) {
    if (!this->view) {
        return make_error_code(router_errc::service_not_ready);
    }
    const revision active = this->view->catalogue->number;
    if (message.active_revision > active) {
        this->report(newer_version_seen{from.host, from.address, message.active_revision});
    }
    if (message.active_revision != active) {
        return make_error_code(router_errc::revision_mismatch);
    }
    return {};
}

void dispatch_task::handle(const peer::sender& from, const peer::forward_request& message) {
    ++this->counters.received;
    const time_point now = std::chrono::steady_clock::now();
    if (const std::error_code mismatch = this->check_versions(from, message)) {
        this->refuse(from.address, nullptr, message.request, outcome::not_run, mismatch);
        return;
    }
    const slot_pointer slot = this->find_slot(message.server);
    if (!slot || slot->handed_over || slot->authority.phase == ownership::dispatch_phase::ended) {
        this->refuse(from.address, nullptr, message.request, outcome::not_run,
                     make_error_code(router_errc::not_dispatcher));
        return;
    }
    const auto item = std::make_shared<work_item>();
    item->message = message;
    item->origin = from.address;
    item->arrived = now;
    item->deadline = now + message.deadline;
    item->fingerprint = admission::fingerprint_of(message.service, message.key, message.method,
                                                  message.target, message.body);
    if (!this->has_standing(now) || slot->definition.drain || !this->may_send(*slot, *item, now)) {
        server_id moved_to;
        for (const ownership::outgoing_partition& outgoing : slot->authority.outgoing) {
            if (message.divided && outgoing.partition.partition == message.partition &&
                outgoing.released) {
                moved_to = outgoing.successor;
            }
        }
        this->refuse(from.address, nullptr, message.request, outcome::not_run,
                     make_error_code(router_errc::partition_not_held), moved_to);
        return;
    }
    if (admission::is_quarantined(this->quarantine, item->fingerprint, now)) {
        this->refuse(from.address, slot.get(), message.request, outcome::not_run,
                     make_error_code(admission::admission_errc::quarantined));
        return;
    }
    this->admit(slot, item);
}

void dispatch_task::admit(const slot_pointer& slot, const item_pointer& item) {
    const time_point now = std::chrono::steady_clock::now();
    const peer::forward_request& message = item->message;
    if (!message.idempotent) {
        const admission::begin_result begun =
            admission::begin(*slot->records, message.idempotency_key, message.request,
                             item->fingerprint, wall_now(), now);
        if (begun.action == admission::begin_action::joined) {
            slot->items.emplace(message.request, item);
            this->work.emplace(message.request, slot);
            return;
        }
        if (begun.action == admission::begin_action::replay) {
            ++this->counters.repeated;
            this->send_answer(*slot, *item, begun.answer, true);
            return;
        }
        if (begun.action == admission::begin_action::refuse) {
            if (begun.state == outcome::answered) {
                this->send_answer(*slot, *item, begun.answer, false);
            } else {
                this->refuse(item->origin, slot.get(), message.request, begun.state, begun.code);
            }
            return;
        }
        item->keeps_answer = true;
    }
    admission::request_info info;
    info.request = message.request;
    info.route =
        admission::route_of(message.service, message.work_kind, message.method, message.target);
    info.caller = message.caller;
    info.deadline = item->deadline;
    const auto offered = admission::offer(slot->queue, info, now);
    if (!offered) {
        std::vector<request_id> waiting;
        if (!message.idempotent) {
            waiting = admission::withdraw(*slot->records, message.idempotency_key);
        }
        this->refuse(item->origin, slot.get(), message.request, outcome::not_run, offered.error());
        this->refuse_waiting(slot, waiting, message.request, outcome::not_run, offered.error());
        return;
    }
    slot->items.emplace(message.request, item);
    this->work.emplace(message.request, slot);
    if (message.divided) {
        ++slot->work_of_partition[message.partition];
    }
    this->pump(slot);
}

bool dispatch_task::may_send(const server_slot& slot, const work_item& item, time_point now) const {
    if (!slot.records || slot.authority.phase != ownership::dispatch_phase::active) {
        return false;
    }
    return ownership::sendable(slot.authority, item.message.partition, now).has_value();
}

void dispatch_task::pump(const slot_pointer& slot) {
    const std::size_t slots_of_server = slot->queue.limits.slots;
    while (!slot->ended && slot->running < slots_of_server) {
        const time_point now = std::chrono::steady_clock::now();
        const auto next = admission::take_next(slot->queue, slots_of_server - slot->running, now);
        if (!next) {
            return;
        }
        const auto found = slot->items.find(*next);
        if (found == slot->items.end()) {
            admission::finish(slot->queue, *next, microseconds(0), outcome::not_run, now);
            continue;
        }
        const item_pointer item = found->second;
        if (!this->has_standing(now) || !this->may_send(*slot, *item, now)) {
            admission::finish(slot->queue, *next, microseconds(0), outcome::not_run, now);
            this->leave_queue(slot, item, make_error_code(router_errc::partition_not_held));
            continue;
        }
        this->run(slot, item);
    }
}

void dispatch_task::run(const slot_pointer& slot, const item_pointer& item) {
    const time_point now = std::chrono::steady_clock::now();
    const peer::forward_request& message = item->message;
    item->running = true;
    item->started = now;
    ++slot->running;
    ++this->counters.run;
    this->queue_wait.observe(std::chrono::duration_cast<microseconds>(now - item->arrived));
    upstream::work order;
    order.service = message.service;
    order.server = message.server;
    order.key = message.key;
    order.partition = ownership::sendable(slot->authority, message.partition, now);
    order.dispatcher_epoch = slot->authority.dispatcher_epoch;
    order.deadline = std::chrono::duration_cast<milliseconds>(item->deadline - now);
    order.request = message.request;
    order.idempotency_key = message.idempotency_key;
    order.method = message.method;
    order.target = message.target;
    for (const auto& [name, value] : message.headers) {
        order.headers.push_back({name, value});
    }
    order.body = message.body;
    upstream::work_handlers handlers;
    handlers.on_head = [this, slot, item](int status, const http::header_list& headers) {
        this->on_head(slot, item, status, headers);
    };
    handlers.on_body = [this, slot, item](std::string_view part) {
        this->on_body(slot, item, part);
    };
    handlers.on_complete = [this, slot, item] { this->on_complete(slot, item); };
    handlers.on_not_run = [this, slot, item](const std::string& reason) {
        const bool fenced = upstream::is_grant_refusal(reason);
        this->on_not_run(slot, item,
                         make_error_code(fenced ? router_errc::partition_not_held
                                                : router_errc::refused_by_upstream));
    };
    handlers.on_failed = [this, slot, item](std::error_code cause, http::sent_state state) {
        if (state == http::sent_state::never_sent) {
            this->on_not_run(slot, item, make_error_code(router_errc::upstream_unreachable));
        } else {
            this->on_failed(slot, item, cause);
        }
    };
    item->run = this->servers.run(slot->address, std::move(order), std::move(handlers));
}

void dispatch_task::on_head(const slot_pointer& slot, const item_pointer& item, int status_code,
                            const http::header_list& headers) {
    peer::answer_head head;
    head.request = item->message.request;
    head.status = static_cast<std::uint16_t>(status_code);
    for (const http::header& field : headers) {
        head.headers.emplace_back(field.name, field.value);
    }
    if (item->keeps_answer) {
        item->kept.status = head.status;
        item->kept.headers = head.headers;
    }
    item->head_sent = true;
    static_cast<void>(slot);
    this->pass_on(item, std::move(head), 0);
}

void dispatch_task::on_body(const slot_pointer& slot, const item_pointer& item,
                            std::string_view part) {
    peer::answer_part message;
    message.request = item->message.request;
    message.number = item->parts++;
    message.data = std::string(part);
    item->bytes += part.size();
    item->without_credit += part.size();
    if (item->keeps_answer && slot->records &&
        item->kept.body.size() <= slot->records->limits.response_bytes) {
        item->kept.body += part;
    }
    this->pass_on(item, std::move(message), part.size());
    if (item->without_credit > this->settings.answer_window_bytes && !item->paused) {
        item->paused = true;
        this->servers.pause(item->run);
    }
}

// Each frame between daemons costs the same whatever its size, so a small answer goes out at once.
void dispatch_task::pass_on(const item_pointer& item, peer::message message, std::size_t bytes) {
    item->held_back.push_back(std::move(message));
    item->held_back_bytes += bytes;
    if (item->sent_directly || item->held_back_bytes > held_back_limit) {
        item->sent_directly = true;
        this->flush(item);
    }
}

void dispatch_task::flush(const item_pointer& item) {
    // A message that cannot be sent leaves a gap in the part numbers, which the entry host detects.
    static_cast<void>(this->peers.send_all(item->origin, std::exchange(item->held_back, {})));
    item->held_back_bytes = 0;
}

void dispatch_task::handle(const peer::sender&, const peer::answer_credit& message) {
    const auto found = this->work.find(message.request);
    if (found == this->work.end()) {
        return;
    }
    const auto item = found->second->items.find(message.request);
    if (item == found->second->items.end()) {
        return;
    }
    work_item& credited = *item->second;
    credited.without_credit -= std::min(credited.without_credit, message.bytes);
    if (credited.paused && credited.without_credit <= this->settings.answer_window_bytes / 2) {
        credited.paused = false;
        this->servers.resume(credited.run);
    }
}

void dispatch_task::handle(const peer::sender&, const peer::forward_cancel& message) {
    const auto found = this->work.find(message.request);
    if (found == this->work.end()) {
        return;
    }
    const slot_pointer slot = found->second;
    const auto entry = slot->items.find(message.request);
    if (entry == slot->items.end()) {
        return;
    }
    const item_pointer item = entry->second;
    ++this->counters.cancelled;
    const time_point now = std::chrono::steady_clock::now();
    if (!item->running) {
        const bool queued = admission::cancel(slot->queue, message.request, now) ==
                            admission::cancel_result::removed;
        if (queued) {
            this->leave_queue(slot, item, make_error_code(router_errc::caller_left));
        } else {
            if (slot->records) {
                admission::leave(*slot->records, item->message.idempotency_key, message.request);
            }
            this->forget(slot, item);
        }
        return;
    }
    // Work that is not idempotent goes on, so that its outcome is known for a resend.
    if (item->message.idempotent) {
        this->servers.cancel(item->run);
        this->finish_running(slot, item, outcome::unknown);
        this->pump(slot);
    }
}

void dispatch_task::finish_running(const slot_pointer& slot, const item_pointer& item,
                                   outcome state) {
    const time_point now = std::chrono::steady_clock::now();
    const auto service_time = std::chrono::duration_cast<microseconds>(now - item->started);
    admission::finish(slot->queue, item->message.request, service_time, state, now);
    this->service_duration.observe(service_time);
    --slot->running;
    item->running = false;
    this->forget(slot, item);
}

void dispatch_task::forget(const slot_pointer& slot, const item_pointer& item) {
    const bool counted = slot->items.erase(item->message.request) > 0;
    this->work.erase(item->message.request);
    if (!counted || !item->message.divided) {
        return;
    }
    const auto count = slot->work_of_partition.find(item->message.partition);
    if (count == slot->work_of_partition.end()) {
        return;
    }
    if (--count->second == 0) {
        slot->work_of_partition.erase(count);
        if (!slot->ended) {
            for (const ownership::outgoing_partition& outgoing : slot->authority.outgoing) {
                if (outgoing.partition.partition == item->message.partition) {
                    this->advance(slot, ownership::partition_idle{item->message.partition});
                    break;
                }
            }
        }
    }
}

void dispatch_task::on_complete(const slot_pointer& slot, const item_pointer& item) {
    ++this->counters.answered;
    peer::answer_end end;
    end.request = item->message.request;
    end.parts = item->parts;
    end.bytes = item->bytes;
    end.predicted_wait = std::chrono::ceil<milliseconds>(
        admission::predicted_wait(slot->queue, std::chrono::steady_clock::now()));
    item->held_back.emplace_back(end);
    this->flush(item);
    std::vector<request_id> waiting;
    const bool whole =
        slot->records && item->kept.body.size() <= slot->records->limits.response_bytes;
    if (item->keeps_answer && slot->records) {
        waiting =
            admission::complete(*slot->records, item->message.idempotency_key, outcome::answered,
                                item->kept, std::chrono::steady_clock::now());
    }
    this->finish_running(slot, item, outcome::answered);
    for (const request_id other : waiting) {
        const auto joined = slot->items.find(other);
        if (other == item->message.request || joined == slot->items.end()) {
            continue;
        }
        const item_pointer resend = joined->second;
        this->send_answer(*slot, *resend, item->kept, whole);
        this->forget(slot, resend);
    }
    this->pump(slot);
}

void dispatch_task::on_not_run(const slot_pointer& slot, const item_pointer& item,
                               std::error_code code) {
    std::vector<request_id> waiting;
    if (!item->message.idempotent && slot->records) {
        waiting = admission::withdraw(*slot->records, item->message.idempotency_key);
    }
    this->finish_running(slot, item, outcome::not_run);
    this->refuse(item->origin, slot.get(), item->message.request, outcome::not_run, code);
    this->refuse_waiting(slot, waiting, item->message.request, outcome::not_run, code);
    this->pump(slot);
}

void dispatch_task::on_failed(const slot_pointer& slot, const item_pointer& item,
                              std::error_code cause) {
    const bool timed_out = cause == http::http_errc::timeout;
    if (timed_out) {
        this->servers.cancel_work(slot->address, item->message.request);
    } else if (cause != router_errc::server_lost) {
        // A process that crashes breaks its connections. A server that only went silent, because it
        // froze or was cut off, says nothing about the requests in flight there.
        slot->crash_suspects.emplace_back(item->fingerprint, std::chrono::steady_clock::now());
    }
    std::error_code code = make_error_code(router_errc::upstream_failed);
    if (timed_out) {
        code = make_error_code(router_errc::deadline_exceeded);
    } else if (cause == router_errc::server_lost) {
        code = cause;
    } else if (item->head_sent) {
        code = make_error_code(router_errc::incomplete_answer);
    }
    std::vector<request_id> waiting;
    if (item->keeps_answer && slot->records) {
        waiting =
            admission::complete(*slot->records, item->message.idempotency_key, outcome::unknown,
                                item->kept, std::chrono::steady_clock::now());
    }
    this->finish_running(slot, item, outcome::unknown);
    this->refuse(item->origin, slot.get(), item->message.request, outcome::unknown, code);
    this->refuse_waiting(slot, waiting, item->message.request, outcome::unknown, code);
    this->pump(slot);
}

void dispatch_task::leave_queue(const slot_pointer& slot, const item_pointer& item,
                                std::error_code code) {
    std::vector<request_id> waiting;
    if (!item->message.idempotent && slot->records) {
        waiting = admission::withdraw(*slot->records, item->message.idempotency_key);
    }
    this->forget(slot, item);
    this->refuse(item->origin, slot.get(), item->message.request, outcome::not_run, code);
    this->refuse_waiting(slot, waiting, item->message.request, outcome::not_run, code);
}

void dispatch_task::refuse_waiting(const slot_pointer& slot, const std::vector<request_id>& waiting,
                                   request_id except, outcome state, std::error_code code) {
    for (const request_id other : waiting) {
        const auto joined = slot->items.find(other);
        if (other == except || joined == slot->items.end()) {
            continue;
        }
        const item_pointer resend = joined->second;
        this->forget(slot, resend);
        this->refuse(resend->origin, slot.get(), other, state, code);
    }
}

void dispatch_task::send_answer(const server_slot& slot, const work_item& item,
                                const admission::stored_response& answer, bool whole) {
    peer::answer_head head;
    head.request = item.message.request;
    head.status = answer.status;
    head.headers = answer.headers;
    if (!whole) {
        head.headers.clear();
        head.headers.emplace_back(
            "x-error-code",
            std::to_string(make_error_code(admission::admission_errc::answer_not_kept).value()));
    }
    std::vector<peer::message> answers;
    answers.emplace_back(std::move(head));
    peer::answer_end end;
    end.request = item.message.request;
    if (whole && !answer.body.empty()) {
        answers.emplace_back(peer::answer_part{item.message.request, 0, answer.body});
        end.parts = 1;
        end.bytes = answer.body.size();
    }
    end.predicted_wait = std::chrono::ceil<milliseconds>(
        admission::predicted_wait(slot.queue, std::chrono::steady_clock::now()));
    answers.emplace_back(end);
    static_cast<void>(this->peers.send_all(item.origin, std::move(answers)));
}

void dispatch_task::refuse(const std::string& address, const server_slot* slot, request_id request,
                           outcome state, std::error_code code, const server_id& moved_to) {
    peer::refused refusal;
    refusal.request = request;
    refusal.state = state;
    refusal.code = number_of(code);
    refusal.moved_to = moved_to;
    if (this->view) {
        refusal.active_revision = this->view->catalogue->number;
    }
    if (slot != nullptr) {
        refusal.predicted_wait = std::chrono::ceil<milliseconds>(
            admission::predicted_wait(slot->queue, std::chrono::steady_clock::now()));
    }
    ++(state == outcome::not_run ? this->counters.not_run : this->counters.unknown);
    static_cast<void>(this->peers.send(address, refusal));
}

}  // namespace greengagechute::router
