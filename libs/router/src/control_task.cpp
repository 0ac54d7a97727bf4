#include "router/control_task.h"

#include "control_state.h"
#include "router/codes.h"
#include "router/errors.h"
#include "telemetry/metric_names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace greengagechute::router {

namespace {

constexpr std::size_t mailbox_capacity = 16'384;
constexpr std::size_t remembered_refusals = 64;
constexpr milliseconds tick_period{50};
constexpr milliseconds join_period{500};
constexpr milliseconds store_retry_period{500};
constexpr milliseconds missing_query_period{100};
constexpr milliseconds query_versions_period{1'000};
/// Three heartbeat periods.
constexpr milliseconds heartbeats_lost_after{3'000};
/// Standing is published again when its end has moved by this much.
constexpr milliseconds standing_publish_step{100};

constexpr std::string_view map_prefix = "map/";

time_point from_mark(std::uint64_t mark) {
    return time_point(milliseconds(static_cast<std::int64_t>(mark)));
}

}  // namespace

control_task::control_task(http::event_loop& loop_of_task, const control_settings& settings_of_task,
                           const links& links_of_daemon, platform::client& store_of_platform,
                           control_outputs outputs_of_task,
                           std::shared_ptr<telemetry::logger> log_of_daemon,
                           telemetry::metrics& registry)
    : loop(loop_of_task),
      settings(settings_of_task),
      peers(links_of_daemon),
      store(store_of_platform),
      outputs(std::move(outputs_of_task)),
      log(std::move(log_of_daemon)),
      messages(loop_of_task, mailbox_capacity),
      generator(settings_of_task.self.instance.value()) {
    namespace names = telemetry::metric_names;
    this->active_revision_gauge =
        registry.add_gauge(names::active_revision, "Revision of the release note in force").value();
    this->note_activation =
        registry.add_latency(names::note_activation, "Time from an order to its note in force")
            .value();
    this->moved_total =
        registry.add_counter(names::partitions_moved_total, "Partitions that changed their owner")
            .value();
    this->term.self = this->settings.self;
    this->term.times = this->settings.term;
    this->standing.self = this->settings.self;
    this->standing.times = this->settings.standing;
    this->messages.set_handler(
        [this](control_message message) { this->receive(std::move(message)); });
}

control_task::~control_task() = default;

void control_task::start() {
    this->term.address = this->peers.self_address();
    this->read_store();
    this->loop.call_after(tick_period, [this] { this->tick(); });
}

bool control_task::ready(time_point now) const {
    return membership::has_standing(this->standing, now) &&
           release::may_admit(this->activation, now) && !this->leaving;
}

void control_task::receive(control_message message) {
    std::visit([this](const auto& content) { this->receive(content); }, message);
}

void control_task::receive(const delivery& message) {
    std::visit(
        [&](const auto& content) {
            if constexpr (requires { this->handle(message.from, content); }) {
                this->handle(message.from, content);
            }
        },
        message.content);
}

void control_task::receive(const dispatch_report& message) {
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, took_over>) {
                this->adopt_dispatcher(content.announcement);
                this->broadcast(content.announcement);
                this->announcements[content.announcement.server] = content.announcement;
            } else if constexpr (std::is_same_v<type, owner_reported>) {
                this->send_to_coordinator(content.report);
            } else if constexpr (std::is_same_v<type, map_acted>) {
                this->acknowledge_map(content);
            } else if constexpr (std::is_same_v<type, loss_recorded>) {
                this->outputs.publish_quarantine(content.notice);
                this->broadcast(peer::quarantine_notice{
                    content.notice.fingerprint, content.notice.losses, content.notice.remaining});
            } else {
                this->receive(content);
            }
        },
        message);
}

void control_task::acknowledge_map(const map_acted& acted) {
    const ownership::map_acknowledged present{this->settings.self, acted.version, acted.lagging,
                                              acted.consents};
    if (ownership::mark_sent_if_due(this->sent_acknowledgements[acted.service], present,
                                    std::chrono::steady_clock::now())) {
        this->send_to_coordinator(
            peer::map_ack{acted.service, acted.version, acted.lagging, acted.consents});
    }
}

void control_task::receive(const newer_version_seen& message) {
    this->extra_addresses.try_emplace(message.host, message.address);
    this->advance_activation(
        release::peer_revision_seen{message.host, message.active, std::nullopt});
}

