#include "router/entry_task.h"

#include "admission/errors.h"
#include "admission/idempotency.h"
#include "base/clock.h"
#include "router/codes.h"
#include "router/errors.h"
#include "telemetry/metric_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace greengagechute::router {

namespace {

constexpr std::size_t mailbox_capacity = 65'536;
/// Pause before a request that did not run is forwarded again after a change of owner or
/// dispatcher.
constexpr milliseconds redirect_delay{20};
constexpr milliseconds dispatcher_check_period{100};
/// A dispatcher without connection is considered lost only this long after the request was sent, so
/// that a connection being opened is not taken for a loss.
constexpr milliseconds dispatcher_lost_after{250};
/// An answer of a replaced dispatcher may still be on its way for this long. Without the limit, a
/// request at a paused dispatcher would wait until its deadline.
constexpr milliseconds replaced_dispatcher_grace{250};
/// The dispatcher refuses expired work at the deadline; waiting a little longer lets that answer
/// arrive, which is more exact than "unknown".
constexpr milliseconds deadline_grace{30};
/// Bytes of a streamed answer that wait for a slow caller before credit is held back.
constexpr std::size_t write_buffer_bytes = 128UL * 1024;

std::mt19937_64 seeded_generator(const host_instance& self) {
    std::random_device device;
    std::seed_seq seed{device(), device(), static_cast<unsigned>(self.instance.value())};
    return std::mt19937_64(seed);
}

bool same_dispatcher_moved(std::error_code code) {
    return code == router_errc::not_dispatcher || code == router_errc::partition_not_held ||
           code == router_errc::revision_mismatch || code == router_errc::dispatcher_unreachable;
}

}  // namespace

struct entry_task::pending_request {
    std::shared_ptr<http::response_writer> writer;
    classified_request work;
    /// Keeps the catalogue alive that `work` refers to.
    view_pointer view;
    time_point received;
    request_id attempt;
    bool forwarded = false;
    time_point forwarded_at;
    std::string dispatcher;
    server_id server;
    bool other_region = false;
    /// When another host took over from the dispatcher that has the request, without a hand-over.
    std::optional<time_point> replaced_at;
    std::optional<server_id> moved_to;
    std::string moved_to_address;
    bool retried = false;
    /// An earlier attempt may have run, so the request must not end as "not run".
    bool may_have_run = false;
    bool head_received = false;
    bool streaming = false;
    bool finished = false;
    std::uint16_t status = 0;
    http::header_list headers;
    std::uint32_t parts = 0;
    std::uint64_t bytes = 0;
    std::uint64_t credited = 0;
    std::string buffered;
    std::optional<http::event_loop::timer_id> deadline_timer;
    std::optional<http::event_loop::timer_id> retry_timer;
};

entry_task::entry_task(http::event_loop& loop_of_task, const entry_settings& settings_of_task,
                       const links& links_of_daemon, report_newer report_to_control,
                       std::shared_ptr<telemetry::logger> log_of_daemon,
                       telemetry::metrics& registry_of_daemon)
    : loop(loop_of_task),
      settings(settings_of_task),
      peers(links_of_daemon),
      report(std::move(report_to_control)),
      log(std::move(log_of_daemon)),
      messages(loop_of_task, mailbox_capacity),
      budget(admission::make_retry_budget(settings_of_task.retry_budget,
                                          std::chrono::steady_clock::now())),
      quarantine(admission::make_quarantine_table({})),
      generator(seeded_generator(settings_of_task.self)),
      registry(registry_of_daemon) {
    namespace names = telemetry::metric_names;
    const auto outcome_counter = [&](const char* value) {
        return registry
            .add_counter(names::requests_total, "Requests by outcome", {{"outcome", value}})
            .value();
    };
    this->answered_total = outcome_counter("answered");
    this->not_run_total = outcome_counter("not-run");
    this->unknown_total = outcome_counter("unknown");
    this->retries_total = registry.add_counter(names::retries_total, "Retried requests").value();
    this->first_tries_total =
        registry.add_counter(names::first_tries_total, "First tries of requests").value();
    this->cross_region_bytes_total =
        registry
            .add_counter(names::cross_region_bytes_total,
                         "Bytes of requests and answers that cross regions", {{"cause", "request"}})
            .value();
    this->in_deadline_total =
        registry.add_counter(names::goodput_total, "Requests answered within their deadline")
            .value();
    this->deadline_missed_total =
        registry
            .add_counter(names::deadline_missed_total, "Requests not answered by their deadline")
            .value();
    this->late_messages_total =
        registry
            .add_counter(names::dropped_messages_total,
                         "Messages of dispatchers for requests that have ended")
            .value();
    this->in_progress =
        registry.add_gauge(names::requests_in_progress, "Requests without an end yet").value();
    this->duration =
        registry.add_latency(names::request_duration, "Time from request to end of answer").value();
    this->messages.set_handler(
        [this](entry_message message) { this->receive(std::move(message)); });
}

