#include "gateway/table_watch.h"

#include "gateway/errors.h"

#include <algorithm>
#include <utility>

namespace greengagechute::gateway {

namespace {

/// Below the shortest history of the store, 20 s on the users' platform.
constexpr milliseconds watch_wait{15'000};
constexpr milliseconds first_retry{150};
/// Half of the time in which a change must be in force.
constexpr milliseconds last_retry{600};

}  // namespace

table_watch::table_watch(wire::event_loop& owner, table_store& source, telemetry::logger& logger,
                         std::string name, milliseconds gather_time, update_handler on_update)
    : loop(owner),
      store(source),
      log(logger),
      table(std::move(name)),
      gather(gather_time),
      handler(std::move(on_update)) {}

void table_watch::start() {
    this->read();
}

void table_watch::failed(const status& error) {
    ++this->failures;
    if (this->failures == 1) {
        telemetry::log_warning(this->log, "store_watch_lost",
                               {{"table", this->table},
                                {"error", error},
                                {"reason", error.message()},
                                {"version", this->version}});
    }
    const milliseconds pause =
        std::min(last_retry, first_retry * (1 << std::min(this->failures - 1, 4)));
    if (error == gateway_errc::history_lost) {
        this->read();
        return;
    }
    this->loop.call_after(pause, [this] { this->has_content ? this->watch() : this->read(); });
}

/// The store has answered again, or still does.
bool table_watch::answered(std::uint64_t newest) {
    const bool after_outage = this->failures > 0;
    if (after_outage) {
        telemetry::log_info(this->log, "store_watch_regained",
                            {{"table", this->table}, {"version", newest}});
    }
    this->failures = 0;
    return after_outage;
}

void table_watch::read() {
    this->store.read(this->table, [this](result<table_content> answer) {
        if (!answer) {
            // Without its history, only a whole table tells what has been removed.
            this->has_content = false;
            this->failed(answer.error());
            return;
        }
        const bool after_outage = this->answered(answer->version);
        this->has_content = true;
        this->version = answer->version;
        this->handler({std::move(*answer), true, after_outage});
        this->loop.call_after(this->gather, [this] { this->watch(); });
    });
}

void table_watch::watch() {
    this->store.watch(this->table, this->version, watch_wait, [this](result<table_content> answer) {
        if (!answer) {
            this->failed(answer.error());
            return;
        }
        const bool after_outage = this->answered(answer->version);
        this->version = std::max(this->version, answer->version);
        const bool changed = !answer->rows.empty();
        if (changed) {
            this->handler({std::move(*answer), false, after_outage});
        }
        this->loop.call_after(changed ? this->gather : milliseconds{0}, [this] { this->watch(); });
    });
}

}  // namespace greengagechute::gateway