void control_task::receive(const leave_ordered& message) {
    this->leaving = message;
}

void control_task::receive(const status_requested& message) {
    message.done(this->describe_status());
}

void control_task::receive(const note_order& message) {
    waiting_submission waiting;
    waiting.done = message.done;
    waiting.since = std::chrono::steady_clock::now();
    waiting.text = message.text;
    this->submissions[message.submission].push_back(std::move(waiting));
    if (this->role) {
        this->advance_rollout(release::note_submitted{message.submission, message.text});
    } else {
        this->send_to_coordinator(peer::submit_note{message.submission, message.text});
    }
}

std::optional<release::submission_answer> control_task::find_submission(
    const std::string& submission) const {
    if (this->role) {
        auto known = release::find_submission(this->role->rollout, submission);
        if (known) {
            return known;
        }
    }
    if (this->submissions.contains(submission)) {
        release::submission_answer waiting;
        waiting.submission = submission;
        return waiting;
    }
    const auto refusal =
        std::ranges::find(this->refusals, submission, &release::submission_answer::submission);
    return refusal == this->refusals.end() ? std::nullopt : std::optional(*refusal);
}

void control_task::receive(const submission_requested& message) {
    const auto known = this->find_submission(message.submission);
    if (known && known->state != release::submission_state::refused) {
        message.done(*known);
        return;
    }
    // A submission that was refused may have been sent again with another text and accepted.
    ++this->counters.store_reads;
    this->store.read_row(release::submission_row(message.submission),
                         [this, message, known](const result<platform::row>& row) {
                             if (!row) {
                                 ++this->counters.store_failures;
                                 message.done(row.error());
                                 return;
                             }
                             if (row->version == 0) {
                                 const std::error_code unknown =
                                     make_error_code(router_errc::unknown_submission);
                                 message.done(known ? result<release::submission_answer>(*known)
                                                    : result<release::submission_answer>(unknown));
                                 return;
                             }
                             const auto record = release::decode_head(row->value);
                             if (!record) {
                                 message.done(record.error());
                                 return;
                             }
                             release::submission_answer answer;
                             answer.submission = message.submission;
                             answer.number = record->number;
                             answer.state = record->number <= this->activation.active.number
                                                ? release::submission_state::in_force
                                                : release::submission_state::accepted;
                             message.done(answer);
                         });
}

std::uint64_t control_task::clock_mark() const {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_start).count());
}

std::string control_task::address_of(const host_instance& host) const {
    if (host == this->settings.self) {
        return this->peers.self_address();
    }
    const membership::roster_host* member = membership::find(this->standing.members, host.host);
    if (member != nullptr && member->instance == host) {
        return member->address;
    }
    const auto extra = this->extra_addresses.find(host);
    return extra == this->extra_addresses.end() ? std::string() : extra->second;
}

void control_task::send_to(const host_instance& host, peer::message content) {
    const std::string address = this->address_of(host);
    if (!address.empty()) {
        static_cast<void>(this->peers.send(address, std::move(content)));
    }
}

void control_task::send_to_coordinator(peer::message content) {
    if (this->role) {
        static_cast<void>(this->peers.send(this->peers.self_address(), std::move(content)));
    } else if (!this->coordinator_address.empty()) {
        static_cast<void>(this->peers.send(this->coordinator_address, std::move(content)));
    }
}

void control_task::broadcast(const peer::message& content) {
    for (const membership::roster_host& member : this->standing.members.hosts) {
        if (member.instance != this->settings.self) {
            static_cast<void>(this->peers.send(member.address, content));
        }
    }
}

// Timers.

void control_task::tick() {
    const time_point now = std::chrono::steady_clock::now();
    this->advance_term(membership::tick{});
    this->advance_standing(membership::tick{});
    this->advance_activation(release::tick{});
    if (this->role) {
        this->tick_coordinator(now);
    }
    this->join_if_needed(now);
    const auto age = membership::evidence_age(this->standing, now);
    // Evidence through two levels of relays is up to 3 heartbeat periods old, which is half of the
    // bound; queries before that would cost each host a message to every other.
    if (!age || *age > this->settings.standing.bound * 2 / 3) {
        this->ask_for_versions(now);
    }
    this->ask_for_missing();
    this->pass_acknowledgements(now);
    this->expire_submissions(now);
    this->repeat_announcements(now);
    if (this->view_dirty) {
        this->publish_view();
    }
    this->publish_standing(now);
    this->loop.call_after(tick_period, [this] { this->tick(); });
}

