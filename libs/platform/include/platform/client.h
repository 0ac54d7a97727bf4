#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace greengagechute::platform {

/// One row of the platform's table. Version 0 stands for a row that does not exist.
struct row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The expected version of a row; 0 means that the row must not exist.
struct condition {
    std::string key;
    std::uint64_t version = 0;
};

struct write {
    std::string key;
    std::string value;
};

/// Writes that take effect together, once, if every condition holds.
struct transaction {
    /// Chosen by the writer. Committing the same id twice has no further effect.
    std::string id;
    std::vector<condition> conditions;
    std::vector<write> writes;
};

enum class commit_state {
    committed,
    /// A condition did not hold; nothing was written.
    conflict,
    /// The table has no record of that transaction (answer of `read_commit` only).
    absent,
};

struct commit_result {
    commit_state state = commit_state::absent;
    /// New versions of the written rows, in the order of `transaction::writes`, if committed.
    std::vector<std::uint64_t> versions;
};

/// A host as the platform lists it. The list lags behind.
struct listed_host {
    host_id host;
    /// Numeric address and port of the host's peer listener, for example `10.0.0.1:7400`.
    std::string address;
    region_id region;
    data_centre_id data_centre;
    bool leaving = false;
};

/// The platform's table, object store and host list.
///
/// Calls do not block; callbacks run on the thread of the caller's event loop, exactly once each.
/// Errors: `platform_errc::unavailable` (nothing is known about a write's effect), `timeout` (the
/// same), `not_found`, `malformed_answer`.
class client {
public:
    template <typename value_type>
    using callback = std::function<void(result<value_type>)>;

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    /// A row that does not exist is returned with version 0.
    virtual void read_row(const std::string& key, callback<row> done) = 0;
    virtual void read_rows(const std::string& prefix, callback<std::vector<row>> done) = 0;
    virtual void commit(const transaction& change, callback<commit_result> done) = 0;
    /// Tells what became of a transaction whose answer was lost.
    virtual void read_commit(const std::string& id, callback<commit_result> done) = 0;
    virtual void put_object(const std::string& name, const std::string& body,
                            callback<std::monostate> done) = 0;
    virtual void get_object(const std::string& name, callback<std::string> done) = 0;
    virtual void list_hosts(callback<std::vector<listed_host>> done) = 0;
};

}  // namespace greengagechute::platform