entry_task::~entry_task() = default;

status entry_task::start() {
    auto created = http::server::create(
        this->loop, this->settings.listen, this->settings.server,
        [this](http::request message, const std::shared_ptr<http::response_writer>& writer) {
            this->accept(std::move(message), writer);
        });
    if (!created) {
        return created.error();
    }
    this->server = std::move(*created);
    this->loop.call_after(dispatcher_check_period, [this] { this->check_dispatchers(); });
    return {};
}

void entry_task::receive(entry_message message) {
    std::visit([this](const auto& content) { this->receive(content); }, message);
}

void entry_task::receive(const delivery& message) {
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, peer::answer_head> ||
                          std::is_same_v<type, peer::answer_part> ||
                          std::is_same_v<type, peer::answer_end> ||
                          std::is_same_v<type, peer::refused>) {
                this->handle(message.from, content);
            }
        },
        message.content);
}

void entry_task::receive(const view_changed& message) {
    this->view = message.view;
    this->update_pools();
    // Reads that wait at a dispatcher which was replaced meanwhile are sent to the new one.
    std::vector<pending_pointer> affected;
    for (const auto& [attempt, request] : this->pending) {
        const auto changed = this->view->overrides.find(request->server);
        if (!request->forwarded || changed == this->view->overrides.end() ||
            changed->second.address == request->dispatcher) {
            continue;
        }
        if (request->work.idempotent && !request->head_received) {
            affected.push_back(request);
        } else if (!request->work.idempotent && !changed->second.handed_over &&
                   !request->replaced_at) {
            request->replaced_at = std::chrono::steady_clock::now();
        }
    }
    for (const pending_pointer& request : affected) {
        this->cancel_attempt(request);
        this->handle_unknown(request, make_error_code(router_errc::dispatcher_lost));
    }
}

void entry_task::receive(const standing_changed& message) {
    this->standing = message.standing;
}

void entry_task::receive(const drain_started& message) {
    this->draining = message;
    this->server->stop_accepting();
}

void entry_task::receive(const quarantine_learned& message) {
    admission::import_notice(this->quarantine, message.notice, std::chrono::steady_clock::now());
}

void entry_task::receive(const dump_requested& message) {
    nlohmann::json state;
    state["requests_in_progress"] = this->pending.size();
    state["draining"] = this->draining.has_value();
    state["received"] = this->counters.received;
    state["answered"] = this->counters.answered;
    state["not_run"] = this->counters.not_run;
    state["unknown"] = this->counters.unknown;
    state["retries"] = this->counters.retries;
    state["redirects"] = this->counters.redirects;
    state["late_messages"] = this->counters.late_messages;
    state["broken_answers"] = this->counters.broken_answers;
    state["callers_left"] = this->counters.callers_left;
    state["quarantined"] = this->quarantine.entries.size();
    nlohmann::json services = nlohmann::json::object();
    for (const auto& [service, servers] : this->pools) {
        nlohmann::json list = nlohmann::json::array();
        for (const admission::server_health& server_state : servers) {
            list.push_back({{"server", server_state.server.value()},
                            {"predicted_wait_us", server_state.predicted_wait.count()},
                            {"failures_in_a_row", server_state.failures_in_a_row},
                            {"ejected", server_state.ejected_until.has_value()}});
        }
        services[service.value()] = std::move(list);
    }
    state["undivided_services"] = std::move(services);
    message.done(state.dump());
}

