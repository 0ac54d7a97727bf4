#pragma once

#include "base/time.h"

#include <chrono>

namespace greengagechute {

/// Present time of this host's wall clock, in whole milliseconds. Tasks and tools read it and pass
/// it on; functions that decide take it as an argument.
inline wall_time wall_now() {
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
}

}  // namespace greengagechute
