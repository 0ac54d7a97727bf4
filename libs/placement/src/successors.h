#pragma once

#include "placement/place.h"

#include <cstdint>
#include <span>
#include <vector>

namespace greengagechute::placement {

/// Chooses `target.successors` for `target.owners`. Keeps the successors of the previous map where
/// they still fit.
/// @param slots  slots of each server, by index; 0 for leaving servers
void choose_successors(const service_map* previous, std::span<const std::uint32_t> slots,
                       placement_target& target);

}  // namespace greengagechute::placement
