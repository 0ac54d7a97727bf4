#include "coordinator_state.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace greengagechute::gateway {

namespace {

/// Key of the only row of `members_table`.
constexpr std::string_view members_row = "hosts";
constexpr milliseconds members_retry_delay{250};

std::string encode_members(const leadership::host_set& members) {
    nlohmann::json text = nlohmann::json::array();
    for (const host_id& host : members) {
        text.push_back(host.value());
    }
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Empty if the text is malformed.
std::optional<leadership::host_set> decode_members(std::string_view text) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_array()) {
        return std::nullopt;
    }
    leadership::host_set members;
    for (const nlohmann::json& host : parsed) {
        if (!host.is_string()) {
            return std::nullopt;
        }
        members.insert(host_id(host.get<std::string>()));
    }
    return members;
}

}  // namespace

/// Begins to collect proofs that this host has not been replaced, and that its predecessors have.
/// @param confirmed_at  when the store was asked for the term that this host has just been found to
///                      hold
void coordinator::state::begin_term(time_point confirmed_at, time_point now) {
    this->authority = {};
    this->authority.settings = this->settings.authority;
    this->authority.self = this->settings.host;
    leadership::record_confirmation(this->authority, confirmed_at);
    this->succession = {};
    this->predecessors_settled = false;
    this->granting = true;
    this->last_term_check = now;
    this->storing_members = false;
    this->read_members();
}

/// Reads which members the store holds, until that has succeeded.
void coordinator::state::read_members() {
    this->members_read = false;
    this->store.read(std::string(members_table), call_connection::fresh,
                     [this, number = this->term->number](const result<table_content>& content) {
                         if (!this->leading || this->term->number != number) {
                             return;
                         }
                         if (!content) {
                             this->loop.call_after(members_retry_delay, [this, number] {
                                 if (this->leading && this->term->number == number) {
                                     this->read_members();
                                 }
                             });
                             return;
                         }
                         this->on_members_read(*content);
                     });
}

void coordinator::state::on_members_read(const table_content& content) {
    leadership::host_set stored;
    this->members_version = {};
    for (const stored_row& row : content.rows) {
        if (row.key != members_row || row.removed) {
            continue;
        }
        this->members_version = row.version;
        if (auto members = decode_members(row.value)) {
            stored = std::move(*members);
        } else {
            telemetry::log_error(this->log, "members_row_malformed",
                                 {{"version", row.version.number}});
        }
    }
    if (this->authority.proposed == stored) {
        this->authority.proposed.reset();
    }
    this->authority.members = std::move(stored);
    this->members_read = true;
    if (!this->succession.members_known) {
        leadership::set_members(this->succession, this->authority.members, wire::event_loop::now());
    }
}

/// Stores the hosts that report as the members, if they have changed. No predecessor may still
/// grant: it counts the stored members.
void coordinator::state::store_members(time_point now) {
    const auto stopped_at =
        leadership::predecessors_stopped_at(this->succession, this->settings.authority);
    if (!this->members_read || this->storing_members || !this->store_ok || !this->store_reachable ||
        this->needs_reassertion || !stopped_at || now < *stopped_at) {
        return;
    }
    leadership::host_set reporting{this->settings.host};
    for (const auto& [host, reported] : this->reports) {
        reporting.insert(host);
    }
    if (reporting == this->authority.members && !this->authority.proposed) {
        return;
    }
    if (!this->authority.proposed) {
        this->authority.proposed = std::move(reporting);
    }
    this->storing_members = true;
    stored_row row;
    row.table = std::string(members_table);
    row.key = std::string(members_row);
    row.version = this->members_version;
    row.value = encode_members(*this->authority.proposed);
    stored_row term_entry;
    term_entry.table = std::string(term_table);
    term_entry.key = std::string(term_row);
    term_entry.version = this->version_of(term_table, term_entry.key);
    this->store.commit({term_entry, row}, {row}, call_connection::kept,
                       [this, number = this->term->number](commit_outcome) {
                           // Whatever the outcome, what the store holds now is needed.
                           if (this->leading && this->term->number == number) {
                               this->storing_members = false;
                               this->read_members();
                           }
                       });
}

