#pragma once

#include "platform/client.h"
#include "platform/timer.h"

#include <memory>

namespace greengagechute::platform {

/// What a writer does next to learn the certain result of a commit.
enum class commit_step {
    /// Send the transaction. Sending the same id again has no further effect.
    commit,
    /// Ask for the result of the id.
    read_back,
    /// The result is certain.
    finished,
};

/// The step that follows `current` after its answer.
///
/// `absent` leads to another commit with the same id and not to "not committed", because the first
/// one may still reach the table.
commit_step next_step(commit_step current, const result<commit_result>& answer);

struct commit_once_settings {
    /// Time between a lost answer and the next step.
    milliseconds retry_delay{200};
};

/// A commit whose result is being determined.
class commit_attempt {
public:
    commit_attempt() = default;
    commit_attempt(const commit_attempt&) = delete;
    commit_attempt& operator=(const commit_attempt&) = delete;
    virtual ~commit_attempt() = default;

    /// Stops asking. The callback does not run any more, and the result stays unknown.
    virtual void abandon() = 0;
    virtual bool finished() const = 0;
};

/// Commits a transaction and, when the answer is lost, reads its id back until the result is
/// certain: `committed` or `conflict`, or the error `platform_errc::refused`.
///
/// Everything runs on the thread of `table`, which must live until the end of the attempt.
std::shared_ptr<commit_attempt> commit_once(client& table, call_after timer,
                                            const commit_once_settings& settings,
                                            const transaction& change,
                                            client::callback<commit_result> done);

}  // namespace greengagechute::platform
