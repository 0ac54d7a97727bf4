#pragma once

#include "base/strong_id.h"
#include "wire/message.h"

#include <cstdint>
#include <string>

namespace greengagechute::gateway {

/// Identifies what a request asks for, on all hosts.
using request_fingerprint = strong_id<struct request_fingerprint_tag, std::uint64_t>;

/// Hash of the host name, the method, the target, the key and the body; the same for each
/// repetition of a request, whose id and deadline differ. Callers are not told apart: hosts see the
/// address of the caller or that of something between.
/// @param key_header  name of the header with the key
request_fingerprint fingerprint_of(const wire::request& message, const std::string& key_header);

/// Sixteen hexadecimal digits.
std::string to_text(request_fingerprint value);

}  // namespace greengagechute::gateway
