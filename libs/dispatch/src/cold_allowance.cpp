#include "dispatch/cold_allowance.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>

namespace greengagechute::dispatch {

namespace {

constexpr double full_credit = 1;

double credit_at(const held_loan& loan, time_point now) {
    const double seconds =
        std::max(0.0, std::chrono::duration<double>(now - loan.credited_at).count());
    return std::min(full_credit, loan.credit + seconds * loan.requests_per_s);
}

/// How far the server is: the same data centre, the same region, or another region.
int distance_between(const cold_server& server, const borrower& host) {
    if (server.data_centre == host.data_centre) {
        return 0;
    }
    return !server.region.value().empty() && server.region == host.region ? 1 : 2;
}

const borrower* choose(const cold_server& server, const std::vector<borrower>& hosts) {
    const borrower* best = nullptr;
    std::optional<std::tuple<int, std::uint64_t>> best_rank;
    for (const borrower& host : hosts) {
        const std::tuple rank(distance_between(server, host),
                              hash64(host.host.value(), hash64(server.server.id.value(),
                                                               server.server.start_time_ms)));
        if (!best_rank || rank < *best_rank) {
            best = &host;
            best_rank = rank;
        }
    }
    return best;
}

}  // namespace

void extend(held_loan& loan, double requests_per_s, time_point until, time_point now) {
    loan.credit = now < loan.until ? credit_at(loan, now) : 0;
    loan.credited_at = now;
    loan.requests_per_s = requests_per_s;
    loan.until = std::max(loan.until, until);
}

bool has_credit(const held_loan& loan, time_point now) {
    return now < loan.until && credit_at(loan, now) >= full_credit;
}

void take(held_loan& loan, time_point now) {
    loan.credit = credit_at(loan, now) - full_credit;
    loan.credited_at = now;
}

loan_book make_loan_book(milliseconds may_lend, time_point now) {
    loan_book book;
    book.lends_from = now + may_lend + loan_duration;
    return book;
}

void lend(loan_book& book, const std::vector<cold_server>& servers,
          const std::vector<borrower>& hosts, time_point now) {
    std::erase_if(book.loans, [now](const auto& entry) { return entry.second.until <= now; });
    if (now < book.lends_from) {
        return;
    }
    for (const cold_server& server : servers) {
        const auto known = book.loans.find(server.server);
        const auto is_holder = [&known](const borrower& host) {
            return host.host == known->second.host;
        };
        if (known != book.loans.end()) {
            if (std::any_of(hosts.begin(), hosts.end(), is_holder)) {
                known->second.until = now + loan_duration;
            }
            continue;
        }
        if (const borrower* const chosen = choose(server, hosts)) {
            book.loans[server.server] = {chosen->host, now + loan_duration};
        }
    }
}

std::optional<time_point> loan_end(const loan_book& book, const ranges::server_instance& server,
                                   const host_id& host) {
    const auto found = book.loans.find(server);
    return found != book.loans.end() && found->second.host == host
               ? std::optional(found->second.until)
               : std::nullopt;
}

}  // namespace greengagechute::dispatch
