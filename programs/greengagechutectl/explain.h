#pragma once

#include <istream>
#include <string>
#include <vector>

namespace greengagechute::ctl {

/// A log of a gateway: one JSON object a line. Text before the object is skipped, so that logs with
/// a prefix of a collector can be used; lines that cannot be read are counted.
struct log_source {
    std::string name;
    std::istream* stream = nullptr;
};

/// What the logs of several hosts say about one request.
struct account {
    std::string text;
    /// A line about the request was found.
    bool found = false;
};

/// Joins the lines about a request, from all hosts and in the order of time, with the changes of
/// what those hosts believed about its service, its servers and its key, and says what is missing.
/// @param request_id  value of the request's id header
account explain(const std::string& request_id, const std::vector<log_source>& sources);

}  // namespace greengagechute::ctl
