#pragma once

namespace greengagechute::release {

/// Event of every state machine of this library: time has passed. Sent at least every 100 ms.
struct tick {};

}  // namespace greengagechute::release