void control_task::repeat_announcements(time_point now) {
    constexpr milliseconds repeat_period{500};
    if (this->announcements.empty() ||
        (this->last_announcement && now - *this->last_announcement < repeat_period)) {
        return;
    }
    this->last_announcement = now;
    for (const auto& [server, announcement] : this->announcements) {
        this->broadcast(announcement);
        if (this->role) {
            this->send_to_coordinator(announcement);
        }
    }
}

void control_task::join_if_needed(time_point now) {
    if (this->leaving) {
        const bool member = membership::contains(this->standing.members, this->settings.self);
        if (!member && this->leaving->done) {
            std::exchange(this->leaving->done, nullptr)();
        } else if (!this->last_leave || now - *this->last_leave > join_period) {
            this->last_leave = now;
            this->send_to_coordinator(peer::leave{this->settings.self});
        }
        return;
    }
    const bool joined = membership::contains(this->standing.members, this->settings.self);
    if (joined || !this->roster_known ||
        (this->last_join && now - *this->last_join < join_period)) {
        return;
    }
    this->last_join = now;
    peer::join request;
    request.host = this->settings.self;
    request.address = this->peers.self_address();
    request.region = this->settings.region;
    request.data_centre = this->settings.data_centre;
    request.mark = this->clock_mark();
    request.was_member = this->standing.was_member;
    this->send_to_coordinator(std::move(request));
}

void control_task::ask_for_versions(time_point now) {
    if (this->last_version_query && now - *this->last_version_query < query_versions_period) {
        return;
    }
    this->last_version_query = now;
    this->read_store();
    for (const membership::roster_host& member : this->standing.members.hosts) {
        if (member.instance != this->settings.self) {
            this->ask_snapshot(member.address);
        }
    }
    for (const std::string& seed : this->settings.seeds) {
        if (this->standing.members.hosts.empty() && seed != this->peers.self_address()) {
            this->ask_snapshot(seed);
        }
    }
}

void control_task::ask_snapshot(const std::string& address) {
    peer::snapshot_request request;
    request.roster = this->standing.members.version;
    request.active_revision = this->activation.active.number;
    for (const auto& [service, map] : this->maps) {
        request.maps.emplace_back(service, map->version);
    }
    request.mark = this->clock_mark();
    static_cast<void>(this->peers.send(address, std::move(request)));
}

void control_task::ask_for_missing() {
    const time_point now = std::chrono::steady_clock::now();
    if (!this->last_heartbeat ||
        (this->last_missing_query && now - *this->last_missing_query < missing_query_period)) {
        return;
    }
    bool missing = this->last_heartbeat->roster > this->standing.members.version;
    for (const auto& [service, version] : this->last_heartbeat->maps) {
        const auto known = this->maps.find(service);
        missing = missing || known == this->maps.end() || known->second->version < version;
    }
    if (missing) {
        this->last_missing_query = now;
        this->ask_snapshot(this->last_heartbeat_from);
    }
}

// Store.

void control_task::read_store() {
    if (this->store_read_outstanding) {
        return;
    }
    this->store_read_outstanding = true;
    ++this->counters.store_reads;
    const time_point asked_at = std::chrono::steady_clock::now();
    this->store.read_row("roster", [this, asked_at](result<platform::row> answer) {
        this->store_read_outstanding = false;
        if (!answer) {
            ++this->counters.store_failures;
            return;
        }
        membership::roster members;
        if (answer->version != 0) {
            auto decoded = membership::decode_roster(answer->value);
            if (!decoded) {
                telemetry::log_error(*this->log, "roster_row_malformed",
                                     {{"code", decoded.error()}});
                return;
            }
            members = std::move(*decoded);
        }
        this->roster_known = true;
        this->advance_standing(membership::store_read{members, asked_at});
        this->adopt_roster(members);
    });
    this->store.read_row("head", [this, asked_at](result<platform::row> answer) {
        if (!answer) {
            return;
        }
        release::head_reported report;
        report.asked_at = asked_at;
        if (answer->version != 0) {
            const auto head = release::decode_head(answer->value);
            if (!head) {
                telemetry::log_error(*this->log, "head_row_malformed", {{"code", head.error()}});
                return;
            }
            report.number = head->number;
            report.object = head->object;
            report.digest = head->digest;
        }
        this->advance_activation(report);
    });
    this->read_maps();
}

