#pragma once

#include "platform/client.h"
#include "platform/store.h"
#include "platform/timer.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagechute::platform {

/// What goes wrong between the clients and the store. May be changed at any time.
struct fake_faults {
    /// Calls fail with `unavailable` and have no effect.
    bool outage = false;
    /// Calls reach the store after half of this time and are answered after the whole.
    milliseconds delay{0};
    /// Commits that take effect but end with `timeout`. Counts down.
    std::size_t lost_answers = 0;
    /// Commits that never reach the store and end with `timeout`. Counts down.
    std::size_t lost_requests = 0;
    /// Commits that end with `timeout` and take effect after another `late_effect_delay`. Counts
    /// down.
    std::size_t late_effects = 0;
    milliseconds late_effect_delay{1'000};
    /// Time after which a lost call ends.
    milliseconds timeout{500};
};

/// The table, object store and host list that fake clients share.
struct fake_platform {
    store content;
    /// The list as the platform reports it; a test applies the lag itself.
    std::vector<listed_host> hosts;
    fake_faults faults;
};

/// A client that works in memory. Callbacks run through `timer`, never from within the call.
class fake_client final : public client {
public:
    /// @param shared  used by any number of clients on the same thread
    /// @param timer   must not run callbacks after the end of the objects that they use
    fake_client(std::shared_ptr<fake_platform> shared, call_after timer);

    void read_row(const std::string& key, callback<row> done) override;
    void read_rows(const std::string& prefix, callback<std::vector<row>> done) override;
    void commit(const transaction& change, callback<commit_result> done) override;
    void read_commit(const std::string& id, callback<commit_result> done) override;
    void put_object(const std::string& name, const std::string& body,
                    callback<std::monostate> done) override;
    void get_object(const std::string& name, callback<std::string> done) override;
    void list_hosts(callback<std::vector<listed_host>> done) override;

private:
    template <typename value_type>
    void call(callback<value_type> done, std::function<result<value_type>(fake_platform&)> effect);
    void lose(const transaction& change, callback<commit_result> done,
              std::optional<milliseconds> effect_after);

    std::shared_ptr<fake_platform> platform;
    call_after timer;
};

}  // namespace greengagechute::platform
