#include "term_content.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace greengagechute::gateway {

std::string encode(const term_content& term) {
    nlohmann::json text;
    if (term.era) {
        text["era"] = *term.era;
    }
    if (term.owners_era) {
        text["owners_era"] = *term.owners_era;
    }
    text["term"] = term.number;
    text["host"] = term.host;
    text["address"] =
        term.address ? term.address->ip + ":" + std::to_string(term.address->port) : "";
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<term_content> decode_term(std::string_view text) {
    const nlohmann::json parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("term") || !parsed["term"].is_number_unsigned() ||
        !parsed.contains("host") || !parsed["host"].is_string() || !parsed.contains("address") ||
        !parsed["address"].is_string()) {
        return std::nullopt;
    }
    term_content term;
    term.number = parsed["term"].get<std::uint64_t>();
    term.host = parsed["host"].get<std::string>();
    for (const auto& [name, field] :
         {std::pair{"era", &term.era}, std::pair{"owners_era", &term.owners_era}}) {
        const auto value = parsed.find(name);
        if (value != parsed.end() && value->is_number_unsigned()) {
            *field = value->get<std::uint64_t>();
        }
    }
    if (const auto address = wire::parse_endpoint(parsed["address"].get<std::string>())) {
        term.address = *address;
    }
    return term;
}

}  // namespace greengagechute::gateway