void control_task::read_maps() {
    this->store.read_rows(std::string(map_prefix), [this](result<std::vector<platform::row>> rows) {
        if (!rows) {
            this->read_maps_again();
            return;
        }
        const auto reading = std::make_shared<map_reading>();
        reading->rows = rows->size();
        reading->missing = rows->size();
        for (const platform::row& row : *rows) {
            this->read_map(row, reading);
        }
        if (rows->empty()) {
            this->finish_map_reading(*reading);
        }
    });
}

void control_task::read_map(const platform::row& row, const std::shared_ptr<map_reading>& reading) {
    const service_id service(row.key.substr(map_prefix.size()));
    const auto record = nlohmann::json::parse(row.value, nullptr, false);
    if (!record.is_object()) {
        telemetry::log_error(*this->log, "map_row_malformed", {{"service", service.value()}});
        return;
    }
    const auto loaded = [this, reading, key = row.key, version = row.version](bool success) {
        if (success) {
            reading->versions[key] = version;
        }
        if (--reading->missing == 0) {
            this->finish_map_reading(*reading);
        }
    };
    const map_version version(record.value("version", std::uint64_t{0}));
    const auto known = this->maps.find(service);
    if (known != this->maps.end() && known->second->version >= version) {
        loaded(known->second->version == version);
        return;
    }
    this->store.get_object(record.value("object", std::string()),
                           [this, loaded](const result<std::string>& body) {
                               if (!body) {
                                   loaded(false);
                                   return;
                               }
                               const auto map = placement::decode(*body);
                               if (map) {
                                   this->adopt_map(*map);
                               }
                               loaded(map.has_value());
                           });
}

void control_task::finish_map_reading(const map_reading& reading) {
    if (!this->role || this->role->maps_read) {
        return;
    }
    if (reading.versions.size() != reading.rows) {
        this->read_maps_again();
        return;
    }
    // A planner must not start from an older map than the one in force.
    this->role->map_rows = reading.versions;
    this->role->maps_read = true;
    this->update_planner_inputs();
}

void control_task::read_maps_again() {
    if (this->role && !this->role->maps_read) {
        this->loop.call_after(store_retry_period, [this] {
            if (this->role && !this->role->maps_read) {
                this->read_maps();
            }
        });
    }
}

// State that became known.

void control_task::adopt_roster(const membership::roster& members) {
    this->roster_known = true;
    const bool newer = members.version > this->standing.members.version;
    this->advance_standing(membership::roster_learned{members});
    this->advance_term(membership::candidate_rank(this->standing.members, this->settings.self,
                                                  this->coordinator_term));
    this->view_dirty = true;
    if (newer) {
        telemetry::log_info(
            *this->log, "roster_changed",
            {{"version", members.version.value()}, {"hosts", members.hosts.size()}});
    }
    if (this->role) {
        this->update_planner_inputs();
    }
}

void control_task::adopt_map(const placement::service_map& map) {
    const auto known = this->maps.find(map.service);
    if (known != this->maps.end() && known->second->version >= map.version) {
        return;
    }
    this->maps[map.service] = std::make_shared<const placement::service_map>(map);
    for (const placement::server_entry& entry : map.servers) {
        const auto changed = this->overrides.find(entry.server);
        if (changed != this->overrides.end() && changed->second.dispatcher == entry.dispatcher) {
            this->overrides.erase(changed);
            this->announcements.erase(entry.server);
        }
    }
    this->publish_view();
}

void control_task::adopt_dispatcher(const peer::dispatcher_changed& message) {
    const auto known = this->overrides.find(message.server);
    if (known != this->overrides.end() &&
        known->second.dispatcher_epoch >= message.dispatcher_epoch) {
        return;
    }
    this->overrides[message.server] = {message.dispatcher, message.address,
                                       message.dispatcher_epoch, message.handed_over};
    this->publish_view();
}

