#pragma once

#include <compare>
#include <functional>
#include <utility>

namespace greengagechute {

/// A value of type `rep` that cannot be mixed up with ids or counters of another kind.
///
/// @tparam tag  empty type that names the kind of id
/// @tparam rep  representation, for example `std::string` or `std::uint64_t`
template <typename tag, typename rep>
class strong_id {
public:
    using rep_type = rep;

    strong_id() = default;
    explicit strong_id(rep initial) : value_of_id(std::move(initial)) {}

    /// The plain value, for codecs and logs.
    const rep& value() const { return this->value_of_id; }

    /// The id that follows this one. Valid for arithmetic representations only.
    strong_id next() const { return strong_id(static_cast<rep>(this->value_of_id + 1)); }

    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend bool operator==(const strong_id&, const strong_id&) = default;

private:
    rep value_of_id{};
};

}  // namespace greengagechute

template <typename tag, typename rep>
struct std::hash<greengagechute::strong_id<tag, rep>> {
    std::size_t operator()(const greengagechute::strong_id<tag, rep>& id) const noexcept {
        return std::hash<rep>{}(id.value());
    }
};