http::header_list entry_task::outcome_headers(outcome state, std::error_code code) const {
    http::header_list headers;
    headers.push_back({"x-outcome", std::string(to_string(state))});
    if (code) {
        headers.push_back({"x-error-code", std::to_string(code.value())});
    }
    const revision active = this->view ? this->view->catalogue->number : revision();
    headers.push_back({"x-revision", std::to_string(active.value())});
    return headers;
}

void entry_task::refuse_at_once(http::response_writer& writer, outcome state,
                                std::error_code code) {
    http::header_list headers = this->outcome_headers(state, code);
    headers.push_back({"content-type", "text/plain"});
    http::respond(writer, status_of(state, code), headers, code.message() + "\n");
    this->count_refusal(code);
    if (state == outcome::not_run) {
        ++this->counters.not_run;
        this->not_run_total.add();
    } else {
        ++this->counters.unknown;
        this->unknown_total.add();
    }
}

void entry_task::count_refusal(std::error_code code) {
    const auto [found, added] = this->refused_by_code.try_emplace(code.value());
    if (added) {
        found->second = this->registry
                            .add_counter(telemetry::metric_names::refused_total,
                                         "Refused requests and unknown outcomes by code",
                                         {{"code", std::to_string(code.value())}})
                            .value();
    }
    found->second.add();
}

std::error_code entry_task::admit(const classified_request& request, time_point now) const {
    if (this->draining) {
        return make_error_code(router_errc::draining);
    }
    if (now >= this->standing.valid_until) {
        return make_error_code(router_errc::no_standing);
    }
    if (!this->standing.revision_certain) {
        return make_error_code(router_errc::revision_in_doubt);
    }
    if (now >= request.deadline) {
        return make_error_code(router_errc::deadline_passed);
    }
    if (!this->quarantine.entries.empty()) {
        const std::uint64_t fingerprint = admission::fingerprint_of(
            request.request.service, request.request.key, request.request.method,
            request.request.target, request.request.body);
        if (admission::is_quarantined(this->quarantine, fingerprint, now)) {
            return make_error_code(admission::admission_errc::quarantined);
        }
    }
    return {};
}

void entry_task::accept(http::request message,
                        const std::shared_ptr<http::response_writer>& writer) {
    ++this->counters.received;
    const time_point now = std::chrono::steady_clock::now();
    auto parsed = parse_request(std::move(message), this->settings.requests);
    if (!parsed) {
        this->refuse_at_once(*writer, outcome::not_run, parsed.error());
        return;
    }
    if (!this->view) {
        this->refuse_at_once(*writer, outcome::not_run, make_error_code(router_errc::no_standing));
        return;
    }
    auto classified =
        classify_request(std::move(*parsed), *this->view->catalogue, this->settings.requests, now);
    if (!classified) {
        this->refuse_at_once(*writer, outcome::not_run, classified.error());
        return;
    }
    if (const std::error_code refusal = this->admit(*classified, now)) {
        this->refuse_at_once(*writer, outcome::not_run, refusal);
        return;
    }
    milliseconds hold_back{0};
    if (!classified->idempotent) {
        const auto usable =
            admission::forwarding_delay(classified->request.idempotency_key, wall_now());
        if (!usable) {
            this->refuse_at_once(*writer, outcome::not_run, usable.error());
            return;
        }
        hold_back = *usable;
    }
    const auto request = std::make_shared<pending_request>();
    request->writer = writer;
    request->work = std::move(*classified);
    request->view = this->view;
    request->received = now;
    this->first_tries_total.add();
    admission::record_first_try(this->budget, now);
    const auto left =
        std::chrono::ceil<milliseconds>(request->work.deadline - now) + deadline_grace;
    request->deadline_timer =
        this->loop.call_after(left, [this, request] { this->on_deadline(request); });
    writer->on_closed([this, request] { this->on_caller_closed(request); });
    this->new_attempt(request);
    if (hold_back.count() > 0) {
        request->retry_timer =
            this->loop.call_after(hold_back, [this, request] { this->forward(request); });
        return;
    }
    this->forward(request);
}

