#pragma once

#include <stdexcept>
#include <system_error>
#include <utility>
#include <variant>

namespace greengagechute {

/// Either a value or an error code. Stands in for `std::expected`, which g++ 12 lacks.
template <typename value_type>
class [[nodiscard]] result {
public:
    result(value_type value) : content(std::in_place_index<0>, std::move(value)) {}
    result(std::error_code code) : content(std::in_place_index<1>, code) {}

    bool has_value() const { return this->content.index() == 0; }
    explicit operator bool() const { return this->has_value(); }

    /// The value. Throws `std::logic_error` if this holds an error.
    const value_type& value() const& {
        this->require_value();
        return std::get<0>(this->content);
    }
    value_type& value() & {
        this->require_value();
        return std::get<0>(this->content);
    }
    value_type&& value() && {
        this->require_value();
        return std::get<0>(std::move(this->content));
    }

    const value_type& operator*() const& { return this->value(); }
    value_type& operator*() & { return this->value(); }
    value_type&& operator*() && { return std::move(*this).value(); }
    const value_type* operator->() const { return &this->value(); }
    value_type* operator->() { return &this->value(); }

    /// The error code; empty if this holds a value.
    std::error_code error() const {
        return this->has_value() ? std::error_code{} : std::get<1>(this->content);
    }

private:
    void require_value() const {
        if (!this->has_value()) {
            throw std::logic_error("result holds an error: " +
                                   std::get<1>(this->content).message());
        }
    }

    std::variant<value_type, std::error_code> content;
};

/// Result of an operation that returns no value.
using status = std::error_code;

}  // namespace greengagechute
