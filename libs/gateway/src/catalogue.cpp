#include "gateway/catalogue.h"

#include <algorithm>
#include <cctype>

namespace greengagechute::gateway {

namespace {

std::string lower_case(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

/// The host without its port, in lower case.
std::string host_name(std::string_view host) {
    return lower_case(host.substr(0, host.find(':')));
}

}  // namespace

void index_routes(catalogue& content) {
    content.by_host.clear();
    for (std::size_t position = 0; position < content.routes.size(); ++position) {
        const route& entry = content.routes[position];
        content.by_host[host_name(entry.host)][entry.prefix] = position;
    }
}

std::optional<std::set<region_id>> common_regions(const catalogue& content,
                                                  const service_id& service) {
    std::vector<dispatch::region_list> allowed;
    for (const route& entry : content.routes) {
        const bool uses =
            std::any_of(entry.services.begin(), entry.services.end(),
                        [&service](const auto& part) { return part.service == service; });
        if (uses) {
            allowed.push_back(entry.allowed_regions);
        }
    }
    return dispatch::common_regions(allowed);
}

const route* find_route(const catalogue& content, std::string_view host, std::string_view target) {
    const auto routes = content.by_host.find(host_name(host));
    if (routes == content.by_host.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    // Prefixes end with a slash: look up the path up to each slash, the longest first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
         slash = path.rfind('/')) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return &content.routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const service_id& choose_service(const route& chosen, double draw) {
    double total = 0;
    for (const weighted_service& candidate : chosen.services) {
        total += candidate.weight;
    }
    double remaining = draw * total;
    for (const weighted_service& candidate : chosen.services) {
        remaining -= candidate.weight;
        if (remaining < 0 && candidate.weight > 0) {
            return candidate.service;
        }
    }
    return chosen.services.front().service;
}

}  // namespace greengagechute::gateway
