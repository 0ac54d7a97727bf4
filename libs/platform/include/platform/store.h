#pragma once

#include "platform/client.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagechute::platform {

/// A transaction that took effect.
struct committed_transaction {
    /// Time given by the caller of `store::commit`.
    milliseconds time{0};
    transaction content;
    std::vector<std::uint64_t> versions;
};

/// The rules of the platform's table and object store, in memory. Used by the fake client and by
/// the stand-in.
class store {
public:
    row read_row(const std::string& key) const;
    std::vector<row> read_rows(const std::string& prefix) const;

    /// Applies the writes if every condition holds. The result is recorded under the id, and a
    /// second commit with the same id returns it again, so that a refused id stays refused.
    commit_result commit(const transaction& change, milliseconds now);
    /// `commit_state::absent` if the id was never seen.
    commit_result read_commit(const std::string& id) const;

    void put_object(const std::string& name, const std::string& body);
    /// Null if there is no such object.
    const std::string* get_object(const std::string& name) const;

    /// Every transaction that took effect, in order.
    const std::vector<committed_transaction>& history() const { return this->committed; }

private:
    bool holds(const condition& expected) const;

    std::map<std::string, row> rows;
    std::map<std::string, commit_result> results;
    std::map<std::string, std::string> objects;
    std::vector<committed_transaction> committed;
};

}  // namespace greengagechute::platform
