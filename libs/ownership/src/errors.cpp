#include "ownership/errors.h"

#include <array>

namespace greengagechute::ownership {

namespace {

constexpr std::array entries{
    error_entry{400, "no_grant", "the server has never accepted a grant"},
    error_entry{401, "grant_ended", "the grant of the server has ended"},
    error_entry{402, "wrong_dispatcher_epoch", "another dispatcher epoch is in force"},
    error_entry{403, "partition_not_held", "the server does not hold the partition"},
    error_entry{404, "wrong_partition_epoch", "the server holds the partition at another epoch"},
    error_entry{405, "not_dispatcher", "this host does not dispatch to the server"},
    error_entry{406, "partition_moving", "the partition is moving to another server"},
    error_entry{407, "server_suspected", "the server does not reply"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(ownership_errc code) {
    static const table_category category("ownership", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::ownership
