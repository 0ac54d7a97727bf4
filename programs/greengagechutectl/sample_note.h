#pragma once

#include "options.h"
#include "release/note.h"

#include <string>

namespace greengagechute::ctl {

/// The release note that adds the services of the command line with their servers. The servers are
/// spread over the regions and data centres of the example settings of Firthpack.
release::note make_sample_note(const command_line& options, std::string submission);

}  // namespace greengagechute::ctl