void control_task::note_coordinator(term_number number, const host_instance& host,
                                    const std::string& address) {
    if (number < this->coordinator_term || address.empty()) {
        return;
    }
    if (number > this->coordinator_term) {
        telemetry::log_info(*this->log, "coordinator_changed",
                            {{"term", number.value()}, {"coordinator", host.host.value()}});
        this->sent_acknowledgements.clear();
    }
    this->coordinator_term = number;
    this->coordinator = host;
    this->coordinator_address = address;
    this->extra_addresses[host] = address;
}

void control_task::publish_view() {
    this->view_dirty = false;
    auto view = std::make_shared<routing_view>();
    view->self = this->settings.self;
    view->region = this->settings.region;
    view->self_address = this->peers.self_address();
    // Views change with each takeover and roster; the catalogue of a revision never changes.
    if (!this->published_catalogue ||
        this->published_catalogue->number != this->activation.active.number) {
        this->published_catalogue =
            std::make_shared<const release::catalogue>(this->activation.active);
    }
    view->catalogue = this->published_catalogue;
    view->maps = this->maps;
    for (const auto& [host, address] : this->extra_addresses) {
        view->addresses[host] = address;
    }
    for (const membership::roster_host& member : this->standing.members.hosts) {
        view->addresses[member.instance] = member.address;
    }
    view->addresses[this->settings.self] = this->peers.self_address();
    view->overrides = this->overrides;
    view->coordinator = this->coordinator;
    view->coordinator_address = this->coordinator_address;
    this->active_revision_gauge.set(static_cast<double>(this->activation.active.number.value()));
    this->outputs.publish_view(view);
}

void control_task::publish_standing(time_point now) {
    standing_notice notice;
    const auto age = membership::evidence_age(this->standing, now);
    if (age && membership::has_standing(this->standing, now)) {
        notice.valid_until = now + (this->settings.standing.bound - *age);
    }
    notice.revision_certain = release::may_admit(this->activation, now);
    const bool changed =
        notice.revision_certain != this->published_standing.revision_certain ||
        notice.valid_until > this->published_standing.valid_until + standing_publish_step ||
        notice.valid_until < this->published_standing.valid_until;
    if (changed) {
        this->published_standing = notice;
        this->outputs.publish_standing(notice);
    }
}

// Decisions of this host.

void control_task::advance_term(const membership::term_event& event) {
    const time_point now = std::chrono::steady_clock::now();
    for (const membership::term_action& action : membership::step(this->term, event, now)) {
        this->act(action);
    }
}

void control_task::act(const membership::term_action& action) {
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, membership::read_term_row>) {
                ++this->counters.store_reads;
                this->store.read_row("term", [this](result<platform::row> answer) {
                    if (!answer) {
                        this->advance_term(membership::term_read_failed{});
                        return;
                    }
                    membership::term_row_read event;
                    event.version = answer->version;
                    if (answer->version != 0) {
                        const auto record = membership::decode_term(answer->value);
                        if (!record) {
                            this->advance_term(membership::term_read_failed{});
                            return;
                        }
                        event.record = *record;
                        this->note_coordinator(record->number, record->holder, record->address);
                    }
                    this->advance_term(event);
                });
            } else if constexpr (std::is_same_v<type, membership::commit_term>) {
                platform::transaction change;
                change.id = content.write_id;
                change.conditions.push_back({"term", content.expected_version});
                change.writes.push_back({"term", membership::encode(content.record)});
                const std::string id = content.write_id;
                this->commit(
                    change, [this, id](membership::write_outcome outcome, std::uint64_t version) {
                        this->advance_term(membership::term_commit_answered{id, outcome, version});
                    });
            } else if constexpr (std::is_same_v<type, membership::read_term_commit>) {
                const std::string id = content.write_id;
                this->read_commit(
                    id, [this, id](membership::write_outcome outcome, std::uint64_t version) {
                        this->advance_term(membership::term_commit_answered{id, outcome, version});
                    });
            } else if constexpr (std::is_same_v<type, membership::became_coordinator>) {
                this->begin_coordinator(content.number);
            } else if constexpr (std::is_same_v<type, membership::term_renewed>) {
                this->update_guard(std::chrono::steady_clock::now());
                if (this->role && this->role->view.row_known) {
                    this->advance_standing(
                        membership::store_read{this->role->view.members, this->term.renewed_at});
                }
            } else if constexpr (std::is_same_v<type, membership::coordinator_ended>) {
                this->end_coordinator();
            }
        },
        action);
}

