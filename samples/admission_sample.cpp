// Embeds the admission library alone: one server with two slots that receives more work than it can
// do. Time is simulated; a program with a real server passes std::chrono::steady_clock::now().

#include "admission/retry_budget.h"
#include "admission/server_queue.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <unordered_map>

namespace gg = greengagechute;
namespace admission = greengagechute::admission;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t slots = 2;
constexpr int arrivals = 400;
constexpr milliseconds arrival_period{2};
constexpr milliseconds short_service{5};
constexpr milliseconds long_service{200};
constexpr int long_work_every = 20;

struct counts {
    int answered = 0;
    int refused = 0;
    int expired = 0;
    int retries = 0;
};

}  // namespace

int main() {
    gg::time_point now{std::chrono::hours(1)};
    auto queue = admission::make_server_queue({}, {slots, 64}, now);
    auto budget = admission::make_retry_budget(true, now);
    std::multimap<gg::time_point, gg::request_id> ends;
    std::unordered_map<gg::request_id, milliseconds> service_times;
    counts result;

    for (int number = 1; number <= arrivals; ++number) {
        now += arrival_period;
        // Answers that have arrived since: the queue learns their service time.
        while (!ends.empty() && ends.begin()->first <= now) {
            const gg::request_id request = ends.begin()->second;
            admission::finish(queue, request, service_times[request], gg::outcome::answered, now);
            ends.erase(ends.begin());
            ++result.answered;
        }
        const bool is_long = number % long_work_every == 0;
        admission::request_info info;
        info.request = gg::request_id(static_cast<std::uint64_t>(number));
        info.route = admission::route_of(gg::service_id("plan-archive"), "", "GET",
                                         is_long ? "/export/7" : "/plan/7");
        info.caller = gg::caller_id("school-" + std::to_string(number % 3));
        info.deadline = now + (is_long ? milliseconds(2'000) : milliseconds(40));
        service_times[info.request] = is_long ? long_service : short_service;
        admission::record_first_try(budget, now);
        if (!admission::offer(queue, info, now)) {
            // The work did not run, so a caller may send it again, within the budget.
            ++result.refused;
            result.retries += admission::try_acquire_retry(budget, now) ? 1 : 0;
        }
        result.expired += static_cast<int>(admission::expire(queue, now).size());
        while (const auto next = admission::take_next(queue, slots - ends.size(), now)) {
            ends.emplace(now + service_times[*next], *next);
        }
    }
    std::printf("answered %d, refused %d, expired %d, retries allowed %d, waiting %zu\n",
                result.answered, result.refused, result.expired, result.retries,
                queue.queued.size());
    return result.answered > 0 && result.refused > 0 ? 0 : 1;
}