request_id entry_task::new_attempt(const pending_pointer& request) {
    this->pending.erase(request->attempt);
    request->attempt = request_id(this->generator());
    request->forwarded = false;
    request->replaced_at.reset();
    this->pending.emplace(request->attempt, request);
    this->in_progress.set(static_cast<double>(this->pending.size()));
    return request->attempt;
}

result<request_location> entry_task::locate(const pending_request& request, time_point now) {
    const classified_request& work = request.work;
    if (work.service->divided) {
        auto location = locate_request(*this->view, work);
        if (location && request.moved_to) {
            location->server = *request.moved_to;
            location->dispatcher.address = request.moved_to_address;
        }
        return location;
    }
    const auto map = this->view->maps.find(work.request.service);
    const auto pool = this->pools.find(work.request.service);
    if (map == this->view->maps.end() || pool == this->pools.end()) {
        return make_error_code(router_errc::service_not_ready);
    }
    const auto chosen = admission::select_server(pool->second, this->health, this->settings.choice,
                                                 this->generator, now);
    if (!chosen) {
        return chosen.error();
    }
    request_location location;
    location.server = pool->second[*chosen].server;
    const auto index = placement::find_server(*map->second, location.server);
    if (!index) {
        return make_error_code(router_errc::service_not_ready);
    }
    location.index = *index;
    location.map = map->second->version;
    location.dispatcher = find_dispatcher(*this->view, *map->second, *index);
    return location;
}

