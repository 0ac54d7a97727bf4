// The coordinator's part of the control task.

#include "control_state.h"
#include "router/codes.h"
#include "router/control_task.h"
#include "router/errors.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace greengagechute::router {

namespace {

membership::write_outcome to_outcome(platform::commit_state state) {
    switch (state) {
        case platform::commit_state::committed:
            return membership::write_outcome::committed;
        case platform::commit_state::conflict:
            return membership::write_outcome::conflict;
        case platform::commit_state::absent:
            break;
    }
    return membership::write_outcome::absent;
}

release::head_write_outcome to_head_outcome(membership::write_outcome outcome) {
    switch (outcome) {
        case membership::write_outcome::committed:
            return release::head_write_outcome::committed;
        case membership::write_outcome::conflict:
            return release::head_write_outcome::conflict;
        case membership::write_outcome::absent:
            return release::head_write_outcome::absent;
        case membership::write_outcome::unknown:
            break;
    }
    return release::head_write_outcome::unknown;
}

std::uint64_t first_version(const platform::commit_result& answer) {
    return answer.versions.empty() ? 0 : answer.versions.front();
}

}  // namespace

void control_task::commit(const platform::transaction& change,
                          std::function<void(membership::write_outcome, std::uint64_t)> done) {
    ++this->counters.store_commits;
    this->store.commit(
        change, [this, done = std::move(done)](const result<platform::commit_result>& answer) {
            if (!answer) {
                ++this->counters.store_failures;
                done(membership::write_outcome::unknown, 0);
                return;
            }
            done(to_outcome(answer->state), first_version(*answer));
        });
}

void control_task::read_commit(const std::string& id,
                               std::function<void(membership::write_outcome, std::uint64_t)> done) {
    ++this->counters.store_reads;
    this->store.read_commit(
        id, [this, done = std::move(done)](const result<platform::commit_result>& answer) {
            if (!answer) {
                ++this->counters.store_failures;
                done(membership::write_outcome::unknown, 0);
                return;
            }
            done(to_outcome(answer->state), first_version(*answer));
        });
}

void control_task::begin_coordinator(term_number number) {
    const time_point now = std::chrono::steady_clock::now();
    ++this->counters.terms_held;
    telemetry::log_info(*this->log, "term_begun", {{"term", number.value()}});
    this->role = std::make_unique<coordinator_role>();
    this->role->view = membership::start_view(this->settings.self, number, now);
    this->role->view.times = this->settings.view;
    this->role->rollout = release::start_rollout(number, now);
    this->note_coordinator(number, this->settings.self, this->peers.self_address());
    this->read_maps();
    this->update_guard(now);
}

void control_task::end_coordinator() {
    if (!this->role) {
        return;
    }
    telemetry::log_warning(*this->log, "term_ended", {{"term", this->role->view.term.value()}});
    this->advance_rollout(release::term_ended{});
    this->role.reset();
}

void control_task::tick_coordinator(time_point now) {
    this->update_guard(now);
    this->hear(this->own_report());
    const membership::view_state& view = this->role->view;
    if (view.row_known && !membership::contains(view.members, this->settings.self) &&
        !this->leaving) {
        membership::roster_host self;
        self.instance = this->settings.self;
        self.address = this->peers.self_address();
        self.region = this->settings.region;
        self.data_centre = this->settings.data_centre;
        this->advance_view(membership::join_asked{self, this->standing.was_member});
    }
    this->advance_view(membership::tick{});
    if (!this->role->decisions_allowed && membership::may_decide(this->role->view, now)) {
        this->role->decisions_allowed = true;
        this->advance_rollout(release::decisions_allowed{});
    }
    this->advance_rollout(release::tick{});
    if (this->role->maps_read && this->role->head_known && this->role->view.row_known) {
        this->check_named_hosts(now);
        for (const auto& [service, planner] : this->role->planners) {
            this->advance_planner(service, ownership::planner_tick{});
        }
    }
    const bool due = !this->role->last_heartbeat ||
                     now - *this->role->last_heartbeat >= this->settings.heartbeat_period;
    if ((due || this->role->announce) && this->role->view.row_known) {
        this->send_heartbeats(now);
    }
}