void control_task::advance_standing(const membership::standing_event& event) {
    const time_point now = std::chrono::steady_clock::now();
    for (const membership::standing_action& action : membership::step(this->standing, event, now)) {
        if (std::holds_alternative<membership::instance_removed>(action)) {
            telemetry::log_error(*this->log, "removed_from_roster", {});
        } else if (!this->last_heartbeat_from.empty()) {
            this->ask_snapshot(this->last_heartbeat_from);
        }
    }
}

void control_task::advance_activation(const release::activation_event& event) {
    const time_point now = std::chrono::steady_clock::now();
    for (const release::activation_action& action : release::step(this->activation, event, now)) {
        this->act(action);
    }
}

void control_task::act(const release::activation_action& action) {
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, release::send_prepared>) {
                this->send_to_coordinator(peer::prepared{
                    content.number, content.digest, content.accepted, number_of(content.code)});
            } else if constexpr (std::is_same_v<type, release::send_activated>) {
                this->send_to_coordinator(peer::activated{content.number});
            } else if constexpr (std::is_same_v<type, release::fetch_head>) {
                this->read_store();
            } else if constexpr (std::is_same_v<type, release::fetch_object>) {
                ++this->counters.store_reads;
                this->store.get_object(content.name, [this](result<std::string> body) {
                    if (body) {
                        this->advance_activation(release::snapshot_received{*body});
                    }
                });
            } else if constexpr (std::is_same_v<type, release::ask_snapshot>) {
                const std::string address =
                    content.peer ? this->address_of(*content.peer) : this->coordinator_address;
                if (!address.empty()) {
                    this->ask_snapshot(address);
                }
            } else if constexpr (std::is_same_v<type, release::revision_activated>) {
                telemetry::log_info(*this->log, "release_note_in_force",
                                    {{"revision", content.number.value()}});
                this->publish_view();
                if (this->role) {
                    this->update_planner_inputs();
                }
            }
        },
        action);
}

// Messages of other hosts.

peer::heartbeat_ack::entry control_task::own_report() const {
    return {this->settings.self, this->standing.members.version, this->activation.active.number,
            release::highest_prepared(this->activation)};
}

void control_task::handle(const peer::sender& from, const peer::heartbeat& message) {
    if (message.term < this->coordinator_term) {
        return;
    }
    ++this->counters.heartbeats_received;
    const time_point now = std::chrono::steady_clock::now();
    this->note_coordinator(message.term, message.coordinator, message.coordinator_address);
    this->last_heartbeat = message;
    if (this->last_heartbeat_at && now - *this->last_heartbeat_at > heartbeats_lost_after) {
        // Acknowledgements sent in the meantime may be lost.
        this->sent_acknowledgements.clear();
    }
    this->last_heartbeat_at = now;
    this->last_heartbeat_from = from.address;
    this->advance_term(membership::term_heartbeat_heard{message.term});
    if (message.echo != 0) {
        const time_point sent_after = from_mark(message.echo);
        this->advance_standing(
            membership::coordinator_heard{message.term, message.roster, sent_after, message.age});
        if (message.head_known) {
            this->advance_activation(release::coordinator_reported{
                message.term, message.active_revision, sent_after, message.head_open_for});
        }
    }
    const auto children =
        membership::children_of(this->standing.members, message.coordinator, this->settings.self);
    peer::heartbeat relayed = message;
    if (message.echo != 0) {
        relayed.age += std::chrono::duration_cast<milliseconds>(now - from_mark(message.echo));
    }
    for (const host_instance& child : children) {
        const auto mark = this->marks.find(child);
        relayed.echo = mark == this->marks.end() || message.echo == 0 ? 0 : mark->second;
        ++this->counters.heartbeats_sent;
        this->send_to(child, relayed);
    }
    const auto own = this->own_report();
    this->parent_address = from.address;
    this->collection = membership::start_collection(
        message.term, message.sequence,
        membership::host_report{own.host, own.roster, own.active_revision, own.prepared_revision},
        children, now,
        membership::levels_below(this->standing.members, message.coordinator, this->settings.self));
    this->pass_acknowledgements(now);
    this->ask_for_missing();
}

