#include "release/errors.h"

#include <array>

namespace greengagechute::release {

namespace {

constexpr std::array entries{
    error_entry{500, "note_too_large", "the release note is larger or deeper than allowed"},
    error_entry{501, "malformed_note", "the release note is not valid JSON"},
    error_entry{502, "unknown_field", "the release note has an unknown field"},
    error_entry{503, "missing_field", "the release note lacks a required field"},
    error_entry{504, "wrong_type", "a field of the release note has the wrong type"},
    error_entry{505, "out_of_range", "a value of the release note is out of range"},
    error_entry{506, "too_many_entries", "the release note or the catalogue has too many entries"},
    error_entry{507, "duplicate_change", "the release note changes the same entry twice"},
    error_entry{508, "already_exists", "the added entry exists already"},
    error_entry{509, "does_not_exist", "the changed or withdrawn entry does not exist"},
    error_entry{510, "unknown_service", "the service does not exist"},
    error_entry{511, "unknown_server", "the service has no such server"},
    error_entry{512, "still_in_use", "the withdrawn entry is still in use"},
    error_entry{513, "fixed_property", "the property cannot change after the entry was added"},
    error_entry{514, "base_superseded", "a later release note superseded the base revision"},
    error_entry{515, "malformed_catalogue", "the encoded catalogue is malformed"},
    error_entry{516, "digest_mismatch", "the catalogue does not match its digest"},
    error_entry{517, "host_refused", "a host refused to prepare the release note"},
    error_entry{518, "submission_reused", "the submission id was used for another release note"},
    error_entry{519, "queue_full", "too many submissions are waiting"},
    error_entry{520, "not_coordinator", "this host is not the coordinator any more"},
    error_entry{521, "malformed_head", "the content of row head is malformed"},
    error_entry{522, "address_in_use", "another server has the same address"},
    error_entry{523, "not_divided", "keys of an undivided service have no rules"},
    error_entry{524, "unchecked_server",
                "a divided service needs servers that check who gives them an order"},
};

}  // namespace

std::span<const error_entry> error_table() {
    return entries;
}

std::error_code make_error_code(release_errc code) {
    static const table_category category("release", entries);
    return {static_cast<int>(code), category};
}

}  // namespace greengagechute::release
