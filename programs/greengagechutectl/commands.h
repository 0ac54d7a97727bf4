#pragma once

#include "options.h"

namespace greengagechute::ctl {

/// Runs a command and returns its exit code.
int run(const command_line& options);

}  // namespace greengagechute::ctl