void control_task::update_guard(time_point now) {
    if (!this->role) {
        return;
    }
    const auto guard = membership::guard_version(this->term, now);
    if (guard != this->role->guard) {
        this->role->guard = guard;
        this->advance_view(membership::guard_changed{guard});
        this->advance_rollout(release::guard_changed{guard});
    }
}

void control_task::send_heartbeats(time_point now) {
    this->role->last_heartbeat = now;
    this->role->announce = false;
    peer::heartbeat message;
    message.term = this->role->view.term;
    message.sequence = ++this->role->sequence;
    message.coordinator = this->settings.self;
    message.coordinator_address = this->peers.self_address();
    message.roster = this->standing.members.version;
    if (const auto head = release::report_head(this->role->rollout, now)) {
        message.head_known = true;
        message.active_revision = head->number;
        message.head_open_for = head->open_for;
    }
    for (const auto& [service, map] : this->maps) {
        message.maps.emplace_back(service, map->version);
    }
    const auto age = membership::evidence_age(this->standing, now);
    message.store_available = age && *age < this->settings.heartbeat_period * 3;
    message.age = age.value_or(milliseconds(0));
    this->role->sent_heartbeats[message.sequence] = now;
    std::erase_if(this->role->sent_heartbeats, [&](const auto& sent) {
        return now - sent.second > this->settings.standing.bound;
    });
    std::vector<host_instance> receivers =
        membership::children_of(this->standing.members, this->settings.self, this->settings.self);
    for (const auto& [host, guest] : this->role->view.guests) {
        this->extra_addresses[host] = guest.host.address;
        receivers.push_back(host);
    }
    for (const host_instance& receiver : receivers) {
        const auto mark = this->marks.find(receiver);
        // Without evidence of its own, the coordinator gives none to others.
        message.echo = mark == this->marks.end() || !age ? 0 : mark->second;
        ++this->counters.heartbeats_sent;
        this->send_to(receiver, message);
    }
}

void control_task::hear(const peer::heartbeat_ack::entry& report) {
    this->advance_view(membership::host_heard{report.host, report.roster, report.active_revision,
                                              report.prepared_revision});
    if (this->role) {
        this->advance_rollout(release::activated_received{report.host, report.active_revision});
    }
}

void control_task::hear_all(const peer::heartbeat_ack& message) {
    std::optional<time_point> sent_at;
    const auto sent = this->role->sent_heartbeats.find(message.sequence);
    if (message.term == this->role->view.term && sent != this->role->sent_heartbeats.end()) {
        sent_at = sent->second;
    }
    for (const peer::heartbeat_ack::entry& report : message.hosts) {
        this->hear(report);
        // Each acknowledgement names the roster that the host knew after the heartbeat was sent.
        if (sent_at) {
            this->advance_standing(
                membership::peer_without_evidence{report.host, report.roster, *sent_at});
        }
    }
}

void control_task::handle(const peer::sender& from, const peer::join& message) {
    if (!this->role) {
        return;
    }
    this->marks[message.host] = message.mark;
    this->extra_addresses[message.host] = from.address;
    membership::roster_host host;
    host.instance = message.host;
    host.address = message.address;
    host.region = message.region;
    host.data_centre = message.data_centre;
    this->advance_view(membership::join_asked{host, message.was_member});
}

void control_task::handle(const peer::sender&, const peer::leave& message) {
    if (this->role) {
        this->advance_view(membership::leave_asked{message.host});
    }
}

void control_task::handle(const peer::sender& from, const peer::prepared& message) {
    if (this->role) {
        this->advance_rollout(release::prepared_received{
            from.host, message.number, message.digest, message.accepted,
            message.code == 0 ? std::error_code() : code_from_number(message.code)});
    }
}

void control_task::handle(const peer::sender& from, const peer::activated& message) {
    if (this->role) {
        this->advance_rollout(release::activated_received{from.host, message.number});
    }
}

// Roster.