void entry_task::forward(const pending_pointer& request) {
    request->retry_timer.reset();
    if (request->finished) {
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    if (now >= this->standing.valid_until) {
        this->finish_refused(request, outcome::not_run, make_error_code(router_errc::no_standing));
        return;
    }
    // Work goes out under the revision in force now, which may be newer than at its arrival.
    if (request->view != this->view) {
        auto classified = classify_request(std::move(request->work.request), *this->view->catalogue,
                                           this->settings.requests, now);
        if (!classified) {
            this->finish_refused(request, outcome::not_run, classified.error());
            return;
        }
        classified->deadline = request->work.deadline;
        request->work = std::move(*classified);
        request->view = this->view;
    }
    const auto location = this->locate(*request, now);
    if (!location) {
        this->forward_later(request, location.error());
        return;
    }
    if (location->dispatcher.address.empty()) {
        this->forward_later(request, make_error_code(router_errc::dispatcher_unreachable));
        return;
    }
    this->send_to(request, *location, now);
}

void entry_task::send_to(const pending_pointer& request, const request_location& location,
                         time_point now) {
    const parsed_request& parsed = request->work.request;
    peer::forward_request message;
    message.request = request->attempt;
    message.active_revision = this->view->catalogue->number;
    message.map = location.map;
    message.service = parsed.service;
    message.server = location.server;
    message.partition = location.partition;
    message.divided = request->work.service->divided;
    message.key = parsed.key;
    message.caller = parsed.caller;
    message.work_kind = parsed.work_kind;
    message.idempotent = request->work.idempotent;
    message.idempotency_key = parsed.idempotency_key;
    message.deadline = std::chrono::duration_cast<milliseconds>(request->work.deadline - now);
    message.method = parsed.method;
    message.target = parsed.target;
    for (const http::header& field : parsed.headers) {
        message.headers.emplace_back(field.name, field.value);
    }
    message.body = parsed.body;
    if (message.deadline.count() <= 0) {
        this->finish_refused(request, outcome::not_run,
                             make_error_code(router_errc::deadline_passed));
        return;
    }
    const auto map = this->view->maps.find(parsed.service);
    const placement::server_entry& entry = map->second->servers[location.index];
    request->other_region = entry.region != this->view->region;
    if (request->other_region) {
        this->counters.cross_region_bytes += message.body.size();
        this->cross_region_bytes_total.add(static_cast<double>(message.body.size()));
    }
    const status sent = this->peers.send(location.dispatcher.address, std::move(message));
    if (sent) {
        request->moved_to.reset();
        this->forward_later(request, make_error_code(router_errc::dispatcher_unreachable));
        return;
    }
    request->forwarded = true;
    request->forwarded_at = now;
    request->server = location.server;
    request->dispatcher = location.dispatcher.address;
}

void entry_task::forward_later(const pending_pointer& request, std::error_code reason) {
    const time_point now = std::chrono::steady_clock::now();
    if (now + redirect_delay >= request->work.deadline) {
        this->finish_refused(request, outcome::not_run, reason);
        return;
    }
    ++this->counters.redirects;
    this->new_attempt(request);
    request->retry_timer =
        this->loop.call_after(redirect_delay, [this, request] { this->forward(request); });
}

bool entry_task::may_retry(const pending_pointer& request, time_point now) {
    if (request->retried || now >= request->work.deadline ||
        !admission::try_acquire_retry(this->budget, now)) {
        return false;
    }
    request->retried = true;
    ++this->counters.retries;
    this->retries_total.add();
    return true;
}

entry_task::pending_pointer entry_task::find_attempt(request_id attempt) {
    const auto found = this->pending.find(attempt);
    if (found == this->pending.end()) {
        ++this->counters.late_messages;
        this->late_messages_total.add();
        return nullptr;
    }
    return found->second;
}

void entry_task::handle(const peer::sender&, const peer::answer_head& message) {
    const pending_pointer request = this->find_attempt(message.request);
    if (!request || request->head_received) {
        return;
    }
    request->head_received = true;
    request->status = message.status;
    for (const auto& [name, value] : message.headers) {
        request->headers.push_back({name, value});
    }
}

void entry_task::handle(const peer::sender&, const peer::answer_part& message) {
    const pending_pointer request = this->find_attempt(message.request);
    if (!request) {
        return;
    }
    if (!request->head_received || message.number != request->parts) {
        this->break_off(request, make_error_code(router_errc::incomplete_answer));
        return;
    }
    ++request->parts;
    request->bytes += message.data.size();
    if (request->other_region) {
        this->counters.cross_region_bytes += message.data.size();
        this->cross_region_bytes_total.add(static_cast<double>(message.data.size()));
    }
    if (request->streaming) {
        request->writer->write(message.data);
        this->give_credit(request);
        return;
    }
    request->buffered += message.data;
    if (request->buffered.size() > this->settings.buffered_answer_bytes) {
        this->begin_streaming(request);
    }
    this->give_credit(request);
}

void entry_task::begin_streaming(const pending_pointer& request) {
    request->streaming = true;
    http::header_list headers = this->outcome_headers(outcome::answered, {});
    headers.insert(headers.end(), request->headers.begin(), request->headers.end());
    request->writer->on_drained([this, request] { this->give_credit(request); });
    request->writer->start(request->status, headers);
    request->writer->write(request->buffered);
    request->buffered.clear();
    request->buffered.shrink_to_fit();
}

void entry_task::give_credit(const pending_pointer& request) {
    if (request->finished ||
        (request->streaming && request->writer->pending() > write_buffer_bytes)) {
        return;
    }
    const std::uint64_t passed_on = request->bytes - request->credited;
    if (passed_on == 0) {
        return;
    }
    request->credited = request->bytes;
    static_cast<void>(
        this->peers.send(request->dispatcher, peer::answer_credit{request->attempt, passed_on}));
}

void entry_task::handle(const peer::sender&, const peer::answer_end& message) {
    const pending_pointer request = this->find_attempt(message.request);
    if (!request) {
        return;
    }
    this->observe_server(*request, request->status < 500, message.predicted_wait);
    if (!request->head_received || message.parts != request->parts ||
        message.bytes != request->bytes) {
        this->break_off(request, make_error_code(router_errc::incomplete_answer));
        return;
    }
    this->finish_answered(request);
}

void entry_task::handle(const peer::sender& from, const peer::refused& message) {
    const pending_pointer request = this->find_attempt(message.request);
    if (!request) {
        return;
    }
    if (message.active_revision > this->view->catalogue->number) {
        this->report({from.host, from.address, message.active_revision});
    }
    if (request->head_received) {
        this->break_off(request, code_from_number(message.code));
        return;
    }
    if (message.state == outcome::not_run) {
        this->handle_not_run(request, message);
        return;
    }
    this->observe_server(*request, false, message.predicted_wait);
    this->handle_unknown(request, code_from_number(message.code));
}

void entry_task::handle_not_run(const pending_pointer& request, const peer::refused& message) {
    const std::error_code code = code_from_number(message.code);
    const time_point now = std::chrono::steady_clock::now();
    if (same_dispatcher_moved(code)) {
        request->moved_to.reset();
        if (!message.moved_to.value().empty()) {
            const auto map = this->view->maps.find(request->work.request.service);
            if (map != this->view->maps.end()) {
                const auto index = placement::find_server(*map->second, message.moved_to);
                if (index) {
                    request->moved_to = message.moved_to;
                    request->moved_to_address =
                        find_dispatcher(*this->view, *map->second, *index).address;
                }
            }
        }
        this->forward_later(request, code);
        return;
    }
    this->observe_server(*request, code != router_errc::upstream_unreachable,
                         message.predicted_wait);
    if (!request->work.service->divided && this->may_retry(request, now)) {
        this->new_attempt(request);
        this->forward(request);
        return;
    }
    this->finish_refused(request, outcome::not_run, code);
}

void entry_task::handle_unknown(const pending_pointer& request, std::error_code code) {
    const time_point now = std::chrono::steady_clock::now();
    request->may_have_run = true;
    if (request->work.idempotent && this->may_retry(request, now)) {
        request->moved_to.reset();
        this->forward_later(request, code);
        return;
    }
    this->finish_refused(request, outcome::unknown, code);
}

void entry_task::observe_server(const pending_request& request, bool success, milliseconds wait) {
    const auto pool = this->pools.find(request.work.request.service);
    if (pool == this->pools.end()) {
        return;
    }
    for (admission::server_health& candidate : pool->second) {
        if (candidate.server == request.server) {
            candidate.predicted_wait = wait;
            admission::observe(candidate, this->health, success, std::chrono::steady_clock::now());
        }
    }
}

void entry_task::finish_answered(const pending_pointer& request) {
    if (request->streaming) {
        request->writer->finish();
    } else {
        http::header_list headers = this->outcome_headers(outcome::answered, {});
        headers.insert(headers.end(), request->headers.begin(), request->headers.end());
        http::respond(*request->writer, request->status, headers, request->buffered);
    }
    ++this->counters.answered;
    this->answered_total.add();
    if (std::chrono::steady_clock::now() <= request->work.deadline) {
        this->in_deadline_total.add();
    } else {
        this->deadline_missed_total.add();
    }
    this->finish(request);
}

void entry_task::finish_refused(const pending_pointer& request, outcome state,
                                std::error_code code) {
    if (request->streaming) {
        this->break_off(request, code);
        return;
    }
    const outcome known = request->may_have_run ? outcome::unknown : state;
    this->refuse_at_once(*request->writer, known, code);
    this->finish(request);
}

void entry_task::break_off(const pending_pointer& request, std::error_code code) {
    ++this->counters.broken_answers;
    this->cancel_attempt(request);
    telemetry::log_warning(*this->log, "answer_broken_off",
                           {{"server", request->server.value()}, {"code", code}});
    if (request->streaming) {
        request->writer->abort();
        ++this->counters.unknown;
        this->unknown_total.add();
        this->finish(request);
        return;
    }
    this->refuse_at_once(*request->writer, outcome::unknown, code);
    this->finish(request);
}

void entry_task::finish(const pending_pointer& request) {
    request->finished = true;
    if (request->deadline_timer) {
        this->loop.cancel(*request->deadline_timer);
    }
    if (request->retry_timer) {
        this->loop.cancel(*request->retry_timer);
    }
    this->pending.erase(request->attempt);
    this->in_progress.set(static_cast<double>(this->pending.size()));
    this->duration.observe(std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now() - request->received));
    // The writer refers to this request through its callbacks.
    request->writer->on_drained({});
    request->writer->on_closed({});
    request->writer.reset();
}

