#include "coordinator_state.h"

#include <utility>

namespace greengagechute::gateway {

namespace {

/// Key of the only row of `quarantine_table`.
constexpr std::string_view quarantine_row = "requests";
constexpr milliseconds quarantine_retry_delay{1'000};

}  // namespace

/// Tells this host and the others.
void coordinator::state::suspects_changed(time_point now) {
    this->handlers.suspects_changed(current_suspects(this->suspects, now));
    this->answer_held_reports(false, now);
}

/// Learns which requests earlier coordinators refused: this host may have been started since, and
/// the others as well.
void coordinator::state::read_quarantine() {
    this->store.read(std::string(quarantine_table), call_connection::fresh,
                     [this, number = this->term->number](const result<table_content>& content) {
                         if (!this->leading || this->term->number != number) {
                             return;
                         }
                         if (!content) {
                             this->loop.call_after(quarantine_retry_delay, [this, number] {
                                 if (this->leading && this->term->number == number) {
                                     this->read_quarantine();
                                 }
                             });
                             return;
                         }
                         const time_point now = wire::event_loop::now();
                         const auto wall_now =
                             std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
                         for (const stored_row& row : content->rows) {
                             const auto requests = row.key == quarantine_row && !row.removed
                                                       ? decode_row(row.value, wall_now)
                                                       : std::nullopt;
                             if (requests && !requests->empty()) {
                                 merge(this->suspects, {0, *requests, {}}, now);
                                 ++this->suspects.version;
                                 this->suspects_changed(now);
                             }
                         }
                     });
}

/// Stores which requests are refused, if that has changed.
void coordinator::state::store_quarantine(time_point now) {
    if (!this->quarantine_outdated || this->storing_quarantine || !this->store_ok ||
        !this->store_reachable || this->needs_reassertion) {
        return;
    }
    this->quarantine_outdated = false;
    this->storing_quarantine = true;
    std::vector<suspect_request> refused = current_suspects(this->suspects, now).requests;
    std::erase_if(refused, [this](const suspect_request& request) {
        return request.losses < this->suspects.requests.limits.losses;
    });
    stored_row row;
    row.table = std::string(quarantine_table);
    row.key = std::string(quarantine_row);
    row.value =
        encode_row(refused, std::chrono::floor<milliseconds>(std::chrono::system_clock::now()));
    stored_row term_entry;
    term_entry.table = std::string(term_table);
    term_entry.key = std::string(term_row);
    term_entry.version = this->version_of(term_table, term_entry.key);
    this->store.commit({term_entry}, {row}, call_connection::kept, [this](commit_outcome outcome) {
        this->storing_quarantine = false;
        this->quarantine_outdated = this->quarantine_outdated || outcome != commit_outcome::stored;
    });
}

}  // namespace greengagechute::gateway
