#include "platform/fake.h"

#include "platform/errors.h"

#include <utility>

namespace greengagechute::platform {

namespace {

bool take_one(std::size_t& count) {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

milliseconds monotonic_now() {
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace

fake_client::fake_client(std::shared_ptr<fake_platform> shared, call_after delayed)
    : platform(std::move(shared)), timer(std::move(delayed)) {}

// Applies `effect` after half of the delay, unless there is an outage then, and answers after the
// whole.
template <typename value_type>
void fake_client::call(callback<value_type> done,
                       std::function<result<value_type>(fake_platform&)> effect) {
    const milliseconds forth = this->platform->faults.delay / 2;
    const milliseconds back = this->platform->faults.delay - forth;
    this->timer(forth, [shared = this->platform, delayed = this->timer, back,
                        done = std::move(done), effect = std::move(effect)]() mutable {
        result<value_type> answer =
            shared->faults.outage ? make_error_code(platform_errc::unavailable) : effect(*shared);
        delayed(back, [done = std::move(done), answer = std::move(answer)]() mutable {
            done(std::move(answer));
        });
    });
}

void fake_client::lose(const transaction& change, callback<commit_result> done,
                       std::optional<milliseconds> effect_after) {
    if (effect_after) {
        this->timer(*effect_after, [shared = this->platform, change] {
            shared->content.commit(change, monotonic_now());
        });
    }
    this->timer(this->platform->faults.timeout,
                [done = std::move(done)] { done(make_error_code(platform_errc::timeout)); });
}

void fake_client::read_row(const std::string& key, callback<row> done) {
    this->call<row>(std::move(done),
                    [key](fake_platform& shared) { return shared.content.read_row(key); });
}

void fake_client::read_rows(const std::string& prefix, callback<std::vector<row>> done) {
    this->call<std::vector<row>>(std::move(done), [prefix](fake_platform& shared) {
        return shared.content.read_rows(prefix);
    });
}

void fake_client::commit(const transaction& change, callback<commit_result> done) {
    fake_faults& faults = this->platform->faults;
    if (faults.outage) {
        this->call<commit_result>(std::move(done), [](fake_platform&) {
            return make_error_code(platform_errc::unavailable);
        });
    } else if (take_one(faults.lost_answers)) {
        this->lose(change, std::move(done), faults.delay / 2);
    } else if (take_one(faults.lost_requests)) {
        this->lose(change, std::move(done), std::nullopt);
    } else if (take_one(faults.late_effects)) {
        this->lose(change, std::move(done), faults.timeout + faults.late_effect_delay);
    } else {
        this->call<commit_result>(std::move(done), [change](fake_platform& shared) {
            return shared.content.commit(change, monotonic_now());
        });
    }
}

void fake_client::read_commit(const std::string& id, callback<commit_result> done) {
    this->call<commit_result>(
        std::move(done), [id](fake_platform& shared) { return shared.content.read_commit(id); });
}

void fake_client::put_object(const std::string& name, const std::string& body,
                             callback<std::monostate> done) {
    this->call<std::monostate>(std::move(done), [name, body](fake_platform& shared) {
        shared.content.put_object(name, body);
        return std::monostate{};
    });
}

void fake_client::get_object(const std::string& name, callback<std::string> done) {
    this->call<std::string>(std::move(done), [name](fake_platform& shared) -> result<std::string> {
        const std::string* body = shared.content.get_object(name);
        if (body == nullptr) {
            return make_error_code(platform_errc::not_found);
        }
        return *body;
    });
}

void fake_client::list_hosts(callback<std::vector<listed_host>> done) {
    this->call<std::vector<listed_host>>(std::move(done),
                                         [](fake_platform& shared) { return shared.hosts; });
}

}  // namespace greengagechute::platform
