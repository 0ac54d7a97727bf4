#include "gateway/table_watch.h"

#include "gateway/errors.h"

#include <algorithm>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// After a failure the store is asked to answer immediately, so that its recovery is noticed even
/// if the table does not change.
constexpr milliseconds probe_wait{0};
constexpr milliseconds min_retry_delay{150};
/// Half of the time within which a change must take effect.
constexpr milliseconds max_retry_delay{600};
/// Logged as the age of content that the store has never given.
constexpr milliseconds never_confirmed{-1};

}  // namespace

table_watch::table_watch(wire::event_loop& owner, table_store& source, telemetry::logger& logger,
                         std::string name, milliseconds initial_batch_delay,
                         update_handler on_update)
    : loop(owner),
      store(source),
      log(logger),
      table(std::move(name)),
      batch_delay(initial_batch_delay),
      max_wait(default_max_wait),
      handler(std::move(on_update)) {}

void table_watch::start() {
    this->read();
}

void table_watch::on_failure(const status& error) {
    ++this->failures;
    this->polling = false;
    if (this->failures == 1) {
        const time_point now = wire::event_loop::now();
        this->failing_since = now;
        telemetry::log_warning(this->log, "store_watch_lost",
                               {{"table", this->table},
                                {"error", error},
                                {"reason", error.message()},
                                {"version", this->version.number},
                                {"waited", std::chrono::floor<milliseconds>(now - this->asked_at)},
                                {"confirmed", this->last_answer ? std::chrono::floor<milliseconds>(
                                                                      now - *this->last_answer)
                                                                : never_confirmed}});
    }
    const milliseconds pause =
        std::min(max_retry_delay, min_retry_delay * (1 << std::min(this->failures - 1, 4)));
    if (error == gateway_errc::history_lost) {
        this->read();
        return;
    }
    this->continue_after(pause);
}

void table_watch::continue_after(milliseconds delay) {
    this->loop.call_after(delay, [this, call = this->last_call] {
        if (call != this->last_call) {
            return;
        }
        if (this->has_content) {
            this->watch();
        } else {
            this->read();
        }
    });
}

void table_watch::log_skipped(const table_content& content) {
    if (content.skipped_rows > 0) {
        telemetry::log_warning(this->log, "store_rows_skipped",
                               {{"table", this->table},
                                {"rows", content.skipped_rows},
                                {"version", content.version.number},
                                {"reason", "the key cannot be read"}});
    }
}

table_update table_watch::on_answer(const store_version& newest) {
    const time_point now = wire::event_loop::now();
    table_update update;
    update.after_outage = this->failures > 0;
    update.since = this->was_paused || this->polling ? this->complete_at : now;
    update.waited = std::chrono::floor<milliseconds>(now - this->asked_at);
    if (update.after_outage) {
        telemetry::log_info(
            this->log, "store_watch_regained",
            {{"table", this->table},
             {"version", newest.number},
             {"era", newest.era},
             {"lost_for", std::chrono::floor<milliseconds>(now - this->failing_since)},
             {"failures", this->failures}});
    }
    this->failures = 0;
    this->polling = false;
    this->last_answer = now;
    this->complete_at = now;
    this->was_paused = false;
    return update;
}

void table_watch::read() {
    const std::uint64_t call = ++this->last_call;
    this->asked_at = wire::event_loop::now();
    this->polling = false;
    // A table is read again after something went wrong, or first of all.
    this->store.read(
        this->table, call_connection::fresh, [this, call](result<table_content> answer) {
            if (call != this->last_call) {
                return;
            }
            if (!answer) {
                // The history may be lost: only a snapshot shows which rows have been removed.
                this->has_content = false;
                this->on_failure(answer.error());
                return;
            }
            this->log_skipped(*answer);
            const bool restored =
                this->version != store_version{} && answer->version.era != this->version.era;
            table_update update = this->on_answer(answer->version);
            if (restored) {
                update.after_outage = true;
                telemetry::log_warning(this->log, "store_restored",
                                       {{"table", this->table},
                                        {"known_version", this->version.number},
                                        {"version", answer->version.number},
                                        {"era", answer->version.era}});
            }
            this->has_content = true;
            this->version = answer->version;
            update.whole = true;
            update.content = std::move(*answer);
            this->handler(update);
            this->continue_after(this->batch_delay);
        });
}

void table_watch::reload_before(std::uint64_t era) {
    if (this->has_content && this->version.era < era) {
        this->has_content = false;
        this->idle = false;
        this->read();
    }
}

void table_watch::set_paused(bool wanted) {
    this->paused = wanted;
    if (!wanted && this->idle) {
        this->idle = false;
        this->poll_requested = true;
        this->watch();
    }
}

void table_watch::advance_to(store_version known, time_point when) {
    this->version = std::max(this->version, known);
    this->complete_at = std::max(this->complete_at, when);
}

void table_watch::poll_now() {
    if (this->has_content && !this->paused && !this->polling) {
        this->poll_requested = true;
        this->watch();
    }
}

void table_watch::poll_if_unconfirmed(milliseconds max_age, time_point now) {
    if (!this->reachable() || this->paused || this->polling || now - this->complete_at <= max_age) {
        return;
    }
    telemetry::log_info(this->log, "store_watch_unconfirmed",
                        {{"table", this->table},
                         {"version", this->version.number},
                         {"waited", std::chrono::floor<milliseconds>(now - this->asked_at)},
                         {"confirmed", std::chrono::floor<milliseconds>(now - this->complete_at)}});
    this->poll_now();
}

void table_watch::watch() {
    if (this->paused) {
        this->idle = true;
        this->was_paused = true;
        return;
    }
    this->polling = std::exchange(this->poll_requested, false) || this->failures > 0;
    const milliseconds longest = this->polling ? probe_wait : this->max_wait;
    const std::uint64_t call = ++this->last_call;
    this->asked_at = wire::event_loop::now();
    this->store.watch(this->table, this->version, longest,
                      this->polling ? call_connection::fresh : call_connection::kept,
                      [this, call](result<table_content> answer) {
                          if (call != this->last_call) {
                              return;
                          }
                          if (!answer) {
                              this->on_failure(answer.error());
                              return;
                          }
                          if (answer->version.era != this->version.era) {
                              // The store came back from an older copy. What it says has changed
                              // since a version of the lost history is not complete.
                              this->has_content = false;
                              this->read();
                              return;
                          }
                          this->log_skipped(*answer);
                          table_update update = this->on_answer(answer->version);
                          this->version = std::max(this->version, answer->version);
                          const bool changed = !answer->rows.empty();
                          if (changed) {
                              update.content = std::move(*answer);
                              this->handler(update);
                          }
                          this->continue_after(changed ? this->batch_delay : milliseconds{0});
                      });
}

}  // namespace greengagechute::gateway