void control_task::pass_acknowledgements(time_point now) {
    if (!this->collection || !membership::take_if_ready(*this->collection, now)) {
        return;
    }
    peer::heartbeat_ack ack;
    ack.term = this->collection->term;
    ack.sequence = this->collection->sequence;
    ack.mark = this->clock_mark();
    for (const membership::host_report& report : this->collection->reports) {
        ack.hosts.push_back({report.host, report.members, report.active, report.prepared});
    }
    static_cast<void>(this->peers.send(this->parent_address, std::move(ack)));
}

void control_task::handle(const peer::sender& from, const peer::heartbeat_ack& message) {
    this->marks[from.host] = message.mark;
    if (this->role) {
        this->hear_all(message);
        return;
    }
    if (!this->collection) {
        return;
    }
    std::vector<membership::host_report> reports;
    for (const peer::heartbeat_ack::entry& report : message.hosts) {
        reports.push_back(
            {report.host, report.roster, report.active_revision, report.prepared_revision});
    }
    const bool late = this->collection->passed_on;
    if (membership::add_acknowledgement(*this->collection, from.host, message.term,
                                        message.sequence, reports) &&
        late) {
        peer::heartbeat_ack alone = message;
        alone.mark = this->clock_mark();
        static_cast<void>(this->peers.send(this->parent_address, std::move(alone)));
    }
    this->pass_acknowledgements(std::chrono::steady_clock::now());
}

void control_task::handle(const peer::sender& from, const peer::snapshot_request& message) {
    peer::snapshot answer;
    answer.mark = message.mark;
    answer.term = this->coordinator_term;
    answer.coordinator = this->coordinator;
    answer.coordinator_address = this->coordinator_address;
    answer.roster = this->standing.members.version;
    if (answer.roster > message.roster) {
        answer.roster_body = membership::encode(this->standing.members);
    }
    answer.active_revision = this->activation.active.number;
    answer.prepared_revision = release::highest_prepared(this->activation);
    if (answer.active_revision > message.active_revision) {
        answer.catalogue_body = this->activation.active_body;
    }
    for (const auto& [service, map] : this->maps) {
        const auto theirs =
            std::find_if(message.maps.begin(), message.maps.end(),
                         [&id = service](const auto& known) { return known.first == id; });
        if (theirs == message.maps.end() || theirs->second < map->version) {
            answer.maps.emplace_back(service, placement::encode(*map));
        }
    }
    ++this->counters.snapshots_sent;
    static_cast<void>(this->peers.send(from.address, std::move(answer)));
}

void control_task::handle(const peer::sender& from, const peer::snapshot& message) {
    this->extra_addresses.try_emplace(from.host, from.address);
    this->note_coordinator(message.term, message.coordinator, message.coordinator_address);
    if (!message.roster_body.empty()) {
        const auto members = membership::decode_roster(message.roster_body);
        if (members) {
            this->adopt_roster(*members);
        }
    }
    if (message.mark != 0) {
        this->advance_standing(
            membership::peer_without_evidence{from.host, message.roster, from_mark(message.mark)});
    }
    if (!message.catalogue_body.empty()) {
        this->advance_activation(release::snapshot_received{message.catalogue_body});
    }
    if (message.active_revision > this->activation.active.number) {
        this->advance_activation(
            release::peer_revision_seen{from.host, message.active_revision, std::nullopt});
    }
    for (const auto& [service, body] : message.maps) {
        const auto map = placement::decode(body);
        if (map) {
            this->adopt_map(*map);
        }
    }
    this->count_start_reply(from.host, message);
}

void control_task::count_start_reply(const host_instance& host, const peer::snapshot& message) {
    if (this->activation.in_service) {
        this->start_replies.clear();
        return;
    }
    if (membership::contains(this->standing.members, host)) {
        this->start_replies[host] = {message.active_revision, message.prepared_revision};
    }
    if (this->start_replies.size() < membership::majority_of(this->standing.members.hosts.size())) {
        return;
    }
    release::majority_answered event;
    for (const auto& [replied, revisions] : this->start_replies) {
        event.highest_active = std::max(event.highest_active, revisions.first);
        event.highest_prepared = std::max(event.highest_prepared, revisions.second);
    }
    this->advance_activation(event);
}

