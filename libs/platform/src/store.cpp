#include "platform/store.h"

#include <algorithm>

namespace greengagechute::platform {

row store::read_row(const std::string& key) const {
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? row{key, {}, 0} : found->second;
}

std::vector<row> store::read_rows(const std::string& prefix) const {
    std::vector<row> found;
    for (auto next = this->rows.lower_bound(prefix);
         next != this->rows.end() && next->first.starts_with(prefix); ++next) {
        found.push_back(next->second);
    }
    return found;
}

bool store::holds(const condition& expected) const {
    return this->read_row(expected.key).version == expected.version;
}

commit_result store::commit(const transaction& change, milliseconds now) {
    const auto earlier = this->results.find(change.id);
    if (earlier != this->results.end()) {
        return earlier->second;
    }
    commit_result result{commit_state::conflict, {}};
    const bool valid = std::all_of(change.conditions.begin(), change.conditions.end(),
                                   [this](const condition& c) { return this->holds(c); });
    if (valid) {
        result.state = commit_state::committed;
        for (const write& next : change.writes) {
            row& target = this->rows[next.key];
            target = {next.key, next.value, target.version + 1};
            result.versions.push_back(target.version);
        }
        this->committed.push_back({now, change, result.versions});
    }
    this->results.emplace(change.id, result);
    return result;
}

commit_result store::read_commit(const std::string& id) const {
    const auto found = this->results.find(id);
    return found == this->results.end() ? commit_result{} : found->second;
}

void store::put_object(const std::string& name, const std::string& body) {
    this->objects[name] = body;
}

const std::string* store::get_object(const std::string& name) const {
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

}  // namespace greengagechute::platform
