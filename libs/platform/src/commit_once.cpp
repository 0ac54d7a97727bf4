#include "platform/commit_once.h"

#include "platform/errors.h"

#include <utility>

namespace greengagechute::platform {

namespace {

class running_commit final : public commit_attempt,
                             public std::enable_shared_from_this<running_commit> {
public:
    running_commit(client& used_table, call_after used_timer, milliseconds delay,
                   transaction wanted, client::callback<commit_result> callback)
        : table(used_table),
          timer(std::move(used_timer)),
          retry_delay(delay),
          change(std::move(wanted)),
          done(std::move(callback)) {}

    void run() {
        if (this->step == commit_step::finished) {
            return;
        }
        auto on_answer = [self = this->shared_from_this()](result<commit_result> answer) {
            self->take(std::move(answer));
        };
        if (this->step == commit_step::commit) {
            this->table.commit(this->change, std::move(on_answer));
        } else {
            this->table.read_commit(this->change.id, std::move(on_answer));
        }
    }

    void abandon() override {
        this->step = commit_step::finished;
        this->done = nullptr;
    }

    bool finished() const override { return this->step == commit_step::finished; }

private:
    void take(result<commit_result> answer) {
        if (this->step == commit_step::finished) {
            return;
        }
        this->step = next_step(this->step, answer);
        if (this->step == commit_step::finished) {
            std::exchange(this->done, nullptr)(std::move(answer));
            return;
        }
        this->timer(this->retry_delay, [self = this->shared_from_this()] { self->run(); });
    }

    client& table;
    call_after timer;
    milliseconds retry_delay;
    transaction change;
    client::callback<commit_result> done;
    commit_step step = commit_step::commit;
};

}  // namespace

commit_step next_step(commit_step current, const result<commit_result>& answer) {
    if (current == commit_step::finished) {
        return current;
    }
    if (answer) {
        return answer->state == commit_state::absent ? commit_step::commit : commit_step::finished;
    }
    if (current == commit_step::commit && answer.error() == platform_errc::refused) {
        return commit_step::finished;
    }
    return commit_step::read_back;
}

std::shared_ptr<commit_attempt> commit_once(client& table, call_after timer,
                                            const commit_once_settings& settings,
                                            const transaction& change,
                                            client::callback<commit_result> done) {
    auto attempt = std::make_shared<running_commit>(table, std::move(timer), settings.retry_delay,
                                                    change, std::move(done));
    attempt->run();
    return attempt;
}

}  // namespace greengagechute::platform
