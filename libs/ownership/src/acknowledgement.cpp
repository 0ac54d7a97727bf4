#include "ownership/acknowledgement.h"

#include <algorithm>

namespace greengagechute::ownership {

namespace {

constexpr milliseconds shortest_repeat_period{1'000};
constexpr milliseconds longest_repeat_period{30'000};
/// The repeat period is the age of the acknowledgement divided by this, so a lost one is repeated
/// after at most a quarter of the time since it was first sent.
constexpr int age_per_period = 4;

}  // namespace

bool mark_sent_if_due(sent_acknowledgement& last, const map_acknowledged& present, time_point now) {
    if (last.content != present) {
        last = {present, now, now};
        return true;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(last.sent_at - last.changed_at);
    const milliseconds period =
        std::clamp(age / age_per_period, shortest_repeat_period, longest_repeat_period);
    if (now - last.sent_at < period) {
        return false;
    }
    last.sent_at = now;
    return true;
}

}  // namespace greengagechute::ownership
