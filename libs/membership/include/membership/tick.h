#pragma once

namespace greengagechute::membership {

/// Event of every state machine of this library: time has passed. Sent at least every 100 ms.
struct tick {};

}  // namespace greengagechute::membership
