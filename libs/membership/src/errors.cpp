#include "membership/errors.h"

#include <array>

namespace greengagechute::membership {

namespace {

constexpr std::array entries{
    error_entry{600, "malformed_roster", "the roster or a host in it is malformed"},
    error_entry{601, "duplicate_host", "the host instance is in the roster already"},
    error_entry{602, "unknown_host", "the host instance is not in the roster"},
    error_entry{603, "roster_full", "the roster has the largest allowed number of hosts"},
    error_entry{604, "malformed_term", "the content of row term is malformed"},
    error_entry{605, "former_instance", "the instance was removed and may not join again"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(membership_errc code) {
    static const table_category category("membership", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::membership