void control_task::advance_view(const membership::view_event& event) {
    if (!this->role) {
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    for (const membership::view_action& action : membership::step(this->role->view, event, now)) {
        if (!this->role) {
            return;
        }
        this->act(action);
    }
}

void control_task::act(const membership::view_action& action) {
    const term_number number = this->role->view.term;
    const auto in_term = [this, number] { return this->role && this->role->view.term == number; };
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, membership::read_roster_row>) {
                this->store.read_row("roster", [this, in_term](result<platform::row> answer) {
                    if (!answer || !in_term()) {
                        return;
                    }
                    membership::roster members;
                    if (answer->version != 0) {
                        auto decoded = membership::decode_roster(answer->value);
                        if (!decoded) {
                            return;
                        }
                        members = std::move(*decoded);
                    }
                    this->adopt_roster(members);
                    this->advance_view(membership::roster_row_read{members, answer->version});
                    this->update_planner_inputs();
                });
            } else if constexpr (std::is_same_v<type, membership::commit_roster>) {
                platform::transaction change;
                change.id = content.write_id;
                change.conditions = {{"roster", content.expected_version}, {"term", content.guard}};
                change.writes = {{"roster", membership::encode(content.next)}};
                this->advance_term(membership::guarded_write_started{});
                this->commit(change, [this, in_term, id = content.write_id](
                                         membership::write_outcome outcome, std::uint64_t version) {
                    this->advance_term(membership::guarded_write_finished{});
                    if (in_term()) {
                        this->advance_view(
                            membership::roster_commit_answered{id, outcome, version});
                    }
                });
            } else if constexpr (std::is_same_v<type, membership::read_roster_commit>) {
                this->read_commit(content.write_id,
                                  [this, in_term, id = content.write_id](
                                      membership::write_outcome outcome, std::uint64_t version) {
                                      if (in_term()) {
                                          this->advance_view(membership::roster_commit_answered{
                                              id, outcome, version});
                                      }
                                  });
            } else if constexpr (std::is_same_v<type, membership::guest_counted>) {
                this->extra_addresses[content.host.instance] = content.host.address;
                this->advance_rollout(release::member_added{content.host.instance, false});
                this->role->announce = true;
            } else if constexpr (std::is_same_v<type, membership::host_suspected>) {
                telemetry::log_warning(*this->log, "host_suspected",
                                       {{"suspect", content.host.host.value()}});
            } else if constexpr (std::is_same_v<type, membership::roster_in_force>) {
                this->adopt_roster(content.members);
                this->count_members(content.members);
                this->role->announce = true;
            } else if constexpr (std::is_same_v<type, membership::authority_ended>) {
                telemetry::log_info(*this->log, "authority_ended",
                                    {{"departed", content.instance.host.value()}});
                this->advance_rollout(release::member_removed{content.instance});
                this->role->ended_authorities.insert(content.instance);
                for (const auto& [service, planner] : this->role->planners) {
                    this->advance_planner(service,
                                          ownership::host_authority_ended{content.instance});
                }
                this->marks.erase(content.instance);
            } else if constexpr (std::is_same_v<type, membership::join_refused>) {
                telemetry::log_info(
                    *this->log, "join_refused",
                    {{"joining", content.host.host.value()}, {"code", content.reason}});
            }
        },
        action);
}

// Hosts of the roster at the start of the term were counted by an earlier coordinator; hosts that
// joined since are counted as guests before.
void control_task::count_members(const membership::roster& members) {
    const bool at_start = !std::exchange(this->role->members_counted, true);
    for (const membership::roster_host& host : members.hosts) {
        if (!this->role->rollout.members.contains(host.instance)) {
            this->advance_rollout(release::member_added{host.instance, at_start});
        }
    }
}

// Release notes.

void control_task::advance_rollout(const release::rollout_event& event) {
    if (!this->role) {
        return;
    }
    const time_point now = std::chrono::steady_clock::now();
    for (const release::rollout_action& action : release::step(this->role->rollout, event, now)) {
        if (!this->role) {
            return;
        }
        this->act(action);
    }
}

