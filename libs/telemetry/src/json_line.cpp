#include "json_line.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <type_traits>

namespace greengagechute::telemetry {

namespace {

constexpr std::size_t longest_text = 1'024;
/// glog cuts messages of 30,000 bytes, which would leave a malformed object. Each byte of a text
/// takes up to six characters.
constexpr std::size_t most_text = 4'000;

nlohmann::ordered_json to_json(const field::value_type& value) {
    return std::visit(
        [](const auto& content) -> nlohmann::ordered_json {
            if constexpr (std::is_same_v<std::decay_t<decltype(content)>, std::string_view>) {
                return std::string(content.substr(0, longest_text));
            } else {
                return content;
            }
        },
        value);
}

std::size_t text_size(const field& content) {
    const auto* text = std::get_if<std::string_view>(&content.value);
    constexpr std::size_t largest_number = 24;
    const std::size_t value =
        text == nullptr ? largest_number : std::min(text->size(), longest_text);
    return content.name.size() + value;
}

}  // namespace

std::string format_members(const line_content& content) {
    nlohmann::ordered_json object;
    object["level"] = content.level;
    object["host"] = std::string(content.host);
    object["event"] = std::string(content.event.substr(0, longest_text));
    if (content.dropped > 0) {
        object["dropped"] = content.dropped;
    }
    std::size_t text = content.host.size() + content.event.size();
    for (const field& member : content.fields) {
        text += text_size(member);
        if (text > most_text) {
            object["truncated"] = true;
            break;
        }
        object[std::string(member.name)] = to_json(member.value);
    }
    const std::string line =
        object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    return line.substr(1, line.size() - 2);
}

}  // namespace greengagechute::telemetry
