#include "dispatch/waiting_order.h"

#include <algorithm>
#include <tuple>

namespace greengagechute::dispatch {

namespace {

/// One place in so many goes to a request that is late.
constexpr std::size_t late_place_interval = 5;

}  // namespace

bool misses_target(const waiting_request& request, time_point now) {
    return request.target_by != time_point{} && now + request.work > request.target_by;
}

std::vector<std::size_t> order_of_service(const std::vector<waiting_request>& waiting,
                                          std::size_t places_given, time_point now) {
    std::vector<std::size_t> in_time;
    std::vector<std::size_t> late;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        (misses_target(waiting[index], now) ? late : in_time).push_back(index);
    }
    const auto latest_start = [&waiting](std::size_t index) {
        const waiting_request& request = waiting[index];
        return request.target_by == time_point{} ? time_point::max()
                                                 : request.target_by - request.work;
    };
    std::stable_sort(in_time.begin(), in_time.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(waiting[left].priority, latest_start(left), waiting[left].arrived) <
               std::tuple(waiting[right].priority, latest_start(right), waiting[right].arrived);
    });
    std::stable_sort(late.begin(), late.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(waiting[left].priority, waiting[left].arrived) <
               std::tuple(waiting[right].priority, waiting[right].arrived);
    });
    std::vector<std::size_t> order;
    auto next_in_time = in_time.begin();
    auto next_late = late.begin();
    while (next_in_time != in_time.end() || next_late != late.end()) {
        const bool late_place =
            (places_given + order.size()) % late_place_interval == late_place_interval - 1;
        const bool takes_late =
            next_late != late.end() && (late_place || next_in_time == in_time.end());
        order.push_back(takes_late ? *next_late++ : *next_in_time++);
    }
    return order;
}

}  // namespace greengagechute::dispatch