void control_task::act(const release::rollout_action& action) {
    const term_number number = this->role->view.term;
    const auto in_term = [this, number] { return this->role && this->role->view.term == number; };
    std::visit(
        [&](const auto& content) {
            using type = std::decay_t<decltype(content)>;
            if constexpr (std::is_same_v<type, release::read_head>) {
                this->store.read_row(
                    "head", [this, in_term, call = content.call](result<platform::row> answer) {
                        if (!answer || !in_term()) {
                            return;
                        }
                        release::head_row_read event;
                        event.call = call;
                        event.version = answer->version;
                        if (answer->version != 0) {
                            const auto head = release::decode_head(answer->value);
                            if (!head) {
                                return;
                            }
                            event.record = *head;
                        }
                        this->advance_rollout(event);
                    });
            } else if constexpr (std::is_same_v<type, release::load_object>) {
                this->store.get_object(
                    content.name, [this, in_term, name = content.name](result<std::string> body) {
                        if (in_term()) {
                            this->advance_rollout(
                                release::object_loaded{name, body ? *body : std::string()});
                        }
                    });
            } else if constexpr (std::is_same_v<type, release::store_object>) {
                this->store.put_object(
                    content.name, content.body,
                    [this, in_term, name = content.name](const result<std::monostate>& answer) {
                        if (answer && in_term()) {
                            this->advance_rollout(release::object_stored{name});
                        }
                    });
            } else if constexpr (std::is_same_v<type, release::read_submission>) {
                this->store.read_row(release::submission_row(content.submission),
                                     [this, in_term, id = content.submission,
                                      call = content.call](result<platform::row> answer) {
                                         if (!answer || !in_term()) {
                                             return;
                                         }
                                         release::submission_row_read event;
                                         event.submission = id;
                                         event.call = call;
                                         if (answer->version != 0) {
                                             const auto record =
                                                 release::decode_head(answer->value);
                                             if (!record) {
                                                 return;
                                             }
                                             event.record = *record;
                                         }
                                         this->advance_rollout(event);
                                     });
            } else if constexpr (std::is_same_v<type, release::commit_head>) {
                platform::transaction change;
                change.id = content.write_id;
                const std::string row = release::submission_row(content.record.submission);
                change.conditions = {
                    {"head", content.expected_version}, {row, 0}, {"term", content.guard}};
                const std::string body = release::encode(content.record);
                change.writes = {{"head", body}, {row, body}};
                this->advance_term(membership::guarded_write_started{});
                this->commit(change, [this, in_term, id = content.write_id](
                                         membership::write_outcome outcome, std::uint64_t version) {
                    this->advance_term(membership::guarded_write_finished{});
                    if (in_term()) {
                        this->advance_rollout(
                            release::head_commit_answered{id, to_head_outcome(outcome), version});
                    }
                });
            } else if constexpr (std::is_same_v<type, release::read_head_commit>) {
                this->read_commit(content.write_id,
                                  [this, in_term, id = content.write_id](
                                      membership::write_outcome outcome, std::uint64_t version) {
                                      if (in_term()) {
                                          this->advance_rollout(release::head_commit_answered{
                                              id, to_head_outcome(outcome), version});
                                      }
                                  });
            } else if constexpr (std::is_same_v<type, release::send_prepare>) {
                this->send_to(content.host,
                              peer::prepare_note{content.term, content.number, content.submission,
                                                 content.body, content.digest});
            } else if constexpr (std::is_same_v<type, release::send_activate>) {
                this->send_to(content.host,
                              peer::activate_note{content.term, content.number, content.digest});
            } else if constexpr (std::is_same_v<type, release::send_abort>) {
                this->send_to(content.host,
                              peer::abort_note{content.term, content.number, content.digest});
            } else if constexpr (std::is_same_v<type, release::send_welcome>) {
                peer::welcome message;
                message.term = content.term;
                message.number = content.number;
                message.digest = content.digest;
                const auto mark = this->marks.find(content.host);
                message.echo = mark == this->marks.end() ? 0 : mark->second;
                this->send_to(content.host, message);
            } else if constexpr (std::is_same_v<type, release::submission_answer>) {
                telemetry::log_info(*this->log, "submission_answered",
                                    {{"submission", content.submission},
                                     {"state", static_cast<int>(content.state)},
                                     {"revision", content.number.value()},
                                     {"code", content.code}});
                this->answer_submission(content);
            } else if constexpr (std::is_same_v<type, release::head_known>) {
                this->role->head_known = true;
                this->role->announce = true;
                this->update_planner_inputs();
            }
        },
        action);
}

}  // namespace greengagechute::router
