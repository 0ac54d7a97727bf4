#include "platform/timer.h"

namespace greengagechute::platform {

void manual_timer::schedule(milliseconds delay, std::function<void()> work) {
    this->pending.emplace(std::pair(this->current + delay, ++this->scheduled), std::move(work));
}

void manual_timer::advance(milliseconds span) {
    const milliseconds end = this->current + span;
    while (!this->pending.empty() && this->pending.begin()->first.first <= end) {
        const auto first = this->pending.extract(this->pending.begin());
        this->current = first.key().first;
        first.mapped()();
    }
    this->current = end;
}

call_after manual_timer::function() {
    return [this](milliseconds delay, std::function<void()> work) {
        this->schedule(delay, std::move(work));
    };
}

}  // namespace greengagechute::platform
