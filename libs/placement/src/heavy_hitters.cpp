#include "placement/heavy_hitters.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagechute::placement {

namespace {

// Half-lives after which stored weights are brought to a new reference time. Keeps the scale far
// below the range of a double.
constexpr double rescale_after = 64;

double elapsed_ms(time_point from, time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

}  // namespace

heavy_hitters::heavy_hitters(std::size_t limit, milliseconds half_life)
    : capacity(std::max<std::size_t>(limit, 1)),
      half_life_ms(
          static_cast<double>(std::max<milliseconds>(half_life, milliseconds(1)).count())) {
    this->counters.reserve(this->capacity);
    this->positions.reserve(this->capacity);
}

double heavy_hitters::scale_at(time_point now) const {
    return std::exp2(std::max(elapsed_ms(this->reference, now), 0.0) / this->half_life_ms);
}

void heavy_hitters::rescale(time_point now) {
    if (!this->started) {
        this->started = true;
        this->reference = now;
    }
    if (elapsed_ms(this->reference, now) < rescale_after * this->half_life_ms) {
        return;
    }
    const double scale = this->scale_at(now);
    for (counter& entry : this->counters) {
        entry.weight /= scale;
        entry.error /= scale;
    }
    this->total_weight /= scale;
    this->reference = now;
}

void heavy_hitters::swap_counters(std::size_t first, std::size_t second) {
    std::swap(this->counters[first], this->counters[second]);
    this->positions[this->counters[first].key_hash] = first;
    this->positions[this->counters[second].key_hash] = second;
}

void heavy_hitters::sift_down(std::size_t position) {
    for (;;) {
        std::size_t lightest = position;
        for (const std::size_t child : {2 * position + 1, 2 * position + 2}) {
            if (child < this->counters.size() &&
                this->counters[child].weight < this->counters[lightest].weight) {
                lightest = child;
            }
        }
        if (lightest == position) {
            return;
        }
        this->swap_counters(position, lightest);
        position = lightest;
    }
}

void heavy_hitters::sift_up(std::size_t position) {
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (this->counters[parent].weight <= this->counters[position].weight) {
            return;
        }
        this->swap_counters(position, parent);
        position = parent;
    }
}

void heavy_hitters::record(std::uint64_t key_hash, double weight, time_point now) {
    this->rescale(now);
    const double scaled = weight * this->scale_at(now);
    this->total_weight += scaled;
    const auto found = this->positions.find(key_hash);
    if (found != this->positions.end()) {
        this->counters[found->second].weight += scaled;
        this->sift_down(found->second);
        return;
    }
    if (this->counters.size() < this->capacity) {
        this->counters.push_back(counter{key_hash, scaled, 0});
        this->positions[key_hash] = this->counters.size() - 1;
        this->sift_up(this->counters.size() - 1);
        return;
    }
    counter& lightest = this->counters.front();
    this->positions.erase(lightest.key_hash);
    lightest.key_hash = key_hash;
    lightest.error = lightest.weight;
    lightest.weight += scaled;
    this->positions[key_hash] = 0;
    this->sift_down(0);
}

std::vector<heavy_hitter> heavy_hitters::top(std::size_t count, time_point now) const {
    const double scale = this->scale_at(now);
    std::vector<heavy_hitter> found;
    found.reserve(this->counters.size());
    for (const counter& entry : this->counters) {
        found.push_back(heavy_hitter{entry.key_hash, entry.weight / scale, entry.error / scale});
    }
    std::ranges::sort(found, [](const heavy_hitter& left, const heavy_hitter& right) {
        return std::pair(right.weight, left.key_hash) < std::pair(left.weight, right.key_hash);
    });
    found.resize(std::min(count, found.size()));
    return found;
}

double heavy_hitters::total(time_point now) const {
    return this->total_weight / this->scale_at(now);
}

}  // namespace greengagechute::placement