void entry_task::cancel_attempt(const pending_pointer& request) {
    if (request->forwarded) {
        static_cast<void>(
            this->peers.send(request->dispatcher, peer::forward_cancel{request->attempt}));
    }
}

void entry_task::on_deadline(const pending_pointer& request) {
    request->deadline_timer.reset();
    if (request->finished) {
        return;
    }
    this->deadline_missed_total.add();
    this->cancel_attempt(request);
    if (request->forwarded) {
        this->observe_server(*request, false, milliseconds(0));
        this->finish_refused(request, outcome::unknown,
                             make_error_code(router_errc::deadline_exceeded));
    } else {
        this->finish_refused(request, outcome::not_run,
                             make_error_code(router_errc::deadline_passed));
    }
}

void entry_task::on_caller_closed(const pending_pointer& request) {
    if (request->finished) {
        return;
    }
    ++this->counters.callers_left;
    // Work that is not idempotent goes on: the caller will send it again with the same id.
    if (request->work.idempotent) {
        this->cancel_attempt(request);
    }
    this->finish(request);
}

void entry_task::check_dispatchers() {
    const time_point now = std::chrono::steady_clock::now();
    std::map<std::string, bool> connected;
    std::vector<pending_pointer> lost;
    for (const auto& [attempt, request] : this->pending) {
        if (!request->forwarded || now - request->forwarded_at < dispatcher_lost_after) {
            continue;
        }
        if (request->replaced_at && now - *request->replaced_at >= replaced_dispatcher_grace) {
            lost.push_back(request);
            continue;
        }
        const auto [known, added] = connected.try_emplace(request->dispatcher, false);
        if (added) {
            known->second = this->peers.connected(request->dispatcher);
        }
        if (!known->second) {
            lost.push_back(request);
        }
    }
    for (const pending_pointer& request : lost) {
        if (request->head_received) {
            this->break_off(request, make_error_code(router_errc::dispatcher_lost));
        } else {
            this->handle_unknown(request, make_error_code(router_errc::dispatcher_lost));
        }
    }
    if (this->draining && this->draining->done && this->pending.empty() &&
        this->server->active_requests() == 0) {
        std::exchange(this->draining->done, nullptr)();
    }
    this->loop.call_after(dispatcher_check_period, [this] { this->check_dispatchers(); });
}

void entry_task::update_pools() {
    std::map<service_id, std::vector<admission::server_health>> updated;
    for (const auto& [name, definition] : this->view->catalogue->servers) {
        const auto service = this->view->catalogue->services.find(definition.service);
        if (service == this->view->catalogue->services.end() || service->second.divided) {
            continue;
        }
        admission::server_health candidate;
        const auto pool = this->pools.find(definition.service);
        if (pool != this->pools.end()) {
            const auto known =
                std::find_if(pool->second.begin(), pool->second.end(),
                             [&id = name](const auto& other) { return other.server == id; });
            if (known != pool->second.end()) {
                candidate = *known;
            }
        }
        candidate.server = name;
        candidate.link_cost =
            definition.region == this->view->region ? milliseconds(0) : this->settings.link_cost;
        admission::health_report own_report;
        own_report.draining = definition.drain;
        own_report.received = std::chrono::steady_clock::now();
        candidate.report = own_report;
        updated[definition.service].push_back(std::move(candidate));
    }
    this->pools = std::move(updated);
}

}  // namespace greengagechute::router
