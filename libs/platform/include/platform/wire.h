#pragma once

#include "base/result.h"
#include "platform/client.h"
#include "platform/store.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace greengagechute::platform {

/// The JSON texts of the platform interface. Row values are base64, everything else is plain text.
///
/// The readers bound the nesting of their input and return `platform_errc::malformed_answer` for
/// anything unexpected. Unknown members are skipped.

/// Deepest nesting of JSON arrays and objects that is read.
inline constexpr std::size_t json_depth = 8;

/// `{"id", "conditions": [{"key", "version"}], "writes": [{"key", "value"}]}`
std::string write_transaction(const transaction& change);
result<transaction> read_transaction(std::string_view text);

/// `{"state": "committed" | "conflict" | "absent", "versions": [...]}`
std::string write_commit_result(const commit_result& answer);
result<commit_result> read_commit_result(std::string_view text);

/// `{"key", "value", "version"}`
std::string write_row(const row& content);
result<row> read_row(std::string_view text);

/// `{"rows": [...]}`
std::string write_rows(const std::vector<row>& rows);
result<std::vector<row>> read_rows(std::string_view text);

/// `{"hosts": [{"host", "address", "region", "data_centre", "leaving"}]}`
std::string write_hosts(const std::vector<listed_host>& hosts);
result<std::vector<listed_host>> read_hosts(std::string_view text);

/// `{"transactions": [{"time_ms", "id", "conditions", "writes": [{"key", "value", "version"}]}]}`
std::string write_history(const std::vector<committed_transaction>& history);
result<std::vector<committed_transaction>> read_history(std::string_view text);

/// Percent-encodes all bytes of a key or name except letters, digits, `-`, `.`, `_`, `~` and `/`.
std::string encode_path(std::string_view name);
/// Undoes `encode_path`. Errors: `platform_errc::malformed_answer`.
result<std::string> decode_path(std::string_view path);

}  // namespace greengagechute::platform