void control_task::handle(const peer::sender&, const peer::prepare_note& message) {
    this->advance_activation(release::prepare_received{
        message.term, message.number, message.submission, message.catalogue_body, message.digest});
}

void control_task::handle(const peer::sender&, const peer::activate_note& message) {
    this->advance_activation(
        release::activate_received{message.term, message.number, message.digest});
}

void control_task::handle(const peer::sender&, const peer::abort_note& message) {
    this->advance_activation(release::abort_received{message.term, message.number, message.digest});
}

void control_task::handle(const peer::sender&, const peer::welcome& message) {
    this->advance_activation(
        release::welcome_received{message.term, message.number, message.digest});
    if (message.echo != 0 && !membership::contains(this->standing.members, this->settings.self)) {
        this->advance_standing(membership::guest_accepted{message.term, from_mark(message.echo)});
    }
}

void control_task::handle(const peer::sender&, const peer::map_update& message) {
    const auto map = placement::decode(message.map_body);
    if (map) {
        this->adopt_map(*map);
    }
}

void control_task::handle(const peer::sender&, const peer::quarantine_notice& message) {
    this->outputs.publish_quarantine({message.fingerprint, message.losses, message.remaining});
}

void control_task::handle(const peer::sender& from, const peer::submit_note& message) {
    const std::string address = from.address;
    note_order order;
    order.submission = message.submission;
    order.text = message.body;
    order.done = [this, address](const release::submission_answer& answer) {
        peer::submit_result reply;
        reply.submission = answer.submission;
        reply.state = static_cast<std::uint8_t>(answer.state);
        reply.code = number_of(answer.code);
        reply.detail = answer.detail;
        reply.number = answer.number;
        static_cast<void>(this->peers.send(address, std::move(reply)));
    };
    if (this->role) {
        this->receive(order);
    }
}

void control_task::handle(const peer::sender&, const peer::submit_result& message) {
    release::submission_answer answer;
    answer.submission = message.submission;
    answer.state = static_cast<release::submission_state>(message.state);
    if (message.code != 0) {
        answer.code = code_from_number(message.code);
    }
    answer.detail = message.detail;
    answer.number = message.number;
    this->answer_submission(answer);
}

// Submissions of operators.

void control_task::answer_submission(const release::submission_answer& answer) {
    if (answer.state != release::submission_state::in_force &&
        answer.state != release::submission_state::refused) {
        return;
    }
    if (answer.state == release::submission_state::refused) {
        this->refusals.push_front(answer);
        if (this->refusals.size() > remembered_refusals) {
            this->refusals.pop_back();
        }
    }
    const auto found = this->submissions.find(answer.submission);
    if (found == this->submissions.end()) {
        return;
    }
    const std::vector<waiting_submission> waiting = std::move(found->second);
    this->submissions.erase(found);
    const time_point now = std::chrono::steady_clock::now();
    for (const waiting_submission& entry : waiting) {
        if (answer.state == release::submission_state::in_force) {
            this->note_activation.observe(
                std::chrono::duration_cast<microseconds>(now - entry.since));
        }
        entry.done(answer);
    }
}

void control_task::expire_submissions(time_point now) {
    constexpr milliseconds give_up_after{25'000};
    constexpr milliseconds resend_period{1'000};
    std::vector<waiting_submission> expired;
    for (auto entry = this->submissions.begin(); entry != this->submissions.end();) {
        waiting_submission& first = entry->second.front();
        if (now - first.since > give_up_after) {
            std::move(entry->second.begin(), entry->second.end(), std::back_inserter(expired));
            entry = this->submissions.erase(entry);
            continue;
        }
        if (!first.last_sent || now - *first.last_sent > resend_period) {
            first.last_sent = now;
            if (this->role) {
                this->advance_rollout(release::note_submitted{entry->first, first.text});
                break;
            }
            this->send_to_coordinator(peer::submit_note{entry->first, first.text});
        }
        ++entry;
    }
    release::submission_answer answer;
    answer.state = release::submission_state::pending;
    answer.code = make_error_code(router_errc::no_coordinator);
    for (const waiting_submission& entry : expired) {
        entry.done(answer);
    }
}

}  // namespace greengagechute::router