/// Asks the store whether this host still holds the term, for a coordinator that most hosts do not
/// follow.
void coordinator::state::check_term(time_point now) {
    this->last_term_check = now;
    this->read_term(call_connection::fresh, [this, number = this->term->number, now](bool done) {
        if (done && this->leading && this->term->number == number && this->stored_term &&
            this->stored_term->host == this->identity && this->stored_term->number == number) {
            leadership::record_confirmation(this->authority, now);
        }
    });
}

/// Records that a host has reported to this one in the present term.
void coordinator::state::note_follower(const host_report& report, time_point now) {
    if (report.term != this->term->number) {
        return;
    }
    leadership::record_follower(this->succession, report.host, report.told_of_outage, now);
    const milliseconds term_age = std::chrono::floor<milliseconds>(now - this->coordinating_since);
    if (report.answer_stamp != 0 &&
        report.answer_stamp <= static_cast<std::uint64_t>(term_age.count())) {
        leadership::record_follower(
            this->authority, report.host,
            this->coordinating_since +
                milliseconds(static_cast<std::int64_t>(report.answer_stamp)));
    }
}

/// Decides whether this host may grant leases now, and asks the store if most hosts do not follow
/// it.
void coordinator::state::update_authority(time_point now) {
    leadership::set_store_available(this->authority, this->store_ok && this->store_reachable, now);
    if (this->authority.outage_since) {
        this->told_of_outage_at = now;
    }
    leadership::record_follower(this->succession, this->settings.host, this->told_of_outage(now),
                                now);
    if (!leadership::is_followed_by_majority(this->authority, now) &&
        now - this->last_term_check >= this->settings.term_check_interval) {
        this->check_term(now);
        if (!this->granting) {
            this->contacts = this->contacts_for(this->settings.host);
            this->ask_contacts(0);
        }
    }
    const bool allowed = leadership::may_grant(this->authority, now);
    if (allowed != std::exchange(this->granting, allowed)) {
        const auto followers = leadership::count_followers(
            this->authority, this->authority.members, now - this->settings.authority.max_proof_age);
        const milliseconds confirmed_age = std::chrono::floor<milliseconds>(
            now - this->authority.confirmed_at.value_or(this->coordinating_since));
        telemetry::log_info(this->log, allowed ? "granting_resumed" : "granting_suspended",
                            {{"term", this->term->number},
                             {"followers", followers},
                             {"members", this->authority.members.size()},
                             {"confirmed", confirmed_age}});
    }
    const auto leases_end = this->predecessor_leases_end();
    if (leases_end && !std::exchange(this->predecessors_settled, true)) {
        telemetry::log_info(
            this->log, "predecessor_leases_bounded",
            {{"term", this->term->number},
             {"followers", this->succession.followers.size()},
             {"members", this->succession.members.size()},
             {"waited", std::chrono::floor<milliseconds>(now - this->coordinating_since)},
             {"end_in", std::chrono::ceil<milliseconds>(*leases_end - now)}});
    }
}

/// Longest time from the sending of a grant to the end of its lease. A grant can arrive until it is
/// given up.
leadership::lease_spans coordinator::state::lease_spans() const {
    const ranges::lease_settings& keeper = this->settings.keeper;
    return {this->settings.order_timeout + ranges::max_lease_time(keeper, keeper.lease_duration),
            this->settings.order_timeout +
                ranges::max_lease_time(keeper, keeper.outage_lease_duration)};
}

std::optional<time_point> coordinator::state::predecessor_leases_end() const {
    return leadership::predecessor_leases_end(this->succession, this->settings.authority,
                                              this->lease_spans());
}

/// Whether a coordinator may have granted longer leases because this host knew of an outage.
bool coordinator::state::told_of_outage(time_point now) const {
    return leadership::was_told_of_outage(this->told_of_outage_at, this->started_at,
                                          this->settings.authority, this->lease_spans(), now);
}

}  // namespace greengagechute::gateway
